/** Callers' requests and the answers that they get. */
#include <catch2/catch.hpp>

#include <algorithm>

#include "log/line.h"
#include "platform/callers.h"
#include "support/captured_log.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

http::Request request(const std::string &method, const std::string &target)
{
    http::Request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Host", "nony24.example:8521"}, {"X-Api-Key", "k"}, {"X-Plantainfork-Deadline-Ms", "1200"}};
    return request;
}

/** What a request under that id is called in log lines. */
std::string requestIdOf(const std::string &id)
{
    http::Request named = request("GET", "/lohu930/");
    named.headers.push_back({"Request-Id", id});
    return platform::decodeRequest(named, runtime::Clock::now()).caller.requestId;
}

} // namespace

TEST_CASE("Method and path say what a caller asks for")
{
    const auto now = runtime::Clock::now();
    const auto submit = platform::decodeRequest(request("POST", "/lohu930/5c0e7a21d94b36f8"), now);
    REQUIRE(submit.kind == platform::CallerRequest::Kind::Submit);
    REQUIRE(submit.job.value() == "5c0e7a21d94b36f8");
    REQUIRE(submit.caller.host == "nony24.example");
    REQUIRE(submit.caller.deadline == now + 1200ms);
    REQUIRE(platform::decodeRequest(request("GET", "/lohu930/5c0e7a21d94b36f8"), now).kind == platform::CallerRequest::Kind::Status);
    REQUIRE(platform::decodeRequest(request("DELETE", "/lohu930/5c0e7a21d94b36f8"), now).kind == platform::CallerRequest::Kind::Cancel);
    REQUIRE(platform::decodeRequest(request("GET", "/lohu930/"), now).kind == platform::CallerRequest::Kind::Pending);
    REQUIRE(platform::decodeRequest(request("POST", "/lohu930/"), now).kind == platform::CallerRequest::Kind::Unknown);
}

TEST_CASE("A request is named by its caller's id, if there is one")
{
    REQUIRE(requestIdOf("d40e7a65e39c7178") == "d40e7a65e39c7178");
    REQUIRE(requestIdOf("").empty());
    REQUIRE(platform::decodeRequest(request("GET", "/lohu930/"), runtime::Clock::now()).caller.requestId.empty());
}

TEST_CASE("A hostile id of a request can't break a log line")
{
    REQUIRE(requestIdOf("a\r\nseverity=error\tb c") == "a??severity=error?b?c");
    REQUIRE(requestIdOf(std::string("\x00\x01\x7f\x80\xff", 5)) == "?????");
    REQUIRE(requestIdOf(std::string(10'000, 'x')) == std::string(64, 'x'));
    const std::string quotes(10'000, '"');
    const std::string line = log::formatLine(log::Severity::Info, "x", {}, {{"request", requestIdOf(quotes + "\n" + quotes)}, {"job", "a"}});
    INFO(line);
    REQUIRE(line.size() < 200);
    REQUIRE(std::count(line.begin(), line.end(), '\n') == 0);
    REQUIRE(line.substr(line.size() - 7) == "\" job=a");
}

TEST_CASE("The line about a late answer names the request")
{
    http::Request late = request("GET", "/lohu930/");
    late.headers.push_back({"Request-Id", "d40e7a65e39c7178"});
    const auto begin = runtime::Clock::now() - 1500ms;
    const auto decoded = platform::decodeRequest(late, begin);
    batch::Answer answer;
    answer.kind = batch::AnswerKind::Count;
    const tests::CapturedLog captured;
    platform::logIfLate(decoded, answer, begin);
    INFO(captured.text());
    REQUIRE(captured.text().find("event=\"answer late\" request=d40e7a65e39c7178 job=\"\" call=pending outcome=count") != std::string::npos);
}

TEST_CASE("A refusal says when to come back, and an unclear end isn't told as one")
{
    batch::Answer answer;
    answer.kind = batch::AnswerKind::Refused;
    const auto refused = platform::encodeAnswer(answer);
    REQUIRE(refused.status == 503);
    REQUIRE(refused.header("Retry-After").has_value());
    answer.kind = batch::AnswerKind::Unclear;
    REQUIRE(platform::encodeAnswer(answer).status == 504);
    answer.kind = batch::AnswerKind::NoSuchJob;
    REQUIRE(platform::encodeAnswer(answer).status == 410);
}
