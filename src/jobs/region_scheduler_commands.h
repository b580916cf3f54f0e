/** Definitions of RegionScheduler: execution of the core's commands and the records of their results. */
#pragma once

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "jobs/region_scheduler.h"
#include "rpc/channel.h"
#include "runtime/timer.h"

namespace plantainfork::jobs
{

constexpr std::chrono::milliseconds BarrierPollInterval{50};
constexpr std::chrono::milliseconds CommandRetryInterval{200};

template<store::KeyValueStore Store>
void RegionScheduler<Store>::execute(const scheduling::StartGang &command)
{
    boost::asio::co_spawn(m_strand, startGang(command, m_term), boost::asio::detached);
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::execute(const scheduling::StopGang &command)
{
    LiveJob *job = find(command.attempt.job);
    if (command.mode == wire::StopMode::Throttle) {
        if (job && job->stored.record.state == JobState::Running) {
            boost::asio::co_spawn(m_strand, m_coordinator.throttle(commandContextFor(job->stored.record), command.reason), boost::asio::detached);
        }
        return;
    }
    if (job) {
        job->stoppingAttempt = std::max(job->stoppingAttempt, command.attempt.attempt);
    }
    boost::asio::co_spawn(m_strand, stopGang(command, m_term), boost::asio::detached);
}

template<store::KeyValueStore Store>
void RegionScheduler<Store>::execute(const scheduling::FinishJob &command)
{
    boost::asio::co_spawn(m_strand, finishJob(command, m_term), boost::asio::detached);
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::startGang(scheduling::StartGang command, std::uint64_t term)
{
    const auto self = this->shared_from_this();
    const wire::AttemptId attempt = command.attempt;
    const auto context = commandContextFor(attempt, command.placement);
    LiveJob *job = find(attempt.job);
    if (!context || !job || !isCurrent(term)) {
        if (isCurrent(term)) {
            handle(scheduling::PrepareRefused{attempt, command.placement.front(), "the worker is no longer known"});
        }
        co_return;
    }
    wire::PrepareCall plan;
    plan.shape = command.shape;
    plan.idempotent = job->stored.record.spec.idempotent;
    plan.checkpointable = job->stored.record.spec.checkpointable;
    plan.runTime = job->stored.record.spec.runTime;
    plan.resumeFrom = command.resumeFrom;
    const auto reservedUntil = runtime::Clock::now() + m_options.gangLease;
    const auto refusals = co_await m_coordinator.prepare(*context, std::move(plan));
    job = isCurrent(term) ? find(attempt.job) : nullptr;
    if (!job || isSuperseded(job, attempt) || !refusals.empty()) {
        co_await cancelReservations(*context);
        if (isCurrent(term) && !refusals.empty()) {
            m_refusedGangs.add();
            handle(scheduling::PrepareRefused{attempt, refusals.front().member, refusals.front().reason});
        }
        co_return;
    }
    StoredJob placed = job->stored;
    placed.record.state = JobState::Running;
    placed.record.spec.attempt = attempt.attempt;
    placed.record.members = context->members;
    placed.record.reason = command.reason;
    placed.record.placementReason = command.reason;
    const auto saved = co_await m_jobStore.save(placed, m_lease.lock(), reservedUntil - m_options.gangLease / 4);
    job = isCurrent(term) ? find(attempt.job) : nullptr;
    if (job && saved == SaveOutcome::Saved) {
        job->stored = placed;
        job->endedRanks.clear();
    }
    if (!job || saved != SaveOutcome::Saved || isSuperseded(job, attempt)) {
        co_await cancelReservations(*context);
        if (job && saved != SaveOutcome::Saved) {
            m_refusedGangs.add();
            co_await reload(attempt.job, term);
            handle(scheduling::PrepareRefused{attempt, {}, "the job's record could not be written"});
        }
        co_return;
    }
    const bool isCommitted = co_await m_coordinator.commit(*context, reservedUntil);
    if (!isCurrent(term)) {
        co_return;
    }
    if (!isCommitted) {
        execute(scheduling::StopGang{attempt, wire::StopMode::Stop, "not every member could be committed"});
        co_return;
    }
    co_await awaitBarrier(*context, term);
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::awaitBarrier(GangCommandContext context, std::uint64_t term)
{
    while (isCurrent(term)) {
        const wire::TaskState state = co_await m_coordinator.queryRankZero(context);
        LiveJob *job = isCurrent(term) ? find(context.attempt.job) : nullptr;
        if (!job || isSuperseded(job, context.attempt)) {
            co_return;
        }
        if (state == wire::TaskState::Running || state == wire::TaskState::Finished) {
            m_started.add();
            m_startDelay.record(runtime::Clock::now() - job->stored.record.spec.submitted);
            handle(scheduling::GangStarted{context.attempt});
            co_return;
        }
        if (state != wire::TaskState::Prepared) {
            // Rank 0 ended before it ran, or didn't answer. Either way the whole attempt is stopped, and its members report.
            execute(scheduling::StopGang{context.attempt, wire::StopMode::Stop, "the gang did not get past its barrier"});
            co_return;
        }
        co_await runtime::sleepFor(BarrierPollInterval);
    }
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::cancelReservations(GangCommandContext context)
{
    // The stop is sent once, without a retry: a member that misses it is never committed, so its reservation expires.
    for (const auto &member : context.members) {
        const wire::StopCall call{context.token, context.region, context.attempt, wire::StopMode::Stop, "the gang could not be prepared"};
        const auto channel = m_channels.to(member.rpc);
        auto sendStop = [](std::shared_ptr<rpc::Channel> to, wire::StopCall stopCall, runtime::Instant deadline) -> boost::asio::awaitable<void> {
            co_await rpc::call(*to, stopCall, deadline);
        };
        boost::asio::co_spawn(m_strand, sendStop(channel, call, runtime::Clock::now() + m_options.gangLease / 2), boost::asio::detached);
    }
    co_return;
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::stopGang(scheduling::StopGang command, std::uint64_t term)
{
    const auto self = this->shared_from_this();
    LiveJob *job = find(command.attempt.job);
    std::chrono::milliseconds checkpointed{0};
    // Only a recorded attempt has members to stop; one that was never recorded was never committed.
    const bool isRecorded = job && job->stored.record.spec.attempt == command.attempt.attempt && job->stored.record.state == JobState::Running;
    if (isRecorded) {
        const auto result = co_await m_coordinator.stop(commandContextFor(job->stored.record), command.mode, command.reason);
        checkpointed = result.checkpointed;
    }
    while (isCurrent(term)) {
        job = find(command.attempt.job);
        const bool isLaterAttempt = job && job->stored.record.spec.attempt > command.attempt.attempt;
        if (!job || isLaterAttempt) {
            co_return;
        }
        StoredJob stopped = job->stored;
        checkpointed = std::max(checkpointed, stopped.record.spec.checkpointed);
        if (stopped.record.state != JobState::Running) {
            break;
        }
        stopped.record.state = JobState::Queued;
        stopped.record.spec.checkpointed = checkpointed;
        stopped.record.reason = command.reason;
        const auto saved = co_await m_jobStore.save(stopped, m_lease.lock(), runtime::Clock::now() + StoreTimeout);
        job = isCurrent(term) ? find(command.attempt.job) : nullptr;
        if (job && saved == SaveOutcome::Saved) {
            job->stored = stopped;
            break;
        }
        if (job) {
            co_await reload(command.attempt.job, term);
            co_await runtime::sleepFor(CommandRetryInterval);
        }
    }
    if (isCurrent(term)) {
        m_stoppedGangs.add();
        handle(scheduling::GangStopped{command.attempt, checkpointed});
    }
}

template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::finishJob(scheduling::FinishJob command, std::uint64_t term)
{
    const auto self = this->shared_from_this();
    while (isCurrent(term)) {
        LiveJob *job = find(command.job);
        if (!job) {
            co_return;
        }
        StoredJob closed = job->stored;
        closed.record.reason = command.reason;
        switch (command.outcome) {
        case scheduling::JobOutcome::Finished:
            closed.record.state = JobState::Finished;
            break;
        case scheduling::JobOutcome::Failed:
            closed.record.state = JobState::Failed;
            break;
        case scheduling::JobOutcome::Cancelled:
            closed.record.state = JobState::Cancelled;
            break;
        case scheduling::JobOutcome::Impossible:
            closed.record.state = JobState::Impossible;
            break;
        }
        const auto saved = co_await m_jobStore.close(closed, m_lease.lock(), runtime::Clock::now() + StoreTimeout);
        if (!isCurrent(term)) {
            co_return;
        }
        if (saved == SaveOutcome::Saved) {
            m_jobs.erase(command.job);
            rememberClosedJob(command.job);
            m_closedJobs.add();
            co_return;
        }
        co_await reload(command.job, term);
        co_await runtime::sleepFor(CommandRetryInterval);
    }
}

/** Replaces the cached record by the one in the store, for example after a write conflict. */
template<store::KeyValueStore Store>
boost::asio::awaitable<void> RegionScheduler<Store>::reload(base::JobId id, std::uint64_t term)
{
    const auto loaded = co_await m_jobStore.load(id, runtime::Clock::now() + StoreTimeout);
    LiveJob *job = isCurrent(term) ? find(id) : nullptr;
    if (!job || !loaded.ok()) {
        co_return;
    }
    if (isClosed(loaded->record.state)) {
        m_jobs.erase(id);
        rememberClosedJob(id);
        co_return;
    }
    const bool isNewlyCancelled = loaded->record.isCancelRequested && !job->stored.record.isCancelRequested;
    job->stored = *loaded;
    if (isNewlyCancelled) {
        handle(scheduling::JobCancelled{id});
    }
}

} // namespace plantainfork::jobs
