#include "batch/occupancy.h"

#include <algorithm>
#include <limits>

namespace plantainfork::batch
{

std::string rackOf(const HostReport &report)
{
    // A host reports its kind and its rack as labels. Only rack names contain a hyphen: they are numbered by region and place.
    for (const auto &label : report.labels) {
        if (label.find('-') != std::string::npos) {
            return label;
        }
    }
    return report.labels.empty() ? std::string() : *report.labels.rbegin();
}

Occupancy::Occupancy(Workload &workload, const WaitingOrder &order, const Progress &progress, const PlannerBounds &bounds, Instant now)
    : m_workload(workload)
    , m_now(now)
{
    collectHosts();
    collectPlacedUnits(order, progress, bounds);
}

void Occupancy::collectHosts()
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

void Occupancy::collectPlacedUnits(const WaitingOrder &order, const Progress &progress, const PlannerBounds &bounds)
{
    for (auto &[id, job] : m_workload.jobs()) {
        const bool isUrgent = m_workload.priorityOf(job) == 0;
        for (auto &unit : job.units) {
            if (unit.members.empty()) {
                continue;
            }
            PlacedUnit placedUnit;
            placedUnit.ref = {&job, &unit};
            placedUnit.isReleasing = unit.stopReason != StopReason::None || unit.phase == UnitPhase::Done;
            placedUnit.endsAt = m_now;
            bool isEnding = true;
            for (const auto &member : unit.members) {
                placedUnit.endsAt = std::max(placedUnit.endsAt, m_now + progress.remaining(job, unit, member));
                isEnding = isEnding && progress.isEndingSoon(job, unit, member);
            }
            if (placedUnit.isReleasing) {
                placedUnit.endsAt = m_now + bounds.killGrace;
            }
            placedUnit.isReleasing = placedUnit.isReleasing || isEnding;
            placedUnit.lostWork = progress.workLostByStop(job, unit);
            placedUnit.preemptionRank = order.isGuaranteed(job) ? 0 : isUrgent ? 1 : 2;
            addPlacedUnit(placedUnit, progress);
        }
    }
}

void Occupancy::addPlacedUnit(const PlacedUnit &placedUnit, const Progress &progress)
{
    const Job &job = *placedUnit.ref.job;
    const Unit &unit = *placedUnit.ref.unit;
    const std::size_t placedIndex = m_placedUnits.size();
    m_placedUnits.push_back(placedUnit);
    const Resources need = job.stepOf(unit).countedNeed();
    for (const auto &member : unit.members) {
        const auto index = m_hostIndex.find(member.host);
        if (member.phase == MemberPhase::Ended || index == m_hostIndex.end()) {
            continue;
        }
        HostState &host = m_hosts[index->second];
        host.isStalled = host.isStalled || progress.isStalled(job, unit, member);
        host.free -= need;
        ++host.tasksPerStep[{&job, unit.occurrence, unit.step}];
        if (!host.placedUnits.empty() && host.placedUnits.back().first == placedIndex) {
            ++host.placedUnits.back().second;
        } else {
            host.placedUnits.emplace_back(placedIndex, 1);
        }
    }
}

std::vector<std::size_t> Occupancy::allowedHosts(const Candidate &candidate, const std::set<base::DataCentreId> &evacuated) const
{
    std::vector<std::size_t> hosts;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (allows(m_hosts[i], candidate, evacuated)) {
            hosts.push_back(i);
        }
    }
    return hosts;
}

bool Occupancy::allows(const HostState &state, const Candidate &candidate, const std::set<base::DataCentreId> &evacuated) const
{
    const Step &step = candidate.ref.step();
    const HostReport &report = state.host->report;
    const base::ServiceId &service = m_workload.queueOf(*candidate.ref.job).service;
    return report.service == service && (!state.isStalled || candidate.isGuaranteed) && !report.isDraining && !report.hasLeft
        && m_workload.isReachable(*state.host, m_now) && m_now >= state.host->suspendedUntil && !evacuated.contains(report.dataCentre)
        && (step.requiredLabel.empty() || report.labels.contains(step.requiredLabel));
}

unsigned Occupancy::remainingPerHost(const HostState &state, const Candidate &candidate)
{
    const Step &step = candidate.ref.step();
    if (step.maxTasksPerHost == 0) {
        return std::numeric_limits<unsigned>::max();
    }
    const auto found = state.tasksPerStep.find({candidate.ref.job, candidate.ref.unit->occurrence, candidate.ref.unit->step});
    const unsigned present = found == state.tasksPerStep.end() ? 0 : found->second;
    return present >= step.maxTasksPerHost ? 0 : step.maxTasksPerHost - present;
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

Instant Occupancy::earliestStart(const HostState &state, const Resources &need, unsigned tasks) const
{
    Resources total;
    for (unsigned i = 0; i < tasks; ++i) {
        total += need;
    }
    std::vector<std::pair<Instant, Resources>> releases;
    for (const auto &[placedIndex, members] : state.placedUnits) {
        Resources resources;
        for (unsigned i = 0; i < members; ++i) {
            resources += m_placedUnits[placedIndex].ref.step().countedNeed();
        }
        releases.emplace_back(m_placedUnits[placedIndex].endsAt, resources);
    }
    std::sort(releases.begin(), releases.end());
    Resources free = state.free;
    for (const auto &[from, resources] : state.reservations) {
        free -= resources;
    }
    if (free.covers(total)) {
        return m_now;
    }
    for (const auto &[at, resources] : releases) {
        free += resources;
        if (free.covers(total)) {
            return at;
        }
    }
    return Instant::max();
}

void Occupancy::allocate(std::size_t host, const Candidate &candidate)
{
    HostState &state = m_hosts[host];
    state.free -= candidate.ref.step().countedNeed();
    ++state.tasksPerStep[{candidate.ref.job, candidate.ref.unit->occurrence, candidate.ref.unit->step}];
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
