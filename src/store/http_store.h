/**
 * Client of the platform's key-value service over HTTP. Every call is bounded by its deadline and counted
 * by kind; nothing is retried here, since only the caller knows how to settle a lost answer.
 */
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/client.h"
#include "metrics/registry.h"
#include "store/key_value.h"

namespace plantainfork::store
{

class HttpStore
{
public:
    /** Host is an IP number. The registry must outlive the store. */
    HttpStore(boost::asio::any_io_executor executor, const std::string &host, std::uint16_t port, metrics::Registry &registry);

    /** A key that doesn't exist gives an empty result, with the index from which to watch for it. */
    boost::asio::awaitable<absl::StatusOr<ReadResult>> read(std::string key, runtime::Instant deadline);
    boost::asio::awaitable<absl::StatusOr<ReadResult>> readPrefix(std::string prefix, runtime::Instant deadline);
    boost::asio::awaitable<absl::StatusOr<ReadResult>> watchPrefix(std::string prefix, Index after, std::chrono::milliseconds wait);
    boost::asio::awaitable<WriteResult> transact(std::vector<Write> writes, runtime::Instant deadline);
    boost::asio::awaitable<absl::StatusOr<SessionId>> createSession(std::chrono::milliseconds life, runtime::Instant deadline);
    /** NotFound when the session has lapsed. */
    boost::asio::awaitable<absl::Status> renewSession(SessionId session, runtime::Instant deadline);
    boost::asio::awaitable<absl::Status> destroySession(SessionId session, runtime::Instant deadline);

private:
    /** Metrics of one kind of call. */
    struct CallKind {
        CallKind(metrics::Registry &registry, const std::string &name);

        metrics::Counter &calls;
        metrics::Counter &failures;
        metrics::Histogram &durations;
    };

    boost::asio::awaitable<http::Exchange> send(http::Client &client, CallKind &kind, http::Request request, runtime::Instant deadline);
    boost::asio::awaitable<absl::StatusOr<ReadResult>> get(http::Client &client, CallKind &kind, std::string target, runtime::Instant deadline);

    /** Short calls. */
    http::Client m_calls;
    /** Watches, which occupy their connection while they wait. */
    http::Client m_watches;
    CallKind m_read;
    CallKind m_watch;
    CallKind m_write;
    CallKind m_session;
};

static_assert(KeyValueStore<HttpStore>);

} // namespace plantainfork::store
