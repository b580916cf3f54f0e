#include "requests/answer.h"

#include <utility>

namespace plantainfork::requests
{

namespace
{

unsigned httpStatusOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
        return 400;
    case absl::StatusCode::kPermissionDenied:
        return 403;
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kResourceExhausted:
        return 429;
    default:
        return 503;
    }
}

std::string outcomeName(wire::Outcome outcome)
{
    switch (outcome) {
    case wire::Outcome::Answered:
        return "answered";
    case wire::Outcome::NotRun:
        return "not-run";
    case wire::Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

Result notRunResult(const absl::Status &status)
{
    return {wire::Outcome::NotRun, httpStatusOf(status), {}, {}, std::string(status.message())};
}

Result unknownResult(std::string reason)
{
    return {wire::Outcome::Unknown, 504, {}, {}, std::move(reason)};
}

Result toResult(wire::ExecuteReply reply)
{
    switch (reply.outcome) {
    case wire::Outcome::Answered:
        return {reply.outcome, reply.status, std::move(reply.contentType), std::move(reply.body), {}};
    case wire::Outcome::NotRun:
        return notRunResult(absl::UnavailableError(reply.reason));
    case wire::Outcome::Unknown:
        break;
    }
    return unknownResult(std::move(reply.reason));
}

http::Response toResponse(Result result)
{
    http::Response response;
    const bool isAnswered = result.outcome == wire::Outcome::Answered;
    response = isAnswered ? http::Response{result.status, {}, std::move(result.body)} : http::Response::text(result.status, result.reason + "\n");
    if (isAnswered && !result.contentType.empty()) {
        response.headers.push_back({"Content-Type", std::move(result.contentType)});
    }
    response.headers.push_back({"Plantainfork-Outcome", outcomeName(result.outcome)});
    return response;
}

} // namespace plantainfork::requests
