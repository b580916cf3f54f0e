#include <catch2/catch.hpp>

#include "requests/attempt_table.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using requests::AttemptTable;
using requests::RequestKey;
using wire::AttemptState;

namespace
{

RequestKey key(const std::string &id)
{
    return {base::WorkspaceId("vets"), base::RequestId(id)};
}

wire::ExecuteReply reply(wire::Outcome outcome, std::string body = {})
{
    wire::ExecuteReply result;
    result.outcome = outcome;
    result.body = std::move(body);
    return result;
}

/** Pauses the clock during its lifetime. */
struct PausedClock {
    PausedClock()
    {
        runtime::Clock::pause();
    }
    ~PausedClock()
    {
        runtime::Clock::resume();
    }
};

} // namespace

TEST_CASE("An attempt begins once, and later queries return its answer")
{
    AttemptTable table;
    REQUIRE(table.begin(key("m")) == AttemptTable::BeginResult::Started);
    REQUIRE(table.begin(key("m")) == AttemptTable::BeginResult::Repeated);
    REQUIRE(table.findOrBar(key("m"))->state == AttemptState::Running);
    table.finish(key("m"), reply(wire::Outcome::Answered, "marked"));
    REQUIRE(table.findOrBar(key("m"))->answer.body == "marked");
    REQUIRE(table.begin(key("m")) == AttemptTable::BeginResult::Repeated);
}

TEST_CASE("A request that is queried before its attempt arrives is barred")
{
    AttemptTable table;
    REQUIRE(table.findOrBar(key("m"))->state == AttemptState::Barred);
    REQUIRE(table.begin(key("m")) == AttemptTable::BeginResult::Barred);
}

TEST_CASE("The same id in another workspace is another request")
{
    AttemptTable table;
    table.findOrBar(key("m"));
    REQUIRE(table.begin({base::WorkspaceId("coop"), base::RequestId("m")}) == AttemptTable::BeginResult::Started);
}

TEST_CASE("A full table refuses new attempts rather than evict a young one, and evicts it after the retention")
{
    const PausedClock paused;
    requests::AttemptTableBounds bounds;
    bounds.attempts = 2;
    AttemptTable table(bounds);
    table.findOrBar(key("a"));
    table.findOrBar(key("b"));
    REQUIRE(table.begin(key("c")) == AttemptTable::BeginResult::Full);
    REQUIRE_FALSE(table.findOrBar(key("c")).has_value());
    runtime::Clock::advance(bounds.retention);
    REQUIRE(table.begin(key("c")) == AttemptTable::BeginResult::Started);
    REQUIRE(table.size() == 2);
}

TEST_CASE("Stored answers are bounded; an attempt whose answer was dropped stays done")
{
    requests::AttemptTableBounds bounds;
    bounds.answerBytes = 1000;
    AttemptTable table(bounds);
    for (const std::string id : {"a", "b"}) {
        table.begin(key(id));
        table.finish(key(id), reply(wire::Outcome::Answered, std::string(600, 'x')));
    }
    REQUIRE(table.findOrBar(key("a"))->state == AttemptState::Done);
    REQUIRE(table.findOrBar(key("a"))->answer.outcome == wire::Outcome::Unknown);
    REQUIRE(table.begin(key("a")) == AttemptTable::BeginResult::Repeated);
    REQUIRE(table.findOrBar(key("b"))->answer.outcome == wire::Outcome::Answered);
}
