#include "jobs/job_responses.h"

#include <chrono>

#include <nlohmann/json.hpp>

#include "runtime/clock.h"

namespace plantainfork::jobs
{

namespace
{

using Json = nlohmann::json;

const char *nameOf(scheduling::JobPhase phase)
{
    switch (phase) {
    case scheduling::JobPhase::Waiting:
        return "waiting";
    case scheduling::JobPhase::Reserved:
        return "reserved";
    case scheduling::JobPhase::Reclaiming:
        return "reclaiming";
    case scheduling::JobPhase::Starting:
        return "starting";
    case scheduling::JobPhase::Running:
        return "running";
    case scheduling::JobPhase::Stopping:
        return "stopping";
    case scheduling::JobPhase::Ended:
        return "ended";
    }
    return "unknown";
}

const char *nameOf(scheduling::Tenure tenure)
{
    switch (tenure) {
    case scheduling::Tenure::None:
        return "none";
    case scheduling::Tenure::Guaranteed:
        return "guaranteed";
    case scheduling::Tenure::Unreserved:
        return "unreserved";
    case scheduling::Tenure::Borrowed:
        return "borrowed";
    }
    return "unknown";
}

std::int64_t milliseconds(runtime::Clock::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Json shapeJson(const wire::Shape &shape)
{
    return {{"members", shape.members}, {"acceleratorsPerMember", shape.acceleratorsPerMember}};
}

Json explanationToJson(const scheduling::Explanation &explanation)
{
    const auto now = runtime::Clock::now();
    Json placement = Json::array();
    for (const auto &member : explanation.placement) {
        placement.push_back(member.value());
    }
    Json waitsFor = Json::array();
    for (const auto &job : explanation.waitsFor) {
        waitsFor.push_back(job.value());
    }
    Json json{
        {"phase", nameOf(explanation.phase)},
        {"tenure", nameOf(explanation.tenure)},
        {"text", explanation.reason},
        {"sinceMs", milliseconds(now - explanation.since)},
        {"attempt", explanation.attempt},
        {"placement", placement},
        {"waitsFor", waitsFor},
        {"preemptions", explanation.preemptions},
    };
    if (explanation.expectedStart) {
        json["expectedInMs"] = milliseconds(*explanation.expectedStart - now);
    }
    return json;
}

} // namespace

http::Response failureResponse(unsigned status, const std::string &outcome, const std::string &reason)
{
    http::Response response = http::Response::json(status, nlohmann::json{{"error", reason}, {"outcome", outcome}}.dump());
    response.headers.push_back({"Plantainfork-Outcome", outcome});
    return response;
}

http::Response findingsResponse(const base::Findings &findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &finding : findings.all()) {
        list.push_back({{"place", finding.place.text()}, {"message", finding.message}});
    }
    http::Response response = http::Response::json(400, nlohmann::json{{"findings", list}}.dump());
    response.headers.push_back({"Plantainfork-Outcome", "not-run"});
    return response;
}

std::string explanationJson(const JobRecord &record, const scheduling::Core &core)
{
    Json list = Json::array();
    const auto explanation = core.explain(record.spec.id);
    if (explanation) {
        list.push_back(explanationToJson(*explanation));
    } else {
        list.push_back({{"text", record.reason}, {"phase", "ended"}});
    }
    return Json{{"id", record.spec.id.value()}, {"state", nameOf(record.state)}, {"explanations", list}}.dump();
}

std::string recordedExplanationJson(const JobRecord &record)
{
    Json list = Json::array();
    if (!record.placementReason.empty()) {
        Json placement = Json::array();
        for (const auto &member : record.members) {
            placement.push_back(member.agent.value());
        }
        list.push_back({{"text", record.placementReason}, {"phase", "running"}, {"attempt", record.spec.attempt}, {"placement", placement}});
    }
    std::string text = record.reason;
    if (!isClosed(record.state) && text.empty()) {
        text = "no scheduler of region " + record.region.value() + " can be asked at present";
    }
    list.push_back({{"text", text}, {"phase", isClosed(record.state) ? "ended" : nameOf(record.state)}});
    return Json{{"id", record.spec.id.value()}, {"state", nameOf(record.state)}, {"explanations", list}}.dump();
}

std::string capacityJson(const base::RegionId &region, const scheduling::Core &core, const wire::Config &config)
{
    const scheduling::Capacity capacity = core.capacity();
    Json dataCentres = Json::array();
    for (const auto &dataCentre : capacity.dataCentres) {
        const auto configured = config.dataCentres.find(dataCentre.id);
        const bool isInOtherRegion = configured != config.dataCentres.end() && configured->second.value.region != region;
        if (isInOtherRegion) {
            continue;
        }
        dataCentres.push_back({
            {"name", dataCentre.id.value()},
            {"mode", dataCentre.mode == wire::DataCentreMode::In ? "in" : "out"},
            {"workers", dataCentre.workers},
            {"leaving", dataCentre.leaving},
            {"quarantined", dataCentre.quarantined},
            {"accelerators", dataCentre.accelerators},
            {"free", dataCentre.freeAccelerators},
            {"borrowed", dataCentre.borrowedAccelerators},
            {"firm", dataCentre.firmAccelerators},
            {"reserved", dataCentre.reservedAccelerators},
            {"fragmented", dataCentre.fragmentedAccelerators},
            {"freeCores", dataCentre.freeCores},
            {"workersByFree", dataCentre.workersByFree},
            {"largestFreeHost", dataCentre.largestFreeHost},
            {"largestFreeRack", dataCentre.largestFreeRack},
        });
    }
    Json unmet = Json::array();
    for (const auto &guarantee : core.unmetGuarantees()) {
        unmet.push_back({
            {"workspace", guarantee.workspace.value()},
            {"template", guarantee.templateId.value()},
            {"shape", shapeJson(guarantee.shape)},
            {"gangs", guarantee.gangs},
            {"reason", guarantee.reason},
        });
    }
    return Json{
        {"region", region.value()},
        {"dataCentres", dataCentres},
        {"largestWanted", shapeJson(capacity.largestWanted)},
        {"waitingJobs", capacity.waitingJobs},
        {"runningGangs", capacity.runningGangs},
        {"unmetGuarantees", unmet},
    }
        .dump();
}

} // namespace plantainfork::jobs
