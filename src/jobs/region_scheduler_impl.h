/** Definitions of RegionScheduler: construction, public calls and small helpers. */
#pragma once

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "jobs/job_responses.h"
#include "jobs/region_scheduler_commands.h"
#include "jobs/region_scheduler_term.h"

namespace plantainfork::jobs
{

constexpr std::size_t MaxRememberedClosedJobs = 20'000;

template<store::KeyValueStore Store>
RegionScheduler<Store>::RegionScheduler(const boost::asio::any_io_executor &executor,
                                        RegionSchedulerOptions options,
                                        Store &store,
                                        const runtime::Published<wire::Config> &config,
                                        const runtime::Published<membership::MemberView> &members,
                                        rpc::ChannelPool &channels,
                                        metrics::Registry &registry)
    : m_strand(boost::asio::make_strand(executor))
    , m_options(std::move(options))
    , m_store(store)
    , m_jobStore(store)
    , m_lease(store, m_options.region, m_options.self, m_options.schedulerLease)
    , m_coordinator(executor, channels, m_options.gangLease)
    , m_config(config)
    , m_members(members)
    , m_channels(channels)
    , m_takeovers(registry.counter("plantainfork_scheduler_takeovers_total", {{"region", m_options.region.value()}}))
    , m_started(registry.counter("plantainfork_gangs_started_total", {{"region", m_options.region.value()}}))
    , m_refusedGangs(registry.counter("plantainfork_gangs_refused_total", {{"region", m_options.region.value()}}))
    , m_stoppedGangs(registry.counter("plantainfork_gangs_stopped_total", {{"region", m_options.region.value()}}))
    , m_closedJobs(registry.counter("plantainfork_jobs_closed_total", {{"region", m_options.region.value()}}))
    , m_startDelay(registry.histogram("plantainfork_gang_start_delay_seconds", {{"region", m_options.region.value()}}))
    , m_decisionTime(registry.histogram("plantainfork_decision_time_seconds", {{"region", m_options.region.value()}}))
    , m_registry(registry)
{
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::start()
{
    boost::asio::co_spawn(m_strand, run(), boost::asio::detached);
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::stop()
{
    const auto self = this->shared_from_this();
    auto operation = [](std::shared_ptr<RegionScheduler> scheduler) -> boost::asio::awaitable<void> {
        scheduler->m_isStopped = true;
        scheduler->stepDown();
        co_await scheduler->m_lease.release();
    };
    co_await boost::asio::co_spawn(m_strand, operation(self), boost::asio::use_awaitable);
}

template<store::KeyValueStore Store>
boost::asio::awaitable<bool> RegionScheduler<Store>::handleJobNotice(base::JobId id)
{
    auto operation = [](std::shared_ptr<RegionScheduler> scheduler, base::JobId job) -> boost::asio::awaitable<bool> {
        const std::uint64_t term = scheduler->m_term;
        if (!scheduler->m_isReady || !scheduler->m_lease.isHeld()) {
            co_return false;
        }
        if (scheduler->find(job)) {
            co_await scheduler->reload(job, term);
            co_return scheduler->isCurrent(term);
        }
        const auto loaded = co_await scheduler->m_jobStore.load(job, runtime::Clock::now() + StoreTimeout);
        if (!scheduler->isCurrent(term) || (!loaded.ok() && !absl::IsNotFound(loaded.status()))) {
            co_return false;
        }
        const bool isNew = loaded.ok() && !isClosed(loaded->record.state) && !scheduler->find(job) && scheduler->m_closed.count(job) == 0;
        if (isNew) {
            scheduler->addJob(*loaded);
        }
        co_return true;
    };
    co_return co_await boost::asio::co_spawn(m_strand, operation(this->shared_from_this(), std::move(id)), boost::asio::use_awaitable);
}

template<store::KeyValueStore Store>
boost::asio::awaitable<bool> RegionScheduler<Store>::handleTaskReport(wire::TaskStatus status)
{
    auto operation = [](std::shared_ptr<RegionScheduler> scheduler, wire::TaskStatus reported) -> boost::asio::awaitable<bool> {
        if (!scheduler->m_isReady || !scheduler->m_lease.isHeld()) {
            co_return false;
        }
        LiveJob *job = scheduler->find(reported.attempt.job);
        if (!job) {
            co_return true;
        }
        const JobRecord &record = job->stored.record;
        const bool isOutdated = reported.attempt.attempt < record.spec.attempt || record.state == JobState::Queued;
        if (isOutdated) {
            co_return true;
        }
        if (job->endedRanks.insert(reported.rank).second) {
            scheduler->handle(scheduling::TaskEnded{reported.attempt, reported.rank, reported.state, reported.checkpointed, reported.detail});
        }
        // The report isn't accepted until the job's record reflects it. The agent repeats it until then, so that it isn't lost if this leader fails.
        co_return false;
    };
    co_return co_await boost::asio::co_spawn(m_strand, operation(this->shared_from_this(), std::move(status)), boost::asio::use_awaitable);
}

template<store::KeyValueStore Store>
boost::asio::awaitable<std::optional<std::string>> RegionScheduler<Store>::answerQuery(wire::JobQuestion question, base::JobId id)
{
    auto operation =
        [](std::shared_ptr<RegionScheduler> scheduler, wire::JobQuestion asked, base::JobId job) -> boost::asio::awaitable<std::optional<std::string>> {
        if (!scheduler->m_isReady || !scheduler->m_lease.isHeld()) {
            co_return std::nullopt;
        }
        if (asked == wire::JobQuestion::Capacity) {
            co_return capacityJson(scheduler->m_options.region, scheduler->m_core, *scheduler->m_config.load());
        }
        const LiveJob *live = scheduler->find(job);
        co_return live ? explanationJson(live->stored.record, scheduler->m_core) : std::string();
    };
    co_return co_await boost::asio::co_spawn(m_strand, operation(this->shared_from_this(), question, std::move(id)), boost::asio::use_awaitable);
}

template<store::KeyValueStore Store>
boost::asio::awaitable<std::optional<wire::Address>> RegionScheduler<Store>::leader()
{
    auto operation = [](std::shared_ptr<RegionScheduler> scheduler) -> boost::asio::awaitable<std::optional<wire::Address>> {
        co_return scheduler->m_lease.leader();
    };
    co_return co_await boost::asio::co_spawn(m_strand, operation(this->shared_from_this()), boost::asio::use_awaitable);
}

template<store::KeyValueStore Store>
std::optional<GangCommandContext> RegionScheduler<Store>::commandContextFor(const wire::AttemptId &attempt, const scheduling::Placement &placement) const
{
    GangCommandContext context{m_lease.token(), m_options.region, attempt, {}};
    for (const auto &agent : placement) {
        const auto found = m_workers.find(agent);
        if (found == m_workers.end()) {
            return std::nullopt;
        }
        const auto rank = static_cast<std::uint32_t>(context.members.size());
        context.members.push_back({agent, found->second.incarnation, found->second.rpc, rank});
    }
    return context;
}

template<store::KeyValueStore Store>
GangCommandContext RegionScheduler<Store>::commandContextFor(const JobRecord &record) const
{
    return {m_lease.token(), m_options.region, {record.spec.id, record.spec.attempt}, record.members};
}

template<store::KeyValueStore Store>
typename RegionScheduler<Store>::LiveJob *RegionScheduler<Store>::find(const base::JobId &job)
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

template<store::KeyValueStore Store>
bool RegionScheduler<Store>::isCurrent(std::uint64_t term) const
{
    return term == m_term && !m_isStopped && m_lease.isHeld();
}

template<store::KeyValueStore Store>
bool RegionScheduler<Store>::isSuperseded(const LiveJob *job, const wire::AttemptId &attempt) const
{
    return job->stoppingAttempt >= attempt.attempt || job->stored.record.spec.attempt > attempt.attempt;
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::rememberClosedJob(const base::JobId &job)
{
    if (m_closed.insert(job).second) {
        m_closedOrder.push_back(job);
    }
    if (m_closedOrder.size() > MaxRememberedClosedJobs) {
        m_closed.erase(m_closedOrder.front());
        m_closedOrder.pop_front();
    }
}

} // namespace plantainfork::jobs
