/**
 * Searches for hosts for a unit: for all its tasks or for none, at the lowest cost, in a single rack if the unit asks for one, and with or
 * without preemption. Has no side effects.
 *
 * Designed for gangs that need several whole hosts among many single tasks. Tasks go to the hosts with the fewest accelerators left over,
 * and victims are the units that lose the least unsaved work for each accelerator that they free.
 */
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "batch/occupancy.h"

namespace plantainfork::batch
{

enum class CapacitySource {
    /** Only resources that are free now. */
    Free,
    /** Also resources of units that are stopping or about to end. */
    Releasing,
    /** Also resources of units that the candidate may preempt. */
    Preemptible,
};

/** A feasible placement of all tasks of a unit. */
struct Fit {
    /** Host of each task, as an index into Occupancy::hosts(). */
    std::vector<std::size_t> hosts;
    /** Units to preempt, as indices into Occupancy::placedUnits(). */
    std::set<std::size_t> victims;
    /** Core-equivalent seconds of work lost to preemption, plus host preferences; comparable only among fits of the same unit. */
    double cost = 0;
    /** Some of the resources are not free yet. */
    bool requiresWait = false;
    /** HostState::slowFactor of the slowest host. */
    double slowFactor = 1.0;
};

class FitSearch
{
public:
    FitSearch(const Occupancy &occupancy, const PlannerBounds &bounds);

    /** The cheapest placement of the unit on these hosts; with `singleRack`, on hosts of a single rack. */
    [[nodiscard]] std::optional<Fit> bestFit(const Candidate &candidate, const HostSet &hosts, CapacitySource source, bool singleRack) const;
    /**
     * Cost of one task of the unit on the host if its resources were free, comparable with Fit::cost of fits that need no preemption. Empty if
     * other rules than that for resources keep the unit from the host at present.
     */
    [[nodiscard]] std::optional<double> costOnceFree(const HostState &state, const Candidate &candidate) const;
    /** Whether the unit asks for a single rack and would fit into one of these hosts' racks once all has ended there that will. */
    [[nodiscard]] bool requiresSingleRack(const Candidate &candidate, const HostSet &hosts) const;

private:
    /** Preference among hosts with enough resources, of which `left` would stay free: lower is better. */
    [[nodiscard]] double hostCost(const HostState &state, const Candidate &candidate, const Resources &left) const;
    /** Cost of the host's speed; `fitFactor` is the slow factor of the slowest host that the unit has in this fit. */
    [[nodiscard]] double speedCost(const HostState &state, const Candidate &candidate, double fitFactor) const;
    /** Work, in seconds, that the unit is expected to lose because its host, which it doesn't use yet, fails during the run. */
    [[nodiscard]] static double expectedLoss(const HostState &state, const Candidate &candidate);
    /**
     * Whether the candidate has to wait until another task has started on the host: a unit that may be what makes executors crash starts by
     * itself, so that a crash shows whether it is. Guaranteed units don't wait.
     */
    [[nodiscard]] static bool mustStartApart(const HostState &state, const Candidate &candidate);
    /** Whether a unit that was on an executor that crashed does better on another host, which shows whether the unit or the host fails. */
    [[nodiscard]] bool avoidsAfterCrash(const HostState &state, const Unit &unit) const;
    /** What one more task of a unit would take from a host. */
    struct HostTrial {
        bool isPossible = false;
        /** Cost of the task on this host, with that of the victims. */
        double cost = 0;
        /** Victims beyond those that the fit has already. */
        std::vector<std::size_t> victims;
    };

    /** Tries one more task on a host from which the unit has taken `taken` already. */
    [[nodiscard]] HostTrial tryHost(const HostState &state, const Candidate &candidate, CapacitySource source, const Fit &fit, const Resources &taken) const;
    /** Adds the cheapest victims on the host to the trial until the need is covered. Returns false if it can't be. */
    bool selectVictims(const HostState &state, const Candidate &candidate, const Fit &fit, Resources &free, HostTrial &trial) const;
    /** Free resources of a host under the given source, as if the victims chosen so far were gone. */
    [[nodiscard]] Resources freeResources(const HostState &state, CapacitySource source, const Fit &fit) const;
    /** Places the unit's tasks greedily, one after the other, each on the host where it costs least. */
    [[nodiscard]] std::optional<Fit> tryFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, CapacitySource source) const;
    /** Whether the unit would fit on these hosts if nothing ran on them but tasks that last and that it can't preempt. */
    [[nodiscard]] bool fitsBesideLasting(const Candidate &candidate, const std::vector<std::size_t> &hosts) const;
    /** Capacity of the host without that of tasks that last and that the candidate can't preempt. */
    [[nodiscard]] Resources capacityBesideLasting(const HostState &state, const Candidate &candidate) const;

    const Occupancy &m_occupancy;
    const PlannerBounds &m_bounds;
};

} // namespace plantainfork::batch
