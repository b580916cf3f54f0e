/** Tests of the planner: placement, preemption, reservations and restarts, each under the load that its rule is designed for. */
#include <catch2/catch.hpp>

#include "batch/floor.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::Floor;

TEST_CASE("A job starts on a partly used host if it fits there, so that free hosts stay free for large tasks")
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

TEST_CASE("A step waits for the steps that it depends on")
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

TEST_CASE("A gang starts with all its tasks or not at all, and in a single rack if it asks for one")
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

TEST_CASE("A job within its workspace's guarantee preempts the unit with the least unsaved work")
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

TEST_CASE("A run that has exceeded its estimate is not assumed to end soon")
{
    // Otherwise a burst of urgent jobs waits for runs that take much longer than estimated, instead of preempting them.
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

TEST_CASE("A run whose progress shows that it ends within the time of a stop is not preempted")
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

TEST_CASE("Without a guarantee, only a job that can still meet its objective preempts others")
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

TEST_CASE("A large waiting job has a reservation that smaller jobs can only use if they end before it begins")
{
    // Without reservations, a stream of small tasks starves a task that needs a whole host.
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

TEST_CASE("Nothing starts in an evacuated data centre, on a draining host, or beyond a step's limit of tasks per host")
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

TEST_CASE("A unit that won't finish before its draining host leaves is stopped once it can start elsewhere")
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

TEST_CASE("A stalled task is restarted elsewhere, and its host gets no new tasks meanwhile")
{
    // On a faulty host, all tasks hang while the executor keeps answering, so only the missing progress shows the fault.
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

TEST_CASE("A gang is not considered stalled while members that have finished wait for slower ones")
{
    // Gangs on hosts of different speeds were stopped at nine tenths of their work because the finished members made no more progress.
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

TEST_CASE("A task waits for its data's rack only as long as the slower run elsewhere would cost")
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
