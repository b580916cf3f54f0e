#include "ctl/work_commands.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "ctl/answer.h"
#include "ctl/document.h"
#include "ctl/table.h"

namespace plantainfork::ctl
{

namespace
{

constexpr unsigned Conflict = 409;

std::string jobPath(const Session &session)
{
    return "/v1/jobs/" + encodeSegment(session.invocation.id);
}

Json submission(const Invocation &invocation)
{
    Json job{
        {"workspace", invocation.workspace.value()},
        {"template", invocation.templateId.value()},
        {"id", invocation.id},
        {"runTimeMs", invocation.runTime.count()},
    };
    if (invocation.deadline) {
        job["deadlineMs"] = invocation.deadline->count();
    }
    return job;
}

void writePlacement(std::ostream &stream, const Json &job)
{
    const auto &placement = fieldItems(job, "placement");
    if (placement.empty()) {
        return;
    }
    Table table({"RANK", "AGENT", "DATA CENTRE"});
    for (const auto &member : placement) {
        table.add({fieldText(member, "rank"), fieldText(member, "agent"), fieldText(member, "dataCentre")});
    }
    table.write(stream);
}

void writeJob(std::ostream &stream, const Json &job)
{
    stream << "job " << fieldText(job, "id") << ": " << fieldText(job, "state") << ", attempt " << fieldText(job, "attempt") << '\n';
    stream << "workspace " << fieldText(job, "workspace") << ", template " << fieldText(job, "template") << ", region " << fieldText(job, "region") << '\n';
    stream << "shape " << fieldText(job, "shape") << ", checkpointed " << fieldText(job, "checkpointedMs") << " ms\n";
    stream << "reason: " << fieldText(job, "reason") << '\n';
    writePlacement(stream, job);
}

void writeExplanations(std::ostream &stream, const Json &body)
{
    stream << "job " << fieldText(body, "id") << ": " << fieldText(body, "state") << '\n';
    for (const auto &explanation : fieldItems(body, "explanations")) {
        stream << "- " << fieldText(explanation, "text") << '\n';
    }
}

void writeJobs(std::ostream &stream, const Json &body)
{
    Table table({"ID", "WORKSPACE", "TEMPLATE", "STATE", "ATTEMPT", "REGION", "REASON"});
    for (const auto &job : fieldItems(body, "jobs")) {
        table.add({
            fieldText(job, "id"),
            fieldText(job, "workspace"),
            fieldText(job, "template"),
            fieldText(job, "state"),
            fieldText(job, "attempt"),
            fieldText(job, "region"),
            fieldText(job, "reason"),
        });
    }
    table.write(stream);
}

http::Request toRequest(const Invocation &invocation, std::string body)
{
    http::Request request{"POST", "/v1/services/" + encodeSegment(invocation.service.value()) + "/" + invocation.path, {}, std::move(body)};
    request.headers.push_back({"Plantainfork-Workspace", invocation.workspace.value()});
    request.headers.push_back({"Plantainfork-Template", invocation.templateId.value()});
    request.headers.push_back({"Plantainfork-Request-Id", invocation.id});
    const auto deadline = invocation.deadline.value_or(invocation.options.timeout);
    request.headers.push_back({"Plantainfork-Deadline-Ms", std::to_string(deadline.count())});
    return request;
}

std::string_view outcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::NotRun:
        return "not-run";
    case CallOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

void writeAnswerAsJson(const Session &session, const CallResult &result, std::string_view outcome)
{
    const Json answer{
        {"outcome", outcome},
        {"requestId", session.invocation.id},
        {"status", result.response.status},
        {"body", result.response.body},
        {"reason", result.reason},
    };
    session.output << toText(answer) << '\n';
}

} // namespace

ExitCode submitJob(const Session &session)
{
    Document document{toText(submission(session.invocation)), {}};
    if (const auto findings = assign(document, session.invocation.assignments); !findings.isEmpty()) {
        session.messages << findings.text();
        return ExitCode::Usage;
    }
    http::Request request{"POST", "/v1/jobs", {{"Content-Type", "application/json"}}, document.json};
    const auto result = session.entries.send(request, Repeat::Always);
    if (!isSuccess(result)) {
        const auto hint = "Repeat the command with --id=" + session.invocation.id + " to settle it.\n";
        const auto code = reportNoResult(session, result, hint);
        return result.response.status == Conflict && code == ExitCode::Refused ? ExitCode::Conflict : code;
    }
    if (wantsJson(session)) {
        session.output << toText(parseBody(result.response)) << '\n';
    } else {
        session.output << "accepted: job " << fieldText(parseBody(result.response), "id") << '\n';
    }
    return ExitCode::Done;
}

ExitCode showJob(const Session &session)
{
    return view(session, jobPath(session), writeJob);
}

ExitCode explainJob(const Session &session)
{
    return view(session, jobPath(session) + "/explain", writeExplanations);
}

ExitCode cancelJob(const Session &session)
{
    const auto result = session.entries.send({"DELETE", jobPath(session), {}, ""}, Repeat::Always);
    if (!isSuccess(result)) {
        return reportNoResult(session, result, "Repeat the command to settle it.\n");
    }
    if (wantsJson(session)) {
        session.output << toText(parseBody(result.response)) << '\n';
    } else {
        session.output << "cancelled: job " << session.invocation.id << '\n';
    }
    return ExitCode::Done;
}

ExitCode listJobs(const Session &session)
{
    const auto &workspace = session.invocation.workspace;
    return view(session, workspace.isEmpty() ? "/v1/jobs" : "/v1/jobs?workspace=" + encodeSegment(workspace.value()), writeJobs);
}

ExitCode sendRequest(const Session &session)
{
    std::string body;
    if (session.invocation.data) {
        auto read = readFile(*session.invocation.data);
        if (const auto *findings = std::get_if<base::Findings>(&read)) {
            session.messages << findings->text();
            return ExitCode::Refused;
        }
        body = std::move(std::get<std::string>(read));
    }
    const auto result = session.entries.send(toRequest(session.invocation, std::move(body)), Repeat::WhenProvenNotRun);
    const bool isAnswer = result.outcome == CallOutcome::Answered && result.response.header("Plantainfork-Outcome") == "answered";
    if (wantsJson(session)) {
        writeAnswerAsJson(session, result, result.response.header("Plantainfork-Outcome").value_or(std::string(outcomeName(result.outcome))));
    }
    if (!isAnswer) {
        return reportNoResult(session, result, "Ask again with --id=" + session.invocation.id + ".\n");
    }
    if (!wantsJson(session)) {
        session.output << result.response.body;
    }
    return isSuccess(result) ? ExitCode::Done : ExitCode::Refused;
}

} // namespace plantainfork::ctl
