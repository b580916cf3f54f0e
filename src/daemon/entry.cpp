#include "daemon/entry.h"

#include <atomic>
#include <utility>

#include <nlohmann/json.hpp>

#include "daemon/guarantee_admission.h"
#include "daemon/http_router.h"
#include "http/server.h"
#include "jobs/job_service.h"
#include "log/log.h"
#include "membership/entry_control.h"
#include "metrics/registry.h"
#include "requests/frontend.h"
#include "rpc/channel_pool.h"
#include "rpc/server.h"
#include "runtime/timer.h"
#include "store/http_store.h"

namespace plantainfork::daemon
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned HttpOk = 200;
/** Time from reporting not ready to refusing requests, so that the load balancer notices in between. */
constexpr std::chrono::milliseconds LoadBalancerDelay{1000};

http::Limits httpLimits(const settings::Settings &settings)
{
    http::Limits limits;
    limits.bodyBytes = settings.bounds.requestBodyBytes;
    limits.connections = settings.bounds.connections;
    return limits;
}

rpc::Limits rpcLimits(const settings::Settings &settings)
{
    rpc::Limits limits;
    limits.payloadBytes = settings.bounds.frameBytes;
    limits.silenceLimit = settings.timing.silenceLimit;
    return limits;
}

jobs::JobService<store::HttpStore>::Options jobOptions(const settings::Settings &settings)
{
    jobs::JobService<store::HttpStore>::Options options;
    options.ownRegion = settings.region;
    options.self = settings.rpc;
    options.schedulerLease = settings.timing.schedulerLease;
    options.gangLease = settings.timing.gangLease;
    options.memberTimeout = settings.timing.memberTimeout;
    return options;
}

requests::FrontendBounds frontendBounds(const settings::Settings &settings)
{
    requests::FrontendBounds bounds;
    bounds.queue.total = settings.bounds.queuedRequests;
    return bounds;
}

} // namespace

struct Entry::State {
    State(const asio::any_io_executor &givenExecutor, settings::Settings given, base::Incarnation incarnation, std::unique_ptr<rpc::Server> server)
        : executor(givenExecutor)
        , settings(std::move(given))
        , store(executor, settings.store.host, settings.store.port, registry)
        , channels(executor, rpcLimits(settings))
        , rpcServer(std::move(server))
        , control(executor, settings, incarnation, store, channels, *rpcServer, registry)
        , frontend({executor,
                    control.config(),
                    control.members(),
                    channels,
                    store,
                    registry,
                    settings.id,
                    incarnation,
                    settings.region,
                    settings.dataCentre,
                    frontendBounds(settings),
                    settings.isDisabled(settings::Mechanism::Claims) ? requests::ClaimUse::Off : requests::ClaimUse::Required})
        , jobs(std::make_shared<jobs::JobService<store::HttpStore>>(executor,
                                                                    jobOptions(settings),
                                                                    store,
                                                                    control.config(),
                                                                    control.members(),
                                                                    channels,
                                                                    registry))
    {
        addRoutes();
        if (!settings.isDisabled(settings::Mechanism::GuaranteeCheck)) {
            control.setConfigCheck([this](const wire::Config &proposed) {
                return newlyUnmetGuarantees(*control.config().load(), proposed, *control.members().load());
            });
        }
    }

    void addRoutes()
    {
        router.add("/v1/services/", [this](http::Request request) {
            return frontend.handle(std::move(request));
        });
        const auto toJobs = [this](http::Request request) {
            return jobs->handle(std::move(request));
        };
        router.add("/v1/jobs", toJobs);
        router.add("/v1/capacity", toJobs);
        router.add("/v1/status", [this](http::Request request) {
            return status(std::move(request));
        });
        router.add("/v1/", [this](http::Request request) {
            return control.handleOperator(std::move(request));
        });
        router.add("/metrics", [this](http::Request) -> asio::awaitable<http::Response> {
            co_return http::Response::text(200, registry.text());
        });
        router.add("/health", [](http::Request) -> asio::awaitable<http::Response> {
            co_return http::Response::text(200, "healthy\n");
        });
        router.add("/ready", [this](http::Request) -> asio::awaitable<http::Response> {
            const bool isReady = !isLeaving && control.isReady();
            co_return http::Response::text(isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
        });
    }

    /** Returns the status from the membership control, extended by the schedulers that the job service knows. */
    asio::awaitable<http::Response> status(http::Request request)
    {
        http::Response response = co_await control.handleOperator(std::move(request));
        nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
        if (response.status == HttpOk && body.is_object()) {
            const std::string schedulers = co_await jobs->schedulersJson();
            body["schedulers"] = nlohmann::json::parse(schedulers);
            response.body = body.dump();
        }
        co_return response;
    }

    asio::any_io_executor executor;
    const settings::Settings settings;
    metrics::Registry registry;
    store::HttpStore store;
    rpc::ChannelPool channels;
    std::unique_ptr<rpc::Server> rpcServer;
    membership::EntryControl control;
    requests::Frontend<store::HttpStore> frontend;
    std::shared_ptr<jobs::JobService<store::HttpStore>> jobs;
    HttpRouter router;
    std::unique_ptr<http::Server> httpServer;
    std::atomic<bool> isLeaving{false};
};

absl::StatusOr<std::unique_ptr<Entry>> Entry::create(asio::any_io_executor executor, settings::Settings settings, base::Incarnation incarnation)
{
    auto rpcServer = rpc::Server::create(executor, settings.rpc.host, settings.rpc.port, rpcLimits(settings));
    if (!rpcServer.ok()) {
        return rpcServer.status();
    }
    settings.rpc.port = (*rpcServer)->port();
    auto state = std::make_shared<State>(executor, std::move(settings), incarnation, std::move(*rpcServer));
    auto httpServer = http::Server::create(executor,
                                           state->settings.http.host,
                                           state->settings.http.port,
                                           httpLimits(state->settings),
                                           [raw = state.get()](http::Request request) {
                                               return raw->router.handle(std::move(request));
                                           });
    if (!httpServer.ok()) {
        return httpServer.status();
    }
    state->httpServer = std::move(*httpServer);
    state->jobs->registerOn(*state->rpcServer);
    state->rpcServer->start();
    state->control.start();
    state->frontend.start();
    state->jobs->start();
    log::write(log::Severity::Info,
               "entry listening",
               {{"http", state->settings.http.host + ":" + std::to_string(state->httpServer->port())},
                {"rpc", state->settings.rpc.host + ":" + std::to_string(state->rpcServer->port())}});
    return std::unique_ptr<Entry>(new Entry(std::move(state)));
}

Entry::Entry(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

Entry::~Entry() = default;

asio::awaitable<void> Entry::stop()
{
    const auto state = m_state;
    const auto deadline = runtime::Clock::now() + state->settings.timing.drainLimit;
    state->isLeaving = true;
    if (state->settings.isDisabled(settings::Mechanism::Drain)) {
        co_return;
    }
    co_await runtime::sleepFor(LoadBalancerDelay);
    const std::size_t cut = co_await state->httpServer->drain(deadline);
    const std::size_t unanswered = co_await state->frontend.drain(deadline);
    log::write(log::Severity::Info, "entry drained", {{"connections_cut", std::to_string(cut)}, {"requests_cut", std::to_string(unanswered)}});
    co_await state->jobs->stop(deadline);
    co_await state->control.leave();
    co_await state->rpcServer->drain(deadline);
}

} // namespace plantainfork::daemon
