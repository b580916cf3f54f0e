/** What both ends of a connection between daemons share: limits, heartbeats and call outcomes. */
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <absl/status/statusor.h>

namespace plantainfork::rpc
{

struct Limits {
    /** Largest payload of one call or reply. */
    std::size_t payloadBytes = 4 * 1024 * 1024;
    /** Streams open at a time on one connection. */
    std::size_t streams = 1024;
    std::size_t connections = 4096;
    /**
     * All that the sessions of a server, or of a channel pool, hold of payloads that arrive or whose call isn't answered yet. A call
     * beyond it is refused before it runs. Replies that the peer doesn't take may hold as much again.
     */
    std::size_t totalBytes = 16 * 1024 * 1024;
    /** One header list, as SETTINGS_MAX_HEADER_LIST_SIZE counts it: names, values and 32 bytes a field. */
    std::size_t headerListBytes = 16 * 1024;
    /** Server: a payload that arrives, or a reply that the peer takes, is given up after this long without a byte. */
    std::chrono::milliseconds progressTimeout{5000};
    /** Server: time from a payload's first byte to its last, and from a reply's; also of one write to the socket. */
    std::chrono::milliseconds transferTimeout{30'000};
    /** A PING goes out after this much silence from the peer; the connection is given up after silenceLimit. */
    std::chrono::milliseconds heartbeatInterval{1000};
    std::chrono::milliseconds silenceLimit{3000};
    std::chrono::milliseconds connectTimeout{1000};
};

/** Charged for each open call besides its payload: the stream of nghttp2 and the records of this library. */
constexpr std::size_t CallOverheadBytes = 512;

/** How far a call got, so that "not run" is never guessed. */
enum class Delivery {
    /** No byte of it was given to the connection, or the peer refused the stream unprocessed. */
    NotSent,
    /** The peer may have begun to handle it. */
    Sent,
    /** The peer's handler answered, with a reply or an error of its own. */
    Answered,
};

struct CallResult {
    Delivery delivery = Delivery::NotSent;
    absl::StatusOr<std::string> payload;
};

} // namespace plantainfork::rpc
