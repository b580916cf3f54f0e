#include "batch/fit_search.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace plantainfork::batch
{

namespace
{

/** Cost, in seconds of work, of a host on which the unit has failed before or on which a task is stalled. */
constexpr double DiscouragedHostCost = 30.0;
/** Cost of each accelerator left over on a host, so that fully free hosts stay free for large tasks; far below the cost of lost work. */
constexpr double FragmentationCost = 0.01;

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
    if (!step.dataRack.empty() && state.rack != step.dataRack) {
        cost += toSeconds(candidate.runTime) * (m_bounds.remoteFactor - 1.0);
    }
    if (candidate.ref.unit->failedHosts.contains(state.host->id)) {
        cost += DiscouragedHostCost;
    }
    if (state.isStalled) {
        cost += DiscouragedHostCost;
    }
    cost += FragmentationCost * static_cast<double>(std::max<std::int64_t>(left.accelerators, 0));
    return cost;
}

bool FitSearch::selectVictims(const HostState &state, const Resources &need, Resources &free, Fit &fit, const Candidate &candidate) const
{
    std::vector<std::pair<double, std::size_t>> order;
    for (const auto &[placedIndex, members] : state.placedUnits) {
        const PlacedUnit &placedUnit = m_occupancy.placedUnits()[placedIndex];
        const bool isPreemptible = !placedUnit.isReleasing && placedUnit.preemptionRank > candidate.preemptionRank();
        if (isPreemptible && !fit.victims.contains(placedIndex) && !m_occupancy.isStopped(placedIndex)) {
            const Resources gain = m_occupancy.placedUnits()[placedIndex].ref.step().countedNeed();
            const double size = std::max(1.0, static_cast<double>(gain.accelerators * members));
            order.emplace_back(m_occupancy.placedUnits()[placedIndex].lostWork / size, placedIndex);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[cost, placedIndex] : order) {
        if (free.covers(need)) {
            return true;
        }
        for (const auto &[other, members] : state.placedUnits) {
            if (other == placedIndex) {
                for (unsigned i = 0; i < members; ++i) {
                    free += m_occupancy.placedUnits()[placedIndex].ref.step().countedNeed();
                }
            }
        }
        fit.victims.insert(placedIndex);
        fit.cost += m_occupancy.placedUnits()[placedIndex].lostWork;
    }
    return free.covers(need);
}

Resources FitSearch::freeResources(const HostState &state, CapacitySource source, const Fit &fit) const
{
    Resources free = state.free;
    for (const auto &[placedIndex, members] : state.placedUnits) {
        const bool isGone = source != CapacitySource::Free
            && (m_occupancy.placedUnits()[placedIndex].isReleasing || fit.victims.contains(placedIndex) || m_occupancy.isStopped(placedIndex));
        for (unsigned i = 0; isGone && i < members; ++i) {
            free += m_occupancy.placedUnits()[placedIndex].ref.step().countedNeed();
        }
    }
    return free;
}

std::optional<Fit> FitSearch::tryFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, CapacitySource source) const
{
    const Step &step = candidate.ref.step();
    const Resources need = step.countedNeed();
    const std::size_t members = step.isGang ? step.tasks : 1;
    const Instant endsAt = m_occupancy.now() + candidate.runTime;
    Fit fit;
    std::map<std::size_t, Resources> taken;
    std::map<std::size_t, unsigned> count;
    for (std::size_t member = 0; member < members; ++member) {
        std::optional<std::size_t> best;
        double bestCost = std::numeric_limits<double>::max();
        Fit bestFit;
        for (const auto index : hosts) {
            const HostState &state = m_occupancy.hosts()[index];
            if (count[index] >= Occupancy::remainingPerHost(state, candidate)) {
                continue;
            }
            Fit trial = fit;
            Resources free = freeResources(state, source, trial);
            free -= taken[index];
            free = Occupancy::availableUntil(state, free, endsAt);
            if (!free.covers(need) && (source != CapacitySource::Preemptible || !selectVictims(state, need, free, trial, candidate))) {
                continue;
            }
            free -= need;
            const double cost = trial.cost - fit.cost + hostCost(state, candidate, free);
            if (cost < bestCost) {
                bestCost = cost;
                best = index;
                bestFit = std::move(trial);
            }
        }
        if (!best) {
            return std::nullopt;
        }
        const double previousCost = fit.cost;
        fit = std::move(bestFit);
        fit.cost = previousCost + bestCost;
        fit.hosts.push_back(*best);
        taken[*best] += need;
        ++count[*best];
    }
    for (const auto &[index, resources] : taken) {
        Resources free = m_occupancy.hosts()[index].free;
        free -= resources;
        fit.requiresWait = fit.requiresWait || !free.covers(Resources());
    }
    return fit;
}

std::optional<Fit> FitSearch::bestFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, CapacitySource source, bool singleRack) const
{
    if (!singleRack) {
        return tryFit(candidate, hosts, source);
    }
    std::map<std::string, std::vector<std::size_t>> racks;
    for (const auto index : hosts) {
        racks[m_occupancy.hosts()[index].rack].push_back(index);
    }
    std::optional<Fit> best;
    for (const auto &[rack, members] : racks) {
        auto fit = tryFit(candidate, members, source);
        if (fit && (!best || fit->cost < best->cost)) {
            best = std::move(fit);
        }
    }
    return best;
}

bool FitSearch::fitsWhenEmpty(const Candidate &candidate, const std::vector<std::size_t> &hosts) const
{
    const Step &step = candidate.ref.step();
    const std::size_t members = step.isGang ? step.tasks : 1;
    std::size_t capacityInTasks = 0;
    for (const auto index : hosts) {
        Resources resources = m_occupancy.hosts()[index].host->report.capacity;
        const unsigned limit = step.maxTasksPerHost == 0 ? std::numeric_limits<unsigned>::max() : step.maxTasksPerHost;
        for (unsigned tasksOnHost = 0; tasksOnHost < limit && capacityInTasks < members && resources.covers(step.countedNeed()); ++tasksOnHost) {
            resources -= step.countedNeed();
            ++capacityInTasks;
        }
    }
    return capacityInTasks >= members;
}

bool FitSearch::requiresSingleRack(const Candidate &candidate, const std::vector<std::size_t> &hosts) const
{
    const Step &step = candidate.ref.step();
    if (!step.isGang || !step.prefersSingleRack) {
        return false;
    }
    std::map<std::string, std::vector<std::size_t>> racks;
    for (const auto index : hosts) {
        racks[m_occupancy.hosts()[index].rack].push_back(index);
    }
    return std::any_of(racks.begin(), racks.end(), [&](const auto &rack) {
        return fitsWhenEmpty(candidate, rack.second);
    });
}

} // namespace plantainfork::batch
