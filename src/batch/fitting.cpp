#include "batch/fitting.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace plantainfork::batch
{

namespace
{

/** Price of an avoided host beside other costs, in seconds of work. */
constexpr double AvoidedHostCost = 30.0;
/** Price of each accelerator left over on a host, so that whole free hosts stay whole; far below any real loss. */
constexpr double LeftOverCost = 0.01;

} // namespace

Fitting::Fitting(const Occupancy &occupancy, const PlannerBounds &bounds)
    : m_occupancy(occupancy)
    , m_bounds(bounds)
{
}

double Fitting::hostCost(const HostState &state, const Candidate &candidate, const Room &left) const
{
    const Step &step = candidate.ref.step();
    double cost = 0;
    if (!step.dataRack.empty() && state.rack != step.dataRack) {
        cost += seconds(candidate.runTime) * (m_bounds.remoteFactor - 1.0);
    }
    if (candidate.ref.unit->avoided.contains(state.host->id)) {
        cost += AvoidedHostCost;
    }
    if (state.isStalled) {
        cost += AvoidedHostCost;
    }
    cost += LeftOverCost * static_cast<double>(std::max<std::int64_t>(left.accelerators, 0));
    return cost;
}

bool Fitting::evict(const HostState &state, const Room &need, Room &free, Fit &fit, const Candidate &candidate) const
{
    std::vector<std::pair<double, std::size_t>> order;
    for (const auto &[number, members] : state.occupants) {
        const Occupant &occupant = m_occupancy.occupants()[number];
        const bool isEvictable = !occupant.isLeavingAnyway && occupant.standing > candidate.standing();
        if (isEvictable && !fit.victims.contains(number) && !m_occupancy.isStopped(number)) {
            const Room gain = m_occupancy.occupants()[number].ref.step().countedNeed();
            const double size = std::max(1.0, static_cast<double>(gain.accelerators * members));
            order.emplace_back(m_occupancy.occupants()[number].unsaved / size, number);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[cost, number] : order) {
        if (free.holds(need)) {
            return true;
        }
        for (const auto &[other, members] : state.occupants) {
            if (other == number) {
                for (unsigned i = 0; i < members; ++i) {
                    free += m_occupancy.occupants()[number].ref.step().countedNeed();
                }
            }
        }
        fit.victims.insert(number);
        fit.cost += m_occupancy.occupants()[number].unsaved;
    }
    return free.holds(need);
}

Room Fitting::roomOf(const HostState &state, Means means, const Fit &fit) const
{
    Room free = state.free;
    for (const auto &[number, members] : state.occupants) {
        const bool isGone =
            means != Means::Free && (m_occupancy.occupants()[number].isLeavingAnyway || fit.victims.contains(number) || m_occupancy.isStopped(number));
        for (unsigned i = 0; isGone && i < members; ++i) {
            free += m_occupancy.occupants()[number].ref.step().countedNeed();
        }
    }
    return free;
}

std::optional<Fit> Fitting::tryFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, Means means) const
{
    const Step &step = candidate.ref.step();
    const Room need = step.countedNeed();
    const std::size_t members = step.isGang ? step.tasks : 1;
    const Instant endsAt = m_occupancy.now() + candidate.runTime;
    Fit fit;
    std::map<std::size_t, Room> taken;
    std::map<std::size_t, unsigned> count;
    for (std::size_t member = 0; member < members; ++member) {
        std::optional<std::size_t> best;
        double bestCost = std::numeric_limits<double>::max();
        Fit bestFit;
        for (const auto index : hosts) {
            const HostState &state = m_occupancy.hosts()[index];
            if (count[index] >= Occupancy::spreadRoom(state, candidate)) {
                continue;
            }
            Fit trial = fit;
            Room free = roomOf(state, means, trial);
            free -= taken[index];
            free = Occupancy::usable(state, free, endsAt);
            if (!free.holds(need) && (means != Means::Evicting || !evict(state, need, free, trial, candidate))) {
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
        const double base = fit.cost;
        fit = std::move(bestFit);
        fit.cost = base + bestCost;
        fit.hosts.push_back(*best);
        taken[*best] += need;
        ++count[*best];
    }
    for (const auto &[index, room] : taken) {
        Room free = m_occupancy.hosts()[index].free;
        free -= room;
        fit.needsWait = fit.needsWait || !free.holds(Room());
    }
    return fit;
}

std::optional<Fit> Fitting::bestFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, Means means, bool isOneRack) const
{
    if (!isOneRack) {
        return tryFit(candidate, hosts, means);
    }
    std::map<std::string, std::vector<std::size_t>> racks;
    for (const auto index : hosts) {
        racks[m_occupancy.hosts()[index].rack].push_back(index);
    }
    std::optional<Fit> best;
    for (const auto &[rack, members] : racks) {
        auto fit = tryFit(candidate, members, means);
        if (fit && (!best || fit->cost < best->cost)) {
            best = std::move(fit);
        }
    }
    return best;
}

bool Fitting::canEverFit(const Candidate &candidate, const std::vector<std::size_t> &hosts) const
{
    const Step &step = candidate.ref.step();
    const std::size_t members = step.isGang ? step.tasks : 1;
    std::size_t places = 0;
    for (const auto index : hosts) {
        Room room = m_occupancy.hosts()[index].host->report.capacity;
        const unsigned limit = step.mostPerHost == 0 ? std::numeric_limits<unsigned>::max() : step.mostPerHost;
        for (unsigned here = 0; here < limit && places < members && room.holds(step.countedNeed()); ++here) {
            room -= step.countedNeed();
            ++places;
        }
    }
    return places >= members;
}

bool Fitting::isForOneRack(const Candidate &candidate, const std::vector<std::size_t> &hosts) const
{
    const Step &step = candidate.ref.step();
    if (!step.isGang || !step.wantsOneRack) {
        return false;
    }
    std::map<std::string, std::vector<std::size_t>> racks;
    for (const auto index : hosts) {
        racks[m_occupancy.hosts()[index].rack].push_back(index);
    }
    return std::any_of(racks.begin(), racks.end(), [&](const auto &rack) {
        return canEverFit(candidate, rack.second);
    });
}

} // namespace plantainfork::batch
