/** Figures that all decisions of the planner share. */
#pragma once

#include <chrono>

namespace plantainfork::batch
{

struct PlannerBounds {
    /** How much longer work takes away from its data, or spread over racks. From the platform's bounds. */
    double remoteFactor = 3.0;
    /** Longest time that a stop takes. From the platform's bounds. */
    std::chrono::milliseconds killGrace{900};
    /** Blocked units that keep a reservation; more would leave too little for backfill. */
    unsigned maxReservations = 6;
    /** A running task that shows no progress for this long stands still; listings come once a second, and progress in whole percent. */
    std::chrono::milliseconds stallTimeout{2200};
};

} // namespace plantainfork::batch
