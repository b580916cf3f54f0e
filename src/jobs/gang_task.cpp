/** The coroutine of one task, from its reservation to the report of its end. */
#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "jobs/gang_agent_state.h"

namespace plantainfork::jobs
{

namespace
{

/** Gang leases that a committed member waits at the barrier before it gives up. */
constexpr int MaxLeasesAtBarrier = 3;
constexpr std::chrono::milliseconds InitialRetryDelay{100};
constexpr std::chrono::milliseconds MaxReportRetryDelay{2000};

} // namespace

asio::awaitable<void> GangAgent::State::waitForWake(Task &task, runtime::Instant until)
{
    boost::system::error_code ignored;
    task.wakeTimer.expires_at(until);
    co_await task.wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> GangAgent::State::run(std::shared_ptr<Task> task)
{
    const auto self = shared_from_this();
    const bool isCommitted = co_await waitForCommit(task);
    if (!isCommitted) {
        // An uncommitted task needs no report: the scheduler doesn't wait for one.
        removeTask(*task);
        co_return;
    }
    bool mayProceed = co_await waitAtBarrier(task);
    if (mayProceed) {
        mayProceed = co_await start(task);
    }
    if (mayProceed) {
        co_await supervise(task);
    }
    co_await stopOnWorker(task);
    co_await notifyRankZero(task);
    co_await report(task);
    removeTask(*task);
}

asio::awaitable<bool> GangAgent::State::waitForCommit(std::shared_ptr<Task> task)
{
    while (!task->isCommitted && !task->stopMode) {
        if (runtime::Clock::now() >= task->reservedUntil) {
            co_return false;
        }
        co_await waitForWake(*task, task->reservedUntil);
    }
    co_return task->isCommitted;
}

asio::awaitable<std::optional<wire::GangHeartbeatReply>> GangAgent::State::sendHeartbeat(std::shared_ptr<Task> task, wire::TaskState reportedState)
{
    wire::GangHeartbeatCall call{task->plan.attempt, task->plan.rank, reportedState};
    const auto sentAt = runtime::Clock::now();
    const wire::GangMember &rankZero = task->plan.members.front();
    if (rankZero.agent == options.self) {
        task->lastAcknowledged = sentAt;
        co_return handleHeartbeat(call);
    }
    const auto channel = channels.to(rankZero.rpc);
    const auto result = co_await rpc::call(*channel, call, sentAt + heartbeatInterval());
    if (!result.reply.ok()) {
        co_return std::nullopt;
    }
    task->lastAcknowledged = sentAt;
    co_return *result.reply;
}

asio::awaitable<bool> GangAgent::State::waitAtBarrier(std::shared_ptr<Task> task)
{
    const auto giveUpAt = runtime::Clock::now() + MaxLeasesAtBarrier * options.gangLease;
    while (!task->stopMode) {
        const bool isReady = gate.isOpen() || options.safeguards.startPermit == Safeguard::Off;
        const auto reply = co_await sendHeartbeat(task, isReady ? wire::TaskState::Prepared : wire::TaskState::Absent);
        if (options.safeguards.barrier == Safeguard::Off) {
            co_return true;
        }
        if (reply && reply->mustStop) {
            task->detail = reply->reason;
            break;
        }
        if (reply && reply->barrierOpen) {
            co_return true;
        }
        const auto now = runtime::Clock::now();
        if (now >= giveUpAt) {
            task->detail = isReady ? "the gang's barrier did not open" : "no start permit";
            break;
        }
        co_await waitForWake(*task, now + heartbeatInterval() / 4);
    }
    co_return false;
}

asio::awaitable<bool> GangAgent::State::start(std::shared_ptr<Task> task)
{
    const auto currentTarget = target.load();
    const auto now = runtime::Clock::now();
    // Check the permit against the clock right before the start, with no suspension in between: this process may have been paused.
    if (!gate.isOpen() && options.safeguards.startPermit == Safeguard::On) {
        startsWithoutPermit.add();
        task->detail = "no start permit";
        co_return false;
    }
    task->mayRun = true;
    task->startedAt = now;
    task->lastAcknowledged = now;
    const auto result = co_await worker.start(currentTarget->http, task->plan, options.gangLease, now + WorkerCallTimeout);
    if (result.outcome == WorkerClient::StartOutcome::Started) {
        task->state = isEnded(task->state) ? task->state : wire::TaskState::Running;
        started.add();
        log::write(log::Severity::Info, "task started", logFields(task->plan.attempt, task->plan.rank));
        co_return !isEnded(task->state);
    }
    task->mayRun = result.outcome == WorkerClient::StartOutcome::Unknown;
    task->state = wire::TaskState::Failed;
    task->detail = "worker did not start it: " + result.reason;
    co_return false;
}

asio::awaitable<void> GangAgent::State::supervise(std::shared_ptr<Task> task)
{
    while (!isEnded(task->state)) {
        if (task->stopMode == wire::StopMode::Throttle) {
            task->stopMode.reset();
            co_await worker.throttle(target.load()->http, task->plan.attempt, task->plan.rank, runtime::Clock::now() + WorkerCallTimeout);
        }
        if (task->stopMode) {
            co_return;
        }
        const auto reply = co_await sendHeartbeat(task, task->state);
        if (reply && reply->mustStop) {
            task->detail = reply->reason;
            broken.add();
            co_return;
        }
        if (runtime::Clock::now() - task->lastAcknowledged > options.gangLease) {
            task->detail = "the gang's lead has been silent for the gang lease";
            broken.add();
            co_return;
        }
        const bool mustAct = isEnded(task->state) || task->stopMode;
        if (!mustAct) {
            co_await waitForWake(*task, runtime::Clock::now() + heartbeatInterval());
        }
    }
}

asio::awaitable<void> GangAgent::State::stopOnWorker(std::shared_ptr<Task> task)
{
    const bool endedByItself = task->state == wire::TaskState::Finished || (task->state == wire::TaskState::Failed && !task->mayRun);
    if (endedByItself) {
        co_return;
    }
    const bool hasFailed = task->state == wire::TaskState::Failed;
    const bool wantsCheckpoint = task->plan.checkpointable && task->stopMode != wire::StopMode::Stop;
    if (task->mayRun && !isEnded(task->state)) {
        task->state = wire::TaskState::Stopping;
    }
    if (task->mayRun && wantsCheckpoint && !hasFailed) {
        const auto saved = co_await worker.checkpoint(target.load()->http, task->plan.attempt, task->plan.rank, runtime::Clock::now() + WorkerCallTimeout);
        if (saved.ok()) {
            task->checkpointed = *saved;
        }
    }
    // If the worker can't be reached, it stops the task by itself when the task's lease expires.
    const auto leaseEnd = runtime::Clock::now() + options.gangLease;
    while (task->mayRun && runtime::Clock::now() < leaseEnd) {
        const auto status = co_await worker.stop(target.load()->http, task->plan.attempt, task->plan.rank, runtime::Clock::now() + WorkerCallTimeout);
        if (status.ok()) {
            break;
        }
        co_await runtime::sleepFor(InitialRetryDelay);
    }
    task->state = hasFailed ? wire::TaskState::Failed : wire::TaskState::Stopped;
    auto fields = logFields(task->plan.attempt, task->plan.rank);
    fields.push_back({"reason", task->detail});
    log::write(log::Severity::Info, "task stopped", fields);
}

asio::awaitable<void> GangAgent::State::notifyRankZero(std::shared_ptr<Task> task)
{
    // The heartbeat is retried once, so that after one lost heartbeat the gang needn't wait for its lease to expire.
    for (int i = 0; i < 2; ++i) {
        const auto reply = co_await sendHeartbeat(task, task->state);
        if (reply) {
            co_return;
        }
    }
}

asio::awaitable<void> GangAgent::State::report(std::shared_ptr<Task> task)
{
    std::minstd_rand random(std::random_device{}());
    std::chrono::milliseconds retryDelay = InitialRetryDelay;
    while (!options.entries.empty()) {
        for (const auto &entry : options.entries) {
            const wire::TaskReportCall call{options.self, task->status()};
            const auto channel = channels.to(entry);
            const auto result = co_await rpc::call(*channel, call, runtime::Clock::now() + options.gangLease);
            if (result.reply.ok() && result.reply->accepted) {
                co_return;
            }
        }
        const std::chrono::milliseconds jitter(std::uniform_int_distribution<std::int64_t>(0, retryDelay.count())(random));
        co_await runtime::sleepFor(retryDelay / 2 + jitter);
        retryDelay = std::min(2 * retryDelay, MaxReportRetryDelay);
    }
}

} // namespace plantainfork::jobs
