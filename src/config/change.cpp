#include "config/change.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "config/value_json.h"

namespace plantainfork::config
{

namespace
{

using Json = nlohmann::json;

constexpr std::array<std::pair<Collection, std::string_view>, 3> CollectionNames{{
    {Collection::Templates, "templates"},
    {Collection::Workspaces, "workspaces"},
    {Collection::DataCentres, "datacentres"},
}};

Json toJsonValue(const Change &change)
{
    return {{"revision", change.revision.value()},
            {"changeId", change.id.value()},
            {"collection", collectionName(change.collection)},
            {"name", change.name},
            {"removed", change.removed},
            {"value", change.removed ? Json() : Json::parse(change.value)},
            {"wallTimeMs", change.wallTime.count()}};
}

Change fromJsonValue(const Json &json)
{
    Change change;
    change.revision = base::Revision(json.at("revision").get<std::uint64_t>());
    change.id = base::ChangeId(json.at("changeId").get<std::string>());
    const auto collection = collectionFromName(json.at("collection").get<std::string>());
    if (!collection) {
        throw std::invalid_argument("unknown collection");
    }
    change.collection = *collection;
    change.name = json.at("name").get<std::string>();
    change.removed = json.at("removed").get<bool>();
    change.value = change.removed ? std::string() : json.at("value").dump();
    change.wallTime = std::chrono::milliseconds(json.at("wallTimeMs").get<std::int64_t>());
    return change;
}

template<typename Function>
auto decodeWith(const std::string &text, Function function) -> absl::StatusOr<decltype(function(Json()))>
{
    try {
        return function(Json::parse(text));
    } catch (const std::exception &error) {
        return absl::InternalError(std::string("stored configuration does not decode: ") + error.what());
    }
}

/** Keeps the newer of what is there and the change. */
template<typename Id, typename Value>
base::Findings put(std::map<Id, wire::Versioned<Value>> &values, const Change &change, Parsed<Value> parsed)
{
    wire::Versioned<Value> &versioned = values[Id(change.name)];
    if (versioned.revision >= change.revision) {
        return {};
    }
    if (!change.removed && std::holds_alternative<base::Findings>(parsed)) {
        return std::get<base::Findings>(parsed);
    }
    versioned.revision = change.revision;
    versioned.removed = change.removed;
    if (change.removed) {
        versioned.value.name = Id(change.name);
    } else {
        versioned.value = std::get<Value>(std::move(parsed));
    }
    return {};
}

} // namespace

std::string_view collectionName(Collection collection)
{
    for (const auto &[candidate, name] : CollectionNames) {
        if (candidate == collection) {
            return name;
        }
    }
    return {};
}

std::optional<Collection> collectionFromName(std::string_view name)
{
    for (const auto &[collection, candidate] : CollectionNames) {
        if (candidate == name) {
            return collection;
        }
    }
    return std::nullopt;
}

std::string Change::key() const
{
    return std::string(ConfigPrefix) + std::string(collectionName(collection)) + "/" + name;
}

void Head::append(Change change)
{
    revision = change.revision;
    changes.push_back(std::move(change));
    if (changes.size() > HeadLength) {
        changes.erase(changes.begin());
    }
}

bool Head::covers(base::Revision from) const
{
    return from >= revision || (!changes.empty() && changes.front().revision <= from.next());
}

std::string historyKey(base::Revision revision)
{
    return std::string(HistoryPrefix) + std::to_string(revision.value() % HistoryLength);
}

std::string encode(const Change &change)
{
    return toJsonValue(change).dump();
}

std::string encode(const Head &head)
{
    Json changes = Json::array();
    for (const auto &change : head.changes) {
        changes.push_back(toJsonValue(change));
    }
    return Json{{"revision", head.revision.value()}, {"changes", std::move(changes)}}.dump();
}

absl::StatusOr<Change> decodeChange(const std::string &text)
{
    return decodeWith(text, fromJsonValue);
}

absl::StatusOr<Head> decodeHead(const std::string &text)
{
    return decodeWith(text, [](const Json &json) {
        Head head;
        head.revision = base::Revision(json.at("revision").get<std::uint64_t>());
        for (const auto &change : json.at("changes")) {
            head.changes.push_back(fromJsonValue(change));
        }
        return head;
    });
}

base::Findings apply(const Change &change, wire::Config &config)
{
    switch (change.collection) {
    case Collection::Templates:
        return put(config.templates, change, parseTemplate(change.name, change.value));
    case Collection::Workspaces:
        return put(config.workspaces, change, parseWorkspace(change.name, change.value));
    case Collection::DataCentres:
        return put(config.dataCentres, change, parseDataCentre(change.name, change.value));
    }
    return {};
}

} // namespace plantainfork::config
