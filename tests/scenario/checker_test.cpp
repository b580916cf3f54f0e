/** Each property's check must catch a history that breaks it and pass one that keeps it. */
#include <catch2/catch.hpp>

#include <algorithm>

#include "scenario/checker.h"

using namespace plantainfork::scenario;

namespace
{

Call answered(const std::string &id)
{
    Call call;
    call.id = id;
    call.isIdempotent = false;
    call.body = "body of " + id;
    call.padding = 3;
    call.start = 1000;
    call.end = 1100;
    call.deadline = 6000;
    call.outcome = Outcome::Answered;
    call.status = 200;
    call.answer = R"({"requestId":")" + id + R"(","body":"body of )" + id + R"(","padding":"xxx"})";
    return call;
}

TaskRun task(std::uint32_t rank, TimeMs start, TimeMs end, const std::string &state)
{
    return {"w" + std::to_string(rank), "azrou-corral", "job", 1, rank, start, end, state};
}

bool breaks(const History &history, std::string_view property)
{
    const auto violations = check(history);
    return std::any_of(violations.begin(), violations.end(), [property](const Violation &violation) {
        return violation.property == property;
    });
}

History sound()
{
    History history;
    history.calls = {answered("a"), answered("b")};
    history.runs = {{"x1", "a", 1010, 1050}, {"x2", "b", 1010, 1050}};
    history.jobMembers["job"] = 2;
    history.taskRuns = {task(0, 1000, 9000, "finished"), task(1, 1100, 9100, "finished")};
    history.outages = {{"azrou-corral", 2000, 20'000}};
    history.revisions = {{"e1", 0, 4, 1000}, {"e1", 0, 5, 1100}, {"e1", 1, 4, 1200}};
    history.accepted = {{"datacentres/azrou-corral", 5, "out", 2000}};
    history.final["datacentres/azrou-corral"] = {"datacentres/azrou-corral", 6, "in", 0};
    history.leaving = {{"x1", 1020, 10'000}};
    history.stops = {{"x1", 1020, 0}};
    return history;
}

} // namespace

TEST_CASE("A sound history has no violations")
{
    REQUIRE(check(sound()).empty());
}

TEST_CASE("A non-idempotent request that ran twice is caught, an idempotent one is not")
{
    auto history = sound();
    history.runs.push_back({"x2", "a", 1200, 1300});
    REQUIRE(breaks(history, properties::AtMostOnce));
    history.calls[0].isIdempotent = true;
    REQUIRE_FALSE(breaks(history, properties::AtMostOnce));
}

TEST_CASE("A task that started twice in one attempt is caught")
{
    auto history = sound();
    history.taskRuns.push_back(task(1, 1200, 9000, "finished"));
    REQUIRE(breaks(history, properties::AtMostOnce));
}

TEST_CASE("An answer that is cut, short, or another caller's is caught")
{
    auto history = sound();
    SECTION("cut")
    {
        history.calls[0].answer.resize(20);
    }
    SECTION("short")
    {
        history.calls[0].padding = 4;
    }
    SECTION("swapped")
    {
        std::swap(history.calls[0].answer, history.calls[1].answer);
    }
    REQUIRE(breaks(history, properties::WholeAnswer));
}

TEST_CASE("A request that ran after all its callers heard not-run is caught")
{
    auto history = sound();
    history.calls[0].outcome = Outcome::NotRun;
    REQUIRE(breaks(history, properties::NotRun));
    history.calls.push_back(answered("a"));
    REQUIRE_FALSE(breaks(history, properties::NotRun));
}

TEST_CASE("A part of a gang that runs without the rest is caught")
{
    auto history = sound();
    SECTION("a member never started")
    {
        history.taskRuns.pop_back();
    }
    SECTION("a member was lost and the other ran on")
    {
        history.taskRuns[1] = task(1, 1100, 2000, "");
    }
    SECTION("two attempts at once")
    {
        history.taskRuns.push_back(task(0, 1500, 9000, "finished"));
        history.taskRuns.push_back(task(1, 1500, 9000, "finished"));
        history.taskRuns[2].attempt = history.taskRuns[3].attempt = 2;
    }
    REQUIRE(breaks(history, properties::WholeGang));
}

TEST_CASE("A part of a gang that stops within the bound after a loss is not a violation")
{
    auto history = sound();
    history.taskRuns = {task(0, 1000, 4000, "stopped"), task(1, 1100, 2000, "")};
    REQUIRE(check(history).empty());
}

TEST_CASE("Time in which a worker was frozen doesn't count as running")
{
    auto history = sound();
    history.taskRuns = {task(0, 1000, 9000, "stopped"), task(1, 1100, 2000, "")};
    history.frozen = {{"w0", 1900, 8900}};
    REQUIRE(check(history).empty());
    history.frozen[0].end = 4000;
    REQUIRE(breaks(history, properties::WholeGang));
}

TEST_CASE("A task that starts later than the bound after a take-out is caught, unless the data centre is back")
{
    auto history = sound();
    history.taskRuns[0] = task(0, 6500, 9000, "finished");
    REQUIRE(breaks(history, properties::TakeOut));
    history.outages[0].broughtBack = 6400;
    REQUIRE_FALSE(breaks(history, properties::TakeOut));
}

TEST_CASE("A revision that falls and an accepted change that is lost are caught")
{
    auto history = sound();
    SECTION("falls")
    {
        history.revisions.push_back({"e1", 0, 4, 1300});
    }
    SECTION("lost")
    {
        history.final["datacentres/azrou-corral"].revision = 4;
    }
    SECTION("unknown at the end")
    {
        history.final["datacentres/azrou-corral"] = {"datacentres/azrou-corral", 0, "no value", 0};
    }
    SECTION("altered")
    {
        history.final["datacentres/azrou-corral"].revision = 5;
    }
    REQUIRE(breaks(history, properties::ConfigMonotonic));
}

TEST_CASE("A process without an accepted revision once the bound has passed is caught, where nothing failed")
{
    auto history = sound();
    history.revisions.push_back({"e2", 0, 4, 2000});
    history.revisions.push_back({"e2", 0, 4, 6000});
    REQUIRE_FALSE(breaks(history, properties::ConfigInForce));
    history.revisions.back().time = 6001;
    REQUIRE(breaks(history, properties::ConfigInForce));
    history.hasOnlyPlannedStops = false;
    REQUIRE_FALSE(breaks(history, properties::ConfigInForce));
}

TEST_CASE("Work given to a target that left is caught once the bound has passed")
{
    auto history = sound();
    history.runs[0].start = 5000;
    REQUIRE_FALSE(breaks(history, properties::Leaving));
    history.runs[0].start = 5021;
    REQUIRE(breaks(history, properties::Leaving));
}

TEST_CASE("A planned stop that cuts a call or ends with a failure is caught")
{
    auto history = sound();
    SECTION("cut")
    {
        history.calls[0].outcome = Outcome::NoAnswer;
    }
    SECTION("unknown")
    {
        history.calls[0].outcome = Outcome::Unknown;
    }
    SECTION("failure")
    {
        history.stops[0].exitCode = 1;
    }
    REQUIRE(breaks(history, properties::GracefulStop));
}

TEST_CASE("A caller that hears long after its deadline is caught")
{
    auto history = sound();
    history.calls[0].entry = "e1";
    history.calls[0].end = 8001;
    REQUIRE(breaks(history, properties::Deadline));
    history.frozen = {{"e1", 5000, 7000}};
    REQUIRE_FALSE(breaks(history, properties::Deadline));
}
