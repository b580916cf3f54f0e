/** Entries, agents and executors of one service in a single process, connected over loopback. */
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "http/server.h"
#include "requests/executor_proxy.h"
#include "requests/fake_store.h"
#include "requests/frontend.h"
#include "rpc/server.h"
#include "support/run.h"

namespace plantainfork::tests
{

/** An executor and its agent. */
class Host
{
public:
    enum class Behaviour {
        Answers,
        /** Answers 500 at once. */
        Fails,
        /** Accepts requests and never answers. */
        Freezes,
    };

    Host(boost::asio::io_context &context, std::string name, std::uint32_t slots)
        : id(std::move(name))
        , m_context(context)
        , m_target(std::make_shared<targets::Target>())
    {
        m_executor = std::move(*http::Server::create(context.get_executor(), "127.0.0.1", 0, {}, [this](http::Request request) {
            return serve(std::move(request));
        }));
        targets::Target present;
        present.state = targets::TargetState::Present;
        present.offer.kind = wire::TargetKind::Executor;
        present.offer.service = base::ServiceId("herd-ledger");
        present.offer.slots = slots;
        present.offer.connections = 60;
        present.http = {"127.0.0.1", m_executor->port()};
        m_target.publish(std::make_shared<targets::Target>(present));
        startAgent(base::Incarnation(1));
    }

    /** Simulates a restart of the agent: starts a new instance with this incarnation at a new address. */
    void startAgent(base::Incarnation next)
    {
        incarnation = next;
        if (m_rpc) {
            runOn(m_context, m_rpc->drain(runtime::Clock::now()));
        }
        m_agents.push_back(std::make_unique<requests::ExecutorProxy>(m_context.get_executor(), incarnation, m_target, m_metrics));
        m_rpc = std::move(*rpc::Server::create(m_context.get_executor(), "127.0.0.1", 0, {}));
        auto *agent = m_agents.back().get();
        rpc::handleCall<wire::ExecuteCall>(*m_rpc, [this, agent](wire::ExecuteCall call) {
            return execute(agent, std::move(call));
        });
        rpc::handleCall<wire::SettleCall>(*m_rpc, [agent](wire::SettleCall call) {
            return agent->settle(std::move(call));
        });
        m_rpc->start();
    }

    void setState(targets::TargetState state)
    {
        auto next = std::make_shared<targets::Target>(*m_target.load());
        next->state = state;
        m_target.publish(std::move(next));
    }

    [[nodiscard]] wire::MemberRecord record() const
    {
        wire::MemberRecord record;
        record.id = base::MemberId(id);
        record.incarnation = incarnation;
        record.region = base::RegionId("atlas-north");
        record.dataCentre = base::DataCentreId("ifrane-pens");
        record.rpc = {"127.0.0.1", m_rpc->port()};
        record.offer = m_target.load()->offer;
        return record;
    }

    [[nodiscard]] requests::ExecutorProxy &agent() const
    {
        return *m_agents.back();
    }

    const std::string id;
    Behaviour behaviour = Behaviour::Answers;
    std::chrono::milliseconds delay{0};
    /** Number of runs by request id. */
    std::map<std::string, int> runs;
    std::size_t running = 0;
    std::size_t maxRunning = 0;
    /** The agent executes calls, but the caller receives an error instead of the reply. */
    bool dropsReplies = false;
    /** Calls fail before they reach the agent. */
    bool dropsCalls = false;
    base::Incarnation incarnation;

private:
    boost::asio::awaitable<http::Response> serve(http::Request request)
    {
        ++runs[request.header("Plantainfork-Request-Id").value_or("")];
        if (behaviour == Behaviour::Fails) {
            co_return http::Response::text(500, "failed");
        }
        ++running;
        maxRunning = std::max(maxRunning, running);
        co_await runtime::sleepFor(behaviour == Behaviour::Freezes ? std::chrono::milliseconds(3'600'000) : delay);
        --running;
        co_return http::Response::text(200, id + ":" + request.body);
    }

    boost::asio::awaitable<absl::StatusOr<wire::ExecuteReply>> execute(requests::ExecutorProxy *agent, wire::ExecuteCall call)
    {
        absl::StatusOr<wire::ExecuteReply> reply = absl::UnavailableError("lost");
        if (!dropsCalls) {
            reply = co_await agent->execute(std::move(call));
        }
        if (dropsReplies || dropsCalls) {
            co_return absl::UnavailableError("lost");
        }
        co_return reply;
    }

    boost::asio::io_context &m_context;
    metrics::Registry m_metrics;
    runtime::Published<targets::Target> m_target;
    std::unique_ptr<http::Server> m_executor;
    /** Includes earlier instances, so that their open attempts can end. */
    std::vector<std::unique_ptr<requests::ExecutorProxy>> m_agents;
    std::unique_ptr<rpc::Server> m_rpc;

    friend class Cluster;
};

class Cluster
{
public:
    using Frontend = requests::Frontend<FakeStore>;

    explicit Cluster(std::size_t hostCount, std::uint32_t slots = 8, std::size_t entryCount = 1)
        : m_config(std::make_shared<wire::Config>())
        , m_members(std::make_shared<membership::MemberView>())
        , m_channels(context.get_executor())
    {
        publishConfig();
        for (std::size_t i = 0; i < hostCount; ++i) {
            hosts.push_back(std::make_unique<Host>(context, "agent-" + std::to_string(i), slots));
        }
        publishMembers();
        for (std::size_t i = 0; i < entryCount; ++i) {
            requests::FrontendDependencies<FakeStore> dependencies{context.get_executor(),
                                                                   m_config,
                                                                   m_members,
                                                                   m_channels,
                                                                   store,
                                                                   metrics,
                                                                   base::MemberId("entry-" + std::to_string(i)),
                                                                   base::Incarnation(1),
                                                                   base::RegionId("atlas-north"),
                                                                   base::DataCentreId("ifrane-pens"),
                                                                   {}};
            entries.push_back(std::make_unique<Frontend>(std::move(dependencies)));
            entries.back()->start();
        }
    }

    void publishMembers()
    {
        auto view = std::make_shared<membership::MemberView>();
        for (const auto &host : hosts) {
            view->members[base::MemberId(host->id)] = host->record();
            view->executors[base::ServiceId("herd-ledger")].push_back(host->record());
        }
        m_members.publish(std::move(view));
    }

    /** "count" is idempotent and urgent, "mark" is non-idempotent and patient. */
    void publishConfig()
    {
        auto config = std::make_shared<wire::Config>();
        wire::Template count;
        count.name = base::TemplateId("count");
        count.service = base::ServiceId("herd-ledger");
        count.urgency = wire::Urgency::Urgent;
        wire::Template mark = count;
        mark.name = base::TemplateId("mark");
        mark.idempotent = false;
        mark.urgency = wire::Urgency::Patient;
        config->templates[count.name].value = count;
        config->templates[mark.name].value = mark;
        wire::Workspace vets;
        vets.name = base::WorkspaceId("vets");
        vets.grants = {grantOf(count), grantOf(mark)};
        config->workspaces[vets.name].value = vets;
        m_config.publish(std::move(config));
    }

    static wire::Grant grantOf(const wire::Template &requestTemplate)
    {
        wire::Grant grant;
        grant.templateId = requestTemplate.name;
        grant.guaranteedSlotShare = 250;
        return grant;
    }

    static http::Request request(const std::string &templateName, const std::string &id, std::chrono::milliseconds deadline)
    {
        http::Request request;
        request.method = "POST";
        request.target = "/v1/services/herd-ledger/run";
        request.headers = {{"Plantainfork-Workspace", "vets"},
                           {"Plantainfork-Template", templateName},
                           {"Plantainfork-Request-Id", id},
                           {"Plantainfork-Deadline-Ms", std::to_string(deadline.count())}};
        request.body = "body of " + id;
        return request;
    }

    http::Response send(http::Request request, std::size_t entry = 0)
    {
        return runOn(context, entries[entry]->handle(std::move(request)));
    }

    /** Sends without waiting. The returned optional is set when the answer arrives. */
    std::shared_ptr<std::optional<http::Response>> begin(http::Request request, std::size_t entry = 0)
    {
        auto answer = std::make_shared<std::optional<http::Response>>();
        boost::asio::co_spawn(context, entries[entry]->handle(std::move(request)), [answer](const std::exception_ptr &, http::Response response) {
            *answer = std::move(response);
        });
        return answer;
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            context.run_one();
        }
    }

    [[nodiscard]] int runs(const std::string &id) const
    {
        int count = 0;
        for (const auto &host : hosts) {
            const auto found = host->runs.find(id);
            count += found == host->runs.end() ? 0 : found->second;
        }
        return count;
    }

    boost::asio::io_context context;
    FakeStore store;
    metrics::Registry metrics;
    std::vector<std::unique_ptr<Host>> hosts;

private:
    runtime::Published<wire::Config> m_config;
    runtime::Published<membership::MemberView> m_members;
    rpc::ChannelPool m_channels;

public:
    std::vector<std::unique_ptr<Frontend>> entries;
};

inline std::string outcomeOf(const http::Response &response)
{
    return response.header("Plantainfork-Outcome").value_or("");
}

} // namespace plantainfork::tests
