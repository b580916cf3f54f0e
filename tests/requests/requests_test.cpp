#include <catch2/catch.hpp>

#include "requests/cluster.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::Cluster;
using tests::Host;
using tests::outcomeOf;

using tests::FakeStore;

TEST_CASE("A request is answered by an executor of its service with the complete body")
{
    Cluster cluster(2);
    const auto response = cluster.send(Cluster::request("count", "a", 5s));
    REQUIRE(outcomeOf(response) == "answered");
    REQUIRE(response.status == 200);
    REQUIRE(response.body.ends_with(":body of a"));
    REQUIRE(cluster.runs("a") == 1);
}

TEST_CASE("Invalid requests are rejected as not run")
{
    Cluster cluster(1);
    auto unknownTemplate = Cluster::request("none", "a", 5s);
    REQUIRE(cluster.send(unknownTemplate).status == 404);
    auto missingWorkspace = Cluster::request("count", "a", 5s);
    missingWorkspace.headers.erase(missingWorkspace.headers.begin());
    REQUIRE(cluster.send(missingWorkspace).status == 400);
    auto missingId = Cluster::request("mark", "", 5s);
    const auto response = cluster.send(missingId);
    REQUIRE(response.status == 400);
    REQUIRE(outcomeOf(response) == "not-run");
}

TEST_CASE("A request to a service without executors is reported as not run at the deadline")
{
    Cluster cluster(0);
    const auto response = cluster.send(Cluster::request("count", "a", 50ms));
    REQUIRE(outcomeOf(response) == "not-run");
    REQUIRE(response.status == 503);
}

TEST_CASE("An idempotent request is retried on another executor when the first fails")
{
    Cluster cluster(2);
    // Fills the retry budget needed below.
    for (int i = 0; i < 40; ++i) {
        cluster.send(Cluster::request("count", "warm", 5s));
    }
    cluster.hosts[0]->behaviour = Host::Behaviour::Fails;
    for (int i = 0; i < 10; ++i) {
        REQUIRE(cluster.send(Cluster::request("count", "b", 5s)).status == 200);
    }
}

TEST_CASE("A frozen executor delays an idempotent request only until another answers")
{
    Cluster cluster(2);
    for (int i = 0; i < 40; ++i) {
        cluster.send(Cluster::request("count", "warm", 5s));
    }
    cluster.hosts[0]->behaviour = Host::Behaviour::Freezes;
    for (int i = 0; i < 10; ++i) {
        REQUIRE(cluster.send(Cluster::request("count", "b", 60s)).status == 200);
    }
}

TEST_CASE("An agent never runs more attempts than its executor has slots")
{
    Cluster cluster(1, 2);
    cluster.hosts[0]->delay = 10ms;
    std::vector<std::shared_ptr<std::optional<http::Response>>> answers;
    for (int i = 0; i < 20; ++i) {
        answers.push_back(cluster.begin(Cluster::request("count", std::to_string(i), 10s)));
    }
    for (const auto &answer : answers) {
        cluster.runUntil([&] {
            return answer->has_value();
        });
        REQUIRE((*answer)->status == 200);
    }
    REQUIRE(cluster.hosts[0]->maxRunning == 2);
}

TEST_CASE("A non-idempotent request is claimed in the store before it runs, and a repeat returns the stored answer")
{
    Cluster cluster(2, 8, 2);
    const auto first = cluster.send(Cluster::request("mark", "m", 5s), 0);
    REQUIRE(cluster.store.entries().size() == 1);
    const auto repeat = cluster.send(Cluster::request("mark", "m", 5s), 1);
    REQUIRE(outcomeOf(first) == "answered");
    REQUIRE(outcomeOf(repeat) == "answered");
    REQUIRE(repeat.body == first.body);
    REQUIRE(cluster.runs("m") == 1);
}

TEST_CASE("A repeat submitted while the first submission is running waits for its answer")
{
    Cluster cluster(2, 8, 2);
    cluster.hosts[0]->delay = 50ms;
    cluster.hosts[1]->delay = 50ms;
    const auto first = cluster.begin(Cluster::request("mark", "m", 5s), 0);
    cluster.runUntil([&] {
        return cluster.runs("m") == 1;
    });
    const auto repeat = cluster.send(Cluster::request("mark", "m", 5s), 1);
    REQUIRE(outcomeOf(repeat) == "answered");
    REQUIRE(cluster.runs("m") == 1);
}

TEST_CASE("A repeat after the agent was restarted is reported as unknown")
{
    Cluster cluster(1, 8, 2);
    cluster.send(Cluster::request("mark", "m", 5s), 0);
    cluster.hosts[0]->startAgent(base::Incarnation(2));
    cluster.publishMembers();
    const auto repeat = cluster.send(Cluster::request("mark", "m", 300ms), 1);
    REQUIRE(outcomeOf(repeat) == "unknown");
    REQUIRE(cluster.runs("m") == 1);
}

TEST_CASE("After the answer to a claim write is lost, the claim is read back and the request runs once")
{
    Cluster cluster(2);
    cluster.store.mode = FakeStore::Mode::LosesAnswers;
    const auto answer = cluster.begin(Cluster::request("mark", "m", 10s));
    cluster.runUntil([&] {
        return cluster.store.entries().size() == 1;
    });
    cluster.store.mode = FakeStore::Mode::Up;
    cluster.runUntil([&] {
        return answer->has_value();
    });
    REQUIRE(outcomeOf(**answer) == "answered");
    REQUIRE(cluster.runs("m") == 1);
}

TEST_CASE("While the store is down, a non-idempotent request waits until its deadline and is not run")
{
    Cluster cluster(2);
    cluster.store.mode = FakeStore::Mode::Down;
    const auto response = cluster.send(Cluster::request("mark", "m", 700ms));
    REQUIRE(outcomeOf(response) == "not-run");
    REQUIRE(cluster.runs("m") == 0);
    // Idempotent requests do not depend on the store.
    REQUIRE(outcomeOf(cluster.send(Cluster::request("count", "c", 1s))) == "answered");
}

TEST_CASE("After a lost dispatch the request is barred at its agent before it is sent to another")
{
    Cluster cluster(2);
    cluster.hosts[0]->dropsCalls = true;
    for (const std::string id : {"a", "b", "c", "d"}) {
        REQUIRE(outcomeOf(cluster.send(Cluster::request("mark", id, 5s))) == "answered");
        REQUIRE(cluster.runs(id) == 1);
    }
}

TEST_CASE("After a lost reply the answer is fetched from the agent without a second run")
{
    Cluster cluster(1);
    cluster.hosts[0]->dropsReplies = true;
    const auto response = cluster.send(Cluster::request("mark", "m", 5s));
    REQUIRE(outcomeOf(response) == "answered");
    REQUIRE(cluster.runs("m") == 1);
}

TEST_CASE("A draining entry refuses new requests and finishes those in flight")
{
    Cluster cluster(1);
    cluster.hosts[0]->delay = 50ms;
    const auto inFlight = cluster.begin(Cluster::request("count", "a", 5s));
    cluster.runUntil([&] {
        return cluster.runs("a") == 1;
    });
    REQUIRE(tests::runOn(cluster.context, cluster.entries[0]->drain(runtime::Clock::now() + 5s)) == 0);
    REQUIRE(outcomeOf(**inFlight) == "answered");
    REQUIRE(outcomeOf(cluster.send(Cluster::request("count", "b", 5s))) == "not-run");
}

TEST_CASE("An agent refuses calls addressed to another of its incarnations")
{
    Cluster cluster(1);
    wire::ExecuteCall attempt;
    attempt.agentIncarnation = base::Incarnation(7);
    attempt.service = base::ServiceId("herd-ledger");
    attempt.requestId = base::RequestId("m");
    attempt.remaining = 5s;
    const auto refused = tests::runOn(cluster.context, cluster.hosts[0]->agent().execute(attempt));
    REQUIRE(refused->outcome == wire::Outcome::NotRun);
    REQUIRE(cluster.runs("m") == 0);
    wire::SettleCall settleCall;
    settleCall.agentIncarnation = base::Incarnation(7);
    settleCall.requestId = base::RequestId("m");
    REQUIRE(tests::runOn(cluster.context, cluster.hosts[0]->agent().settle(settleCall))->state == wire::AttemptState::Forgotten);
}

TEST_CASE("A leaving target finishes its attempts and receives no new ones")
{
    Cluster cluster(2);
    cluster.hosts[0]->delay = 50ms;
    cluster.hosts[1]->delay = 50ms;
    const auto inFlight = cluster.begin(Cluster::request("count", "a", 5s));
    cluster.runUntil([&] {
        return cluster.runs("a") == 1;
    });
    Host &leaving = *cluster.hosts[cluster.hosts[0]->runs.contains("a") ? 0 : 1];
    leaving.setState(targets::TargetState::Leaving);
    for (int i = 0; i < 10; ++i) {
        REQUIRE(outcomeOf(cluster.send(Cluster::request("mark", "m" + std::to_string(i), 5s))) == "answered");
    }
    REQUIRE(leaving.runs.size() == 1);
    REQUIRE(outcomeOf(**inFlight) == "answered");
}

TEST_CASE("An agent runs as many attempts as it has slots, queues as many again and refuses the rest, whatever entries send")
{
    Cluster cluster(1, 2);
    Host &host = *cluster.hosts[0];
    host.delay = 30ms;
    std::vector<wire::ExecuteReply> replies;
    for (int i = 0; i < 7; ++i) {
        wire::ExecuteCall attempt;
        attempt.agentIncarnation = host.incarnation;
        attempt.service = base::ServiceId("herd-ledger");
        attempt.requestId = base::RequestId(std::to_string(i));
        attempt.remaining = 5s;
        attempt.path = "/";
        boost::asio::co_spawn(cluster.context, host.agent().execute(attempt), [&](const std::exception_ptr &, absl::StatusOr<wire::ExecuteReply> reply) {
            replies.push_back(*reply);
        });
    }
    cluster.runUntil([&] {
        return replies.size() == 7;
    });
    const auto refused = std::count_if(replies.begin(), replies.end(), [](const wire::ExecuteReply &reply) {
        return reply.outcome == wire::Outcome::NotRun && reply.refusal == wire::Refusal::Busy;
    });
    REQUIRE(refused == 3);
    REQUIRE(host.maxRunning == 2);
}
