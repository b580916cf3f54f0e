/** What the agent lets its executor do, and when: grants, fencing, lost answers and the acknowledgement of ended runs. */
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "batch/agent_fixture.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::AgentFixture;

namespace
{

/** Runs that an executor had when it crashed, each with whether it had settled. */
using CrashedRuns = std::vector<std::pair<batch::RunId, bool>>;

CrashedRuns crashedRuns(const batch::SyncCall &call)
{
    CrashedRuns runs;
    for (const auto &crashed : call.crashed) {
        runs.emplace_back(crashed.run, crashed.listedFor >= batch::CrashTiming::SettleTime);
    }
    return runs;
}

/** The same runs, each with whether it had certainly begun. */
using BegunRuns = std::vector<std::pair<batch::RunId, batch::RunBegin>>;

BegunRuns begunRuns(const batch::SyncCall &call)
{
    BegunRuns runs;
    for (const auto &crashed : call.crashed) {
        runs.emplace_back(crashed.run, crashed.begin);
    }
    return runs;
}

} // namespace

TEST_CASE("Ended runs are acknowledged only while they are listed, so that a restarted executor drops no unreported ones")
{
    batch::Ended first;
    first.number = 11;
    batch::Ended second;
    second.number = 12;
    REQUIRE(batch::acknowledgement({first, second}, 11) == 11);
    REQUIRE(batch::acknowledgement({second}, 11) == 0);
    REQUIRE(batch::acknowledgement({}, 12) == 0);
}

TEST_CASE("A start lets the executor run no longer than the leader's grant")
{
    // A start's deadline prolongs the executor's lease. Beyond the grant, the leader may have given the task to another host.
    const std::chrono::milliseconds grant(700);
    AgentFixture fixture([grant](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, grant);
    });
    fixture.runUntil([&] {
        return !fixture.executor.starts.empty();
    });
    const auto &start = fixture.executor.starts.front();
    REQUIRE(start.token.value() == 3);
    REQUIRE(start.until <= start.at + grant);
    for (const auto &hold : fixture.executor.holds) {
        REQUIRE(hold.until <= fixture.executor.clock() + grant);
    }
}

TEST_CASE("An agent that was paused until its grant had run out starts nothing")
{
    bool isFirstCall = true;
    AgentFixture fixture([&](const batch::SyncCall &) -> absl::StatusOr<batch::SyncReply> {
        if (!std::exchange(isFirstCall, false)) {
            return absl::UnavailableError("leader gone");
        }
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 300ms);
    });
    fixture.executor.firstAnswerDelay = 900ms;
    fixture.runUntil([&] {
        return fixture.executor.holds.size() >= 3;
    });
    REQUIRE(fixture.executor.starts.empty());
}

TEST_CASE("Orders of a superseded leader are ignored")
{
    bool isNewLeaderHeard = false;
    AgentFixture fixture([&](const batch::SyncCall &) {
        if (!std::exchange(isNewLeaderHeard, true)) {
            return AgentFixture::order(AgentFixture::run("new", 1), 9, 1, 5s);
        }
        return AgentFixture::order(AgentFixture::run("old", 1), 8, 50, 5s);
    });
    fixture.runUntil([&] {
        return fixture.calls.size() >= 6 && !fixture.executor.starts.empty();
    });
    for (const auto &start : fixture.executor.starts) {
        REQUIRE(start.run.task.job.value() == "new");
        REQUIRE(start.token.value() == 9);
    }
}

TEST_CASE("After a lost answer the run that the executor lists is not started again")
{
    AgentFixture fixture([](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
    });
    fixture.executor.isNextAnswerLost = true;
    fixture.runUntil([&] {
        return !fixture.calls.empty() && !fixture.calls.back().running.empty();
    });
    const auto started = fixture.executor.starts.size();
    fixture.runFor(300ms);
    REQUIRE(fixture.executor.starts.size() == started);
    for (const auto &start : fixture.executor.starts) {
        REQUIRE(start.run == AgentFixture::run("job", 1));
    }
}

TEST_CASE("The leader is told that a start was confirmed before a listing shows the run, and not that it was tried")
{
    const auto run = AgentFixture::run("job", 1);
    AgentFixture fixture([&](const batch::SyncCall &) {
        return AgentFixture::order(run, 3, 1, 5s);
    });
    fixture.executor.isListingOld = true;
    fixture.executor.startResult = {batch::StartOutcome::Retryable, "503"};
    fixture.runUntil([&] {
        return fixture.executor.starts.size() >= 3;
    });
    REQUIRE(std::all_of(fixture.calls.begin(), fixture.calls.end(), [](const batch::SyncCall &call) {
        return call.confirmed.empty();
    }));
    fixture.executor.startResult = {batch::StartOutcome::Started, ""};
    fixture.runUntil([&] {
        return fixture.calls.back().confirmed == std::vector<batch::RunId>{run};
    });
}

// Guards against EVAC and DRAIN: an agent repeated a refused start for as long as it had the order, whatever had become of the host.
TEST_CASE("A refused start is repeated only while the leader confirms the order, and the executor doesn't drain")
{
    enum class Change {
        None,
        Draining,
        Leaving,
        LeaderSilent,
        LeaderDoubtful,
    };
    const auto change = GENERATE(Change::None, Change::Draining, Change::Leaving, Change::LeaderSilent, Change::LeaderDoubtful);
    bool isChanged = false;
    AgentFixture fixture([&](const batch::SyncCall &) -> absl::StatusOr<batch::SyncReply> {
        if (isChanged && change == Change::LeaderSilent) {
            return absl::UnavailableError("leader gone");
        }
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 10s);
        reply.isDoubtful = isChanged && change == Change::LeaderDoubtful;
        return reply;
    });
    fixture.executor.isStartIgnored = true;
    fixture.executor.startResult = {batch::StartOutcome::Retryable, "503"};
    fixture.runUntil([&] {
        return fixture.executor.starts.size() >= 3;
    });
    isChanged = true;
    if (change == Change::Draining) {
        fixture.announce({"i-1", 1}, true);
    } else if (change == Change::Leaving) {
        fixture.announceLeave("i-1");
    }
    // Longer than orders are valid without a confirmation.
    fixture.runFor(3s);
    const auto tried = fixture.executor.starts.size();
    fixture.runFor(500ms);
    REQUIRE((fixture.executor.starts.size() > tried) == (change == Change::None));
}

TEST_CASE("A run that is ordered by a leader in doubt is started")
{
    // Its orders were recorded while it held its lease, or after the store was back.
    AgentFixture fixture([](const batch::SyncCall &) {
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
        reply.isDoubtful = true;
        return reply;
    });
    fixture.runUntil([&] {
        return !fixture.executor.starts.empty();
    });
}

TEST_CASE("An unexpected error in one call neither ends the agent nor leaves it without its loops")
{
    AgentFixture fixture([](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
    });
    fixture.executor.isNextHoldFailing = true;
    fixture.executor.isNextStartFailing = true;
    fixture.runUntil([&] {
        return fixture.executor.holds.size() >= 4 && fixture.executor.starts.size() >= 2;
    });
    fixture.runUntil([&] {
        return !fixture.calls.back().running.empty();
    });
    REQUIRE(fixture.executor.starts.back().run == AgentFixture::run("job", 1));
}

TEST_CASE("After a crash of the executor the leader is told which runs it had, until it has orders for the next incarnation")
{
    bool isCrashRecorded = false;
    AgentFixture fixture([&](const batch::SyncCall &call) {
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
        if (call.report.incarnation.instance == "i-2") {
            reply.orders.incarnation = {"i-2", 2};
            reply.orders.version = isCrashRecorded ? 2 : 0;
            reply.orders.runs.clear();
        }
        return reply;
    });
    bool hadSettled = false;
    SECTION("a crash right after the start, before any list of runs")
    {
        fixture.executor.isListingOld = true;
        fixture.runUntil([&] {
            return !fixture.executor.starts.empty();
        });
    }
    SECTION("a crash right after the start and a list of runs")
    {
        fixture.runUntil([&] {
            return !fixture.calls.empty() && !fixture.calls.back().running.empty();
        });
    }
    SECTION("a crash of an executor that has listed the run for a while")
    {
        hadSettled = true;
        fixture.runUntil([&] {
            return !fixture.calls.empty() && !fixture.calls.back().running.empty();
        });
        fixture.runFor(700ms);
    }
    // Lets the answer to the start arrive, which the crash cuts off from everything after.
    fixture.runFor(20ms);
    fixture.executor.listing.running.clear();
    fixture.announce({"i-2", 2});
    fixture.runUntil([&] {
        return !fixture.calls.back().crashed.empty();
    });
    REQUIRE(fixture.calls.back().report.incarnation.instance == "i-2");
    REQUIRE(crashedRuns(fixture.calls.back()) == CrashedRuns{{AgentFixture::run("job", 1), hadSettled}});
    REQUIRE(begunRuns(fixture.calls.back()) == BegunRuns{{AgentFixture::run("job", 1), batch::RunBegin::Certain}});
    fixture.runFor(100ms);
    REQUIRE_FALSE(fixture.calls.back().crashed.empty());
    isCrashRecorded = true;
    fixture.runUntil([&] {
        return fixture.calls.back().crashed.empty();
    });
}

TEST_CASE("The end of an executor that was draining is no crash")
{
    AgentFixture fixture([](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty() && !fixture.calls.back().running.empty();
    });
    fixture.announce({"i-1", 1}, true);
    fixture.announce({"i-2", 2});
    fixture.runUntil([&] {
        return fixture.calls.back().report.incarnation.instance == "i-2";
    });
    REQUIRE(fixture.calls.back().crashed.empty());
}

TEST_CASE("An agent tells whether it has seen an earlier incarnation of its executor end")
{
    AgentFixture fixture([](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty();
    });
    REQUIRE_FALSE(fixture.calls.back().hasSeenEnd);
    fixture.announce({"i-2", 2});
    fixture.runUntil([&] {
        return fixture.calls.back().report.incarnation.instance == "i-2";
    });
    REQUIRE(fixture.calls.back().hasSeenEnd);
}

TEST_CASE("The planned end of an executor is no crash if a list of runs is the first to show its next incarnation")
{
    AgentFixture fixture([](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty() && !fixture.calls.back().running.empty();
    });
    SECTION("after it was draining")
    {
        fixture.announce({"i-1", 1}, true);
    }
    SECTION("after it announced that it leaves")
    {
        fixture.announceLeave("i-1");
    }
    fixture.executor.listing.running.clear();
    fixture.executor.listing.born = 2;
    fixture.runUntil([&] {
        return fixture.calls.back().running.empty();
    });
    fixture.runFor(100ms);
    REQUIRE(fixture.calls.back().crashed.empty());
    fixture.announce({"i-1", 2});
    fixture.runUntil([&] {
        return fixture.calls.back().report.incarnation.born == 2;
    });
    REQUIRE(fixture.calls.back().crashed.empty());
}

TEST_CASE("A crash that only a list of runs has shown is told even if newer orders for the crashed incarnation come first")
{
    // The leader learned nothing of the crash, and started the task once more for each.
    std::uint64_t version = 0;
    AgentFixture fixture([&](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, ++version, 5s);
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty() && !fixture.calls.back().running.empty();
    });
    fixture.executor.listing.running.clear();
    fixture.executor.listing.born = 2;
    fixture.runUntil([&] {
        return fixture.calls.back().running.empty();
    });
    fixture.runFor(100ms);
    REQUIRE(crashedRuns(fixture.calls.back()) == CrashedRuns{{AgentFixture::run("job", 1), false}});
    fixture.announce({"i-1", 2});
    fixture.runUntil([&] {
        return fixture.calls.back().report.incarnation.born == 2;
    });
    REQUIRE(crashedRuns(fixture.calls.back()) == CrashedRuns{{AgentFixture::run("job", 1), false}});
}

TEST_CASE("A run whose start had no answer yet when the executor crashed may have been the cause")
{
    AgentFixture fixture([](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
    });
    fixture.executor.startAnswerDelay = 200ms;
    fixture.runUntil([&] {
        return !fixture.executor.starts.empty();
    });
    fixture.executor.listing.running.clear();
    fixture.announce({"i-2", 2});
    fixture.runUntil([&] {
        return fixture.calls.back().report.incarnation.instance == "i-2";
    });
    REQUIRE(crashedRuns(fixture.calls.back()) == CrashedRuns{{AgentFixture::run("job", 1), false}});
    fixture.runFor(300ms);
    REQUIRE(crashedRuns(fixture.calls.back()) == CrashedRuns{{AgentFixture::run("job", 1), false}});
}

TEST_CASE("A run that had ended before its start was answered has no part in a later crash")
{
    bool isEndTaken = false;
    AgentFixture fixture([&](const batch::SyncCall &call) {
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
        isEndTaken = isEndTaken || !call.ended.empty();
        if (isEndTaken) {
            reply.orders.version = 2;
            reply.orders.runs.clear();
        }
        return reply;
    });
    fixture.executor.startAnswerDelay = 200ms;
    fixture.runUntil([&] {
        return !fixture.executor.starts.empty();
    });
    fixture.executor.listing.running.clear();
    fixture.executor.listing.ended.push_back({1, AgentFixture::run("job", 1), batch::EndKind::Failed, ""});
    fixture.runUntil([&] {
        return fixture.calls.back().ordersVersion == 2;
    });
    fixture.executor.listing.ended.clear();
    fixture.runFor(300ms);
    REQUIRE(fixture.executor.starts.size() == 1);
    fixture.announce({"i-2", 2});
    fixture.runUntil([&] {
        return fixture.calls.back().report.incarnation.instance == "i-2";
    });
    REQUIRE(fixture.calls.back().crashed.empty());
}

TEST_CASE("A run that could not even be sent to the executor has no part in its crash")
{
    AgentFixture fixture([](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
    });
    fixture.executor.startResult = {batch::StartOutcome::Retryable, "not sent"};
    fixture.executor.isStartIgnored = true;
    fixture.runUntil([&] {
        return !fixture.executor.starts.empty();
    });
    SECTION("which is known before the next incarnation")
    {
        fixture.runFor(20ms);
    }
    SECTION("which is known after the next incarnation")
    {
        fixture.executor.startAnswerDelay = 200ms;
        const auto sent = fixture.executor.starts.size();
        fixture.runUntil([&] {
            return fixture.executor.starts.size() > sent;
        });
    }
    fixture.announce({"i-2", 2});
    fixture.runFor(300ms);
    REQUIRE(fixture.calls.back().report.incarnation.instance == "i-2");
    REQUIRE(fixture.calls.back().crashed.empty());
}

TEST_CASE("No start goes to an executor which is away, so the run has no part in its crash")
{
    // Harmless jobs were given up after one crash and two starts that a dead executor's address had accepted and dropped.
    bool isOrdered = false;
    AgentFixture fixture([&](const batch::SyncCall &call) {
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, isOrdered ? 2 : 1, 5s);
        if (!isOrdered || call.report.incarnation.instance == "i-2") {
            reply.orders.runs.clear();
        }
        return reply;
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty() && fixture.calls.back().listToken.value() == 3;
    });
    fixture.executor.isAway = true;
    fixture.executor.isStartIgnored = true;
    fixture.executor.startResult = {batch::StartOutcome::Unknown, "end of stream"};
    fixture.runFor(200ms);
    isOrdered = true;
    fixture.runFor(700ms);
    REQUIRE(fixture.executor.starts.empty());
    SECTION("if it has crashed")
    {
        fixture.announce({"i-2", 2});
        fixture.runUntil([&] {
            return fixture.calls.back().report.incarnation.instance == "i-2";
        });
        REQUIRE(fixture.calls.back().crashed.empty());
    }
    SECTION("but goes out once that is back")
    {
        fixture.executor.isAway = false;
        fixture.runUntil([&] {
            return !fixture.executor.starts.empty();
        });
    }
}

TEST_CASE("A start that an executor left unanswered, as all its calls, may have been carried out late and have been the cause of its crash")
{
    bool isOrdered = false;
    AgentFixture fixture([&](const batch::SyncCall &call) {
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, isOrdered ? 2 : 1, 5s);
        if (!isOrdered || call.report.incarnation.instance == "i-2") {
            reply.orders.runs.clear();
        }
        return reply;
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty() && fixture.calls.back().listToken.value() == 3;
    });
    fixture.executor.isListingOld = true;
    fixture.executor.startResult = {batch::StartOutcome::Unknown, "no answer in time"};
    fixture.executor.startAnswerDelay = 500ms;
    isOrdered = true;
    fixture.runUntil([&] {
        return !fixture.executor.starts.empty();
    });
    fixture.executor.isAway = true;
    fixture.runFor(700ms);
    fixture.executor.listing.running.clear();
    fixture.announce({"i-2", 2});
    fixture.runFor(600ms);
    REQUIRE(fixture.calls.back().report.incarnation.instance == "i-2");
    REQUIRE(crashedRuns(fixture.calls.back()) == CrashedRuns{{AgentFixture::run("job", 1), false}});
}

TEST_CASE("A run has certainly begun on a crashed executor only if a living one has answered its start or listed it")
{
    bool isOrdered = false;
    AgentFixture fixture([&](const batch::SyncCall &call) {
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, isOrdered ? 2 : 1, 5s);
        if (!isOrdered || call.report.incarnation.instance == "i-2") {
            reply.orders.runs.clear();
        }
        return reply;
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty() && fixture.calls.back().listToken.value() == 3 && fixture.calls.back().isExecutorReached;
    });
    auto begin = batch::RunBegin::Possible;
    bool isCrashSeenAtOnce = true;
    std::chrono::milliseconds answerWait(0);
    SECTION("not if the start was sent within a millisecond of a crash for another reason")
    {
        // Soak seed 124: the start's connection ended without an answer, as did the call for the runs right after.
        fixture.executor.isStartIgnored = true;
        fixture.executor.startResult = {batch::StartOutcome::Unknown, "end of stream"};
    }
    SECTION("not if an executor that was away has answered, which may have been its next life")
    {
        fixture.executor.isListingOld = true;
        fixture.executor.startAnswerDelay = 300ms;
        answerWait = 400ms;
    }
    SECTION("if the start was answered")
    {
        begin = batch::RunBegin::Certain;
    }
    SECTION("if the start's answer was lost, but the run was listed")
    {
        begin = batch::RunBegin::Certain;
        isCrashSeenAtOnce = false;
        fixture.executor.isNextAnswerLost = true;
        fixture.executor.startResult = {batch::StartOutcome::Unknown, "answer lost"};
    }
    isOrdered = true;
    fixture.runUntil([&] {
        return !fixture.executor.starts.empty();
    });
    fixture.executor.isAway = isCrashSeenAtOnce;
    fixture.runUntil([&] {
        return isCrashSeenAtOnce ? !fixture.calls.back().isExecutorReached : !fixture.calls.back().running.empty();
    });
    fixture.runFor(answerWait);
    fixture.executor.listing.running.clear();
    fixture.announce({"i-2", 2});
    fixture.runUntil([&] {
        return fixture.calls.back().report.incarnation.instance == "i-2";
    });
    REQUIRE(begunRuns(fixture.calls.back()) == BegunRuns{{AgentFixture::run("job", 1), begin}});
}

// Guards against an agent that is ignored for good: it restarted after its clock had been set back, and its process had the lower number.
TEST_CASE("An agent whose earlier process has the higher number takes a higher one at once")
{
    std::uint64_t known = 0;
    AgentFixture fixture([&](const batch::SyncCall &call) {
        batch::SyncReply reply;
        reply.isLeader = true;
        reply.token = base::FencingToken(7);
        reply.agentIncarnation = std::max(known, call.agentIncarnation);
        return reply;
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty();
    });
    const std::uint64_t own = fixture.calls.back().agentIncarnation;
    fixture.runFor(50ms);
    REQUIRE(fixture.calls.back().agentIncarnation == own);
    known = own + 2'000'000;
    fixture.runUntil([&] {
        return fixture.calls.back().agentIncarnation > known;
    });
    known = fixture.calls.back().agentIncarnation;
    fixture.runFor(50ms);
    REQUIRE(fixture.calls.back().agentIncarnation == known);
}

// Guards against work that runs twice: the lease of a restarted executor was set by the clock of the one before, hours ahead of its own.
TEST_CASE("The lease of an executor that has restarted unnoticed ends with the grant")
{
    const std::chrono::milliseconds grant(2000);
    AgentFixture fixture([grant](const batch::SyncCall &) {
        return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, grant);
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty() && !fixture.calls.back().running.empty();
    });
    SECTION("between two calls for its runs that it answers")
    {
    }
    SECTION("while it answered none")
    {
        fixture.executor.isAway = true;
        fixture.runUntil([&] {
            return !fixture.calls.back().isExecutorReached;
        });
    }
    fixture.executor.restart(2);
    fixture.executor.isAway = false;
    // The call that was under way when it restarted, or that finds out, can't know of it.
    const std::size_t first = fixture.executor.holds.size() + 1;
    fixture.runUntil([&] {
        return fixture.executor.holds.size() >= first + 4;
    });
    for (std::size_t i = first; i < fixture.executor.holds.size(); ++i) {
        REQUIRE(fixture.executor.holds[i].until <= fixture.executor.holdClocks[i] + grant);
    }
}

// Guards against work that runs twice: a host that had been cut off while its runs were given up started one of them under the next leader's grant.
TEST_CASE("Orders of an earlier term start nothing under the next leader's token")
{
    enum class Office { First, Vacant, Next };
    auto office = Office::First;
    AgentFixture fixture([&](const batch::SyncCall &) -> absl::StatusOr<batch::SyncReply> {
        if (office == Office::Vacant) {
            return absl::UnavailableError("cut off");
        }
        if (office == Office::First) {
            return AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 300ms);
        }
        // As the first replies of a leader, before its first round with this host.
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 9, 0, 5s);
        reply.orders = {};
        return reply;
    });
    fixture.executor.startResult = {batch::StartOutcome::Retryable, "503"};
    fixture.executor.isStartIgnored = true;
    fixture.runUntil([&] {
        return !fixture.executor.starts.empty();
    });
    office = Office::Vacant;
    fixture.runFor(500ms);
    const std::size_t started = fixture.executor.starts.size();
    fixture.executor.startResult = {batch::StartOutcome::Started, ""};
    fixture.executor.isStartIgnored = false;
    fixture.runFor(100ms);
    REQUIRE(fixture.executor.starts.size() == started);
    office = Office::Next;
    fixture.runUntil([&] {
        return fixture.calls.back().listToken.value() == 9;
    });
    fixture.runFor(300ms);
    REQUIRE(fixture.executor.starts.size() == started);
}

// Guards against work that runs twice: a start that the next life under the executor's id takes has a deadline of the clock before.
TEST_CASE("A start after a call without an answer isn't timed by the clock of the life before")
{
    const std::chrono::milliseconds grant(2000);
    bool isOrdered = false;
    AgentFixture fixture([&](const batch::SyncCall &) {
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, isOrdered ? 2 : 1, grant);
        if (!isOrdered) {
            reply.orders.runs.clear();
        }
        return reply;
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty() && fixture.calls.back().isExecutorReached && fixture.calls.back().listToken.value() == 3;
    });
    fixture.executor.isAway = true;
    fixture.runUntil([&] {
        return !fixture.calls.back().isExecutorReached;
    });
    fixture.executor.restart(2);
    isOrdered = true;
    fixture.runFor(500ms);
    fixture.executor.isAway = false;
    fixture.runFor(300ms);
    for (const auto &start : fixture.executor.starts) {
        REQUIRE(start.until <= start.at + grant);
    }
}

// Guards against work that runs twice: answers on different connections overtake each other.
TEST_CASE("A late answer of an earlier life doesn't bring it back")
{
    bool isStopped = false;
    AgentFixture fixture([&](const batch::SyncCall &) {
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, isStopped ? 2 : 1, 5s);
        if (isStopped) {
            reply.orders.runs.clear();
            reply.orders.stops = {AgentFixture::run("job", 1)};
        }
        return reply;
    });
    fixture.runUntil([&] {
        return !fixture.calls.empty() && !fixture.calls.back().running.empty();
    });
    fixture.executor.nextAnswerDelay = 400ms;
    fixture.runUntil([&] {
        return fixture.executor.nextAnswerDelay.count() == 0;
    });
    fixture.executor.restart(2);
    // The list of runs that follows a stop overtakes the one that is under way.
    isStopped = true;
    fixture.runUntil([&] {
        return !fixture.calls.back().isExecutorReached;
    });
    const std::size_t restartedAt = fixture.calls.size();
    fixture.runFor(600ms);
    for (std::size_t i = restartedAt; i < fixture.calls.size(); ++i) {
        REQUIRE_FALSE(fixture.calls[i].isExecutorReached);
    }
}

namespace
{

/** A host with five runs, all of which have ended; the executor returns two ends at a time. */
struct ManyEnds {
    static constexpr std::uint64_t Runs = 5;

    ManyEnds()
        : fixture([this](const batch::SyncCall &call) {
            return reply(call);
        })
    {
        fixture.executor.mostEnds = 2;
        fixture.executor.isStartIgnored = true;
        fixture.executor.startResult = {batch::StartOutcome::Refused, "409 old"};
        for (std::uint64_t number = 1; number <= Runs; ++number) {
            fixture.executor.listing.ended.push_back({number, run(number), batch::EndKind::Done, ""});
        }
    }

    static batch::RunId run(std::uint64_t number)
    {
        return AgentFixture::run("job" + std::to_string(number), 1);
    }

    batch::SyncReply reply(const batch::SyncCall &call)
    {
        for (const auto &ended : call.ended) {
            reported.insert(ended.run);
        }
        barred.insert(call.barred.begin(), call.barred.end());
        auto result = AgentFixture::order(run(1), 3, version, 5s);
        result.orders.runs.clear();
        for (std::uint64_t number = 1; number <= Runs + 1; ++number) {
            const bool isSettled = isAcknowledging && reported.contains(run(number));
            if (isSettled) {
                continue;
            }
            if (isStopping) {
                result.orders.stops.push_back(run(number));
            } else {
                result.orders.runs.push_back({run(number), "payload", "", true});
            }
        }
        if (isAcknowledging && !call.ended.empty()) {
            result.orders.acknowledged = call.ended.back().number;
            result.orders.version = version = version + 1;
        }
        return result;
    }

    std::set<batch::RunId> reported;
    std::set<batch::RunId> barred;
    std::uint64_t version = 1;
    bool isAcknowledging = false;
    bool isStopping = false;
    AgentFixture fixture;
};

} // namespace

TEST_CASE("A run whose end is beyond those that the executor returns at a time isn't reported as never started")
{
    // With more than 500 ends that weren't acknowledged, tasks were started again after they had ended as done (review/7).
    const bool isStopping = GENERATE(false, true);
    CAPTURE(isStopping);
    ManyEnds ends;
    ends.isStopping = isStopping;
    ends.fixture.runFor(700ms);
    REQUIRE(ends.reported.size() == 2);
    REQUIRE(ends.barred.empty());
    ends.isAcknowledging = true;
    ends.fixture.runUntil([&] {
        return ends.reported.size() == ManyEnds::Runs && !ends.barred.empty();
    });
    // The sixth run has never started, which the whole list shows.
    REQUIRE(ends.barred == std::set<batch::RunId>{ManyEnds::run(6)});
}

TEST_CASE("Runs that were started aren't started again while the executor's list may leave their ends out")
{
    ManyEnds ends;
    ends.fixture.executor.listing.ended.clear();
    ends.fixture.executor.isStartIgnored = false;
    ends.fixture.executor.startResult = {batch::StartOutcome::Started, ""};
    ends.fixture.runUntil([&] {
        return ends.fixture.executor.starts.size() == ManyEnds::Runs + 1 && ends.fixture.calls.back().running.size() == ManyEnds::Runs + 1;
    });
    ends.fixture.executor.listing.running.clear();
    for (std::uint64_t number = 1; number <= ManyEnds::Runs + 1; ++number) {
        ends.fixture.executor.listing.ended.push_back({number, ManyEnds::run(number), batch::EndKind::Done, ""});
    }
    ends.fixture.runFor(500ms);
    REQUIRE(ends.fixture.executor.starts.size() == ManyEnds::Runs + 1);
    REQUIRE(ends.barred.empty());
}

TEST_CASE("A run whose payload the leader has left out is never started")
{
    // The leader knows the run from an earlier process of the agent; this one has no payload of it.
    std::uint64_t barredCalls = 0;
    AgentFixture fixture([&](const batch::SyncCall &call) {
        barredCalls += call.barred.empty() ? 0 : 1;
        auto reply = AgentFixture::order(AgentFixture::run("job", 1), 3, 1, 5s);
        reply.orders.runs.front() = {AgentFixture::run("job", 1), "", "", false};
        return reply;
    });
    fixture.runUntil([&] {
        return barredCalls > 0;
    });
    REQUIRE(fixture.executor.starts.empty());
}
