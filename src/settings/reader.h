/** Reads one TOML table key by key, collecting a finding with its place for whatever is missing, mistyped, out of range or unknown. */
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "base/findings.h"

namespace plantainfork::settings
{

/** Values that a numeric setting may take, both ends included. */
struct Range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

enum class Presence {
    Required,
    Optional,
};

/** Text with the place where it stands, for checks that come after reading. */
struct PlacedText {
    std::string value;
    base::Place place;
};

class TableReader
{
public:
    /** `prefix` comes before keys in messages, for example "timing."; all three must outlive the reader. */
    TableReader(const toml::table &table, std::string prefix, const std::string &source, base::Findings &findings);

    std::optional<PlacedText> text(std::string_view key, Presence presence);
    std::optional<std::int64_t> integer(std::string_view key, Range range);
    /** A whole number or a fraction. */
    std::optional<double> number(std::string_view key, double lowest, double highest);
    /** Elements that aren't text are findings and left out. */
    std::vector<PlacedText> texts(std::string_view key);
    /** Nothing when there is none, or it isn't a table (a finding). */
    const toml::table *table(std::string_view key);

    /** Adds a finding for each key that nothing has asked for. */
    void reportUnknownKeys();

    void report(const base::Place &place, std::string_view key, const std::string &message);

private:
    const toml::node *find(std::string_view key, Presence presence);
    [[nodiscard]] base::Place placeOf(const toml::source_region &region) const;

    const toml::table &m_table;
    std::string m_prefix;
    const std::string &m_source;
    base::Findings &m_findings;
    /** Keys asked for so far. */
    std::set<std::string, std::less<>> m_known;
};

} // namespace plantainfork::settings
