/**
 * Decides which waiting units start where, and which placed ones give way. Pure: it reads the workload and the time, and answers
 * with placements and stops that the caller carries out.
 *
 * Load pattern answered: short bursts of urgent jobs over a base of long ones that fill whole hosts. Urgent units come first and take
 * room back; long units wait in the order of their latest start, and the first ones that don't fit keep a reservation so that smaller
 * ones can't starve them.
 */
#pragma once

#include <set>
#include <vector>

#include "batch/planner_bounds.h"
#include "batch/workload.h"

namespace plantainfork::batch
{

struct Placement {
    UnitRef unit;
    std::vector<HostId> hosts;
};

struct Stop {
    UnitRef unit;
    StopReason reason = StopReason::None;
};

struct Plan {
    std::vector<Placement> placements;
    std::vector<Stop> stops;
    /** Units that could start but found no room. */
    std::size_t blocked = 0;
};

class Planner
{
public:
    explicit Planner(PlannerBounds bounds);

    [[nodiscard]] Plan plan(Workload &workload, const std::set<base::DataCentreId> &evacuated, Instant now, WallTime wallNow) const;

private:
    PlannerBounds m_bounds;
};

} // namespace plantainfork::batch
