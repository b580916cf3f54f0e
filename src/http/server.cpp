#include "http/server.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <list>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "log/log.h"
#include "runtime/signal.h"
#include "runtime/timer.h"

namespace plantainfork::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds DrainPollInterval{5};
/** Polls for which idle connections stay open, so that a request that is already on its way is answered. */
constexpr unsigned DrainLingerPolls = 20;
/** Time in which a peer may read its last answer and close; closing before it does would reset the connection if it had sent more. */
constexpr std::chrono::milliseconds LingerTime{200};
/** Time after a drain's deadline in which the answers to abandoned requests are written. */
constexpr std::chrono::milliseconds FarewellTime{200};
/** Space for the first bytes of a request; most requests fit. */
constexpr std::size_t FirstReadBytes = 4096;
/** Connections beyond the limit that are open at a time, each until it has been told so. */
constexpr std::size_t MaxTurnedAway = 64;
/** Time in which a connection beyond the limit may send its request. */
constexpr std::chrono::milliseconds TurnAwayTimeout{1000};
/** Pause after an accept that failed for want of descriptors or memory. */
constexpr std::chrono::milliseconds AcceptRetryDelay{20};

constexpr const char *StoppingReason = "this server is stopping";

using BeastRequest = beast::http::request<beast::http::string_body>;
using BeastResponse = beast::http::response<beast::http::string_body>;

enum class ConnectionState {
    Idle,
    /** The first bytes of a request have arrived, but not all. */
    Reading,
    /** A whole request waits for its handler. */
    Answering,
    Writing,
    /** The last answer is written, and the peer may still read it. */
    Closing,
};

std::string_view stateText(ConnectionState state)
{
    switch (state) {
    case ConnectionState::Idle:
        return "idle";
    case ConnectionState::Reading:
        return "reading";
    case ConnectionState::Answering:
        return "answering";
    case ConnectionState::Writing:
        return "writing";
    case ConnectionState::Closing:
        return "closing";
    }
    return "unknown";
}

/** A request that was handed to the handler. Used only on the strand of its connection. */
struct Call {
    explicit Call(const asio::any_io_executor &strand)
        : settled(strand)
    {
    }

    /** The first answer counts: the handler's, or that of a drain which doesn't wait for it any longer. */
    void settle(Response answer)
    {
        if (!response) {
            response = std::move(answer);
            settled.notify();
        }
    }

    /** Nothing until the call is settled. */
    std::optional<Response> response;
    runtime::Signal settled;
};

/** One open connection. All but `isBusy` and `hasLastAnswer` is used only on its own strand. */
struct Connection {
    Connection(tcp::socket connected, bool isBeyondLimit)
        : stream(std::move(connected))
        , isTurnedAway(isBeyondLimit)
    {
    }

    beast::tcp_stream stream;
    /** It is beyond the limit of connections: its first request is refused, and it is closed. */
    const bool isTurnedAway;
    /** Bytes received and not yet parsed. */
    beast::flat_buffer buffer;
    /** True from the first byte of a request until its answer is written, or until the connection is closed after its last answer. */
    std::atomic<bool> isBusy{false};
    ConnectionState state = ConnectionState::Idle;
    /** When the state began. */
    runtime::Instant stateSince{};
    /** Method and target of the request that is being answered. */
    std::string request;
    /** Null unless a request is being answered. */
    std::shared_ptr<Call> call;
    /** The answer that has been written is the last one on this connection. */
    std::atomic<bool> hasLastAnswer{false};

    void enter(ConnectionState next)
    {
        state = next;
        stateSince = runtime::Clock::now();
        isBusy = next != ConnectionState::Idle;
    }

    /** Its state, for the log. */
    [[nodiscard]] std::vector<log::Field> fields() const
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(runtime::Clock::now() - stateSince);
        return {{"state", std::string(stateText(state))}, {"request_line", request}, {"age_ms", std::to_string(age.count())}};
    }
};

Request fromBeast(BeastRequest &&message)
{
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

BeastResponse toBeast(Response &&response, unsigned version, bool keepAlive)
{
    BeastResponse message(static_cast<beast::http::status>(response.status), version);
    for (const auto &header : response.headers) {
        message.set(header.name, header.value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

/** The answer to bytes that are not a request, or one beyond the limits. */
Response refusal(const beast::error_code &error)
{
    if (error == beast::http::error::body_limit) {
        return Response::text(413, "request body is larger than the limit\n");
    }
    if (error == beast::http::error::header_limit) {
        return Response::text(431, "request header is larger than the limit\n");
    }
    return Response::text(400, "not an HTTP/1.1 request: " + error.message() + "\n");
}

/** The answer to a request that has had no effect. */
Response notServedAnswer(const std::string &reason)
{
    Response response = Response::text(503, reason + "; the request was not served\n");
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

/** Whether a request with this method changes nothing (RFC 9110, 9.2.1), so that one without an answer can be said not to have been served. */
bool isSafe(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/** The answer to a request that the handler didn't answer before the end of a drain. */
Response abandonedAnswer(std::string_view method)
{
    if (!isSafe(method)) {
        return Response::text(504, "this server is stopping; the request may have taken effect\n");
    }
    return notServedAnswer(StoppingReason);
}

} // namespace

struct Server::State : std::enable_shared_from_this<Server::State> {
    State(asio::any_io_executor givenExecutor, Limits givenLimits, Handler givenHandler)
        : executor(std::move(givenExecutor))
        , limits(givenLimits)
        , handler(std::move(givenHandler))
        , acceptor(asio::make_strand(executor))
    {
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    asio::awaitable<bool> serveOne(Connection &connection);
    asio::awaitable<void> linger(std::shared_ptr<Connection> connection);
    asio::awaitable<Response> answer(Connection &connection, Request request);
    asio::awaitable<void> handle(std::shared_ptr<Call> call, Request request);
    void admit(tcp::socket socket);
    void closeAcceptor();
    void closeIdle(bool evenBusy);
    void abandonCalls();
    [[nodiscard]] std::size_t openConnections();
    [[nodiscard]] std::size_t unansweredConnections();

    const asio::any_io_executor executor;
    const Limits limits;
    const Handler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> isDraining{false};
    /** All connections that the system had accepted are among `connections`. */
    std::atomic<bool> isAcceptorClosed{false};
    /** The drain is over: what is read now is refused. */
    std::atomic<bool> isClosing{false};
    std::mutex mutex;
    /** Open connections; guarded by mutex. */
    std::list<std::shared_ptr<Connection>> connections;
};

asio::awaitable<void> Server::State::accept()
{
    const auto self = shared_from_this();
    while (!isDraining) {
        boost::system::error_code error;
        tcp::socket socket = co_await acceptor.async_accept(asio::make_strand(executor), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (!acceptor.is_open()) {
                co_return;
            }
            co_await runtime::sleepFor(AcceptRetryDelay);
            continue;
        }
        admit(std::move(socket));
    }
}

void Server::State::admit(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::shared_ptr<Connection> connection;
    {
        const std::scoped_lock lock(mutex);
        const bool isBeyondLimit = connections.size() >= limits.connections;
        if (isBeyondLimit) {
            log::write(log::Severity::Warning, "connection rejected", {{"reason", "limit reached"}, {"open", std::to_string(connections.size())}});
        }
        if (connections.size() >= limits.connections + MaxTurnedAway) {
            return;
        }
        connection = std::make_shared<Connection>(std::move(socket), isBeyondLimit);
        connections.push_back(connection);
    }
    asio::co_spawn(connection->stream.get_executor(), serve(connection), asio::detached);
}

/** Takes the connections that the system has already accepted, as closing would reset them, then closes. */
void Server::State::closeAcceptor()
{
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(asio::make_strand(executor));
        acceptor.accept(socket, error);
        if (!error) {
            admit(std::move(socket));
        }
    }
    acceptor.close(error);
    isAcceptorClosed = true;
}

asio::awaitable<void> Server::State::serve(std::shared_ptr<Connection> connection)
{
    const auto self = shared_from_this();
    try {
        while (co_await serveOne(*connection)) { }
        if (connection->hasLastAnswer) {
            co_await linger(connection);
        }
    } catch (const std::exception &) {
        // The peer went away while it was being answered; there is nobody to tell.
    }
    beast::error_code ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    connection->stream.close();
    const std::scoped_lock lock(mutex);
    connections.remove(connection);
}

/** Waits for the peer to close, without reading what it may still send: what is read has to be answered. */
asio::awaitable<void> Server::State::linger(std::shared_ptr<Connection> connection)
{
    connection->enter(ConnectionState::Closing);
    auto &socket = connection->stream.socket();
    const auto until = runtime::Clock::now() + LingerTime;
    beast::error_code error;
    socket.shutdown(tcp::socket::shutdown_send, error);
    runtime::Timer timer(connection->stream.get_executor(), until);
    timer.async_wait([connection](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            connection->stream.cancel();
        }
    });
    co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    timer.cancel();
    if (!error && socket.available(error) > 0) {
        co_await runtime::sleepUntil(until);
    }
}

asio::awaitable<bool> Server::State::serveOne(Connection &connection)
{
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    const std::chrono::milliseconds patience = connection.isTurnedAway ? std::min(limits.idleTimeout, TurnAwayTimeout) : limits.idleTimeout;
    connection.stream.expires_after(patience);
    beast::error_code error;
    if (connection.buffer.size() == 0) {
        const auto space = connection.buffer.prepare(FirstReadBytes);
        const std::size_t size = co_await connection.stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
        connection.buffer.commit(size);
    }
    if (error) {
        co_return false;
    }
    connection.request.clear();
    connection.enter(ConnectionState::Reading);
    connection.stream.expires_after(patience);
    co_await beast::http::async_read(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    const bool isBadRequest = error && error.category() == beast::http::make_error_code(beast::http::error::bad_method).category()
        && error != beast::http::error::end_of_stream && error != beast::http::error::partial_message;
    if (error && !isBadRequest) {
        co_return false;
    }
    connection.stream.expires_never();
    const unsigned version = error ? 11 : parser.get().version();
    const bool isHead = !error && parser.get().method() == beast::http::verb::head;
    const bool wantsKeepAlive = !error && !connection.isTurnedAway && parser.get().keep_alive();
    Response response;
    std::string target;
    if (error) {
        response = refusal(error);
    } else if (connection.isTurnedAway) {
        response = notServedAnswer("too many connections");
    } else {
        target = std::string(parser.get().target());
        connection.request = std::string(parser.get().method_string()) + " " + target;
        connection.enter(ConnectionState::Answering);
        response = co_await answer(connection, fromBeast(parser.release()));
    }
    if (response.status == NoAnswer) {
        co_return false;
    }
    const bool hasMoreRequests = connection.buffer.size() > 0 || connection.stream.socket().available(error) > 0;
    const bool keepAlive = wantsKeepAlive && (!isDraining || hasMoreRequests);
    const unsigned status = response.status;
    BeastResponse message = toBeast(std::move(response), version, keepAlive);
    if (isHead) {
        // Content-Length stays that of the answer to GET (RFC 9110, 9.3.2).
        message.body().clear();
    }
    connection.stream.expires_after(limits.idleTimeout);
    connection.enter(ConnectionState::Writing);
    co_await beast::http::async_write(connection.stream, message, asio::redirect_error(asio::use_awaitable, error));
    connection.enter(ConnectionState::Idle);
    if (error) {
        log::write(log::Severity::Info, "answer not delivered", {{"target", target}, {"status", std::to_string(status)}, {"reason", error.message()}});
    }
    connection.hasLastAnswer = !error && !keepAlive;
    co_return !error && keepAlive;
}

/** Waits for the handler, or for a drain that gives it up; the handler goes on then, and its answer is dropped. */
asio::awaitable<Response> Server::State::answer(Connection &connection, Request request)
{
    if (isClosing) {
        co_return notServedAnswer(StoppingReason);
    }
    const auto strand = connection.stream.get_executor();
    const auto call = std::make_shared<Call>(strand);
    connection.call = call;
    asio::co_spawn(strand, handle(call, std::move(request)), asio::detached);
    while (!call->response) {
        co_await call->settled.waitUntil(runtime::Instant::max());
    }
    connection.call = nullptr;
    co_return std::move(*call->response);
}

asio::awaitable<void> Server::State::handle(std::shared_ptr<Call> call, Request request)
{
    const auto self = shared_from_this();
    std::string failure;
    try {
        call->settle(co_await handler(std::move(request)));
        co_return;
    } catch (const std::exception &error) {
        failure = error.what();
    }
    log::write(log::Severity::Error, "request failed unexpectedly", {{"reason", failure}});
    call->settle(Response::text(500, "internal error: " + failure + "\n"));
}

/** Answers what the handlers haven't answered yet. */
void Server::State::abandonCalls()
{
    const std::scoped_lock lock(mutex);
    for (const auto &connection : connections) {
        asio::post(connection->stream.get_executor(), [connection] {
            if (connection->call) {
                log::write(log::Severity::Warning, "request abandoned", connection->fields());
                connection->call->settle(abandonedAnswer(connection->request.substr(0, connection->request.find(' '))));
            }
        });
    }
}

std::size_t Server::State::openConnections()
{
    const std::scoped_lock lock(mutex);
    return connections.size();
}

/** Open connections that may still owe their peer an answer. */
std::size_t Server::State::unansweredConnections()
{
    const std::scoped_lock lock(mutex);
    const auto count = std::count_if(connections.begin(), connections.end(), [](const std::shared_ptr<Connection> &connection) {
        return !connection->hasLastAnswer;
    });
    return static_cast<std::size_t>(count);
}

void Server::State::closeIdle(bool evenBusy)
{
    const std::scoped_lock lock(mutex);
    for (const auto &connection : connections) {
        if (!connection->isBusy || evenBusy) {
            asio::post(connection->stream.get_executor(), [connection, evenBusy] {
                beast::error_code ignored;
                const bool isIdle = !connection->isBusy && connection->stream.socket().available(ignored) == 0;
                if (connection->isBusy && evenBusy && !connection->hasLastAnswer) {
                    log::write(log::Severity::Warning, "connection cut", connection->fields());
                }
                if (isIdle || evenBusy) {
                    connection->stream.cancel();
                }
            });
        }
    }
}

absl::StatusOr<std::unique_ptr<Server>>
Server::create(asio::any_io_executor executor, const std::string &host, std::uint16_t port, Limits limits, Handler handler)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (error) {
        return absl::InvalidArgumentError("not an IP number: " + host);
    }
    auto state = std::make_shared<State>(std::move(executor), limits, std::move(handler));
    const tcp::endpoint endpoint(address, port);
    state->acceptor.open(endpoint.protocol(), error);
    if (!error) {
        state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        state->acceptor.bind(endpoint, error);
    }
    if (!error) {
        state->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return absl::UnavailableError("can't listen on " + host + ":" + std::to_string(port) + ": " + error.message());
    }
    asio::co_spawn(state->acceptor.get_executor(), state->accept(), asio::detached);
    return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

Server::~Server() = default;

std::uint16_t Server::port() const
{
    boost::system::error_code ignored;
    return m_state->acceptor.local_endpoint(ignored).port();
}

asio::awaitable<std::size_t> Server::drain(runtime::Instant deadline)
{
    const auto state = m_state;
    state->isDraining = true;
    asio::post(state->acceptor.get_executor(), [state] {
        state->closeAcceptor();
    });
    const auto isEmpty = [&state] {
        return state->isAcceptorClosed && state->openConnections() == 0;
    };
    for (unsigned polls = 0; !isEmpty() && runtime::Clock::now() < deadline; ++polls) {
        if (polls >= DrainLingerPolls) {
            state->closeIdle(false);
        }
        co_await runtime::sleepFor(DrainPollInterval);
    }
    state->isClosing = true;
    state->abandonCalls();
    const auto farewell = runtime::Clock::now() + FarewellTime;
    while (!isEmpty() && runtime::Clock::now() < farewell) {
        state->closeIdle(false);
        co_await runtime::sleepFor(DrainPollInterval);
    }
    const std::size_t cut = state->unansweredConnections();
    state->closeIdle(true);
    co_return cut;
}

} // namespace plantainfork::http
