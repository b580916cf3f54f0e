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
