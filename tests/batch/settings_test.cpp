/** Settings of the batch service: all findings at once, each with its place. */
#include <catch2/catch.hpp>

#include "batch/settings.h"

using namespace plantainfork;

namespace
{

const std::string Valid = R"(role = "agent"
id = "side-1"
region = "atlas-north"
data_centre = "pens"
rpc = "192.0.2.1:7000"
http = "192.0.2.1:8000"
store = "192.0.2.9:8500"
executor = "192.0.2.1:8529"
entries = ["192.0.2.2:8526"]
entries_port = 7000
)";

} // namespace

TEST_CASE("Valid settings are read, with the entries' own port")
{
    const auto parsed = batch::parseSettings(Valid, "node.toml");
    REQUIRE(std::holds_alternative<batch::Settings>(parsed));
    const auto &settings = std::get<batch::Settings>(parsed);
    REQUIRE(settings.role == wire::MemberRole::Agent);
    REQUIRE(settings.entries.front().port == 7000);
}

TEST_CASE("All findings are reported with their place")
{
    const auto parsed = batch::parseSettings(Valid + "kill_grace_ms = -1\nsurprise = 1\nreadiness = \"nowhere\"\n", "node.toml");
    REQUIRE(std::holds_alternative<base::Findings>(parsed));
    const std::string text = std::get<base::Findings>(parsed).text();
    REQUIRE(text.find("node.toml:11") != std::string::npos);
    REQUIRE(text.find("node.toml:12") != std::string::npos);
    REQUIRE(text.find("node.toml:13") != std::string::npos);
}
