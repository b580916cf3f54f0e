#include "store/http_store.h"

#include <charconv>
#include <utility>

#include "base/try.h"
#include "store/consul_json.h"

namespace plantainfork::store
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t CallConnections = 8;
constexpr std::size_t WatchConnections = 4;
/** Time beyond its wait after which a watch is given up. */
constexpr std::chrono::milliseconds WatchMargin{1000};
/** Bound on one answer: a prefix of many values. */
constexpr std::size_t AnswerBytes = 64 * 1024 * 1024;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;

http::Limits answerLimits()
{
    http::Limits limits;
    limits.bodyBytes = AnswerBytes;
    return limits;
}

absl::Status unexpected(const http::Response &response)
{
    return absl::UnavailableError("store answered " + std::to_string(response.status) + ": " + response.body.substr(0, 200));
}

Index indexOf(const http::Response &response)
{
    const std::string text = response.header("X-Consul-Index").value_or("0");
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return Index(index);
}

} // namespace

HttpStore::CallKind::CallKind(metrics::Registry &registry, const std::string &name)
    : calls(registry.counter("plantainfork_store_calls_total", {{"kind", name}}))
    , failures(registry.counter("plantainfork_store_failures_total", {{"kind", name}}))
    , durations(registry.histogram("plantainfork_store_call_seconds", {{"kind", name}}))
{
}

HttpStore::HttpStore(asio::any_io_executor executor, const std::string &host, std::uint16_t port, metrics::Registry &registry)
    : m_calls(executor, host, port, CallConnections, answerLimits())
    , m_watches(std::move(executor), host, port, WatchConnections, answerLimits())
    , m_read(registry, "read")
    , m_watch(registry, "watch")
    , m_write(registry, "write")
    , m_session(registry, "session")
{
}

asio::awaitable<http::Exchange> HttpStore::send(http::Client &client, CallKind &kind, http::Request request, runtime::Instant deadline)
{
    const auto start = runtime::Clock::now();
    kind.calls.add();
    http::Exchange exchange = co_await client.send(std::move(request), deadline);
    kind.durations.record(runtime::Clock::now() - start);
    constexpr unsigned ServerError = 500;
    if (!exchange.response.ok() || exchange.response->status >= ServerError) {
        kind.failures.add();
    }
    co_return exchange;
}

asio::awaitable<absl::StatusOr<ReadResult>> HttpStore::get(http::Client &client, CallKind &kind, std::string target, runtime::Instant deadline)
{
    http::Request request;
    request.target = std::move(target);
    const http::Exchange exchange = co_await send(client, kind, std::move(request), deadline);
    if (!exchange.response.ok()) {
        co_return exchange.response.status();
    }
    ReadResult result;
    result.index = indexOf(*exchange.response);
    if (exchange.response->status == StatusNotFound) {
        co_return result;
    }
    if (exchange.response->status != StatusOk) {
        co_return unexpected(*exchange.response);
    }
    CO_TRY_ASSIGN(result.entries, decodeEntries(exchange.response->body));
    co_return result;
}

asio::awaitable<absl::StatusOr<ReadResult>> HttpStore::read(std::string key, runtime::Instant deadline)
{
    return get(m_calls, m_read, "/v1/kv/" + http::percentEncoded(key), deadline);
}

asio::awaitable<absl::StatusOr<ReadResult>> HttpStore::readPrefix(std::string prefix, runtime::Instant deadline)
{
    return get(m_calls, m_read, "/v1/kv/" + http::percentEncoded(prefix) + "?recurse", deadline);
}

asio::awaitable<absl::StatusOr<ReadResult>> HttpStore::watchPrefix(std::string prefix, Index after, std::chrono::milliseconds wait)
{
    std::string target =
        "/v1/kv/" + http::percentEncoded(prefix) + "?recurse&index=" + std::to_string(after.value()) + "&wait=" + std::to_string(wait.count()) + "ms";
    return get(m_watches, m_watch, std::move(target), runtime::Clock::now() + wait + WatchMargin);
}

asio::awaitable<WriteResult> HttpStore::transact(std::vector<Write> writes, runtime::Instant deadline)
{
    http::Request request;
    request.method = "PUT";
    request.target = "/v1/txn";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = encodeTransaction(writes);
    const http::Exchange exchange = co_await send(m_calls, m_write, std::move(request), deadline);
    WriteResult result;
    if (!exchange.response.ok()) {
        result.outcome = exchange.delivery == http::Delivery::NotSent ? WriteOutcome::NotSent : WriteOutcome::Unknown;
        result.reason = std::string(exchange.response.status().message());
        co_return result;
    }
    const http::Response &response = *exchange.response;
    if (response.status == StatusOk) {
        result.outcome = WriteOutcome::Applied;
        auto written = decodeWritten(response.body, writes);
        if (written.ok()) {
            result.written = std::move(*written);
        } else {
            // Applied, but without the new indices nothing can be built on it: the caller has to read.
            result.outcome = WriteOutcome::Unknown;
            result.reason = std::string(written.status().message());
        }
        co_return result;
    }
    result.reason = std::string(unexpected(response).message());
    const bool isRefused = response.status >= 400 && response.status < 500;
    if (response.status == StatusConflict) {
        result.outcome = WriteOutcome::Conflict;
    } else if (isRefused) {
        result.outcome = WriteOutcome::NotSent;
    }
    co_return result;
}

asio::awaitable<absl::StatusOr<SessionId>> HttpStore::createSession(std::chrono::milliseconds life, runtime::Instant deadline)
{
    http::Request request;
    request.method = "PUT";
    request.target = "/v1/session/create";
    request.body = encodeSession(life);
    const http::Exchange exchange = co_await send(m_calls, m_session, std::move(request), deadline);
    if (!exchange.response.ok()) {
        co_return exchange.response.status();
    }
    if (exchange.response->status != StatusOk) {
        co_return unexpected(*exchange.response);
    }
    co_return decodeSession(exchange.response->body);
}

asio::awaitable<absl::Status> HttpStore::renewSession(SessionId session, runtime::Instant deadline)
{
    http::Request request;
    request.method = "PUT";
    request.target = "/v1/session/renew/" + http::percentEncoded(session.value());
    const http::Exchange exchange = co_await send(m_calls, m_session, std::move(request), deadline);
    if (!exchange.response.ok()) {
        co_return exchange.response.status();
    }
    if (exchange.response->status == StatusNotFound) {
        co_return absl::NotFoundError("session has lapsed");
    }
    if (exchange.response->status != StatusOk) {
        co_return unexpected(*exchange.response);
    }
    co_return absl::OkStatus();
}

asio::awaitable<absl::Status> HttpStore::destroySession(SessionId session, runtime::Instant deadline)
{
    http::Request request;
    request.method = "PUT";
    request.target = "/v1/session/destroy/" + http::percentEncoded(session.value());
    const http::Exchange exchange = co_await send(m_calls, m_session, std::move(request), deadline);
    if (!exchange.response.ok()) {
        co_return exchange.response.status();
    }
    if (exchange.response->status != StatusOk) {
        co_return unexpected(*exchange.response);
    }
    co_return absl::OkStatus();
}

} // namespace plantainfork::store
