/** Runs entries and agents in one process over loopback, with an in-memory store shared by the entries. */
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "membership/agent_control.h"
#include "membership/entry_control.h"
#include "support/memory_store.h"
#include "support/run.h"

namespace plantainfork::tests
{

/** RPC server, channels and metrics of an entry or agent. */
struct ControlHost {
    ControlHost(boost::asio::io_context &context, settings::Settings givenSettings)
        : settings(std::move(givenSettings))
        , channels(context.get_executor(), limits())
        , server(std::move(*rpc::Server::create(context.get_executor(), "127.0.0.1", settings.rpc.port, limits())))
    {
        settings.rpc = {"127.0.0.1", server->port()};
    }

    static rpc::Limits limits()
    {
        return {};
    }

    settings::Settings settings;
    metrics::Registry registry;
    rpc::ChannelPool channels;
    std::unique_ptr<rpc::Server> server;
};

struct EntryHost : ControlHost {
    EntryHost(boost::asio::io_context &context, settings::Settings givenSettings, std::shared_ptr<MemoryData> data, std::uint64_t incarnation)
        : ControlHost(context, std::move(givenSettings))
        , store(std::move(data))
        , control(context.get_executor(), settings, base::Incarnation(incarnation), store, channels, *server, registry)
    {
        server->start();
        control.start();
    }

    MemoryStore store;
    membership::BasicEntryControl<MemoryStore> control;
};

struct AgentHost : ControlHost {
    AgentHost(boost::asio::io_context &context, settings::Settings givenSettings, std::uint64_t incarnation)
        : ControlHost(context, std::move(givenSettings))
        , ownedControl(
              std::make_unique<membership::AgentControl>(context.get_executor(), settings, base::Incarnation(incarnation), channels, *server, registry))
        , control(*ownedControl)
    {
        server->start();
        control.start();
    }

    /** Destroyed when the agent is killed. */
    std::unique_ptr<membership::AgentControl> ownedControl;
    membership::AgentControl &control;
};

/** Data members are declared in this order so that hosts are destroyed before the context that they run on. */
class ControlCluster
{
public:
    ControlCluster(std::size_t entryCount, std::size_t agentCount, unsigned fanOut = 32)
        : m_fanOut(fanOut)
        , data(std::make_shared<MemoryData>())
    {
        for (std::size_t i = 0; i < entryCount; ++i) {
            m_entryAddresses.push_back({"127.0.0.1", freePort()});
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            startEntry(i);
        }
        for (std::size_t i = 0; i < agentCount; ++i) {
            agents.push_back(nullptr);
            startAgent(i);
        }
    }

    ~ControlCluster()
    {
        context.stop();
    }

    void startEntry(std::size_t i)
    {
        settings::Settings settings = baseSettings(wire::MemberRole::Entry, "entry-" + std::to_string(i));
        settings.rpc = m_entryAddresses.at(i);
        if (entries.size() <= i) {
            entries.resize(i + 1);
        }
        entries[i] = std::make_unique<EntryHost>(context, std::move(settings), data, ++m_lastIncarnation);
    }

    void startAgent(std::size_t i, std::size_t dataCentres = 1)
    {
        settings::Settings settings = baseSettings(wire::MemberRole::Agent, "agent-" + std::to_string(i));
        settings.dataCentre = base::DataCentreId("lima-" + std::to_string(i % dataCentres));
        agents[i] = std::make_unique<AgentHost>(context, std::move(settings), ++m_lastIncarnation);
    }

    /** Stops an agent without announcing that it leaves. The objects that its coroutines refer to are kept. */
    void killAgent(std::size_t i)
    {
        AgentHost &host = *agents[i];
        host.ownedControl.reset();
        boost::asio::co_spawn(context, host.server->drain(runtime::Clock::now()), [](const std::exception_ptr &, std::size_t) {});
        m_killedAgents.push_back(std::move(agents[i]));
    }

    /** Runs until the condition holds. Returns false if it doesn't within `limit` of real time. */
    template<typename Condition>
    bool runUntil(Condition condition, std::chrono::milliseconds limit = std::chrono::seconds(20))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        context.restart();
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            context.run_one_for(std::chrono::milliseconds(10));
        }
        return true;
    }

    http::Response sendOperatorRequest(std::size_t entry, http::Request request)
    {
        return runOn(context, entries[entry]->control.handleOperator(std::move(request)));
    }

    http::Response setMode(std::size_t entry, const std::string &dataCentre, const std::string &mode)
    {
        return sendOperatorRequest(entry, {"PUT", "/v1/datacentres/" + dataCentre, {}, R"({"region":"lima","mode":")" + mode + "\"}"});
    }

    [[nodiscard]] bool allAgents(const std::function<bool(const AgentHost &)> &condition) const
    {
        return std::all_of(agents.begin(), agents.end(), [&condition](const auto &agent) {
            return !agent || condition(*agent);
        });
    }

private:
    const unsigned m_fanOut;
    std::uint64_t m_lastIncarnation = 0;
    std::vector<wire::Address> m_entryAddresses;
    std::vector<std::unique_ptr<AgentHost>> m_killedAgents;

    [[nodiscard]] settings::Settings baseSettings(wire::MemberRole role, const std::string &id) const
    {
        settings::Settings settings;
        settings.role = role;
        settings.id = base::MemberId(id);
        settings.region = base::RegionId("lima");
        settings.dataCentre = base::DataCentreId("lima-0");
        settings.entries = m_entryAddresses;
        settings.fanOut = m_fanOut;
        return settings;
    }

    static std::uint16_t freePort()
    {
        boost::asio::io_context scratch;
        boost::asio::ip::tcp::acceptor acceptor(scratch, {boost::asio::ip::address_v4::loopback(), 0});
        return acceptor.local_endpoint().port();
    }

public:
    boost::asio::io_context context;
    std::shared_ptr<MemoryData> data;
    std::vector<std::unique_ptr<EntryHost>> entries;
    std::vector<std::unique_ptr<AgentHost>> agents;
};

} // namespace plantainfork::tests
