#include "ctl/entry_client.h"

#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "runtime/timer.h"
#include "settings/address.h"

namespace plantainfork::ctl
{

namespace
{

constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned GatewayTimeout = 504;

/** The coroutine's frame owns the request and the client. `result` outlives it: the context runs until the coroutine has ended. */
boost::asio::awaitable<void>
runExchange(std::shared_ptr<http::Client> client, http::Request request, runtime::Instant deadline, std::optional<http::Exchange> &result)
{
    auto exchange = co_await client->send(std::move(request), deadline);
    result.emplace(std::move(exchange));
}

/** What one attempt proves. 503 and 504 are the entry's own words unless it says that the service answered so. */
CallOutcome outcomeOf(const http::Exchange &exchange)
{
    if (!exchange.response.ok()) {
        return exchange.delivery == http::Delivery::NotSent ? CallOutcome::NotRun : CallOutcome::Unknown;
    }
    if (exchange.response->header("Plantainfork-Outcome") == "answered") {
        return CallOutcome::Answered;
    }
    if (exchange.response->status == ServiceUnavailable) {
        return CallOutcome::NotRun;
    }
    return exchange.response->status == GatewayTimeout ? CallOutcome::Unknown : CallOutcome::Answered;
}

std::string describeAttempt(const wire::Address &entry, const http::Exchange &exchange)
{
    const std::string prefix = settings::addressText(entry) + ": ";
    if (!exchange.response.ok()) {
        return prefix + std::string(exchange.response.status().message());
    }
    return prefix + std::to_string(exchange.response->status) + " " + exchange.response->body;
}

} // namespace

struct EntryClient::State {
    boost::asio::io_context context;
};

EntryClient::EntryClient(std::vector<wire::Address> entries, std::chrono::milliseconds timeout)
    : m_state(std::make_unique<State>())
    , m_entries(std::move(entries))
    , m_timeout(timeout)
{
}

EntryClient::~EntryClient() = default;

http::Exchange EntryClient::sendTo(const wire::Address &entry, const http::Request &request, runtime::Instant deadline)
{
    auto client = std::make_shared<http::Client>(m_state->context.get_executor(), entry.host, entry.port, 1);
    std::optional<http::Exchange> result;
    boost::asio::co_spawn(m_state->context, runExchange(std::move(client), request, deadline, result), boost::asio::detached);
    m_state->context.restart();
    m_state->context.run();
    if (!result) {
        return {http::Delivery::Sent, absl::InternalError("the call ended without a result")};
    }
    return std::move(*result);
}

void EntryClient::sleep(std::chrono::milliseconds duration)
{
    boost::asio::co_spawn(m_state->context, runtime::sleepFor(duration), boost::asio::detached);
    m_state->context.restart();
    m_state->context.run();
}

CallResult EntryClient::send(const http::Request &request, Repeat repeat)
{
    const auto deadline = runtime::Clock::now() + m_timeout;
    CallResult result;
    for (std::size_t tried = 0; tried < m_entries.size(); ++tried) {
        const auto now = runtime::Clock::now();
        if (now >= deadline) {
            break;
        }
        const auto position = (m_first + tried) % m_entries.size();
        const auto &entry = m_entries[position];
        // A silent entry must leave time for those that come after it.
        const auto share = (deadline - now) / static_cast<std::int64_t>(m_entries.size() - tried);
        const auto exchange = sendTo(entry, request, now + share);
        const auto outcome = outcomeOf(exchange);
        if (exchange.response.ok()) {
            result.response = *exchange.response;
        }
        if (outcome == CallOutcome::Answered) {
            m_first = position;
            result.outcome = outcome;
            return result;
        }
        result.reason += (result.reason.empty() ? "" : "; ") + describeAttempt(entry, exchange);
        if (outcome == CallOutcome::Unknown) {
            result.outcome = outcome;
        }
        if (result.outcome == CallOutcome::Unknown && repeat == Repeat::WhenProvenNotRun) {
            break;
        }
    }
    return result;
}

} // namespace plantainfork::ctl
