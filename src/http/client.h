/** HTTP/1.1 client over Beast with a bounded pool of kept-alive connections to one endpoint. */
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/message.h"
#include "runtime/clock.h"

namespace plantainfork::http
{

/** How far a request got, for callers that must tell "not run" from "unknown". */
enum class Delivery {
    /** No byte of it left this process. */
    NotSent,
    /** Some or all of it may have arrived. */
    Sent,
    /** The whole answer is here. */
    Answered,
};

struct Exchange {
    Delivery delivery = Delivery::NotSent;
    /** The answer, or why there is none. DeadlineExceeded and Unavailable are the usual failures; FailedPrecondition: the connection was refused.
     * ResourceExhausted: the answer exceeded a limit, which the text names. */
    absl::StatusOr<Response> response;
};

/** For exchanges that only their deadline limits. */
constexpr std::chrono::milliseconds NoSilenceLimit = std::chrono::hours(24);

class Client
{
public:
    /**
     * Connections are made on demand, at most maxConnections at a time; more requests wait until their deadline. The limits hold for
     * each answer: its header, its body, and its trailers and chunk extensions, which may have 64 KiB more than the header.
     */
    Client(boost::asio::any_io_executor executor, std::string host, std::uint16_t port, std::size_t maxConnections, Limits limits = {});
    ~Client();

    /**
     * Sends one request and reads the whole answer. A kept connection that the peer closed before any byte of
     * this request was written is replaced silently; the request itself is never sent twice. Gives up at the deadline, or earlier when
     * nothing has come or gone for as long as `silence`.
     */
    boost::asio::awaitable<Exchange> send(Request request, runtime::Instant deadline, std::chrono::milliseconds silence = NoSilenceLimit);

    [[nodiscard]] const std::string &host() const;
    [[nodiscard]] std::uint16_t port() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace plantainfork::http
