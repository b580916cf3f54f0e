#include "ctl/document.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>
#include <toml++/toml.h>

namespace plantainfork::ctl
{

namespace
{

using Json = nlohmann::ordered_json;

/** Copies a TOML tree into JSON and notes where each node stands. */
class Converter
{
public:
    Converter(const std::string &source, std::map<std::string, base::Place> &places)
        : m_source(source)
        , m_places(places)
    {
    }

    Json convert(const toml::node &node, const std::string &path)
    {
        if (!path.empty()) {
            m_places[path] = placeOf(node);
        }
        if (const auto *table = node.as_table()) {
            return convertTable(*table, path);
        }
        if (const auto *array = node.as_array()) {
            return convertArray(*array, path);
        }
        return convertScalar(node, path);
    }

    [[nodiscard]] const base::Findings &findings() const
    {
        return m_findings;
    }

private:
    [[nodiscard]] base::Place placeOf(const toml::node &node) const
    {
        return {m_source, node.source().begin.line, node.source().begin.column};
    }

    Json convertTable(const toml::table &table, const std::string &path)
    {
        Json object = Json::object();
        for (const auto &[key, value] : table) {
            const std::string name(key.str());
            object[name] = convert(value, path.empty() ? name : path + "." + name);
        }
        return object;
    }

    Json convertArray(const toml::array &array, const std::string &path)
    {
        Json list = Json::array();
        for (std::size_t index = 0; index < array.size(); ++index) {
            list.push_back(convert(array[index], path + "[" + std::to_string(index) + "]"));
        }
        return list;
    }

    Json convertScalar(const toml::node &node, const std::string &path)
    {
        if (const auto *text = node.as_string()) {
            return text->get();
        }
        if (const auto *number = node.as_integer()) {
            return number->get();
        }
        if (const auto *number = node.as_floating_point()) {
            return number->get();
        }
        if (const auto *flag = node.as_boolean()) {
            return flag->get();
        }
        m_findings.add(placeOf(node), path + " is a date or time, which no field takes");
        return nullptr;
    }

    const std::string &m_source;
    std::map<std::string, base::Place> &m_places;
    base::Findings m_findings;
};

/** Line and column, both from 1, of a byte position. */
base::Place placeOfByte(const std::string &text, std::size_t position, const std::string &source)
{
    const auto before = std::string_view(text).substr(0, position);
    const auto line = static_cast<unsigned>(std::count(before.begin(), before.end(), '\n')) + 1;
    const auto lineBegin = before.rfind('\n');
    const auto column = lineBegin == std::string_view::npos ? position : position - lineBegin - 1;
    return {source, line, static_cast<unsigned>(column) + 1};
}

/** What nlohmann's message says after its own position. */
std::string parseErrorText(const Json::parse_error &error)
{
    const std::string text = error.what();
    const auto detail = text.find(": ");
    return "is not JSON" + (detail == std::string::npos ? "" : text.substr(detail));
}

Json parseValue(const std::string &text)
{
    auto value = Json::parse(text, nullptr, false);
    return value.is_discarded() ? Json(text) : value;
}

base::Findings assignOne(Json &root, const std::string &assignment)
{
    base::Findings findings;
    const auto equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0) {
        findings.add("--set", "\"" + assignment + "\" is no KEY=VALUE");
        return findings;
    }
    std::string pointer = "/" + assignment.substr(0, equals);
    std::replace(pointer.begin(), pointer.end(), '.', '/');
    try {
        root[Json::json_pointer(pointer)] = parseValue(assignment.substr(equals + 1));
    } catch (const Json::exception &) {
        findings.add("--set", "\"" + assignment.substr(0, equals) + "\" names no field of this value");
    }
    return findings;
}

} // namespace

std::variant<std::string, base::Findings> readFile(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file || !(text << file.rdbuf())) {
        base::Findings findings;
        findings.add(path, "can't be read, or is empty");
        return findings;
    }
    return text.str();
}

std::variant<Document, base::Findings> readDocument(const std::string &path)
{
    auto text = readFile(path);
    if (auto *findings = std::get_if<base::Findings>(&text)) {
        return std::move(*findings);
    }
    constexpr std::string_view TomlEnding = ".toml";
    return path.ends_with(TomlEnding) ? parseToml(std::get<std::string>(text), path) : parseJson(std::get<std::string>(text), path);
}

std::variant<Document, base::Findings> parseToml(const std::string &text, const std::string &source)
{
    base::Findings findings;
    try {
        Document document;
        const auto table = toml::parse(text, source);
        Converter converter(source, document.places);
        document.json = converter.convert(table, "").dump();
        if (converter.findings().isEmpty()) {
            return document;
        }
        return converter.findings();
    } catch (const toml::parse_error &error) {
        const auto &begin = error.source().begin;
        findings.add(base::Place{source, begin.line, begin.column}, std::string(error.description()));
    } catch (const Json::type_error &) {
        findings.add(source, "is not UTF-8 text");
    }
    return findings;
}

std::variant<Document, base::Findings> parseJson(const std::string &text, const std::string &source)
{
    base::Findings findings;
    try {
        return Document{Json::parse(text).dump(), {}};
    } catch (const Json::parse_error &error) {
        findings.add(placeOfByte(text, error.byte == 0 ? 0 : error.byte - 1, source), parseErrorText(error));
    } catch (const Json::exception &error) {
        // A number beyond all ranges is well formed, and still can't be read.
        findings.add(source, error.what());
    }
    return findings;
}

base::Findings assign(Document &document, const std::vector<std::string> &assignments)
{
    base::Findings findings;
    auto root = Json::parse(document.json);
    for (const auto &assignment : assignments) {
        findings.append(assignOne(root, assignment));
    }
    document.json = root.dump(-1, ' ', false, Json::error_handler_t::replace);
    return findings;
}

base::Place placeOf(const Document &document, const std::string &path)
{
    for (std::string around = path; !around.empty();) {
        if (const auto found = document.places.find(around); found != document.places.end()) {
            return found->second;
        }
        const auto end = around.find_last_of(".[");
        around = end == std::string::npos ? "" : around.substr(0, end);
    }
    return {path};
}

} // namespace plantainfork::ctl
