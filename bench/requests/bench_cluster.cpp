#include "bench_cluster.h"

#include <utility>

namespace plantainfork::bench
{

namespace asio = boost::asio;

namespace
{

const base::ServiceId Service("herd-ledger");
const base::RegionId Region("atlas-north");
const base::DataCentreId DataCentre("ifrane-pens");

wire::Template makeTemplate(std::string name, wire::Urgency urgency, bool idempotent)
{
    wire::Template kind;
    kind.name = base::TemplateId(std::move(name));
    kind.service = Service;
    kind.urgency = urgency;
    kind.idempotent = idempotent;
    return kind;
}

std::shared_ptr<const wire::Config> makeConfig()
{
    auto config = std::make_shared<wire::Config>();
    for (const auto &kind : {makeTemplate("count", wire::Urgency::Urgent, true),
                             makeTemplate("nest", wire::Urgency::Normal, true),
                             makeTemplate("mark", wire::Urgency::Patient, false)}) {
        config->templates[kind.name].value = kind;
    }
    const std::vector<std::pair<std::string, std::uint32_t>> shares{{"a", 400}, {"b", 300}, {"c", 200}, {"d", 100}};
    for (const auto &[name, share] : shares) {
        wire::Workspace workspace;
        workspace.name = base::WorkspaceId(name);
        for (const auto &[id, kind] : config->templates) {
            wire::Grant grant;
            grant.templateId = id;
            grant.guaranteedSlotShare = id.value() == "nest" ? share : 0;
            workspace.grants.push_back(grant);
        }
        config->workspaces[workspace.name].value = workspace;
    }
    return config;
}

targets::Target makeTarget(const Executor &executor, std::uint32_t slots)
{
    targets::Target target;
    target.state = targets::TargetState::Present;
    target.offer.kind = wire::TargetKind::Executor;
    target.offer.service = Service;
    target.offer.slots = slots;
    target.offer.connections = 60;
    target.http = {"127.0.0.1", executor.port()};
    return target;
}

} // namespace

Threads::Threads(unsigned count)
    : m_work(asio::make_work_guard(m_context))
    , m_pool(m_context, count)
{
}

Threads::~Threads()
{
    m_context.stop();
    m_pool.join();
}

asio::io_context &Threads::context()
{
    return m_context;
}

Executor::Executor(asio::io_context &context, std::uint32_t slots, std::chrono::microseconds delay)
    : m_slots(slots)
    , m_delay(delay)
    , m_server(std::move(*http::Server::create(context.get_executor(), "127.0.0.1", 0, {}, [this](http::Request request) {
        return serve(std::move(request));
    })))
{
}

std::uint16_t Executor::port() const
{
    return m_server->port();
}

asio::awaitable<void> Executor::acquireSlot()
{
    const auto slotGranted = std::make_shared<rpc::OneShot<bool>>();
    {
        const std::scoped_lock lock(m_mutex);
        if (m_inUse < m_slots) {
            ++m_inUse;
            co_return;
        }
        m_waiting.push_back(slotGranted);
    }
    co_await slotGranted->wait();
}

void Executor::releaseSlot()
{
    const std::scoped_lock lock(m_mutex);
    if (m_waiting.empty()) {
        --m_inUse;
        return;
    }
    m_waiting.front()->set(true);
    m_waiting.pop_front();
}

asio::awaitable<http::Response> Executor::serve(http::Request request)
{
    if (behaviour == Behaviour::Fails) {
        co_return http::Response::text(500, "failed");
    }
    co_await acquireSlot();
    if (behaviour == Behaviour::Frozen) {
        co_await runtime::sleepFor(std::chrono::hours(1));
    }
    if (m_delay.count() > 0) {
        co_await runtime::sleepFor(m_delay);
    }
    releaseSlot();
    ++served;
    co_return http::Response::text(200, std::move(request.body));
}

Agent::Agent(asio::io_context &context, std::string name, const Executor &executor, std::uint32_t slots)
    : m_name(std::move(name))
    , m_target(std::make_shared<targets::Target>(makeTarget(executor, slots)))
    , m_executorProxy(context.get_executor(), base::Incarnation(1), m_target, m_metrics)
    , m_server(std::move(*rpc::Server::create(context.get_executor(), "127.0.0.1", 0, {})))
{
    rpc::handleCall<wire::ExecuteCall>(*m_server, [this](wire::ExecuteCall call) {
        return execute(std::move(call));
    });
    rpc::handleCall<wire::SettleCall>(*m_server, [this](wire::SettleCall call) {
        return m_executorProxy.settle(std::move(call));
    });
    m_server->start();
}

asio::awaitable<absl::StatusOr<wire::ExecuteReply>> Agent::execute(wire::ExecuteCall call)
{
    if (m_isSilent) {
        co_await runtime::sleepFor(std::chrono::hours(1));
    }
    co_return co_await m_executorProxy.execute(std::move(call));
}

void Agent::stopAnswering()
{
    m_isSilent = true;
}

wire::MemberRecord Agent::record() const
{
    wire::MemberRecord record;
    record.id = base::MemberId(m_name);
    record.incarnation = base::Incarnation(1);
    record.region = Region;
    record.dataCentre = DataCentre;
    record.rpc = {"127.0.0.1", m_server->port()};
    record.offer = m_target.load()->offer;
    return record;
}

Cluster::Cluster(const ClusterOptions &options)
    : executorThreads(options.threadsPerRole)
    , agentThreads(options.threadsPerRole)
    , entryThreads(options.threadsPerRole)
    , callerThreads(options.threadsPerRole)
    , m_config(makeConfig())
    , m_members(std::make_shared<membership::MemberView>())
    , m_channels(std::make_unique<rpc::ChannelPool>(entryThreads.context().get_executor()))
{
    auto view = std::make_shared<membership::MemberView>();
    for (std::size_t i = 0; i < options.executors; ++i) {
        executors.push_back(std::make_unique<Executor>(executorThreads.context(), options.slots, options.delay));
        agents.push_back(std::make_unique<Agent>(agentThreads.context(), "agent-" + std::to_string(i), *executors.back(), options.slots));
        view->executors[Service].push_back(agents.back()->record());
    }
    m_members.publish(std::move(view));
    requests::FrontendDependencies<tests::FakeStore> dependencies{entryThreads.context().get_executor(),
                                                                  m_config,
                                                                  m_members,
                                                                  *m_channels,
                                                                  store,
                                                                  metrics,
                                                                  base::MemberId("entry"),
                                                                  base::Incarnation(1),
                                                                  Region,
                                                                  DataCentre,
                                                                  {}};
    frontend = std::make_unique<Frontend>(std::move(dependencies));
    frontend->start();
    entryServer = std::move(*http::Server::create(entryThreads.context().get_executor(), "127.0.0.1", 0, {}, [this](http::Request request) {
        return frontend->handle(std::move(request));
    }));
}

Cluster::~Cluster()
{
    for (Threads *threads : {&callerThreads, &entryThreads, &agentThreads, &executorThreads}) {
        threads->context().stop();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
}

http::Request Cluster::request(const std::string &workspace, const std::string &kind, const std::string &id, std::chrono::milliseconds deadline)
{
    http::Request request;
    request.method = "POST";
    request.target = "/v1/services/herd-ledger/run";
    request.headers = {{"Plantainfork-Workspace", workspace},
                       {"Plantainfork-Template", kind},
                       {"Plantainfork-Request-Id", id},
                       {"Plantainfork-Deadline-Ms", std::to_string(deadline.count())}};
    request.body = "animal 4711 of pen 12";
    return request;
}

} // namespace plantainfork::bench
