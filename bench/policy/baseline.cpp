#include "policy/baseline.h"

#include <algorithm>
#include <utility>

namespace plantainfork::bench
{

using scheduling::Decision;
using scheduling::Placement;
using scheduling::Resources;

Baseline::Baseline(Fit fit)
    : m_fit(fit)
{
}

Decision Baseline::handle(const scheduling::Event &event, runtime::Instant)
{
    m_decision = {};
    std::visit(
        [this](const auto &typed) {
            on(typed);
        },
        event);
    fill();
    return std::exchange(m_decision, {});
}

void Baseline::on(const scheduling::WorkerUpdated &event)
{
    Host &host = m_hosts[event.id];
    if (host.lastUpdate.id.isEmpty()) {
        host.free = {event.accelerators, event.cores, static_cast<std::int64_t>(event.memoryMiB)};
    }
    host.lastUpdate = event;
    host.isLost = false;
}

void Baseline::on(const scheduling::WorkerLost &event)
{
    m_hosts[event.id].isLost = true;
    for (auto &[id, gang] : m_gangs) {
        if (std::find(gang.placement.begin(), gang.placement.end(), event.id) != gang.placement.end()) {
            stop(gang);
        }
    }
}

void Baseline::on(const scheduling::ConfigChanged &event)
{
    m_out.clear();
    for (const auto &[id, dataCentre] : event.config->dataCentres) {
        if (dataCentre.value.mode == wire::DataCentreMode::Out) {
            m_out.insert(id);
        }
    }
}

void Baseline::on(const scheduling::JobSubmitted &event)
{
    m_queue.push_back(event.job);
}

void Baseline::on(const scheduling::JobCancelled &event)
{
    const auto removed = std::erase_if(m_queue, [&](const scheduling::JobSpec &job) {
        return job.id == event.job;
    });
    if (removed > 0) {
        m_decision.commands.emplace_back(scheduling::FinishJob{event.job, scheduling::JobOutcome::Cancelled, {}});
    } else if (const auto found = m_gangs.find(event.job); found != m_gangs.end()) {
        found->second.isCancelled = true;
        stop(found->second);
    }
}

void Baseline::on(const scheduling::TaskEnded &event)
{
    const auto found = m_gangs.find(event.attempt.job);
    if (found == m_gangs.end() || found->second.job.attempt != event.attempt.attempt) {
        return;
    }
    Gang &gang = found->second;
    if (event.state == wire::TaskState::Failed) {
        stop(gang);
    } else if (++gang.finished == gang.job.shape.members) {
        release(gang);
        m_decision.commands.emplace_back(scheduling::FinishJob{gang.job.id, scheduling::JobOutcome::Finished, {}});
        m_gangs.erase(found);
    }
}

void Baseline::on(const scheduling::GangStopped &event)
{
    const auto found = m_gangs.find(event.attempt.job);
    if (found == m_gangs.end() || found->second.job.attempt != event.attempt.attempt) {
        return;
    }
    Gang gang = std::move(found->second);
    m_gangs.erase(found);
    release(gang);
    if (gang.isCancelled || !gang.job.idempotent) {
        const auto outcome = gang.isCancelled ? scheduling::JobOutcome::Cancelled : scheduling::JobOutcome::Failed;
        m_decision.commands.emplace_back(scheduling::FinishJob{gang.job.id, outcome, {}});
        return;
    }
    gang.job.checkpointed = event.checkpointed;
    m_queue.push_front(gang.job);
}

void Baseline::stop(Gang &gang)
{
    if (!std::exchange(gang.isStopping, true)) {
        m_decision.commands.emplace_back(scheduling::StopGang{{gang.job.id, gang.job.attempt}, wire::StopMode::Stop, {}});
    }
}

void Baseline::release(const Gang &gang)
{
    for (const base::MemberId &member : gang.placement) {
        m_hosts[member].free += scheduling::perMember(gang.job.shape);
    }
}

void Baseline::fill()
{
    std::set<wire::Shape> failed;
    for (auto job = m_queue.begin(); job != m_queue.end();) {
        Placement placement = failed.contains(job->shape) ? Placement{} : find(job->shape);
        if (placement.empty()) {
            failed.insert(job->shape);
            ++job;
            continue;
        }
        ++job->attempt;
        for (const base::MemberId &member : placement) {
            m_hosts[member].free -= scheduling::perMember(job->shape);
        }
        m_decision.commands.emplace_back(scheduling::StartGang{{job->id, job->attempt}, job->shape, placement, job->checkpointed, {}});
        m_gangs[job->id] = {*job, std::move(placement), 0, false, false};
        job = m_queue.erase(job);
    }
}

Placement Baseline::find(const wire::Shape &shape)
{
    // Domains in which the members would be adjacent, in the order of names.
    std::map<std::string, std::vector<Host *>> domains;
    for (auto &[id, host] : m_hosts) {
        if (host.isLost || m_out.contains(host.lastUpdate.dataCentre)) {
            continue;
        }
        std::string name = host.lastUpdate.dataCentre.value();
        name += shape.adjacency == wire::Adjacency::DataCentre ? "" : "/" + host.lastUpdate.rack.value();
        name += shape.adjacency == wire::Adjacency::Host ? "/" + id.value() : "";
        domains[name].push_back(&host);
    }
    std::vector<std::pair<std::int64_t, std::vector<Host *>>> order;
    for (auto &[name, hosts] : domains) {
        std::int64_t free = 0;
        for (const Host *host : hosts) {
            free += host->free.accelerators;
        }
        order.emplace_back(free, std::move(hosts));
    }
    if (m_fit == Fit::Worst) {
        std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
            return left.first > right.first;
        });
    } else if (m_fit == Fit::Random) {
        std::shuffle(order.begin(), order.end(), m_random);
    }
    for (const auto &[free, hosts] : order) {
        Placement placement;
        for (const Host *host : hosts) {
            const auto missing = static_cast<std::uint32_t>(shape.members - placement.size());
            placement.insert(placement.end(), scheduling::membersThatFit(host->free, scheduling::perMember(shape), missing), host->lastUpdate.id);
        }
        if (placement.size() == shape.members) {
            return placement;
        }
    }
    return {};
}

} // namespace plantainfork::bench
