#include "http/server.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/connection.h"
#include "http/connection_table.h"
#include "http/receive_budget.h"
#include "http/refusals.h"
#include "http/request_reader.h"
#include "log/log.h"
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
/** Time in which a connection beyond the limit may send its request. */
constexpr std::chrono::milliseconds TurnAwayTimeout{1000};
/** Pause after an accept that failed for want of descriptors or memory. */
constexpr std::chrono::milliseconds AcceptRetryDelay{20};

constexpr const char *StoppingReason = "this server is stopping";

using BeastResponse = beast::http::response<beast::http::string_body>;

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

metrics::Gauge *connectionsGauge(const ListenerContext &context)
{
    return context.registry != nullptr ? &context.registry->gauge("plantainfork_http_connections", {{"listener", context.name}}) : nullptr;
}

} // namespace

struct Server::State : std::enable_shared_from_this<Server::State> {
    State(asio::any_io_executor givenExecutor, const Limits &givenLimits, Handler givenHandler, ListenerContext context)
        : executor(std::move(givenExecutor))
        , limits(givenLimits)
        , turnAwayLimits(givenLimits)
        , handler(std::move(givenHandler))
        , budget(context.budget ? std::move(context.budget) : ReceiveBudget::create(ReceiveBudget::Unlimited))
        , refusals(context.name, context.registry)
        , connections(limits, *budget, refusals, connectionsGauge(context))
        , acceptor(asio::make_strand(executor))
    {
        turnAwayLimits.arrival = std::min(limits.arrival, TurnAwayTimeout);
        turnAwayLimits.idleTimeout = std::min(limits.idleTimeout, TurnAwayTimeout);
        if (budget->ensureAtLeast(largestRequestBytes(limits))) {
            log::write(log::Severity::Warning,
                       "receive budget raised",
                       {{"listener", context.name}, {"limit_bytes", std::to_string(budget->limitBytes())}, {"reason", "one request has to fit"}});
        }
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    asio::awaitable<bool> serveOne(Connection &connection);
    asio::awaitable<void> linger(std::shared_ptr<Connection> connection);
    asio::awaitable<Response> answer(Connection &connection, Request request);
    asio::awaitable<void> handle(std::shared_ptr<Connection> connection, std::shared_ptr<Call> call, Request request);
    asio::awaitable<bool> write(Connection &connection, Response response, const ReceivedRequest &received, const std::string &target);
    void admit(tcp::socket socket);
    void closeAcceptor();
    void closeIdle(bool evenBusy);
    void abandonCalls();

    const asio::any_io_executor executor;
    const Limits limits;
    /** Of connections beyond the limit. */
    Limits turnAwayLimits;
    const Handler handler;
    const std::shared_ptr<ReceiveBudget> budget;
    RefusalLog refusals;
    ConnectionTable connections;
    tcp::acceptor acceptor;
    std::atomic<bool> isDraining{false};
    /** All connections that the system had accepted are among `connections`. */
    std::atomic<bool> isAcceptorClosed{false};
    /** The drain is over: what is read now is refused. */
    std::atomic<bool> isClosing{false};
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
    if (const auto connection = connections.admit(std::move(socket))) {
        asio::co_spawn(connection->stream.get_executor(), serve(connection), asio::detached);
    }
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
    connection->buffer.clear();
    connection->settleMemory();
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
    connection->setDeadline(until);
    co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    connection->setDeadline(runtime::Instant::max());
    if (!error && socket.available(error) > 0) {
        co_await runtime::sleepUntil(until);
    }
}

asio::awaitable<bool> Server::State::serveOne(Connection &connection)
{
    const Limits &bounds = connection.isTurnedAway ? turnAwayLimits : limits;
    if (connection.buffer.size() == 0) {
        // An idle connection holds no read buffer.
        beast::error_code error;
        connection.setDeadline(runtime::Clock::now() + bounds.idleTimeout);
        co_await connection.stream.socket().async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        connection.setDeadline(runtime::Instant::max());
        if (error || connection.stream.socket().available(error) == 0) {
            co_return false;
        }
    }
    connection.request.clear();
    connection.enter(ConnectionState::Reading);
    ReceivedRequest received = co_await readRequest(connection, bounds);
    if (received.isClosed) {
        co_return false;
    }
    if (received.refused) {
        connection.buffer.clear();
    }
    connection.settleMemory();
    Response response;
    std::string target;
    if (connection.isTurnedAway) {
        received.wantsKeepAlive = false;
        response = notServedAnswer("too many connections");
    } else if (received.refused) {
        refusals.note(*received.refused);
        response = refusal(*received.refused, received.detail);
    } else {
        connection.hasServed = true;
        target = received.request.target;
        connection.request = received.request.method + " " + target;
        connection.enter(ConnectionState::Answering);
        response = co_await answer(connection, std::move(received.request));
    }
    if (response.status == NoAnswer) {
        co_return false;
    }
    co_return co_await write(connection, std::move(response), received, target);
}

/** Writes a response. True if the connection is kept for the next request. */
asio::awaitable<bool> Server::State::write(Connection &connection, Response response, const ReceivedRequest &received, const std::string &target)
{
    beast::error_code error;
    const bool hasMoreRequests = connection.buffer.size() > 0 || connection.stream.socket().available(error) > 0;
    const bool keepAlive = received.wantsKeepAlive && (!isDraining || hasMoreRequests);
    const unsigned status = response.status;
    BeastResponse message = toBeast(std::move(response), received.version, keepAlive);
    if (received.isHead) {
        // Content-Length stays that of the answer to GET (RFC 9110, 9.3.2).
        message.body().clear();
    }
    const auto now = runtime::Clock::now();
    const std::size_t held = message.body().capacity() + connection.buffer.capacity();
    if (connection.account->isShed() || !connection.account->holdResponse(held, now)) {
        refusals.note(RefusalReason::Budget);
        co_return false;
    }
    connection.enter(ConnectionState::Writing);
    connection.setDeadline(now + limits.delivery);
    co_await beast::http::async_write(connection.stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (connection.hasExpired() || connection.account->isShed()) {
        refusals.note(connection.hasExpired() ? RefusalReason::Delivery : RefusalReason::Budget);
    }
    connection.setDeadline(runtime::Instant::max());
    connection.settleMemory();
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
    asio::co_spawn(strand, handle(connection.shared_from_this(), call, std::move(request)), asio::detached);
    while (!call->response) {
        co_await call->settled.waitUntil(runtime::Instant::max());
    }
    connection.call = nullptr;
    co_return std::move(*call->response);
}

asio::awaitable<void> Server::State::handle(std::shared_ptr<Connection> connection, std::shared_ptr<Call> call, Request request)
{
    const auto self = shared_from_this();
    std::string failure;
    try {
        Response response = co_await handler(std::move(request));
        // Charged as soon as it is there, as many responses may be ready before the first is written.
        if (!call->response && !connection->account->holdResponse(response.body.capacity() + connection->buffer.capacity(), runtime::Clock::now())) {
            refusals.note(RefusalReason::Budget);
            // Swapped, as assigning an empty string would keep the capacity.
            Response dropped{NoAnswer, {}, {}};
            std::swap(response, dropped);
        }
        call->settle(std::move(response));
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
    const auto isAny = [](const Connection &) {
        return true;
    };
    connections.post(isAny, [](Connection &connection) {
        if (connection.call) {
            log::write(log::Severity::Warning, "request abandoned", connection.fields());
            connection.call->settle(abandonedAnswer(connection.request.substr(0, connection.request.find(' '))));
        }
    });
}

void Server::State::closeIdle(bool evenBusy)
{
    const auto isWanted = [evenBusy](const Connection &connection) {
        return !connection.isBusy || evenBusy;
    };
    connections.post(isWanted, [evenBusy](Connection &connection) {
        beast::error_code ignored;
        const bool isIdle = !connection.isBusy && connection.stream.socket().available(ignored) == 0;
        if (connection.isBusy && evenBusy && !connection.hasLastAnswer) {
            log::write(log::Severity::Warning, "connection cut", connection.fields());
        }
        if (isIdle || evenBusy) {
            connection.stream.cancel();
        }
    });
}

absl::StatusOr<std::unique_ptr<Server>>
Server::create(asio::any_io_executor executor, const std::string &host, std::uint16_t port, Limits limits, Handler handler, ListenerContext context)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (error) {
        return absl::InvalidArgumentError("not an IP number: " + host);
    }
    auto state = std::make_shared<State>(std::move(executor), limits, std::move(handler), std::move(context));
    const tcp::endpoint endpoint(address, port);
    state->acceptor.open(endpoint.protocol(), error);
    if (!error) {
        state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        state->acceptor.bind(endpoint, error);
    }
    if (!error) {
        // Accepted sockets inherit these; they must be set before the connection is made, as its window depends on them.
        boost::system::error_code ignored;
        const auto size = static_cast<int>(limits.socketBufferBytes);
        state->acceptor.set_option(asio::socket_base::receive_buffer_size(size), ignored);
        state->acceptor.set_option(asio::socket_base::send_buffer_size(size), ignored);
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
        return state->isAcceptorClosed && state->connections.size() == 0;
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
    // Those that may still owe their peer an answer.
    const std::size_t cut = state->connections.count([](const Connection &connection) {
        return !connection.hasLastAnswer;
    });
    state->closeIdle(true);
    co_return cut;
}

} // namespace plantainfork::http
