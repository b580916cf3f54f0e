/**
 * What follows from a job's steps alone: the lengths of its paths and its work, by the caller's estimates. Computed once, when the job
 * becomes known, because every planning round needs it for every waiting unit.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "batch/model.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

using Duration = runtime::Clock::duration;

[[nodiscard]] double toSeconds(Duration duration);
/** Converts resources to an equivalent number of cores, to compare work; an accelerator counts as eight cores. */
[[nodiscard]] double coreEquivalents(const Resources &need);

struct JobShape {
    /** Length of the longest chain of steps that begins with each step, from its start to the end of the job. */
    std::vector<Duration> pathFrom;
    /** The longest of them all. */
    Duration criticalPath{};
    /** Work of all steps of one occurrence, in core-equivalent seconds. */
    double work = 0;
    /** Most accelerators that one step uses at a time. */
    std::int64_t peakAccelerators = 0;
};

/** What is wrong with the steps of a job, as a text for its caller or for the log; empty if nothing is. */
[[nodiscard]] std::string findStepsError(const std::vector<Step> &steps, std::uint32_t occurrences);
/** The steps must have no error. */
[[nodiscard]] JobShape shapeOf(const std::vector<Step> &steps);

} // namespace plantainfork::batch
