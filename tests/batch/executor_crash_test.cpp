/** What becomes of tasks under which executors crash, and of what runs beside them. */
#include <catch2/catch.hpp>

#include "batch/workload_fixture.h"
#include "wire/codec.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::unitOf;
using tests::WorkloadFixture;

namespace
{

/** The executor of the host crashes with the runs on it, and is back as another incarnation. */
void crashExecutor(WorkloadFixture &fixture, const batch::HostId &host, const std::vector<batch::CrashedRun> &runs)
{
    auto &call = fixture.call(host.value());
    call.crashed = runs;
    call.running.clear();
    call.report.incarnation.instance += "x";
    ++call.report.incarnation.born;
    fixture.sendReport(host.value());
}

/** A run that crashed its executor right after its start, and one that had been running for a while. */
batch::CrashedRun justBegun(const std::string &job, std::uint64_t attempt)
{
    return {WorkloadFixture::run(job, 0, 0, attempt), 0ms, batch::RunBegin::Certain};
}
/** A run whose start was sent when the executor crashed, and not answered. */
batch::CrashedRun unanswered(const std::string &job, std::uint64_t attempt)
{
    return {WorkloadFixture::run(job, 0, 0, attempt), 0ms, batch::RunBegin::Possible};
}
batch::CrashedRun listed(const std::string &job, std::uint64_t attempt, std::chrono::milliseconds time = 1s)
{
    return {WorkloadFixture::run(job, 0, 0, attempt), time, batch::RunBegin::Certain};
}

batch::JobStatus statusOf(WorkloadFixture &fixture, const std::string &job)
{
    return fixture.workload.jobs().at(base::JobId(job)).status;
}

} // namespace

TEST_CASE("A task under which executors crash one after the other is given up, and its job with it")
{
    // Its start crashed executor after executor, with all that ran there, until the day's end.
    WorkloadFixture fixture;
    for (const auto *host : {"a", "b", "c"}) {
        fixture.addHost(host, "r1-1");
    }
    fixture.addJob("deadly", "long", "rif", {WorkloadFixture::step(1, 8, 5s)});
    const auto first = fixture.runRound().placements.at(0).hosts.at(0);
    crashExecutor(fixture, first, {justBegun("deadly", 1)});
    REQUIRE(statusOf(fixture, "deadly") == batch::JobStatus::Active);
    const auto second = fixture.runRound().placements.at(0).hosts.at(0);
    REQUIRE(second != first);
    crashExecutor(fixture, second, {justBegun("deadly", 2)});
    REQUIRE(statusOf(fixture, "deadly") == batch::JobStatus::Failed);
    REQUIRE(fixture.runRound().placements.empty());
}

TEST_CASE("A task whose start was left unanswered in a crash is not given up at the next crash under it")
{
    // Soak seed 124: a start was sent within a millisecond of its executor's crash, and one crash under the task's next run ended its job.
    WorkloadFixture fixture;
    for (const auto *host : {"a", "b", "c", "d"}) {
        fixture.addHost(host, "r1-1");
    }
    fixture.addJob("harmless", "long", "rif", {WorkloadFixture::step(1, 8, 5s)});
    const auto first = fixture.runRound().placements.at(0).hosts.at(0);
    crashExecutor(fixture, first, {unanswered("harmless", 1)});
    REQUIRE(unitOf(fixture, "harmless").isCrashSuspect());
    const auto second = fixture.runRound().placements.at(0).hosts.at(0);
    REQUIRE(second != first);
    crashExecutor(fixture, second, {justBegun("harmless", 2)});
    REQUIRE(statusOf(fixture, "harmless") == batch::JobStatus::Active);
    SECTION("but at the one after it, also by a leader that knows only the record")
    {
        const auto &job = fixture.workload.jobs().at(base::JobId("harmless"));
        WorkloadFixture next;
        next.addHost("c", "r1-1");
        next.workload.addJob(job.spec, wire::decode<batch::JobState>(wire::encode(fixture.workload.recordOf(job))).value(), next.now, next.wallNow());
        const auto third = next.runRound().placements.at(0).hosts.at(0);
        crashExecutor(next, third, {justBegun("harmless", 3)});
        REQUIRE(statusOf(next, "harmless") == batch::JobStatus::Failed);
    }
    SECTION("nor at a third whose start was left unanswered, but at the fourth of any kind")
    {
        const auto third = fixture.runRound().placements.at(0).hosts.at(0);
        crashExecutor(fixture, third, {unanswered("harmless", 3)});
        REQUIRE(statusOf(fixture, "harmless") == batch::JobStatus::Active);
        const auto fourth = fixture.runRound().placements.at(0).hosts.at(0);
        crashExecutor(fixture, fourth, {unanswered("harmless", 4)});
        REQUIRE(statusOf(fixture, "harmless") == batch::JobStatus::Failed);
    }
}

TEST_CASE("What runs beside tasks that crash executors is not given up with them")
{
    // Harmless tasks were lost three times with deadly ones that started beside them, and their jobs were given up, too.
    WorkloadFixture fixture;
    for (const auto *host : {"a", "b", "c", "d"}) {
        fixture.addHost(host, "r1-1");
    }
    fixture.addJob("deadly", "long", "rif", {WorkloadFixture::step(1, 1, 5s)});
    fixture.addJob("harmless", "long", "rif", {WorkloadFixture::step(1, 1, 5s)});
    const auto placements = fixture.runRound().placements;
    const auto first = placements.at(0).hosts.at(0);
    REQUIRE(placements.at(1).hosts.at(0) == first);
    SECTION("where both had just begun, each starts by itself from then on")
    {
        crashExecutor(fixture, first, {justBegun("deadly", 1), justBegun("harmless", 1)});
        const auto retries = fixture.runRound().placements;
        REQUIRE(retries.size() == 2);
        REQUIRE(retries[0].hosts.at(0) != first);
        REQUIRE(retries[1].hosts.at(0) != first);
        REQUIRE(retries[0].hosts != retries[1].hosts);
        const std::size_t deadly = retries[0].unit.job->spec.id.value() == "deadly" ? 0 : 1;
        crashExecutor(fixture, retries[deadly].hosts.at(0), {justBegun("deadly", 2)});
        REQUIRE(statusOf(fixture, "deadly") == batch::JobStatus::Failed);
        REQUIRE(statusOf(fixture, "harmless") == batch::JobStatus::Active);
    }
    SECTION("what had been running for a while is not to blame")
    {
        crashExecutor(fixture, batch::HostId("a"), {justBegun("deadly", 1), listed("harmless", 1)});
        crashExecutor(fixture, batch::HostId("b"), {justBegun("other", 1), listed("harmless", 2)});
        crashExecutor(fixture, batch::HostId("c"), {justBegun("another", 1), listed("harmless", 3)});
        REQUIRE(statusOf(fixture, "harmless") == batch::JobStatus::Active);
    }
}

TEST_CASE("A unit that was on a crashed executor waits while another task starts on the only host, and others wait for it")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("suspect", "long", "rif", {WorkloadFixture::step(1, 1, 5s)});
    fixture.runRound();
    crashExecutor(fixture, batch::HostId("a"), {justBegun("suspect", 1)});
    fixture.addJob("other", "long", "rif", {WorkloadFixture::step(1, 1, 5s)});
    REQUIRE(fixture.runRound().placements.size() == 1);
    REQUIRE(fixture.runRound().placements.empty());
    fixture.reportOrdersRunning("a", 1);
    REQUIRE(fixture.runRound().placements.size() == 1);
}

TEST_CASE("Crashes of one host alone are not blamed on a task before the third")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addJob("job", "long", "rif", {WorkloadFixture::step(1, 8, 5s)});
    for (std::uint64_t attempt = 1; attempt <= 2; ++attempt) {
        REQUIRE(fixture.runRound().placements.size() == 1);
        crashExecutor(fixture, batch::HostId("a"), {justBegun("job", attempt)});
        REQUIRE(statusOf(fixture, "job") == batch::JobStatus::Active);
    }
    REQUIRE(fixture.runRound().placements.size() == 1);
    crashExecutor(fixture, batch::HostId("a"), {justBegun("job", 3)});
    REQUIRE(statusOf(fixture, "job") == batch::JobStatus::Failed);
}

TEST_CASE("A crash that is reported repeatedly counts once, and a new leader goes on counting")
{
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    auto &job = fixture.addJob("deadly", "long", "rif", {WorkloadFixture::step(1, 8, 5s)});
    const auto first = fixture.runRound().placements.at(0).hosts.at(0);
    crashExecutor(fixture, first, {justBegun("deadly", 1)});
    fixture.sendReport(first.value());
    REQUIRE(unitOf(fixture, "deadly").crashes.size() == 1);
    REQUIRE(job.isDirty);
    WorkloadFixture next;
    next.addHost("a", "r1-1");
    next.addHost("b", "r1-1");
    next.workload.addJob(job.spec, wire::decode<batch::JobState>(wire::encode(fixture.workload.recordOf(job))).value(), next.now, next.wallNow());
    const auto second = next.runRound().placements.at(0).hosts.at(0);
    REQUIRE(second != first);
    crashExecutor(next, second, {justBegun("deadly", 2)});
    REQUIRE(statusOf(next, "deadly") == batch::JobStatus::Failed);
}

TEST_CASE("A task under which executors crash together with their agents is given up, too")
{
    // Agents that were killed with their executors couldn't tell of the crash, and the task was started again and again.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto step = WorkloadFixture::step(1, 8, 5s);
    const auto restartHost = [&](bool hasNewAgent) {
        fixture.call("a").agentIncarnation += hasNewAgent ? 1 : 0;
        fixture.call("a").hasSeenEnd = !hasNewAgent;
        crashExecutor(fixture, batch::HostId("a"), {});
    };
    SECTION("at the fourth crash")
    {
        fixture.addJob("job", "long", "rif", {step});
        for (int crash = 1; crash <= 4; ++crash) {
            REQUIRE(fixture.runRound().placements.size() == 1);
            REQUIRE(statusOf(fixture, "job") == batch::JobStatus::Queued);
            restartHost(true);
        }
        REQUIRE(statusOf(fixture, "job") == batch::JobStatus::Failed);
    }
    SECTION("but not for executors that ended as planned")
    {
        fixture.addJob("job", "long", "rif", {step});
        for (int end = 1; end <= 5; ++end) {
            REQUIRE(fixture.runRound().placements.size() == 1);
            fixture.call("a").report.isDraining = true;
            fixture.sendReport("a");
            fixture.call("a").report.isDraining = false;
            restartHost(true);
        }
        REQUIRE(statusOf(fixture, "job") == batch::JobStatus::Queued);
    }
    SECTION("but not for what an agent that lives on says has not begun")
    {
        fixture.addJob("job", "long", "rif", {step});
        for (int crash = 1; crash <= 5; ++crash) {
            REQUIRE(fixture.runRound().placements.size() == 1);
            restartHost(false);
        }
        REQUIRE(statusOf(fixture, "job") == batch::JobStatus::Queued);
    }
    SECTION("but not for what an agent that lives on tells another leader")
    {
        auto &job = fixture.addJob("job", "long", "rif", {step});
        REQUIRE(fixture.runRound().placements.size() == 1);
        WorkloadFixture next;
        next.workload.addJob(job.spec, fixture.workload.recordOf(job), next.now, next.wallNow());
        auto call = fixture.call("a");
        call.report.incarnation = {"i-next", 2};
        SECTION("if it has seen the executor end")
        {
            call.hasSeenEnd = true;
            next.workload.applySync(call, next.now, next.wallNow());
            REQUIRE(unitOf(next, "job").crashes.empty());
        }
        SECTION("unless it has begun since")
        {
            call.hasSeenEnd = false;
            next.workload.applySync(call, next.now, next.wallNow());
            REQUIRE(unitOf(next, "job").crashes.size() == 1);
        }
    }
    SECTION("but not for a task that lasts")
    {
        step.isLongRunning = true;
        fixture.addJob("job", "long", "rif", {step});
        for (int crash = 1; crash <= 5; ++crash) {
            REQUIRE(fixture.runRound().placements.size() == 1);
            restartHost(true);
        }
        REQUIRE(statusOf(fixture, "job") == batch::JobStatus::Queued);
    }
}

TEST_CASE("A job that lasts outlives any number of executors that crash while it has been at work for long")
{
    // The fourth crash in its life ended it for good, though it had been at work for days.
    WorkloadFixture fixture;
    fixture.addHost("a", "r1-1");
    auto step = WorkloadFixture::step(1, 8, 5s);
    step.isLongRunning = true;
    fixture.addJob("lasting", "long", "rif", {step});
    for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
        REQUIRE(fixture.runRound().placements.size() == 1);
        crashExecutor(fixture, batch::HostId("a"), {listed("lasting", attempt, 24h)});
        REQUIRE(statusOf(fixture, "lasting") == batch::JobStatus::Active);
    }
    SECTION("but not the crashes of executors right after its start")
    {
        for (std::uint64_t attempt = 6; attempt <= 8; ++attempt) {
            REQUIRE(fixture.runRound().placements.size() == 1);
            crashExecutor(fixture, batch::HostId("a"), {justBegun("lasting", attempt)});
        }
        REQUIRE(statusOf(fixture, "lasting") == batch::JobStatus::Failed);
    }
}
