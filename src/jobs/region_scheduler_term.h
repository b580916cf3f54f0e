/** Definitions of RegionScheduler: start and end of a term as leader, and the events that it feeds to the core. */
#pragma once

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "jobs/region_scheduler.h"
#include "log/log.h"
#include "rpc/channel.h"
#include "runtime/gather.h"
#include "runtime/timer.h"

namespace plantainfork::jobs
{

constexpr std::chrono::milliseconds TickInterval{250};
/** How often the live records are reread, to find jobs whose notice was lost because the entry that accepted them failed. */
constexpr std::chrono::minutes RescanInterval{1};
constexpr std::chrono::milliseconds InventoryTimeout{1000};

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::run()
{
    const auto self = this->shared_from_this();
    boost::asio::co_spawn(m_strand, schedule(), boost::asio::detached);
    while (!m_isStopped) {
        const bool wasHeld = m_isReady || m_lease.isHeld();
        const bool isHeld = co_await m_lease.acquireOrRenew();
        if (m_isStopped) {
            break;
        }
        if (wasHeld && !isHeld) {
            stepDown();
        }
        co_await runtime::sleepFor(m_lease.renewInterval());
    }
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::schedule()
{
    const auto self = this->shared_from_this();
    while (!m_isStopped) {
        if (m_isReady && !m_lease.isHeld()) {
            stepDown();
        }
        if (!m_isReady && m_lease.isHeld()) {
            m_isReady = co_await restore();
        }
        if (m_isReady && m_lease.isHeld()) {
            applyConfig();
            applyMembers();
            handle(scheduling::Tick{});
            if (runtime::Clock::now() >= m_nextRescan) {
                co_await rescan();
            }
        }
        co_await runtime::sleepFor(TickInterval);
    }
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::stepDown()
{
    if (m_isReady) {
        log::write(log::Severity::Info, "scheduler stepped down", {{"region", m_options.region.value()}});
    }
    ++m_term;
    m_isReady = false;
    m_core = scheduling::Core();
    m_jobs.clear();
    m_closed.clear();
    m_closedOrder.clear();
    m_workers.clear();
    m_lastView.reset();
    m_lastConfig.reset();
}

template<store::KeyValueStore Store>
boost::asio::awaitable<bool> RegionScheduler<Store>::restore()
{
    stepDown();
    const std::uint64_t term = m_term;
    const auto loaded = co_await m_jobStore.loadRegion(m_options.region, runtime::Clock::now() + StoreTimeout);
    if (!loaded.ok() || !isCurrent(term)) {
        co_return false;
    }
    co_await waitForAgents(*loaded);
    const auto inventory = co_await collectInventory();
    if (!isCurrent(term)) {
        co_return false;
    }
    applyConfig();
    applyMembers();
    for (const auto &job : *loaded) {
        restoreJob(job, inventory);
    }
    m_nextRescan = runtime::Clock::now() + RescanInterval;
    m_takeovers.add();
    log::write(log::Severity::Info,
               "scheduler took over",
               {{"region", m_options.region.value()}, {"token", std::to_string(m_lease.token().value())}, {"jobs", std::to_string(loaded->size())}});
    co_return true;
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::waitForAgents(const std::vector<StoredJob> &jobs)
{
    std::set<base::MemberId> needed;
    for (const auto &job : jobs) {
        for (const auto &member : job.record.members) {
            needed.insert(member.agent);
        }
    }
    const auto deadline = runtime::Clock::now() + m_options.memberTimeout;
    while (runtime::Clock::now() < deadline) {
        const auto view = m_members.load();
        const bool areAllKnown = std::all_of(needed.begin(), needed.end(), [&view](const base::MemberId &id) {
            return view->members.count(id) > 0;
        });
        if (areAllKnown) {
            co_return;
        }
        co_await runtime::sleepFor(TickInterval);
    }
}

template<store::KeyValueStore Store>
boost::asio::awaitable<std::map<base::MemberId, wire::InventoryReply>> RegionScheduler<Store>::collectInventory()
{
    struct Answer {
        base::MemberId agent;
        std::optional<wire::InventoryReply> reply;
    };
    auto ask = [](std::shared_ptr<rpc::Channel> channel, base::MemberId agent, wire::InventoryCall call) -> boost::asio::awaitable<Answer> {
        const auto result = co_await rpc::call(*channel, call, runtime::Clock::now() + InventoryTimeout);
        Answer answer;
        answer.agent = agent;
        if (result.reply.ok()) {
            answer.reply = *result.reply;
        }
        co_return answer;
    };
    const auto view = m_members.load();
    std::vector<boost::asio::awaitable<Answer>> calls;
    for (const auto &[id, record] : view->members) {
        if (record.role == wire::MemberRole::Agent && record.region == m_options.region && record.offer.kind == wire::TargetKind::Worker) {
            calls.push_back(ask(m_channels.to(record.rpc), id, {m_lease.token(), m_options.region}));
        }
    }
    std::vector<Answer> answers = co_await runtime::gather(boost::asio::any_io_executor(m_strand), std::move(calls));
    std::map<base::MemberId, wire::InventoryReply> inventory;
    for (auto &answer : answers) {
        if (answer.reply) {
            inventory.emplace(answer.agent, std::move(*answer.reply));
        }
    }
    co_return inventory;
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::restoreJob(StoredJob job, const std::map<base::MemberId, wire::InventoryReply> &inventory)
{
    if (job.record.state != JobState::Running) {
        addJob(std::move(job));
        return;
    }
    const JobRecord record = job.record;
    const wire::AttemptId attempt{record.spec.id, record.spec.attempt};
    const auto isReported = [&](const wire::GangMember &member) {
        const auto found = inventory.find(member.agent);
        return found != inventory.end() && std::any_of(found->second.tasks.begin(), found->second.tasks.end(), [&](const wire::TaskStatus &status) {
                   return status.attempt == attempt && status.rank == member.rank;
               });
    };
    const bool isComplete = std::all_of(record.members.begin(), record.members.end(), isReported);
    m_jobs.insert_or_assign(record.spec.id, LiveJob{std::move(job), {}, 0});
    scheduling::GangRestored event;
    event.job = record.spec;
    event.attempt = attempt;
    event.state = isComplete ? scheduling::RestoredState::Running : scheduling::RestoredState::Stopping;
    for (const auto &member : record.members) {
        event.placement.push_back(member.agent);
    }
    handle(event);
    if (!isComplete) {
        execute(scheduling::StopGang{attempt, wire::StopMode::Checkpoint, "a member was gone when the scheduler took over"});
    }
    if (record.isCancelRequested) {
        handle(scheduling::JobCancelled{record.spec.id});
    }
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::rescan()
{
    const std::uint64_t term = m_term;
    m_nextRescan = runtime::Clock::now() + RescanInterval;
    const auto loaded = co_await m_jobStore.loadRegion(m_options.region, runtime::Clock::now() + StoreTimeout);
    if (!loaded.ok() || !isCurrent(term)) {
        co_return;
    }
    for (const auto &job : *loaded) {
        if (!find(job.record.spec.id) && m_closed.count(job.record.spec.id) == 0) {
            addJob(job);
        }
    }
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::addJob(StoredJob job)
{
    // The job may depend on a configuration that was published after the last tick.
    applyConfig();
    const scheduling::JobSpec spec = job.record.spec;
    const bool isCancelRequested = job.record.isCancelRequested;
    m_jobs.insert_or_assign(spec.id, LiveJob{std::move(job), {}, 0});
    handle(scheduling::JobSubmitted{spec});
    if (isCancelRequested) {
        handle(scheduling::JobCancelled{spec.id});
    }
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::applyConfig()
{
    const auto config = m_config.load();
    if (config != m_lastConfig) {
        m_lastConfig = config;
        handle(scheduling::ConfigChanged{config});
    }
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::applyMembers()
{
    const auto view = m_members.load();
    if (view == m_lastView) {
        return;
    }
    m_lastView = view;
    const auto isWorkerOfRegion = [this](const wire::MemberRecord &record) {
        return record.role == wire::MemberRole::Agent && record.region == m_options.region && record.offer.kind == wire::TargetKind::Worker;
    };
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const auto found = view->members.find(it->first);
        const bool isSame = found != view->members.end() && isWorkerOfRegion(found->second) && found->second.incarnation == it->second.incarnation;
        if (isSame) {
            ++it;
            continue;
        }
        const base::MemberId lost = it->first;
        it = m_workers.erase(it);
        handle(scheduling::WorkerLost{lost});
    }
    for (const auto &[id, record] : view->members) {
        const auto known = m_workers.find(id);
        const bool isUnchanged = known != m_workers.end() && known->second == record;
        if (!isWorkerOfRegion(record) || isUnchanged) {
            continue;
        }
        m_workers.insert_or_assign(id, record);
        scheduling::WorkerUpdated workerUpdate;
        workerUpdate.id = id;
        workerUpdate.incarnation = record.incarnation;
        workerUpdate.dataCentre = record.dataCentre;
        workerUpdate.region = record.region;
        workerUpdate.rack = record.offer.rack;
        workerUpdate.accelerators = record.offer.accelerators;
        workerUpdate.cores = record.offer.cores;
        workerUpdate.memoryMiB = record.offer.memoryMiB;
        workerUpdate.state = record.state;
        workerUpdate.consecutiveFailures = record.offer.consecutiveFailures;
        handle(workerUpdate);
    }
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::handle(const scheduling::Event &event)
{
    const auto before = runtime::Clock::now();
    const scheduling::Decision decision = m_core.handle(event, before);
    m_decisionTime.record(runtime::Clock::now() - before);
    for (const auto &command : decision.commands) {
        std::visit(
            [this](const auto &typed) {
                execute(typed);
            },
            command);
    }
}

} // namespace plantainfork::jobs
