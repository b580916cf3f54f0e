/**
 * Decides which waiting units start where, and which placed ones give way. Pure: it reads the workload and the time, and answers
 * with placements and stops that the caller carries out.
 *
 * Load pattern answered: short bursts of urgent jobs over a base of long ones that fill whole hosts. Urgent units come first and take
 * room back; long units wait in the order of their latest start, and the first ones that don't fit keep a reservation so that smaller
 * ones can't starve them.
 */
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "batch/workload.h"

namespace plantainfork::batch
{

struct PlannerBounds {
    /** How much longer work takes away from its data, or spread over racks. From the platform's bounds. */
    double remoteFactor = 3.0;
    /** Longest time that a stop takes. From the platform's bounds. */
    std::chrono::milliseconds killGrace{900};
    /** Blocked units that keep a reservation; more would leave too little for backfill. */
    unsigned reservations = 6;
    /** A running task that shows no progress for this long stands still; listings come once a second, and progress in whole percent. */
    std::chrono::milliseconds stallLimit{2200};
};

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

/** Rack of a host by its labels: the second of the two that hosts report. Empty if there is none. */
[[nodiscard]] std::string rackOf(const HostReport &report);

} // namespace plantainfork::batch
