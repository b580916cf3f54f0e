#include "jobs/job_record.h"

#include <algorithm>
#include <array>
#include <limits>
#include <random>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "runtime/clock.h"

namespace plantainfork::jobs
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t MaxNameBytes = 200;
constexpr std::size_t MaxReasonBytes = 4096;
constexpr std::uint64_t MaxRunTimeMs = std::chrono::milliseconds(std::chrono::hours(24 * 365)).count();
constexpr std::uint64_t MaxCount = 1'000'000;

template<typename Enum, std::size_t Size>
using Names = std::array<std::pair<std::string_view, Enum>, Size>;

constexpr Names<JobState, 6> StateNames{{
    {"queued", JobState::Queued},
    {"running", JobState::Running},
    {"finished", JobState::Finished},
    {"failed", JobState::Failed},
    {"cancelled", JobState::Cancelled},
    {"impossible", JobState::Impossible},
}};

constexpr Names<wire::Urgency, 3> UrgencyNames{{
    {"urgent", wire::Urgency::Urgent},
    {"normal", wire::Urgency::Normal},
    {"patient", wire::Urgency::Patient},
}};

constexpr Names<wire::Adjacency, 3> AdjacencyNames{{
    {"host", wire::Adjacency::Host},
    {"rack", wire::Adjacency::Rack},
    {"datacentre", wire::Adjacency::DataCentre},
}};

template<typename Enum, std::size_t Size>
std::string enumName(const Names<Enum, Size> &names, Enum value)
{
    for (const auto &[name, known] : names) {
        if (known == value) {
            return std::string(name);
        }
    }
    return "unknown";
}

/** Reads the members of a JSON object. A missing member keeps its default; an invalid one is added to the findings. */
class ObjectReader
{
public:
    ObjectReader(const Json &object, std::string path, base::Findings &findings)
        : m_object(object)
        , m_path(std::move(path))
        , m_findings(findings)
    {
    }

    void text(const char *name, std::string &value, std::size_t limit = MaxNameBytes) const
    {
        const Json *found = find(name);
        if (!found) {
            return;
        }
        if (!found->is_string() || found->get_ref<const std::string &>().size() > limit) {
            m_findings.add(m_path + name, "must be a string of at most " + std::to_string(limit) + " bytes");
            return;
        }
        value = found->get<std::string>();
    }

    template<typename Id>
    void id(const char *name, Id &value) const
    {
        std::string read;
        text(name, read);
        value = Id(std::move(read));
    }

    template<typename Integer>
    void number(const char *name, Integer &value, std::uint64_t limit) const
    {
        const Json *found = find(name);
        if (!found) {
            return;
        }
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() > limit) {
            m_findings.add(m_path + name, "must be a whole number from 0 to " + std::to_string(limit));
            return;
        }
        value = static_cast<Integer>(found->get<std::uint64_t>());
    }

    void duration(const char *name, std::chrono::milliseconds &value, std::uint64_t limit) const
    {
        std::uint64_t count = 0;
        number(name, count, limit);
        value = find(name) ? std::chrono::milliseconds(count) : value;
    }

    void flag(const char *name, bool &value) const
    {
        const Json *found = find(name);
        if (found && !found->is_boolean()) {
            m_findings.add(m_path + name, "must be true or false");
        } else if (found) {
            value = found->get<bool>();
        }
    }

    template<typename Enum, std::size_t Size>
    void choice(const char *name, Enum &value, const Names<Enum, Size> &names) const
    {
        if (!find(name)) {
            return;
        }
        std::string read;
        text(name, read);
        const auto found = std::find_if(names.begin(), names.end(), [&read](const auto &pair) {
            return pair.first == read;
        });
        if (found == names.end()) {
            m_findings.add(m_path + name, "has no such choice: " + read);
            return;
        }
        value = found->second;
    }

    const Json *find(const char *name) const
    {
        const auto found = m_object.find(name);
        return found == m_object.end() ? nullptr : &*found;
    }

private:
    const Json &m_object;
    const std::string m_path;
    base::Findings &m_findings;
};

Json shapeJson(const wire::Shape &shape)
{
    return {
        {"members", shape.members},
        {"acceleratorsPerMember", shape.acceleratorsPerMember},
        {"coresPerMember", shape.coresPerMember},
        {"memoryMiBPerMember", shape.memoryMiBPerMember},
        {"adjacency", enumName(AdjacencyNames, shape.adjacency)},
    };
}

void readShape(const Json *json, wire::Shape &shape, base::Findings &findings)
{
    if (!json) {
        return;
    }
    if (!json->is_object()) {
        findings.add("shape", "must be an object");
        return;
    }
    const ObjectReader reader(*json, "shape.", findings);
    shape.members = 1;
    reader.number("members", shape.members, MaxCount);
    reader.number("acceleratorsPerMember", shape.acceleratorsPerMember, MaxCount);
    reader.number("coresPerMember", shape.coresPerMember, MaxCount);
    reader.number("memoryMiBPerMember", shape.memoryMiBPerMember, std::numeric_limits<std::uint32_t>::max());
    reader.choice("adjacency", shape.adjacency, AdjacencyNames);
    if (shape.members == 0) {
        findings.add("shape.members", "must be at least 1");
    }
}

Json membersJson(const std::vector<wire::GangMember> &members)
{
    Json list = Json::array();
    for (const auto &member : members) {
        list.push_back({
            {"rank", member.rank},
            {"agent", member.agent.value()},
            {"incarnation", member.incarnation.value()},
            {"host", member.rpc.host},
            {"port", member.rpc.port},
        });
    }
    return list;
}

void readMembers(const Json *json, std::vector<wire::GangMember> &members, base::Findings &findings)
{
    if (!json || !json->is_array()) {
        return;
    }
    for (const auto &item : *json) {
        const ObjectReader reader(item, "placement[].", findings);
        wire::GangMember member;
        std::uint64_t incarnation = 0;
        reader.number("rank", member.rank, MaxCount);
        reader.id("agent", member.agent);
        reader.number("incarnation", incarnation, std::numeric_limits<std::uint64_t>::max());
        member.incarnation = base::Incarnation(incarnation);
        reader.text("host", member.rpc.host);
        reader.number("port", member.rpc.port, std::numeric_limits<std::uint16_t>::max());
        members.push_back(std::move(member));
    }
}

Json parseObject(const std::string &text, base::Findings &findings)
{
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        findings.add("body", "must be a JSON object");
        return Json::object();
    }
    return json;
}

} // namespace

bool isClosed(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

std::string nameOf(JobState state)
{
    return enumName(StateNames, state);
}

std::string toJson(const JobRecord &record)
{
    const Json json{
        {"id", record.spec.id.value()},
        {"workspace", record.spec.workspace.value()},
        {"template", record.spec.templateId.value()},
        {"shape", shapeJson(record.spec.shape)},
        {"idempotent", record.spec.idempotent},
        {"checkpointable", record.spec.checkpointable},
        {"urgency", enumName(UrgencyNames, record.spec.urgency)},
        {"runTimeMs", record.spec.runTime.count()},
        {"checkpointedMs", record.spec.checkpointed.count()},
        {"attempt", record.spec.attempt},
        {"region", record.region.value()},
        {"state", nameOf(record.state)},
        {"placement", membersJson(record.members)},
        {"reason", record.reason.substr(0, MaxReasonBytes)},
        {"placementReason", record.placementReason.substr(0, MaxReasonBytes)},
        {"cancelRequested", record.isCancelRequested},
        {"submittedMs", record.submittedAt.count()},
        {"deadlineMs", record.deadline.count()},
    };
    return json.dump();
}

std::variant<JobRecord, base::Findings> recordFromJson(const std::string &text, std::chrono::milliseconds wallNow)
{
    base::Findings findings;
    const Json json = parseObject(text, findings);
    const ObjectReader reader(json, "", findings);
    JobRecord record;
    scheduling::JobSpec &spec = record.spec;
    reader.id("id", spec.id);
    reader.id("workspace", spec.workspace);
    reader.id("template", spec.templateId);
    readShape(reader.find("shape"), spec.shape, findings);
    reader.flag("idempotent", spec.idempotent);
    reader.flag("checkpointable", spec.checkpointable);
    reader.choice("urgency", spec.urgency, UrgencyNames);
    reader.duration("runTimeMs", spec.runTime, MaxRunTimeMs);
    reader.duration("checkpointedMs", spec.checkpointed, MaxRunTimeMs);
    reader.number("attempt", spec.attempt, std::numeric_limits<std::uint32_t>::max());
    reader.id("region", record.region);
    reader.choice("state", record.state, StateNames);
    readMembers(reader.find("placement"), record.members, findings);
    reader.text("reason", record.reason, MaxReasonBytes);
    reader.text("placementReason", record.placementReason, MaxReasonBytes);
    reader.flag("cancelRequested", record.isCancelRequested);
    reader.duration("submittedMs", record.submittedAt, std::numeric_limits<std::int64_t>::max());
    reader.duration("deadlineMs", record.deadline, MaxRunTimeMs);
    if (!findings.isEmpty()) {
        return findings;
    }
    const auto age = std::max(wallNow - record.submittedAt, std::chrono::milliseconds(0));
    spec.submitted = runtime::Clock::now() - age;
    if (record.deadline.count() > 0) {
        spec.deadline = spec.submitted + record.deadline;
    }
    return record;
}

std::variant<Submission, base::Findings> submissionFromJson(const std::string &text)
{
    base::Findings findings;
    const Json json = parseObject(text, findings);
    const ObjectReader reader(json, "", findings);
    Submission submission;
    reader.id("id", submission.id);
    reader.id("workspace", submission.workspace);
    reader.id("template", submission.templateId);
    readShape(reader.find("shape"), submission.shape, findings);
    reader.duration("runTimeMs", submission.runTime, MaxRunTimeMs);
    reader.duration("deadlineMs", submission.deadline, MaxRunTimeMs);
    for (const auto &[name, value] : {std::pair("workspace", &submission.workspace.value()), std::pair("template", &submission.templateId.value())}) {
        if (value->empty()) {
            findings.add(name, "is missing");
        }
    }
    const bool hasInvalidId = submission.id.value().find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") != std::string::npos;
    if (hasInvalidId) {
        findings.add("id", "may hold only letters, digits, '-', '_' and '.'");
    }
    if (!findings.isEmpty()) {
        return findings;
    }
    return submission;
}

base::JobId newJobId()
{
    std::random_device source;
    const std::uint64_t bits = (static_cast<std::uint64_t>(source()) << 32U) | source();
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string id = "job-";
    for (int shift = 60; shift >= 0; shift -= 4) {
        id += Digits[(bits >> static_cast<unsigned>(shift)) & 0xFU];
    }
    return base::JobId(id);
}

std::chrono::milliseconds wallClockNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace plantainfork::jobs
