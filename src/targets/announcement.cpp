#include "targets/announcement.h"

#include <array>
#include <limits>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

namespace plantainfork::targets
{

namespace
{

using Json = nlohmann::json;

constexpr std::array<std::pair<std::string_view, wire::TaskState>, 7> TaskStateNames{{
    {"absent", wire::TaskState::Absent},
    {"prepared", wire::TaskState::Prepared},
    {"running", wire::TaskState::Running},
    {"stopping", wire::TaskState::Stopping},
    {"finished", wire::TaskState::Finished},
    {"failed", wire::TaskState::Failed},
    {"stopped", wire::TaskState::Stopped},
}};

/** Reads fields of one JSON object and collects what is wrong with them. */
class Fields
{
public:
    Fields(const Json &object, std::string path, base::Findings &findings)
        : m_object(object)
        , m_path(std::move(path))
        , m_findings(findings)
    {
    }

    std::string text(const char *name, bool isRequired)
    {
        const auto found = m_object.find(name);
        if (found == m_object.end()) {
            return missing(name, isRequired);
        }
        if (!found->is_string()) {
            m_findings.add(m_path + name, "must be a string");
            return {};
        }
        return found->get<std::string>();
    }

    std::uint64_t number(const char *name, std::uint64_t limit, bool isRequired)
    {
        const auto found = m_object.find(name);
        if (found == m_object.end()) {
            missing(name, isRequired);
            return 0;
        }
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() > limit) {
            m_findings.add(m_path + name, "must be a whole number from 0 to " + std::to_string(limit));
            return 0;
        }
        return found->get<std::uint64_t>();
    }

    std::uint32_t units(const char *name, bool isRequired)
    {
        return static_cast<std::uint32_t>(number(name, MaxOfferedUnits, isRequired));
    }

    void fail(const char *name, std::string message)
    {
        m_findings.add(m_path + name, std::move(message));
    }

private:
    std::string missing(const char *name, bool isRequired)
    {
        if (isRequired) {
            m_findings.add(m_path + name, "is missing");
        }
        return {};
    }

    const Json &m_object;
    const std::string m_path;
    base::Findings &m_findings;
};

/** The parsed object, or null with a finding. */
Json parseObject(const std::string &text, base::Findings &findings)
{
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        findings.add("body", "is not JSON");
        return nullptr;
    }
    if (!json.is_object()) {
        findings.add("body", "must be a JSON object");
        return nullptr;
    }
    return json;
}

wire::TaskState taskState(Fields &fields)
{
    const std::string name = fields.text("state", true);
    for (const auto &[known, state] : TaskStateNames) {
        if (known == name) {
            return state;
        }
    }
    fields.fail("state", "is not a task state: " + name);
    return wire::TaskState::Absent;
}

wire::TaskStatus readTask(const Json &object, const std::string &path, base::Findings &findings)
{
    Fields fields(object, path, findings);
    wire::TaskStatus status;
    status.attempt.job = base::JobId(fields.text("job", true));
    status.attempt.attempt = static_cast<std::uint32_t>(fields.number("attempt", std::numeric_limits<std::uint32_t>::max(), true));
    status.rank = static_cast<std::uint32_t>(fields.number("rank", std::numeric_limits<std::uint32_t>::max(), true));
    status.state = taskState(fields);
    status.accelerators = fields.units("accelerators", false);
    status.checkpointed = std::chrono::milliseconds(fields.number("checkpointedMs", std::numeric_limits<std::int64_t>::max(), false));
    status.detail = fields.text("detail", false);
    return status;
}

void readExecutor(Fields &fields, wire::TargetOffer &offer)
{
    offer.kind = wire::TargetKind::Executor;
    offer.service = base::ServiceId(fields.text("service", true));
    offer.slots = fields.units("slots", true);
    offer.connections = fields.units("connections", true);
    offer.slotsInUse = fields.units("slotsInUse", false);
}

void readTasks(const Json &json, Target &target, base::Findings &findings)
{
    const auto tasks = json.find("tasks");
    if (tasks == json.end()) {
        return;
    }
    if (!tasks->is_array() || tasks->size() > MaxTasksPerAnnouncement) {
        findings.add("tasks", "must be an array of at most " + std::to_string(MaxTasksPerAnnouncement) + " objects");
        return;
    }
    for (std::size_t i = 0; i < tasks->size(); ++i) {
        const std::string path = "tasks[" + std::to_string(i) + "]";
        if (!(*tasks)[i].is_object()) {
            findings.add(path, "must be an object");
            continue;
        }
        target.tasks.push_back(readTask((*tasks)[i], path + ".", findings));
    }
}

void readWorker(const Json &json, Fields &fields, Target &target, base::Findings &findings)
{
    wire::TargetOffer &offer = target.offer;
    offer.kind = wire::TargetKind::Worker;
    offer.rack = base::RackId(fields.text("rack", true));
    offer.accelerators = fields.units("accelerators", true);
    offer.cores = fields.units("cores", true);
    offer.memoryMiB = fields.number("memoryMiB", MaxOfferedMemoryMiB, true);
    readTasks(json, target, findings);
    for (const auto &task : target.tasks) {
        offer.acceleratorsInUse += task.state == wire::TaskState::Running ? task.accelerators : 0;
    }
}

void readAddress(Fields &fields, wire::Address &address)
{
    address.host = fields.text("host", true);
    boost::system::error_code error;
    boost::asio::ip::make_address(address.host, error);
    if (error && !address.host.empty()) {
        fields.fail("host", "must be an IP number");
    }
    address.port = static_cast<std::uint16_t>(fields.number("port", std::numeric_limits<std::uint16_t>::max(), true));
}

} // namespace

std::variant<Target, base::Findings> parseAnnouncement(const std::string &json)
{
    base::Findings findings;
    const Json object = parseObject(json, findings);
    if (object.is_null()) {
        return findings;
    }
    Target target;
    target.state = TargetState::Present;
    Fields fields(object, "", findings);
    const std::string kind = fields.text("kind", true);
    if (kind == "executor") {
        readExecutor(fields, target.offer);
    } else if (kind == "worker") {
        readWorker(object, fields, target, findings);
    } else {
        fields.fail("kind", "must be \"executor\" or \"worker\"");
    }
    readAddress(fields, target.http);
    if (!findings.isEmpty()) {
        return findings;
    }
    return target;
}

std::variant<wire::TaskStatus, base::Findings> parseTaskReport(const std::string &json)
{
    base::Findings findings;
    const Json object = parseObject(json, findings);
    if (object.is_null()) {
        return findings;
    }
    wire::TaskStatus status = readTask(object, "", findings);
    if (!findings.isEmpty()) {
        return findings;
    }
    return status;
}

std::string_view nameOf(wire::TaskState state)
{
    for (const auto &[name, known] : TaskStateNames) {
        if (known == state) {
            return name;
        }
    }
    return "unknown";
}

} // namespace plantainfork::targets
