/** Reads one request from a connection within the limits, and charges the receive budget before it holds more. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "http/connection.h"
#include "http/message.h"
#include "http/refusals.h"

namespace plantainfork::http
{

struct ReceivedRequest {
    /** The peer has closed, or a drain has: there is nobody to answer. */
    bool isClosed = false;
    /** Nothing if the request was received completely. */
    std::optional<RefusalReason> refused;
    /** What is wrong with a request that is refused for its framing. */
    std::string detail;
    Request request;
    /** HTTP version, 10 or 11. */
    unsigned version = 11;
    bool wantsKeepAlive = false;
    /** Its method is HEAD: the response has no body. */
    bool isHead = false;
};

/** The first bytes are in the connection's buffer, or can be read without waiting. */
boost::asio::awaitable<ReceivedRequest> readRequest(Connection &connection, const Limits &limits);

/** What the largest request within the limits holds while it is being received. */
[[nodiscard]] std::size_t largestRequestBytes(const Limits &limits);

} // namespace plantainfork::http
