/**
 * Sorts waiting units into the order in which the planner considers them. Has no side effects.
 *
 * Designed for bursts of urgent jobs on hosts that are filled by a base load. Jobs within their workspace's guarantee come first. The
 * guarantee is assigned to the oldest jobs, so that a burst can't displace an earlier claim. All other jobs are sorted by priority, by
 * whether they can still meet their objective, and by the share of service that their workspace has recently received.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "batch/progress.h"

namespace plantainfork::batch
{

/** A waiting unit and the attributes by which it is sorted. */
struct Candidate {
    UnitRef ref;
    std::uint32_t priority = 0;
    /** The job is covered by its workspace's guarantee. */
    bool isGuaranteed = false;
    /** 0: can still meet its objective; 1: late, but its completion still has value; 2: too late to have any value. */
    int latenessLevel = 0;
    /** Latest start at which the job can still meet its objective. */
    Instant latestStart;
    Duration runTime{};
    /** Estimated work of the whole job in core-equivalent seconds. */
    double jobWork = 0;
    /** FairShare::level() of its workspace if the unit is ordered by it, otherwise 0. */
    int shareLevel = 0;

    /**
     * Whether its place in the order depends on its workspace's share. Guaranteed units come first regardless of it. Among units that have
     * no value left, no order makes any of them useful, and shortest first ends the most of them soonest.
     */
    [[nodiscard]] bool isSharing() const
    {
        return !isGuaranteed && latenessLevel < 2;
    }
    /** Without a guarantee, only an urgent job that can still meet its objective may preempt others. */
    [[nodiscard]] bool mayPreempt() const
    {
        return isGuaranteed || (priority == 0 && latenessLevel == 0);
    }
    /** See PlacedUnit::preemptionRank. */
    [[nodiscard]] int preemptionRank() const
    {
        return isGuaranteed ? 0 : priority == 0 ? 1 : 2;
    }
    /** Order among units that differ neither in priority nor in lateness nor in their workspaces' shares. */
    [[nodiscard]] auto orderKey() const
    {
        // Jobs that can all meet their objectives are sorted by latest start. Urgent or late jobs compete for scarce capacity, where taking
        // small jobs first serves more callers.
        const bool isShortestFirst = !isGuaranteed && (priority == 0 || latenessLevel > 0);
        using Key = std::tuple<double, Instant, const base::JobId &, std::uint32_t, std::uint32_t, std::uint32_t>;
        return Key(isShortestFirst ? jobWork : 0.0, latestStart, ref.job->spec.id, ref.unit->occurrence, ref.unit->step, ref.unit->index);
    }
    [[nodiscard]] auto sortKey() const
    {
        return std::tuple_cat(std::tuple(!isGuaranteed, priority, latenessLevel, shareLevel), orderKey());
    }
};

class WaitingOrder
{
public:
    WaitingOrder(Workload &workload, Instant now, WallTime wallNow);

    [[nodiscard]] bool isGuaranteed(const Job &job) const;
    /** All units that may start now, in the order in which to place them. */
    [[nodiscard]] std::vector<Candidate> candidates();
    /** The next unit of the candidate's step that has never been started, which comes right after the candidate in the order, if there is one. */
    [[nodiscard]] std::optional<Candidate> nextOfStep(const Candidate &candidate);
    [[nodiscard]] Candidate candidate(Job &job, Unit &unit) const;
    [[nodiscard]] static std::size_t tasksOf(const Candidate &candidate);
    /** Whether the unit may start under JobLimits::OpenTasks. */
    [[nodiscard]] bool mayOpen(const Candidate &candidate);
    /** Notes that the unit starts, or will start once others have been stopped for it. */
    void noteOpened(const Candidate &candidate);

private:
    /** Adds the next unit of each step of a sparse job that is ready and has none that waits. */
    void addNextUnits(Job &job);
    void collectGuaranteedJobs();
    /** Marks the workspace's urgent jobs as guaranteed, oldest first, as long as their combined needs fit its guarantee. */
    void applyGuarantee(const base::WorkspaceId &workspace, std::vector<Job *> &jobs);

    Workload &m_workload;
    Instant m_now;
    WallTime m_wallNow;
    std::set<const Job *> m_guaranteedJobs;
    /** Open tasks of jobs with more tasks than may be open, those of units that start in this round included. */
    std::map<const Job *, std::size_t> m_openTasks;
};

} // namespace plantainfork::batch
