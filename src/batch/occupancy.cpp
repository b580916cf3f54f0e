#include "batch/occupancy.h"

#include <algorithm>
#include <limits>

namespace plantainfork::batch
{

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

Occupancy::Occupancy(Workload &workload, const WaitingOrder &order, const Progress &progress, const PlannerBounds &bounds, Instant now)
    : m_workload(workload)
    , m_now(now)
{
    collectHosts();
    collectOccupants(order, progress, bounds);
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

void Occupancy::collectOccupants(const WaitingOrder &order, const Progress &progress, const PlannerBounds &bounds)
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
                occupant.endsAt = std::max(occupant.endsAt, m_now + progress.remaining(job, unit, member));
                isEnding = isEnding && progress.isAboutToEnd(job, unit, member);
            }
            if (occupant.isLeavingAnyway) {
                occupant.endsAt = m_now + bounds.killGrace;
            }
            occupant.isLeavingAnyway = occupant.isLeavingAnyway || isEnding;
            occupant.unsaved = progress.unsavedWork(job, unit);
            occupant.standing = order.isEntitled(job) ? 0 : isUrgent ? 1 : 2;
            addOccupant(occupant, progress);
        }
    }
}

void Occupancy::addOccupant(const Occupant &occupant, const Progress &progress)
{
    const Job &job = *occupant.ref.job;
    const Unit &unit = *occupant.ref.unit;
    const std::size_t number = m_occupants.size();
    m_occupants.push_back(occupant);
    const Room need = job.stepOf(unit).countedNeed();
    for (const auto &member : unit.members) {
        const auto index = m_hostIndex.find(member.host);
        if (member.phase == MemberPhase::Ended || index == m_hostIndex.end()) {
            continue;
        }
        HostState &host = m_hosts[index->second];
        host.isStalled = host.isStalled || progress.isStalled(job, unit, member);
        host.free -= need;
        ++host.perStep[{&job, unit.occurrence, unit.step}];
        if (!host.occupants.empty() && host.occupants.back().first == number) {
            ++host.occupants.back().second;
        } else {
            host.occupants.emplace_back(number, 1);
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
    return report.service == service && (!state.isStalled || candidate.isEntitled) && !report.isDraining && !report.hasLeft
        && m_workload.isInTouch(*state.host, m_now) && m_now >= state.host->suspendedUntil && !evacuated.contains(report.dataCentre)
        && (step.requiredLabel.empty() || report.labels.contains(step.requiredLabel));
}

unsigned Occupancy::spreadRoom(const HostState &state, const Candidate &candidate)
{
    const Step &step = candidate.ref.step();
    if (step.mostPerHost == 0) {
        return std::numeric_limits<unsigned>::max();
    }
    const auto found = state.perStep.find({candidate.ref.job, candidate.ref.unit->occurrence, candidate.ref.unit->step});
    const unsigned present = found == state.perStep.end() ? 0 : found->second;
    return present >= step.mostPerHost ? 0 : step.mostPerHost - present;
}

Room Occupancy::usable(const HostState &state, Room free, Instant endsAt)
{
    for (const auto &[from, room] : state.reservations) {
        if (endsAt > from) {
            free -= room;
        }
    }
    return free;
}

Instant Occupancy::freeAt(const HostState &state, const Room &need, unsigned tasks) const
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

void Occupancy::take(std::size_t host, const Candidate &candidate)
{
    HostState &state = m_hosts[host];
    state.free -= candidate.ref.step().countedNeed();
    ++state.perStep[{candidate.ref.job, candidate.ref.unit->occurrence, candidate.ref.unit->step}];
}

void Occupancy::promise(std::size_t host, const Room &need)
{
    m_hosts[host].free -= need;
}

void Occupancy::reserve(std::size_t host, Instant from, const Room &need)
{
    m_hosts[host].reservations.emplace_back(from, need);
}

} // namespace plantainfork::batch
