#include "jobs/gang_agent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "jobs/gang_agent_state.h"

namespace plantainfork::jobs
{

namespace
{

/** Number of ended tasks that an agent remembers, so that a delayed prepare doesn't restart one. */
constexpr std::size_t MaxRememberedEndedTasks = 4096;
constexpr std::chrono::milliseconds DrainPollInterval{20};

wire::GangReply refusedReply(std::string reason)
{
    wire::GangReply reply;
    reply.reason = std::move(reason);
    return reply;
}

} // namespace

bool GangAgent::State::isFenced(base::FencingToken token)
{
    if (token < highestToken && options.safeguards.fencing == Safeguard::On) {
        fenced.add();
        return true;
    }
    highestToken = std::max(highestToken, token);
    return false;
}

std::uint32_t GangAgent::State::reservedAccelerators() const
{
    std::uint32_t sum = 0;
    for (const auto &[key, task] : tasks) {
        sum += isEnded(task->state) ? 0 : task->plan.shape.acceleratorsPerMember;
    }
    return sum;
}

std::string GangAgent::State::prepareRefusalReason(const wire::PrepareCall &call) const
{
    const auto currentTarget = target.load();
    if (call.agentIncarnation != options.incarnation && options.safeguards.incarnation == Safeguard::On) {
        return "meant for another incarnation of this agent";
    }
    if (isDraining || currentTarget->state != targets::TargetState::Present || currentTarget->offer.kind != wire::TargetKind::Worker) {
        return "no worker here that takes new work";
    }
    if (endedKeys.count({call.attempt, call.rank}) > 0) {
        return "this attempt has ended here";
    }
    if (call.members.empty() || call.rank >= call.members.size()) {
        return "rank is not among the members";
    }
    if (reservedAccelerators() + call.shape.acceleratorsPerMember > currentTarget->offer.accelerators) {
        return "not enough free accelerators";
    }
    return {};
}

wire::GangReply GangAgent::State::prepare(wire::PrepareCall call)
{
    if (isFenced(call.token)) {
        return refusedReply("superseded scheduler");
    }
    const TaskKey key{call.attempt, call.rank};
    if (const auto known = tasks.find(key); known != tasks.end()) {
        wire::GangReply reply{true, {}, known->second->status()};
        return reply;
    }
    if (std::string reason = prepareRefusalReason(call); !reason.empty()) {
        refused.add();
        return refusedReply(std::move(reason));
    }
    const auto now = runtime::Clock::now();
    if (call.rank == 0) {
        monitors.emplace(call.attempt, GangMonitor(static_cast<std::uint32_t>(call.members.size()), options.gangLease, now));
    }
    auto task = std::make_shared<Task>(strand, std::move(call));
    task->reservedUntil = now + task->plan.lease;
    tasks.emplace(key, task);
    prepared.add();
    asio::co_spawn(strand, run(task), asio::detached);
    return {true, {}, task->status()};
}

std::vector<std::shared_ptr<GangAgent::Task>> GangAgent::State::tasksOf(const wire::AttemptId &attempt) const
{
    std::vector<std::shared_ptr<Task>> found;
    for (auto it = tasks.lower_bound({attempt, 0}); it != tasks.end() && it->first.first == attempt; ++it) {
        found.push_back(it->second);
    }
    return found;
}

wire::GangReply GangAgent::State::commit(const wire::CommitCall &call)
{
    if (isFenced(call.token)) {
        return refusedReply("superseded scheduler");
    }
    const auto attemptTasks = tasksOf(call.attempt);
    if (attemptTasks.empty()) {
        return refusedReply("no reservation for this attempt");
    }
    for (const auto &task : attemptTasks) {
        task->isCommitted = true;
        task->wakeTimer.cancel();
    }
    return {true, {}, attemptTasks.front()->status()};
}

wire::GangReply GangAgent::State::stop(const wire::StopCall &call)
{
    if (isFenced(call.token)) {
        return refusedReply("superseded scheduler");
    }
    wire::GangReply reply;
    reply.accepted = true;
    reply.status.attempt = call.attempt;
    for (const auto &task : tasksOf(call.attempt)) {
        reply.status = task->status();
        // A requested stop is not replaced by a later checkpoint or throttle.
        const bool wouldReplaceStop = task->stopMode == wire::StopMode::Stop && call.mode != wire::StopMode::Stop;
        if (!wouldReplaceStop) {
            task->stopMode = call.mode;
            task->detail = call.reason;
            task->wakeTimer.cancel();
        }
    }
    return reply;
}

wire::InventoryReply GangAgent::State::inventory(const wire::InventoryCall &call)
{
    wire::InventoryReply reply;
    reply.incarnation = options.incarnation;
    if (isFenced(call.token)) {
        return reply;
    }
    for (const auto &[key, task] : tasks) {
        reply.tasks.push_back(task->status());
    }
    return reply;
}

wire::GangHeartbeatReply GangAgent::State::handleHeartbeat(const wire::GangHeartbeatCall &call)
{
    const auto found = monitors.find(call.attempt);
    if (found == monitors.end()) {
        return {false, true, "the lead does not know this attempt"};
    }
    const auto now = runtime::Clock::now();
    wire::GangHeartbeatReply reply = found->second.handleHeartbeat(call.rank, call.state, now);
    if (found->second.hasEnded(now)) {
        monitors.erase(found);
    }
    return reply;
}

void GangAgent::State::removeTask(const Task &task)
{
    const TaskKey key{task.plan.attempt, task.plan.rank};
    tasks.erase(key);
    if (endedKeys.insert(key).second) {
        endedOrder.push_back(key);
    }
    if (endedOrder.size() > MaxRememberedEndedTasks) {
        endedKeys.erase(endedOrder.front());
        endedOrder.pop_front();
    }
    const auto monitor = monitors.find(task.plan.attempt);
    if (monitor != monitors.end() && (!task.isCommitted || monitor->second.hasEnded(runtime::Clock::now()))) {
        monitors.erase(monitor);
    }
}

bool GangAgent::State::handleTaskReport(const wire::TaskStatus &status)
{
    const auto found = tasks.find({status.attempt, status.rank});
    if (found == tasks.end()) {
        return true;
    }
    const auto &task = found->second;
    if (isEnded(status.state) && !isEnded(task->state)) {
        // The worker ended this task without a stop request from the agent.
        task->state = status.state;
        task->checkpointed = std::max(task->checkpointed, status.checkpointed);
        task->detail = status.detail;
        task->mayRun = false;
        task->wakeTimer.cancel();
    }
    return true;
}

asio::awaitable<void> GangAgent::State::reconcile()
{
    const auto self = shared_from_this();
    const auto currentTarget = target.load();
    const auto now = runtime::Clock::now();
    std::set<TaskKey> announcedTasks;
    for (const auto &status : currentTarget->tasks) {
        announcedTasks.insert({status.attempt, status.rank});
    }
    const bool isAbsent = currentTarget->state == targets::TargetState::Absent;
    for (const auto &[key, task] : tasks) {
        // Announcements lag behind starts: a missing task counts as lost only once it has run for longer than the gang lease,
        // which exceeds that lag.
        const bool isLost = task->state == wire::TaskState::Running && now - task->startedAt > options.gangLease && announcedTasks.count(key) == 0;
        if (isLost || (isAbsent && task->state == wire::TaskState::Running)) {
            task->state = wire::TaskState::Failed;
            task->detail = isAbsent ? "the worker is silent" : "the worker has lost the task";
            task->wakeTimer.cancel();
        }
    }
    for (const auto &status : currentTarget->tasks) {
        const bool isUnknown = status.state == wire::TaskState::Running && tasks.count({status.attempt, status.rank}) == 0;
        if (isUnknown && !isAbsent) {
            log::write(log::Severity::Warning, "stopping a task that this agent did not start", logFields(status.attempt, status.rank));
            co_await worker.stop(currentTarget->http, status.attempt, status.rank, now + WorkerCallTimeout);
        }
    }
}

asio::awaitable<std::size_t> GangAgent::State::drain(runtime::Instant deadline)
{
    const auto self = shared_from_this();
    isDraining = true;
    while (!tasks.empty() && runtime::Clock::now() < deadline) {
        co_await runtime::sleepFor(DrainPollInterval);
    }
    const std::size_t interrupted = tasks.size();
    for (const auto &[key, task] : tasks) {
        task->stopMode = wire::StopMode::Checkpoint;
        task->detail = "the agent is leaving";
        task->wakeTimer.cancel();
    }
    const auto stopDeadline = runtime::Clock::now() + options.gangLease;
    while (!tasks.empty() && runtime::Clock::now() < stopDeadline) {
        co_await runtime::sleepFor(DrainPollInterval);
    }
    co_return interrupted;
}

GangAgent::GangAgent(const asio::any_io_executor &executor,
                     Options options,
                     const runtime::Published<targets::Target> &target,
                     const permits::PermitGate &gate,
                     rpc::ChannelPool &channels,
                     metrics::Registry &registry)
    : m_state(std::make_shared<State>(executor, std::move(options), target, gate, channels, registry))
{
}

GangAgent::~GangAgent() = default;

namespace
{

/** Calls a member function of the state on its strand and returns the result on the caller's executor. */
template<typename State, typename Result, typename Argument, typename Call>
asio::awaitable<Result> onStrand(std::shared_ptr<State> state, Result (State::*method)(Argument), Call call)
{
    auto operation = [](std::shared_ptr<State> object, Result (State::*function)(Argument), Call argument) -> asio::awaitable<Result> {
        co_return (object.get()->*function)(std::move(argument));
    };
    co_return co_await asio::co_spawn(state->strand, operation(state, method, std::move(call)), asio::use_awaitable);
}

} // namespace

asio::awaitable<absl::StatusOr<wire::GangReply>> GangAgent::prepare(wire::PrepareCall call)
{
    co_return co_await onStrand(m_state, &State::prepare, std::move(call));
}

asio::awaitable<absl::StatusOr<wire::GangReply>> GangAgent::commit(wire::CommitCall call)
{
    co_return co_await onStrand(m_state, &State::commit, std::move(call));
}

asio::awaitable<absl::StatusOr<wire::GangReply>> GangAgent::stop(wire::StopCall call)
{
    co_return co_await onStrand(m_state, &State::stop, std::move(call));
}

asio::awaitable<absl::StatusOr<wire::InventoryReply>> GangAgent::inventory(wire::InventoryCall call)
{
    co_return co_await onStrand(m_state, &State::inventory, std::move(call));
}

asio::awaitable<absl::StatusOr<wire::GangHeartbeatReply>> GangAgent::handleHeartbeat(wire::GangHeartbeatCall call)
{
    co_return co_await onStrand(m_state, &State::handleHeartbeat, std::move(call));
}

asio::awaitable<bool> GangAgent::handleTaskReport(wire::TaskStatus status)
{
    co_return co_await onStrand(m_state, &State::handleTaskReport, std::move(status));
}

asio::awaitable<void> GangAgent::reconcile()
{
    const auto state = m_state;
    co_await asio::co_spawn(state->strand, state->reconcile(), asio::use_awaitable);
}

asio::awaitable<std::size_t> GangAgent::drain(runtime::Instant deadline)
{
    const auto state = m_state;
    co_return co_await asio::co_spawn(state->strand, state->drain(deadline), asio::use_awaitable);
}

} // namespace plantainfork::jobs
