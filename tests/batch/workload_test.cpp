/** Tests of the state of runs when hosts become silent, restart, repeat reports or report late. */
#include <catch2/catch.hpp>

#include "batch/floor.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::Floor;

namespace
{

batch::Unit &unitOf(Floor &floor, const std::string &job, std::size_t index = 0)
{
    return floor.workload.jobs().at(base::JobId(job)).units.at(index);
}

} // namespace

TEST_CASE("A silent host's run is marked lost only after the maximum grant")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("job", "long", "rif", {Floor::step(1, 1, 20s)});
    floor.round();
    floor.runOrders("a", 1);
    floor.silent.insert("a");
    floor.pass(9600ms);
    REQUIRE(unitOf(floor, "job").phase == batch::UnitPhase::Placed);
    floor.pass(200ms);
    REQUIRE(unitOf(floor, "job").phase == batch::UnitPhase::Waiting);
}

TEST_CASE("A restarted executor's runs are marked lost at once, a leaving executor's after the departure margin")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addHost("b", "r1-1");
    floor.addJob("job", "long", "rif", {Floor::step(2, 8, 20s)});
    floor.round();
    floor.runOrders("a", 1);
    floor.runOrders("b", 1);
    floor.call("a").report.incarnation.born = 2;
    floor.call("a").running.clear();
    floor.say("a");
    REQUIRE(unitOf(floor, "job", 0).phase == batch::UnitPhase::Waiting);
    floor.call("b").report.hasLeft = true;
    floor.pass(100ms);
    REQUIRE(unitOf(floor, "job", 1).phase == batch::UnitPhase::Placed);
    floor.pass(1s);
    REQUIRE(unitOf(floor, "job", 1).phase == batch::UnitPhase::Waiting);
}

TEST_CASE("A run that a restarted executor may have been ordered to start is barred there before its task starts elsewhere")
{
    // An executor restarted under the same id between two announcements. Its new incarnation carried out an order meant for the earlier one,
    // and the task was started a second time on another host.
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addHost("b", "r1-1");
    floor.addJob("job", "long", "rif", {Floor::step(1, 8, 5s)});
    const auto host = floor.round().placements.at(0).hosts.at(0).value();
    floor.call(host).report.incarnation.born = 2;
    floor.say(host);
    REQUIRE(floor.round().placements.empty());
    const auto orders = floor.workload.ordersFor(floor.workload.hosts().at(batch::HostId(host)));
    REQUIRE(orders.runs.empty());
    REQUIRE(orders.stops == std::vector<batch::RunId>{Floor::run("job", 0, 0, 1)});
    SECTION("the order was not received")
    {
        floor.call(host).barred = {Floor::run("job", 0, 0, 1)};
        floor.say(host);
        REQUIRE(floor.round().placements.size() == 1);
    }
    SECTION("the order was received and the task completed")
    {
        floor.end(host, Floor::run("job", 0, 0, 1), batch::EndKind::Done);
        REQUIRE(floor.round().placements.empty());
        REQUIRE(floor.workload.jobs().at(base::JobId("job")).status == batch::JobStatus::Complete);
    }
}

TEST_CASE("A failure reported after its attempt was marked lost still counts")
{
    Floor floor;
    floor.policy->queues.at(batch::QueueId("long")).mostFailures = 1;
    floor.addHost("a", "r1-1");
    floor.addHost("b", "r1-2");
    floor.addJob("job", "long", "rif", {Floor::step(1, 1, 20s)});
    floor.round();
    floor.silent.insert("a");
    floor.pass(9800ms);
    REQUIRE(unitOf(floor, "job").phase == batch::UnitPhase::Waiting);
    floor.end("a", Floor::run("job", 0, 0, 1), batch::EndKind::Failed);
    REQUIRE(floor.workload.jobs().at(base::JobId("job")).status == batch::JobStatus::Failed);
    REQUIRE(floor.round().placements.empty());
}

TEST_CASE("A completion reported after its attempt was marked lost ends the task and stops the attempt that replaced it")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addHost("b", "r1-2");
    floor.addJob("job", "long", "rif", {Floor::step(1, 1, 20s)});
    floor.round();
    floor.silent.insert("a");
    floor.pass(9800ms);
    floor.round();
    floor.runOrders("b", 1);
    floor.end("a", Floor::run("job", 0, 0, 1), batch::EndKind::Done);
    REQUIRE(floor.workload.jobs().at(base::JobId("job")).status == batch::JobStatus::Complete);
    REQUIRE(floor.workload.ordersFor(floor.workload.hosts().at(batch::HostId("b"))).stops.size() == 1);
}

TEST_CASE("A repeatedly reported end counts once, and several failed members count as one failure of their gang")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("gang", "long", "rif", {Floor::gang(3, 1, 5s)});
    floor.round();
    floor.runOrders("a", 10);
    floor.end("a", Floor::run("gang", 0, 0, 1), batch::EndKind::Failed);
    floor.end("a", Floor::run("gang", 0, 1, 1), batch::EndKind::Failed);
    floor.end("a", Floor::run("gang", 0, 2, 1), batch::EndKind::Broken);
    floor.say("a");
    REQUIRE(unitOf(floor, "gang").failures.size() == 1);
    REQUIRE(unitOf(floor, "gang").phase == batch::UnitPhase::Waiting);
}

TEST_CASE("A gang is done once one of its members is done")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("gang", "long", "rif", {Floor::gang(2, 1, 5s)});
    floor.round();
    floor.runOrders("a", 99);
    floor.end("a", Floor::run("gang", 0, 1, 1), batch::EndKind::Done);
    REQUIRE(floor.workload.jobs().at(base::JobId("gang")).status == batch::JobStatus::Complete);
    REQUIRE(floor.workload.ordersFor(floor.workload.hosts().at(batch::HostId("a"))).stops.empty());
}

TEST_CASE("An unexpected run is ordered to stop, and outdated calls of an agent are ignored")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.call("a").running.push_back({Floor::run("unknown", 0, 0, 4), "", 10});
    floor.say("a");
    const auto &host = floor.workload.hosts().at(batch::HostId("a"));
    REQUIRE(floor.workload.ordersFor(host).stops == std::vector<batch::RunId>{Floor::run("unknown", 0, 0, 4)});
    batch::SyncCall old = floor.call("a");
    old.running.clear();
    old.sequence = 1;
    REQUIRE_FALSE(floor.workload.hear(old, floor.now, floor.wallNow()));
    REQUIRE(floor.workload.ordersFor(host).stops.size() == 1);
}

TEST_CASE("A new leader restores the recorded state and does not start tasks that may still be running")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addHost("b", "r1-2");
    auto &job = floor.addJob("job", "long", "rif", {Floor::step(2, 1, 20s)});
    floor.round();
    floor.runOrders("a", 5);
    floor.end("a", Floor::run("job", 0, 0, 1), batch::EndKind::Done);
    const batch::JobState record = floor.workload.recordOf(job);
    Floor next;
    next.now = floor.now;
    next.addHost("b", "r1-2");
    next.workload.addJob(job.spec, record, next.now, next.wallNow());
    REQUIRE(next.round().placements.empty());
    REQUIRE(unitOf(next, "job", 0).phase == batch::UnitPhase::Done);
    next.pass(9800ms);
    const auto plan = next.round();
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].unit.unit->attempt == batch::Attempt(2));
}

TEST_CASE("A job's waiting time and its time to completion are each reported once")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("job", "long", "rif", {Floor::step(2, 1, 5s)});
    floor.pass(300ms);
    floor.round();
    auto timings = floor.workload.takeTimings();
    REQUIRE(timings.size() == 1);
    REQUIRE(timings[0].workspace.value() == "rif");
    REQUIRE(timings[0].priority == 1);
    REQUIRE(timings[0].age == 300ms);
    floor.end("a", Floor::run("job", 0, 0, 1), batch::EndKind::Done);
    floor.end("a", Floor::run("job", 0, 1, 1), batch::EndKind::Done);
    timings = floor.workload.takeTimings();
    REQUIRE(timings.size() == 1);
    REQUIRE(timings[0].status == batch::JobStatus::Complete);
}

TEST_CASE("A cancelled job's runs are stopped and no more are started")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("job", "long", "rif", {Floor::step(12, 1, 20s)});
    REQUIRE(floor.round().placements.size() == 8);
    floor.workload.cancelJob(base::JobId("job"), floor.wallNow());
    REQUIRE(floor.round().placements.empty());
    REQUIRE(floor.workload.ordersFor(floor.workload.hosts().at(batch::HostId("a"))).stops.size() == 8);
}

TEST_CASE("Each occurrence of a periodic job starts when it is due, and not before")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    batch::JobSpec spec;
    spec.id = base::JobId("timed");
    spec.queue = batch::QueueId("long");
    spec.service = base::ServiceId("ledger");
    spec.steps = {Floor::step(1, 1, 1s)};
    spec.occurrences = 2;
    spec.firstDueMs = floor.wallNow().time_since_epoch().count() + 1000;
    spec.period = 2s;
    floor.workload.addJob(spec, std::nullopt, floor.now, floor.wallNow());
    REQUIRE(floor.round().placements.empty());
    floor.pass(1s);
    REQUIRE(floor.round().placements.size() == 1);
    floor.pass(1s);
    REQUIRE(floor.round().placements.empty());
    floor.pass(1s);
    REQUIRE(floor.round().placements.size() == 1);
}
