#include <catch2/catch.hpp>

#include <memory>
#include <optional>

#include "batch/open_calls.h"
#include "metrics/registry.h"
#include "runtime/clock.h"

using namespace plantainfork;
using namespace std::chrono_literals;

TEST_CASE("A call that outlives its entry, as one without an answer does when the process ends, leaves the freed list alone")
{
    auto metrics = std::make_unique<metrics::Registry>();
    auto calls = std::make_unique<batch::OpenCalls>(*metrics);
    const auto now = runtime::Clock::now();
    std::optional<batch::OpenCalls::Guard> first(std::in_place, *calls, batch::OpenCalls::Call{"status", "request-1", "/q/1", now, now + 1s});
    std::optional<batch::OpenCalls::Guard> second(std::in_place, *calls, batch::OpenCalls::Call{"status", "request-1", "/q/2", now, now + 1s});
    REQUIRE(calls->size() == 2);
    first.reset();
    REQUIRE(calls->size() == 1);
    calls.reset();
    metrics.reset();
    second.reset();
    SUCCEED("the sanitizer found no use of freed memory");
}
