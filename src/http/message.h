/** HTTP/1.1 messages as the rest of the project sees them; Beast stays within this folder. */
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainfork::http
{

struct Header {
    std::string name;
    std::string value;
};

struct Request {
    std::string method = "GET";
    /** Path and query, as on the request line. */
    std::string target = "/";
    std::vector<Header> headers;
    std::string body;

    /** Value of the first header of that name, in any case of letters. */
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
    /** Target without its query. */
    [[nodiscard]] std::string_view path() const;
    /** Value of a query parameter, percent-decoded. */
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;
};

/** Status of a response that is never written: the connection is closed without an answer. */
constexpr unsigned NoAnswer = 0;

struct Response {
    /** An HTTP status, or NoAnswer. */
    unsigned status = 200;
    std::vector<Header> headers;
    std::string body;

    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;

    static Response text(unsigned status, std::string body);
    static Response json(unsigned status, std::string body);
};

/** Percent-encodes all but unreserved characters and the slash, for a path or a query's value. */
[[nodiscard]] std::string percentEncoded(const std::string &text);

/** Bounds on what a peer may send. */
struct Limits {
    /** Header of one request, trailers of one request, and extensions of one chunk. */
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    /** Open connections; beyond it, a new one takes the place of an idle one, or is refused if there is none. */
    std::size_t connections = 1024;
    /** A connection without a whole request for this long is closed. */
    std::chrono::milliseconds idleTimeout{60'000};
    /** Time from the first byte of a request to its last. */
    std::chrono::milliseconds arrival{30'000};
    /** Least rate of a request that has been arriving for 5 s; 0: none. */
    std::size_t paceBytesPerSecond = 512;
    /** Time in which the peer reads a whole response. */
    std::chrono::milliseconds delivery{30'000};
    /** Bytes that the system may keep for a connection in each direction; it counts them to the process's memory. Linux doubles the number. */
    std::size_t socketBufferBytes = 64 * 1024;
};

} // namespace plantainfork::http
