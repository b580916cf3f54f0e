/** Signals that reach the daemon's process while it starts, and more than one while it stops. */
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <unistd.h>

#include <boost/asio/io_context.hpp>

#include "runtime/timer.h"
#include "scenario/process.h"
#include "standins/program.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

/** The process of an agent that reaches neither its executor nor the store. */
struct AgentProcess {
    AgentProcess()
        : folder(std::filesystem::temp_directory_path() / ("daemon-signals-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(folder);
        std::ofstream(folder / "agent.toml") << "role = \"agent\"\nid = \"side-1\"\nregion = \"lima\"\ndata_centre = \"lima-a\"\nrpc = \"" << freeAddress()
                                             << "\"\nhttp = \"" << freeAddress() << "\"\nexecutor = \"127.0.0.1:9\"\nstore = \"127.0.0.1:9\"\n";
        scenario::Command command;
        const auto bin = std::filesystem::canonical("/proc/self/exe").parent_path();
        command.arguments = {bin / "plantainfork-batchd", "--settings=" + (folder / "agent.toml").string()};
        command.logFile = (folder / "agent.log").string();
        REQUIRE(process.start(command).ok());
    }
    ~AgentProcess()
    {
        std::filesystem::remove_all(folder);
    }
    AgentProcess(const AgentProcess &) = delete;
    AgentProcess &operator=(const AgentProcess &) = delete;

    std::string freeAddress()
    {
        const auto server = standins::listen(context, {"127.0.0.1", 0}, {});
        return standins::Endpoint{"127.0.0.1", server->port()}.text();
    }

    [[nodiscard]] std::string log() const
    {
        std::ifstream file(folder / "agent.log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    /** Waits for the event, looking so often that what follows it at once has hardly begun. */
    void awaitEvent(const std::string &event)
    {
        const auto deadline = runtime::Clock::now() + 30s;
        while (log().find("event=\"" + event + "\"") == std::string::npos) {
            REQUIRE(runtime::Clock::now() < deadline);
            ::usleep(50);
        }
    }

    /** The exit code, or 128 plus the signal that ended it; -1 if it doesn't end. */
    boost::asio::awaitable<int> awaitEnd()
    {
        const auto code = co_await process.end(10s);
        co_return code.ok() ? *code : -1;
    }
    int endCode()
    {
        return tests::runOn(context, awaitEnd());
    }

    boost::asio::io_context context;
    std::filesystem::path folder;
    scenario::Process process;
};

} // namespace

TEST_CASE("A signal that comes while the daemon starts is handled once it runs")
{
    for (int i = 0; i < 10; ++i) {
        AgentProcess agent;
        agent.awaitEvent("daemon starting");
        REQUIRE(agent.process.signal(SIGHUP).ok());
        REQUIRE(agent.process.signal(SIGTERM).ok());
        CHECK(agent.endCode() == 0);
        CHECK(agent.log().find("daemon stopped") != std::string::npos);
    }
}

TEST_CASE("Another signal to stop doesn't end a stop sooner")
{
    AgentProcess agent;
    agent.awaitEvent("agent listening");
    for (int i = 0; i < 5; ++i) {
        static_cast<void>(agent.process.signal(SIGTERM));
        static_cast<void>(agent.process.signal(SIGHUP));
    }
    CHECK(agent.endCode() == 0);
    CHECK(agent.log().find("daemon stopped") != std::string::npos);
}
