#include <catch2/catch.hpp>

#include "ctl/document.h"

using namespace plantainfork;

namespace
{

ctl::Document toml(const std::string &text)
{
    return std::get<ctl::Document>(ctl::parseToml(text, "t.toml"));
}

std::string findingsOf(const std::variant<ctl::Document, base::Findings> &result)
{
    return std::get<base::Findings>(result).text();
}

} // namespace

TEST_CASE("TOML becomes JSON with the place of each field")
{
    const auto document = toml("kind = \"job\"\n[shape]\nmembers = 4\n[[grants]]\ntemplate = \"t\"\ndataCentres = []\n");
    REQUIRE(document.json == R"({"grants":[{"dataCentres":[],"template":"t"}],"kind":"job","shape":{"members":4}})");
    REQUIRE(ctl::placeOf(document, "shape.members").text() == "t.toml:3:11");
    REQUIRE(ctl::placeOf(document, "grants[0].template").text() == "t.toml:5:12");
    REQUIRE(ctl::placeOf(document, "shape.adjacency").text() == "t.toml:2:1");
    REQUIRE(ctl::placeOf(document, "urgency").text() == "urgency");
}

TEST_CASE("Errors in the file have their place")
{
    REQUIRE(findingsOf(ctl::parseToml("kind = \n", "t.toml")).find("t.toml:1:") == 0);
    REQUIRE(findingsOf(ctl::parseToml("kind = 2026-01-01\n", "t.toml")) == "t.toml:1:8: kind is a date or time, which no field takes\n");
    REQUIRE(findingsOf(ctl::parseJson("{\n  \"kind\": job\n}", "t.json")).find("t.json:2:11: is not JSON: ") == 0);
    REQUIRE(findingsOf(ctl::readDocument("/nonexistent/t.toml")).find("/nonexistent/t.toml: can't be read") == 0);
}

TEST_CASE("Assignments change fields by their path")
{
    auto document = toml("urgency = \"normal\"\n[shape]\nmembers = 4\n");
    REQUIRE(ctl::assign(document, {"urgency=urgent", "shape.members=8", "shape.adjacency=rack", "idempotent=false"}).isEmpty());
    REQUIRE(document.json == R"({"shape":{"members":8,"adjacency":"rack"},"urgency":"urgent","idempotent":false})");
    REQUIRE(ctl::assign(document, {"urgency", "=1", "urgency.deeper=1"}).all().size() == 3);
}

TEST_CASE("A number beyond all ranges is a finding")
{
    REQUIRE(std::holds_alternative<base::Findings>(ctl::parseJson("4444444444440444E4888888", "input")));
}
