/** A real daemon as a process of its own, beside a stand-in of the store, for tests that press on its listeners. */
#pragma once

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "http/client.h"
#include "platform/soak/callers.h"
#include "platform/soak/store.h"
#include "runtime/timer.h"
#include "scenario/process.h"
#include "standins/program.h"
#include "support/run.h"

namespace plantainfork::tests
{

struct DaemonProcess {
    /**
     * Starts the daemon and waits until it answers ordinary requests. The settings are lines of TOML besides the addresses; the policy has so
     * many workspaces more than the soak's.
     */
    DaemonProcess(std::string givenRole, const std::string &settings, unsigned workspaces = 0)
        : role(std::move(givenRole))
        , path(role == "entry" ? "/proof/0000000000000001" : "/plantainfork/instances/i-1/heartbeat")
        , store(context.get_executor())
        , storeServer(standins::listen(context,
                                       {"127.0.0.1", 0},
                                       [this](http::Request request) {
                                           return store.answer(std::move(request));
                                       }))
        , http(freeAddress())
        , metrics(freeAddress())
        , folder(std::filesystem::temp_directory_path() / ("daemon-process-" + std::to_string(::getpid())))
    {
        boost::asio::co_spawn(context, store.expireLeases(), boost::asio::detached);
        putPolicy(workspaces);
        std::filesystem::create_directories(folder);
        std::ofstream(folder / "daemon.toml") << "role = \"" << role << "\"\nid = \"" << role << "-1\"\nregion = \"lima\"\ndata_centre = \"lima-a\"\nrpc = \""
                                              << freeAddress().text() << "\"\nhttp = \"" << http.text() << "\"\nmetrics = \"" << metrics.text()
                                              << "\"\nstore = \"127.0.0.1:" << storeServer->port() << "\"\nentries = []\n"
                                              << (role == "entry" ? "readiness = \"" + freeAddress().text() + "\"\n" : "executor = \"127.0.0.1:9\"\n")
                                              << settings;
        scenario::Command command;
        const auto bin = std::filesystem::canonical("/proc/self/exe").parent_path();
        command.arguments = {bin / "plantainfork-batchd", "--settings=" + (folder / "daemon.toml").string()};
        command.logFile = (folder / "daemon.log").string();
        m_probes.clear();
        REQUIRE(process.start(command).ok());
        pid = process.pid();
        awaitService();
    }
    ~DaemonProcess()
    {
        std::filesystem::remove_all(folder);
    }
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    static std::string keyOf(unsigned workspace)
    {
        return "key-" + std::to_string(workspace);
    }

    /** Sends an ordinary request on a connection of its own: a caller's, or an executor's announcement. 0: no answer. */
    boost::asio::awaitable<unsigned> ask(std::string key = "club-key")
    {
        http::Client client(context.get_executor(), http.host, http.port, 1);
        http::Request request;
        request.method = role == "entry" ? "GET" : "POST";
        request.target = role == "entry" ? "/proof/" : path;
        request.headers = {{"Host", "proof.example"}, {"X-Api-Key", std::move(key)}};
        const auto exchange = co_await client.send(std::move(request), runtime::Clock::now() + Patience);
        co_return exchange.response.ok() ? exchange.response->status : 0;
    }

    /** Length of the metrics page; 0: no answer. */
    boost::asio::awaitable<std::size_t> readMetrics()
    {
        http::Client client(context.get_executor(), metrics.host, metrics.port, 1);
        http::Request request;
        request.target = "/metrics";
        request.headers = {{"Host", "metrics.example"}};
        const auto exchange = co_await client.send(std::move(request), runtime::Clock::now() + Patience);
        co_return exchange.response.ok() ? exchange.response->body.size() : 0;
    }

    /** Largest resident memory so far, in KiB; 0 if the process is gone. */
    [[nodiscard]] std::size_t peakKib() const
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/status");
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        const std::string key = "VmHWM:";
        const auto line = text.find(key);
        return line == std::string::npos ? 0 : std::stoul(text.substr(line + key.size()));
    }

    /** Open descriptors; 0 if the process is gone. */
    [[nodiscard]] std::size_t descriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", error);
        return error ? 0 : static_cast<std::size_t>(std::distance(entries, {}));
    }

    boost::asio::io_context context;
    const std::string role;
    /** Where callers, or the executor, POST. */
    const std::string path;
    /** Keep the addresses that were found free from being found again, until the process takes them. */
    std::vector<boost::asio::ip::tcp::acceptor> m_probes;
    soak::Store store;
    std::unique_ptr<http::Server> storeServer;
    const standins::Endpoint http;
    const standins::Endpoint metrics;
    const std::filesystem::path folder;
    scenario::Process process;
    /** Of the one process that this started. */
    pid_t pid = 0;

private:
    static constexpr std::chrono::milliseconds Patience{5000};
    static constexpr std::chrono::milliseconds StartLimit{60'000};

    standins::Endpoint freeAddress()
    {
        const auto &probe = m_probes.emplace_back(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        return {"127.0.0.1", probe.local_endpoint().port()};
    }

    void putPolicy(unsigned workspaces)
    {
        auto policy = nlohmann::json::parse(soak::Callers::policy(1, 0));
        for (unsigned i = 0; i < workspaces; ++i) {
            policy["Tenants"].push_back({{"Name", "workspace-" + std::to_string(i)}, {"ApiKeys", {keyOf(i)}}});
        }
        store.put("op/config", policy.dump());
    }

    void awaitService()
    {
        // An entry knows the policy and its leader once it answers with a count; an agent refuses an announcement without a body.
        const unsigned served = role == "entry" ? 200 : 400;
        const auto limit = runtime::Clock::now() + StartLimit;
        while (runOn(context, ask()) != served) {
            REQUIRE(process.isRunning());
            REQUIRE(runtime::Clock::now() < limit);
            runOn(context, runtime::sleepFor(std::chrono::milliseconds(20)));
        }
    }
};

} // namespace plantainfork::tests
