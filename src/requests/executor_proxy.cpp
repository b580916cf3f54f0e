#include "requests/executor_proxy.h"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include "http/client.h"
#include "rpc/one_shot.h"
#include "runtime/timer.h"

namespace plantainfork::requests
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds DrainPollInterval{5};

wire::ExecuteReply notRunReply(wire::Refusal refusal, std::string reason)
{
    wire::ExecuteReply reply;
    reply.outcome = wire::Outcome::NotRun;
    reply.refusal = refusal;
    reply.reason = std::move(reason);
    return reply;
}

wire::ExecuteReply unknownReply(std::string reason)
{
    wire::ExecuteReply reply;
    reply.outcome = wire::Outcome::Unknown;
    reply.reason = std::move(reason);
    return reply;
}

http::Request toHttp(wire::ExecuteCall &&call, runtime::Instant deadline)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - runtime::Clock::now());
    http::Request request;
    request.method = "POST";
    request.target = std::move(call.path);
    request.headers = {
        {"Content-Type", std::move(call.contentType)},
        {"Plantainfork-Workspace", call.workspace.value()},
        {"Plantainfork-Template", call.templateId.value()},
        {"Plantainfork-Request-Id", call.requestId.value()},
        {"Plantainfork-Remaining-Ms", std::to_string(std::max<std::int64_t>(remaining.count(), 0))},
    };
    request.body = std::move(call.body);
    return request;
}

wire::ExecuteReply fromHttp(http::Response &&response)
{
    wire::ExecuteReply reply;
    reply.outcome = wire::Outcome::Answered;
    reply.status = response.status;
    reply.contentType = response.header("Content-Type").value_or("");
    reply.body = std::move(response.body);
    return reply;
}

/** Counts an attempt as open during its lifetime. */
class OpenAttemptGuard
{
public:
    explicit OpenAttemptGuard(std::atomic<std::size_t> &count)
        : m_count(count)
    {
        ++m_count;
    }
    OpenAttemptGuard(const OpenAttemptGuard &) = delete;
    OpenAttemptGuard &operator=(const OpenAttemptGuard &) = delete;
    ~OpenAttemptGuard()
    {
        --m_count;
    }

private:
    std::atomic<std::size_t> &m_count;
};

/** Releases a slot when the coroutine ends or is destroyed. */
class SlotGuard
{
public:
    explicit SlotGuard(SlotQueue &queue)
        : m_queue(queue)
    {
    }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;
    ~SlotGuard()
    {
        m_queue.release();
    }

private:
    SlotQueue &m_queue;
};

} // namespace

ExecutorProxy::ExecutorProxy(asio::any_io_executor executor,
                             base::Incarnation incarnation,
                             const runtime::Published<targets::Target> &target,
                             metrics::Registry &metrics,
                             ExecutorBounds bounds)
    : m_executor(std::move(executor))
    , m_incarnation(incarnation)
    , m_target(target)
    , m_bounds(bounds)
    , m_attempts(bounds.attempts)
    , m_answered(metrics.counter("plantainfork_attempts_total", {{"outcome", "answered"}}))
    , m_notRun(metrics.counter("plantainfork_attempts_total", {{"outcome", "not-run"}}))
    , m_unknown(metrics.counter("plantainfork_attempts_total", {{"outcome", "unknown"}}))
    , m_executorTime(metrics.histogram("plantainfork_executor_seconds"))
{
}

ExecutorProxy::~ExecutorProxy() = default;

std::size_t ExecutorProxy::openAttempts() const
{
    return m_openAttempts;
}

absl::Status ExecutorProxy::check(const wire::ExecuteCall &call, const targets::Target &target) const
{
    if (call.agentIncarnation != m_incarnation) {
        return absl::FailedPreconditionError("attempt is meant for another incarnation of this agent");
    }
    if (m_isDraining) {
        return absl::UnavailableError("agent is leaving");
    }
    if (target.state != targets::TargetState::Present || target.offer.kind != wire::TargetKind::Executor) {
        return absl::UnavailableError("no executor takes new work here");
    }
    if (target.offer.service != call.service) {
        return absl::FailedPreconditionError("executor serves " + target.offer.service.value());
    }
    return absl::OkStatus();
}

std::shared_ptr<http::Client> ExecutorProxy::clientFor(const targets::Target &target)
{
    const std::size_t connections = std::max<std::size_t>(target.offer.connections, 1);
    const std::scoped_lock lock(m_clientMutex);
    const bool isCurrent = m_client && m_client->host() == target.http.host && m_client->port() == target.http.port && m_clientConnections == connections;
    if (!isCurrent) {
        http::Limits limits;
        limits.bodyBytes = m_bounds.answerBytes;
        m_client = std::make_shared<http::Client>(m_executor, target.http.host, target.http.port, connections, limits);
        m_clientConnections = connections;
    }
    return m_client;
}

wire::ExecuteReply ExecutorProxy::countOutcome(wire::ExecuteReply reply)
{
    switch (reply.outcome) {
    case wire::Outcome::Answered:
        m_answered.add();
        break;
    case wire::Outcome::NotRun:
        m_notRun.add();
        break;
    case wire::Outcome::Unknown:
        m_unknown.add();
        break;
    }
    reply.freeSlots = static_cast<std::uint32_t>(m_slots.freeSlots());
    return reply;
}

asio::awaitable<absl::StatusOr<wire::ExecuteReply>> ExecutorProxy::execute(wire::ExecuteCall call)
{
    const OpenAttemptGuard openGuard(m_openAttempts);
    const runtime::Instant deadline = runtime::Clock::now() + call.remaining;
    const auto target = m_target.load();
    const absl::Status allowed = check(call, *target);
    if (!allowed.ok()) {
        co_return countOutcome(notRunReply(wire::Refusal::Unavailable, std::string(allowed.message())));
    }
    m_slots.setSlots(target->offer.slots);
    const SlotQueue::Admission admission = co_await m_slots.acquire(call.urgency, deadline);
    if (admission == SlotQueue::Admission::Refused) {
        co_return countOutcome(notRunReply(wire::Refusal::Busy, "no free slot"));
    }
    wire::ExecuteReply reply;
    {
        const SlotGuard slot(m_slots);
        reply = co_await attempt(std::move(call), deadline);
    }
    co_return countOutcome(std::move(reply));
}

asio::awaitable<wire::ExecuteReply> ExecutorProxy::attempt(wire::ExecuteCall call, runtime::Instant deadline)
{
    // Check again: while the attempt waited for its slot, the process may have been suspended or the target may have begun to leave.
    const absl::Status allowed = check(call, *m_target.load());
    if (!allowed.ok()) {
        co_return notRunReply(wire::Refusal::Unavailable, std::string(allowed.message()));
    }
    if (runtime::Clock::now() >= deadline) {
        co_return notRunReply(wire::Refusal::Busy, "deadline passed before a slot was free");
    }
    if (call.idempotent) {
        co_return co_await forward(std::move(call), deadline);
    }
    co_return co_await attemptAtMostOnce(std::move(call), deadline);
}

asio::awaitable<wire::ExecuteReply> ExecutorProxy::attemptAtMostOnce(wire::ExecuteCall call, runtime::Instant deadline)
{
    const RequestKey key{call.workspace, call.requestId};
    switch (m_attempts.begin(key)) {
    case AttemptTable::BeginResult::Started:
        break;
    case AttemptTable::BeginResult::Barred:
        co_return notRunReply(wire::Refusal::Barred, "request is barred here");
    case AttemptTable::BeginResult::Full:
        co_return notRunReply(wire::Refusal::Busy, "no room to remember a non-idempotent attempt");
    case AttemptTable::BeginResult::Repeated:
        co_return unknownReply("an earlier attempt of this request was started here");
    }
    wire::ExecuteReply reply = co_await forward(std::move(call), deadline);
    m_attempts.finish(key, reply);
    co_return reply;
}

asio::awaitable<wire::ExecuteReply> ExecutorProxy::forward(wire::ExecuteCall call, runtime::Instant deadline)
{
    const auto client = clientFor(*m_target.load());
    http::Request request = toHttp(std::move(call), deadline);
    const runtime::Instant start = runtime::Clock::now();
    http::Exchange exchange = co_await client->send(std::move(request), deadline);
    if (exchange.response.ok()) {
        const auto elapsed = runtime::Clock::now() - start;
        m_executorTime.record(elapsed);
        wire::ExecuteReply reply = fromHttp(std::move(*exchange.response));
        reply.executorTime = std::chrono::duration_cast<std::chrono::microseconds>(elapsed);
        co_return reply;
    }
    const std::string reason(exchange.response.status().message());
    if (exchange.delivery == http::Delivery::NotSent) {
        co_return notRunReply(wire::Refusal::Unavailable, "executor not reached: " + reason);
    }
    co_return unknownReply("no answer from the executor: " + reason);
}

asio::awaitable<absl::StatusOr<wire::SettleReply>> ExecutorProxy::settle(wire::SettleCall call)
{
    wire::SettleReply reply;
    if (call.agentIncarnation != m_incarnation) {
        co_return reply;
    }
    const runtime::Instant deadline = runtime::Clock::now() + std::min(call.waitFor, m_bounds.settleWait);
    const RequestKey key{call.workspace, call.requestId};
    for (;;) {
        auto found = m_attempts.findOrBar(key);
        if (!found) {
            co_return absl::ResourceExhaustedError("no room to remember a barred request");
        }
        reply.state = found->state;
        reply.answer = std::move(found->answer);
        if (found->state != wire::AttemptState::Running || runtime::Clock::now() >= deadline) {
            co_return reply;
        }
        runtime::Timer timer(co_await asio::this_coro::executor, deadline);
        timer.async_wait([finished = found->finished](boost::system::error_code error) {
            if (!error) {
                finished->set(false);
            }
        });
        co_await found->finished->wait();
    }
}

asio::awaitable<std::size_t> ExecutorProxy::drain(runtime::Instant deadline)
{
    m_isDraining = true;
    while (m_openAttempts > 0 && runtime::Clock::now() < deadline) {
        co_await runtime::sleepFor(DrainPollInterval);
    }
    co_return m_openAttempts.load();
}

} // namespace plantainfork::requests
