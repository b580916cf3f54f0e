#include "ctl/session.h"

#include <nlohmann/json.hpp>

namespace plantainfork::ctl
{

namespace
{

constexpr unsigned TooManyRequests = 429;
constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;

} // namespace

CallResult get(const Session &session, const std::string &target)
{
    return session.entries.send({"GET", target, {}, ""}, Repeat::Always);
}

bool isSuccess(const CallResult &result)
{
    return result.outcome == CallOutcome::Answered && result.response.status >= FirstSuccess && result.response.status < FirstRedirect;
}

ExitCode reportNoResult(const Session &session, const CallResult &result, const std::string &repeatHint)
{
    switch (result.outcome) {
    case CallOutcome::NotRun:
        session.messages << "not run: " << result.reason << '\n';
        return ExitCode::NotRun;
    case CallOutcome::Unknown:
        session.messages << "unknown: " << result.reason << '\n' << repeatHint;
        return ExitCode::Unknown;
    case CallOutcome::Answered:
        break;
    }
    session.messages << (result.response.status == TooManyRequests ? "not run: " : "refused: ") << refusalText(result.response);
    return result.response.status == TooManyRequests ? ExitCode::NotRun : ExitCode::Refused;
}

bool wantsJson(const Session &session)
{
    return session.invocation.options.output == OutputForm::JsonText;
}

ExitCode view(const Session &session, const std::string &target, Writer writer)
{
    const auto result = get(session, target);
    if (!isSuccess(result)) {
        return reportNoResult(session, result, "");
    }
    const auto answer = parseBody(result.response);
    if (wantsJson(session)) {
        session.output << toText(answer) << '\n';
    } else {
        writer(session.output, answer);
    }
    return ExitCode::Done;
}

} // namespace plantainfork::ctl
