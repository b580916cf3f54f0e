/**
 * Use of the hosts' resources during one planning round: what is free, which units hold the rest and until when, and what is reserved for
 * blocked units. Starts from the state of the workload, which it doesn't modify, and changes as the round places and stops units.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "batch/waiting_order.h"

namespace plantainfork::batch
{

/** A unit that holds resources on hosts, with what the planner needs to decide whether to wait for it or to preempt it. */
struct PlacedUnit {
    UnitRef ref;
    /** Resources of one of its members that count against a host's capacity. */
    Resources need;
    /** Never if it lasts and isn't being stopped. */
    Instant endsAt;
    /** Work lost if the whole unit is stopped now, in core-equivalent seconds. */
    double lostWork = 0;
    /** 0: urgent and guaranteed; 1: urgent; 2: all others. A unit can only preempt units with a higher number. */
    int preemptionRank = 2;
    /** It is stopping, done or about to end, so its resources become free without a preemption. */
    bool isReleasing = false;
};

struct HostState {
    const Host *host = nullptr;
    Resources free;
    /** Index of each placed unit on this host, and the number of its members here. */
    std::vector<std::pair<std::size_t, unsigned>> placedUnits;
    /** Those of them that aren't expected to end; see PlacedUnit::endsAt. */
    std::vector<std::pair<std::size_t, unsigned>> lastingUnits;
    /** When each placed unit that is expected to end does so, with the resources that its members hold here; sorted by time. */
    std::vector<std::pair<Instant, Resources>> releases;
    /** Resources reserved for blocked units, each from the given time on. */
    std::vector<std::pair<Instant, Resources>> reservations;
    /** Number of tasks on this host that have not ended, and of the small ones among them; see PlannerBounds::maxSmallTasksPerHost. */
    unsigned tasks = 0;
    unsigned smallTasks = 0;
    /** A task on this host is stalled, so only guaranteed jobs are started here. */
    bool isStalled = false;
    /** A task was ordered to start here, in this round or before, and has not been listed as running yet. */
    bool hasStartingTask = false;
    /** One of these tasks may be what makes executors crash. */
    bool hasStartingSuspect = false;
    /** HostLosses::lossRates() of the host; 0: no losses. */
    double lossRate = 0;
    /** The host takes new tasks of some job. */
    bool isOpen = false;
    /** The data centre of the host is evacuated. */
    bool isEvacuated = false;
    /** How many times as long tasks take here if the host is classified as slow, otherwise 1. */
    double slowFactor = 1.0;
    /** Number of tasks on this host by job, occurrence and step; only of steps with a Step::maxTasksPerHost. */
    std::map<std::tuple<const Job *, std::uint32_t, std::uint32_t>, unsigned> tasksPerStep;
};

/** Hosts that a group of candidates may use, as indices into Occupancy::hosts(); all of them, and by rack. */
struct HostSet {
    std::vector<std::size_t> all;
    std::vector<std::vector<std::size_t>> racks;
    /** The largest capacity of a host of the set, for each resource by itself. */
    Resources largest;
};

class Occupancy
{
public:
    Occupancy(Workload &workload,
              const WaitingOrder &order,
              const Progress &progress,
              const PlannerBounds &bounds,
              const std::set<base::DataCentreId> &evacuated,
              Instant now);

    [[nodiscard]] const std::vector<HostState> &hosts() const
    {
        return m_hosts;
    }
    [[nodiscard]] const std::vector<PlacedUnit> &placedUnits() const
    {
        return m_placedUnits;
    }
    [[nodiscard]] Instant now() const
    {
        return m_now;
    }
    /** Whether this round stops the placed unit. */
    [[nodiscard]] bool isStopped(std::size_t placedUnit) const
    {
        return m_stopped.contains(placedUnit);
    }
    void markStopped(std::size_t placedUnit)
    {
        m_stopped.insert(placedUnit);
    }
    /** Placed units with a task that was ordered to start on a host, hasn't begun there, and wouldn't be placed there now whatever its resources. */
    [[nodiscard]] const std::vector<std::size_t> &unitsOnClosedHosts() const
    {
        return m_unitsOnClosedHosts;
    }
    /** The earliest time at which one of the unit's draining hosts may leave; empty if none is draining. */
    [[nodiscard]] std::optional<Instant> earliestDrainDeadline(const PlacedUnit &placedUnit) const;

    /** Hosts that the candidate's tasks may run on, regardless of free resources. */
    [[nodiscard]] const HostSet &allowedHosts(const Candidate &candidate);
    /** Hosts of the candidate's service that take new tasks, whatever label the candidate requires. */
    [[nodiscard]] const HostSet &serviceHosts(const Candidate &candidate);
    /** The hosts among these that are not slow. */
    [[nodiscard]] const HostSet &hostsThatAreNotSlow(const HostSet &hosts);
    /** Whether at most half of the hosts' accelerators, and at most half of their cores, are in use. */
    [[nodiscard]] bool isMostlyFree(const HostSet &hosts) const;
    /** How many more tasks of the candidate's step the host may get under Step::maxTasksPerHost and the limits of PlannerBounds. */
    [[nodiscard]] unsigned remainingPerHost(const HostState &state, const Candidate &candidate) const;
    /** Subtracts from `free` all reservations that begin before `endsAt`: what a task that runs until then may use. */
    [[nodiscard]] static Resources availableUntil(const HostState &state, Resources free, Instant endsAt);
    /**
     * When the host will have enough free resources for one task, for two and so on, up to `tasks`, if nothing else starts there. Fewer times than
     * tasks if there never will be enough for all.
     */
    [[nodiscard]] std::vector<Instant> earliestStarts(const HostState &state, const Resources &need, unsigned tasks) const;

    /**
     * When the host will have enough free resources for one task of the candidate, and fewer of its step's tasks than are allowed there, if
     * nothing else starts on it; empty if it never will.
     */
    [[nodiscard]] std::optional<Instant> earliestStart(const HostState &state, const Candidate &candidate) const;

    /** Allocates the resources of one task that is placed in this round. */
    void allocate(std::size_t host, const Candidate &candidate);
    /** Withholds resources for one task that will start once its preemption victims have stopped. */
    void withholdForPreemptor(std::size_t host, const Resources &need);
    /** Reserves the resources of one task of a blocked unit from the given time on. */
    void reserve(std::size_t host, Instant from, const Resources &need);

private:
    /** What decides, apart from the host's state, whether a candidate may use it: service, required label, and whether it is guaranteed. */
    using HostSetKey = std::tuple<base::ServiceId, std::string, bool>;

    /** The set of the key, which is collected when it is first asked for. */
    [[nodiscard]] const HostSet &hostSet(HostSetKey key);

    /** Whether the host takes no tasks of the step any more, for a reason other than its resources, its faults or a silence of its agent. */
    [[nodiscard]] bool isClosedTo(const HostState &state, const Job &job, const Step &step) const;
    /** Whether a task with this need is a small one on the host; see PlannerBounds::maxSmallTasksPerHost. */
    [[nodiscard]] bool isSmall(const Resources &need, const HostState &state) const;
    /** When the first task of the candidate's step that runs on the host is expected to end; empty if none is. */
    [[nodiscard]] std::optional<Instant> earliestEndOfStep(const HostState &state, const Candidate &candidate) const;
    /** Counts a task that is on the host, or will be. */
    void countTask(HostState &state, const Resources &need) const;
    void collectHosts(const std::set<base::DataCentreId> &evacuated);
    void collectPlacedUnits(const WaitingOrder &order, const Progress &progress, const PlannerBounds &bounds);
    void addPlacedUnit(const PlacedUnit &placedUnit, const Progress &progress);
    [[nodiscard]] HostSet collectHostSet(const HostSetKey &key) const;

    /** Marks the number of a host without a report in `m_indexByNumber`. */
    static constexpr std::size_t NoIndex = static_cast<std::size_t>(-1);

    Workload &m_workload;
    const PlannerBounds &m_bounds;
    Instant m_now;
    std::vector<HostState> m_hosts;
    /** Index into m_hosts by Host::number. */
    std::vector<std::size_t> m_indexByNumber;
    std::vector<PlacedUnit> m_placedUnits;
    /** Ascending, without duplicates. */
    std::vector<std::size_t> m_unitsOnClosedHosts;
    std::set<std::size_t> m_stopped;
    std::map<HostSetKey, HostSet> m_hostSets;
    /** By the set of which they are a part. */
    std::map<const HostSet *, HostSet> m_notSlowHostSets;
    bool m_hasDrainingHosts = false;
};

} // namespace plantainfork::batch
