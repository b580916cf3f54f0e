/** Which entry leads: the order in which candidates try, and when a leader that can't keep up is noticed. */
#include <catch2/catch.hpp>

#include "batch/candidacy.h"

using namespace plantainfork;
using namespace std::chrono_literals;

TEST_CASE("An able entry far from the store tries before a weak one beside it")
{
    // Entries of 0.12 and 0.5 of a processor; a leader at hundreds of hosts is saturated on the former.
    const auto able = batch::candidateDelay(60ms, 0.5, {0.5, 0.12, 0.12});
    const auto weak = batch::candidateDelay(6ms, 0.12, {0.5, 0.5, 0.12});
    REQUIRE(able < weak);
}

TEST_CASE("Among entries of equal hosts the one nearest to the store tries first, without a further delay")
{
    REQUIRE(batch::candidateDelay(6ms, 0.12, {0.12, 0.12}) < batch::candidateDelay(60ms, 0.12, {0.12, 0.12}));
    REQUIRE(batch::candidateDelay(6ms, 0.12, {0.12, 0.12}) <= 24ms);
}

TEST_CASE("Small differences of share don't delay a candidate")
{
    REQUIRE(batch::candidateDelay(6ms, 0.25, {0.3}) == batch::candidateDelay(6ms, 0.25, {0.25}));
}

TEST_CASE("A weak entry waits while it doesn't know the others, and leads when there are only weaker ones")
{
    REQUIRE(batch::candidateDelay(6ms, 0.12, {}) > batch::candidateDelay(60ms, 0.5, {}));
    REQUIRE(batch::candidateDelay(6ms, 0.12, {0.05}) <= 24ms);
}

TEST_CASE("A leader is overloaded once its timers have been late for long enough, and not after a single pause")
{
    batch::OverloadDetector detector;
    runtime::Instant now(1000s);
    const auto run = [&](std::chrono::milliseconds lateness, int times) {
        for (int i = 0; i < times; ++i) {
            now += 250ms;
            detector.add(now - lateness, now);
        }
    };
    run(1ms, 40);
    REQUIRE_FALSE(detector.isOverloaded(now));
    run(900ms, 1);
    run(1ms, 40);
    REQUIRE_FALSE(detector.isOverloaded(now));
    run(120ms, 12);
    REQUIRE_FALSE(detector.isOverloaded(now));
    run(120ms, 40);
    REQUIRE(detector.isOverloaded(now));
    run(1ms, 40);
    REQUIRE_FALSE(detector.isOverloaded(now));
}
