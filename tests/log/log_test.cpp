#include <catch2/catch.hpp>

#include "log/budget.h"
#include "log/line.h"
#include "log/log.h"
#include "runtime/clock.h"
#include "support/captured_log.h"

using namespace plantainfork;

TEST_CASE("A line carries severity, event, common fields and its own")
{
    REQUIRE(log::formatLine(log::Severity::Info, "member joined", {{"role", "entry"}}, {{"member", "agent-1"}})
            == "severity=info event=\"member joined\" role=entry member=agent-1");
}

TEST_CASE("A value can't forge a field or a line")
{
    REQUIRE(log::quoteValue("a b=c") == "\"a b=c\"");
    REQUIRE(log::quoteValue("") == "\"\"");
    REQUIRE(log::quoteValue("x\nseverity=error") == "\"x\\nseverity=error\"");
    REQUIRE(log::quoteValue("say \"hi\"\\") == "\"say \\\"hi\\\"\\\\\"");
    REQUIRE(log::quoteValue(std::string("\x01\x7f", 2)) == "\"\\x01\\x7f\"");
}

TEST_CASE("Lines below the configured severity aren't written")
{
    tests::CapturedLog captured;
    log::configure(log::Severity::Warning, {{"member", "agent-1"}});
    log::write(log::Severity::Info, "quiet");
    log::write(log::Severity::Error, "loud", {{"cause", "test"}});
    REQUIRE(captured.text().find("quiet") == std::string::npos);
    REQUIRE(captured.text().find("time=2") == 0);
    REQUIRE(captured.text().find("Z severity=error event=loud member=agent-1 cause=test\n") != std::string::npos);
}

TEST_CASE("A kind beyond its budget is left out and counted, and costs no other kind a line")
{
    // Replays a burst: all runs of a large job end at once, then the office is lost.
    log::Budget budget({10, 20});
    runtime::Instant now{};
    unsigned written = 0;
    for (int i = 0; i < 100; ++i) {
        written += budget.take("run ended", now) ? 1 : 0;
    }
    REQUIRE(written == 20);
    REQUIRE(budget.take("office lost", now));
    REQUIRE(budget.takeLeftOut(now).empty());
    now += std::chrono::milliseconds(100);
    const auto leftOut = budget.takeLeftOut(now);
    REQUIRE(leftOut.size() == 1);
    REQUIRE(leftOut[0].kind == "run ended");
    REQUIRE(leftOut[0].count == 80);
    REQUIRE(budget.take("run ended", now));
    REQUIRE_FALSE(budget.take("run ended", now));
}

TEST_CASE("What was left out is told with the next line")
{
    tests::CapturedLog captured;
    runtime::Clock::pause();
    log::configure(log::Severity::Info, {});
    for (int i = 0; i < 700; ++i) {
        log::write(log::Severity::Info, "flood");
    }
    runtime::Clock::advance(std::chrono::milliseconds(30));
    log::write(log::Severity::Info, "other");
    runtime::Clock::resume();
    REQUIRE(captured.text().find("event=\"lines left out\" kind=flood count=200") != std::string::npos);
}
