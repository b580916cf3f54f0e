#include "batch/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace plantainfork::batch
{

namespace
{

using Duration = runtime::Clock::duration;

constexpr double WholePercent = 100.0;
/** A task that has shown no progress yet is assumed to need at least this much longer. */
constexpr std::chrono::milliseconds LeastRemaining{100};
/** A run beyond its estimate is expected to take this part of its time so far on top. */
constexpr int OverdueShare = 4;
/** Percent of progress since the last checkpoint from which a run's speed is taken. */
constexpr std::uint32_t LeastProgress = 5;
/** Progress older than this doesn't show that a run is still moving: listings come once a second, and travel. */
constexpr std::chrono::milliseconds ProgressAge{2500};
/** Time kept for the order to stop and for its end to be heard before a host leaves. */
constexpr std::chrono::milliseconds SaveMargin{500};
/** Price of an avoided host beside other costs, in seconds of work. */
constexpr double AvoidedHostCost = 30.0;
/** An accelerator counts as this many cores when work is weighed. */
constexpr double CoresPerAccelerator = 8.0;
constexpr double MillicoresPerCore = 1000.0;
/** Jobs that are late by more than this many times their objective earn nothing more. */
constexpr int WorthlessAfterObjectives = 3;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(static_cast<double>(duration.count()) * factor));
}

/** Weight of a task's room when lost work is compared. */
double weight(const Room &need)
{
    return static_cast<double>(need.millicores) / MillicoresPerCore + CoresPerAccelerator * static_cast<double>(need.accelerators);
}

/** A placed unit, as something that ends, or gives way. */
struct Occupant {
    UnitRef ref;
    Instant endsAt;
    /** Work lost if it is stopped now, in weighted seconds, for the whole unit. */
    double unsaved = 0;
    /** 0: urgent and within its guarantee; 1: urgent; 2: all else. Only lower standings take room back. */
    int standing = 2;
    bool isLeavingAnyway = false;
};

struct HostState {
    const Host *host = nullptr;
    std::string rack;
    Room free;
    /** Occupant and how many of its members are here. */
    std::vector<std::pair<std::size_t, unsigned>> occupants;
    /** Room kept for a blocked unit from the instant on. */
    std::vector<std::pair<Instant, Room>> reservations;
    /** A task here stands still, so nothing new is started. */
    bool isStalled = false;
    /** Tasks here by step, for spread limits. */
    std::map<std::tuple<const Job *, std::uint32_t, std::uint32_t>, unsigned> perStep;
};

/** A unit that waits, with what orders it. */
struct Candidate {
    UnitRef ref;
    std::uint32_t priority = 0;
    /** Within its workspace's guarantee. */
    bool isEntitled = false;
    /** 0: can still be in time; 1: can still earn; 2: can't. */
    int lateness = 0;
    Instant latestStart;
    Duration runTime{};
    /** Work of the whole job in weighted seconds. */
    double jobWork = 0;

    [[nodiscard]] int standing() const
    {
        return isEntitled ? 0 : priority == 0 ? 1 : 2;
    }
    [[nodiscard]] auto key() const
    {
        // Those that can all be in time go by their latest start. Where there isn't room for all, small jobs first serve more callers.
        const bool isBySize = !isEntitled && (priority == 0 || lateness > 0);
        return std::tuple(!isEntitled,
                          priority,
                          lateness,
                          isBySize ? jobWork : 0.0,
                          latestStart,
                          ref.job->spec.id.value(),
                          ref.unit->occurrence,
                          ref.unit->step,
                          ref.unit->index);
    }
};

enum class Means {
    /** Only room that is free now. */
    Free,
    /** Also room of occupants that are stopping or about to end. */
    Waiting,
    /** Also room of occupants that may be stopped. */
    Evicting,
};

struct Fit {
    std::vector<std::size_t> hosts;
    std::set<std::size_t> victims;
    double cost = 0;
    bool needsWait = false;
};

/** One round of decisions over a copy of the hosts' room. */
class Round
{
public:
    Round(const PlannerBounds &bounds, Workload &workload, const std::set<base::DataCentreId> &evacuated, Instant now, WallTime wallNow)
        : m_bounds(bounds)
        , m_workload(workload)
        , m_evacuated(evacuated)
        , m_now(now)
        , m_wallNow(wallNow)
    {
    }

    Plan run()
    {
        collectHosts();
        collectEntitled();
        collectOccupants();
        collectCandidates();
        for (const auto &candidate : m_candidates) {
            decide(candidate);
        }
        moveOffLeavingHosts();
        moveOffStalledHosts();
        return std::move(m_plan);
    }

private:
    void collectHosts()
    {
        for (const auto &[id, host] : m_workload.hosts()) {
            if (!host.hasReport) {
                continue;
            }
            HostState state;
            state.host = &host;
            state.rack = rackOf(host.report);
            state.free = host.report.capacity;
            m_hostIndex[id] = m_hosts.size();
            m_hosts.push_back(std::move(state));
        }
    }

    /** Expected time that a task of the unit needs from now, from its progress, else from its estimate. */
    [[nodiscard]] Duration remaining(const Job &job, const Unit &unit, const Member &member) const
    {
        const Duration estimate = job.stepOf(unit).estimate;
        const Duration elapsed = m_now - member.startedAt;
        const double gained = static_cast<double>(member.percent) - static_cast<double>(member.firstPercent);
        if (member.phase == MemberPhase::Running && gained >= LeastProgress) {
            const Duration atProgress = member.progressedAt - member.startedAt;
            const Duration whole = scaled(atProgress, (WholePercent - static_cast<double>(member.percent)) / gained);
            return std::max<Duration>(whole - (m_now - member.progressedAt), LeastRemaining);
        }
        const Duration left = scaled(estimate, 1.0 - static_cast<double>(std::max(unit.savedPercent, member.firstPercent)) / WholePercent);
        // A run beyond its estimate says that the estimate was short: expect it to go on in proportion.
        return std::max<Duration>(left - elapsed, elapsed / OverdueShare);
    }

    /** Whether its progress, and not only an estimate, shows that the task ends within the time of a stop. */
    [[nodiscard]] bool isAboutToEnd(const Job &job, const Unit &unit, const Member &member) const
    {
        const bool hasProgress = member.phase == MemberPhase::Running && member.percent >= member.firstPercent + LeastProgress;
        const bool isMoving = m_now - member.progressedAt <= ProgressAge;
        return hasProgress && isMoving && remaining(job, unit, member) <= m_bounds.killGrace;
    }

    [[nodiscard]] double unsavedWork(const Job &job, const Unit &unit) const
    {
        double lost = 0;
        const Step &step = job.stepOf(unit);
        for (const auto &member : unit.members) {
            const double percent = std::max(0.0, static_cast<double>(member.percent) - static_cast<double>(unit.savedPercent));
            const double share = step.hasCheckpoints ? 0.02 : percent / WholePercent;
            const double elapsed = std::max(seconds(m_now - member.startedAt), 0.05);
            lost += weight(step.need) * (share > 0 ? std::max(share * seconds(step.estimate), step.hasCheckpoints ? 0.1 : elapsed) : 0.1);
        }
        return lost;
    }

    void collectOccupants()
    {
        for (auto &[id, job] : m_workload.jobs()) {
            const bool isUrgent = m_workload.priorityOf(job) == 0;
            for (auto &unit : job.units) {
                if (unit.members.empty()) {
                    continue;
                }
                Occupant occupant;
                occupant.ref = {&job, &unit};
                occupant.isLeavingAnyway = unit.stopping != StopReason::None || unit.phase == UnitPhase::Done;
                occupant.endsAt = m_now;
                bool isEnding = true;
                for (const auto &member : unit.members) {
                    occupant.endsAt = std::max(occupant.endsAt, m_now + remaining(job, unit, member));
                    isEnding = isEnding && isAboutToEnd(job, unit, member);
                }
                if (occupant.isLeavingAnyway) {
                    occupant.endsAt = m_now + m_bounds.killGrace;
                }
                occupant.isLeavingAnyway = occupant.isLeavingAnyway || isEnding;
                occupant.unsaved = unsavedWork(job, unit);
                occupant.standing = m_entitled.contains(&job) ? 0 : isUrgent ? 1 : 2;
                addOccupant(occupant, job, unit);
            }
        }
    }

    void addOccupant(const Occupant &occupant, const Job &job, const Unit &unit)
    {
        const std::size_t number = m_occupants.size();
        m_occupants.push_back(occupant);
        const Room need = job.stepOf(unit).countedNeed();
        for (const auto &member : unit.members) {
            const auto index = m_hostIndex.find(member.host);
            if (member.phase == MemberPhase::Ended || index == m_hostIndex.end()) {
                continue;
            }
            HostState &host = m_hosts[index->second];
            host.isStalled = host.isStalled || isStalled(job, unit, member);
            host.free -= need;
            ++host.perStep[{&job, unit.occurrence, unit.step}];
            if (!host.occupants.empty() && host.occupants.back().first == number) {
                ++host.occupants.back().second;
            } else {
                host.occupants.emplace_back(number, 1);
            }
        }
    }

    /**
     * Stops units that a draining host won't let finish: at once when they can start elsewhere now, else just in time to keep their
     * last checkpoint.
     */
    void moveOffLeavingHosts()
    {
        for (std::size_t i = 0; i < m_occupants.size(); ++i) {
            const Occupant &occupant = m_occupants[i];
            const auto leaving = occupant.isLeavingAnyway || m_stopped.contains(i) ? std::nullopt : leavingAt(occupant);
            if (!leaving || occupant.endsAt <= *leaving) {
                continue;
            }
            const bool isLastChance = m_now + m_bounds.killGrace + SaveMargin >= *leaving;
            if ((isLastChance && occupant.ref.step().hasCheckpoints) || canRestart(occupant)) {
                m_stopped.insert(i);
                m_plan.stops.push_back({occupant.ref, StopReason::HostLeaving});
            }
        }
    }

    [[nodiscard]] bool isStalled(const Job &job, const Unit &unit, const Member &member) const
    {
        // A member that has done its own work stays at 100 % until its gang ends.
        const bool isWorking =
            member.phase == MemberPhase::Running && unit.stopping == StopReason::None && !job.stepOf(unit).isLasting && member.percent < WholePercent;
        return isWorking && m_now - member.progressedAt >= m_bounds.stallLimit;
    }

    /** Starts units anew elsewhere once they have stood still for longer than what a new start would do again. */
    void moveOffStalledHosts()
    {
        for (std::size_t i = 0; i < m_occupants.size(); ++i) {
            const Occupant &occupant = m_occupants[i];
            if (occupant.isLeavingAnyway || m_stopped.contains(i)) {
                continue;
            }
            const Unit &unit = *occupant.ref.unit;
            const bool isWorthIt = std::any_of(unit.members.begin(), unit.members.end(), [&](const Member &member) {
                const double unsaved = std::max(0.0, static_cast<double>(member.percent) - static_cast<double>(unit.savedPercent)) / WholePercent;
                return isStalled(*occupant.ref.job, unit, member) && m_now - member.progressedAt >= scaled(occupant.ref.step().estimate, unsaved);
            });
            if (isWorthIt && canRestart(occupant)) {
                m_stopped.insert(i);
                m_plan.stops.push_back({occupant.ref, StopReason::Stalled});
            }
        }
    }

    /** The earliest time at which a host of the unit may be gone. */
    [[nodiscard]] std::optional<Instant> leavingAt(const Occupant &occupant) const
    {
        std::optional<Instant> earliest;
        for (const auto &member : occupant.ref.unit->members) {
            const auto host = m_workload.hosts().find(member.host);
            if (host != m_workload.hosts().end() && host->second.report.isDraining) {
                earliest = earliest ? std::min(*earliest, host->second.staysUntil) : host->second.staysUntil;
            }
        }
        return earliest;
    }

    [[nodiscard]] bool canRestart(const Occupant &occupant) const
    {
        const Candidate again = candidate(*occupant.ref.job, *occupant.ref.unit);
        std::vector<std::size_t> hosts;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (allows(m_hosts[i], again)) {
                hosts.push_back(i);
            }
        }
        const bool isOneRack = again.ref.step().isGang && again.ref.step().wantsOneRack && fitsOneRack(again, hosts);
        return bestFit(again, hosts, Means::Free, isOneRack).has_value();
    }

    [[nodiscard]] Duration estimatedRun(const Step &step) const
    {
        return step.estimate;
    }

    /** Longest chain of estimated work from the step to the end of the job. */
    [[nodiscard]] Duration chainFrom(const Job &job, std::uint32_t from) const
    {
        const auto &steps = job.spec.steps;
        std::vector<Duration> tail(steps.size(), Duration::zero());
        for (std::size_t i = steps.size(); i-- > 0;) {
            tail[i] += estimatedRun(steps[i]);
            for (const auto before : steps[i].after) {
                tail[before] = std::max(tail[before], tail[i]);
            }
        }
        return tail[from];
    }

    [[nodiscard]] Duration wholeChain(const Job &job) const
    {
        Duration longest = Duration::zero();
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            longest = std::max(longest, chainFrom(job, step));
        }
        return longest;
    }

    void collectEntitled()
    {
        std::map<base::WorkspaceId, std::vector<Job *>> urgent;
        for (auto &[id, job] : m_workload.jobs()) {
            if (isEnded(job.status)) {
                continue;
            }
            if (m_workload.priorityOf(job) == 0) {
                urgent[job.spec.workspace].push_back(&job);
            }
        }
        for (auto &[workspace, jobs] : urgent) {
            entitle(workspace, jobs);
        }
    }

    void collectCandidates()
    {
        for (auto &[id, job] : m_workload.jobs()) {
            for (auto &unit : job.units) {
                if (job.isReady(unit, m_wallNow)) {
                    m_candidates.push_back(candidate(job, unit));
                }
            }
        }
        std::sort(m_candidates.begin(), m_candidates.end(), [](const Candidate &a, const Candidate &b) {
            return a.key() < b.key();
        });
    }

    /** The oldest urgent jobs of a workspace whose needs together stay within its guarantee. */
    void entitle(const base::WorkspaceId &workspace, std::vector<Job *> &jobs)
    {
        const auto &workspaces = m_workload.policy().workspaces;
        const auto found = workspaces.find(workspace);
        std::int64_t left = found != workspaces.end() ? found->second.guaranteedAccelerators : 0;
        std::sort(jobs.begin(), jobs.end(), [](const Job *a, const Job *b) {
            return a->acceptedAt < b->acceptedAt;
        });
        for (Job *job : jobs) {
            std::int64_t need = 0;
            for (const auto &step : job->spec.steps) {
                need = std::max(need, step.tasks * step.need.accelerators);
            }
            if (need <= left) {
                left -= need;
                m_entitled.insert(job);
            }
        }
    }

    [[nodiscard]] Candidate candidate(Job &job, Unit &unit) const
    {
        Candidate result;
        result.ref = {&job, &unit};
        result.priority = m_workload.priorityOf(job);
        result.isEntitled = m_entitled.contains(&job);
        result.runTime = scaled(estimatedRun(job.stepOf(unit)), 1.0 - static_cast<double>(unit.savedPercent) / WholePercent);
        const Queue &queue = m_workload.queueOf(job);
        const Duration objective = scaled(wholeChain(job), queue.slackFactor) + queue.latencyTarget;
        Instant base = job.acceptedAt;
        if (job.spec.occurrences > 0) {
            base = m_now - (m_wallNow - job.dueAt(unit.occurrence));
        }
        for (const auto &step : job.spec.steps) {
            result.jobWork += seconds(step.estimate) * weight(step.need) * step.tasks;
        }
        const Duration chain = chainFrom(job, unit.step);
        result.latestStart = base + objective - chain;
        result.lateness = m_now <= result.latestStart ? 0 : m_now <= base + WorthlessAfterObjectives * objective - chain ? 1 : 2;
        return result;
    }

    [[nodiscard]] bool allows(const HostState &state, const Candidate &candidate) const
    {
        const Step &step = candidate.ref.step();
        const HostReport &report = state.host->report;
        const base::ServiceId &service = m_workload.queueOf(*candidate.ref.job).service;
        return report.service == service && (!state.isStalled || candidate.isEntitled) && !report.isDraining && !report.hasLeft
            && m_workload.isInTouch(*state.host, m_now) && m_now >= state.host->suspendedUntil && !m_evacuated.contains(report.dataCentre)
            && (step.requiredLabel.empty() || report.labels.contains(step.requiredLabel));
    }

    [[nodiscard]] static unsigned spreadRoom(const HostState &state, const Candidate &candidate)
    {
        const Step &step = candidate.ref.step();
        if (step.mostPerHost == 0) {
            return std::numeric_limits<unsigned>::max();
        }
        const auto found = state.perStep.find({candidate.ref.job, candidate.ref.unit->occurrence, candidate.ref.unit->step});
        const unsigned present = found == state.perStep.end() ? 0 : found->second;
        return present >= step.mostPerHost ? 0 : step.mostPerHost - present;
    }

    /** Room left once what is kept for blocked units with an earlier claim is taken off, for a task that runs that long. */
    [[nodiscard]] Room usable(const HostState &state, Room free, Instant endsAt) const
    {
        for (const auto &[from, room] : state.reservations) {
            if (endsAt > from) {
                free -= room;
            }
        }
        return free;
    }

    /** Preference among hosts that have room: less is better. */
    [[nodiscard]] double hostCost(const HostState &state, const Candidate &candidate, const Room &left) const
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
        // Best fit: whole free hosts stay whole.
        cost += 0.01 * static_cast<double>(std::max<std::int64_t>(left.accelerators, 0));
        return cost;
    }

    /** Cheapest victims on the host, with those already chosen, until it holds the need. */
    bool evict(const HostState &state, const Room &need, Room &free, Fit &fit, const Candidate &candidate) const
    {
        std::vector<std::pair<double, std::size_t>> order;
        for (const auto &[number, members] : state.occupants) {
            const Occupant &occupant = m_occupants[number];
            const bool isEvictable = !occupant.isLeavingAnyway && occupant.standing > candidate.standing();
            if (isEvictable && !fit.victims.contains(number) && !m_stopped.contains(number)) {
                const Room gain = m_occupants[number].ref.step().countedNeed();
                const double size = std::max(1.0, static_cast<double>(gain.accelerators * members));
                order.emplace_back(m_occupants[number].unsaved / size, number);
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
                        free += m_occupants[number].ref.step().countedNeed();
                    }
                }
            }
            fit.victims.insert(number);
            fit.cost += m_occupants[number].unsaved;
        }
        return free.holds(need);
    }

    /** Free room of a host under the means, with the victims chosen so far gone. */
    [[nodiscard]] Room roomOf(const HostState &state, Means means, const Fit &fit) const
    {
        Room free = state.free;
        for (const auto &[number, members] : state.occupants) {
            const bool isGone = means != Means::Free && (m_occupants[number].isLeavingAnyway || fit.victims.contains(number) || m_stopped.contains(number));
            for (unsigned i = 0; isGone && i < members; ++i) {
                free += m_occupants[number].ref.step().countedNeed();
            }
        }
        return free;
    }

    /** Places all tasks of the unit on the given hosts, one after the other, each where it costs least. */
    [[nodiscard]] std::optional<Fit> tryFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, Means means) const
    {
        const Step &step = candidate.ref.step();
        const Room need = step.countedNeed();
        const std::size_t members = step.isGang ? step.tasks : 1;
        const Instant endsAt = m_now + candidate.runTime;
        Fit fit;
        std::map<std::size_t, Room> taken;
        std::map<std::size_t, unsigned> count;
        for (std::size_t member = 0; member < members; ++member) {
            std::optional<std::size_t> best;
            double bestCost = std::numeric_limits<double>::max();
            Fit bestFit;
            for (const auto index : hosts) {
                const HostState &state = m_hosts[index];
                if (count[index] >= spreadRoom(state, candidate)) {
                    continue;
                }
                Fit trial = fit;
                Room free = roomOf(state, means, trial);
                free -= taken[index];
                free = usable(state, free, endsAt);
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
            Room free = m_hosts[index].free;
            free -= room;
            fit.needsWait = fit.needsWait || !free.holds(Room());
        }
        return fit;
    }

    /** The cheapest way to place the unit, in one rack where it asks for that and it is possible. */
    [[nodiscard]] std::optional<Fit> bestFit(const Candidate &candidate, const std::vector<std::size_t> &hosts, Means means, bool isOneRack) const
    {
        if (!isOneRack) {
            return tryFit(candidate, hosts, means);
        }
        std::map<std::string, std::vector<std::size_t>> racks;
        for (const auto index : hosts) {
            racks[m_hosts[index].rack].push_back(index);
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

    /** Whether the unit would fit on these hosts if they were empty. */
    [[nodiscard]] bool canEverFit(const Candidate &candidate, const std::vector<std::size_t> &hosts) const
    {
        const Step &step = candidate.ref.step();
        const std::size_t members = step.isGang ? step.tasks : 1;
        std::size_t places = 0;
        for (const auto index : hosts) {
            Room room = m_hosts[index].host->report.capacity;
            const unsigned limit = step.mostPerHost == 0 ? std::numeric_limits<unsigned>::max() : step.mostPerHost;
            for (unsigned here = 0; here < limit && places < members && room.holds(step.countedNeed()); ++here) {
                room -= step.countedNeed();
                ++places;
            }
        }
        return places >= members;
    }

    [[nodiscard]] bool fitsOneRack(const Candidate &candidate, const std::vector<std::size_t> &hosts) const
    {
        std::map<std::string, std::vector<std::size_t>> racks;
        for (const auto index : hosts) {
            racks[m_hosts[index].rack].push_back(index);
        }
        return std::any_of(racks.begin(), racks.end(), [&](const auto &rack) {
            return canEverFit(candidate, rack.second);
        });
    }

    void decide(const Candidate &candidate)
    {
        std::vector<std::size_t> hosts;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (allows(m_hosts[i], candidate)) {
                hosts.push_back(i);
            }
        }
        const bool isOneRack = candidate.ref.step().isGang && candidate.ref.step().wantsOneRack && fitsOneRack(candidate, hosts);
        if (auto fit = bestFit(candidate, hosts, Means::Free, isOneRack)) {
            if (!isWorthWaiting(candidate, hosts, *fit)) {
                commit(candidate, *fit);
                return;
            }
        }
        ++m_plan.blocked;
        // Beyond a guarantee, room is taken back only for a job that can still be in time.
        if (candidate.isEntitled || (candidate.priority == 0 && candidate.lateness == 0)) {
            if (auto fit = bestFit(candidate, hosts, Means::Evicting, isOneRack); fit && isWorthIt(candidate, *fit)) {
                evictFor(candidate, *fit);
                return;
            }
            if (isOneRack) {
                if (auto fit = bestFit(candidate, hosts, Means::Evicting, false); fit && isWorthIt(candidate, *fit)) {
                    fit->needsWait ? evictFor(candidate, *fit) : commit(candidate, *fit);
                    return;
                }
            }
        }
        reserve(candidate, hosts, isOneRack);
    }

    /** Beyond a guarantee, no more work is thrown away than the unit itself does. */
    [[nodiscard]] bool isWorthIt(const Candidate &candidate, const Fit &fit) const
    {
        const Step &step = candidate.ref.step();
        const double members = step.isGang ? step.tasks : 1;
        return candidate.isEntitled || fit.cost <= seconds(candidate.runTime) * weight(step.need) * members;
    }

    /** A task that could only start away from its data waits if its rack frees room before the slower run would have lost as much. */
    [[nodiscard]] bool isWorthWaiting(const Candidate &candidate, const std::vector<std::size_t> &hosts, const Fit &fit) const
    {
        const Step &step = candidate.ref.step();
        if (step.dataRack.empty() || candidate.isEntitled || step.isGang || m_hosts[fit.hosts.front()].rack == step.dataRack) {
            return false;
        }
        const Duration loss = scaled(candidate.runTime, m_bounds.remoteFactor - 1.0);
        return std::any_of(hosts.begin(), hosts.end(), [&](std::size_t index) {
            return m_hosts[index].rack == step.dataRack && freeAt(m_hosts[index], step.countedNeed(), 1) <= m_now + loss;
        });
    }

    /** When the host will have room for that many tasks if nothing else starts there. */
    [[nodiscard]] Instant freeAt(const HostState &state, const Room &need, unsigned tasks) const
    {
        Room whole;
        for (unsigned i = 0; i < tasks; ++i) {
            whole += need;
        }
        std::vector<std::pair<Instant, Room>> releases;
        for (const auto &[number, members] : state.occupants) {
            Room room;
            for (unsigned i = 0; i < members; ++i) {
                room += m_occupants[number].ref.step().countedNeed();
            }
            releases.emplace_back(m_occupants[number].endsAt, room);
        }
        std::sort(releases.begin(), releases.end());
        Room free = state.free;
        for (const auto &[from, room] : state.reservations) {
            free -= room;
        }
        if (free.holds(whole)) {
            return m_now;
        }
        for (const auto &[at, room] : releases) {
            free += room;
            if (free.holds(whole)) {
                return at;
            }
        }
        return Instant::max();
    }

    void commit(const Candidate &candidate, const Fit &fit)
    {
        const Room need = candidate.ref.step().countedNeed();
        Placement placement{candidate.ref, {}};
        for (const auto index : fit.hosts) {
            HostState &state = m_hosts[index];
            state.free -= need;
            ++state.perStep[{candidate.ref.job, candidate.ref.unit->occurrence, candidate.ref.unit->step}];
            placement.hosts.push_back(state.host->id);
        }
        m_plan.placements.push_back(std::move(placement));
    }

    /** Stops the victims and keeps their room for the unit, which starts in a later round once it is free. */
    void evictFor(const Candidate &candidate, const Fit &fit)
    {
        for (const auto victim : fit.victims) {
            m_stopped.insert(victim);
            m_plan.stops.push_back({m_occupants[victim].ref, StopReason::Preempted});
        }
        for (const auto index : fit.hosts) {
            m_hosts[index].free -= candidate.ref.step().countedNeed();
        }
    }

    /** Keeps room for a blocked unit where it will be free first. */
    void reserve(const Candidate &candidate, const std::vector<std::size_t> &hosts, bool isOneRack)
    {
        if (m_reservations >= m_bounds.reservations || candidate.lateness == 2) {
            return;
        }
        const Step &step = candidate.ref.step();
        const std::size_t members = step.isGang ? step.tasks : 1;
        std::map<std::string, std::vector<std::pair<Instant, std::size_t>>> racks;
        for (const auto index : hosts) {
            const HostState &state = m_hosts[index];
            for (unsigned tasks = 1; tasks <= members && tasks <= spreadRoom(state, candidate); ++tasks) {
                const Instant at = freeAt(state, step.countedNeed(), tasks);
                if (at == Instant::max()) {
                    break;
                }
                racks[isOneRack ? state.rack : std::string()].emplace_back(at, index);
            }
        }
        const std::vector<std::pair<Instant, std::size_t>> *best = nullptr;
        for (auto &[rack, places] : racks) {
            std::sort(places.begin(), places.end());
            if (places.size() >= members && (best == nullptr || places[members - 1].first < (*best)[members - 1].first)) {
                best = &places;
            }
        }
        if (best == nullptr) {
            return;
        }
        ++m_reservations;
        const Instant at = (*best)[members - 1].first;
        for (std::size_t i = 0; i < members; ++i) {
            m_hosts[(*best)[i].second].reservations.emplace_back(at, step.countedNeed());
        }
    }

    const PlannerBounds &m_bounds;
    Workload &m_workload;
    const std::set<base::DataCentreId> &m_evacuated;
    Instant m_now;
    WallTime m_wallNow;
    std::vector<HostState> m_hosts;
    std::map<HostId, std::size_t> m_hostIndex;
    std::vector<Occupant> m_occupants;
    std::vector<Candidate> m_candidates;
    std::set<const Job *> m_entitled;
    /** Occupants that this round stops. */
    std::set<std::size_t> m_stopped;
    unsigned m_reservations = 0;
    Plan m_plan;
};

} // namespace

std::string rackOf(const HostReport &report)
{
    // Labels are the host's kind and its rack; only racks are numbered by region and place.
    for (const auto &label : report.labels) {
        if (label.find('-') != std::string::npos) {
            return label;
        }
    }
    return report.labels.empty() ? std::string() : *report.labels.rbegin();
}

Planner::Planner(PlannerBounds bounds)
    : m_bounds(bounds)
{
}

Plan Planner::plan(Workload &workload, const std::set<base::DataCentreId> &evacuated, Instant now, WallTime wallNow) const
{
    return Round(m_bounds, workload, evacuated, now, wallNow).run();
}

} // namespace plantainfork::batch
