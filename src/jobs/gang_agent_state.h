/** Private state of GangAgent. Included only by its own sources. */
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/strand.hpp>

#include "jobs/gang_agent.h"
#include "log/log.h"
#include "rpc/channel.h"
#include "runtime/timer.h"

namespace plantainfork::jobs
{

namespace asio = boost::asio;

/** Heartbeats per gang lease; at 4, two lost ones don't break the gang. */
constexpr int HeartbeatsPerLease = 4;
constexpr std::chrono::milliseconds WorkerCallTimeout{2000};

using TaskKey = std::pair<wire::AttemptId, std::uint32_t>;

inline bool isEnded(wire::TaskState state)
{
    return state == wire::TaskState::Finished || state == wire::TaskState::Failed || state == wire::TaskState::Stopped;
}

inline std::vector<log::Field> logFields(const wire::AttemptId &attempt, std::uint32_t rank)
{
    return {{"job", attempt.job.value()}, {"attempt", std::to_string(attempt.attempt)}, {"rank", std::to_string(rank)}};
}

/** The reservation of one rank and, once it is committed, its task. Used on the strand only. */
struct GangAgent::Task {
    Task(const asio::any_io_executor &executor, wire::PrepareCall prepareCall)
        : plan(std::move(prepareCall))
        , wakeTimer(executor)
    {
    }

    wire::PrepareCall plan;
    wire::TaskState state = wire::TaskState::Prepared;
    runtime::Instant reservedUntil;
    bool isCommitted = false;
    /** Set before the worker is asked to start the task, and kept while it is unknown whether it did. */
    bool mayRun = false;
    runtime::Instant startedAt;
    std::optional<wire::StopMode> stopMode;
    /** Send time of the last heartbeat that rank 0's agent acknowledged. */
    runtime::Instant lastAcknowledged;
    std::chrono::milliseconds checkpointed{0};
    std::string detail;
    /** Cancelled to resume the task's coroutine when the task is committed, is to be stopped or has ended. */
    runtime::Timer wakeTimer;

    [[nodiscard]] wire::TaskStatus status() const
    {
        return {plan.attempt, plan.rank, state, plan.shape.acceleratorsPerMember, checkpointed, detail};
    }
};

/** All members are used on the strand only. */
struct GangAgent::State : std::enable_shared_from_this<GangAgent::State> {
    State(const asio::any_io_executor &executor,
          Options givenOptions,
          const runtime::Published<targets::Target> &givenTarget,
          const permits::PermitGate &givenGate,
          rpc::ChannelPool &givenChannels,
          metrics::Registry &registry)
        : strand(asio::make_strand(executor))
        , options(std::move(givenOptions))
        , target(givenTarget)
        , gate(givenGate)
        , channels(givenChannels)
        , worker(executor)
        , prepared(registry.counter("plantainfork_gang_members_prepared_total"))
        , refused(registry.counter("plantainfork_gang_members_refused_total"))
        , fenced(registry.counter("plantainfork_gang_commands_fenced_total"))
        , started(registry.counter("plantainfork_tasks_started_total"))
        , startsWithoutPermit(registry.counter("plantainfork_tasks_without_permit_total"))
        , broken(registry.counter("plantainfork_gangs_broken_total"))
    {
    }

    wire::GangReply prepare(wire::PrepareCall call);
    wire::GangReply commit(const wire::CommitCall &call);
    wire::GangReply stop(const wire::StopCall &call);
    wire::InventoryReply inventory(const wire::InventoryCall &call);
    wire::GangHeartbeatReply handleHeartbeat(const wire::GangHeartbeatCall &call);
    bool handleTaskReport(const wire::TaskStatus &status);
    asio::awaitable<void> reconcile();
    asio::awaitable<std::size_t> drain(runtime::Instant deadline);

    /** True when a command with this token must be refused because a higher one has been seen. Otherwise remembers the token. */
    bool isFenced(base::FencingToken token);
    std::string prepareRefusalReason(const wire::PrepareCall &call) const;
    std::uint32_t reservedAccelerators() const;
    std::vector<std::shared_ptr<Task>> tasksOf(const wire::AttemptId &attempt) const;

    /** The task's coroutine. It calls the functions below in their order, up to report(). */
    asio::awaitable<void> run(std::shared_ptr<Task> task);
    /** False when the reservation expired, or the task was stopped before its commit. */
    asio::awaitable<bool> waitForCommit(std::shared_ptr<Task> task);
    /** Sends heartbeats until the gang's barrier opens. False when the task must not start. */
    asio::awaitable<bool> waitAtBarrier(std::shared_ptr<Task> task);
    /** Checks the start permit and starts the task on the worker. False unless the task now runs. */
    asio::awaitable<bool> start(std::shared_ptr<Task> task);
    /** Sends heartbeats while the task runs. Returns once it has ended or must be stopped. */
    asio::awaitable<void> supervise(std::shared_ptr<Task> task);
    /** Checkpoints the task if that is possible and wanted, and stops it on the worker, unless it has ended by itself. */
    asio::awaitable<void> stopOnWorker(std::shared_ptr<Task> task);
    /** Tells rank 0's agent the task's final state. */
    asio::awaitable<void> notifyRankZero(std::shared_ptr<Task> task);
    /** Reports the end of the task to the entries until one accepts the report. */
    asio::awaitable<void> report(std::shared_ptr<Task> task);
    asio::awaitable<std::optional<wire::GangHeartbeatReply>> sendHeartbeat(std::shared_ptr<Task> task, wire::TaskState reportedState);
    asio::awaitable<void> waitForWake(Task &task, runtime::Instant until);
    void removeTask(const Task &task);

    std::chrono::milliseconds heartbeatInterval() const
    {
        return options.gangLease / HeartbeatsPerLease;
    }

    const asio::strand<asio::any_io_executor> strand;
    const Options options;
    const runtime::Published<targets::Target> &target;
    const permits::PermitGate &gate;
    rpc::ChannelPool &channels;
    WorkerClient worker;
    metrics::Counter &prepared;
    metrics::Counter &refused;
    metrics::Counter &fenced;
    metrics::Counter &started;
    metrics::Counter &startsWithoutPermit;
    metrics::Counter &broken;

    std::map<TaskKey, std::shared_ptr<Task>> tasks;
    /** Monitors of the gangs whose rank 0 is on this agent. */
    std::map<wire::AttemptId, GangMonitor> monitors;
    /** Tasks that have ended here, oldest first, at most MaxRememberedEndedTasks. They are never prepared again. */
    std::deque<TaskKey> endedOrder;
    std::set<TaskKey> endedKeys;
    /** Highest fencing token seen. A command with a lower one comes from a superseded scheduler. */
    base::FencingToken highestToken;
    bool isDraining = false;
};

} // namespace plantainfork::jobs
