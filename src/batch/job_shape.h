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

struct JobLimits {
    /** Jobs of up to this many units keep a state for each of them from the start. */
    static constexpr std::size_t DenseUnits = 64;
    /** A sparse job starts no further unit while it has this many tasks that have been started and aren't done, so that its record stays small. */
    static constexpr std::size_t OpenTasks = 4096;
    /** Steps of all occurrences of a sparse job of which a unit is considered in one round. */
    static constexpr std::size_t ReadySteps = 256;
    /** A job whose record is larger starts no further unit until it has shrunk. */
    static constexpr std::size_t RecordBytes = 256 * 1024;
    /** Larger records are written apart from the rounds, so that other jobs don't wait for them. */
    static constexpr std::size_t ApartRecordBytes = 64 * 1024;
    /** Bytes of the record of an accepted job: what a slow line takes within the timeout of a store call. */
    static constexpr std::size_t SpecBytes = 128 * 1024;
    /** Steps of all occurrences of an accepted job. */
    static constexpr std::size_t StepsOfOccurrences = 20'000;
};

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
