/** Jobs of one region from submission to the closed record, with failures of entries, agents and the store. */
#include <catch2/catch.hpp>

#include <set>
#include <string>

#include "jobs/cluster.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

const std::string Submission = R"({"workspace":"atlas","template":"reconcile","id":"close-1","runTimeMs":2000})";

} // namespace

TEST_CASE("A gang starts once on each member, with three writes to the store")
{
    tests::Cluster cluster;
    cluster.entries[0]->service->start();
    cluster.advanceUntil(
        [] {
            return false;
        },
        1s);
    const int writesBefore = cluster.entries[0]->store.writes();
    REQUIRE(cluster.send(0, "POST", "/v1/jobs", Submission).status == 202);
    REQUIRE(cluster.advanceUntil([&] {
        return cluster.stateOf("close-1") == "finished";
    }));
    REQUIRE(cluster.runs.startsOf("close-1") == 2);
    REQUIRE(cluster.entries[0]->store.writes() - writesBefore == 3);
    // The closed record still explains the placement.
    const auto explanation = nlohmann::json::parse(cluster.send(1, "GET", "/v1/jobs/close-1/explain").body);
    REQUIRE(explanation["explanations"][0]["placement"].size() == 2);
    REQUIRE_FALSE(explanation["explanations"][0]["text"].get<std::string>().empty());
}

TEST_CASE("An entry that isn't the leader forwards a job")
{
    tests::Cluster cluster;
    cluster.entries[0]->service->start();
    cluster.advanceUntil(
        [] {
            return false;
        },
        1s);
    cluster.entries[1]->service->start();
    REQUIRE(cluster.send(1, "POST", "/v1/jobs", Submission).status == 202);
    REQUIRE(cluster.advanceUntil([&] {
        return cluster.stateOf("close-1", 1) == "finished";
    }));
}

TEST_CASE("A repeated submission is one job, and other work under its id is refused")
{
    tests::Cluster cluster;
    REQUIRE(cluster.send(0, "POST", "/v1/jobs", Submission).status == 202);
    REQUIRE(cluster.send(1, "POST", "/v1/jobs", Submission).status == 202);
    const auto other = cluster.send(1, "POST", "/v1/jobs", R"({"workspace":"atlas","template":"reconcile","id":"close-1","runTimeMs":7})");
    REQUIRE(other.status == 409);
    REQUIRE(other.header("Plantainfork-Outcome") == "not-run");
}

TEST_CASE("A submission whose answer from the store is lost is accepted, and runs once")
{
    tests::Cluster cluster;
    cluster.entries[0]->store.loseAnswers(1);
    cluster.entries[0]->service->start();
    REQUIRE(cluster.send(0, "POST", "/v1/jobs", Submission).status == 202);
    REQUIRE(cluster.advanceUntil([&] {
        return cluster.stateOf("close-1") == "finished";
    }));
    REQUIRE(cluster.runs.startsOf("close-1") == 2);
}

TEST_CASE("With the store down a submission is answered with not-run, and never runs")
{
    tests::Cluster cluster;
    cluster.entries[0]->service->start();
    cluster.advanceUntil(
        [] {
            return false;
        },
        1s);
    cluster.entries[0]->store.setDown(true);
    const auto answer = cluster.send(0, "POST", "/v1/jobs", Submission);
    REQUIRE(answer.status == 503);
    REQUIRE(answer.header("Plantainfork-Outcome") == "not-run");
    cluster.entries[0]->store.setDown(false);
    REQUIRE_FALSE(cluster.advanceUntil(
        [&] {
            return cluster.runs.startsOf("close-1") > 0;
        },
        20s));
}

TEST_CASE("A new leader takes over a running gang without starting it again")
{
    tests::Cluster cluster;
    cluster.entries[0]->service->start();
    cluster.advanceUntil(
        [] {
            return false;
        },
        1s);
    REQUIRE(cluster.send(0, "POST", "/v1/jobs", R"({"workspace":"atlas","template":"reconcile","id":"long","runTimeMs":40000})").status == 202);
    REQUIRE(cluster.advanceUntil([&] {
        return cluster.runs.startsOf("long") == 2;
    }));
    cluster.entries[0]->store.setDown(true);
    cluster.entries[1]->service->start();
    REQUIRE(cluster.advanceUntil(
        [&] {
            return cluster.stateOf("long", 1) == "finished";
        },
        120s));
    REQUIRE(cluster.runs.startsOf("long") == 2);
}

TEST_CASE("A gang that loses a member is stopped on all members and runs again from its checkpoint")
{
    tests::Cluster cluster(3);
    cluster.entries[0]->service->start();
    cluster.advanceUntil(
        [] {
            return false;
        },
        1s);
    REQUIRE(cluster.send(0, "POST", "/v1/jobs", R"({"workspace":"atlas","template":"reconcile","id":"long","runTimeMs":60000})").status == 202);
    REQUIRE(cluster.advanceUntil([&] {
        return cluster.runs.startsOf("long") == 2;
    }));
    cluster.advanceUntil(
        [] {
            return false;
        },
        5s);
    const auto view = cluster.members.load();
    membership::MemberView remainingMembers = *view;
    // Agent and worker disappear together, as in a host failure.
    const auto &lostWorker = cluster.workers[0];
    tests::runOn(cluster.context, [](jobs::GangAgent *agent) -> boost::asio::awaitable<void> {
        wire::StopCall stop;
        stop.token = base::FencingToken(1'000'000);
        stop.attempt = {base::JobId("long"), 1};
        co_await agent->stop(stop);
    }(lostWorker->agent.get()));
    lostWorker->setTargetState(targets::TargetState::Absent);
    remainingMembers.members.erase(lostWorker->record.id);
    std::erase_if(remainingMembers.workers, [&lostWorker](const wire::MemberRecord &record) {
        return record.id == lostWorker->record.id;
    });
    cluster.members.publish(std::make_shared<const membership::MemberView>(remainingMembers));
    REQUIRE(cluster.advanceUntil(
        [&] {
            return cluster.runs.startsOf("long") == 4;
        },
        60s));
    for (const auto &run : cluster.runs.all) {
        const bool isFirstAttempt = run.attempt == 1;
        REQUIRE(isFirstAttempt == (run.ended != runtime::Instant::max()));
    }
    REQUIRE(cluster.advanceUntil(
        [&] {
            return cluster.stateOf("long") == "finished";
        },
        120s));
}

TEST_CASE("A gang starts on no member if one refuses")
{
    tests::Cluster cluster;
    cluster.workers[1]->setTargetState(targets::TargetState::Leaving);
    cluster.entries[0]->service->start();
    cluster.advanceUntil(
        [] {
            return false;
        },
        1s);
    REQUIRE(cluster.send(0, "POST", "/v1/jobs", Submission).status == 202);
    REQUIRE_FALSE(cluster.advanceUntil(
        [&] {
            return cluster.runs.startsOf("close-1") > 0;
        },
        20s));
    cluster.workers[1]->setTargetState(targets::TargetState::Present);
    REQUIRE(cluster.advanceUntil(
        [&] {
            return cluster.stateOf("close-1") == "finished";
        },
        120s));
}

TEST_CASE("A cancelled job is stopped and closed as cancelled")
{
    tests::Cluster cluster;
    cluster.entries[0]->service->start();
    cluster.advanceUntil(
        [] {
            return false;
        },
        1s);
    REQUIRE(cluster.send(0, "POST", "/v1/jobs", R"({"workspace":"atlas","template":"reconcile","id":"long","runTimeMs":60000})").status == 202);
    REQUIRE(cluster.advanceUntil([&] {
        return cluster.runs.startsOf("long") == 2;
    }));
    REQUIRE(cluster.send(0, "DELETE", "/v1/jobs/long").status == 202);
    REQUIRE(cluster.advanceUntil([&] {
        return cluster.stateOf("long") == "cancelled";
    }));
    for (const auto &run : cluster.runs.all) {
        REQUIRE(run.ended != runtime::Instant::max());
    }
}

TEST_CASE("A job that can never run is closed as impossible with the reason")
{
    tests::Cluster cluster;
    cluster.entries[0]->service->start();
    cluster.advanceUntil(
        [] {
            return false;
        },
        1s);
    const std::string body = R"({"workspace":"atlas","template":"reconcile","id":"huge","shape":{"members":3,"acceleratorsPerMember":8}})";
    REQUIRE(cluster.send(0, "POST", "/v1/jobs", body).status == 202);
    REQUIRE(cluster.advanceUntil([&] {
        return cluster.stateOf("huge") == "impossible";
    }));
    const auto explanation = cluster.send(0, "GET", "/v1/jobs/huge/explain").body;
    REQUIRE(explanation.find("\"text\":\"\"") == std::string::npos);
}
