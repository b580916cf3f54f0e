#include "settings/reader.h"

#include <sstream>
#include <utility>

namespace plantainfork::settings
{

TableReader::TableReader(const toml::table &table, std::string prefix, const std::string &source, base::Findings &findings)
    : m_table(table)
    , m_prefix(std::move(prefix))
    , m_source(source)
    , m_findings(findings)
{
}

base::Place TableReader::placeOf(const toml::source_region &region) const
{
    return {m_source, region.begin.line, region.begin.column};
}

void TableReader::report(const base::Place &place, std::string_view key, const std::string &message)
{
    m_findings.add(place, m_prefix + std::string(key) + " " + message);
}

const toml::node *TableReader::find(std::string_view key, Presence presence)
{
    m_known.emplace(key);
    const toml::node *node = m_table.get(key);
    if (node == nullptr && presence == Presence::Required) {
        report(placeOf(m_table.source()), key, "is missing");
    }
    return node;
}

std::optional<PlacedText> TableReader::text(std::string_view key, Presence presence)
{
    const auto *node = find(key, presence);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto *value = node->as_string();
    if (value == nullptr) {
        report(placeOf(node->source()), key, "must be a string");
        return std::nullopt;
    }
    return PlacedText{value->get(), placeOf(node->source())};
}

std::optional<std::int64_t> TableReader::integer(std::string_view key, Range range)
{
    const auto *node = find(key, Presence::Optional);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto place = placeOf(node->source());
    const auto *value = node->as_integer();
    if (value == nullptr) {
        report(place, key, "must be a whole number");
        return std::nullopt;
    }
    if (value->get() < range.lowest || value->get() > range.highest) {
        report(place, key, "must be from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest));
        return std::nullopt;
    }
    return value->get();
}

std::optional<double> TableReader::number(std::string_view key, double lowest, double highest)
{
    const auto *node = find(key, Presence::Optional);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto place = placeOf(node->source());
    const auto value = node->value<double>();
    if (!node->is_number() || !value) {
        report(place, key, "must be a number");
        return std::nullopt;
    }
    const bool isInRange = *value >= lowest && *value <= highest;
    if (!isInRange) {
        std::ostringstream range;
        range << "must be from " << lowest << " to " << highest;
        report(place, key, range.str());
        return std::nullopt;
    }
    return value;
}

std::vector<PlacedText> TableReader::texts(std::string_view key)
{
    std::vector<PlacedText> values;
    const auto *node = find(key, Presence::Optional);
    if (node == nullptr) {
        return values;
    }
    const auto *array = node->as_array();
    if (array == nullptr) {
        report(placeOf(node->source()), key, "must be an array of strings");
        return values;
    }
    for (const auto &element : *array) {
        const auto place = placeOf(element.source());
        if (const auto *value = element.as_string()) {
            values.push_back({value->get(), place});
        } else {
            report(place, key, "must hold strings only");
        }
    }
    return values;
}

const toml::table *TableReader::table(std::string_view key)
{
    const auto *node = find(key, Presence::Optional);
    if (node == nullptr) {
        return nullptr;
    }
    if (!node->is_table()) {
        report(placeOf(node->source()), key, "must be a table");
    }
    return node->as_table();
}

void TableReader::reportUnknownKeys()
{
    for (const auto &[key, node] : m_table) {
        if (!m_known.contains(key.str())) {
            report(placeOf(key.source()), key.str(), "is not a setting");
        }
    }
}

} // namespace plantainfork::settings
