/** What becomes of the runs of an executor that its agent doesn't reach. */
#include <catch2/catch.hpp>

#include "batch/agent_fixture.h"
#include "batch/workload_fixture.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::AgentFixture;
using tests::unitOf;
using tests::WorkloadFixture;

namespace
{

/** A grant, its margin and a report's interval. */
constexpr std::chrono::milliseconds GivenUpAfter = 9000ms + 700ms + 500ms;

/** Lets time pass with a report of each agent twice a second. */
void passTime(WorkloadFixture &fixture, std::chrono::milliseconds time)
{
    for (std::chrono::milliseconds passed(0); passed < time; passed += 500ms) {
        fixture.advanceClock(500ms);
    }
}

/** Hosts a and b; the single task of job j runs on the returned one. */
std::string startTask(WorkloadFixture &fixture)
{
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-2");
    fixture.addJob("j", "long", "rif", {WorkloadFixture::step(1, 8, 20s)});
    fixture.runRound();
    const std::string host = unitOf(fixture, "j").members.at(0).host.value();
    return host;
}

} // namespace

// Guards against work that is lost: an agent that goes on calling hid that its executor was gone for good.
TEST_CASE("What an executor ran that is gone for good starts elsewhere though its agent lives")
{
    WorkloadFixture fixture;
    const std::string host = startTask(fixture);
    SECTION("a run that was listed")
    {
        fixture.reportOrdersRunning(host, 20);
    }
    SECTION("a run that was ordered only")
    {
    }
    SECTION("a run of an agent that has restarted since, and has heard no executor")
    {
        fixture.reportOrdersRunning(host, 20);
        auto &call = fixture.call(host);
        call.agentIncarnation = 2;
        call.hasReport = false;
        call.listToken = {};
    }
    fixture.call(host).isExecutorReached = false;
    passTime(fixture, GivenUpAfter - 1000ms);
    REQUIRE(unitOf(fixture, "j").members.size() == 1);
    REQUIRE(unitOf(fixture, "j").members[0].host.value() == host);
    passTime(fixture, 1000ms);
    REQUIRE(unitOf(fixture, "j").phase == batch::UnitPhase::Waiting);
    fixture.runRound();
    REQUIRE(unitOf(fixture, "j").members.at(0).host.value() != host);
}

// Guards against work that waits on a dead executor: it looked open and empty.
TEST_CASE("A host whose executor isn't reached gets no work")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.call("a").isExecutorReached = false;
    fixture.sendReport("a");
    fixture.addJob("j", "urgent", "atlas", {WorkloadFixture::step(1, 1, 2s)});
    fixture.runRound();
    REQUIRE(unitOf(fixture, "j").phase == batch::UnitPhase::Waiting);
    fixture.call("a").isExecutorReached = true;
    fixture.sendReport("a");
    fixture.runRound();
    REQUIRE(unitOf(fixture, "j").phase == batch::UnitPhase::Placed);
}

TEST_CASE("An executor that is out of reach for less than a grant keeps its runs")
{
    WorkloadFixture fixture;
    const std::string host = startTask(fixture);
    fixture.reportOrdersRunning(host, 20);
    for (int i = 0; i < 3; ++i) {
        fixture.call(host).isExecutorReached = false;
        passTime(fixture, 8000ms);
        fixture.call(host).isExecutorReached = true;
        passTime(fixture, 500ms);
    }
    REQUIRE(unitOf(fixture, "j").members.size() == 1);
    REQUIRE(unitOf(fixture, "j").attempt == batch::Attempt(1));
}

// Guards against a task that runs twice: an agent that is back before the loss is recorded still has the order to start it.
TEST_CASE("An executor that is back is granted nothing before the orders without its lost runs are published")
{
    WorkloadFixture fixture;
    const std::string host = startTask(fixture);
    SECTION("its agent did not reach it")
    {
        fixture.call(host).isExecutorReached = false;
    }
    SECTION("its agent was silent")
    {
        fixture.silentHosts.insert(host);
    }
    passTime(fixture, GivenUpAfter);
    fixture.call(host).isExecutorReached = true;
    fixture.silentHosts.clear();
    fixture.sendReport(host);
    REQUIRE_FALSE(fixture.workload.mayRenewLease(fixture.call(host)));
    for (const auto &id : fixture.workload.takeChangedHosts()) {
        fixture.workload.confirmPublished(id, fixture.workload.hosts().at(id).report.incarnation);
    }
    REQUIRE(fixture.workload.mayRenewLease(fixture.call(host)));
}

TEST_CASE("An agent tells at once whether it reaches its executor")
{
    AgentFixture fixture([](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("j", 1), 7, 1, 5s);
    });
    const auto isTold = [&](bool isReached) {
        return !fixture.calls.empty() && fixture.calls.back().isExecutorReached == isReached;
    };
    fixture.runUntil([&] {
        return isTold(true);
    });
    fixture.executor.isAway = true;
    fixture.runUntil([&] {
        return isTold(false);
    });
    fixture.executor.isAway = false;
    fixture.runUntil([&] {
        return isTold(true);
    });
    // The next incarnation hasn't answered yet.
    fixture.executor.isAway = true;
    fixture.announce({"i-2", 2});
    fixture.runUntil([&] {
        return fixture.calls.back().report.incarnation.instance == "i-2";
    });
    REQUIRE_FALSE(fixture.calls.back().isExecutorReached);
}

// Guards against work that is given up too early: a leader that was still loading granted leases without noting that it had heard the host.
TEST_CASE("Contact with a host counts from a call that a leader received while it was loading")
{
    WorkloadFixture fixture;
    const std::string host = startTask(fixture);
    fixture.reportOrdersRunning(host, 20);
    fixture.silentHosts.insert(host);
    passTime(fixture, 8000ms);
    auto &call = fixture.call(host);
    ++call.sequence;
    REQUIRE(fixture.workload.noteContact(call, fixture.now));
    passTime(fixture, GivenUpAfter - 1000ms);
    REQUIRE(unitOf(fixture, "j").members.size() == 1);
    passTime(fixture, 1000ms);
    REQUIRE(unitOf(fixture, "j").phase == batch::UnitPhase::Waiting);
}

// Guards against work that runs twice: a host that no call had shown yet when its runs were given up was granted the lease with the orders of an earlier term.
TEST_CASE("A host that is first heard after its runs were given up is granted nothing before it can have orders without them")
{
    WorkloadFixture before;
    before.addHost("a", "r1-1");
    auto &job = before.addJob("job", "long", "rif", {WorkloadFixture::step(1, 8, 20s)});
    before.runRound();
    const auto record = before.workload.recordOf(job);

    WorkloadFixture after;
    after.workload.addJob(job.spec, record, after.now, after.wallNow());
    after.advanceClock(10'300ms);
    REQUIRE(unitOf(after, "job").phase == batch::UnitPhase::Waiting);
    // The round that gave the runs up publishes orders for an incarnation that isn't known yet; the agent can't take them.
    const batch::HostId host("a");
    const auto first = after.workload.ordersFor(after.workload.hosts().at(host));
    REQUIRE(first.incarnation != before.call("a").report.incarnation);
    REQUIRE(after.workload.takeChangedHosts().contains(host));
    after.workload.confirmPublished(host, first.incarnation);

    auto call = before.call("a");
    call.running.clear();
    ++call.sequence;
    after.workload.applySync(call, after.now, after.wallNow());
    REQUIRE_FALSE(after.workload.mayRenewLease(call));
    const auto next = after.workload.ordersFor(after.workload.hosts().at(host));
    REQUIRE(next.incarnation == call.report.incarnation);
    REQUIRE(after.workload.takeChangedHosts().contains(host));
    after.workload.confirmPublished(host, next.incarnation);
    REQUIRE(after.workload.mayRenewLease(call));
}
