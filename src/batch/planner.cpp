#include "batch/planner.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "batch/fit_search.h"

namespace plantainfork::batch
{

namespace
{

/** Time reserved before a draining host leaves for the stop order to reach it and for the end of the run to be reported. */
constexpr std::chrono::milliseconds DrainStopMargin{500};
/** Longest wait of a task that lasts for a place in the rack that it prefers. */
constexpr std::chrono::seconds MaxRackWaitOfLasting{2};
/** Tasks that fitted nowhere and are remembered within a round: each is compared with every later candidate. */
constexpr std::size_t MaxMisfits = 64;

/** One planning round on a private copy of the hosts' free resources. */
class PlanningRound
{
public:
    PlanningRound(const PlannerBounds &bounds, Workload &workload, const std::set<base::DataCentreId> &evacuated, Instant now, WallTime wallNow)
        : m_bounds(bounds)
        , m_now(now)
        , m_progress(bounds, workload.speeds(), now)
        , m_order(workload, now, wallNow)
        , m_workload(workload)
        , m_occupancy(workload, m_order, m_progress, bounds, evacuated, now)
        , m_fitSearch(m_occupancy, bounds)
        , m_isSharing(workload.fairShare().isOn())
    {
        collectOpenTasks();
    }

    Plan run()
    {
        withdrawStartsOnClosedHosts();
        withdrawStartsWithoutRoom();
        const auto candidates = m_order.candidates();
        for (const auto &candidate : candidates) {
            // Equal units of a step follow one another; once one gets no room, neither would the next.
            const Candidate *next = &candidate;
            while (next != nullptr && planNext(*next)) {
                auto following = m_order.nextOfStep(*next);
                next = following ? &m_following.emplace_back(*following) : nullptr;
            }
        }
        if (m_isSharing) {
            collectServiceUse(candidates);
        }
        stopUnitsOnDrainingHosts();
        stopStalledUnits();
        return std::move(m_plan);
    }

private:
    void collectOpenTasks()
    {
        std::size_t allTasks = 0;
        for (const Job *job : m_workload.activeJobs()) {
            allTasks += job->taskCount;
        }
        m_areOpenTasksBounded = allTasks > m_bounds.maxOpenTasks;
        if (!m_areOpenTasksBounded) {
            return;
        }
        for (const Job *job : m_workload.activeJobs()) {
            const std::size_t open = job->openTasks();
            m_openTasks += open;
            m_workspaceOpenTasks[job->spec.workspace] += open;
        }
        m_openLevel = fairLevel(m_workspaceOpenTasks, static_cast<std::size_t>(static_cast<double>(m_bounds.maxOpenTasks) * m_bounds.sharedOpenPart));
    }

    /** Plans the unit; returns whether it is placed, or others are stopped for it. */
    bool planNext(const Candidate &candidate)
    {
        const std::size_t placedBefore = m_plan.placements.size();
        const std::size_t preemptionsBefore = m_preemptions;
        if (mayOpen(candidate)) {
            planUnit(candidate);
        } else {
            ++m_plan.blocked;
        }
        const bool isPlaced = m_plan.placements.size() > placedBefore;
        noteShareOrder(candidate, isPlaced);
        const bool hasProgress = isPlaced || m_preemptions > preemptionsBefore;
        if (hasProgress) {
            noteOpened(candidate);
        }
        return hasProgress;
    }

    void noteOpened(const Candidate &candidate)
    {
        m_order.noteOpened(candidate);
        if (m_areOpenTasksBounded && candidate.ref.unit->isFresh()) {
            m_openTasks += WaitingOrder::tasksOf(candidate);
            m_workspaceOpenTasks[candidate.ref.job->spec.workspace] += WaitingOrder::tasksOf(candidate);
        }
    }

    /** Whether the state that the unit has once it is started keeps within the bounds on its job and on all jobs. */
    [[nodiscard]] bool mayOpen(const Candidate &candidate)
    {
        if (!candidate.ref.unit->isFresh()) {
            return true;
        }
        if (m_areOpenTasksBounded) {
            const std::size_t tasks = WaitingOrder::tasksOf(candidate);
            const bool hasRoom = m_openTasks + tasks <= m_bounds.maxOpenTasks;
            if (!hasRoom || m_workspaceOpenTasks[candidate.ref.job->spec.workspace] + tasks > m_openLevel) {
                return false;
            }
        }
        return m_order.mayOpen(candidate);
    }

    /** Places the unit; failing that, preempts others for it, or reserves resources. */
    void planUnit(const Candidate &candidate)
    {
        const HostSet &hosts = m_occupancy.allowedHosts(candidate);
        if (!hosts.largest.covers(candidate.ref.step().countedNeed()) || m_plan.placements.size() >= m_bounds.maxPlacements) {
            ++m_plan.blocked;
            return;
        }
        const bool singleRack = m_fitSearch.requiresSingleRack(candidate, hosts);
        std::optional<ExpectedPlace> nearData;
        if (!isKnownNotToFit(candidate)) {
            if (auto fit = m_fitSearch.bestFit(candidate, hosts, CapacitySource::Free, singleRack)) {
                if (avoidsSlowHosts(candidate, hosts, *fit, singleRack)) {
                    ++m_plan.blocked;
                    return;
                }
                nearData = betterPlaceNearData(candidate, hosts, *fit);
                if (!nearData) {
                    addPlacement(candidate, *fit);
                    return;
                }
            } else {
                rememberNotToFit(candidate);
            }
        }
        ++m_plan.blocked;
        if (candidate.mayPreempt()) {
            // After a place away from the data is declined, a fit that needs no wait is that place again.
            if (auto fit = m_fitSearch.bestFit(candidate, hosts, CapacitySource::Preemptible, singleRack);
                fit && isPreemptionWorthwhile(candidate, *fit) && (!nearData || fit->requiresWait)) {
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
        if (singleRack && shouldSpread(candidate, hosts)) {
            if (auto fit = m_fitSearch.bestFit(candidate, hosts, CapacitySource::Free, false)) {
                addPlacement(candidate, *fit);
                return;
            }
        }
        if (nearData) {
            waitNearData(candidate, *nearData);
            return;
        }
        reserve(candidate, hosts, singleRack);
    }

    /**
     * Makes room on hosts that aren't slow for an urgent unit that fits on slow ones only, if it would miss its objective there and is done
     * earlier after a preemption. Returns whether it does.
     */
    bool avoidsSlowHosts(const Candidate &candidate, const HostSet &hosts, const Fit &slowFit, bool singleRack)
    {
        const bool isTooSlow = slowFit.slowFactor > std::max(1.0, m_workload.queueOf(*candidate.ref.job).slackFactor);
        if (m_bounds.unevenHostRatio <= 0 || candidate.priority != 0 || !isTooSlow || !candidate.mayPreempt()) {
            return false;
        }
        // The time waited so far counts, too: others may take the room that is made, over and over again.
        const Duration waited = m_now - candidate.ref.unit->waitingSince;
        if (waited + m_bounds.killGrace >= scaled(candidate.runTime, slowFit.slowFactor - 1.0)) {
            return false;
        }
        const auto fit = m_fitSearch.bestFit(candidate, m_occupancy.hostsThatAreNotSlow(hosts), CapacitySource::Preemptible, singleRack);
        if (!fit || !fit->requiresWait || !isPreemptionWorthwhile(candidate, *fit)) {
            return false;
        }
        preemptFor(candidate, *fit);
        if (!fit->victims.empty()) {
            m_plan.avoided.push_back({candidate.ref, slowFit.slowFactor, fit->victims.size()});
        }
        return true;
    }

    /** Notes a blocked unit that a unit with a smaller share was placed ahead of. Candidates come in the order in which they are planned. */
    void noteShareOrder(const Candidate &candidate, bool isPlaced)
    {
        if (!m_isSharing || !candidate.isSharing()) {
            return;
        }
        ShareGroup &group = m_shareGroup;
        if (group.first == nullptr || group.first->priority != candidate.priority || group.first->latenessLevel != candidate.latenessLevel) {
            group = {&candidate, candidate.shareLevel, nullptr, nullptr};
        }
        if (group.level != candidate.shareLevel) {
            const bool isLater = group.lastPlaced != nullptr && (group.lastAhead == nullptr || group.lastAhead->orderKey() < group.lastPlaced->orderKey());
            group = {group.first, candidate.shareLevel, isLater ? group.lastPlaced : group.lastAhead, nullptr};
        }
        if (isPlaced) {
            group.lastPlaced = &candidate;
        } else if (group.lastAhead != nullptr && candidate.orderKey() < group.lastAhead->orderKey() && !candidate.ref.unit->isPassedOver) {
            m_plan.passedOver.push_back(candidate.ref);
        }
    }

    void collectServiceUse(const std::vector<Candidate> &candidates)
    {
        const Job *last = nullptr;
        for (const auto &candidate : candidates) {
            if (candidate.ref.job != last && !candidate.isGuaranteed) {
                m_plan.serviceUse.try_emplace(candidate.ref.job->spec.workspace, 0.0);
            }
            last = candidate.ref.job;
        }
        last = nullptr;
        double *use = nullptr;
        for (const auto &placedUnit : m_occupancy.placedUnits()) {
            if (placedUnit.preemptionRank == 0) {
                continue;
            }
            if (placedUnit.ref.job != last) {
                use = &m_plan.serviceUse[placedUnit.ref.job->spec.workspace];
            }
            last = placedUnit.ref.job;
            const auto &members = placedUnit.ref.unit->members;
            const auto active = std::count_if(members.begin(), members.end(), [](const Member &member) {
                return member.phase != MemberPhase::Ended;
            });
            *use += coreEquivalents(placedUnit.need) * static_cast<double>(active);
        }
    }

    /** Extra time that the unit takes away from its data's rack, or as a gang that is spread over several racks. */
    [[nodiscard]] Duration remoteLoss(const Candidate &candidate) const
    {
        return scaled(candidate.runTime, m_bounds.remoteFactor - 1.0);
    }

    /**
     * Longest wait for a place in the rack of the unit's data, or for a gang in a single rack: the time that the place elsewhere costs. A task
     * that lasts does nothing for its users while it waits, and has no end that a wait could bring forward.
     */
    [[nodiscard]] Duration maxRackWait(const Candidate &candidate) const
    {
        const Duration loss = remoteLoss(candidate);
        return candidate.ref.step().isLongRunning ? std::min<Duration>(loss, MaxRackWaitOfLasting) : loss;
    }

    /**
     * Whether the unit has waited for longer than a run on several racks would have cost. Expected starts can't decide this: smaller units may
     * take the room on every rack first, over and over again.
     */
    [[nodiscard]] bool hasWaitedTooLong(const Candidate &candidate) const
    {
        return m_now - candidate.ref.unit->waitingSince >= maxRackWait(candidate);
    }

    /**
     * Whether a gang that has found no room in a single rack does better on several racks: it has waited for long, and either lasts, or much of
     * what it may use is free, so that it takes no room from others who need it. A required label may leave it with few of its service's hosts.
     */
    [[nodiscard]] bool shouldSpread(const Candidate &candidate, const HostSet &hosts)
    {
        return hasWaitedTooLong(candidate)
            && (candidate.ref.step().isLongRunning || m_occupancy.isMostlyFree(hosts) || m_occupancy.isMostlyFree(m_occupancy.serviceHosts(candidate)));
    }

    /** Whether an earlier candidate of this round that needs no more on any host fitted nowhere. Free resources only shrink within a round. */
    [[nodiscard]] bool isKnownNotToFit(const Candidate &candidate)
    {
        const Resources need = candidate.ref.step().countedNeed();
        return std::any_of(m_misfits.begin(), m_misfits.end(), [&](const Misfit &misfit) {
            return need.covers(misfit.need) && candidate.runTime >= misfit.runTime && misfit.hosts == &m_occupancy.allowedHosts(candidate);
        });
    }

    void rememberNotToFit(const Candidate &candidate)
    {
        const Step &step = candidate.ref.step();
        // A gang may lack room for the number of its tasks only, a limit per host counts for its own step only, and a suspect of crashes is
        // kept away from hosts that others may use.
        const bool isKeptApart = candidate.ref.unit->isCrashSuspect();
        if (!step.isGang && step.maxTasksPerHost == 0 && !isKeptApart && m_misfits.size() < MaxMisfits) {
            m_misfits.push_back({step.countedNeed(), candidate.runTime, &m_occupancy.allowedHosts(candidate)});
        }
    }

    /** Without a guarantee, a preemption must not lose more work than the unit itself will do. */
    [[nodiscard]] bool isPreemptionWorthwhile(const Candidate &candidate, const Fit &fit) const
    {
        const Step &step = candidate.ref.step();
        const double members = step.isGang ? step.tasks : 1;
        return candidate.isGuaranteed || fit.cost <= toSeconds(candidate.runTime) * coreEquivalents(step.need) * members;
    }

    /** A place that a unit gets later, if nothing else takes it. */
    struct ExpectedPlace {
        std::size_t host = 0;
        Instant from;
    };

    /**
     * The place in the rack of the task's data that the task does better to wait for than to start now at `fit`, which is away from it; empty if
     * there is none. The place is one that the task would get by the rules by which `fit` was chosen, and the task waits no longer than for
     * maxRackWait() in all.
     */
    [[nodiscard]] std::optional<ExpectedPlace> betterPlaceNearData(const Candidate &candidate, const HostSet &hosts, const Fit &fit) const
    {
        const Step &step = candidate.ref.step();
        if (step.dataRack.empty() || candidate.isGuaranteed || step.isGang || m_occupancy.hosts()[fit.hosts.front()].host->rack == step.dataRack) {
            return std::nullopt;
        }
        const Instant declinedAt = candidate.ref.unit->placeDeclinedAt;
        const Instant latest = (declinedAt == Instant() ? m_now : declinedAt) + maxRackWait(candidate);
        std::optional<ExpectedPlace> best;
        double bestCost = fit.cost;
        for (const auto index : hosts.all) {
            const HostState &state = m_occupancy.hosts()[index];
            const auto from = state.host->rack == step.dataRack ? m_occupancy.earliestStart(state, candidate) : std::nullopt;
            const auto cost = from && *from <= latest ? m_fitSearch.costOnceFree(state, candidate) : std::nullopt;
            if (cost && toSeconds(*from - m_now) + *cost < bestCost) {
                bestCost = toSeconds(*from - m_now) + *cost;
                best = ExpectedPlace{index, *from};
            }
        }
        return best;
    }

    /** Lets the unit wait for a place in the rack of its data, which is reserved for it. */
    void waitNearData(const Candidate &candidate, const ExpectedPlace &place)
    {
        m_plan.waitingNearData.push_back(candidate.ref);
        if (mayReserve(candidate)) {
            ++m_reservations;
            m_occupancy.reserve(place.host, place.from, candidate.ref.step().countedNeed());
        }
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
        ++m_preemptions;
        for (const auto victim : fit.victims) {
            m_occupancy.markStopped(victim);
            m_plan.stops.push_back({m_occupancy.placedUnits()[victim].ref, StopReason::Preempted});
        }
        for (const auto index : fit.hosts) {
            m_occupancy.withholdForPreemptor(index, candidate.ref.step().countedNeed());
        }
    }

    [[nodiscard]] bool mayReserve(const Candidate &candidate) const
    {
        return m_reservations < m_bounds.maxReservations && candidate.latenessLevel != 2;
    }

    /**
     * Reserves resources for a blocked unit on the hosts where it can start earliest. Where it can't start before tasks are stopped that last,
     * nothing is reserved: that would keep others from resources that the unit doesn't get either.
     */
    void reserve(const Candidate &candidate, const HostSet &hosts, bool singleRack)
    {
        if (!mayReserve(candidate)) {
            return;
        }
        const Step &step = candidate.ref.step();
        const std::size_t members = step.isGang ? step.tasks : 1;
        std::map<std::string_view, std::vector<std::pair<Instant, std::size_t>>> racks;
        for (const auto index : hosts.all) {
            const HostState &state = m_occupancy.hosts()[index];
            const auto tasks = static_cast<unsigned>(std::min<std::size_t>(members, m_occupancy.remainingPerHost(state, candidate)));
            for (const Instant at : m_occupancy.earliestStarts(state, step.countedNeed(), tasks)) {
                racks[singleRack ? std::string_view(state.host->rack) : std::string_view()].emplace_back(at, index);
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
     * Withdraws units with starts that have not begun on hosts that no longer take them: an agent repeats a start for as long as it is ordered,
     * so an unhealthy executor may begin it at any later time.
     */
    void withdrawStartsOnClosedHosts()
    {
        for (const auto placedIndex : m_occupancy.unitsOnClosedHosts()) {
            m_occupancy.markStopped(placedIndex);
            m_plan.stops.push_back({m_occupancy.placedUnits()[placedIndex].ref, StopReason::HostClosed});
        }
    }

    /**
     * Withdraws starts, the newest first, that a host has not listed yet and for which its room no longer suffices. An executor that doesn't
     * check its room may carry them out whenever it gets to them.
     */
    void withdrawStartsWithoutRoom()
    {
        for (const auto &state : m_occupancy.hosts()) {
            if (state.free.covers(Resources())) {
                continue;
            }
            Resources free = state.free;
            for (const auto &[orderedAt, placedIndex] : newestStarts(state)) {
                const PlacedUnit &placedUnit = m_occupancy.placedUnits()[placedIndex];
                if (free.covers(Resources())) {
                    break;
                }
                free += placedUnit.need;
                if (!placedUnit.isReleasing && !m_occupancy.isStopped(placedIndex)) {
                    m_occupancy.markStopped(placedIndex);
                    m_plan.stops.push_back({placedUnit.ref, StopReason::NoRoom});
                }
            }
        }
    }

    /** When each start on the host that it has not listed yet was ordered, with the index of the placed unit; the latest comes first. */
    [[nodiscard]] std::vector<std::pair<Instant, std::size_t>> newestStarts(const HostState &state) const
    {
        std::vector<std::pair<Instant, std::size_t>> starts;
        for (const auto &[placedIndex, members] : state.placedUnits) {
            for (const auto &member : m_occupancy.placedUnits()[placedIndex].ref.unit->members) {
                if (member.host == state.host->id && member.phase == MemberPhase::Ordered) {
                    starts.emplace_back(member.orderedAt, placedIndex);
                }
            }
        }
        std::sort(starts.rbegin(), starts.rend());
        return starts;
    }

    /**
     * Stops units that won't finish before their draining host leaves: at once if they can start elsewhere now, otherwise, if they have
     * checkpoints, just in time to write a last one.
     */
    void stopUnitsOnDrainingHosts()
    {
        for (std::size_t i = 0; i < m_occupancy.placedUnits().size(); ++i) {
            const PlacedUnit &placedUnit = m_occupancy.placedUnits()[i];
            const auto deadline = placedUnit.isReleasing || m_occupancy.isStopped(i) ? std::nullopt : m_occupancy.earliestDrainDeadline(placedUnit);
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

    [[nodiscard]] bool canStartElsewhere(const PlacedUnit &placedUnit)
    {
        const Candidate again = m_order.candidate(*placedUnit.ref.job, *placedUnit.ref.unit);
        const HostSet &hosts = m_occupancy.allowedHosts(again);
        const bool singleRack = m_fitSearch.requiresSingleRack(again, hosts);
        return m_fitSearch.bestFit(again, hosts, CapacitySource::Free, singleRack).has_value();
    }

    /** Candidates of the same priority and lateness, which differ in their workspaces' shares, as far as they have been planned. */
    struct ShareGroup {
        const Candidate *first = nullptr;
        int level = 0;
        /** Of the units placed at smaller levels, the one that would come last if shares didn't count. */
        const Candidate *lastAhead = nullptr;
        /** The last unit placed at this level. */
        const Candidate *lastPlaced = nullptr;
    };

    /** A task that fitted on none of its hosts. */
    struct Misfit {
        Resources need;
        Duration runTime{};
        const HostSet *hosts = nullptr;
    };

    const PlannerBounds &m_bounds;
    Instant m_now;
    Progress m_progress;
    WaitingOrder m_order;
    Workload &m_workload;
    Occupancy m_occupancy;
    FitSearch m_fitSearch;
    bool m_isSharing;
    ShareGroup m_shareGroup;
    unsigned m_reservations = 0;
    std::vector<Misfit> m_misfits;
    /** Candidates of equal units that were added in this round; ShareGroup points to them. */
    std::deque<Candidate> m_following;
    /** All tasks of all jobs are more than may be open. */
    bool m_areOpenTasksBounded = false;
    /** Job::openTasks() of all jobs if they are bounded, with the units that start in this round. */
    std::size_t m_openTasks = 0;
    WorkspaceUse m_workspaceOpenTasks;
    /** A workspace with as many open tasks opens no further one. */
    std::size_t m_openLevel = 0;
    std::size_t m_preemptions = 0;
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
