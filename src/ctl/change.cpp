#include "ctl/change.h"

#include <nlohmann/json.hpp>

#include "ctl/answer.h"
#include "runtime/clock.h"

namespace plantainfork::ctl
{

namespace
{

constexpr unsigned Conflict = 409;
/** Time between two looks at whether a change is in force. */
constexpr std::chrono::milliseconds InForcePollInterval{100};

http::Request toRequest(const Invocation &invocation, const Change &change)
{
    http::Request request{change.method, change.target, {}, change.document.json};
    request.headers.push_back({"Content-Type", "application/json"});
    request.headers.push_back({"Plantainfork-Change-Id", invocation.changeId.value()});
    if (change.ifMatch) {
        request.headers.push_back({"If-Match", std::to_string(change.ifMatch->value())});
    }
    return request;
}

ExitCode reportConflict(const Session &session, const Json &body)
{
    const auto &winner = fieldItems(body, "winner");
    session.messages << "conflict: revision " << fieldText(winner, "revision") << " (change " << fieldText(winner, "changeId") << ") came first\n";
    session.messages << fieldText(winner, "value") << '\n';
    return ExitCode::Conflict;
}

/** The entry names fields; they are shown at their place in the operator's file. */
ExitCode reportFindings(const Session &session, const Change &change, const http::Response &response)
{
    const auto body = parseBody(response);
    const auto &findings = fieldItems(body, "findings");
    if (findings.empty()) {
        session.messages << "refused: " << refusalText(response);
        return ExitCode::Refused;
    }
    for (const auto &finding : findings) {
        const auto field = fieldText(finding, "place");
        const auto place = placeOf(change.document, field);
        session.messages << place.text() << ": " << (place.line == 0 ? "" : field + ": ") << fieldText(finding, "message") << '\n';
    }
    return ExitCode::Refused;
}

ExitCode reportRefusal(const Session &session, const Change &change, const CallResult &result)
{
    if (result.outcome != CallOutcome::Answered) {
        const auto hint = "Repeat the command with --change-id=" + session.invocation.changeId.value() + " to settle it.\n";
        return reportNoResult(session, result, hint);
    }
    if (result.response.status == Conflict) {
        return reportConflict(session, parseBody(result.response));
    }
    return reportFindings(session, change, result.response);
}

/** Asks until the revision is in force everywhere or the wait is over; null when no entry tells. */
Json followInForce(const Session &session, const std::string &revision)
{
    const auto deadline = runtime::Clock::now() + session.invocation.options.wait;
    Json state;
    while (true) {
        const auto result = get(session, "/v1/config/in-force?revision=" + revision);
        if (isSuccess(result)) {
            state = parseBody(result.response);
        }
        const bool isInForce = fieldFlag(state, "inForce");
        if (isInForce || runtime::Clock::now() >= deadline) {
            return state;
        }
        session.entries.sleep(InForcePollInterval);
    }
}

void writeInForce(const Session &session, const Json &state, bool isInForce)
{
    if (isInForce) {
        session.output << "in force everywhere\n";
        return;
    }
    session.output << "not yet known to be in force everywhere\n";
    for (const auto &dataCentre : fieldItems(state, "dataCentres")) {
        if (!fieldFlag(dataCentre, "inForce")) {
            session.output << "  " << fieldText(dataCentre, "name") << ": revision " << fieldText(dataCentre, "lowestRevision")
                           << ", lagging: " << fieldList(dataCentre, "lagging") << '\n';
        }
    }
}

} // namespace

ExitCode makeChange(const Session &session, const Change &change)
{
    const auto &options = session.invocation.options;
    const auto result = session.entries.send(toRequest(session.invocation, change), Repeat::Always);
    if (!isSuccess(result)) {
        return reportRefusal(session, change, result);
    }
    const auto accepted = parseBody(result.response);
    const auto revision = fieldText(accepted, "revision");
    const bool isText = !wantsJson(session);
    if (isText) {
        session.output << "accepted: revision " << revision << " (change " << fieldText(accepted, "changeId") << ")" << std::endl;
    }
    if (options.wait.count() == 0) {
        if (!isText) {
            session.output << toText(Json{{"accepted", accepted}}) << '\n';
        }
        return ExitCode::Done;
    }
    const auto state = followInForce(session, revision);
    const bool isInForce = fieldFlag(state, "inForce");
    if (isText) {
        writeInForce(session, state, isInForce);
    } else {
        session.output << toText(Json{{"accepted", accepted}, {"inForce", state}}) << '\n';
    }
    return isInForce ? ExitCode::Done : ExitCode::NotYetInForce;
}

} // namespace plantainfork::ctl
