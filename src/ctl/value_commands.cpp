#include "ctl/value_commands.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "ctl/answer.h"
#include "ctl/change.h"
#include "ctl/document.h"
#include "ctl/table.h"

namespace plantainfork::ctl
{

namespace
{

constexpr unsigned NotFound = 404;

std::string collectionPath(Collection collection)
{
    switch (collection) {
    case Collection::Templates:
        return "/v1/templates";
    case Collection::Workspaces:
        return "/v1/workspaces";
    case Collection::DataCentres:
        return "/v1/datacentres";
    }
    return "";
}

std::string valuePath(const Invocation &invocation)
{
    return collectionPath(invocation.collection) + "/" + encodeSegment(invocation.name);
}

/** A value as stored, or the exit code when it can't be had. */
struct Stored {
    std::optional<ExitCode> failure;
    bool isAbsent = false;
    Json value;
    base::Revision revision;
};

Stored readStored(const Session &session)
{
    Stored stored;
    const auto result = get(session, valuePath(session.invocation));
    if (result.outcome == CallOutcome::Answered && result.response.status == NotFound) {
        stored.isAbsent = true;
        return stored;
    }
    if (!isSuccess(result)) {
        stored.failure = reportNoResult(session, result, "");
        return stored;
    }
    const auto body = parseBody(result.response);
    stored.value = body.is_object() && body.contains("value") ? body["value"] : Json::object();
    stored.revision = base::Revision(static_cast<std::uint64_t>(fieldNumber(body, "revision")));
    return stored;
}

/** Makes the change conditional on what was read, unless the operator named a revision. */
std::optional<base::Revision> condition(const Invocation &invocation, const Stored &stored)
{
    return invocation.ifMatch ? invocation.ifMatch : std::optional(stored.revision);
}

ExitCode reportFindings(const Session &session, const base::Findings &findings)
{
    session.messages << findings.text();
    return ExitCode::Refused;
}

ExitCode changeStored(const Session &session)
{
    auto stored = readStored(session);
    if (stored.failure) {
        return *stored.failure;
    }
    if (stored.isAbsent) {
        session.messages << "refused: there is no " << session.invocation.name << " to change; give a FILE\n";
        return ExitCode::Refused;
    }
    Document document{toText(stored.value), {}};
    if (const auto findings = assign(document, session.invocation.assignments); !findings.isEmpty()) {
        return reportFindings(session, findings);
    }
    return makeChange(session, {"PUT", valuePath(session.invocation), condition(session.invocation, stored), std::move(document)});
}

void writeValue(std::ostream &stream, const Json &body)
{
    stream << fieldText(body, "name") << " at revision " << fieldText(body, "revision") << '\n';
    stream << fieldItems(body, "value").dump(2) << '\n';
}

void writeList(std::ostream &stream, const Json &body)
{
    Table table({"NAME", "REVISION", "VALUE"});
    for (const auto &item : fieldItems(body, "items")) {
        table.add({fieldText(item, "name"), fieldText(item, "revision"), fieldText(item, "value")});
    }
    table.write(stream);
}

} // namespace

ExitCode setValue(const Session &session)
{
    const auto &invocation = session.invocation;
    if (!invocation.file) {
        return changeStored(session);
    }
    auto read = readDocument(*invocation.file);
    if (const auto *findings = std::get_if<base::Findings>(&read)) {
        return reportFindings(session, *findings);
    }
    auto &document = std::get<Document>(read);
    if (const auto findings = assign(document, invocation.assignments); !findings.isEmpty()) {
        return reportFindings(session, findings);
    }
    return makeChange(session, {"PUT", valuePath(invocation), invocation.ifMatch, std::move(document)});
}

ExitCode showValue(const Session &session)
{
    return view(session, valuePath(session.invocation), writeValue);
}

ExitCode listValues(const Session &session)
{
    return view(session, collectionPath(session.invocation.collection), writeList);
}

ExitCode removeValue(const Session &session)
{
    return makeChange(session, {"DELETE", valuePath(session.invocation), session.invocation.ifMatch, {}});
}

ExitCode setDataCentreMode(const Session &session)
{
    const auto &invocation = session.invocation;
    auto stored = readStored(session);
    if (stored.failure) {
        return *stored.failure;
    }
    if (stored.isAbsent && invocation.region.isEmpty()) {
        session.messages << "refused: there is no data centre " << invocation.name << "; give --region to add it\n";
        return ExitCode::Refused;
    }
    if (stored.isAbsent) {
        stored.value = Json::object();
    }
    if (!invocation.region.isEmpty()) {
        stored.value["region"] = invocation.region.value();
    }
    stored.value["mode"] = invocation.mode == wire::DataCentreMode::In ? "in" : "out";
    const auto revision = stored.isAbsent ? invocation.ifMatch : condition(invocation, stored);
    return makeChange(session, {"PUT", valuePath(invocation), revision, {toText(stored.value), {}}});
}

} // namespace plantainfork::ctl
