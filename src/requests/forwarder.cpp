#include "requests/forwarder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "requests/answer.h"
#include "rpc/mailbox.h"
#include "rpc/one_shot.h"
#include "runtime/timer.h"

namespace plantainfork::requests
{

namespace asio = boost::asio;

namespace
{

/** Maximum number of attempts at an idempotent request, counting the first. Retries of attempts that were not run are not limited. */
constexpr unsigned MaxAttempts = 4;
constexpr unsigned FirstServerError = 500;

AttemptResult resultWithoutReply(rpc::Delivery delivery, const absl::Status &status)
{
    AttemptResult attempt;
    const bool isUnsent = delivery == rpc::Delivery::NotSent;
    attempt.end = isUnsent ? AttemptEnd::Unavailable : AttemptEnd::Failed;
    attempt.reply.outcome = isUnsent ? wire::Outcome::NotRun : wire::Outcome::Unknown;
    attempt.reply.reason = std::string(status.message());
    return attempt;
}

/** Classifies an agent's reply for the health of its target. */
AttemptEnd classifyEnd(const wire::ExecuteReply &reply)
{
    switch (reply.outcome) {
    case wire::Outcome::Answered:
        return reply.status >= FirstServerError ? AttemptEnd::Failed : AttemptEnd::Succeeded;
    case wire::Outcome::NotRun:
        return reply.refusal == wire::Refusal::Unavailable ? AttemptEnd::Unavailable : AttemptEnd::Refused;
    case wire::Outcome::Unknown:
        break;
    }
    return AttemptEnd::Failed;
}

AttemptResult toAttemptResult(const rpc::CallResult &result)
{
    if (!result.payload.ok()) {
        return resultWithoutReply(result.delivery, result.payload.status());
    }
    auto reply = wire::decode<wire::ExecuteReply>(*result.payload);
    if (!reply.ok()) {
        return resultWithoutReply(result.delivery, reply.status());
    }
    AttemptResult attempt;
    attempt.reply = std::move(*reply);
    attempt.end = classifyEnd(attempt.reply);
    attempt.isFromAgent = true;
    return attempt;
}

} // namespace

wire::ExecuteCall toCall(const ClassifiedRequest &request, const wire::MemberRecord &agent)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - runtime::Clock::now());
    wire::ExecuteCall call;
    call.agentIncarnation = agent.incarnation;
    call.workspace = request.request.workspace;
    call.templateId = request.request.templateId;
    call.service = request.request.service;
    call.requestId = request.request.id;
    call.idempotent = request.isIdempotent;
    call.urgency = request.urgency;
    call.remaining = remaining;
    call.path = request.request.path;
    call.contentType = request.request.contentType;
    call.body = request.request.body;
    return call;
}

Demand toDemand(const ClassifiedRequest &request)
{
    Demand demand;
    demand.workspace = request.request.workspace;
    demand.templateId = request.request.templateId;
    demand.urgency = request.urgency;
    demand.share = request.guaranteedShare;
    demand.deadline = request.deadline;
    demand.bytes = request.request.body.size();
    return demand;
}

Forwarder::Forwarder(asio::any_io_executor executor,
                     PoolSettings poolSettings,
                     const runtime::Published<wire::Config> &config,
                     const runtime::Published<membership::MemberView> &members,
                     rpc::ChannelPool &channels,
                     metrics::Registry &metrics)
    : m_executor(std::move(executor))
    , m_poolSettings(std::move(poolSettings))
    , m_config(config)
    , m_members(members)
    , m_channels(channels)
    , m_metrics(metrics)
    , m_pools(std::make_shared<const Pools>())
    , m_isStopped(std::make_shared<std::atomic<bool>>(false))
{
}

std::shared_ptr<ServicePool> Forwarder::poolFor(const base::ServiceId &service)
{
    const auto known = m_pools.load();
    if (const auto found = known->find(service); found != known->end()) {
        return found->second;
    }
    const std::scoped_lock lock(m_poolMutex);
    auto pools = std::make_shared<Pools>(*m_pools.load());
    auto &pool = (*pools)[service];
    if (!pool) {
        PoolSettings settings = m_poolSettings;
        settings.service = service;
        pool = std::make_shared<ServicePool>(std::move(settings), m_config, m_members, m_metrics);
    }
    auto result = pool;
    m_pools.publish(std::move(pools));
    return result;
}

void Forwarder::launch(Slot slot, const ClassifiedRequest &request, EndHandler onEnded)
{
    const wire::ExecuteCall call = toCall(request, slot.agent());
    if (call.remaining.count() <= 0) {
        AttemptResult expired;
        expired.reply.outcome = wire::Outcome::NotRun;
        expired.reply.reason = "deadline passed before the attempt was sent";
        onEnded(std::move(expired));
        return;
    }
    const auto channel = m_channels.to(slot.agent().rpc);
    const auto sharedSlot = std::make_shared<Slot>(std::move(slot));
    channel->start(wire::ExecuteCall::Method, wire::encode(call), request.deadline, [sharedSlot, onEnded = std::move(onEnded)](const rpc::CallResult &result) {
        AttemptResult attempt = toAttemptResult(result);
        sharedSlot->end(attempt.end);
        onEnded(std::move(attempt));
    });
}

asio::awaitable<AttemptResult> Forwarder::attempt(Slot slot, std::shared_ptr<const ClassifiedRequest> request)
{
    const auto result = std::make_shared<rpc::OneShot<AttemptResult>>();
    launch(std::move(slot), *request, [result](AttemptResult ended) {
        result->set(std::move(ended));
    });
    co_return co_await result->wait();
}

TimerQueue &Forwarder::timers()
{
    return m_timers;
}

asio::awaitable<absl::StatusOr<wire::SettleReply>> Forwarder::settle(wire::Address agent, wire::SettleCall call, runtime::Instant deadline)
{
    const auto channel = m_channels.to(agent);
    auto result = co_await rpc::call(*channel, call, deadline);
    co_return std::move(result.reply);
}

namespace
{

/** An idempotent request and its concurrent attempts. The first successful attempt gives the result. */
class HedgedRequest
{
public:
    /** The end of an attempt, or nothing if a timeout passed first. */
    using Event = std::optional<AttemptResult>;

    HedgedRequest(Forwarder &forwarder, std::shared_ptr<const ClassifiedRequest> request)
        : m_forwarder(forwarder)
        , m_request(std::move(request))
        , m_pool(m_forwarder.poolFor(m_request->request.service))
        , m_demand(toDemand(*m_request))
        , m_events(std::make_shared<rpc::Mailbox<Event>>())
    {
    }

    asio::awaitable<Result> run();

private:
    /** Waits for a slot and launches an attempt. */
    asio::awaitable<absl::Status> launchQueued();
    void launch(Slot slot);
    /** Launches a concurrent attempt if another target has a free slot and the retry budget allows it. */
    void launchHedge();
    /** Waits for the end of an attempt, for the time of a hedge or for the deadline. */
    asio::awaitable<Event> nextEvent();
    /** Records the end of an attempt. Returns the request's result if the attempt succeeded. */
    std::optional<Result> handleEnd(AttemptResult ended);
    [[nodiscard]] Result finalResult() const;

    Forwarder &m_forwarder;
    const std::shared_ptr<const ClassifiedRequest> m_request;
    const std::shared_ptr<ServicePool> m_pool;
    Demand m_demand;
    std::shared_ptr<rpc::Mailbox<Event>> m_events;
    unsigned m_open = 0;
    unsigned m_launched = 0;
    bool m_mayHaveRun = false;
    /** Server error from an executor, returned if no attempt succeeds. */
    std::optional<Result> m_errorAnswer;
    std::string m_reason;
};

void HedgedRequest::launch(Slot slot)
{
    ++m_open;
    ++m_launched;
    m_demand.avoid.push_back(slot.agent().id);
    m_forwarder.launch(std::move(slot), *m_request, [events = m_events](AttemptResult ended) {
        events->post(std::move(ended));
    });
}

void HedgedRequest::launchHedge()
{
    auto slot = m_pool->acquireExtra(m_demand);
    if (slot.ok()) {
        launch(std::move(*slot));
    }
}

asio::awaitable<absl::Status> HedgedRequest::launchQueued()
{
    auto slot = co_await m_pool->acquire(m_demand);
    if (slot.ok()) {
        launch(std::move(*slot));
    }
    co_return slot.status();
}

asio::awaitable<HedgedRequest::Event> HedgedRequest::nextEvent()
{
    const bool canHedge = m_open == 1 && m_launched < MaxAttempts;
    const runtime::Instant hedgeAt = runtime::Clock::now() + m_pool->hedgeDelay(m_demand.templateId);
    const runtime::Instant timeout = canHedge ? std::min(m_request->deadline, hedgeAt) : m_request->deadline;
    const TimerQueue::Registration timer = m_forwarder.timers().schedule(timeout, [events = m_events] {
        events->post(std::nullopt);
    });
    co_return co_await m_events->take();
}

std::optional<Result> HedgedRequest::handleEnd(AttemptResult ended)
{
    --m_open;
    m_reason = ended.reply.reason;
    if (ended.end == AttemptEnd::Succeeded) {
        return toResult(std::move(ended.reply));
    }
    if (ended.reply.outcome == wire::Outcome::Answered) {
        m_errorAnswer = toResult(std::move(ended.reply));
    }
    m_mayHaveRun = m_mayHaveRun || ended.reply.outcome != wire::Outcome::NotRun;
    return std::nullopt;
}

Result HedgedRequest::finalResult() const
{
    if (m_errorAnswer) {
        return *m_errorAnswer;
    }
    if (m_mayHaveRun || m_open > 0) {
        return unknownResult(m_reason.empty() ? "no answer before the deadline" : m_reason);
    }
    return notRunResult(absl::UnavailableError(m_reason));
}

asio::awaitable<Result> HedgedRequest::run()
{
    if (absl::Status launched = co_await launchQueued(); !launched.ok()) {
        co_return notRunResult(launched);
    }
    while (runtime::Clock::now() < m_request->deadline) {
        Event event = co_await nextEvent();
        if (!event) {
            launchHedge();
            continue;
        }
        const bool wasRun = event->reply.outcome != wire::Outcome::NotRun;
        if (auto result = handleEnd(std::move(*event))) {
            co_return std::move(*result);
        }
        if (m_open > 0) {
            continue;
        }
        const bool mayRetry = wasRun ? m_launched < MaxAttempts && m_pool->tryTakeRetry() : true;
        if (!mayRetry) {
            break;
        }
        absl::Status launched = co_await launchQueued();
        if (!launched.ok()) {
            m_reason = std::string(launched.message());
            break;
        }
    }
    co_return finalResult();
}

} // namespace

asio::awaitable<Result> Forwarder::run(std::shared_ptr<const ClassifiedRequest> request)
{
    HedgedRequest hedged(*this, std::move(request));
    co_return co_await hedged.run();
}

void Forwarder::start()
{
    asio::co_spawn(m_executor, tickPools(m_isStopped), asio::detached);
}

void Forwarder::stop()
{
    *m_isStopped = true;
}

asio::awaitable<void> Forwarder::tickPools(std::shared_ptr<std::atomic<bool>> isStopped)
{
    while (!*isStopped) {
        const auto pools = m_pools.load();
        for (const auto &[service, pool] : *pools) {
            pool->tick();
        }
        m_timers.runExpired(runtime::Clock::now());
        co_await runtime::sleepFor(ServicePool::TickInterval);
    }
}

} // namespace plantainfork::requests
