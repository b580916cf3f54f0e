/** Two runs of one task, told from short logs in the daemons' format: each reason for which a leader gives a run up, with and without signs of it later. */
#include <sstream>

#include <catch2/catch.hpp>

#include "explain/timeline.h"
#include "explain/verdict.h"

using namespace plantainfork;

namespace
{

explain::Timeline timelineOf(const std::string &text)
{
    std::istringstream input(text);
    explain::ReadLog log;
    explain::readLog(input, "log", log);
    REQUIRE(log.unreadable.empty());
    return explain::gather(log.lines, "a");
}

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/** A run on h1, whose executor is i-1 born 100 there. */
const std::string Start =
    R"(time=2026-01-31T11:00:00.000000Z severity=info event="executor known" role=agent member=h1 instance=i-1 born=100 known_instance=i-0 known_born=50 reached_ago_ms=900
time=2026-01-31T12:00:00.000000Z severity=info event="job accepted" role=entry member=e2 job=a why=written
time=2026-01-31T12:00:00.010000Z severity=info event="job known" role=entry member=e1 job=a
time=2026-01-31T12:00:00.020000Z severity=info event="unit placed" role=entry member=e1 job=a unit=a.0.0.0 attempt=1 hosts=h1 priority=1 age_ms=20
time=2026-01-31T12:00:00.030000Z severity=info event="run started" role=agent member=h1 job=a task=a.0.0.0 attempt=1 token=6 reason=""
)";

/** The next attempt, on h2. */
const std::string NextStart =
    R"(time=2026-01-31T12:00:12.000000Z severity=info event="unit placed" role=entry member=e1 job=a unit=a.0.0.0 attempt=2 hosts=h2 priority=1 age_ms=12000
time=2026-01-31T12:00:12.010000Z severity=info event="run started" role=agent member=h2 job=a task=a.0.0.0 attempt=2 token=6 reason=""
)";

const std::string JobEnd =
    R"(time=2026-01-31T12:00:15.000000Z severity=info event="run ended" role=entry member=e1 job=a task=a.0.0.0 attempt=2 host=h2 how=done why="" lost_core_s=0 ran_ms=2990
time=2026-01-31T12:00:15.000001Z severity=info event="job ended" role=entry member=e1 job=a status=complete age_ms=15000
)";

const std::string Restart =
    R"(time=2026-01-31T12:00:01.000000Z severity=warning event="executor crashed" role=agent member=h1 instance=i-1 runs=1
time=2026-01-31T12:00:01.000001Z severity=info event="executor known" role=agent member=h1 instance=i-1 born=200 known_instance=i-1 known_born=100 reached_ago_ms=40
time=2026-01-31T12:00:01.010000Z severity=info event="executor of host new" role=entry member=e1 host=h1 instance=i-1 born=200 known_instance=i-1 known_born=100 runs=1 crashed_runs=1 agent=1769860000000000 call=17 list_token=0 is_reached=false
time=2026-01-31T12:00:01.010001Z severity=info event="run lost" role=entry member=e1 job=a task=a.0.0.0 attempt=1 host=h1 instance=i-1 born=100 why="executor restarted"
time=2026-01-31T12:00:01.010002Z severity=info event="run ended" role=entry member=e1 job=a task=a.0.0.0 attempt=1 host=h1 how=lost why="" lost_core_s=1 ran_ms=980
)";

const std::string Leave =
    R"(time=2026-01-31T12:00:01.000000Z severity=info event="executor says goodbye" role=agent member=h1 instance=i-1 born=100 runs=1 is_reached=true reached_ago_ms=12
time=2026-01-31T12:00:01.200000Z severity=info event="executor left" role=agent member=h1 instance=i-1 born=100 runs=1 goodbye_age_ms=200 reason="connect to 127.0.0.1:8749: Connection refused"
time=2026-01-31T12:00:01.210000Z severity=info event="executor left its host" role=entry member=e1 host=h1 instance=i-1 runs=1
time=2026-01-31T12:00:02.020000Z severity=info event="run lost" role=entry member=e1 job=a task=a.0.0.0 attempt=1 host=h1 instance=i-1 born=100 why="host left"
time=2026-01-31T12:00:02.020001Z severity=info event="run ended" role=entry member=e1 job=a task=a.0.0.0 attempt=1 host=h1 how=lost why="" lost_core_s=2 ran_ms=1990
)";

const std::string Silence =
    R"(time=2026-01-31T12:00:01.000000Z severity=warning event="executor not reached" role=agent member=h1 reason="receive: no answer before the deadline"
time=2026-01-31T12:00:01.010000Z severity=info event="executor not reached by its agent" role=entry member=e1 host=h1 runs=1 heard_ms=250
time=2026-01-31T12:00:11.510000Z severity=info event="run lost" role=entry member=e1 job=a task=a.0.0.0 attempt=1 host=h1 instance=i-1 born=100 why="executor not heard of for longer than a grant"
time=2026-01-31T12:00:11.510001Z severity=info event="run ended" role=entry member=e1 job=a task=a.0.0.0 attempt=1 host=h1 how=lost why="" lost_core_s=11 ran_ms=11480
)";

} // namespace

TEST_CASE("Two runs of a task: the agent took another incarnation for its executor's, and came back")
{
    // The agent comes back after the job's last line.
    const auto timeline = timelineOf(
        Start + Restart + NextStart + JobEnd
        + R"(time=2026-01-31T12:00:16.000000Z severity=info event="executor known" role=agent member=h1 instance=i-1 born=100 known_instance=i-1 known_born=200 reached_ago_ms=15000
time=2026-01-31T12:00:16.000000Z severity=info event="executor known" role=agent member=h2 instance=i-9 born=900 known_instance=i-8 known_born=800 reached_ago_ms=1
time=2026-01-31T12:00:17.000000Z severity=warning event="announced incarnation not confirmed" role=agent member=h1 instance=i-1 born=200 service=s reason=denied
)");
    const auto text = explain::verdict(timeline);
    INFO(text);
    REQUIRE(
        has(text,
            "Attempt 1 of task a.0.0.0 was given up by e1 as lost on h1, i-1 born 100 (executor restarted), and attempt 2 was started on h2. "
            "The leader knew i-1 born 100 and was told of i-1 born 200 by call 17 of the agent's process 1769860000000000 (list_token=0, crashed_runs=1). "
            "The agent wrote 'executor known' for i-1 born 200, 40 ms after its executor had last answered, and 'executor crashed'. "
            "No line tells that that incarnation has answered it. "
            "The earlier attempt may have gone on until its executor's lease ended: the agent came back to the earlier incarnation ('executor known'). "
            "Next: find out who announced the other incarnation to h1: another writer, or an announcement that was delayed (refused there in these logs: 1)"));
    SECTION("the story shows what the leader and the agent of the host believed, and nothing of another host after the job's end")
    {
        const auto story = explain::describe(timeline);
        INFO(story);
        REQUIRE(has(story, "e1  executor of host new  agent=1769860000000000"));
        REQUIRE(has(story, "h1  announced incarnation not confirmed"));
        REQUIRE_FALSE(has(story, "i-9"));
    }
}

TEST_CASE("Two runs of a task: the end of the earlier one came after its executor was believed to have restarted")
{
    const auto text = explain::verdict(
        timelineOf(Start + Restart + NextStart
                   + R"(time=2026-01-31T12:00:13.000000Z severity=info event="run unknown, to be stopped" role=entry member=e1 job=a task=a.0.0.0 host=h1
time=2026-01-31T12:00:13.510001Z severity=info event="late end counted" role=entry member=e1 job=a task=a.0.0.0 attempt=1 how=done
)"));
    INFO(text);
    REQUIRE(has(text,
                "The earlier attempt went on: its host listed a run of the task that the leader had given up ('run unknown, to be stopped', 11989 ms "
                "later); it ended as done ('late end counted', 12500 ms later)."));
}

TEST_CASE("A run that was started again after its executor restarted: nothing is claimed of the earlier one without a sign")
{
    const auto text = explain::verdict(
        timelineOf(Start + Restart + R"(time=2026-01-31T12:00:01.400000Z severity=info event="executor reached" role=agent member=h1 instance=i-1
)" + NextStart + JobEnd));
    INFO(text);
    REQUIRE(has(text,
                "That incarnation has answered it. No line shows that the earlier attempt went on. "
                "Next: the executor's own record on h1 tells when attempt 1 ended."));
}

TEST_CASE("Two runs of a task: the incarnation that its agent, just started, took for the executor's never answered")
{
    const auto text = explain::verdict(timelineOf(
        Start
        + R"(time=2026-01-31T12:00:01.000001Z severity=info event="executor known" role=agent member=h1 instance=i-0 born=50 known_instance="" known_born=0 reached_ago_ms=0
time=2026-01-31T12:00:01.010000Z severity=info event="executor of host new" role=entry member=e1 host=h1 instance=i-0 born=50 known_instance=i-1 known_born=100 runs=1 crashed_runs=0 agent=1769860800900000 call=2 list_token=0 is_reached=false
time=2026-01-31T12:00:01.010001Z severity=info event="run lost" role=entry member=e1 job=a task=a.0.0.0 attempt=1 host=h1 instance=i-1 born=100 why="executor restarted"
)" + NextStart));
    INFO(text);
    REQUIRE(has(text,
                "The agent wrote 'executor known' for i-0 born 50, the first that its process knew. No line tells that that incarnation has answered it. "
                "No line shows that the earlier attempt went on. Next: find out who announced the other incarnation to h1"));
}

TEST_CASE("Two runs of a task: a call that was delayed told a new leader of an earlier incarnation")
{
    const auto text = explain::verdict(timelineOf(Start + R"(time=2026-01-31T12:00:05.000000Z severity=info event="office taken" role=entry member=e3 token=7
time=2026-01-31T12:00:05.100000Z severity=info event="executor of host new" role=entry member=e3 host=h1 instance=i-0 born=50 known_instance="" known_born=0 runs=1 crashed_runs=0 agent=1769860000000000 call=3 list_token=6 is_reached=true
time=2026-01-31T12:00:05.100001Z severity=info event="run lost" role=entry member=e3 job=a task=a.0.0.0 attempt=1 host=h1 instance=i-1 born=100 why="executor restarted"
)" + NextStart));
    INFO(text);
    REQUIRE(has(text, "The leader knew no executor there yet and was told of i-0 born 50 by call 3"));
    REQUIRE(has(text, "No line of the agent's tells that it took another incarnation for i-1 born 100."));
    REQUIRE(
        has(text, "Next: the agent had left i-0 born 50 for i-1 born 100 before, so the call had been delayed: compare list_token with 'office taken' at e3"));
}

TEST_CASE("Two runs of a task: a goodbye was taken for the end of an executor that lived on")
{
    const auto text = explain::verdict(timelineOf(
        Start + Leave
        + R"(time=2026-01-31T12:00:05.100000Z severity=warning event="goodbye not confirmed" role=agent member=h1 instance=i-1 born=100 runs=1 goodbye_age_ms=4100 reason=""
)" + NextStart));
    INFO(text);
    REQUIRE(has(text,
                "(host left), and attempt 2 was started on h2. The leader was told that i-1 had left 810 ms before. "
                "The agent wrote 'executor says goodbye', 12 ms after its executor had last answered. "
                "The agent wrote 'executor left' 200 ms after the goodbye (connect to 127.0.0.1:8749: Connection refused). "
                "The earlier attempt may have gone on until its executor's lease ended: the executor answered after it was said to have left "
                "('goodbye not confirmed'). Next: find out who sent the goodbye to h1"));
}

TEST_CASE("A run that was started again after its executor left: nothing is claimed of the earlier one without a sign")
{
    const auto text = explain::verdict(timelineOf(Start + Leave + NextStart + JobEnd));
    INFO(text);
    REQUIRE(has(text, "No line shows that the earlier attempt went on. Next: the executor's own record on h1 tells when attempt 1 ended."));
    REQUIRE_FALSE(has(text, "find out who sent"));
}

TEST_CASE("A goodbye that was never believed is no sign that a run which was lost for another reason went on")
{
    const auto text = explain::verdict(timelineOf(
        Start
        + R"(time=2026-01-31T12:00:00.500000Z severity=warning event="goodbye not confirmed" role=agent member=h1 instance=i-1 born=100 runs=1 goodbye_age_ms=4100 reason=""
)" + Silence
        + NextStart));
    INFO(text);
    REQUIRE(has(text, "No line shows that the earlier attempt went on."));
}

TEST_CASE("Two runs of a task: a run was given up for silence, and its executor was reached again")
{
    const auto text = explain::verdict(timelineOf(Start + Silence + NextStart + JobEnd
                                                  + R"(time=2026-01-31T12:00:16.000000Z severity=info event="executor reached" role=agent member=h1 instance=i-1
)"));
    INFO(text);
    REQUIRE(has(text,
                "(executor not heard of for longer than a grant), and attempt 2 was started on h2. "
                "The agent had told the leader 10500 ms before that it didn't reach its executor, last heard of 250 ms before that. "
                "The agent wrote 'executor not reached' (receive: no answer before the deadline). "
                "The earlier attempt may have gone on until its executor's lease ended: the agent reached the same incarnation again ('executor reached'). "
                "Next: the executor's own record on h1 tells when attempt 1 ended, to be compared with the time of the loss"));
}

TEST_CASE("Two runs of a task: a run that was given up for silence was started after that")
{
    const auto text = explain::verdict(
        timelineOf(Start + Silence
                   + R"(time=2026-01-31T12:00:11.600000Z severity=info event="run started" role=agent member=h1 job=a task=a.0.0.0 attempt=1 token=6 reason=""
)" + NextStart));
    INFO(text);
    REQUIRE(has(text, "and attempt 2 was started on h2."));
    REQUIRE(has(text, "The earlier attempt went on: its agent wrote 'run started' for it 90 ms later by the clocks of the two machines."));
}

TEST_CASE("Runs of a job that were given up together are told once")
{
    const auto text = explain::verdict(timelineOf(
        Start + Restart
        + R"(time=2026-01-31T12:00:01.010003Z severity=info event="run lost" role=entry member=e1 job=a task=a.0.0.1 attempt=1 host=h1 instance=i-1 born=100 why="executor restarted"
time=2026-01-31T12:00:12.000001Z severity=info event="unit placed" role=entry member=e1 job=a unit=a.0.0.1 attempt=2 hosts=h3 priority=1 age_ms=12000
)" + NextStart));
    INFO(text);
    REQUIRE(has(text, "Attempt 1 of task a.0.0.0 (and 1 more of its runs there) was given up"));
    REQUIRE_FALSE(has(text, "Attempt 1 of task a.0.0.1"));
}

TEST_CASE("A lost run that was not started again is not told as two runs")
{
    REQUIRE_FALSE(has(explain::verdict(timelineOf(Start + Restart)), "was given up by"));
}
