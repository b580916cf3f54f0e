/**
 * The order in which waiting units are considered. Pure.
 *
 * Load pattern answered: bursts of urgent jobs over a base that fills the hosts. Those within their workspace's guarantee come first,
 * oldest first, so that a burst can't push out an earlier claim; the others by priority and by whether they can still be in time.
 */
#pragma once

#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "batch/progress.h"

namespace plantainfork::batch
{

/** A unit that waits, with what orders it. */
struct Candidate {
    UnitRef ref;
    std::uint32_t priority = 0;
    /** Within its workspace's guarantee. */
    bool isGuaranteed = false;
    /** 0: can still be in time; 1: can still earn; 2: can't. */
    int latenessLevel = 0;
    Instant latestStart;
    Duration runTime{};
    /** Work of the whole job in weighted seconds. */
    double jobWork = 0;

    [[nodiscard]] int preemptionRank() const
    {
        return isGuaranteed ? 0 : priority == 0 ? 1 : 2;
    }
    [[nodiscard]] auto sortKey() const
    {
        // Those that can all be in time go by their latest start. Where there isn't room for all, small jobs first serve more callers.
        const bool isShortestFirst = !isGuaranteed && (priority == 0 || latenessLevel > 0);
        return std::tuple(!isGuaranteed,
                          priority,
                          latenessLevel,
                          isShortestFirst ? jobWork : 0.0,
                          latestStart,
                          ref.job->spec.id.value(),
                          ref.unit->occurrence,
                          ref.unit->step,
                          ref.unit->index);
    }
};

class WaitingOrder
{
public:
    WaitingOrder(Workload &workload, Instant now, WallTime wallNow);

    [[nodiscard]] bool isGuaranteed(const Job &job) const;
    /** All units that may start now, in the order in which they are to be placed. */
    [[nodiscard]] std::vector<Candidate> candidates() const;
    [[nodiscard]] Candidate candidate(Job &job, Unit &unit) const;

private:
    void collectGuaranteedJobs();
    /** The oldest urgent jobs of a workspace whose needs together stay within its guarantee. */
    void applyGuarantee(const base::WorkspaceId &workspace, std::vector<Job *> &jobs);

    Workload &m_workload;
    Instant m_now;
    WallTime m_wallNow;
    std::set<const Job *> m_guaranteedJobs;
};

} // namespace plantainfork::batch
