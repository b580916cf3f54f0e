/** Jobs of many tasks: what the leader keeps for them, and that each task runs once, whenever the leader changes. */
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "wire/codec.h"
#include "workload_fixture.h"

using namespace plantainfork;
using tests::WorkloadFixture;
using namespace std::chrono_literals;

namespace
{

/** Resources of which 16,000 tasks fit on one host at a time. */
batch::Step tinyStep(std::uint32_t tasks)
{
    batch::Step step = WorkloadFixture::step(tasks, 0, 6100ms);
    step.need = {4, 4, 0};
    return step;
}

std::size_t countOrders(const WorkloadFixture &fixture, const std::string &host)
{
    return fixture.workload.ordersFor(fixture.workload.hosts().at(batch::HostId(host))).runs.size();
}

/** Runs jobs to their end on hosts that end what they run in random order, under one leader after the other. */
class ChangingLeaders
{
public:
    explicit ChangingLeaders(unsigned seed)
        : m_random(seed)
    {
        m_spec.id = base::JobId("job");
        m_spec.queue = batch::QueueId("patient");
        m_spec.service = base::ServiceId("ledger");
        m_spec.workspace = base::WorkspaceId("rif");
        m_spec.maxFailures = 100;
    }

    batch::JobSpec &spec()
    {
        return m_spec;
    }

    /** Returns whether the job became complete. */
    bool run()
    {
        std::optional<batch::JobState> recorded;
        for (unsigned term = 1; term < 200; ++term) {
            WorkloadFixture fixture;
            fixture.policy->queues.at(m_spec.queue).maxFailures = m_spec.maxFailures;
            for (const std::string host : {"a", "b", "c"}) {
                fixture.addHost(host, "r1-" + host);
                auto &call = fixture.call(host);
                call.agentIncarnation = term;
                call.running = m_running[host];
                call.ended = m_ended[host];
            }
            fixture.workload.addJob(m_spec, recorded, fixture.now, fixture.wallNow());
            for (int round = 0; round < 12; ++round) {
                runRound(fixture);
                recorded = record(fixture);
                if (recorded->status == batch::JobStatus::Complete) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Tasks that were started again after their end `done`. */
    std::size_t startedAfterDone = 0;
    /** Number of runs that ended `done`. */
    std::map<batch::TaskId, unsigned> doneRuns;
    /** Starts before all tasks of the steps that the task's step depends on were done. */
    std::size_t startedEarly = 0;

private:
    void runRound(WorkloadFixture &fixture)
    {
        fixture.advanceClock(300ms);
        fixture.runRound();
        for (const std::string host : {"a", "b", "c"}) {
            for (const auto &order : fixture.workload.ordersFor(fixture.workload.hosts().at(batch::HostId(host))).runs) {
                start(host, order.run);
            }
            endSome(host);
            fixture.call(host).running = m_running[host];
            fixture.call(host).ended = m_ended[host];
            fixture.sendReport(host);
        }
    }

    batch::JobState record(WorkloadFixture &fixture)
    {
        const auto encoded = wire::encode(fixture.workload.recordOf(fixture.workload.jobs().at(m_spec.id)));
        return *wire::decode<batch::JobState>(encoded);
    }

    void start(const std::string &host, const batch::RunId &run)
    {
        auto &running = m_running[host];
        const bool isKnown = std::any_of(running.begin(),
                                         running.end(),
                                         [&](const batch::Running &other) {
                                             return other.run == run;
                                         })
            || std::any_of(m_ended[host].begin(), m_ended[host].end(), [&](const batch::Ended &other) {
                                 return other.run == run;
                             });
        if (isKnown) {
            return;
        }
        startedAfterDone += doneRuns[run.task] > 0 ? 1 : 0;
        for (const auto dependency : m_spec.steps[run.task.step].dependsOn) {
            for (std::uint32_t index = 0; index < m_spec.steps[dependency].tasks; ++index) {
                startedEarly += doneRuns[{m_spec.id, run.task.occurrence, dependency, index}] == 0 ? 1 : 0;
            }
        }
        running.push_back({run, "", 10});
    }

    void endSome(const std::string &host)
    {
        auto &running = m_running[host];
        std::shuffle(running.begin(), running.end(), m_random);
        std::size_t ending = running.size() * 2 / 3 + 1;
        while (ending-- > 0 && !running.empty()) {
            const batch::RunId run = running.back().run;
            const bool isFailing = !m_spec.steps[run.task.step].isGang && m_random() % 10 == 0;
            running.pop_back();
            doneRuns[run.task] += isFailing ? 0 : 1;
            m_ended[host].push_back({++m_ends[host], run, isFailing ? batch::EndKind::Failed : batch::EndKind::Done, ""});
        }
    }

    std::mt19937 m_random;
    batch::JobSpec m_spec;
    std::map<std::string, std::vector<batch::Running>> m_running;
    std::map<std::string, std::vector<batch::Ended>> m_ended;
    std::map<std::string, std::uint64_t> m_ends;
};

} // namespace

TEST_CASE("A job of very many tasks that fit nowhere costs the leader the state of one task a step")
{
    // Sixteen such jobs ended each entry in turn by its memory (review/10).
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    for (const std::string id : {"j1", "j2", "j3"}) {
        const std::vector<batch::Step> steps(10, WorkloadFixture::step(10'000, 9, 6100ms));
        fixture.addJob(id, "patient", "rif", steps);
    }
    auto &ordinary = fixture.addJob("ordinary", "urgent", "atlas", {WorkloadFixture::step(3, 1, 2500ms)});
    const auto plan = fixture.runRound();
    REQUIRE(plan.placements.size() == 3);
    REQUIRE(ordinary.unitsWithMembers == 3);
    REQUIRE(ordinary.waitingUnits == 0);
    for (const std::string id : {"j1", "j2", "j3"}) {
        REQUIRE(fixture.workload.jobs().at(base::JobId(id)).units.size() <= 10);
    }
}

TEST_CASE("A large job's steps that fit nowhere don't keep its other steps from running")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto &job = fixture.addJob("job", "patient", "rif", {WorkloadFixture::gang(5000, 9, 1s), WorkloadFixture::step(10'000, 9, 1s), tinyStep(100)});
    fixture.runRound();
    REQUIRE(job.unitsWithMembers == 100);
}

TEST_CASE("A large job starts no further task while thousands of its tasks have been started and aren't done")
{
    WorkloadFixture fixture;
    for (const std::string host : {"a", "b", "c", "d", "e"}) {
        fixture.addHost(host, "r1-1");
    }
    auto &job = fixture.addJob("job", "patient", "rif", {tinyStep(10'000), tinyStep(10'000), tinyStep(10'000)});
    fixture.runRound();
    REQUIRE(job.openTasks() == batch::JobLimits::OpenTasks);
    fixture.runRound();
    REQUIRE(job.openTasks() == batch::JobLimits::OpenTasks);
    // No host gets more than its agent can keep and report.
    REQUIRE(countOrders(fixture, "a") <= 1024);
    auto &other = fixture.addJob("other", "urgent", "atlas", {WorkloadFixture::step(3, 1, 2500ms)});
    fixture.runRound();
    REQUIRE(other.unitsWithMembers == 3);
}

TEST_CASE("A large gang starts as a whole, beyond the bound on a job's open tasks")
{
    WorkloadFixture fixture;
    for (const std::string host : {"a", "b", "c", "d", "e"}) {
        fixture.addHost(host, "r1-1");
    }
    batch::Step gang = tinyStep(5000);
    gang.isGang = true;
    auto &job = fixture.addJob("job", "patient", "rif", {gang, tinyStep(100)});
    fixture.runRound();
    REQUIRE(job.units.at(0).members.size() == 5000);
}

TEST_CASE("Each task of a large job runs to its end once, however often the leader changes")
{
    const unsigned seed = GENERATE(range(1U, 7U));
    CAPTURE(seed);
    ChangingLeaders leaders(seed);
    const std::uint32_t tasks = seed % 2 == 0 ? 300 : 900;
    leaders.spec().steps = {tinyStep(tasks), tinyStep(tasks), tinyStep(40)};
    leaders.spec().steps[1].dependsOn = {0};
    leaders.spec().steps[2].isGang = true;
    leaders.spec().steps[2].dependsOn = {1};
    if (seed > 4) {
        leaders.spec().occurrences = 3;
        leaders.spec().firstDueMs = 1;
        leaders.spec().period = 1ms;
    }
    REQUIRE(leaders.run());
    REQUIRE(leaders.startedAfterDone == 0);
    REQUIRE(leaders.startedEarly == 0);
    REQUIRE(leaders.doneRuns.size() == static_cast<std::size_t>(2 * tasks + 40) * std::max(leaders.spec().occurrences, 1U));
}

TEST_CASE("A record of a large job that an earlier version wrote is read")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    batch::JobSpec spec;
    spec.id = base::JobId("job");
    spec.queue = batch::QueueId("patient");
    spec.service = base::ServiceId("ledger");
    spec.maxFailures = 3;
    spec.steps = {tinyStep(2000)};
    batch::JobState state;
    state.status = batch::JobStatus::Active;
    // All but three are done; two of these were never placed.
    for (std::uint32_t index = 0; index < 2000; ++index) {
        if (index == 5 || index == 1999) {
            continue;
        }
        batch::UnitRecord record;
        record.index = index;
        record.isDone = index != 700;
        record.attempt = batch::Attempt(1);
        state.units.push_back(record);
    }
    fixture.workload.addJob(spec, state, fixture.now, fixture.wallNow());
    fixture.workload.removeDoneUnits();
    const auto plan = fixture.runRound();
    std::set<std::uint32_t> placed;
    for (const auto &placement : plan.placements) {
        placed.insert(placement.unit.unit->index);
    }
    REQUIRE(placed == std::set<std::uint32_t>{5, 700, 1999});
    REQUIRE(fixture.workload.recordOf(fixture.workload.jobs().at(spec.id)).doneRanges.size() == 3);
}

TEST_CASE("What a large record is yet to have is neither ordered nor acknowledged")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto &big = fixture.addJob("big", "patient", "rif", {tinyStep(200)});
    fixture.addJob("other", "urgent", "atlas", {WorkloadFixture::step(1, 1, 1s)});
    fixture.runRound();
    const batch::HostId host("a");
    const auto orders = [&] {
        return fixture.workload.takeOrders(host);
    };
    fixture.workload.beginApart(big);
    REQUIRE(orders().runs.size() == 1);
    const auto first = fixture.workload.beginRecord(big, 100'000, fixture.now);
    REQUIRE(orders().runs.size() == 1);
    static_cast<void>(fixture.workload.takeChangedHosts());
    fixture.workload.noteRecorded(big, first);
    REQUIRE(fixture.workload.takeChangedHosts() == std::set<batch::HostId>{host});
    REQUIRE(orders().runs.size() == 201);

    fixture.reportOrdersRunning("a", 10);
    fixture.reportEnd("a", WorkloadFixture::run("other", 0, 0, 1), batch::EndKind::Done);
    fixture.reportEnd("a", WorkloadFixture::run("big", 0, 0, 1), batch::EndKind::Done);
    fixture.reportEnd("a", WorkloadFixture::run("big", 0, 1, 1), batch::EndKind::Done);
    REQUIRE(orders().acknowledged == 1);
    const auto second = fixture.workload.beginRecord(big, 100'000, fixture.now);
    // An end that comes while the record is being written isn't in it.
    fixture.reportEnd("a", WorkloadFixture::run("big", 0, 2, 1), batch::EndKind::Done);
    REQUIRE(orders().acknowledged == 1);
    fixture.workload.noteRecorded(big, second);
    REQUIRE(orders().acknowledged == 3);
    fixture.workload.noteRecorded(big, fixture.workload.beginRecord(big, 1000, fixture.now));
    REQUIRE(orders().acknowledged == 4);
    REQUIRE_FALSE(big.isRecordedApart);
}

TEST_CASE("Ends from before a record became large wait for it, too")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto &big = fixture.addJob("big", "patient", "rif", {tinyStep(200)});
    fixture.runRound();
    fixture.workload.beginRecord(big, 1000, fixture.now);
    fixture.reportOrdersRunning("a", 10);
    fixture.reportEnd("a", WorkloadFixture::run("big", 0, 0, 1), batch::EndKind::Done);
    fixture.workload.beginApart(big);
    REQUIRE(fixture.workload.takeOrders(batch::HostId("a")).acknowledged == 0);
    fixture.workload.noteRecorded(big, fixture.workload.beginRecord(big, 100'000, fixture.now));
    REQUIRE(fixture.workload.takeOrders(batch::HostId("a")).acknowledged == 1);
}

TEST_CASE("A job whose record is refused takes back what no host knows of, and is suspended for a while")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto &big = fixture.addJob("big", "patient", "rif", {WorkloadFixture::step(70, 0, 10s)});
    fixture.runRound();
    REQUIRE(big.unitsWithMembers == 64);
    const auto record = fixture.workload.beginRecord(big, 1000, fixture.now);
    fixture.workload.refuseRecord(big, record, fixture.now);
    REQUIRE(big.unitsWithMembers == 0);
    REQUIRE(fixture.workload.takeOrders(batch::HostId("a")).runs.empty());
    fixture.advanceClock(1s);
    REQUIRE(fixture.runRound().placements.empty());
    fixture.advanceClock(batch::Workload::SuspensionOfJob);
    REQUIRE(fixture.runRound().placements.size() == 64);
}

TEST_CASE("A record doesn't grow for as long as a task that lasts fails, or a gang's hosts crash")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    batch::Step lasting = WorkloadFixture::step(1, 1, 1s);
    lasting.isLongRunning = true;
    auto &job = fixture.addJob("job", "patient", "rif", {lasting});
    std::size_t bytes = 0;
    for (std::uint64_t attempt = 1; attempt <= 300; ++attempt) {
        fixture.runRound();
        fixture.reportOrdersRunning("a", 10);
        if (job.unitsWithMembers == 1) {
            fixture.reportEnd("a", WorkloadFixture::run("job", 0, 0, job.units.at(0).attempt.value()), batch::EndKind::Failed);
        }
        fixture.advanceClock(10s);
        bytes = attempt == 10 ? wire::encode(fixture.workload.recordOf(job)).size() : bytes;
    }
    REQUIRE(job.units.at(0).attempt.value() > 100);
    REQUIRE(wire::encode(fixture.workload.recordOf(job)).size() <= bytes + 16);

    batch::Crashes crashes;
    for (std::uint32_t task = 0; task < 5000; ++task) {
        batch::addCrash(crashes, {batch::Attempt(1), task, batch::HostId("a"), batch::CrashBlame::Bystander, batch::RunBegin::Certain});
    }
    REQUIRE(crashes.size() == batch::CrashLimits::Kept);
    // A crash for which the task may be to blame is kept.
    REQUIRE(batch::addCrash(crashes, {batch::Attempt(1), 6000, batch::HostId("a"), batch::CrashBlame::Sole, batch::RunBegin::Certain}));
    REQUIRE(batch::countCrashes(crashes, 6000) == 1);
}

TEST_CASE("A job of several large gangs starts one after the other")
{
    WorkloadFixture fixture;
    for (const std::string host : {"a", "b", "c"}) {
        fixture.addHost(host, "r1-1");
    }
    batch::Step gang = tinyStep(2500);
    gang.isGang = true;
    auto &job = fixture.addJob("job", "patient", "rif", {gang, gang});
    fixture.runRound();
    REQUIRE(job.unitsWithMembers == 1);
    fixture.runRound();
    REQUIRE(job.unitsWithMembers == 1);
}

TEST_CASE("All jobs together open no more tasks than the leader's memory allows, and no workspace takes all of them")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    batch::PlannerBounds bounds;
    bounds.maxOpenTasks = 100;
    bounds.maxPlacements = 20;
    fixture.planner = batch::Planner(bounds);
    auto &large = fixture.addJob("large", "patient", "rif", {tinyStep(300)});
    for (int round = 0; round < 20; ++round) {
        fixture.runRound();
    }
    const std::size_t first = large.openTasks();
    REQUIRE(first >= 75);
    REQUIRE(first < 100);
    // Of two that want more each gets half of three quarters, but what is open stays open.
    auto &other = fixture.addJob("other", "patient", "atlas", {tinyStep(60)});
    for (int round = 0; round < 20; ++round) {
        fixture.runRound();
    }
    REQUIRE(large.openTasks() == first);
    REQUIRE(large.openTasks() + other.openTasks() == 100);
    fixture.reportOrdersRunning("a", 10);
    const auto runs = fixture.call("a").running;
    // A task that has failed is open, so its next attempt needs no further room.
    fixture.reportEnd("a", runs[0].run, batch::EndKind::Failed);
    fixture.reportEnd("a", runs[1].run, batch::EndKind::Done);
    fixture.reportEnd("a", runs[2].run, batch::EndKind::Done);
    REQUIRE(large.openTasks() == first - 2);
    REQUIRE(fixture.runRound().placements.size() == 3);
    REQUIRE(large.openTasks() == first - 2);
    REQUIRE(other.openTasks() == 100 - first + 2);
}

TEST_CASE("Tasks that need next to nothing don't keep others from hosts whose resources are free")
{
    // Jobs of tasks without any need took all places that hosts have for tasks, and an ordinary job behind them waited with all accelerators free.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    batch::Step nothing = tinyStep(10'000);
    nothing.need = {};
    fixture.addJob("nothing", "patient", "rif", {nothing});
    fixture.runRound();
    REQUIRE(countOrders(fixture, "a") == 1024);
    fixture.advanceClock(1s);
    auto &ordinary = fixture.addJob("ordinary", "patient", "atlas", {WorkloadFixture::step(3, 1, 2500ms)});
    fixture.runRound();
    REQUIRE(ordinary.unitsWithMembers == 3);
}
