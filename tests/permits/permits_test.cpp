#include <catch2/catch.hpp>

#include "permits/config_freshness.h"
#include "permits/permit_gate.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

/** Pauses the runtime clock for the duration of a test. */
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

constexpr auto PermitLifetime = 3000ms;

} // namespace

TEST_CASE("A gate measures a permit from the time of the request and checks it on each query")
{
    const PausedClock clock;
    permits::PermitGate gate;
    REQUIRE_FALSE(gate.isOpen());
    const auto askedAt = runtime::Clock::now();
    runtime::Clock::advance(1s);
    gate.accept(base::Revision(1), askedAt, 3000ms);
    REQUIRE(gate.isOpen());
    runtime::Clock::advance(2s);
    REQUIRE_FALSE(gate.isOpen());
}

TEST_CASE("A closed gate ignores permits of older revisions")
{
    const PausedClock clock;
    permits::PermitGate gate;
    gate.accept(base::Revision(2), runtime::Clock::now(), 3000ms);
    gate.close();
    gate.accept(base::Revision(1), runtime::Clock::now(), 3000ms);
    REQUIRE_FALSE(gate.isOpen());
    gate.accept(base::Revision(3), runtime::Clock::now(), 3000ms);
    REQUIRE(gate.isOpen());
}

TEST_CASE("A permit expires one lifetime after the store read it is based on, however often it is passed on")
{
    const PausedClock clock;
    permits::ConfigFreshness first(PermitLifetime);
    permits::ConfigFreshness second(PermitLifetime);
    const auto readAt = runtime::Clock::now();
    first.confirmByStore(base::Revision(1), readAt);
    for (int i = 0; i < 50; ++i) {
        const auto askedAt = runtime::Clock::now();
        runtime::Clock::advance(20ms);
        second.confirmByPermit(first.issuePermit(base::Revision(1)), askedAt);
        first.confirmByPermit(second.issuePermit(base::Revision(1)), askedAt);
    }
    REQUIRE(second.validUntil() <= readAt + PermitLifetime);
    REQUIRE(first.validUntil() == readAt + PermitLifetime);
    runtime::Clock::advance(PermitLifetime);
    REQUIRE(first.issuePermit(base::Revision(1)).remaining == 0ms);
}

TEST_CASE("A configuration older than the confirmed revision yields no permit")
{
    const PausedClock clock;
    permits::ConfigFreshness freshness(PermitLifetime);
    freshness.confirmByStore(base::Revision(5), runtime::Clock::now());
    REQUIRE(freshness.issuePermit(base::Revision(4)).remaining == 0ms);
    REQUIRE(freshness.issuePermit(base::Revision(5)).remaining == PermitLifetime);
}
