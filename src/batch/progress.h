/**
 * What the progress of placed work says: when it will end, what a stop would lose, whether it stands still. Pure.
 *
 * Estimates come from callers and may be far off, so a run's own speed goes before them as soon as it has shown some progress.
 */
#pragma once

#include "batch/planner_bounds.h"
#include "batch/workload.h"

namespace plantainfork::batch
{

using Duration = runtime::Clock::duration;

constexpr double WholePercent = 100.0;

[[nodiscard]] double toSeconds(Duration duration);
[[nodiscard]] Duration scaled(Duration duration, double factor);
/** Cores that a task's room is worth when lost work is compared; an accelerator counts as eight. */
[[nodiscard]] double coreEquivalents(const Room &need);
/** Share of the work, 0 to 1, that a member has done and its unit's checkpoint doesn't save. */
[[nodiscard]] double unsavedFraction(const Unit &unit, const Member &member);

class Progress
{
public:
    Progress(const PlannerBounds &bounds, Instant now);

    /** Expected time that a task of the unit needs from now, from its progress, else from its estimate. */
    [[nodiscard]] Duration remaining(const Job &job, const Unit &unit, const Member &member) const;
    /** Whether its progress, and not only an estimate, shows that the task ends within the time of a stop. */
    [[nodiscard]] bool isEndingSoon(const Job &job, const Unit &unit, const Member &member) const;
    /** Weighted seconds of work that a stop of the whole unit loses. */
    [[nodiscard]] double workLostByStop(const Job &job, const Unit &unit) const;
    [[nodiscard]] bool isStalled(const Job &job, const Unit &unit, const Member &member) const;

private:
    const PlannerBounds &m_bounds;
    Instant m_now;
};

} // namespace plantainfork::batch
