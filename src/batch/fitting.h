/**
 * Where a unit fits: all its tasks or none, on the hosts where they cost least, in one rack where it asks for that, with or without
 * room taken back from others. Pure.
 *
 * Load pattern answered: gangs that need several whole hosts among many single tasks. Tasks go where they leave the least room over, and
 * victims are those that lose the least unsaved work for each accelerator that they free.
 */
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "batch/occupancy.h"

namespace plantainfork::batch
{

enum class CapacitySource {
    /** Only room that is free now. */
    Free,
    /** Also room of occupants that are stopping or about to end. */
    Releasing,
    /** Also room of occupants that may be stopped. */
    Preemptible,
};

/** One way to place all tasks of a unit. */
struct Fit {
    /** Host of each task, by number in the occupancy. */
    std::vector<std::size_t> hosts;
    std::set<std::size_t> victims;
    /** Weighted seconds of work, comparable among the fits of one unit. */
    double cost = 0;
    /** Room that it needs is not free yet. */
    bool requiresWait = false;
};

class FitSearch
{
public:
    FitSearch(const Occupancy &occupancy, const PlannerBounds &bounds);

    /** The cheapest way to place the unit, in one rack if so asked. */
    [[nodiscard]] std::optional<Fit> bestFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, CapacitySource source, bool singleRack) const;
    /** Whether the unit asks for one rack and one of these hosts' racks could hold it if it were empty. */
    [[nodiscard]] bool requiresOneRack(const Candidate &candidate, const std::vector<std::size_t> &hosts) const;

private:
    /** Preference among hosts that have room: less is better. */
    [[nodiscard]] double hostCost(const HostState &state, const Candidate &candidate, const Room &left) const;
    /** Cheapest victims on the host, with those already chosen, until it holds the need. */
    bool selectVictims(const HostState &state, const Room &need, Room &free, Fit &fit, const Candidate &candidate) const;
    /** Free room of a host under the means, with the victims chosen so far gone. */
    [[nodiscard]] Room freeResources(const HostState &state, CapacitySource source, const Fit &fit) const;
    /** Places all tasks of the unit on the given hosts, one after the other, each where it costs least. */
    [[nodiscard]] std::optional<Fit> tryFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, CapacitySource source) const;
    /** Whether the unit would fit on these hosts if they were empty. */
    [[nodiscard]] bool fitsWhenEmpty(const Candidate &candidate, const std::vector<std::size_t> &hosts) const;

    const Occupancy &m_occupancy;
    const PlannerBounds &m_bounds;
};

} // namespace plantainfork::batch
