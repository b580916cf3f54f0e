#include "http/refusals.h"

#include <optional>
#include <utility>

#include <boost/beast/http/error.hpp>

#include "runtime/clock.h"

namespace plantainfork::http
{

namespace
{

constexpr const char *StoppingReason = "this server is stopping";

/** Whether a request with this method changes nothing (RFC 9110, 9.2.1), so that one without an answer can be said not to have been served. */
bool isSafe(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

std::string_view reasonText(RefusalReason reason)
{
    static constexpr std::array<std::string_view, RefusalReasons> Texts{"header", "body", "framing", "arrival", "pace", "budget", "connections", "delivery"};
    return Texts.at(static_cast<std::size_t>(reason));
}

RefusalReason reasonOf(const boost::beast::error_code &error)
{
    namespace http = boost::beast::http;
    if (error == http::error::body_limit) {
        return RefusalReason::Body;
    }
    return error == http::error::header_limit ? RefusalReason::Header : RefusalReason::Framing;
}

Response refusal(RefusalReason reason, const std::string &detail)
{
    switch (reason) {
    case RefusalReason::Header:
        return Response::text(431, "request header or trailers are larger than the limit; the request was not run\n");
    case RefusalReason::Body:
        return Response::text(413, "request body is larger than the limit; the request was not run\n");
    case RefusalReason::Framing:
        return Response::text(400, "not an HTTP/1.1 request: " + detail + "\n");
    case RefusalReason::Arrival:
        return Response::text(408, "the request took too long to arrive; the request was not run\n");
    case RefusalReason::Pace:
        return Response::text(408, "the request arrived too slowly; the request was not run\n");
    case RefusalReason::Budget:
        return notServedAnswer("too much is being received at a time");
    case RefusalReason::Connections:
    case RefusalReason::Delivery:
        break;
    }
    return notServedAnswer("too many connections");
}

Response notServedAnswer(const std::string &reason)
{
    Response response = Response::text(503, reason + "; the request was not run\n");
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

Response abandonedAnswer(std::string_view method)
{
    if (!isSafe(method)) {
        return Response::text(504, "this server is stopping; the request may have taken effect\n");
    }
    return notServedAnswer(StoppingReason);
}

RefusalLog::RefusalLog(std::string listener, metrics::Registry *registry)
    : m_listener(std::move(listener))
{
    for (std::size_t i = 0; registry != nullptr && i < RefusalReasons; ++i) {
        const std::string reason(reasonText(static_cast<RefusalReason>(i)));
        m_counters.at(i) = &registry->counter("plantainfork_http_refusals_total", {{"listener", m_listener}, {"reason", reason}});
    }
}

void RefusalLog::note(RefusalReason reason, const std::vector<log::Field> &details)
{
    const auto index = static_cast<std::size_t>(reason);
    if (auto *counter = m_counters.at(index)) {
        counter->add();
    }
    const bool isConnection = reason == RefusalReason::Connections;
    std::vector<log::Field> fields{{"reason", isConnection ? "limit reached" : std::string(reasonText(reason))}};
    fields.insert(fields.end(), details.begin(), details.end());
    write(m_limits.at(index), isConnection ? "connection rejected" : "http request refused", fields);
}

void RefusalLog::noteEviction()
{
    write(m_evictionLimit, "idle connection closed", {{"reason", "limit reached"}});
}

void RefusalLog::write(LineLimit &limit, std::string_view event, const std::vector<log::Field> &fields)
{
    std::optional<std::uint64_t> count;
    {
        const std::scoped_lock lock(m_mutex);
        count = limit.note(runtime::Clock::now());
    }
    if (count) {
        std::vector<log::Field> all(fields);
        all.push_back({"listener", m_listener});
        all.push_back({"count", std::to_string(*count)});
        log::write(log::Severity::Warning, event, all);
    }
}

} // namespace plantainfork::http
