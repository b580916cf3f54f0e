#include "http/client.h"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "runtime/timer.h"

namespace plantainfork::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace
{

/** How often a request that waits for a connection looks for one. */
constexpr std::chrono::milliseconds PoolPollInterval{1};

/** What one read takes at most, besides what a header, trailers or a chunk's extensions may occupy. */
constexpr std::size_t ReadBytes = 64 * 1024;

using Stream = beast::tcp_stream;

std::chrono::nanoseconds remainingUntil(runtime::Instant deadline)
{
    return deadline - runtime::Clock::now();
}

absl::Status failure(const std::string &step, const beast::error_code &error)
{
    if (error == beast::error::timeout) {
        return absl::DeadlineExceededError(step + ": no answer before the deadline");
    }
    if (error == beast::errc::connection_refused) {
        return absl::FailedPreconditionError(step + ": " + error.message());
    }
    return absl::UnavailableError(step + ": " + error.message());
}

/** Every chunked answer that is not complete has at least these bytes to come: "0", two line ends. */
constexpr std::size_t LastChunkBytes = 5;

using AnswerParser = beast::http::response_parser<beast::http::string_body>;

/** Parses what the buffer holds. The parser asserts (Beast 1.74) that a last chunk which it has seen in part comes with all of its bytes. */
void parseAnswer(beast::flat_buffer &buffer, AnswerParser &parser, beast::error_code &error)
{
    const auto isChunked = [&parser] {
        return parser.is_header_done() && parser.chunked();
    };
    while (!parser.is_done() && buffer.size() >= (isChunked() ? LastChunkBytes : 1)) {
        buffer.consume(parser.put(buffer.data(), error));
        if (error == beast::http::error::need_more) {
            error = {};
            return;
        }
        if (error) {
            return;
        }
    }
}

/** Why an answer could not be read; the limit that it exceeded, if any. */
absl::Status answerFailure(const beast::error_code &error, const Limits &limits)
{
    const auto exceeded = [](const std::string &part, std::size_t bytes) {
        return absl::ResourceExhaustedError("receive: " + part + " of the answer exceeds " + std::to_string(bytes) + " bytes");
    };
    if (error == beast::http::error::header_limit) {
        return exceeded("header", limits.headerBytes);
    }
    if (error == beast::http::error::body_limit) {
        return exceeded("body", limits.bodyBytes);
    }
    if (error == beast::http::error::buffer_overflow) {
        return exceeded("trailers or chunk extension", limits.headerBytes + ReadBytes);
    }
    return failure("receive", error);
}

beast::http::request<beast::http::string_body> toBeast(Request &&request, const std::string &host)
{
    beast::http::request<beast::http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(beast::http::field::host, host);
    for (const auto &header : request.headers) {
        message.set(header.name, header.value);
    }
    message.body() = std::move(request.body);
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

Response fromBeast(beast::http::response<beast::http::string_body> &&message)
{
    Response response;
    response.status = message.result_int();
    for (const auto &field : message) {
        response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    response.body = std::move(message.body());
    return response;
}

/** Whether the peer has closed, or sent bytes on, a connection that should be silent. */
bool isStale(Stream &stream)
{
    char byte = 0;
    boost::system::error_code error;
    auto &socket = stream.socket();
    socket.non_blocking(true, error);
    if (error) {
        return true;
    }
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

struct Client::State {
    asio::any_io_executor executor;
    std::string host;
    std::uint16_t port = 0;
    std::size_t maxConnections = 1;
    Limits limits;
    std::mutex mutex;
    /** Kept connections without a request; guarded by mutex. */
    std::vector<std::unique_ptr<Stream>> idle;
    /** Connections open or being opened, idle ones included; guarded by mutex. At most maxConnections. */
    std::size_t open = 0;

    /** Takes an idle connection or the right to open one (null). */
    std::optional<std::unique_ptr<Stream>> tryTake()
    {
        const std::scoped_lock lock(mutex);
        while (!idle.empty()) {
            auto stream = std::move(idle.back());
            idle.pop_back();
            if (!isStale(*stream)) {
                return stream;
            }
            --open;
        }
        if (open >= maxConnections) {
            return std::nullopt;
        }
        ++open;
        return std::unique_ptr<Stream>();
    }

    void giveBack(std::unique_ptr<Stream> stream)
    {
        const std::scoped_lock lock(mutex);
        if (stream) {
            idle.push_back(std::move(stream));
        } else {
            --open;
        }
    }

    asio::awaitable<absl::StatusOr<std::unique_ptr<Stream>>> take(runtime::Instant deadline);
};

namespace
{

/** Gives the connection back when a coroutine ends or is destroyed; a failed one counts as closed. */
template<typename Pool>
class Borrowed
{
public:
    Borrowed(Pool &pool, std::unique_ptr<Stream> stream)
        : m_pool(pool)
        , m_stream(std::move(stream))
    {
    }
    Borrowed(const Borrowed &) = delete;
    Borrowed &operator=(const Borrowed &) = delete;
    ~Borrowed()
    {
        m_pool.giveBack(m_isReusable ? std::move(m_stream) : nullptr);
    }

    Stream &stream()
    {
        return *m_stream;
    }
    void keep()
    {
        m_isReusable = true;
    }

private:
    Pool &m_pool;
    std::unique_ptr<Stream> m_stream;
    bool m_isReusable = false;
};

} // namespace

asio::awaitable<absl::StatusOr<std::unique_ptr<Stream>>> Client::State::take(runtime::Instant deadline)
{
    std::optional<std::unique_ptr<Stream>> taken = tryTake();
    while (!taken) {
        if (runtime::Clock::now() >= deadline) {
            co_return absl::DeadlineExceededError("no free connection to " + host + " before the deadline");
        }
        co_await runtime::sleepFor(PoolPollInterval);
        taken = tryTake();
    }
    if (*taken) {
        co_return std::move(*taken);
    }
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(host, error), port);
    auto stream = std::make_unique<Stream>(asio::make_strand(executor));
    if (!error) {
        stream->expires_after(remainingUntil(deadline));
        co_await stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        giveBack(nullptr);
        co_return failure("connect to " + host + ":" + std::to_string(port), error);
    }
    stream->socket().set_option(tcp::no_delay(true), error);
    co_return stream;
}

Client::Client(asio::any_io_executor executor, std::string host, std::uint16_t port, std::size_t maxConnections, Limits limits)
    : m_state(std::make_shared<State>())
{
    m_state->executor = std::move(executor);
    m_state->host = std::move(host);
    m_state->port = port;
    m_state->maxConnections = maxConnections;
    m_state->limits = limits;
}

Client::~Client() = default;

const std::string &Client::host() const
{
    return m_state->host;
}

std::uint16_t Client::port() const
{
    return m_state->port;
}

asio::awaitable<Exchange> Client::send(Request request, runtime::Instant deadline, std::chrono::milliseconds silence)
{
    const auto state = m_state;
    const auto nextLimit = [deadline, silence] {
        return std::min<runtime::Instant>(deadline, runtime::Clock::now() + silence);
    };
    auto taken = co_await state->take(nextLimit());
    if (!taken.ok()) {
        co_return Exchange{Delivery::NotSent, taken.status()};
    }
    Borrowed<State> connection(*state, std::move(*taken));
    auto message = toBeast(std::move(request), state->host);
    beast::error_code error;
    connection.stream().expires_after(remainingUntil(nextLimit()));
    const std::size_t written = co_await beast::http::async_write(connection.stream(), message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return Exchange{written == 0 ? Delivery::NotSent : Delivery::Sent, failure("send", error)};
    }
    // The parser takes trailers and a chunk's extensions only when it has all of them, so the buffer's bound is theirs too.
    beast::flat_buffer buffer(state->limits.headerBytes + ReadBytes);
    AnswerParser parser;
    parser.eager(false);
    parser.header_limit(static_cast<std::uint32_t>(state->limits.headerBytes));
    parser.body_limit(state->limits.bodyBytes);
    while (!error && !parser.is_done()) {
        const std::size_t room = buffer.max_size() - buffer.size();
        if (room == 0) {
            error = beast::http::error::buffer_overflow;
            break;
        }
        connection.stream().expires_after(remainingUntil(nextLimit()));
        const auto space = buffer.prepare(std::min(room, ReadBytes));
        buffer.commit(co_await connection.stream().async_read_some(space, asio::redirect_error(asio::use_awaitable, error)));
        if (error == asio::error::eof) {
            // The end of the connection also ends an answer that gives no length.
            error = parser.got_some() ? beast::error_code() : beast::http::error::end_of_stream;
            if (!error) {
                parser.put_eof(error);
            }
        } else if (!error) {
            parseAnswer(buffer, parser, error);
        }
    }
    if (error) {
        co_return Exchange{Delivery::Sent, answerFailure(error, state->limits)};
    }
    if (parser.get().keep_alive()) {
        connection.stream().expires_never();
        connection.keep();
    }
    co_return Exchange{Delivery::Answered, fromBeast(parser.release())};
}

} // namespace plantainfork::http
