/**
 * Predictions from the reported progress of placed units: when they end, work lost by a stop, and stalls. Has no side effects.
 *
 * Estimates come from callers and may be far off, so the measured speed of a run replaces its estimate once the run has shown some
 * progress. A task that lasts has no end that can be predicted: its estimate and its progress are those of its startup.
 */
#pragma once

#include "batch/planner_bounds.h"
#include "batch/workload.h"

namespace plantainfork::batch
{

constexpr double WholePercent = 100.0;
/** End of a run that only a stop, a failure or the loss of its host ends. Later than any other time, so it may be compared but not added to. */
constexpr Instant Never = Instant::max();

[[nodiscard]] Duration scaled(Duration duration, double factor);
/** Fraction of the work, 0 to 1, that a member has done since its unit's last checkpoint. */
[[nodiscard]] double unsavedFraction(const Unit &unit, const Member &member);

class Progress
{
public:
    Progress(const PlannerBounds &bounds, const HostSpeeds &speeds, Instant now);

    /** When the member's task is expected to end; Never if it lasts until it is stopped. */
    [[nodiscard]] Instant expectedEnd(const Job &job, const Unit &unit, const Member &member) const;
    /** Whether measured progress, not just an estimate, shows that the task ends within the time that a stop would take. */
    [[nodiscard]] bool isEndingSoon(const Job &job, const Unit &unit, const Member &member) const;
    /** Work lost if the whole unit is stopped now, in core-equivalent seconds. */
    [[nodiscard]] double workLostByStop(const Job &job, const Unit &unit) const;
    /** Whether a working member has reported no progress for at least the stall timeout. */
    [[nodiscard]] bool isStalled(const Job &job, const Unit &unit, const Member &member) const;

private:
    /**
     * Expected time until the member's task, which doesn't last, ends: extrapolated from its progress if there is enough of it, otherwise from
     * its estimate and how slow its host is.
     */
    [[nodiscard]] Duration remaining(const Job &job, const Unit &unit, const Member &member) const;

    const PlannerBounds &m_bounds;
    const HostSpeeds &m_speeds;
    Instant m_now;
};

} // namespace plantainfork::batch
