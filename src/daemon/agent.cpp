#include "daemon/agent.h"

#include <atomic>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "daemon/http_router.h"
#include "http/server.h"
#include "jobs/gang_agent.h"
#include "log/log.h"
#include "membership/agent_control.h"
#include "metrics/registry.h"
#include "requests/executor_proxy.h"
#include "rpc/channel_pool.h"
#include "rpc/server.h"
#include "runtime/timer.h"
#include "targets/target_hub.h"

namespace plantainfork::daemon
{

namespace asio = boost::asio;

namespace
{

rpc::Limits rpcLimits(const settings::Settings &settings)
{
    rpc::Limits limits;
    limits.payloadBytes = settings.bounds.frameBytes;
    limits.silenceLimit = settings.timing.silenceLimit;
    return limits;
}

jobs::Safeguard safeguard(const settings::Settings &settings, settings::Mechanism mechanism)
{
    return settings.isDisabled(mechanism) ? jobs::Safeguard::Off : jobs::Safeguard::On;
}

jobs::GangAgent::Options gangOptions(const settings::Settings &settings, base::Incarnation incarnation)
{
    jobs::GangAgent::Options options;
    options.self = settings.id;
    options.incarnation = incarnation;
    options.gangLease = settings.timing.gangLease;
    options.entries = settings.entries;
    options.safeguards.fencing = safeguard(settings, settings::Mechanism::Fencing);
    options.safeguards.barrier = safeguard(settings, settings::Mechanism::GangBarrier);
    options.safeguards.startPermit = safeguard(settings, settings::Mechanism::StartPermit);
    options.safeguards.incarnation = safeguard(settings, settings::Mechanism::Incarnation);
    return options;
}

} // namespace

struct Agent::State : std::enable_shared_from_this<Agent::State> {
    State(const asio::any_io_executor &givenExecutor, settings::Settings given, base::Incarnation incarnation, std::unique_ptr<rpc::Server> server)
        : executor(givenExecutor)
        , settings(std::move(given))
        , channels(executor, rpcLimits(settings))
        , rpcServer(std::move(server))
        , hub({settings.id, incarnation, settings.timing.announceTimeout}, registry)
        , control(executor, settings, incarnation, channels, *rpcServer, registry)
        , executorProxy(executor, incarnation, hub.target(), registry)
        , gangs(executor, gangOptions(settings, incarnation), hub.target(), control.permitGate(), channels, registry)
    {
        addCalls();
        addRoutes();
        hub.setChangeHandler([this](const targets::Target &target) {
            announceOffer(target);
        });
        hub.setReportHandler([this](wire::TaskStatus status) {
            return gangs.handleTaskReport(std::move(status));
        });
    }

    template<typename Call, typename Object>
    void addCall(Object &object, asio::awaitable<absl::StatusOr<typename Call::Reply>> (Object::*method)(Call))
    {
        rpc::handleCall<Call>(*rpcServer, [&object, method](Call call) {
            return (object.*method)(std::move(call));
        });
    }

    void addCalls()
    {
        addCall(executorProxy, &requests::ExecutorProxy::execute);
        addCall(executorProxy, &requests::ExecutorProxy::settle);
        addCall(gangs, &jobs::GangAgent::prepare);
        addCall(gangs, &jobs::GangAgent::commit);
        addCall(gangs, &jobs::GangAgent::stop);
        addCall(gangs, &jobs::GangAgent::inventory);
        addCall(gangs, &jobs::GangAgent::handleHeartbeat);
    }

    void addRoutes()
    {
        const auto toHub = [this](http::Request request) {
            return hub.handle(std::move(request));
        };
        router.add("/v1/announce", toHub);
        router.add("/v1/leave", toHub);
        router.add("/v1/tasks/report", toHub);
        router.add("/v1/status", [this](http::Request) -> asio::awaitable<http::Response> {
            co_return http::Response::json(200, control.statusJson());
        });
        router.add("/metrics", [this](http::Request) -> asio::awaitable<http::Response> {
            co_return http::Response::text(200, registry.text());
        });
        router.add("/health", [](http::Request) -> asio::awaitable<http::Response> {
            co_return http::Response::text(200, "healthy\n");
        });
        router.add("/ready", [this](http::Request) -> asio::awaitable<http::Response> {
            const bool isReady = !isLeaving && hub.target().load()->state == targets::TargetState::Present;
            co_return http::Response::text(isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
        });
    }

    /** Passes the target's offer on to the entries. An absent or leaving target receives no new work, but finishes what it holds. */
    void announceOffer(const targets::Target &target)
    {
        wire::TargetOffer offer = target.offer;
        if (target.state == targets::TargetState::Absent) {
            offer = {};
        }
        control.setOffer(offer, target.state == targets::TargetState::Leaving ? wire::MemberState::Leaving : wire::MemberState::Alive);
    }

    asio::awaitable<void> reconcileTasks()
    {
        const auto self = shared_from_this();
        while (!isLeaving) {
            co_await runtime::sleepFor(settings.timing.announceTimeout / 2);
            co_await gangs.reconcile();
        }
    }

    asio::any_io_executor executor;
    const settings::Settings settings;
    metrics::Registry registry;
    rpc::ChannelPool channels;
    std::unique_ptr<rpc::Server> rpcServer;
    targets::TargetHub hub;
    membership::AgentControl control;
    requests::ExecutorProxy executorProxy;
    jobs::GangAgent gangs;
    HttpRouter router;
    std::unique_ptr<http::Server> httpServer;
    std::atomic<bool> isLeaving{false};
};

absl::StatusOr<std::unique_ptr<Agent>> Agent::create(asio::any_io_executor executor, settings::Settings settings, base::Incarnation incarnation)
{
    auto rpcServer = rpc::Server::create(executor, settings.rpc.host, settings.rpc.port, rpcLimits(settings));
    if (!rpcServer.ok()) {
        return rpcServer.status();
    }
    settings.rpc.port = (*rpcServer)->port();
    auto state = std::make_shared<State>(executor, std::move(settings), incarnation, std::move(*rpcServer));
    http::Limits limits;
    limits.bodyBytes = state->settings.bounds.requestBodyBytes;
    auto httpServer = http::Server::create(executor, state->settings.http.host, state->settings.http.port, limits, [raw = state.get()](http::Request request) {
        return raw->router.handle(std::move(request));
    });
    if (!httpServer.ok()) {
        return httpServer.status();
    }
    state->httpServer = std::move(*httpServer);
    state->rpcServer->start();
    state->control.start();
    asio::co_spawn(executor, state->hub.watchSilence(), asio::detached);
    asio::co_spawn(executor, state->reconcileTasks(), asio::detached);
    log::write(log::Severity::Info,
               "agent listening",
               {{"http", state->settings.http.host + ":" + std::to_string(state->httpServer->port())},
                {"rpc", state->settings.rpc.host + ":" + std::to_string(state->rpcServer->port())}});
    return std::unique_ptr<Agent>(new Agent(std::move(state)));
}

Agent::Agent(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

Agent::~Agent() = default;

asio::awaitable<void> Agent::stop()
{
    const auto state = m_state;
    const auto deadline = runtime::Clock::now() + state->settings.timing.drainLimit;
    state->isLeaving = true;
    if (state->settings.isDisabled(settings::Mechanism::Drain)) {
        co_return;
    }
    // Inform the entries first, so that they send no new work while open work finishes.
    state->control.beginLeaving();
    const std::size_t requestsCut = co_await state->executorProxy.drain(deadline);
    const std::size_t tasksCut = co_await state->gangs.drain(deadline);
    log::write(log::Severity::Info, "agent drained", {{"requests_cut", std::to_string(requestsCut)}, {"tasks_stopped", std::to_string(tasksCut)}});
    co_await state->control.leave();
    co_await state->rpcServer->drain(deadline);
    co_await state->httpServer->drain(deadline);
}

} // namespace plantainfork::daemon
