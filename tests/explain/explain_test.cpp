/** Causes of three failed requests, found from logs as they were written: two of days on the users' bench, one of the soak. */
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "explain/timeline.h"
#include "explain/verdict.h"

using namespace plantainfork;

namespace
{

explain::ReadLog readRecorded(const std::string &name)
{
    explain::ReadLog log;
    std::ifstream input(std::string(PLANTAINFORK_LOGS) + "/" + name);
    REQUIRE(input);
    explain::readLog(input, name, log);
    return log;
}

std::string verdictOf(const std::string &name, const std::string &job)
{
    return explain::verdict(explain::gather(readRecorded(name).lines, job));
}

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

explain::LogLine line(const std::string &text)
{
    const auto parsed = explain::parseLine(text);
    REQUIRE(parsed);
    return *parsed;
}

} // namespace

TEST_CASE("A refused job: its entry had no confirmed policy, as the store didn't answer")
{
    const auto text = verdictOf("refused.log", "411e1401e6ec4808");
    REQUIRE(has(text, "was refused by edge-aqp-a-1"));
    REQUIRE(has(text, "4 refusals in all"));
    REQUIRE(has(text, "store turned this entry away"));
}

TEST_CASE("A late job: an executor restarted and took an attempt with it")
{
    const auto text = verdictOf("late.log", "bf4f9e93b505614b");
    REQUIRE(has(text, "ended as complete 31519 ms later"));
    REQUIRE(has(text, "until it had ended (1 lost (executor restarted))"));
}

TEST_CASE("A job answered unclearly and repeated: whether the first write took effect")
{
    const auto text = verdictOf("unclear.log", "0000000000000013");
    REQUIRE(has(text, "1 answers left it open"));
    REQUIRE(has(text, "The write had not taken effect; a repeat made it."));
    REQUIRE(has(text, "ended as complete 1842 ms later"));
}

TEST_CASE("An effect never stands before its cause, though machines' clocks differ")
{
    const std::vector<explain::LogLine> lines{
        line("time=2026-01-31T12:00:00.900000Z severity=info event=\"run started\" member=h job=a task=a.0.0.0 attempt=1"),
        line("time=2026-01-31T12:00:01.500000Z severity=info event=\"unit placed\" member=e job=a unit=a.0.0.0 attempt=1 hosts=h"),
        line("time=2026-01-31T12:00:01.000000Z severity=info event=\"job accepted\" member=e job=a"),
        line("time=2026-01-31T12:00:01.200000Z severity=info event=\"office taken\" member=e token=7"),
        line("time=2026-01-31T12:00:01.300000Z severity=info event=\"job accepted\" member=e job=b"),
    };
    const auto timeline = explain::gather(lines, "a");
    REQUIRE(timeline.lines.size() == 4);
    REQUIRE(timeline.lines[0].event == "job accepted");
    REQUIRE(timeline.lines[1].event == "office taken");
    REQUIRE(timeline.lines[2].event == "unit placed");
    REQUIRE(timeline.lines[3].event == "run started");
}

TEST_CASE("Lines that are cut or no lines of a log are counted and named, and the others are used")
{
    std::istringstream input(
        "time=2026-01-31T12:00:00.000001Z severity=info event=\"job accepted\" job=a why=\"say \\\"yes\\\"\"\n"
        "\n"
        "time=2026-01-31T12:00:00.000002Z severity=info event=\"job acc\n"
        "Segmentation fault\n"
        "time=2026-13-31T12:00:00Z severity=info event=x\n"
        "time=2026-01-31T12:00:00.000003Z severity=info\n");
    explain::ReadLog log;
    explain::readLog(input, "one", log);
    REQUIRE(log.lines.size() == 1);
    REQUIRE(log.lines[0].field("why") == "say \"yes\"");
    REQUIRE(log.unreadable == std::vector<std::string>{"one:3", "one:4", "one:5", "one:6"});
}

TEST_CASE("A job that no log tells of is said to be unknown")
{
    REQUIRE(explain::verdict(explain::gather({}, "a")) == "No line tells of a.");
}
