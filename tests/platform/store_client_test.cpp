/** What an entry's client of the store bears. */
#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "platform/slow_line.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

TEST_CASE("An entry follows the configuration for nine others that the store turns away, and none waits for another")
{
    tests::SlowLine line(100'000'000);
    line.store.put("op/config", "{}");
    constexpr int OwnWatches = 3;
    constexpr int OtherEntries = 9;
    const auto begin = runtime::Clock::now();
    int answered = 0;
    const auto follow = [&]() -> boost::asio::awaitable<void> {
        const auto changes = co_await line.client.followPrefix("op/", store::Index(1'000), 1000ms);
        answered += changes.ok() ? 1 : 0;
    };
    for (int i = 0; i < OwnWatches + OtherEntries; ++i) {
        boost::asio::co_spawn(line.context, follow(), boost::asio::detached);
    }
    while (answered < OwnWatches + OtherEntries && runtime::Clock::now() < begin + 1700ms) {
        tests::runOn(line.context, runtime::sleepFor(10ms));
    }
    const int answeredInTime = answered;
    // The calls refer to this test's variables.
    tests::runOn(line.context, runtime::sleepFor(1500ms));
    REQUIRE(answeredInTime == OwnWatches + OtherEntries);
}

TEST_CASE("Each key is told once in the answer of a watch, as it is after the last change")
{
    tests::SlowLine line(100'000'000);
    line.store.put("op/first", "0");
    store::Index index;
    store::Changes changes;
    const auto read = [&]() -> boost::asio::awaitable<void> {
        const auto all = co_await line.client.readPrefix("op/", runtime::Clock::now() + 5s);
        index = all.value().index;
    };
    const auto follow = [&]() -> boost::asio::awaitable<void> {
        changes = (co_await line.client.followPrefix("op/", index, 1000ms)).value();
    };
    tests::runOn(line.context, read());
    line.store.put("op/gone", "1");
    line.store.put("op/back", "1");
    line.store.erase("op/back");
    line.store.put("op/back", "2");
    line.store.erase("op/gone");
    line.store.put("op/another", "1");
    tests::runOn(line.context, follow());
    REQUIRE(changes.removed == std::vector<std::string>{"op/gone"});
    REQUIRE(changes.written.size() == 2);
    REQUIRE(changes.written[0].key == "op/back");
    REQUIRE(changes.written[0].value == "2");
    REQUIRE(changes.written[1].key == "op/another");
}

TEST_CASE("A page without items that says there are more isn't taken for the end of the list")
{
    boost::asio::io_context context{1};
    metrics::Registry metrics;
    const auto server = standins::listen(context, {"127.0.0.1", 0}, [](http::Request) -> boost::asio::awaitable<http::Response> {
        co_return http::Response::json(200, R"({"AtRev":5,"items":[],"HasMore":true})");
    });
    platform::StoreClient client(context.get_executor(), {"127.0.0.1", server->port()}, metrics);
    const auto read = [&]() -> boost::asio::awaitable<void> {
        const auto all = co_await client.readPrefix("states/", runtime::Clock::now() + 5s);
        REQUIRE_FALSE(all.ok());
    };
    tests::runOn(context, read());
}

TEST_CASE("A write that the store doesn't accept as it is is told from one that may be repeated")
{
    boost::asio::io_context context{1};
    metrics::Registry metrics;
    unsigned status = 0;
    const auto server = standins::listen(context, {"127.0.0.1", 0}, [&](http::Request) -> boost::asio::awaitable<http::Response> {
        co_return http::Response::json(status, "{}");
    });
    platform::StoreClient client(context.get_executor(), {"127.0.0.1", server->port()}, metrics);
    const auto outcome = [&](unsigned answer) {
        status = answer;
        store::Write write;
        write.key = "key";
        return tests::runOn(context, client.transact({write}, runtime::Clock::now() + 5s)).outcome;
    };
    REQUIRE(outcome(400) == store::WriteOutcome::Rejected);
    REQUIRE(outcome(413) == store::WriteOutcome::Rejected);
    REQUIRE(outcome(412) == store::WriteOutcome::Conflict);
    REQUIRE(outcome(429) == store::WriteOutcome::NotSent);
    REQUIRE(outcome(503) == store::WriteOutcome::NotSent);
    REQUIRE(outcome(500) == store::WriteOutcome::Unknown);
}
