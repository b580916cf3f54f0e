#include "config/service_json.h"

#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "config/value_json.h"

namespace plantainfork::config
{

namespace
{

using Json = nlohmann::json;

Json changeJson(const Change &change)
{
    return Json::parse(encode(change));
}

template<typename Versioned>
Json versionedJson(const std::string &name, const Versioned &versioned)
{
    return {{"name", name}, {"revision", versioned.revision.value()}, {"value", Json::parse(toJson(versioned.value))}};
}

/** Calls the function with the map of the collection. */
template<typename Function>
auto withValues(const wire::Config &config, Collection collection, Function function)
{
    switch (collection) {
    case Collection::Templates:
        return function(config.templates);
    case Collection::Workspaces:
        return function(config.workspaces);
    case Collection::DataCentres:
        break;
    }
    return function(config.dataCentres);
}

template<typename Value>
std::variant<std::string, base::Findings> canonical(Parsed<Value> parsed)
{
    if (std::holds_alternative<base::Findings>(parsed)) {
        return std::get<base::Findings>(std::move(parsed));
    }
    return toJson(std::get<Value>(parsed));
}

} // namespace

std::string acceptedJson(const Change &change)
{
    return Json{{"revision", change.revision.value()}, {"changeId", change.id.value()}}.dump();
}

std::string conflictJson(const std::optional<Change> &winner)
{
    Json json{{"error", "conflict"}};
    if (winner) {
        const Json change = changeJson(*winner);
        json["winner"] = {{"revision", change["revision"]}, {"changeId", change["changeId"]}, {"value", change["value"]}};
    }
    return json.dump();
}

std::string findingsJson(const base::Findings &findings)
{
    Json json = Json::array();
    for (const auto &finding : findings.all()) {
        json.push_back({{"place", finding.place.text()}, {"message", finding.message}});
    }
    return Json{{"findings", std::move(json)}}.dump();
}

std::string errorJson(const std::string &reason)
{
    return Json{{"error", reason}}.dump();
}

std::string historyJson(const std::vector<Change> &changes)
{
    Json json = Json::array();
    for (const auto &change : changes) {
        json.push_back(changeJson(change));
    }
    return Json{{"changes", std::move(json)}}.dump();
}

std::optional<std::string> itemJson(const wire::Config &config, Collection collection, const std::string &name)
{
    return withValues(config, collection, [&name](const auto &values) -> std::optional<std::string> {
        using Id = typename std::decay_t<decltype(values)>::key_type;
        const auto found = values.find(Id(name));
        if (found == values.end() || found->second.removed) {
            return std::nullopt;
        }
        return versionedJson(name, found->second).dump();
    });
}

std::string itemsJson(const wire::Config &config, Collection collection)
{
    const Json items = withValues(config, collection, [](const auto &values) {
        Json json = Json::array();
        for (const auto &[name, versioned] : values) {
            if (!versioned.removed) {
                json.push_back(versionedJson(name.value(), versioned));
            }
        }
        return json;
    });
    return Json{{"revision", config.revision.value()}, {"items", items}}.dump();
}

std::variant<std::string, base::Findings> canonicalValue(Collection collection, const std::string &name, const std::string &text)
{
    switch (collection) {
    case Collection::Templates:
        return canonical(parseTemplate(name, text));
    case Collection::Workspaces:
        return canonical(parseWorkspace(name, text));
    case Collection::DataCentres:
        break;
    }
    return canonical(parseDataCentre(name, text));
}

} // namespace plantainfork::config
