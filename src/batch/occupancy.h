/**
 * Room on the hosts during one round of decisions: what is free, who takes it and until when, and what is kept for blocked units.
 * Pure; starts from the workload and changes as the round places and stops units.
 */
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "batch/waiting_order.h"

namespace plantainfork::batch
{

/** Rack of a host by its labels: the second of the two that hosts report. Empty if there is none. */
[[nodiscard]] std::string rackOf(const HostReport &report);

/** A placed unit, as something that ends, or gives way. */
struct PlacedUnit {
    UnitRef ref;
    Instant endsAt;
    /** Work lost if it is stopped now, in weighted seconds, for the whole unit. */
    double lostWork = 0;
    /** 0: urgent and within its guarantee; 1: urgent; 2: all else. Only lower standings take room back. */
    int preemptionRank = 2;
    bool isReleasing = false;
};

struct HostState {
    const Host *host = nullptr;
    std::string rack;
    Room free;
    /** Occupant and how many of its members are here. */
    std::vector<std::pair<std::size_t, unsigned>> placedUnits;
    /** Room kept for a blocked unit from the instant on. */
    std::vector<std::pair<Instant, Room>> reservations;
    /** A task here stands still, so nothing new is started. */
    bool isStalled = false;
    /** Tasks here by step, for spread limits. */
    std::map<std::tuple<const Job *, std::uint32_t, std::uint32_t>, unsigned> tasksPerStep;
};

class Occupancy
{
public:
    Occupancy(Workload &workload, const WaitingOrder &order, const Progress &progress, const PlannerBounds &bounds, Instant now);

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
    /** Occupants that this round stops. */
    [[nodiscard]] bool isStopped(std::size_t placedUnit) const
    {
        return m_stopped.contains(placedUnit);
    }
    void markStopped(std::size_t placedUnit)
    {
        m_stopped.insert(placedUnit);
    }

    /** Hosts on which the candidate's tasks may run at all, room aside. */
    [[nodiscard]] std::vector<std::size_t> allowedHosts(const Candidate &candidate, const std::set<base::DataCentreId> &evacuated) const;
    /** How many more tasks of the candidate's step its spread limit lets onto the host. */
    [[nodiscard]] static unsigned remainingPerHost(const HostState &state, const Candidate &candidate);
    /** Room left once what is kept for blocked units with an earlier claim is taken off, for a task that runs that long. */
    [[nodiscard]] static Room availableUntil(const HostState &state, Room free, Instant endsAt);
    /** When the host will have room for that many tasks if nothing else starts there. */
    [[nodiscard]] Instant earliestStart(const HostState &state, const Room &need, unsigned tasks) const;

    /** Takes the room of one task. */
    void allocate(std::size_t host, const Candidate &candidate);
    /** Keeps the room of one task that can't start yet but has been promised its victims' room. */
    void holdForPreemptor(std::size_t host, const Room &need);
    /** Keeps room from the instant on. */
    void reserve(std::size_t host, Instant from, const Room &need);

private:
    void collectHosts();
    void collectPlacedUnits(const WaitingOrder &order, const Progress &progress, const PlannerBounds &bounds);
    void addPlacedUnit(const PlacedUnit &placedUnit, const Progress &progress);
    [[nodiscard]] bool allows(const HostState &state, const Candidate &candidate, const std::set<base::DataCentreId> &evacuated) const;

    Workload &m_workload;
    Instant m_now;
    std::vector<HostState> m_hosts;
    std::map<HostId, std::size_t> m_hostIndex;
    std::vector<PlacedUnit> m_placedUnits;
    std::set<std::size_t> m_stopped;
};

} // namespace plantainfork::batch
