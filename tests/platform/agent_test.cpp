/** Which heartbeats and goodbyes an agent takes for those of its executor. */
#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "platform/agent_fixture.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::PlatformAgentFixture;

namespace
{

constexpr std::uint64_t LaterBirth = 2'000'000;

/** The agent knows its executor as i-1. */
void announceExecutor(PlatformAgentFixture &agent)
{
    REQUIRE(agent.send("i-1", agent.heartbeat(1).dump()) == 200);
    agent.runUntil([&] {
        return agent.reported().instance == "i-1";
    });
}

} // namespace

// Guards against work that runs twice: another writer's heartbeat was taken for the executor's next life, and its runs were given up.
TEST_CASE("A heartbeat of another writer doesn't end what is known of the executor")
{
    PlatformAgentFixture agent;
    announceExecutor(agent);
    auto body = agent.heartbeat(1);
    body["born"] = LaterBirth;
    std::string id = "i-other-1";
    SECTION("of another service and address")
    {
        body["Service"] = "no-such-service";
        body["Addr"] = "127.0.0.1:9";
    }
    SECTION("of another service")
    {
        body["Service"] = "no-such-service";
    }
    SECTION("that differs by its id alone")
    {
    }
    SECTION("under the executor's own id")
    {
        id = "i-1";
    }
    SECTION("under the executor's own id and birth, of another service")
    {
        id = "i-1";
        body["born"] = agent.born;
        body["Seq"] = 1'000'000;
        body["Service"] = "no-such-service";
    }
    SECTION("under the executor's own id and birth, of another address")
    {
        id = "i-1";
        body["born"] = agent.born;
        body["Seq"] = 1'000'000;
        body["Addr"] = "127.0.0.1:9";
    }
    agent.send(id, body.dump());
    agent.calls.clear();
    agent.runFor(300ms);
    REQUIRE(agent.reported() == batch::HostIncarnation{"i-1", agent.born});
    for (const auto &call : agent.calls) {
        REQUIRE(call.report.incarnation == batch::HostIncarnation{"i-1", agent.born});
    }
    // The executor's own heartbeats still count.
    auto draining = agent.heartbeat(2);
    draining["State"] = "draining";
    REQUIRE(agent.send("i-1", draining.dump()) == 200);
    agent.runUntil([&] {
        return agent.calls.back().report.isDraining;
    });
}

// Guards against a host that stays unusable: incarnations were ordered by the time of day at their start, which may jump back.
TEST_CASE("An executor's next incarnation is known though its clock was set back")
{
    PlatformAgentFixture agent;
    announceExecutor(agent);
    agent.instance = "i-2";
    agent.born -= 5000;
    REQUIRE(agent.send("i-2", agent.heartbeat(1).dump()) == 200);
    agent.runUntil([&] {
        return agent.reported() == batch::HostIncarnation{"i-2", agent.born};
    });
}

// Guards against work that is given up: an agent that has just restarted took a delayed heartbeat for one of the present incarnation.
TEST_CASE("A delayed heartbeat of an earlier incarnation isn't taken by an agent that knows none")
{
    PlatformAgentFixture agent;
    const auto delayed = agent.heartbeat(9);
    agent.born += 5000;
    std::string id = "i-1";
    SECTION("of another id")
    {
        agent.instance = "i-2";
    }
    SECTION("of the same id")
    {
    }
    SECTION("of the same id, to an executor that has seen the leader's token")
    {
        agent.highestToken = 7;
    }
    agent.send(id, delayed.dump());
    agent.runFor(300ms);
    for (const auto &call : agent.calls) {
        REQUIRE_FALSE(call.hasReport);
    }
    agent.send(agent.instance, agent.heartbeat(1).dump());
    agent.runUntil([&] {
        return agent.reported() == batch::HostIncarnation{agent.instance, agent.born};
    });
}

// Guards against work that runs twice: a goodbye that came late, or from another writer, ended what is known of an executor that works on.
TEST_CASE("A goodbye under the executor's id doesn't end what is known of it while it answers")
{
    PlatformAgentFixture agent;
    announceExecutor(agent);
    agent.runUntil([&] {
        return agent.calls.back().isExecutorReached;
    });
    REQUIRE(agent.sendGoodbye("i-1") == 200);
    agent.calls.clear();
    agent.runFor(1500ms);
    REQUIRE_FALSE(agent.calls.empty());
    for (const auto &call : agent.calls) {
        REQUIRE_FALSE(call.report.hasLeft);
        REQUIRE(call.isExecutorReached);
    }
}

TEST_CASE("An executor has left once nothing listens at its address after its goodbye")
{
    PlatformAgentFixture agent;
    announceExecutor(agent);
    REQUIRE(agent.sendGoodbye("i-1") == 200);
    agent.runUntil([&] {
        return agent.calls.back().report.isLeaving;
    });
    agent.endExecutor();
    agent.runUntil([&] {
        return agent.calls.back().report.hasLeft;
    });
}

TEST_CASE("A goodbye counts for nothing once the executor has answered for longer than an end takes")
{
    PlatformAgentFixture agent;
    announceExecutor(agent);
    REQUIRE(agent.sendGoodbye("i-1") == 200);
    agent.runUntil([&] {
        return agent.calls.back().report.isLeaving;
    });
    agent.runUntil([&] {
        return !agent.calls.back().report.isLeaving;
    });
    REQUIRE_FALSE(agent.calls.back().report.hasLeft);
}

TEST_CASE("An agent that stops answers the heartbeat that it is reading")
{
    PlatformAgentFixture agent;
    announceExecutor(agent);
    auto executor = agent.connect();
    const std::string body = agent.heartbeat(2).dump();
    boost::asio::write(
        executor,
        boost::asio::buffer("POST /plantainfork/instances/i-1/heartbeat HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"));
    agent.runFor(20ms);
    const auto hasStopped = agent.startStop();
    agent.runFor(20ms);
    CHECK_FALSE(*hasStopped);
    boost::asio::write(executor, boost::asio::buffer(body));
    agent.runUntil([&] {
        return *hasStopped;
    });
    std::string received;
    boost::system::error_code ended;
    boost::asio::read(executor, boost::asio::dynamic_buffer(received), ended);
    CHECK(received.rfind("HTTP/1.1 200", 0) == 0);
}
