/** Tests of the state of runs when hosts become silent, restart, repeat reports or report late. */
#include <catch2/catch.hpp>

#include "batch/workload_fixture.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::unitOf;
using tests::WorkloadFixture;

TEST_CASE("A silent host's run is marked lost only after the maximum grant")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(1, 1, 20s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 1);
    fixture.silentHosts.insert("a");
    fixture.advanceClock(9600ms);
    REQUIRE(unitOf(fixture, "job").phase == batch::UnitPhase::Placed);
    fixture.advanceClock(200ms);
    REQUIRE(unitOf(fixture, "job").phase == batch::UnitPhase::Waiting);
}

TEST_CASE("The runs of an executor that has come back under another id are marked lost at once, a leaving executor's after the departure margin")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(2, 8, 20s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 1);
    fixture.reportOrdersRunning("b", 1);
    fixture.call("a").report.incarnation = {"i-a-next", 2};
    fixture.call("a").running.clear();
    fixture.sendReport("a");
    REQUIRE(unitOf(fixture, "job", 0).phase == batch::UnitPhase::Waiting);
    fixture.call("b").report.hasLeft = true;
    fixture.advanceClock(100ms);
    REQUIRE(unitOf(fixture, "job", 1).phase == batch::UnitPhase::Placed);
    fixture.advanceClock(1s);
    REQUIRE(unitOf(fixture, "job", 1).phase == batch::UnitPhase::Waiting);
}

TEST_CASE("A run that a restarted executor may have been ordered to start is barred there before its task starts elsewhere")
{
    // An executor restarted under the same id between two announcements. Its new incarnation carried out an order meant for the earlier one,
    // and the task was started a second time on another host.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(1, 8, 5s)});
    const auto host = fixture.runRound().placements.at(0).hosts.at(0).value();
    const bool wasListed = GENERATE(false, true);
    if (wasListed) {
        // A first try of the start may have had no answer, and be carried out by the next incarnation all the same.
        fixture.reportOrdersRunning(host, 20);
        fixture.call(host).running.clear();
    }
    fixture.call(host).report.incarnation.born = 2;
    fixture.sendReport(host);
    REQUIRE(fixture.runRound().placements.empty());
    const auto orders = fixture.workload.ordersFor(fixture.workload.hosts().at(batch::HostId(host)));
    REQUIRE(orders.runs.empty());
    REQUIRE(orders.stops == std::vector<batch::RunId>{WorkloadFixture::run("job", 0, 0, 1)});
    SECTION("the order was not received")
    {
        fixture.call(host).barred = {WorkloadFixture::run("job", 0, 0, 1)};
        fixture.sendReport(host);
        REQUIRE(fixture.runRound().placements.size() == 1);
    }
    SECTION("the order was received and the task completed")
    {
        fixture.reportEnd(host, WorkloadFixture::run("job", 0, 0, 1), batch::EndKind::Done);
        REQUIRE(fixture.runRound().placements.empty());
        REQUIRE(fixture.workload.jobs().at(base::JobId("job")).status == batch::JobStatus::Complete);
    }
}

// Guards against work that runs twice: the first try of a start, without an answer, may be carried out late by the next life.
TEST_CASE("A run that a restarted executor had listed is barred there before its task starts elsewhere")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(1, 8, 5s)});
    const auto host = fixture.runRound().placements.at(0).hosts.at(0).value();
    fixture.reportOrdersRunning(host, 20);
    const bool wasStopping = GENERATE(false, true);
    if (wasStopping) {
        fixture.workload.stop(fixture.workload.hosts().at(batch::HostId(host)).units.at(0), batch::StopReason::Preempted);
    }
    fixture.call(host).running.clear();
    fixture.call(host).report.incarnation.born = 2;
    fixture.sendReport(host);
    REQUIRE(fixture.runRound().placements.empty());
    const auto orders = fixture.workload.ordersFor(fixture.workload.hosts().at(batch::HostId(host)));
    REQUIRE(orders.stops == std::vector<batch::RunId>{WorkloadFixture::run("job", 0, 0, 1)});
}

TEST_CASE("A failure reported after its attempt was marked lost still counts")
{
    WorkloadFixture fixture;
    fixture.policy->queues.at(batch::QueueId("long")).maxFailures = 1;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-2");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(1, 1, 20s)});
    fixture.runRound();
    fixture.silentHosts.insert("a");
    fixture.advanceClock(9800ms);
    REQUIRE(unitOf(fixture, "job").phase == batch::UnitPhase::Waiting);
    fixture.reportEnd("a", WorkloadFixture::run("job", 0, 0, 1), batch::EndKind::Failed);
    REQUIRE(fixture.workload.jobs().at(base::JobId("job")).status == batch::JobStatus::Failed);
    REQUIRE(fixture.runRound().placements.empty());
}

TEST_CASE("A completion reported after its attempt was marked lost ends the task and stops the attempt that replaced it")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-2");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(1, 1, 20s)});
    fixture.runRound();
    fixture.silentHosts.insert("a");
    fixture.advanceClock(9800ms);
    fixture.runRound();
    fixture.reportOrdersRunning("b", 1);
    fixture.reportEnd("a", WorkloadFixture::run("job", 0, 0, 1), batch::EndKind::Done);
    REQUIRE(fixture.workload.jobs().at(base::JobId("job")).status == batch::JobStatus::Complete);
    REQUIRE(fixture.workload.ordersFor(fixture.workload.hosts().at(batch::HostId("b"))).stops.size() == 1);
}

TEST_CASE("A repeatedly reported end counts once, and several failed members count as one failure of their gang")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("gang", "long", "rif", {WorkloadFixture::gang(3, 1, 5s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 10);
    fixture.reportEnd("a", WorkloadFixture::run("gang", 0, 0, 1), batch::EndKind::Failed);
    fixture.reportEnd("a", WorkloadFixture::run("gang", 0, 1, 1), batch::EndKind::Failed);
    fixture.reportEnd("a", WorkloadFixture::run("gang", 0, 2, 1), batch::EndKind::Broken);
    fixture.sendReport("a");
    REQUIRE(unitOf(fixture, "gang").failures.size() == 1);
    REQUIRE(unitOf(fixture, "gang").phase == batch::UnitPhase::Waiting);
}

TEST_CASE("A gang is done once one of its members is done")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("gang", "long", "rif", {WorkloadFixture::gang(2, 1, 5s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 99);
    fixture.reportEnd("a", WorkloadFixture::run("gang", 0, 1, 1), batch::EndKind::Done);
    REQUIRE(fixture.workload.jobs().at(base::JobId("gang")).status == batch::JobStatus::Complete);
    REQUIRE(fixture.workload.ordersFor(fixture.workload.hosts().at(batch::HostId("a"))).stops.empty());
}

TEST_CASE("An unexpected run is ordered to stop, and outdated calls of an agent are ignored")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.call("a").running.push_back({WorkloadFixture::run("unknown", 0, 0, 4), "", 10});
    fixture.sendReport("a");
    const auto &host = fixture.workload.hosts().at(batch::HostId("a"));
    REQUIRE(fixture.workload.ordersFor(host).stops == std::vector<batch::RunId>{WorkloadFixture::run("unknown", 0, 0, 4)});
    batch::SyncCall old = fixture.call("a");
    old.running.clear();
    old.sequence = 1;
    REQUIRE(fixture.workload.applySync(old, fixture.now, fixture.wallNow()) == batch::SyncEffect::Outdated);
    REQUIRE(fixture.workload.ordersFor(host).stops.size() == 1);
}

TEST_CASE("A new leader restores the recorded state and does not start tasks that may still be running")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-2");
    auto &job = fixture.addJob("job", "long", "rif", {WorkloadFixture::step(2, 1, 20s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 5);
    fixture.reportEnd("a", WorkloadFixture::run("job", 0, 0, 1), batch::EndKind::Done);
    const batch::JobState record = fixture.workload.recordOf(job);
    WorkloadFixture next;
    next.now = fixture.now;
    next.addHost("b", "r1-2");
    next.workload.addJob(job.spec, record, next.now, next.wallNow());
    REQUIRE(next.runRound().placements.empty());
    REQUIRE(unitOf(next, "job", 0).phase == batch::UnitPhase::Done);
    next.advanceClock(9800ms);
    const auto plan = next.runRound();
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].unit.unit->attempt == batch::Attempt(2));
}

TEST_CASE("A job's waiting time and its time to completion are each reported once")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(2, 1, 5s)});
    fixture.runRound();
    REQUIRE(fixture.workload.takeTimings().empty());
    fixture.advanceClock(300ms);
    fixture.reportOrdersRunning("a", 0);
    auto timings = fixture.workload.takeTimings();
    REQUIRE(timings.size() == 1);
    REQUIRE(timings[0].workspace.value() == "rif");
    REQUIRE(timings[0].priority == 1);
    REQUIRE(timings[0].age == 300ms);
    fixture.reportEnd("a", WorkloadFixture::run("job", 0, 0, 1), batch::EndKind::Done);
    fixture.reportEnd("a", WorkloadFixture::run("job", 0, 1, 1), batch::EndKind::Done);
    timings = fixture.workload.takeTimings();
    REQUIRE(timings.size() == 1);
    REQUIRE(timings[0].status == batch::JobStatus::Complete);
}

// Guards against MIXED: jobs whose starts an executor refused weren't counted as waiting, since a job counted as begun once it was placed.
TEST_CASE("A job has begun once a task of it has, not when one is placed")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto &job = fixture.addJob("job", "long", "rif", {WorkloadFixture::step(2, 1, 5s)});
    fixture.runRound();
    REQUIRE(job.status == batch::JobStatus::Queued);
    REQUIRE(fixture.workload.recordOf(job).status == batch::JobStatus::Queued);
    SECTION("The executor has confirmed the start")
    {
        fixture.call("a").confirmed = {WorkloadFixture::run("job", 0, 1, 1)};
        fixture.sendReport("a");
    }
    SECTION("The executor has listed the run")
    {
        fixture.reportOrdersRunning("a", 0);
    }
    SECTION("The run has failed before it was listed")
    {
        fixture.reportEnd("a", WorkloadFixture::run("job", 0, 0, 1), batch::EndKind::Failed);
    }
    SECTION("The executor has crashed under the run")
    {
        fixture.call("a").crashed = {{WorkloadFixture::run("job", 0, 0, 1), 0ms, batch::RunBegin::Certain}};
        fixture.sendReport("a");
    }
    REQUIRE(job.status == batch::JobStatus::Active);
    REQUIRE(job.isDirty);
    REQUIRE(fixture.workload.recordOf(job).status == batch::JobStatus::Active);
}

TEST_CASE("A job whose starts were refused, or may never have reached the executor, hasn't begun")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto &job = fixture.addJob("job", "long", "rif", {WorkloadFixture::step(2, 1, 5s)});
    fixture.runRound();
    fixture.call("a").starting = {WorkloadFixture::run("job", 0, 1, 1)};
    fixture.call("a").barred = {WorkloadFixture::run("job", 0, 0, 1)};
    fixture.sendReport("a");
    REQUIRE(job.status == batch::JobStatus::Queued);
    fixture.call("a").crashed = {{WorkloadFixture::run("job", 0, 1, 1), 0ms, batch::RunBegin::Possible}};
    fixture.sendReport("a");
    fixture.call("a").report.incarnation = {"i-a-2", 2};
    fixture.sendReport("a");
    REQUIRE(job.status == batch::JobStatus::Queued);
}

TEST_CASE("A cancelled job's runs are stopped and no more are started")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(12, 1, 20s)});
    REQUIRE(fixture.runRound().placements.size() == 8);
    fixture.workload.cancelJob(base::JobId("job"), fixture.wallNow());
    REQUIRE(fixture.runRound().placements.empty());
    REQUIRE(fixture.workload.ordersFor(fixture.workload.hosts().at(batch::HostId("a"))).stops.size() == 8);
}

TEST_CASE("Each occurrence of a periodic job starts when it is due, and not before")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    batch::JobSpec spec;
    spec.id = base::JobId("timed");
    spec.queue = batch::QueueId("long");
    spec.service = base::ServiceId("ledger");
    spec.steps = {WorkloadFixture::step(1, 1, 1s)};
    spec.occurrences = 2;
    spec.firstDueMs = fixture.wallNow().time_since_epoch().count() + 1000;
    spec.period = 2s;
    fixture.workload.addJob(spec, std::nullopt, fixture.now, fixture.wallNow());
    REQUIRE(fixture.runRound().placements.empty());
    fixture.advanceClock(1s);
    REQUIRE(fixture.runRound().placements.size() == 1);
    fixture.advanceClock(1s);
    REQUIRE(fixture.runRound().placements.empty());
    fixture.advanceClock(1s);
    REQUIRE(fixture.runRound().placements.size() == 1);
}

TEST_CASE("A report of progress alone doesn't call for a round, but a change of runs does")
{
    // At hundreds of hosts, reports of progress come several hundred times a second, and a round for each of them saturates the leader.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(1, 1, 20s)});
    fixture.runRound();
    const auto apply = [&] {
        ++fixture.call("a").sequence;
        return fixture.workload.applySync(fixture.call("a"), fixture.now, fixture.wallNow());
    };
    fixture.call("a").running.push_back({WorkloadFixture::run("job", 0, 0, 1), "", 0});
    REQUIRE(apply() == batch::SyncEffect::Changed);
    fixture.call("a").running.front().percent = 10;
    REQUIRE(apply() == batch::SyncEffect::Progress);
    fixture.call("a").running.front().checkpoint = "saved";
    REQUIRE(apply() == batch::SyncEffect::Progress);
    fixture.call("a").running.clear();
    fixture.call("a").ended.push_back({1, WorkloadFixture::run("job", 0, 0, 1), batch::EndKind::Done, ""});
    REQUIRE(apply() == batch::SyncEffect::Changed);
    REQUIRE(apply() == batch::SyncEffect::Progress);
    fixture.call("a").report.isDraining = true;
    REQUIRE(apply() == batch::SyncEffect::Changed);
}

TEST_CASE("A host that reports again after a silence calls for a round")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.silentHosts.insert("a");
    fixture.advanceClock(5s);
    ++fixture.call("a").sequence;
    REQUIRE(fixture.workload.applySync(fixture.call("a"), fixture.now, fixture.wallNow()) == batch::SyncEffect::Changed);
}

TEST_CASE("Orders change only for the hosts that an event concerns")
{
    WorkloadFixture fixture;
    for (const auto *host : {"a", "b", "c"}) {
        fixture.addHost(host, "r1-1");
    }
    REQUIRE(fixture.workload.takeChangedHosts().size() == 3);
    fixture.addJob("gang", "long", "rif", {WorkloadFixture::gang(2, 8, 20s)});
    const auto placed = fixture.runRound().placements.at(0).hosts;
    const std::set<batch::HostId> gangHosts(placed.begin(), placed.end());
    REQUIRE(fixture.workload.takeChangedHosts() == gangHosts);
    for (const auto &host : placed) {
        fixture.reportOrdersRunning(host.value(), 5);
    }
    REQUIRE(fixture.workload.takeChangedHosts().empty());
    SECTION("a member's failure concerns the whole gang")
    {
        fixture.reportEnd(placed[0].value(), WorkloadFixture::run("gang", 0, 0, 1), batch::EndKind::Failed);
        REQUIRE(fixture.workload.takeChangedHosts() == gangHosts);
        REQUIRE(fixture.workload.ordersFor(fixture.workload.hosts().at(placed[1])).stops.size() == 1);
    }
    SECTION("so does a member that is done, which ends the gang")
    {
        fixture.reportEnd(placed[0].value(), WorkloadFixture::run("gang", 0, 0, 1), batch::EndKind::Done);
        REQUIRE(fixture.workload.takeChangedHosts() == gangHosts);
        REQUIRE(fixture.workload.ordersFor(fixture.workload.hosts().at(placed[1])).runs.empty());
    }
    SECTION("a cancellation concerns the hosts of the job")
    {
        fixture.workload.cancelJob(base::JobId("gang"), fixture.wallNow());
        REQUIRE(fixture.workload.takeChangedHosts() == gangHosts);
    }
    SECTION("a restarted executor is sent its orders again")
    {
        fixture.call("c").report.incarnation.born = 2;
        fixture.sendReport("c");
        REQUIRE(fixture.workload.takeChangedHosts() == std::set<batch::HostId>{batch::HostId("c")});
    }
}

TEST_CASE("A forgotten job leaves nothing behind on hosts that have not confirmed its end")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(2, 1, 20s)});
    fixture.runRound();
    fixture.workload.cancelJob(base::JobId("job"), fixture.wallNow());
    fixture.workload.forgetJob(base::JobId("job"));
    REQUIRE(fixture.workload.activeJobs().empty());
    REQUIRE(fixture.workload.ordersFor(fixture.workload.hosts().at(batch::HostId("a"))).stops.empty());
    fixture.advanceClock(20s);
    REQUIRE(fixture.runRound().stops.empty());
}

TEST_CASE("A task that an executor refuses to start is tried on another host")
{
    // It went to the same host again and again, with a record of each attempt, while another one was free.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(1, 8, 5s)});
    const auto first = fixture.runRound().placements.at(0).hosts.at(0);
    fixture.call(first.value()).barred = {WorkloadFixture::run("job", 0, 0, 1)};
    fixture.sendReport(first.value());
    REQUIRE(fixture.runRound().placements.at(0).hosts.at(0) != first);
}

// Guards against LIMIT: a start that was ordered before the room shrank stood for good, and an executor that doesn't check its room took it later.
TEST_CASE("A start that no longer fits its host is withdrawn, and nothing that runs is")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("early", "long", "rif", {WorkloadFixture::step(5, 1, 20s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 5);
    fixture.addJob("late", "long", "rif", {WorkloadFixture::step(3, 1, 20s)});
    REQUIRE(fixture.runRound().placements.size() == 3);
    fixture.call("a").report.capacity.accelerators = 7;
    fixture.sendReport("a");
    const auto plan = fixture.runRound();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].reason == batch::StopReason::NoRoom);
    REQUIRE(plan.stops[0].unit.job->spec.id.value() == "late");
    // The same room asks for nothing more.
    fixture.advanceClock(200ms);
    REQUIRE(fixture.runRound().stops.empty());
    fixture.call("a").report.capacity.accelerators = 2;
    fixture.sendReport("a");
    REQUIRE(fixture.runRound().stops.size() == 2);
    for (std::size_t i = 0; i < 5; ++i) {
        REQUIRE(unitOf(fixture, "early", i).stopReason == batch::StopReason::None);
    }
    // Once the host has barred the starts, they wait for room.
    fixture.call("a").barred = {WorkloadFixture::run("late", 0, 0, 1), WorkloadFixture::run("late", 0, 1, 1), WorkloadFixture::run("late", 0, 2, 1)};
    fixture.sendReport("a");
    REQUIRE(unitOf(fixture, "late", 0).phase == batch::UnitPhase::Waiting);
    REQUIRE(fixture.runRound().placements.empty());
}

TEST_CASE("A start of a whole host is withdrawn when the host's room shrinks, and placed elsewhere")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("job", "urgent", "atlas", {WorkloadFixture::step(1, 8, 2s)});
    REQUIRE(fixture.runRound().placements.size() == 1);
    fixture.call("a").report.capacity.accelerators = 4;
    fixture.addHost("b", "r1-2");
    fixture.sendReport("a");
    REQUIRE(fixture.runRound().stops.size() == 1);
    fixture.call("a").barred = {WorkloadFixture::run("job", 0, 0, 1)};
    fixture.sendReport("a");
    fixture.runRound();
    REQUIRE(unitOf(fixture, "job").members.at(0).host.value() == "b");
}

// Guards against EVAC, DRAIN and ROUTE: a start that an executor had refused so far stood, and was repeated until the executor took it.
TEST_CASE("Starts that have not begun are withdrawn from a host that no longer takes them, and placed elsewhere at once")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1", "pens");
    fixture.call("a").report.labels.insert("special");
    fixture.sendReport("a");
    auto special = WorkloadFixture::step(2, 1, 5s);
    special.requiredLabel = "special";
    auto &job = fixture.addJob("job", "long", "rif", {special});
    REQUIRE(fixture.runRound().placements.size() == 2);
    fixture.addHost("b", "r2-1", "fold");
    fixture.call("b").report.labels.insert("special");
    fixture.sendReport("b");
    // One has begun, and may run on.
    fixture.call("a").confirmed = {WorkloadFixture::run("job", 0, 1, 1)};
    auto &report = fixture.call("a").report;
    SECTION("Its data centre is evacuated")
    {
        fixture.evacuated = {base::DataCentreId("pens")};
    }
    SECTION("It drains")
    {
        report.isDraining = true;
        report.remaining = 20s;
    }
    SECTION("It leaves")
    {
        report.isLeaving = true;
    }
    SECTION("It has lost a label")
    {
        report.labels.erase("special");
    }
    SECTION("Its queue goes to another service")
    {
        fixture.policy->queues.at(batch::QueueId("long")).service = base::ServiceId("other");
        fixture.call("b").report.service = base::ServiceId("other");
        fixture.sendReport("b");
    }
    fixture.sendReport("a");
    const auto plan = fixture.runRound();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].reason == batch::StopReason::HostClosed);
    REQUIRE(plan.stops[0].unit.unit == &job.units.at(0));
    REQUIRE(fixture.runRound().stops.empty());
    fixture.call("a").barred = {WorkloadFixture::run("job", 0, 0, 1)};
    fixture.sendReport("a");
    const auto next = fixture.runRound();
    REQUIRE(next.placements.size() == 1);
    REQUIRE(next.placements[0].hosts.front().value() == "b");
    // It counts neither as a failure of the task nor against the host.
    REQUIRE(job.units.at(0).failures.empty());
    REQUIRE(job.units.at(0).crashes.empty());
    REQUIRE(job.units.at(0).failedHosts.empty());
}

TEST_CASE("A gang is withdrawn as a whole if one of its starts is")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1", "pens");
    fixture.addHost("b", "r1-2", "fold");
    fixture.addJob("gang", "long", "rif", {WorkloadFixture::gang(2, 8, 5s)});
    REQUIRE(fixture.runRound().placements.size() == 1);
    fixture.reportOrdersRunning("b", 0);
    fixture.evacuated = {base::DataCentreId("pens")};
    REQUIRE(fixture.runRound().stops.size() == 1);
    REQUIRE(fixture.workload.ordersFor(fixture.workload.hosts().at(batch::HostId("b"))).stops.size() == 1);
}

TEST_CASE("A new leader orders and withdraws no start before the host has listed its runs")
{
    // What an earlier leader ordered may be running by now, in a data centre that is evacuated.
    WorkloadFixture first;
    first.addHost("a", "r1-1", "pens");
    first.addJob("runs", "long", "rif", {WorkloadFixture::step(1, 1, 5s)});
    first.addJob("refused", "long", "rif", {WorkloadFixture::step(1, 1, 5s)});
    REQUIRE(first.runRound().placements.size() == 2);
    WorkloadFixture next;
    next.evacuated = {base::DataCentreId("pens")};
    for (const auto &[id, job] : first.workload.jobs()) {
        next.workload.addJob(job.spec, first.workload.recordOf(job), next.now, next.wallNow());
    }
    const auto orders = [&] {
        return next.workload.ordersFor(next.workload.hosts().at(batch::HostId("a")));
    };
    // The first call under the term's token has no list of runs under it yet.
    next.addHost("a", "r1-1", "pens");
    next.workload.hosts().at(batch::HostId("a")).isListed = false;
    REQUIRE(next.runRound().stops.empty());
    REQUIRE(orders().runs.empty());
    next.call("a").running = {{WorkloadFixture::run("runs", 0, 0, 1), "", 10}};
    (void)next.workload.takeChangedHosts();
    next.sendReport("a");
    REQUIRE(next.workload.takeChangedHosts().contains(batch::HostId("a")));
    const auto plan = next.runRound();
    REQUIRE(plan.stops.size() == 1);
    REQUIRE(plan.stops[0].unit.job->spec.id.value() == "refused");
    REQUIRE(orders().runs.size() == 1);
    REQUIRE(orders().stops.size() == 1);
}

TEST_CASE("A host whose room has shrunk gets no more than it offers now")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(12, 1, 20s)});
    REQUIRE(fixture.runRound().placements.size() == 8);
    fixture.reportOrdersRunning("a", 5);
    fixture.call("a").report.capacity.accelerators = 4;
    fixture.reportEnd("a", WorkloadFixture::run("job", 0, 0, 1), batch::EndKind::Done);
    REQUIRE(fixture.runRound().placements.empty());
    fixture.call("a").report.capacity.accelerators = 8;
    fixture.sendReport("a");
    REQUIRE(fixture.runRound().placements.size() == 1);
}

// Guards against work that runs twice: a call that had been under way since before the term told of an incarnation that was gone.
TEST_CASE("A host's first call in a term counts for the runs there only with a list of runs under the term's token")
{
    WorkloadFixture before;
    before.addHost("a", "r1-1");
    auto &job = before.addJob("job", "long", "rif", {WorkloadFixture::step(1, 8, 20s)});
    before.call("a").report.incarnation = {"i-next", 2};
    before.sendReport("a");
    before.runRound();
    const auto record = before.workload.recordOf(job);

    WorkloadFixture after;
    after.workload.addJob(job.spec, record, after.now, after.wallNow());
    auto delayed = before.call("a");
    delayed.report.incarnation = {"i-a", 1};
    delayed.listToken = base::FencingToken(WorkloadFixture::Token - 1);
    delayed.sequence = 1;
    after.workload.applySync(delayed, after.now, after.wallNow());
    REQUIRE(unitOf(after, "job").phase == batch::UnitPhase::Placed);
    REQUIRE(unitOf(after, "job").attempt == batch::Attempt(1));

    auto listed = before.call("a");
    listed.running = {{WorkloadFixture::run("job", 0, 0, 1), "", 5}};
    after.workload.applySync(listed, after.now, after.wallNow());
    REQUIRE(unitOf(after, "job").members.at(0).phase == batch::MemberPhase::Running);
}
