/** Fixture for tests of a whole agent on the platform: its executor and its leader are scripted by the test, and speak over real connections. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "batch/messages.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/agent.h"
#include "rpc/server.h"
#include "runtime/timer.h"
#include "support/run.h"

namespace plantainfork::tests
{

using namespace std::chrono_literals;

class PlatformAgentFixture
{
public:
    using Json = nlohmann::json;

    PlatformAgentFixture()
    {
        auto executorServer = http::Server::create(context.get_executor(), "127.0.0.1", 0, {}, [this](http::Request request) {
            return answerOrder(std::move(request));
        });
        REQUIRE(executorServer.ok());
        m_executorServer = std::move(*executorServer);
        auto leader = rpc::Server::create(context.get_executor(), "127.0.0.1", 0, {});
        REQUIRE(leader.ok());
        m_leader = std::move(*leader);
        rpc::handleCall<batch::SyncCall>(*m_leader, [this](batch::SyncCall call) -> boost::asio::awaitable<absl::StatusOr<batch::SyncReply>> {
            calls.push_back(call);
            co_await runtime::sleepFor(5ms);
            batch::SyncReply reply;
            reply.isLeader = true;
            reply.token = base::FencingToken(7);
            reply.grant = 5s;
            co_return reply;
        });
        m_leader->start();
        m_settings.id = base::MemberId("side-1");
        m_settings.entries = {{"127.0.0.1", m_leader->port()}};
        m_settings.executor = {"127.0.0.1", m_executorServer->port()};
        m_settings.http = {"127.0.0.1", freePort()};
        m_settings.metrics = {"127.0.0.1", freePort()};
        m_settings.store = {"127.0.0.1", freePort()};
        startAgent();
        m_heartbeats = std::make_unique<http::Client>(context.get_executor(), m_settings.http.host, m_settings.http.port, 4);
    }

    /** Starts the agent; one that runs already is replaced by a process that knows nothing. */
    void startAgent()
    {
        m_agent.reset();
        auto agent = platform::Agent::create(context.get_executor(), m_settings);
        REQUIRE(agent.ok());
        m_agent = std::move(*agent);
    }

    /** What the executor of the present instance and birth says of itself. */
    [[nodiscard]] Json heartbeat(std::uint64_t sequence) const
    {
        return {{"Service", "ledger"},
                {"Addr", "127.0.0.1:" + std::to_string(m_executorServer->port())},
                {"Zone", "pens"},
                {"State", "ready"},
                {"Capacity", {{"Cpu", 64'000}, {"MemMb", 256'000}, {"Gpu", 8}}},
                {"Labels", {"a", "r1-1"}},
                {"ClockMs", 1000},
                {"born", born},
                {"Seq", sequence}};
    }

    /** Sends a heartbeat to the agent; returns the status of the answer. */
    unsigned send(const std::string &id, const std::string &body)
    {
        http::Request request;
        request.method = "POST";
        request.target = "/plantainfork/instances/" + id + "/heartbeat";
        request.body = body;
        auto exchange = runOn(context, m_heartbeats->send(std::move(request), runtime::Clock::now() + 5s));
        return exchange.response.ok() ? exchange.response->status : 0;
    }

    /** Sends a goodbye under the id to the agent; returns the status of the answer. */
    unsigned sendGoodbye(const std::string &id)
    {
        http::Request request;
        request.method = "POST";
        request.target = "/plantainfork/instances/" + id + "/deregister";
        auto exchange = runOn(context, m_heartbeats->send(std::move(request), runtime::Clock::now() + 5s));
        return exchange.response.ok() ? exchange.response->status : 0;
    }

    /** The executor's process ends: its connections are closed, and nothing listens at its address any more. */
    void endExecutor()
    {
        m_hasExecutorEnded = true;
        runOn(context, m_executorServer->drain(runtime::Clock::now() + 5s));
    }

    /** A connection to the agent as its executor has it. */
    boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address(m_settings.http.host), m_settings.http.port});
        return socket;
    }

    /** Returns a flag that is set when the stop has ended. */
    std::shared_ptr<bool> startStop()
    {
        auto hasEnded = std::make_shared<bool>(false);
        boost::asio::co_spawn(context, m_agent->stop(), [hasEnded](const std::exception_ptr &) {
            *hasEnded = true;
        });
        return hasEnded;
    }

    void runFor(std::chrono::milliseconds time)
    {
        runOn(context, runtime::sleepFor(time));
    }
    /** Runs until the condition holds; fails after a time that is ample on a busy machine. */
    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto deadline = runtime::Clock::now() + 30s;
        while (!condition()) {
            REQUIRE(runtime::Clock::now() < deadline);
            runFor(2ms);
        }
    }

    /** The incarnation of which the agent told the leader last. */
    [[nodiscard]] batch::HostIncarnation reported() const
    {
        return calls.empty() ? batch::HostIncarnation() : calls.back().report.incarnation;
    }

    boost::asio::io_context context{1};
    /** The executor's present incarnation. */
    std::string instance = "i-1";
    std::uint64_t born = 1'000'000;
    /** The highest fencing token that it has seen. */
    std::uint64_t highestToken = 0;
    std::vector<batch::SyncCall> calls;

private:
    boost::asio::awaitable<http::Response> answerOrder(http::Request request)
    {
        if (m_hasExecutorEnded) {
            http::Response none;
            none.status = http::NoAnswer;
            co_return none;
        }
        const Json wanted = Json::parse(request.body);
        Json reply{{"ClockMs", 1000}, {"born", born}};
        if (request.header("X-Plantainfork-Expected-Instance") != instance) {
            co_return http::Response::json(421, reply.dump());
        }
        const auto token = wanted.value("FencingToken", std::uint64_t{0});
        if (token < highestToken) {
            reply["Reason"] = "fence";
            co_return http::Response::json(409, reply.dump());
        }
        highestToken = token;
        co_await runtime::sleepFor(std::chrono::milliseconds(std::min<std::int64_t>(wanted.value("WaitMs", std::int64_t{0}), 50)));
        reply["Running"] = Json::array();
        reply["Finished"] = Json::array();
        co_return http::Response::json(200, reply.dump());
    }

    std::uint16_t freePort()
    {
        auto server = http::Server::create(context.get_executor(), "127.0.0.1", 0, {}, {});
        REQUIRE(server.ok());
        return (*server)->port();
    }

    batch::Settings m_settings;
    std::unique_ptr<http::Server> m_executorServer;
    bool m_hasExecutorEnded = false;
    std::unique_ptr<rpc::Server> m_leader;
    std::unique_ptr<platform::Agent> m_agent;
    std::unique_ptr<http::Client> m_heartbeats;
};

} // namespace plantainfork::tests
