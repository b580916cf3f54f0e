#include "batch/fit_search.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace plantainfork::batch
{

namespace
{

/** Cost, in seconds of work, of a host on which the unit has failed before or on which a task is stalled. */
constexpr double DiscouragedHostCost = 30.0;
/** How long a host whose executor has crashed is avoided by the units that were on executors that crashed. */
constexpr std::chrono::seconds CrashMemory{10};
/** Longest time between two checkpoints of a run that writes them. */
constexpr std::chrono::seconds CheckpointPeriod{2};
/** Cost of each accelerator left over on a host, so that fully free hosts stay free for large tasks; far below the cost of lost work. */
constexpr double FragmentationCost = 0.01;
/**
 * Cost of a host that isn't slow for a unit that has time enough for a slow one, so that it stays free for urgent ones: above that of all
 * accelerators of a host left over, and far below that of lost work or of a place away from the unit's data.
 */
constexpr double FastHostCost = 0.15;

} // namespace

FitSearch::FitSearch(const Occupancy &occupancy, const PlannerBounds &bounds)
    : m_occupancy(occupancy)
    , m_bounds(bounds)
{
}

double FitSearch::hostCost(const HostState &state, const Candidate &candidate, const Resources &left) const
{
    const Step &step = candidate.ref.step();
    double cost = 0;
    if (!step.dataRack.empty() && state.host->rack != step.dataRack) {
        cost += toSeconds(candidate.runTime) * (m_bounds.remoteFactor - 1.0);
    }
    if (candidate.ref.unit->failedHosts.contains(state.host->id)) {
        cost += DiscouragedHostCost;
    }
    if (state.isStalled) {
        cost += DiscouragedHostCost;
    }
    if (avoidsAfterCrash(state, *candidate.ref.unit)) {
        cost += DiscouragedHostCost;
    }
    cost += FragmentationCost * static_cast<double>(std::max<std::int64_t>(left.accelerators, 0));
    return cost;
}

double FitSearch::speedCost(const HostState &state, const Candidate &candidate, double fitFactor) const
{
    if (m_bounds.unevenHostRatio <= 0) {
        return 0;
    }
    const Duration slowdown = scaled(candidate.runTime, state.slowFactor - 1.0);
    const bool isInTime = m_occupancy.now() + slowdown <= candidate.latestStart;
    if (candidate.priority != 0 && (isInTime || candidate.latenessLevel == 2)) {
        return state.slowFactor > 1.0 ? 0.0 : FastHostCost;
    }
    // A gang ends with its slowest member, so a further slow host costs nothing.
    return toSeconds(candidate.runTime) * std::max(0.0, state.slowFactor - std::max(1.0, fitFactor));
}

double FitSearch::expectedLoss(const HostState &state, const Candidate &candidate)
{
    if (state.lossRate == 0) {
        return 0;
    }
    const bool isSaved = candidate.priority != 0 && candidate.ref.step().hasCheckpoints;
    const Duration unsaved = isSaved ? std::min<Duration>(candidate.runTime, CheckpointPeriod) : candidate.runTime;
    return HostLosses::probability(state.lossRate, candidate.runTime) * toSeconds(unsaved);
}

bool FitSearch::mustStartApart(const HostState &state, const Candidate &candidate)
{
    return !candidate.isGuaranteed && (state.hasStartingSuspect || (candidate.ref.unit->isCrashSuspect() && state.hasStartingTask));
}

bool FitSearch::avoidsAfterCrash(const HostState &state, const Unit &unit) const
{
    const bool hasCrashedHere = std::any_of(unit.crashes.begin(), unit.crashes.end(), [&](const auto &crash) {
        return crash.host == state.host->id;
    });
    const bool isRecent = state.host->crashedAt != Instant() && m_occupancy.now() - state.host->crashedAt < CrashMemory;
    return hasCrashedHere || (unit.isCrashSuspect() && isRecent);
}

bool FitSearch::selectVictims(const HostState &state, const Candidate &candidate, const Fit &fit, Resources &free, HostTrial &trial) const
{
    const Resources need = candidate.ref.step().countedNeed();
    struct Victim {
        double cost = 0;
        std::size_t placedIndex = 0;
        unsigned members = 0;

        bool operator<(const Victim &other) const
        {
            return std::tie(cost, placedIndex) < std::tie(other.cost, other.placedIndex);
        }
    };
    std::vector<Victim> order;
    for (const auto &[placedIndex, members] : state.placedUnits) {
        const PlacedUnit &placedUnit = m_occupancy.placedUnits()[placedIndex];
        const bool isPreemptible = !placedUnit.isReleasing && placedUnit.preemptionRank > candidate.preemptionRank();
        if (isPreemptible && !fit.victims.contains(placedIndex) && !m_occupancy.isStopped(placedIndex)) {
            const double size = std::max(1.0, static_cast<double>(placedUnit.need.accelerators * members));
            order.push_back({placedUnit.lostWork / size, placedIndex, members});
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &victim : order) {
        if (free.covers(need)) {
            return true;
        }
        const PlacedUnit &placedUnit = m_occupancy.placedUnits()[victim.placedIndex];
        for (unsigned i = 0; i < victim.members; ++i) {
            free += placedUnit.need;
        }
        trial.victims.push_back(victim.placedIndex);
        trial.cost += placedUnit.lostWork;
    }
    return free.covers(need);
}

Resources FitSearch::freeResources(const HostState &state, CapacitySource source, const Fit &fit) const
{
    Resources free = state.free;
    if (source == CapacitySource::Free) {
        return free;
    }
    for (const auto &[placedIndex, members] : state.placedUnits) {
        const PlacedUnit &placedUnit = m_occupancy.placedUnits()[placedIndex];
        const bool isGone = placedUnit.isReleasing || fit.victims.contains(placedIndex) || m_occupancy.isStopped(placedIndex);
        for (unsigned i = 0; isGone && i < members; ++i) {
            free += placedUnit.need;
        }
    }
    return free;
}

FitSearch::HostTrial FitSearch::tryHost(const HostState &state, const Candidate &candidate, CapacitySource source, const Fit &fit, const Resources &taken) const
{
    const Resources need = candidate.ref.step().countedNeed();
    HostTrial trial;
    if (mustStartApart(state, candidate)) {
        return trial;
    }
    Resources free = freeResources(state, source, fit);
    free -= taken;
    const double slowFactor = std::max(fit.slowFactor, state.slowFactor);
    free = Occupancy::availableUntil(state, free, m_occupancy.now() + scaled(candidate.runTime, slowFactor));
    trial.isPossible = free.covers(need) || (source == CapacitySource::Preemptible && selectVictims(state, candidate, fit, free, trial));
    if (trial.isPossible) {
        free -= need;
        trial.cost += hostCost(state, candidate, free) + speedCost(state, candidate, fit.slowFactor);
        // If the host fails, the unit loses its run once, however many of its tasks are there.
        trial.cost += taken == Resources() ? expectedLoss(state, candidate) : 0.0;
    }
    return trial;
}

std::optional<double> FitSearch::costOnceFree(const HostState &state, const Candidate &candidate) const
{
    if (mustStartApart(state, candidate)) {
        return std::nullopt;
    }
    Resources left = state.free;
    left -= candidate.ref.step().countedNeed();
    return hostCost(state, candidate, left) + speedCost(state, candidate, Fit().slowFactor) + expectedLoss(state, candidate);
}

std::optional<Fit> FitSearch::tryFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, CapacitySource source) const
{
    const Step &step = candidate.ref.step();
    const std::size_t members = step.isGang ? step.tasks : 1;
    Fit fit;
    std::vector<Resources> taken(hosts.size());
    std::vector<unsigned> left(hosts.size());
    std::vector<HostTrial> trials(hosts.size());
    const auto tryAgain = [&](std::size_t i) {
        const HostState &state = m_occupancy.hosts()[hosts[i]];
        trials[i] = left[i] > 0 ? tryHost(state, candidate, source, fit, taken[i]) : HostTrial();
    };
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        left[i] = m_occupancy.remainingPerHost(m_occupancy.hosts()[hosts[i]], candidate);
        tryAgain(i);
    }
    while (fit.hosts.size() < members) {
        std::size_t best = hosts.size();
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (trials[i].isPossible && (best == hosts.size() || trials[i].cost < trials[best].cost)) {
                best = i;
            }
        }
        if (best == hosts.size()) {
            return std::nullopt;
        }
        fit.cost += trials[best].cost;
        fit.hosts.push_back(hosts[best]);
        const std::vector<std::size_t> victims = std::move(trials[best].victims);
        fit.victims.insert(victims.begin(), victims.end());
        taken[best] += step.countedNeed();
        --left[best];
        const bool isSlower = m_occupancy.hosts()[hosts[best]].slowFactor > fit.slowFactor;
        fit.slowFactor = std::max(fit.slowFactor, m_occupancy.hosts()[hosts[best]].slowFactor);
        // A victim may be a gang, which then is gone on other hosts, too, and a slow host may make others cost less.
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (i == best || !victims.empty() || isSlower) {
                tryAgain(i);
            }
        }
    }
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        Resources free = m_occupancy.hosts()[hosts[i]].free;
        free -= taken[i];
        fit.requiresWait = fit.requiresWait || (taken[i] != Resources() && !free.covers(Resources()));
    }
    return fit;
}

std::optional<Fit> FitSearch::bestFit(const Candidate &candidate, const HostSet &hosts, CapacitySource source, bool singleRack) const
{
    if (!singleRack) {
        return tryFit(candidate, hosts.all, source);
    }
    std::optional<Fit> best;
    for (const auto &rack : hosts.racks) {
        auto fit = tryFit(candidate, rack, source);
        if (fit && (!best || fit->cost < best->cost)) {
            best = std::move(fit);
        }
    }
    return best;
}

Resources FitSearch::capacityBesideLasting(const HostState &state, const Candidate &candidate) const
{
    Resources capacity = state.host->report.capacity;
    for (const auto &[placedIndex, members] : state.lastingUnits) {
        const PlacedUnit &placedUnit = m_occupancy.placedUnits()[placedIndex];
        const bool isGone = m_occupancy.isStopped(placedIndex) || (candidate.mayPreempt() && placedUnit.preemptionRank > candidate.preemptionRank());
        for (unsigned i = 0; !isGone && i < members; ++i) {
            capacity -= placedUnit.need;
        }
    }
    return capacity;
}

bool FitSearch::fitsBesideLasting(const Candidate &candidate, const std::vector<std::size_t> &hosts) const
{
    const Step &step = candidate.ref.step();
    const std::size_t members = step.isGang ? step.tasks : 1;
    std::size_t capacityInTasks = 0;
    for (const auto index : hosts) {
        Resources resources = capacityBesideLasting(m_occupancy.hosts()[index], candidate);
        const unsigned limit = step.maxTasksPerHost == 0 ? std::numeric_limits<unsigned>::max() : step.maxTasksPerHost;
        for (unsigned tasksOnHost = 0; tasksOnHost < limit && capacityInTasks < members && resources.covers(step.countedNeed()); ++tasksOnHost) {
            resources -= step.countedNeed();
            ++capacityInTasks;
        }
    }
    return capacityInTasks >= members;
}

bool FitSearch::requiresSingleRack(const Candidate &candidate, const HostSet &hosts) const
{
    const Step &step = candidate.ref.step();
    return step.isGang && step.prefersSingleRack && std::any_of(hosts.racks.begin(), hosts.racks.end(), [&](const auto &rack) {
               return fitsBesideLasting(candidate, rack);
           });
}

} // namespace plantainfork::batch
