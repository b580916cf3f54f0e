/**
 * Entries and agents of one region in the test process. Their calls go over loopback; the store is in memory, the
 * workers simulate the tasks they are given, and the clock is paused.
 */
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "http/server.h"
#include "jobs/gang_agent.h"
#include "jobs/job_service_impl.h"
#include "rpc/server.h"
#include "support/memory_store.h"
#include "support/run.h"

namespace plantainfork::tests
{

/** One start of a task on a worker. */
struct TaskRun {
    std::string job;
    std::uint32_t attempt = 0;
    std::uint32_t rank = 0;
    runtime::Instant started;
    runtime::Instant ended = runtime::Instant::max();
};

/** All runs of a test's tasks, recorded by all workers. */
class TaskRunLog
{
public:
    [[nodiscard]] std::size_t startsOf(const std::string &job) const
    {
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&job](const TaskRun &run) {
            return run.job == job;
        }));
    }

    std::vector<TaskRun> all;
};

class WorkerNode
{
public:
    WorkerNode(boost::asio::io_context &context, const std::string &name, std::vector<wire::Address> entries, TaskRunLog &runs)
        : m_context(context)
        , m_runs(runs)
        , target(std::make_shared<const targets::Target>())
        , channels(context.get_executor())
    {
        m_worker = std::move(*http::Server::create(context.get_executor(), "127.0.0.1", 0, {}, [this](http::Request request) {
            return serve(std::move(request));
        }));
        m_server = std::move(*rpc::Server::create(context.get_executor(), "127.0.0.1", 0, {}));
        record.id = base::MemberId(name);
        record.incarnation = base::Incarnation(1);
        record.region = base::RegionId("atlas-north");
        record.dataCentre = base::DataCentreId("ifrane-pens");
        record.rpc = {"127.0.0.1", m_server->port()};
        record.offer.kind = wire::TargetKind::Worker;
        record.offer.rack = base::RackId("rack-1");
        record.offer.accelerators = 8;
        record.offer.cores = 64;
        record.offer.memoryMiB = 1024;
        targets::Target present;
        present.state = targets::TargetState::Present;
        present.offer = record.offer;
        present.http = {"127.0.0.1", m_worker->port()};
        target.publish(std::make_shared<const targets::Target>(present));
        jobs::GangAgent::Options options;
        options.self = record.id;
        options.incarnation = record.incarnation;
        options.entries = std::move(entries);
        agent = std::make_unique<jobs::GangAgent>(context.get_executor(), options, target, gate, channels, registry);
        gate.accept(base::Revision(1), runtime::Clock::now(), std::chrono::hours(24));
        handle<wire::PrepareCall>(&jobs::GangAgent::prepare);
        handle<wire::CommitCall>(&jobs::GangAgent::commit);
        handle<wire::StopCall>(&jobs::GangAgent::stop);
        handle<wire::InventoryCall>(&jobs::GangAgent::inventory);
        handle<wire::GangHeartbeatCall>(&jobs::GangAgent::handleHeartbeat);
        m_server->start();
    }

    void setTargetState(targets::TargetState state)
    {
        targets::Target changed = *target.load();
        changed.state = state;
        target.publish(std::make_shared<const targets::Target>(changed));
    }

private:
    template<typename Call>
    void handle(boost::asio::awaitable<absl::StatusOr<typename Call::Reply>> (jobs::GangAgent::*method)(Call))
    {
        rpc::handleCall<Call>(*m_server, [this, method](Call call) {
            return (agent.get()->*method)(std::move(call));
        });
    }

    boost::asio::awaitable<http::Response> serve(http::Request request)
    {
        if (request.target == "/tasks") {
            const auto body = nlohmann::json::parse(request.body);
            m_runs.all.push_back({body["job"], body["attempt"], body["rank"], runtime::Clock::now()});
            const std::chrono::milliseconds remaining(body["runTimeMs"].get<std::int64_t>() - body["resumeFromMs"].get<std::int64_t>());
            boost::asio::co_spawn(m_context, finish(m_runs.all.size() - 1, remaining), boost::asio::detached);
        } else if (request.target.ends_with("/stop")) {
            for (auto &run : m_runs.all) {
                const std::string path = "/tasks/" + run.job + "/" + std::to_string(run.attempt) + "/" + std::to_string(run.rank) + "/stop";
                if (path == request.target) {
                    run.ended = std::min(run.ended, runtime::Clock::now());
                }
            }
        }
        co_return http::Response::json(200, R"({"checkpointedMs":100})");
    }

    boost::asio::awaitable<void> finish(std::size_t index, std::chrono::milliseconds remaining)
    {
        co_await runtime::sleepFor(remaining);
        TaskRun &run = m_runs.all[index];
        if (run.ended == runtime::Instant::max()) {
            run.ended = runtime::Clock::now();
            wire::TaskStatus status;
            status.attempt = {base::JobId(run.job), run.attempt};
            status.rank = run.rank;
            status.state = wire::TaskState::Finished;
            co_await agent->handleTaskReport(status);
        }
    }

    boost::asio::io_context &m_context;
    TaskRunLog &m_runs;
    std::unique_ptr<http::Server> m_worker;
    std::unique_ptr<rpc::Server> m_server;

public:
    wire::MemberRecord record;
    runtime::Published<targets::Target> target;
    permits::PermitGate gate;
    rpc::ChannelPool channels;
    metrics::Registry registry;
    std::unique_ptr<jobs::GangAgent> agent;
};

class EntryNode
{
public:
    using Service = jobs::JobService<MemoryStore>;

    EntryNode(boost::asio::io_context &context,
              const std::shared_ptr<MemoryData> &data,
              const runtime::Published<wire::Config> &config,
              const runtime::Published<membership::MemberView> &members)
        : store(data)
        , channels(context.get_executor())
        , m_server(std::move(*rpc::Server::create(context.get_executor(), "127.0.0.1", 0, {})))
    {
        address = {"127.0.0.1", m_server->port()};
        Service::Options options;
        options.ownRegion = base::RegionId("atlas-north");
        options.self = address;
        service = std::make_shared<Service>(context.get_executor(), options, store, config, members, channels, registry);
        service->registerOn(*m_server);
        m_server->start();
    }

    MemoryStore store;
    rpc::ChannelPool channels;
    metrics::Registry registry;
    std::shared_ptr<Service> service;
    wire::Address address;

private:
    std::unique_ptr<rpc::Server> m_server;
};

class Cluster
{
public:
    explicit Cluster(std::size_t workerCount = 2)
        : data(std::make_shared<MemoryData>())
        , config(std::make_shared<const wire::Config>())
        , members(std::make_shared<const membership::MemberView>())
    {
        runtime::Clock::pause();
        publishConfig();
        for (int i = 0; i < 2; ++i) {
            entries.push_back(std::make_unique<EntryNode>(context, data, config, members));
        }
        for (std::size_t i = 0; i < workerCount; ++i) {
            const std::vector<wire::Address> addresses{entries[0]->address, entries[1]->address};
            workers.push_back(std::make_unique<WorkerNode>(context, "worker-" + std::to_string(i + 1), addresses, runs));
        }
        publishMembers();
    }
    ~Cluster()
    {
        runtime::Clock::resume();
    }

    void publishMembers()
    {
        membership::MemberView view;
        for (const auto &worker : workers) {
            view.members.emplace(worker->record.id, worker->record);
            view.workers.push_back(worker->record);
        }
        members.publish(std::make_shared<const membership::MemberView>(std::move(view)));
    }

    /** Advances the paused clock in 50 ms steps until the condition holds. False when it doesn't within the limit. */
    bool advanceUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(30))
    {
        constexpr std::chrono::milliseconds Step{50};
        for (std::chrono::milliseconds passed{0}; passed < limit; passed += Step) {
            if (condition()) {
                return true;
            }
            runtime::Clock::advance(Step);
            context.restart();
            context.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    /** Sends a request to an entry's job service and advances the clock until it is answered. */
    http::Response send(std::size_t entry, std::string method, std::string target, std::string body = "")
    {
        http::Request request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        std::optional<http::Response> answer;
        boost::asio::co_spawn(context, entries[entry]->service->handle(std::move(request)), [&answer](const std::exception_ptr &, http::Response response) {
            answer = std::move(response);
        });
        advanceUntil([&answer] {
            return answer.has_value();
        });
        return answer.value_or(http::Response::text(0, "no answer"));
    }

    std::string stateOf(const std::string &job, std::size_t entry = 0)
    {
        const auto json = nlohmann::json::parse(send(entry, "GET", "/v1/jobs/" + job).body, nullptr, false);
        return json.is_object() ? json.value("state", "") : "";
    }

    void publishConfig()
    {
        wire::Config newConfig;
        newConfig.revision = base::Revision(1);
        wire::Template reconcile;
        reconcile.name = base::TemplateId("reconcile");
        reconcile.kind = wire::WorkKind::Job;
        reconcile.checkpointable = true;
        reconcile.shape = {2, 8, 1, 1, wire::Adjacency::DataCentre};
        wire::Workspace atlas;
        atlas.name = base::WorkspaceId("atlas");
        atlas.grants.push_back({reconcile.name, 1, 0, {0}, {}});
        const wire::DataCentre dataCentre{base::DataCentreId("ifrane-pens"), base::RegionId("atlas-north"), wire::DataCentreMode::In};
        newConfig.templates[reconcile.name] = {reconcile, newConfig.revision, false};
        newConfig.workspaces[atlas.name] = {atlas, newConfig.revision, false};
        newConfig.dataCentres[dataCentre.name] = {dataCentre, newConfig.revision, false};
        config.publish(std::make_shared<const wire::Config>(std::move(newConfig)));
    }

    boost::asio::io_context context;
    std::shared_ptr<MemoryData> data;
    runtime::Published<wire::Config> config;
    runtime::Published<membership::MemberView> members;
    TaskRunLog runs;
    std::vector<std::unique_ptr<EntryNode>> entries;
    std::vector<std::unique_ptr<WorkerNode>> workers;
};

} // namespace plantainfork::tests
