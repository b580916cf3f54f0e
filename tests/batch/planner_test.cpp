/** Tests of the planner: placement, preemption, reservations and restarts, each under the load that its rule is designed for. */
#include <catch2/catch.hpp>

#include "batch/workload_fixture.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::WorkloadFixture;

TEST_CASE("A job starts on a partly used host if it fits there, so that free hosts stay free for large tasks")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    fixture.addJob("one", "long", "rif", {WorkloadFixture::step(1, 2, 5s)});
    REQUIRE(fixture.runRound().placements.size() == 1);
    fixture.addJob("two", "long", "rif", {WorkloadFixture::step(1, 2, 5s)});
    fixture.runRound();
    fixture.addJob("whole", "long", "rif", {WorkloadFixture::step(1, 8, 5s)});
    const auto plan = fixture.runRound();
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.blocked == 0);
}

TEST_CASE("A step waits for the steps that it depends on")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto second = WorkloadFixture::step(1, 1, 1s);
    second.dependsOn = {0};
    fixture.addJob("chain", "long", "rif", {WorkloadFixture::step(2, 1, 1s), second});
    REQUIRE(fixture.runRound().placements.size() == 2);
    fixture.reportOrdersRunning("a", 50);
    fixture.reportEnd("a", WorkloadFixture::run("chain", 0, 0, 1), batch::EndKind::Done);
    REQUIRE(fixture.runRound().placements.empty());
    fixture.reportEnd("a", WorkloadFixture::run("chain", 0, 1, 1), batch::EndKind::Done);
    REQUIRE(fixture.runRound().placements.size() == 1);
}

TEST_CASE("A gang starts with all its tasks or not at all, and in a single rack if it asks for one")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-2");
    fixture.addHost("c", "r1-2");
    auto gang = WorkloadFixture::gang(2, 8, 2s);
    gang.prefersSingleRack = true;
    fixture.addJob("gang", "long", "rif", {gang});
    const auto plan = fixture.runRound();
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].hosts == std::vector<batch::HostId>{batch::HostId("b"), batch::HostId("c")});
    fixture.addJob("wide", "long", "rif", {WorkloadFixture::gang(2, 8, 2s)});
    REQUIRE(fixture.runRound().placements.empty());
}

TEST_CASE("A job within its workspace's guarantee preempts the unit with the least unsaved work")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    fixture.addJob("older", "long", "rif", {WorkloadFixture::step(1, 8, 10s)});
    fixture.runRound();
    fixture.advanceClock(4s);
    fixture.reportOrdersRunning("a", 40);
    fixture.addJob("newer", "long", "rif", {WorkloadFixture::step(1, 8, 10s)});
    fixture.runRound();
    fixture.reportOrdersRunning("b", 1);
    fixture.addJob("urgent", "urgent", "atlas", {WorkloadFixture::step(1, 8, 2s)});
    const auto plan = fixture.runRound();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].unit.job->spec.id.value() == "newer");
    REQUIRE(plan.placements.empty());
    fixture.reportEnd("b", WorkloadFixture::run("newer", 0, 0, 1), batch::EndKind::Stopped);
    const auto next = fixture.runRound();
    REQUIRE(next.placements.size() == 1);
    REQUIRE(next.placements[0].unit.job->spec.id.value() == "urgent");
}

TEST_CASE("A run that has exceeded its estimate is not assumed to end soon")
{
    // Otherwise a burst of urgent jobs waits for runs that take much longer than estimated, instead of preempting them.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("overdue", "long", "rif", {WorkloadFixture::step(1, 8, 2s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 0);
    for (int second = 0; second < 6; ++second) {
        fixture.advanceClock(1s);
    }
    fixture.addJob("urgent", "urgent", "atlas", {WorkloadFixture::step(1, 8, 2s)});
    REQUIRE(fixture.runRound().stops.size() == 1);
}

TEST_CASE("A run whose progress shows that it ends within the time of a stop is not preempted")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("ending", "long", "rif", {WorkloadFixture::step(1, 8, 10s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 0);
    for (int second = 0; second < 9; ++second) {
        fixture.advanceClock(1s);
    }
    fixture.advanceClock(500ms);
    fixture.reportOrdersRunning("a", 95);
    fixture.addJob("urgent", "urgent", "atlas", {WorkloadFixture::step(1, 8, 2s)});
    REQUIRE(fixture.runRound().stops.empty());
}

TEST_CASE("Without a guarantee, only a job that can still meet its objective preempts others")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("base", "long", "rif", {WorkloadFixture::step(1, 8, 30s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 0);
    fixture.silentHosts.insert("a");
    fixture.addJob("late", "urgent", "rif", {WorkloadFixture::step(1, 8, 2s)});
    fixture.now += 1900ms;
    REQUIRE(fixture.runRound().stops.empty());
    fixture.addJob("fresh", "urgent", "rif", {WorkloadFixture::step(1, 8, 2s)});
    REQUIRE(fixture.runRound().stops.size() == 1);
}

TEST_CASE("A large waiting job has a reservation that smaller jobs can only use if they end before it begins")
{
    // Without reservations, a stream of small tasks starves a task that needs a whole host.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("small-1", "patient", "rif", {WorkloadFixture::step(4, 1, 3s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 10);
    fixture.addJob("whole", "long", "rif", {WorkloadFixture::step(1, 8, 5s)});
    REQUIRE(fixture.runRound().placements.empty());
    fixture.addJob("small-2", "patient", "rif", {WorkloadFixture::step(4, 1, 20s)});
    REQUIRE(fixture.runRound().placements.empty());
    fixture.addJob("brief", "patient", "rif", {WorkloadFixture::step(1, 1, 1s)});
    REQUIRE(fixture.runRound().placements.size() == 1);
}

TEST_CASE("Nothing starts in an evacuated data centre, on a draining host, or beyond a step's limit of tasks per host")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1", "pens");
    fixture.addHost("b", "r2-1", "fold");
    fixture.addHost("c", "r2-1", "fold");
    fixture.evacuated = {base::DataCentreId("pens")};
    fixture.call("b").report.isDraining = true;
    fixture.call("b").report.remaining = 4s;
    fixture.sendReport("b");
    auto spread = WorkloadFixture::step(3, 1, 1s);
    spread.maxTasksPerHost = 2;
    fixture.addJob("spread", "long", "rif", {spread});
    const auto plan = fixture.runRound();
    REQUIRE(plan.placements.size() == 2);
    for (const auto &placement : plan.placements) {
        REQUIRE(placement.hosts.front().value() == "c");
    }
}

TEST_CASE("A unit that won't finish before its draining host leaves is stopped once it can start elsewhere")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("moved", "long", "rif", {WorkloadFixture::step(1, 8, 20s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 5);
    fixture.call("a").report.isDraining = true;
    fixture.call("a").report.remaining = 4s;
    fixture.sendReport("a");
    REQUIRE(fixture.runRound().stops.empty());
    fixture.addHost("b", "r1-1");
    const auto plan = fixture.runRound();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].reason == batch::StopReason::HostLeaving);
}

TEST_CASE("A stalled task is restarted elsewhere, and its host gets no new tasks meanwhile")
{
    // On a faulty host, all tasks hang while the executor keeps answering, so only the missing progress shows the fault.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("hung", "urgent", "rif", {WorkloadFixture::step(1, 1, 3s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 10);
    fixture.advanceClock(2s);
    fixture.addJob("early", "long", "rif", {WorkloadFixture::step(1, 1, 3s)});
    REQUIRE(fixture.runRound().placements.size() == 1);
    fixture.advanceClock(300ms);
    fixture.addJob("later", "long", "rif", {WorkloadFixture::step(1, 1, 3s)});
    REQUIRE(fixture.runRound().placements.empty());
    fixture.addHost("b", "r1-1");
    const auto plan = fixture.runRound();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].reason == batch::StopReason::Stalled);
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].hosts.front().value() == "b");
}

TEST_CASE("A gang is not considered stalled while members that have finished wait for slower ones")
{
    // Gangs on hosts of different speeds were stopped at nine tenths of their work because the finished members made no more progress.
    WorkloadFixture fixture;
    fixture.addHost("fast", "r1-1");
    fixture.addHost("slow", "r1-1");
    fixture.addHost("spare", "r1-2");
    fixture.addHost("other", "r1-2");
    fixture.addJob("gang", "long", "rif", {WorkloadFixture::gang(2, 8, 10s)});
    const auto hosts = fixture.runRound().placements.at(0).hosts;
    fixture.advanceClock(8s);
    fixture.reportOrdersRunning(hosts[0].value(), 100);
    for (std::uint32_t percent = 80; percent < 92; ++percent) {
        fixture.advanceClock(1s);
        fixture.reportOrdersRunning(hosts[1].value(), percent);
        REQUIRE(fixture.runRound().stops.empty());
    }
    fixture.advanceClock(10s);
    REQUIRE(fixture.runRound().stops.size() == 1);
}

TEST_CASE("A task waits for its data's rack only as long as the slower run elsewhere would cost")
{
    WorkloadFixture fixture;
    fixture.addHost("near", "r1-1");
    fixture.addHost("far", "r1-2");
    fixture.addJob("base", "long", "rif", {WorkloadFixture::step(1, 8, 3s)});
    auto &base = fixture.workload.jobs().at(base::JobId("base"));
    fixture.workload.place({&base, &base.units.at(0)}, {batch::HostId("near")}, fixture.now);
    fixture.reportOrdersRunning("near", 0);
    auto near = WorkloadFixture::step(1, 1, 4s);
    near.dataRack = "r1-1";
    fixture.addJob("waits", "long", "rif", {near});
    REQUIRE(fixture.runRound().placements.empty());
    near.estimate = 1s;
    fixture.addJob("goes", "patient", "rif", {near});
    REQUIRE(fixture.runRound().placements.size() == 1);
}

TEST_CASE("A task that has failed on its data's rack, or whose executor has crashed there, starts again at once")
{
    // The best place was one on another rack, and was declined as the data's rack had room, which the task avoids: it never ran again.
    const bool isCrash = GENERATE(false, true);
    const auto *const queue = GENERATE("long", "urgent");
    WorkloadFixture fixture;
    fixture.addHost("near", "r1-1");
    fixture.addHost("far", "r1-2");
    auto near = WorkloadFixture::step(1, 1, 4s);
    near.dataRack = "r1-1";
    fixture.addJob("job", queue, "rif", {near});
    REQUIRE(fixture.runRound().placements.at(0).hosts.front().value() == "near");
    fixture.reportOrdersRunning("near", 10);
    if (isCrash) {
        fixture.call("near").crashed = {{WorkloadFixture::run("job", 0, 0, 1), 5s, batch::RunBegin::Certain}};
        fixture.call("near").hasSeenEnd = true;
        fixture.call("near").running.clear();
        fixture.call("near").report.incarnation = {"i-near-2", 2};
        fixture.sendReport("near");
    } else {
        fixture.reportEnd("near", WorkloadFixture::run("job", 0, 0, 1), batch::EndKind::Failed);
    }
    REQUIRE(fixture.runRound().placements.size() == 1);
}

TEST_CASE("A task doesn't wait for its data's rack beyond the limit of its step's tasks on a host there")
{
    // The second of two tasks that last waited for a host that the first one keeps.
    WorkloadFixture fixture;
    fixture.addHost("near", "r1-1");
    fixture.addHost("far", "r1-2");
    auto lasting = WorkloadFixture::step(2, 1, 10s);
    lasting.dataRack = "r1-1";
    lasting.isLongRunning = true;
    lasting.maxTasksPerHost = 1;
    fixture.addJob("lasting", "long", "rif", {lasting});
    REQUIRE(fixture.runRound().placements.size() == 2);
}

TEST_CASE("The wait for the data's rack ends although the tasks there seem to end soon all the while")
{
    WorkloadFixture fixture;
    fixture.addHost("near", "r1-1");
    fixture.addHost("far", "r1-2");
    auto &base = fixture.addJob("base", "long", "rif", {WorkloadFixture::step(1, 8, 3s)});
    fixture.workload.place({&base, &base.units.at(0)}, {batch::HostId("near")}, fixture.now);
    auto near = WorkloadFixture::step(1, 1, 4s);
    near.dataRack = "r1-1";
    fixture.addJob("waits", "long", "rif", {near});
    std::uint32_t second = 0;
    // Progress of a percent in 2 s is too little to tell the speed by.
    while (fixture.runRound().placements.empty()) {
        REQUIRE(second < 8);
        fixture.advanceClock(1s);
        fixture.reportOrdersRunning("near", ++second / 2);
    }
    REQUIRE(second >= 4);
}

TEST_CASE("An urgent task that waits for its data's rack keeps no room elsewhere from others")
{
    // The place that it had declined was withheld from all others in each round, as if others were stopped for it.
    WorkloadFixture fixture;
    fixture.addHost("near", "r1-1");
    fixture.addHost("far", "r1-2");
    auto &base = fixture.addJob("base", "urgent", "rif", {WorkloadFixture::step(1, 8, 3s)});
    fixture.workload.place({&base, &base.units.at(0)}, {batch::HostId("near")}, fixture.now);
    fixture.reportOrdersRunning("near", 0);
    auto near = WorkloadFixture::step(1, 8, 4s);
    near.dataRack = "r1-1";
    fixture.addJob("waits", "urgent", "rif", {near});
    fixture.addJob("other", "patient", "rif", {WorkloadFixture::step(1, 8, 20s)});
    const auto plan = fixture.runRound();
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].unit.job->spec.id.value() == "other");
}

TEST_CASE("A task that fits nowhere doesn't keep smaller ones, or ones that may use other hosts, from starting")
{
    // Equal tasks that don't fit are tried once a round; the rule must not reach further than that.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    fixture.call("b").report.labels.insert("special");
    fixture.sendReport("b");
    auto special = WorkloadFixture::step(1, 8, 20s);
    special.requiredLabel = "special";
    fixture.addJob("first", "long", "rif", {special});
    REQUIRE(fixture.runRound().placements.size() == 1);
    fixture.addJob("again", "long", "rif", {special});
    fixture.addJob("elsewhere", "long", "rif", {WorkloadFixture::step(1, 8, 60s)});
    REQUIRE(fixture.runRound().placements.size() == 1);
    fixture.addJob("large", "urgent", "rif", {WorkloadFixture::step(3, 9, 2s)});
    fixture.reportEnd("a", WorkloadFixture::run("elsewhere", 0, 0, 1), batch::EndKind::Done);
    fixture.addJob("small", "patient", "rif", {WorkloadFixture::step(2, 4, 1s)});
    REQUIRE(fixture.runRound().placements.size() == 2);
}

namespace
{

/** A step of tasks that last, one on a host. */
batch::Step lastingStep(std::uint32_t tasks, std::int64_t accelerators)
{
    batch::Step step = WorkloadFixture::step(tasks, accelerators, 10s);
    step.isLongRunning = true;
    step.maxTasksPerHost = 1;
    return step;
}

} // namespace

TEST_CASE("A job that can't start before tasks that last are stopped keeps no other job waiting")
{
    // A task that lasts and has come to 100 percent was taken to end at once, so all of its host was reserved for good.
    const bool isGang = GENERATE(false, true);
    const bool isLaterLasting = GENERATE(false, true);
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    fixture.addJob("lasting", "patient", "rif", {lastingStep(2, 1)});
    REQUIRE(fixture.runRound().placements.size() == 2);
    fixture.reportOrdersRunning("a", 0);
    fixture.reportOrdersRunning("b", 0);
    fixture.advanceClock(1s);
    fixture.reportOrdersRunning("a", 100);
    fixture.reportOrdersRunning("b", 100);
    fixture.addJob("large", "long", "rif", {isGang ? WorkloadFixture::gang(2, 8, 8s) : WorkloadFixture::step(2, 8, 8s)});
    auto later = isLaterLasting ? lastingStep(1, 1) : WorkloadFixture::step(1, 1, 4s);
    fixture.addJob("later", "patient", "rif", {later});
    REQUIRE(fixture.runRound().placements.size() == 1);
}

TEST_CASE("A large job's reservation is on hosts without tasks that last")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    fixture.addJob("lasting", "patient", "rif", {lastingStep(1, 1)});
    const auto lastingHost = fixture.runRound().placements.at(0).hosts.front().value();
    const std::string otherHost = lastingHost == "a" ? "b" : "a";
    fixture.reportOrdersRunning(lastingHost, 100);
    auto &base = fixture.addJob("base", "long", "rif", {WorkloadFixture::step(1, 1, 5s)});
    fixture.workload.place({&base, &base.units.at(0)}, {batch::HostId(otherHost)}, fixture.now);
    fixture.addJob("large", "long", "rif", {WorkloadFixture::step(1, 8, 8s)});
    fixture.addJob("later", "patient", "rif", {WorkloadFixture::step(1, 7, 20s)});
    const auto plan = fixture.runRound();
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].hosts.front().value() == lastingHost);
}

TEST_CASE("An urgent job doesn't wait for a task that lasts as if its startup were its end")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("lasting", "patient", "rif", {lastingStep(1, 8)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 0);
    fixture.advanceClock(1s);
    fixture.reportOrdersRunning("a", 100);
    fixture.addJob("urgent", "urgent", "atlas", {WorkloadFixture::step(1, 8, 2s)});
    REQUIRE(fixture.runRound().stops.size() == 1);
}

TEST_CASE("A task that lasts is moved before its draining host leaves")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("lasting", "long", "rif", {lastingStep(1, 1)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 0);
    fixture.advanceClock(1s);
    fixture.reportOrdersRunning("a", 100);
    fixture.addHost("b", "r1-1");
    fixture.call("a").report.isDraining = true;
    fixture.call("a").report.remaining = 4s;
    fixture.sendReport("a");
    const auto plan = fixture.runRound();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].reason == batch::StopReason::HostLeaving);
}

TEST_CASE("A task doesn't wait for its data's rack while tasks that last fill it")
{
    WorkloadFixture fixture;
    fixture.addHost("near", "r1-1");
    fixture.addHost("far", "r1-2");
    auto lasting = lastingStep(1, 8);
    lasting.dataRack = "r1-1";
    fixture.addJob("lasting", "long", "rif", {lasting});
    fixture.runRound();
    fixture.reportOrdersRunning("near", 0);
    fixture.advanceClock(1s);
    fixture.reportOrdersRunning("near", 100);
    auto near = WorkloadFixture::step(1, 1, 4s);
    near.dataRack = "r1-1";
    fixture.addJob("job", "long", "rif", {near});
    REQUIRE(fixture.runRound().placements.size() == 1);
}

TEST_CASE("A gang that prefers one rack spreads over a fleet with room once it has waited for longer than the slower run costs")
{
    // On a large fleet, smaller units kept taking room on every rack; an urgent gang of whole hosts then waited until the end of the day
    // while more than half of the fleet was free.
    WorkloadFixture fixture;
    for (const auto *host : {"a1", "a2", "a3"}) {
        fixture.addHost(host, "r1-1");
    }
    for (const auto *host : {"b1", "b2", "b3"}) {
        fixture.addHost(host, "r1-2");
    }
    auto pinned = WorkloadFixture::step(1, 8, 60s);
    pinned.dataRack = "r1-1";
    fixture.addJob("first", "long", "rif", {pinned});
    pinned.dataRack = "r1-2";
    fixture.addJob("second", "long", "rif", {pinned});
    REQUIRE(fixture.runRound().placements.size() == 2);
    auto gang = WorkloadFixture::gang(3, 8, 5s);
    gang.prefersSingleRack = true;
    fixture.addJob("gang", "long", "rif", {gang});
    const auto waitFor = [&](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            fixture.advanceClock(1s);
        }
    };
    REQUIRE(fixture.runRound().placements.empty());
    waitFor(9);
    REQUIRE(fixture.runRound().placements.empty());
    waitFor(1);
    REQUIRE(fixture.runRound().placements.size() == 1);
}

namespace
{

/** Two racks of two hosts of kind b, and three hosts of kind a that are idle. Each host of kind b is ordered to run a task of the given step. */
void fillKind(WorkloadFixture &fixture, const batch::Step &step)
{
    for (const auto *host : {"b1", "b2", "b3", "b4"}) {
        fixture.addHost(host, host[1] <= '2' ? "r2-1" : "r2-2");
        fixture.call(host).report.labels.insert("b");
        fixture.sendReport(host);
    }
    for (const auto *host : {"a1", "a2", "a3"}) {
        fixture.addHost(host, "r1-0");
    }
    auto onKind = step;
    onKind.tasks = 4;
    onKind.maxTasksPerHost = 1;
    onKind.requiredLabel = "b";
    fixture.addJob("base", "patient", "rif", {onKind});
    REQUIRE(fixture.runRound().placements.size() == 4);
}

/** The hosts of kind b report the progress of their tasks, in percent. */
void reportProgress(WorkloadFixture &fixture, std::uint32_t percent)
{
    for (const auto *host : {"b1", "b2", "b3", "b4"}) {
        fixture.reportOrdersRunning(host, percent);
    }
}

batch::Step gangOnKind()
{
    auto gang = WorkloadFixture::gang(3, 3, 3s);
    gang.prefersSingleRack = true;
    gang.requiredLabel = "b";
    return gang;
}

} // namespace

TEST_CASE("A gang that prefers one rack spreads at once if tasks that last leave no rack with room for it")
{
    // It waited for a rack that would only ever have had room when empty. Either resource may be the one that is missing.
    const bool areCoresTaken = GENERATE(false, true);
    WorkloadFixture fixture;
    auto lasting = WorkloadFixture::step(4, areCoresTaken ? 0 : 5, 10s);
    lasting.need.millicores = areCoresTaken ? 63'000 : 4000;
    lasting.isLongRunning = true;
    fillKind(fixture, lasting);
    reportProgress(fixture, 0);
    fixture.advanceClock(1s);
    reportProgress(fixture, 100);
    fixture.addJob("gang", "long", "rif", {gangOnKind()});
    REQUIRE(fixture.runRound().placements.size() == 1);
}

TEST_CASE("A gang that prefers one rack and may use few hosts of its service spreads once the service as a whole has room")
{
    // Of the hosts that it may use, less than half was free, so it waited for as long as the tasks there ran.
    WorkloadFixture fixture;
    fillKind(fixture, WorkloadFixture::step(4, 5, 3600s));
    fixture.addJob("gang", "long", "rif", {gangOnKind()});
    int second = 0;
    while (fixture.runRound().placements.empty()) {
        REQUIRE(second < 6);
        fixture.advanceClock(1s);
        reportProgress(fixture, static_cast<std::uint32_t>(++second));
    }
    REQUIRE(second == 6);
}

TEST_CASE("A gang that lasts doesn't wait long for a single rack, however full its service is")
{
    WorkloadFixture fixture;
    fillKind(fixture, WorkloadFixture::step(4, 5, 3600s));
    fixture.addJob("filling", "patient", "rif", {WorkloadFixture::step(3, 8, 3600s)});
    fixture.runRound();
    auto gang = gangOnKind();
    gang.isLongRunning = true;
    gang.estimate = 10s;
    fixture.addJob("gang", "long", "rif", {gang});
    int second = 0;
    while (fixture.runRound().placements.empty()) {
        REQUIRE(second < 3);
        fixture.advanceClock(1s);
        reportProgress(fixture, static_cast<std::uint32_t>(++second));
    }
    REQUIRE(second > 0);
}

TEST_CASE("Units that free nothing of what an urgent unit lacks aren't preempted for it")
{
    // Hundreds of small tasks without accelerators, the cheapest to stop, were stopped for a task that lacked accelerators.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto &small = fixture.addJob("small", "patient", "rif", {WorkloadFixture::step(20, 0, 1s)});
    auto &large = fixture.addJob("large", "patient", "rif", {WorkloadFixture::step(8, 1, 20s)});
    fixture.runRound();
    REQUIRE(small.unitsWithMembers == 20);
    REQUIRE(large.unitsWithMembers == 8);
    fixture.addJob("urgent", "urgent", "atlas", {WorkloadFixture::step(1, 2, 10s)});
    const auto plan = fixture.runRound();
    REQUIRE(plan.stops.size() == 2);
    for (const auto &stop : plan.stops) {
        REQUIRE(stop.unit.job == &large);
    }
}
