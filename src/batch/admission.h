/**
 * Decides which workspaces may hand in further jobs, so that what the leader keeps for accepted jobs stays within its memory. Pure.
 *
 * Designed for callers without limits: one workspace that hands in far more than the fleet can ever run must neither end the leader nor keep
 * others out. While all jobs together take more than half of the budget, the largest workspaces are closed: those above the level at which the
 * budget's half would be shared out if each got what it uses, up to that level. The other half is room for the others, and for what is accepted
 * before a closure is in force.
 */
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "batch/model.h"

namespace plantainfork::batch
{

/** What each workspace uses of something: bytes, or tasks. */
using WorkspaceUse = std::map<base::WorkspaceId, std::size_t>;
/** Bytes by workspace. */
using KeptBytes = WorkspaceUse;

/**
 * Memory of the leader for an accepted job until its records are removed, in bytes, without the states of its started tasks, which
 * PlannerBounds::maxOpenTasks bounds.
 */
[[nodiscard]] std::size_t estimatedBytes(const JobSpec &spec);

/** The most that each may have so that all together have `total`, where those that use less keep what they use; the largest number if all fit. */
[[nodiscard]] std::size_t fairLevel(const WorkspaceUse &uses, std::size_t total);

class Admission
{
public:
    /** `budgetBytes`: memory for all jobs; 0: no bound. */
    explicit Admission(std::size_t budgetBytes)
        : m_budgetBytes(budgetBytes)
    {
    }

    /** The workspaces to be closed, given those that are closed now. A workspace opens again at a lower use than the one that closes it. */
    [[nodiscard]] std::set<base::WorkspaceId> closedWorkspaces(const KeptBytes &kept, const std::set<base::WorkspaceId> &closedNow) const;

private:
    std::size_t m_budgetBytes;
};

} // namespace plantainfork::batch
