/** Limits and factors shared by all parts of the planner. */
#pragma once

#include <chrono>
#include <cstddef>
#include <limits>

namespace plantainfork::batch
{

struct PlannerBounds {
    /** Slowdown of a task outside the rack of its data, or of a gang spread over several racks. Set from the platform's bounds. */
    double remoteFactor = 3.0;
    /** Maximum time that stopping a task takes. Set from the platform's bounds. */
    std::chrono::milliseconds killGrace{900};
    /** Maximum number of blocked units that get a reservation; more would leave too little capacity for backfill. */
    unsigned maxReservations = 6;
    /** A running task without progress for this long is stalled. Hosts list runs once a second and report progress in whole percent. */
    std::chrono::milliseconds stallTimeout{2200};
    /** Hosts whose runs take at least this many times as long as those of the median host are slow; 0: no host is. */
    double unevenHostRatio = 0;
    /** No unit is started for the first time beyond this sum of Job::openTasks(), since the leader keeps a state for each of them. */
    std::size_t maxOpenTasks = std::numeric_limits<std::size_t>::max();
    /** Units placed in one round. The rest follows in the next ones, so that neither a round nor what it logs and records grows with the backlog. */
    std::size_t maxPlacements = 4096;
    /** Part of that up to which workspaces share evenly if they want more; the rest is for those with less than their share. */
    double sharedOpenPart = 0.75;
    /** Maximum number of tasks on one host, which bounds its agent's memory and the size of its messages. */
    unsigned maxTasksPerHost = 2048;
    /**
     * The same for tasks that need less than one part in `maxSmallTasksPerHost` of each of the host's resources. So tasks that need next to
     * nothing can't keep others from a host whose resources are free.
     */
    unsigned maxSmallTasksPerHost = 1024;
};

} // namespace plantainfork::batch
