#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>
#include <string>

#include "config/value_json.h"
#include "ctl/document.h"
#include "settings/settings.h"

using namespace plantainfork;

namespace
{

const std::string SourceFolder = PLANTAINFORK_SOURCE_FOLDER;

std::string operatingPage()
{
    std::ostringstream text;
    text << std::ifstream(SourceFolder + "/docs/OPERATIONS.md").rdbuf();
    return text.str();
}

std::string json(const std::string &example)
{
    const auto document = ctl::readDocument(SourceFolder + "/examples/" + example + ".toml");
    INFO(example);
    REQUIRE(std::holds_alternative<ctl::Document>(document));
    return std::get<ctl::Document>(document).json;
}

template<typename Value>
std::string findingsOf(const config::Parsed<Value> &parsed)
{
    const auto *findings = std::get_if<base::Findings>(&parsed);
    return findings == nullptr ? "" : findings->text();
}

} // namespace

TEST_CASE("The operators' page lists each numeric setting with its unit, default and range")
{
    const auto page = operatingPage();
    for (const auto &setting : settings::describe()) {
        const auto row = "| `" + setting.key + "` | " + setting.unit + " | " + std::to_string(setting.standard) + " | " + std::to_string(setting.lowest)
            + " to " + std::to_string(setting.highest) + " | ";
        INFO(row);
        REQUIRE(page.find(row) != std::string::npos);
    }
}

TEST_CASE("The operators' page lists each mechanism that may be switched off")
{
    std::string names = settings::mechanismNames();
    for (std::size_t comma = names.find(", "); comma != std::string::npos; comma = names.find(", ", comma + 5)) {
        names.replace(comma, 2, "`, `");
    }
    REQUIRE(operatingPage().find("`" + names + "`") != std::string::npos);
}

TEST_CASE("The example templates and workspaces are what the entry takes")
{
    for (const std::string name : {"ait-ouzzine/calving-count", "ait-ouzzine/season-close", "rueda-andina/colour-proof", "rueda-andina/pattern-nesting"}) {
        REQUIRE(findingsOf(config::parseTemplate("example", json(name))).empty());
    }
    for (const std::string name : {"ait-ouzzine/middle-atlas", "rueda-andina/club-kits"}) {
        REQUIRE(findingsOf(config::parseWorkspace("example", json(name))).empty());
    }
}
