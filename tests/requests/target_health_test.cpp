#include <catch2/catch.hpp>

#include "requests/retry_budget.h"
#include "requests/target_health.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using requests::AttemptEnd;
using requests::AttemptKind;
using requests::Ejection;
using requests::TargetHealth;

namespace
{

bool attempt(TargetHealth &health, AttemptEnd end, runtime::Instant now, Ejection ejection = Ejection::Allowed)
{
    const AttemptKind kind = health.start(now, 10ms);
    return health.end(kind, end, now, ejection);
}

} // namespace

TEST_CASE("A target that keeps failing is ejected, gets a single probe and is readmitted once that succeeds")
{
    runtime::Instant now(1h);
    TargetHealth health(8);
    REQUIRE_FALSE(attempt(health, AttemptEnd::Failed, now));
    REQUIRE_FALSE(attempt(health, AttemptEnd::Failed, now));
    REQUIRE(attempt(health, AttemptEnd::Failed, now));
    REQUIRE(health.isEjected());
    REQUIRE_FALSE(health.canAccept(now));
    now += TargetHealth::MinEjection;
    REQUIRE(health.canAccept(now));
    const AttemptKind probe = health.start(now, 10ms);
    REQUIRE(probe == AttemptKind::Probe);
    REQUIRE_FALSE(health.canAccept(now));
    REQUIRE(health.end(probe, AttemptEnd::Succeeded, now, Ejection::Allowed));
    REQUIRE_FALSE(health.isEjected());
}

TEST_CASE("A success of an attempt started before the ejection does not readmit a failing target")
{
    const runtime::Instant now(1h);
    TargetHealth health(8);
    const AttemptKind earlier = health.start(now, 10ms);
    for (int i = 0; i < 3; ++i) {
        attempt(health, AttemptEnd::Failed, now);
    }
    REQUIRE(health.isEjected());
    health.end(earlier, AttemptEnd::Succeeded, now, Ejection::Allowed);
    REQUIRE(health.isEjected());
}

TEST_CASE("A failed probe doubles the time to the next one")
{
    runtime::Instant now(1h);
    TargetHealth health(8);
    attempt(health, AttemptEnd::Unavailable, now);
    now += TargetHealth::MinEjection;
    attempt(health, AttemptEnd::Failed, now);
    REQUIRE_FALSE(health.canAccept(now + TargetHealth::MinEjection));
    REQUIRE(health.canAccept(now + 2 * TargetHealth::MinEjection));
}

TEST_CASE("A stalled target is ejected and readmitted with its first answer")
{
    const runtime::Instant now(1h);
    TargetHealth health(8);
    const AttemptKind kind = health.start(now, 100ms);
    REQUIRE_FALSE(health.checkStall(now + 150ms));
    REQUIRE(health.checkStall(now + 250ms));
    REQUIRE(health.isEjected());
    health.end(kind, AttemptEnd::Succeeded, now + 300ms, Ejection::Allowed);
    REQUIRE_FALSE(health.isEjected());
}

TEST_CASE("Failures do not eject a target while ejection is forbidden")
{
    const runtime::Instant now(1h);
    TargetHealth health(8);
    for (int i = 0; i < 20; ++i) {
        attempt(health, AttemptEnd::Failed, now, Ejection::Forbidden);
    }
    REQUIRE_FALSE(health.isEjected());
}

TEST_CASE("Refusals lower the limit, successes raise it up to the number of slots")
{
    runtime::Instant now(1h);
    TargetHealth health(8);
    for (int i = 0; i < 20; ++i) {
        attempt(health, AttemptEnd::Refused, now);
    }
    REQUIRE(health.capacity() == Approx(1));
    for (int i = 0; i < 100; ++i) {
        attempt(health, AttemptEnd::Succeeded, now);
    }
    REQUIRE(health.capacity() == Approx(8));
}

TEST_CASE("Extra attempts are limited to a tenth of first attempts")
{
    requests::RetryBudget budget;
    int extra = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.countFirstAttempt();
        extra += budget.tryTake() ? 1 : 0;
    }
    REQUIRE(extra <= 100);
    REQUIRE(extra >= 99);
}
