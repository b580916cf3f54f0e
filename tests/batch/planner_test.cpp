/** Which units start where and which give way, under the loads that each rule answers. */
#include <catch2/catch.hpp>

#include "batch/floor.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::Floor;

TEST_CASE("A job starts where its needs fit, and whole free hosts stay whole")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addHost("b", "r1-1");
    floor.addJob("one", "long", "rif", {Floor::step(1, 2, 5s)});
    REQUIRE(floor.round().placements.size() == 1);
    floor.addJob("two", "long", "rif", {Floor::step(1, 2, 5s)});
    floor.round();
    floor.addJob("whole", "long", "rif", {Floor::step(1, 8, 5s)});
    const auto plan = floor.round();
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.blocked == 0);
}

TEST_CASE("A step waits for the steps before it")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    auto second = Floor::step(1, 1, 1s);
    second.after = {0};
    floor.addJob("chain", "long", "rif", {Floor::step(2, 1, 1s), second});
    REQUIRE(floor.round().placements.size() == 2);
    floor.runOrders("a", 50);
    floor.end("a", Floor::run("chain", 0, 0, 1), batch::EndKind::Done);
    REQUIRE(floor.round().placements.empty());
    floor.end("a", Floor::run("chain", 0, 1, 1), batch::EndKind::Done);
    REQUIRE(floor.round().placements.size() == 1);
}

TEST_CASE("A gang starts whole or not at all, in one rack where it asks for one")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addHost("b", "r1-2");
    floor.addHost("c", "r1-2");
    auto gang = Floor::gang(2, 8, 2s);
    gang.wantsOneRack = true;
    floor.addJob("gang", "long", "rif", {gang});
    const auto plan = floor.round();
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].hosts == std::vector<batch::HostId>{batch::HostId("b"), batch::HostId("c")});
    floor.addJob("wide", "long", "rif", {Floor::gang(2, 8, 2s)});
    REQUIRE(floor.round().placements.empty());
}

TEST_CASE("Room is taken back for a job within its workspace's guarantee, from the least unsaved work")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addHost("b", "r1-1");
    floor.addJob("older", "long", "rif", {Floor::step(1, 8, 10s)});
    floor.round();
    floor.pass(4s);
    floor.runOrders("a", 40);
    floor.addJob("newer", "long", "rif", {Floor::step(1, 8, 10s)});
    floor.round();
    floor.runOrders("b", 1);
    floor.addJob("urgent", "urgent", "atlas", {Floor::step(1, 8, 2s)});
    const auto plan = floor.round();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].unit.job->spec.id.value() == "newer");
    REQUIRE(plan.placements.empty());
    floor.end("b", Floor::run("newer", 0, 0, 1), batch::EndKind::Stopped);
    const auto next = floor.round();
    REQUIRE(next.placements.size() == 1);
    REQUIRE(next.placements[0].unit.job->spec.id.value() == "urgent");
}

TEST_CASE("A run beyond its estimate is not taken for about to end")
{
    // Replays a burst of urgent jobs over runs that take much longer than estimated.
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("overdue", "long", "rif", {Floor::step(1, 8, 2s)});
    floor.round();
    floor.runOrders("a", 0);
    for (int second = 0; second < 6; ++second) {
        floor.pass(1s);
    }
    floor.addJob("urgent", "urgent", "atlas", {Floor::step(1, 8, 2s)});
    REQUIRE(floor.round().stops.size() == 1);
}

TEST_CASE("A run that shows that it ends within the time of a stop is waited for")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("ending", "long", "rif", {Floor::step(1, 8, 10s)});
    floor.round();
    floor.runOrders("a", 0);
    for (int second = 0; second < 9; ++second) {
        floor.pass(1s);
    }
    floor.pass(500ms);
    floor.runOrders("a", 95);
    floor.addJob("urgent", "urgent", "atlas", {Floor::step(1, 8, 2s)});
    REQUIRE(floor.round().stops.empty());
}

TEST_CASE("Beyond a guarantee, room is taken back only for a job that can still be in time")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("base", "long", "rif", {Floor::step(1, 8, 30s)});
    floor.round();
    floor.runOrders("a", 0);
    floor.silent.insert("a");
    floor.addJob("late", "urgent", "rif", {Floor::step(1, 8, 2s)});
    floor.now += 1900ms;
    REQUIRE(floor.round().stops.empty());
    floor.addJob("fresh", "urgent", "rif", {Floor::step(1, 8, 2s)});
    REQUIRE(floor.round().stops.size() == 1);
}

TEST_CASE("A large job that waits keeps its place from smaller ones that would outlast it")
{
    // Replays a stream of small tasks under which a task of a whole host would starve.
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("small-1", "patient", "rif", {Floor::step(4, 1, 3s)});
    floor.round();
    floor.runOrders("a", 10);
    floor.addJob("whole", "long", "rif", {Floor::step(1, 8, 5s)});
    REQUIRE(floor.round().placements.empty());
    floor.addJob("small-2", "patient", "rif", {Floor::step(4, 1, 20s)});
    REQUIRE(floor.round().placements.empty());
    floor.addJob("brief", "patient", "rif", {Floor::step(1, 1, 1s)});
    REQUIRE(floor.round().placements.size() == 1);
}

TEST_CASE("Nothing starts in an evacuated data centre, on a draining host, or beyond a spread limit")
{
    Floor floor;
    floor.addHost("a", "r1-1", "pens");
    floor.addHost("b", "r2-1", "fold");
    floor.addHost("c", "r2-1", "fold");
    floor.evacuated = {base::DataCentreId("pens")};
    floor.call("b").report.isDraining = true;
    floor.call("b").report.remaining = 4s;
    floor.say("b");
    auto spread = Floor::step(3, 1, 1s);
    spread.mostPerHost = 2;
    floor.addJob("spread", "long", "rif", {spread});
    const auto plan = floor.round();
    REQUIRE(plan.placements.size() == 2);
    for (const auto &placement : plan.placements) {
        REQUIRE(placement.hosts.front().value() == "c");
    }
}

TEST_CASE("Work that a leaving host won't let finish moves once it can start elsewhere")
{
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("moved", "long", "rif", {Floor::step(1, 8, 20s)});
    floor.round();
    floor.runOrders("a", 5);
    floor.call("a").report.isDraining = true;
    floor.call("a").report.remaining = 4s;
    floor.say("a");
    REQUIRE(floor.round().stops.empty());
    floor.addHost("b", "r1-1");
    const auto plan = floor.round();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].reason == batch::StopReason::HostLeaving);
}

TEST_CASE("A task that stands still is started anew elsewhere, and its host gets nothing new meanwhile")
{
    // Replays a host on which all tasks hang while its executor answers well.
    Floor floor;
    floor.addHost("a", "r1-1");
    floor.addJob("hung", "urgent", "rif", {Floor::step(1, 1, 3s)});
    floor.round();
    floor.runOrders("a", 10);
    floor.pass(2s);
    floor.addJob("early", "long", "rif", {Floor::step(1, 1, 3s)});
    REQUIRE(floor.round().placements.size() == 1);
    floor.pass(300ms);
    floor.addJob("later", "long", "rif", {Floor::step(1, 1, 3s)});
    REQUIRE(floor.round().placements.empty());
    floor.addHost("b", "r1-1");
    const auto plan = floor.round();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].reason == batch::StopReason::Stalled);
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].hosts.front().value() == "b");
}

TEST_CASE("A gang isn't taken for stalled while members that have done their part wait for the slower ones")
{
    // Replays gangs over hosts of unlike speed, which were stopped at nine tenths of their work.
    Floor floor;
    floor.addHost("fast", "r1-1");
    floor.addHost("slow", "r1-1");
    floor.addHost("spare", "r1-2");
    floor.addHost("other", "r1-2");
    floor.addJob("gang", "long", "rif", {Floor::gang(2, 8, 10s)});
    const auto hosts = floor.round().placements.at(0).hosts;
    floor.pass(8s);
    floor.runOrders(hosts[0].value(), 100);
    for (std::uint32_t percent = 80; percent < 92; ++percent) {
        floor.pass(1s);
        floor.runOrders(hosts[1].value(), percent);
        REQUIRE(floor.round().stops.empty());
    }
    floor.pass(10s);
    REQUIRE(floor.round().stops.size() == 1);
}

TEST_CASE("A task without room near its data waits only as long as the slower run would cost")
{
    Floor floor;
    floor.addHost("near", "r1-1");
    floor.addHost("far", "r1-2");
    floor.addJob("base", "long", "rif", {Floor::step(1, 8, 3s)});
    auto &base = floor.workload.jobs().at(base::JobId("base"));
    floor.workload.place({&base, &base.units[0]}, {batch::HostId("near")}, floor.now);
    floor.runOrders("near", 0);
    auto near = Floor::step(1, 1, 4s);
    near.dataRack = "r1-1";
    floor.addJob("waits", "long", "rif", {near});
    REQUIRE(floor.round().placements.empty());
    near.estimate = 1s;
    floor.addJob("goes", "patient", "rif", {near});
    REQUIRE(floor.round().placements.size() == 1);
}
