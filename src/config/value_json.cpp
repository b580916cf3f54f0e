#include "config/value_json.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace plantainfork::config
{

namespace
{

using Json = nlohmann::json;

/** Largest gang and largest counts that a value may name; beyond them it is a mistake. */
constexpr std::uint64_t MostMembers = 4096;
constexpr std::uint64_t MostPerMember = 1024;
constexpr std::uint64_t MostMemoryMiB = 16ULL * 1024 * 1024;
constexpr std::uint64_t MostGangs = 1'000'000;
constexpr std::uint64_t WholeShare = 1000;
constexpr std::uint64_t LongestMilliseconds = 365ULL * 24 * 3600 * 1000;
constexpr std::size_t LongestName = 128;

/** Reads one JSON object, collecting findings by the field's path. */
class ObjectReader
{
public:
    ObjectReader(const Json &json, std::string path, base::Findings &findings)
        : m_json(json)
        , m_path(std::move(path))
        , m_findings(findings)
    {
        if (!json.is_object()) {
            m_findings.add(m_path, "must be an object");
        }
    }

    [[nodiscard]] std::string path(const std::string &field) const
    {
        return m_path.empty() ? field : m_path + "/" + field;
    }

    const Json *find(const std::string &field)
    {
        m_known.push_back(field);
        if (!m_json.is_object()) {
            return nullptr;
        }
        const auto found = m_json.find(field);
        return found == m_json.end() || found->is_null() ? nullptr : &*found;
    }

    std::uint64_t number(const std::string &field, std::uint64_t standard, std::uint64_t lowest, std::uint64_t highest)
    {
        const Json *value = find(field);
        if (!value) {
            return standard;
        }
        const bool isInRange = value->is_number_unsigned() && value->get<std::uint64_t>() >= lowest && value->get<std::uint64_t>() <= highest;
        if (!isInRange) {
            m_findings.add(path(field), "must be a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
            return standard;
        }
        return value->get<std::uint64_t>();
    }

    bool flag(const std::string &field, bool standard)
    {
        const Json *value = find(field);
        if (value && !value->is_boolean()) {
            m_findings.add(path(field), "must be true or false");
        }
        return value && value->is_boolean() ? value->get<bool>() : standard;
    }

    std::string text(const std::string &field)
    {
        const Json *value = find(field);
        if (!value) {
            return {};
        }
        if (!value->is_string() || value->get_ref<const std::string &>().size() > LongestName) {
            m_findings.add(path(field), "must be a string of at most " + std::to_string(LongestName) + " characters");
            return {};
        }
        return value->get<std::string>();
    }

    /** One of the names, as its position. */
    template<typename Enum, std::size_t N>
    Enum choice(const std::string &field, Enum standard, const std::pair<const char *, Enum> (&names)[N])
    {
        const Json *value = find(field);
        if (!value) {
            return standard;
        }
        std::string all;
        for (const auto &[name, option] : names) {
            if (value->is_string() && value->get_ref<const std::string &>() == name) {
                return option;
            }
            all += (all.empty() ? "" : ", ") + std::string(name);
        }
        m_findings.add(path(field), "must be one of " + all);
        return standard;
    }

    /** Reports members that nothing asked for. */
    void finish()
    {
        if (!m_json.is_object()) {
            return;
        }
        for (const auto &[field, value] : m_json.items()) {
            if (std::find(m_known.begin(), m_known.end(), field) == m_known.end()) {
                m_findings.add(path(field), "is not known here");
            }
        }
    }

private:
    const Json &m_json;
    const std::string m_path;
    base::Findings &m_findings;
    std::vector<std::string> m_known;
};

constexpr std::pair<const char *, wire::WorkKind> WorkKindNames[] = {{"request", wire::WorkKind::Request}, {"job", wire::WorkKind::Job}};
constexpr std::pair<const char *, wire::Urgency> UrgencyNames[] = {{"urgent", wire::Urgency::Urgent},
                                                                   {"normal", wire::Urgency::Normal},
                                                                   {"patient", wire::Urgency::Patient}};
constexpr std::pair<const char *, wire::Adjacency> AdjacencyNames[] = {{"host", wire::Adjacency::Host},
                                                                       {"rack", wire::Adjacency::Rack},
                                                                       {"datacentre", wire::Adjacency::DataCentre}};
constexpr std::pair<const char *, wire::DataCentreMode> ModeNames[] = {{"in", wire::DataCentreMode::In}, {"out", wire::DataCentreMode::Out}};

template<typename Enum, std::size_t N>
const char *nameOf(Enum value, const std::pair<const char *, Enum> (&names)[N])
{
    for (const auto &[name, option] : names) {
        if (option == value) {
            return name;
        }
    }
    return "";
}

wire::Shape parseShape(const Json &json, const std::string &path, base::Findings &findings)
{
    ObjectReader reader(json, path, findings);
    wire::Shape shape;
    shape.members = static_cast<std::uint32_t>(reader.number("members", 1, 1, MostMembers));
    shape.acceleratorsPerMember = static_cast<std::uint32_t>(reader.number("acceleratorsPerMember", 0, 0, MostPerMember));
    shape.coresPerMember = static_cast<std::uint32_t>(reader.number("coresPerMember", 1, 0, MostPerMember));
    shape.memoryMiBPerMember = reader.number("memoryMiBPerMember", 0, 0, MostMemoryMiB);
    shape.adjacency = reader.choice("adjacency", wire::Adjacency::DataCentre, AdjacencyNames);
    reader.finish();
    return shape;
}

Json shapeJson(const wire::Shape &shape)
{
    return {{"members", shape.members},
            {"acceleratorsPerMember", shape.acceleratorsPerMember},
            {"coresPerMember", shape.coresPerMember},
            {"memoryMiBPerMember", shape.memoryMiBPerMember},
            {"adjacency", nameOf(shape.adjacency, AdjacencyNames)}};
}

wire::Grant parseGrant(const Json &json, const std::string &path, base::Findings &findings)
{
    ObjectReader reader(json, path, findings);
    wire::Grant grant;
    grant.templateId = base::TemplateId(reader.text("template"));
    if (grant.templateId.isEmpty()) {
        findings.add(reader.path("template"), "is required");
    }
    grant.guaranteedGangs = static_cast<std::uint32_t>(reader.number("guaranteedGangs", 0, 0, MostGangs));
    grant.guaranteedSlotShare = static_cast<std::uint32_t>(reader.number("guaranteedSlotShare", 0, 0, WholeShare));
    if (const Json *shape = reader.find("shape")) {
        grant.shape = parseShape(*shape, reader.path("shape"), findings);
    }
    if (const Json *names = reader.find("dataCentres")) {
        if (!names->is_array()) {
            findings.add(reader.path("dataCentres"), "must be an array of names");
            return grant;
        }
        for (const auto &name : *names) {
            if (!name.is_string()) {
                findings.add(reader.path("dataCentres"), "must be an array of names");
                break;
            }
            grant.dataCentres.emplace_back(name.get<std::string>());
        }
    }
    reader.finish();
    return grant;
}

/** Names become parts of keys and paths. */
void checkName(const std::string &name, base::Findings &findings)
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    if (name.empty() || name.size() > LongestName || name.find_first_not_of(Allowed) != std::string::npos) {
        findings.add("name", "must be 1 to " + std::to_string(LongestName) + " letters, digits, dots, dashes or underscores");
    }
}

/** Parses the text and lets the function read it. */
template<typename Value, typename Function>
Parsed<Value> parseWith(const std::string &name, const std::string &text, Function function)
{
    base::Findings findings;
    checkName(name, findings);
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        findings.add("body", "is not JSON");
        return findings;
    }
    Value value = function(json, findings);
    if (!findings.isEmpty()) {
        return findings;
    }
    return value;
}

Json templateJson(const wire::Template &value)
{
    return {{"kind", nameOf(value.kind, WorkKindNames)},
            {"service", value.service.value()},
            {"idempotent", value.idempotent},
            {"checkpointable", value.checkpointable},
            {"urgency", nameOf(value.urgency, UrgencyNames)},
            {"deadlineMs", value.deadline.count()},
            {"shape", shapeJson(value.shape)}};
}

Json workspaceJson(const wire::Workspace &value)
{
    Json grants = Json::array();
    for (const auto &grant : value.grants) {
        Json json{{"template", grant.templateId.value()}, {"guaranteedGangs", grant.guaranteedGangs}, {"guaranteedSlotShare", grant.guaranteedSlotShare}};
        if (grant.shape.members > 0) {
            json["shape"] = shapeJson(grant.shape);
        }
        json["dataCentres"] = Json::array();
        for (const auto &name : grant.dataCentres) {
            json["dataCentres"].push_back(name.value());
        }
        grants.push_back(std::move(json));
    }
    return {{"grants", std::move(grants)}};
}

Json dataCentreJson(const wire::DataCentre &value)
{
    return {{"region", value.region.value()}, {"mode", nameOf(value.mode, ModeNames)}};
}

template<typename Values, typename Function>
Json collectionJson(const Values &values, Function function)
{
    Json json = Json::object();
    for (const auto &[name, versioned] : values) {
        if (!versioned.removed) {
            json[name.value()] = {{"revision", versioned.revision.value()}, {"value", function(versioned.value)}};
        }
    }
    return json;
}

template<typename Values, typename Name>
bool contains(const Values &values, const Name &name)
{
    const auto found = values.find(name);
    return found != values.end() && !found->second.removed;
}

} // namespace

Parsed<wire::Template> parseTemplate(const std::string &name, const std::string &text)
{
    return parseWith<wire::Template>(name, text, [&name](const Json &json, base::Findings &findings) {
        ObjectReader reader(json, "", findings);
        wire::Template value;
        value.name = base::TemplateId(name);
        value.kind = reader.choice("kind", wire::WorkKind::Request, WorkKindNames);
        value.service = base::ServiceId(reader.text("service"));
        value.idempotent = reader.flag("idempotent", true);
        value.checkpointable = reader.flag("checkpointable", false);
        value.urgency = reader.choice("urgency", wire::Urgency::Normal, UrgencyNames);
        value.deadline = std::chrono::milliseconds(reader.number("deadlineMs", 0, 0, LongestMilliseconds));
        if (const Json *shape = reader.find("shape")) {
            value.shape = parseShape(*shape, "shape", findings);
        }
        if (value.kind == wire::WorkKind::Request && value.service.isEmpty()) {
            findings.add("service", "is required for requests");
        }
        reader.finish();
        return value;
    });
}

Parsed<wire::Workspace> parseWorkspace(const std::string &name, const std::string &text)
{
    return parseWith<wire::Workspace>(name, text, [&name](const Json &json, base::Findings &findings) {
        ObjectReader reader(json, "", findings);
        wire::Workspace value;
        value.name = base::WorkspaceId(name);
        if (const Json *grants = reader.find("grants")) {
            if (!grants->is_array()) {
                findings.add("grants", "must be an array");
                return value;
            }
            std::size_t position = 0;
            for (const auto &grant : *grants) {
                value.grants.push_back(parseGrant(grant, "grants/" + std::to_string(position++), findings));
            }
        }
        reader.finish();
        return value;
    });
}

Parsed<wire::DataCentre> parseDataCentre(const std::string &name, const std::string &text)
{
    return parseWith<wire::DataCentre>(name, text, [&name](const Json &json, base::Findings &findings) {
        ObjectReader reader(json, "", findings);
        wire::DataCentre value;
        value.name = base::DataCentreId(name);
        value.region = base::RegionId(reader.text("region"));
        value.mode = reader.choice("mode", wire::DataCentreMode::In, ModeNames);
        if (value.region.isEmpty()) {
            findings.add("region", "is required");
        }
        reader.finish();
        return value;
    });
}

std::string toJson(const wire::Template &value)
{
    return templateJson(value).dump();
}

std::string toJson(const wire::Workspace &value)
{
    return workspaceJson(value).dump();
}

std::string toJson(const wire::DataCentre &value)
{
    return dataCentreJson(value).dump();
}

base::Findings checkReferences(const wire::Config &config)
{
    base::Findings findings;
    for (const auto &[name, workspace] : config.workspaces) {
        if (workspace.removed) {
            continue;
        }
        for (const auto &grant : workspace.value.grants) {
            if (!contains(config.templates, grant.templateId)) {
                findings.add("workspaces/" + name.value(), "names template " + grant.templateId.value() + ", which doesn't exist");
            }
            for (const auto &dataCentre : grant.dataCentres) {
                if (!contains(config.dataCentres, dataCentre)) {
                    findings.add("workspaces/" + name.value(), "names data centre " + dataCentre.value() + ", which doesn't exist");
                }
            }
        }
    }
    return findings;
}

std::string toJson(const wire::Config &config)
{
    return Json{{"revision", config.revision.value()},
                {"templates", collectionJson(config.templates, templateJson)},
                {"workspaces", collectionJson(config.workspaces, workspaceJson)},
                {"dataCentres", collectionJson(config.dataCentres, dataCentreJson)}}
        .dump();
}

} // namespace plantainfork::config
