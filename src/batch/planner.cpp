#include "batch/planner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "batch/fit_search.h"

namespace plantainfork::batch
{

namespace
{

/** Time reserved before a draining host leaves for the stop order to reach it and for the end of the run to be reported. */
constexpr std::chrono::milliseconds DrainStopMargin{500};

/** One planning round on a private copy of the hosts' free resources. */
class PlanningRound
{
public:
    PlanningRound(const PlannerBounds &bounds, Workload &workload, const std::set<base::DataCentreId> &evacuated, Instant now, WallTime wallNow)
        : m_bounds(bounds)
        , m_workload(workload)
        , m_evacuated(evacuated)
        , m_now(now)
        , m_progress(bounds, now)
        , m_order(workload, now, wallNow)
        , m_occupancy(workload, m_order, m_progress, bounds, now)
        , m_fitSearch(m_occupancy, bounds)
    {
    }

    Plan run()
    {
        for (const auto &candidate : m_order.candidates()) {
            planUnit(candidate);
        }
        stopUnitsOnDrainingHosts();
        stopStalledUnits();
        return std::move(m_plan);
    }

private:
    /** Places the unit; failing that, preempts others for it, or reserves resources. */
    void planUnit(const Candidate &candidate)
    {
        const auto hosts = m_occupancy.allowedHosts(candidate, m_evacuated);
        const bool singleRack = m_fitSearch.requiresSingleRack(candidate, hosts);
        if (auto fit = m_fitSearch.bestFit(candidate, hosts, CapacitySource::Free, singleRack)) {
            if (!shouldWaitForDataRack(candidate, hosts, *fit)) {
                addPlacement(candidate, *fit);
                return;
            }
        }
        ++m_plan.blocked;
        // Without a guarantee, only an urgent job that can still meet its objective may preempt others.
        if (candidate.isGuaranteed || (candidate.priority == 0 && candidate.latenessLevel == 0)) {
            if (auto fit = m_fitSearch.bestFit(candidate, hosts, CapacitySource::Preemptible, singleRack); fit && isPreemptionWorthwhile(candidate, *fit)) {
                preemptFor(candidate, *fit);
                return;
            }
            if (singleRack) {
                if (auto fit = m_fitSearch.bestFit(candidate, hosts, CapacitySource::Preemptible, false); fit && isPreemptionWorthwhile(candidate, *fit)) {
                    fit->requiresWait ? preemptFor(candidate, *fit) : addPlacement(candidate, *fit);
                    return;
                }
            }
        }
        reserve(candidate, hosts, singleRack);
    }

    /** Without a guarantee, a preemption must not lose more work than the unit itself will do. */
    [[nodiscard]] bool isPreemptionWorthwhile(const Candidate &candidate, const Fit &fit) const
    {
        const Step &step = candidate.ref.step();
        const double members = step.isGang ? step.tasks : 1;
        return candidate.isGuaranteed || fit.cost <= toSeconds(candidate.runTime) * coreEquivalents(step.need) * members;
    }

    /** Whether a task that could only start outside its data's rack does better to wait: that rack frees up sooner than the slowdown costs. */
    [[nodiscard]] bool shouldWaitForDataRack(const Candidate &candidate, const std::vector<std::size_t> &hosts, const Fit &fit) const
    {
        const Step &step = candidate.ref.step();
        if (step.dataRack.empty() || candidate.isGuaranteed || step.isGang || m_occupancy.hosts()[fit.hosts.front()].rack == step.dataRack) {
            return false;
        }
        const Duration loss = scaled(candidate.runTime, m_bounds.remoteFactor - 1.0);
        return std::any_of(hosts.begin(), hosts.end(), [&](std::size_t index) {
            return m_occupancy.hosts()[index].rack == step.dataRack
                && m_occupancy.earliestStart(m_occupancy.hosts()[index], step.countedNeed(), 1) <= m_now + loss;
        });
    }

    void addPlacement(const Candidate &candidate, const Fit &fit)
    {
        Placement placement{candidate.ref, {}};
        for (const auto index : fit.hosts) {
            m_occupancy.allocate(index, candidate);
            placement.hosts.push_back(m_occupancy.hosts()[index].host->id);
        }
        m_plan.placements.push_back(std::move(placement));
    }

    /** Stops the victims and withholds their resources for the unit, which starts in a later round once they are free. */
    void preemptFor(const Candidate &candidate, const Fit &fit)
    {
        for (const auto victim : fit.victims) {
            m_occupancy.markStopped(victim);
            m_plan.stops.push_back({m_occupancy.placedUnits()[victim].ref, StopReason::Preempted});
        }
        for (const auto index : fit.hosts) {
            m_occupancy.withholdForPreemptor(index, candidate.ref.step().countedNeed());
        }
    }

    /** Reserves resources for a blocked unit on the hosts where it can start earliest. */
    void reserve(const Candidate &candidate, const std::vector<std::size_t> &hosts, bool singleRack)
    {
        if (m_reservations >= m_bounds.maxReservations || candidate.latenessLevel == 2) {
            return;
        }
        const Step &step = candidate.ref.step();
        const std::size_t members = step.isGang ? step.tasks : 1;
        std::map<std::string, std::vector<std::pair<Instant, std::size_t>>> racks;
        for (const auto index : hosts) {
            const HostState &state = m_occupancy.hosts()[index];
            for (unsigned tasks = 1; tasks <= members && tasks <= Occupancy::remainingPerHost(state, candidate); ++tasks) {
                const Instant at = m_occupancy.earliestStart(state, step.countedNeed(), tasks);
                if (at == Instant::max()) {
                    break;
                }
                racks[singleRack ? state.rack : std::string()].emplace_back(at, index);
            }
        }
        const std::vector<std::pair<Instant, std::size_t>> *best = nullptr;
        for (auto &[rack, starts] : racks) {
            std::sort(starts.begin(), starts.end());
            if (starts.size() >= members && (best == nullptr || starts[members - 1].first < (*best)[members - 1].first)) {
                best = &starts;
            }
        }
        if (best == nullptr) {
            return;
        }
        ++m_reservations;
        const Instant at = (*best)[members - 1].first;
        for (std::size_t i = 0; i < members; ++i) {
            m_occupancy.reserve((*best)[i].second, at, step.countedNeed());
        }
    }

    /**
     * Stops units that won't finish before their draining host leaves: at once if they can start elsewhere now, otherwise, if they have
     * checkpoints, just in time to write a last one.
     */
    void stopUnitsOnDrainingHosts()
    {
        for (std::size_t i = 0; i < m_occupancy.placedUnits().size(); ++i) {
            const PlacedUnit &placedUnit = m_occupancy.placedUnits()[i];
            const auto deadline = placedUnit.isReleasing || m_occupancy.isStopped(i) ? std::nullopt : earliestDrainDeadline(placedUnit);
            if (!deadline || placedUnit.endsAt <= *deadline) {
                continue;
            }
            const bool isDeadlineNear = m_now + m_bounds.killGrace + DrainStopMargin >= *deadline;
            if ((isDeadlineNear && placedUnit.ref.step().hasCheckpoints) || canStartElsewhere(placedUnit)) {
                m_occupancy.markStopped(i);
                m_plan.stops.push_back({placedUnit.ref, StopReason::HostLeaving});
            }
        }
    }

    /** Stops stalled units that can start elsewhere, once they have stalled for longer than repeating their unsaved work would take. */
    void stopStalledUnits()
    {
        for (std::size_t i = 0; i < m_occupancy.placedUnits().size(); ++i) {
            const PlacedUnit &placedUnit = m_occupancy.placedUnits()[i];
            if (placedUnit.isReleasing || m_occupancy.isStopped(i)) {
                continue;
            }
            const Unit &unit = *placedUnit.ref.unit;
            const bool isRestartWorthwhile = std::any_of(unit.members.begin(), unit.members.end(), [&](const Member &member) {
                return m_progress.isStalled(*placedUnit.ref.job, unit, member)
                    && m_now - member.progressedAt >= scaled(placedUnit.ref.step().estimate, unsavedFraction(unit, member));
            });
            if (isRestartWorthwhile && canStartElsewhere(placedUnit)) {
                m_occupancy.markStopped(i);
                m_plan.stops.push_back({placedUnit.ref, StopReason::Stalled});
            }
        }
    }

    /** The earliest time at which one of the unit's draining hosts may leave; empty if none is draining. */
    [[nodiscard]] std::optional<Instant> earliestDrainDeadline(const PlacedUnit &placedUnit) const
    {
        std::optional<Instant> earliest;
        for (const auto &member : placedUnit.ref.unit->members) {
            const auto host = m_workload.hosts().find(member.host);
            if (host != m_workload.hosts().end() && host->second.report.isDraining) {
                earliest = earliest ? std::min(*earliest, host->second.drainDeadline) : host->second.drainDeadline;
            }
        }
        return earliest;
    }

    [[nodiscard]] bool canStartElsewhere(const PlacedUnit &placedUnit) const
    {
        const Candidate again = m_order.candidate(*placedUnit.ref.job, *placedUnit.ref.unit);
        const auto hosts = m_occupancy.allowedHosts(again, m_evacuated);
        const bool singleRack = m_fitSearch.requiresSingleRack(again, hosts);
        return m_fitSearch.bestFit(again, hosts, CapacitySource::Free, singleRack).has_value();
    }

    const PlannerBounds &m_bounds;
    Workload &m_workload;
    const std::set<base::DataCentreId> &m_evacuated;
    Instant m_now;
    Progress m_progress;
    WaitingOrder m_order;
    Occupancy m_occupancy;
    FitSearch m_fitSearch;
    unsigned m_reservations = 0;
    Plan m_plan;
};

} // namespace

Planner::Planner(PlannerBounds bounds)
    : m_bounds(bounds)
{
}

Plan Planner::plan(Workload &workload, const std::set<base::DataCentreId> &evacuated, Instant now, WallTime wallNow) const
{
    return PlanningRound(m_bounds, workload, evacuated, now, wallNow).run();
}

} // namespace plantainfork::batch
