#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

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

/** The source of the batch service and of what it is built on. */
std::string batchSource()
{
    std::ostringstream text;
    for (const char *folder : {"/platform", "/src/batch", "/src/http", "/src/log", "/src/store"}) {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(SourceFolder + folder)) {
            const auto extension = entry.path().extension();
            if (extension == ".h" || extension == ".cpp") {
                text << std::ifstream(entry.path()).rdbuf();
            }
        }
    }
    return text.str();
}

std::vector<std::string> quotedIn(const std::string &text)
{
    static const std::regex Quoted("`([^`]+)`");
    std::vector<std::string> names;
    for (auto match = std::sregex_iterator(text.begin(), text.end(), Quoted); match != std::sregex_iterator(); ++match) {
        names.push_back((*match)[1]);
    }
    return names;
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

TEST_CASE("Each log event and metric of the batch service that the operators' page names is one that the service writes")
{
    const auto page = operatingPage();
    const auto batch = page.substr(page.find("# Operating the batch service"));
    const auto source = batchSource();
    std::vector<std::string> names;
    const auto table = batch.find("| event | says |");
    REQUIRE(table != std::string::npos);
    std::istringstream rows(batch.substr(table, batch.find("\n\n", table) - table));
    for (std::string row; std::getline(rows, row);) {
        const auto events = quotedIn(row.substr(0, row.find('|', 1)));
        names.insert(names.end(), events.begin(), events.end());
    }
    REQUIRE(names.size() > 40);
    const std::string prefix = "plantainfork_";
    for (const auto &name : quotedIn(batch)) {
        if (name.compare(0, prefix.size(), prefix) == 0) {
            names.push_back(name);
        }
    }
    for (const auto &name : names) {
        INFO(name);
        REQUIRE(source.find('"' + name + '"') != std::string::npos);
    }
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
