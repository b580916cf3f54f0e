// Events of workers, configuration and time.
#include "scheduling/scheduler.h"

#include <chrono>
#include <utility>

namespace plantainfork::scheduling
{

namespace
{

/** A lost worker still counts for this long when a job is checked for being impossible to place. */
constexpr std::chrono::hours LostWorkerRetention{24};

} // namespace

Scheduler::Scheduler(Options options)
    : m_options(options)
    , m_guarantees(m_inventory)
{
}

Decision Scheduler::handle(const Event &event, runtime::Instant now)
{
    m_now = now;
    m_decision = {};
    for (const base::MemberId &id : m_health.expireQuarantines(now)) {
        updateWorkerUse(id);
    }
    while (!m_commandDeadlines.empty() && m_commandDeadlines.begin()->first.first <= now) {
        onCommandTimeout(*m_commandDeadlines.begin()->second);
    }
    std::visit(
        [this](const auto &typed) {
            on(typed);
        },
        event);
    runRound();
    return std::exchange(m_decision, {});
}

void Scheduler::on(const WorkerUpdated &event)
{
    if (event.state == wire::MemberState::Left) {
        on(WorkerLost{event.id});
        return;
    }
    if (!m_firstWorkerAt) {
        m_firstWorkerAt = m_now;
    }
    const auto known = m_inventory.find(event.id);
    if (known && !m_inventory.worker(*known).isLost && m_inventory.worker(*known).lastUpdate == event) {
        return;
    }
    m_health.recordReport(event.id, event.consecutiveFailures, m_now);
    updateWorkerUse(m_inventory.update(event));
}

void Scheduler::on(const WorkerLost &event)
{
    const auto worker = m_inventory.find(event.id);
    if (!worker || m_inventory.worker(*worker).isLost) {
        return;
    }
    m_inventory.markLost(*worker);
    m_hasClosedWorkers = true;
    m_health.forget(event.id);
    m_lostWorkers.emplace(m_now + LostWorkerRetention, event.id);
    stopGangsOnLostWorker(*worker);
}

void Scheduler::on(const ConfigChanged &event)
{
    m_config = event.config;
    for (const auto &[id, dataCentre] : m_config->dataCentres) {
        const DataCentreIndex index = m_inventory.internDataCentre(id);
        const wire::DataCentreMode mode = dataCentre.removed ? wire::DataCentreMode::Out : dataCentre.value.mode;
        if (m_inventory.dataCentre(index).mode == mode) {
            continue;
        }
        m_inventory.setMode(index, mode);
        for (const RackIndex rack : m_inventory.dataCentre(index).racks) {
            for (const WorkerIndex worker : m_inventory.rack(rack).workers) {
                updateWorkerUse(worker);
            }
        }
    }
    m_guarantees.configure(*m_config);
}

void Scheduler::on(const Tick &)
{
    forgetLostWorkers();
    rejectImpossibleJobs();
    updateExpectedStarts();
    m_grantsToServe.merge(m_unservedGrants);
    m_unservedGrants.clear();
}

void Scheduler::updateWorkerUse(const base::MemberId &id)
{
    if (const auto worker = m_inventory.find(id)) {
        updateWorkerUse(*worker);
    }
}

WorkerUse Scheduler::determineWorkerUse(const Worker &worker) const
{
    const bool isOut = m_inventory.dataCentre(worker.dataCentre).mode == wire::DataCentreMode::Out;
    if (worker.isLost || isOut || worker.lastUpdate.state != wire::MemberState::Alive) {
        return WorkerUse::Closed;
    }
    switch (m_health.health(worker.lastUpdate.id)) {
    case Health::Healthy:
        return WorkerUse::Open;
    case Health::Quarantined:
        return WorkerUse::Closed;
    case Health::OnProbation:
        return WorkerUse::Probation;
    }
    return WorkerUse::Closed;
}

void Scheduler::updateWorkerUse(WorkerIndex index)
{
    const Worker &worker = m_inventory.worker(index);
    const WorkerUse use = determineWorkerUse(worker);
    const bool isClosing = worker.use == WorkerUse::Open && use != WorkerUse::Open;
    m_inventory.setUse(index, use);
    m_hasClosedWorkers = m_hasClosedWorkers || isClosing;
    if (worker.lastUpdate.state == wire::MemberState::Leaving) {
        evacuate(index, "its worker is leaving");
    } else if (m_inventory.dataCentre(worker.dataCentre).mode == wire::DataCentreMode::Out) {
        evacuate(index, "its data centre was taken out of service");
    }
}

void Scheduler::evacuate(WorkerIndex index, std::string_view reason)
{
    const std::vector<LocalGang> gangs = m_inventory.worker(index).gangs;
    for (const LocalGang &gang : gangs) {
        Job &job = *gang.job;
        const bool canCheckpoint = job.phase == JobPhase::Running && job.spec.checkpointable;
        // A starting gang that isn't idempotent is not stopped here: its agents refuse a late start themselves.
        const bool mayCancelStart = job.phase == JobPhase::Starting && job.spec.idempotent;
        if (canCheckpoint || mayCancelStart) {
            stop(job, canCheckpoint ? wire::StopMode::Checkpoint : wire::StopMode::Stop, AfterStop::Requeue, "stopped: " + std::string(reason));
        }
    }
}

void Scheduler::stopGangsOnLostWorker(WorkerIndex index)
{
    const std::vector<LocalGang> gangs = m_inventory.worker(index).gangs;
    for (const LocalGang &gang : gangs) {
        Job &job = *gang.job;
        if (job.phase == JobPhase::Reclaiming) {
            continue;
        }
        job.mayHavePartialWork = true;
        if (job.phase != JobPhase::Stopping) {
            stop(job, wire::StopMode::Stop, AfterStop::Requeue, "stopped: it has lost worker " + m_inventory.worker(index).lastUpdate.id.value());
        }
    }
}

void Scheduler::forgetLostWorkers()
{
    while (!m_lostWorkers.empty() && m_lostWorkers.begin()->first <= m_now) {
        const base::MemberId id = m_lostWorkers.begin()->second;
        m_lostWorkers.erase(m_lostWorkers.begin());
        const auto index = m_inventory.find(id);
        if (!index || !m_inventory.worker(*index).isLost) {
            continue;
        }
        const Worker &worker = m_inventory.worker(*index);
        if (!worker.gangs.empty() || worker.reserved != Resources{} || worker.reservation != nullptr) {
            m_lostWorkers.emplace(m_now + LostWorkerRetention, id);
            continue;
        }
        m_inventory.forget(*index);
        m_mustCheckImpossible = true;
    }
}

} // namespace plantainfork::scheduling
