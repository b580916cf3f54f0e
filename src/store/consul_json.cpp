#include "store/consul_json.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "wire/json_status.h"

namespace plantainfork::store
{

namespace
{

using Json = nlohmann::json;

const char *verb(Write::Kind kind)
{
    switch (kind) {
    case Write::Kind::Set:
        return "cas";
    case Write::Kind::Remove:
        return "delete-cas";
    case Write::Kind::Lock:
        return "lock";
    case Write::Kind::Unlock:
        return "unlock";
    case Write::Kind::Check:
        return "check-index";
    }
    return "";
}

Json encodeWrite(const Write &write)
{
    Json operation{{"Verb", verb(write.kind)}, {"Key", write.key}};
    switch (write.kind) {
    case Write::Kind::Set:
        operation["Value"] = absl::Base64Escape(write.value);
        operation["Index"] = write.expected.value();
        break;
    case Write::Kind::Remove:
    case Write::Kind::Check:
        operation["Index"] = write.expected.value();
        break;
    case Write::Kind::Lock:
    case Write::Kind::Unlock:
        operation["Value"] = absl::Base64Escape(write.value);
        operation["Session"] = write.session.value();
        break;
    }
    return Json{{"KV", std::move(operation)}};
}

KeyValue decodeEntry(const Json &json)
{
    KeyValue entry;
    entry.key = json.at("Key").get<std::string>();
    if (const auto value = json.find("Value"); value != json.end() && value->is_string()) {
        if (!absl::Base64Unescape(value->get<std::string>(), &entry.value)) {
            throw std::invalid_argument("value of " + entry.key + " is not base64");
        }
    }
    entry.modified = Index(json.at("ModifyIndex").get<std::uint64_t>());
    entry.lockIndex = json.value("LockIndex", std::uint64_t{0});
    entry.session = SessionId(json.value("Session", std::string()));
    return entry;
}

} // namespace

std::string encodeTransaction(const std::vector<Write> &writes)
{
    Json operations = Json::array();
    for (const auto &write : writes) {
        operations.push_back(encodeWrite(write));
    }
    return operations.dump();
}

std::string encodeSession(std::chrono::milliseconds life)
{
    return Json{{"TTL", std::to_string(life.count()) + "ms"}, {"Behavior", "release"}}.dump();
}

absl::StatusOr<std::vector<KeyValue>> decodeEntries(const std::string &body)
{
    return wire::decodeJson(body, "answer of the store", [](const Json &json) {
        std::vector<KeyValue> entries;
        for (const auto &entry : json) {
            entries.push_back(decodeEntry(entry));
        }
        return entries;
    });
}

absl::StatusOr<std::vector<KeyValue>> decodeWritten(const std::string &body, const std::vector<Write> &writes)
{
    return wire::decodeJson(body, "answer of the store", [&writes](const Json &json) {
        std::vector<KeyValue> entries;
        for (const auto &result : json.at("Results")) {
            KeyValue entry = decodeEntry(result.at("KV"));
            for (const auto &write : writes) {
                if (write.key == entry.key) {
                    entry.value = write.value;
                }
            }
            entries.push_back(std::move(entry));
        }
        return entries;
    });
}

absl::StatusOr<SessionId> decodeSession(const std::string &body)
{
    return wire::decodeJson(body, "answer of the store", [](const Json &json) {
        return SessionId(json.at("ID").get<std::string>());
    });
}

} // namespace plantainfork::store
