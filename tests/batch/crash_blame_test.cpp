/** Who is to blame when executors crash, and who is given up. */
#include <catch2/catch.hpp>

#include "batch/crash_blame.h"

using namespace plantainfork;
using batch::CrashBlame;

namespace
{

batch::Crashes crashes(const std::vector<std::pair<std::string, CrashBlame>> &list)
{
    batch::Crashes result;
    for (const auto &[host, blame] : list) {
        result[batch::Attempt(result.size() + 1)] = {batch::HostId(host), blame};
    }
    return result;
}

} // namespace

TEST_CASE("What had just begun on an executor is blamed for its crash before what had been running")
{
    REQUIRE(batch::blameFor(1, {{1, false}, {2, true}}) == CrashBlame::Sole);
    REQUIRE(batch::blameFor(2, {{1, false}, {2, true}}) == CrashBlame::Bystander);
    REQUIRE(batch::blameFor(1, {{1, false}, {2, false}, {3, true}}) == CrashBlame::Shared);
    REQUIRE(batch::blameFor(3, {{1, true}, {3, true}}) == CrashBlame::Shared);
    // Members of one gang on one host.
    REQUIRE(batch::blameFor(1, {{1, false}, {1, false}}) == CrashBlame::Sole);
}

TEST_CASE("A unit is given up after crashes on two hosts if one was its own, and otherwise later")
{
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", CrashBlame::Sole}})));
    REQUIRE(batch::isGivenUp(crashes({{"a", CrashBlame::Sole}, {"b", CrashBlame::Sole}})));
    REQUIRE(batch::isGivenUp(crashes({{"a", CrashBlame::Shared}, {"b", CrashBlame::Sole}})));
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", CrashBlame::Sole}, {"a", CrashBlame::Sole}})));
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", CrashBlame::Shared}, {"b", CrashBlame::Shared}})));
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", CrashBlame::Sole}, {"b", CrashBlame::Bystander}})));
    REQUIRE(batch::isGivenUp(crashes({{"a", CrashBlame::Shared}, {"a", CrashBlame::Shared}, {"a", CrashBlame::Shared}})));
}

TEST_CASE("A unit whose crashes always look like those of others is given up within what the platform allows")
{
    using enum CrashBlame;
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", Bystander}, {"b", Bystander}, {"c", Bystander}})));
    REQUIRE(batch::isGivenUp(crashes({{"a", Bystander}, {"b", Bystander}, {"c", Bystander}, {"d", Bystander}})));
}
