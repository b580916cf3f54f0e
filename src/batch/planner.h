/**
 * Decides which waiting units start on which hosts, and which placed units are stopped. The planner has no side effects: it reads the
 * workload and the time and returns placements and stops, which the caller carries out.
 *
 * Designed for short bursts of urgent jobs over a base load of long jobs that fill whole hosts. Urgent units are placed first and may
 * preempt others. Long units wait in the order of their latest start, and the first ones that don't fit get a reservation, so that smaller
 * units can't starve them.
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
    /** Host of each task, in the order of the gang. */
    std::vector<HostId> hosts;
};

struct Stop {
    UnitRef unit;
    StopReason reason = StopReason::None;
};

/** A unit that preempts others although it would fit on slow hosts. */
struct SlowHostsAvoided {
    UnitRef unit;
    /** Factor of the slowest host on which the unit would have fitted. */
    double factor = 1.0;
    std::size_t victims = 0;
};

struct Plan {
    std::vector<Placement> placements;
    std::vector<Stop> stops;
    std::vector<SlowHostsAvoided> avoided;
    /** Number of ready units that were not placed on free resources at the first attempt. */
    std::size_t blocked = 0;
    /** What workspaces use beyond their guarantees at the beginning of the round; empty while service is not recorded. */
    ServiceUse serviceUse;
    /** Units that stay blocked and that a unit of a workspace with a smaller share of service went ahead of; without those known already. */
    std::vector<UnitRef> passedOver;
    /** Units that could start away from their data, and wait for a place in its rack instead. */
    std::vector<UnitRef> waitingNearData;
};

class Planner
{
public:
    explicit Planner(PlannerBounds bounds);

    /** Plans one round. Nothing is placed in the evacuated data centres. */
    [[nodiscard]] Plan plan(Workload &workload, const std::set<base::DataCentreId> &evacuated, Instant now, WallTime wallNow) const;

private:
    PlannerBounds m_bounds;
};

} // namespace plantainfork::batch
