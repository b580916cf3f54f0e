#include "batch/occupancy.h"

#include <algorithm>
#include <iterator>

namespace plantainfork::batch
{

Occupancy::Occupancy(Workload &workload,
                     const WaitingOrder &order,
                     const Progress &progress,
                     const PlannerBounds &bounds,
                     const std::set<base::DataCentreId> &evacuated,
                     Instant now)
    : m_workload(workload)
    , m_bounds(bounds)
    , m_now(now)
{
    collectHosts(evacuated);
    collectPlacedUnits(order, progress, bounds);
}

void Occupancy::collectHosts(const std::set<base::DataCentreId> &evacuated)
{
    const auto &hosts = m_workload.hosts();
    m_hosts.reserve(hosts.size());
    m_indexByNumber.assign(hosts.size(), NoIndex);
    for (const auto &[id, host] : hosts) {
        if (!host.hasReport) {
            continue;
        }
        HostState state;
        state.host = &host;
        state.free = host.report.capacity;
        state.isEvacuated = evacuated.contains(host.report.dataCentre);
        state.isOpen =
            !host.report.isDraining && !host.report.isLeaving && m_workload.isReachable(host, m_now) && m_now >= host.suspendedUntil && !state.isEvacuated;
        state.slowFactor = m_workload.speeds().slowFactor(host.number);
        m_hasDrainingHosts = m_hasDrainingHosts || host.report.isDraining;
        m_indexByNumber[host.number] = m_hosts.size();
        m_hosts.push_back(std::move(state));
    }
    for (const auto &[id, rate] : m_workload.hostLosses().lossRates(m_now)) {
        const auto found = hosts.find(id);
        if (found != hosts.end() && m_indexByNumber[found->second.number] != NoIndex) {
            m_hosts[m_indexByNumber[found->second.number]].lossRate = rate;
        }
    }
}

void Occupancy::collectPlacedUnits(const WaitingOrder &order, const Progress &progress, const PlannerBounds &bounds)
{
    for (Job *job : m_workload.activeJobs()) {
        if (job->unitsWithMembers == 0) {
            continue;
        }
        const bool isUrgent = m_workload.priorityOf(*job) == 0;
        for (auto &unit : job->units) {
            if (unit.members.empty()) {
                continue;
            }
            PlacedUnit placedUnit;
            placedUnit.ref = {job, &unit};
            placedUnit.need = job->stepOf(unit).countedNeed();
            placedUnit.isReleasing = unit.stopReason != StopReason::None || unit.phase == UnitPhase::Done;
            placedUnit.endsAt = m_now;
            bool isEnding = true;
            for (const auto &member : unit.members) {
                placedUnit.endsAt = std::max(placedUnit.endsAt, progress.expectedEnd(*job, unit, member));
                isEnding = isEnding && progress.isEndingSoon(*job, unit, member);
            }
            if (placedUnit.isReleasing) {
                placedUnit.endsAt = m_now + bounds.killGrace;
            }
            placedUnit.isReleasing = placedUnit.isReleasing || isEnding;
            placedUnit.lostWork = progress.workLostByStop(*job, unit);
            placedUnit.preemptionRank = order.isGuaranteed(*job) ? 0 : isUrgent ? 1 : 2;
            addPlacedUnit(placedUnit, progress);
        }
    }
    for (auto &state : m_hosts) {
        for (const auto &[placedIndex, members] : state.placedUnits) {
            if (m_placedUnits[placedIndex].endsAt == Never) {
                state.lastingUnits.emplace_back(placedIndex, members);
                continue;
            }
            Resources resources;
            for (unsigned i = 0; i < members; ++i) {
                resources += m_placedUnits[placedIndex].need;
            }
            state.releases.emplace_back(m_placedUnits[placedIndex].endsAt, resources);
        }
        std::sort(state.releases.begin(), state.releases.end());
    }
}

void Occupancy::addPlacedUnit(const PlacedUnit &placedUnit, const Progress &progress)
{
    const Job &job = *placedUnit.ref.job;
    const Unit &unit = *placedUnit.ref.unit;
    const std::size_t placedIndex = m_placedUnits.size();
    m_placedUnits.push_back(placedUnit);
    for (const auto &member : unit.members) {
        const std::size_t index = m_indexByNumber[member.hostNumber];
        if (member.phase == MemberPhase::Ended || index == NoIndex) {
            continue;
        }
        HostState &host = m_hosts[index];
        host.isStalled = host.isStalled || progress.isStalled(job, unit, member);
        const bool isWithdrawable = host.host->isListed && member.phase == MemberPhase::Ordered && !member.hasBegun && !placedUnit.isReleasing;
        const bool isNoted = !m_unitsOnClosedHosts.empty() && m_unitsOnClosedHosts.back() == placedIndex;
        if (isWithdrawable && !isNoted && isClosedTo(host, job, job.stepOf(unit))) {
            m_unitsOnClosedHosts.push_back(placedIndex);
        }
        if (member.phase == MemberPhase::Ordered) {
            host.hasStartingTask = true;
            host.hasStartingSuspect = host.hasStartingSuspect || unit.isCrashSuspect();
        }
        host.free -= placedUnit.need;
        countTask(host, placedUnit.need);
        if (job.stepOf(unit).maxTasksPerHost != 0) {
            ++host.tasksPerStep[{&job, unit.occurrence, unit.step}];
        }
        if (!host.placedUnits.empty() && host.placedUnits.back().first == placedIndex) {
            ++host.placedUnits.back().second;
        } else {
            host.placedUnits.emplace_back(placedIndex, 1);
        }
    }
}

bool Occupancy::isClosedTo(const HostState &state, const Job &job, const Step &step) const
{
    const HostReport &report = state.host->report;
    return state.isEvacuated || report.isDraining || report.isLeaving || report.service != m_workload.queueOf(job).service
        || (!step.requiredLabel.empty() && !report.labels.contains(step.requiredLabel));
}

std::optional<Instant> Occupancy::earliestDrainDeadline(const PlacedUnit &placedUnit) const
{
    std::optional<Instant> earliest;
    if (!m_hasDrainingHosts) {
        return earliest;
    }
    for (const auto &member : placedUnit.ref.unit->members) {
        const std::size_t index = m_indexByNumber[member.hostNumber];
        if (index != NoIndex && m_hosts[index].host->report.isDraining) {
            const Instant deadline = m_hosts[index].host->drainDeadline;
            earliest = earliest ? std::min(*earliest, deadline) : deadline;
        }
    }
    return earliest;
}

const HostSet &Occupancy::allowedHosts(const Candidate &candidate)
{
    return hostSet({m_workload.queueOf(*candidate.ref.job).service, candidate.ref.step().requiredLabel, candidate.isGuaranteed});
}

const HostSet &Occupancy::serviceHosts(const Candidate &candidate)
{
    return hostSet({m_workload.queueOf(*candidate.ref.job).service, std::string(), candidate.isGuaranteed});
}

const HostSet &Occupancy::hostSet(HostSetKey key)
{
    const auto found = m_hostSets.find(key);
    if (found != m_hostSets.end()) {
        return found->second;
    }
    HostSet hosts = collectHostSet(key);
    return m_hostSets.emplace(std::move(key), std::move(hosts)).first->second;
}

HostSet Occupancy::collectHostSet(const HostSetKey &key) const
{
    const auto &[service, requiredLabel, isGuaranteed] = key;
    HostSet hosts;
    std::map<std::string, std::vector<std::size_t>> racks;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        const HostState &state = m_hosts[i];
        const HostReport &report = state.host->report;
        const bool isAllowed =
            state.isOpen && report.service == service && (!state.isStalled || isGuaranteed) && (requiredLabel.empty() || report.labels.contains(requiredLabel));
        if (isAllowed) {
            hosts.all.push_back(i);
            hosts.largest = {std::max(hosts.largest.millicores, report.capacity.millicores),
                             std::max(hosts.largest.memoryMib, report.capacity.memoryMib),
                             std::max(hosts.largest.accelerators, report.capacity.accelerators)};
            racks[state.host->rack].push_back(i);
        }
    }
    for (auto &[rack, members] : racks) {
        hosts.racks.push_back(std::move(members));
    }
    return hosts;
}

const HostSet &Occupancy::hostsThatAreNotSlow(const HostSet &hosts)
{
    const auto [entry, isNew] = m_notSlowHostSets.try_emplace(&hosts);
    if (isNew) {
        const auto isNotSlow = [&](std::size_t index) {
            return m_hosts[index].slowFactor <= 1.0;
        };
        std::copy_if(hosts.all.begin(), hosts.all.end(), std::back_inserter(entry->second.all), isNotSlow);
        for (const auto &rack : hosts.racks) {
            std::vector<std::size_t> members;
            std::copy_if(rack.begin(), rack.end(), std::back_inserter(members), isNotSlow);
            if (!members.empty()) {
                entry->second.racks.push_back(std::move(members));
            }
        }
    }
    return entry->second;
}

bool Occupancy::isMostlyFree(const HostSet &hosts) const
{
    Resources free;
    Resources capacity;
    for (const auto index : hosts.all) {
        free += m_hosts[index].free;
        capacity += m_hosts[index].host->report.capacity;
    }
    return 2 * free.accelerators >= capacity.accelerators && 2 * free.millicores >= capacity.millicores;
}

bool Occupancy::isSmall(const Resources &need, const HostState &state) const
{
    const auto isSmallPart = [this](std::int64_t part, std::int64_t whole) {
        return part == 0 || part < whole / m_bounds.maxSmallTasksPerHost;
    };
    const Resources &capacity = state.host->report.capacity;
    return isSmallPart(need.millicores, capacity.millicores) && isSmallPart(need.memoryMib, capacity.memoryMib)
        && isSmallPart(need.accelerators, capacity.accelerators);
}

void Occupancy::countTask(HostState &state, const Resources &need) const
{
    ++state.tasks;
    state.smallTasks += isSmall(need, state) ? 1 : 0;
}

unsigned Occupancy::remainingPerHost(const HostState &state, const Candidate &candidate) const
{
    const Step &step = candidate.ref.step();
    unsigned remaining = m_bounds.maxTasksPerHost - std::min(m_bounds.maxTasksPerHost, state.tasks);
    if (isSmall(step.countedNeed(), state)) {
        remaining = std::min(remaining, m_bounds.maxSmallTasksPerHost - std::min(m_bounds.maxSmallTasksPerHost, state.smallTasks));
    }
    if (step.maxTasksPerHost == 0) {
        return remaining;
    }
    const auto found = state.tasksPerStep.find({candidate.ref.job, candidate.ref.unit->occurrence, candidate.ref.unit->step});
    const unsigned present = found == state.tasksPerStep.end() ? 0 : found->second;
    return present >= step.maxTasksPerHost ? 0 : std::min(remaining, step.maxTasksPerHost - present);
}

Resources Occupancy::availableUntil(const HostState &state, Resources free, Instant endsAt)
{
    for (const auto &[from, resources] : state.reservations) {
        if (endsAt > from) {
            free -= resources;
        }
    }
    return free;
}

std::vector<Instant> Occupancy::earliestStarts(const HostState &state, const Resources &need, unsigned tasks) const
{
    Resources free = state.free;
    for (const auto &[from, resources] : state.reservations) {
        free -= resources;
    }
    std::vector<Instant> starts;
    Instant at = m_now;
    auto release = state.releases.begin();
    Resources total = need;
    while (starts.size() < tasks) {
        if (free.covers(total)) {
            starts.push_back(at);
            total += need;
        } else if (release == state.releases.end()) {
            break;
        } else {
            at = release->first;
            free += release->second;
            ++release;
        }
    }
    return starts;
}

std::optional<Instant> Occupancy::earliestEndOfStep(const HostState &state, const Candidate &candidate) const
{
    std::optional<Instant> earliest;
    for (const auto &[placedIndex, members] : state.placedUnits) {
        const PlacedUnit &placedUnit = m_placedUnits[placedIndex];
        const Unit &unit = *placedUnit.ref.unit;
        const bool isOfStep =
            placedUnit.ref.job == candidate.ref.job && unit.occurrence == candidate.ref.unit->occurrence && unit.step == candidate.ref.unit->step;
        if (isOfStep && placedUnit.endsAt != Never) {
            earliest = earliest ? std::min(*earliest, placedUnit.endsAt) : placedUnit.endsAt;
        }
    }
    return earliest;
}

std::optional<Instant> Occupancy::earliestStart(const HostState &state, const Candidate &candidate) const
{
    const auto starts = earliestStarts(state, candidate.ref.step().countedNeed(), 1);
    if (starts.empty() || remainingPerHost(state, candidate) > 0) {
        return starts.empty() ? std::nullopt : std::optional(starts.front());
    }
    const auto end = earliestEndOfStep(state, candidate);
    return end ? std::optional(std::max(starts.front(), *end)) : std::nullopt;
}

void Occupancy::allocate(std::size_t host, const Candidate &candidate)
{
    HostState &state = m_hosts[host];
    state.free -= candidate.ref.step().countedNeed();
    countTask(state, candidate.ref.step().countedNeed());
    state.hasStartingTask = true;
    state.hasStartingSuspect = state.hasStartingSuspect || candidate.ref.unit->isCrashSuspect();
    if (candidate.ref.step().maxTasksPerHost != 0) {
        ++state.tasksPerStep[{candidate.ref.job, candidate.ref.unit->occurrence, candidate.ref.unit->step}];
    }
}

void Occupancy::withholdForPreemptor(std::size_t host, const Resources &need)
{
    m_hosts[host].free -= need;
}

void Occupancy::reserve(std::size_t host, Instant from, const Resources &need)
{
    m_hosts[host].reservations.emplace_back(from, need);
}

} // namespace plantainfork::batch
