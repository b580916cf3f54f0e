/** Synthetic loads played through workload and planner: what no load and no loss of hosts may bring about. */
#include <catch2/catch.hpp>

#include "decisions/playback.h"

using namespace plantainfork;

namespace
{

bench::Load createLoad(bench::Scenario scenario, std::uint64_t seed)
{
    bench::LoadOptions options;
    options.hosts = 39;
    options.scenario = scenario;
    options.seed = seed;
    options.length = std::chrono::seconds(14);
    return bench::createLoad(options);
}

} // namespace

TEST_CASE("No host is given more than it has and no task runs twice, while hosts crash, leave and fail")
{
    for (const auto scenario : {bench::Scenario::UrgentBurst, bench::Scenario::Losses}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            INFO("seed " << seed);
            const auto outcome = bench::play(createLoad(scenario, seed), batch::PlannerBounds());
            REQUIRE(outcome.placements > 0);
            REQUIRE(outcome.overcommitments == 0);
            REQUIRE(outcome.doubledStarts == 0);
        }
    }
}

TEST_CASE("A load that is played again gives the same outcome")
{
    const auto load = createLoad(bench::Scenario::Losses, 4);
    const auto first = bench::play(load, batch::PlannerBounds());
    const auto second = bench::play(load, batch::PlannerBounds());
    REQUIRE(first.placements == second.placements);
    REQUIRE(first.stops == second.stops);
    REQUIRE(first.worth() == second.worth());
    REQUIRE(first.lostWork == second.lostWork);
}
