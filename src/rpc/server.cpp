#include "rpc/server.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <list>
#include <map>
#include <mutex>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rpc/session.h"
#include "runtime/timer.h"

namespace plantainfork::rpc
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds DrainPollInterval{5};
/** Time in which clients may read their last replies and close; a connection that is silent for good ends here. */
constexpr std::chrono::milliseconds CloseTimeout{3000};
/** Pause after an accept that failed for want of descriptors or memory. */
constexpr std::chrono::milliseconds AcceptRetryDelay{20};

struct Peer {
    asio::any_io_executor executor;
    std::shared_ptr<Session> session;
};

} // namespace

struct Server::State : std::enable_shared_from_this<Server::State> {
    State(asio::any_io_executor givenExecutor, Limits givenLimits)
        : executor(std::move(givenExecutor))
        , limits(givenLimits)
        , budget(std::make_shared<PayloadBudget>(givenLimits))
        , acceptor(asio::make_strand(executor))
    {
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(Peer peer);
    void dispatch(const std::string &method, std::string payload, Session::Respond respond);

    const asio::any_io_executor executor;
    const Limits limits;
    const std::shared_ptr<PayloadBudget> budget;
    tcp::acceptor acceptor;
    /** Not changed after start(). */
    std::map<std::string, Handler, std::less<>> handlers;
    std::atomic<bool> isDraining{false};
    /** Calls whose handler runs or whose answer isn't handed over yet. */
    std::atomic<std::size_t> openCalls{0};
    std::mutex mutex;
    /** Guarded by mutex. */
    std::list<Peer> peers;
};

asio::awaitable<void> Server::State::accept()
{
    const auto self = shared_from_this();
    while (!isDraining) {
        boost::system::error_code error;
        const asio::any_io_executor strand = asio::make_strand(executor);
        tcp::socket socket = co_await acceptor.async_accept(strand, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (!acceptor.is_open()) {
                co_return;
            }
            co_await runtime::sleepFor(AcceptRetryDelay);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const Peer peer{strand, std::make_shared<Session>(std::move(socket), SessionRole::Server, limits, budget)};
        peer.session->setCallHandler([this](const std::string &method, std::string payload, Session::Respond respond) {
            dispatch(method, std::move(payload), std::move(respond));
        });
        {
            const std::scoped_lock lock(mutex);
            if (peers.size() >= limits.connections) {
                continue;
            }
            peers.push_back(peer);
        }
        asio::co_spawn(strand, serve(peer), asio::detached);
    }
}

asio::awaitable<void> Server::State::serve(Peer peer)
{
    const auto self = shared_from_this();
    co_await peer.session->run();
    const std::scoped_lock lock(mutex);
    peers.remove_if([&peer](const Peer &candidate) {
        return candidate.session == peer.session;
    });
}

void Server::State::dispatch(const std::string &method, std::string payload, Session::Respond respond)
{
    const auto found = handlers.find(method);
    if (found == handlers.end()) {
        respond(absl::UnimplementedError("no such method: " + method));
        return;
    }
    ++openCalls;
    const auto self = shared_from_this();
    asio::co_spawn(executor,
                   found->second(std::move(payload)),
                   [self, respond = std::move(respond)](const std::exception_ptr &failure, absl::StatusOr<std::string> result) {
                       if (failure) {
                           respond(absl::InternalError("handler failed"));
                       } else {
                           respond(std::move(result));
                       }
                       --self->openCalls;
                   });
}

absl::StatusOr<std::unique_ptr<Server>> Server::create(asio::any_io_executor executor, const std::string &host, std::uint16_t port, Limits limits)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (error) {
        return absl::InvalidArgumentError("not an IP number: " + host);
    }
    auto state = std::make_shared<State>(std::move(executor), limits);
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
    return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

Server::~Server() = default;

void Server::handle(std::string_view method, Handler handler)
{
    m_state->handlers.insert_or_assign(std::string(method), std::move(handler));
}

void Server::start()
{
    asio::co_spawn(m_state->acceptor.get_executor(), m_state->accept(), asio::detached);
}

std::uint16_t Server::port() const
{
    boost::system::error_code ignored;
    return m_state->acceptor.local_endpoint(ignored).port();
}

std::size_t Server::heldBytes() const
{
    return m_state->budget->held();
}

std::uint64_t Server::refusals() const
{
    return m_state->budget->refusals();
}

asio::awaitable<std::size_t> Server::drain(runtime::Instant deadline)
{
    const auto state = m_state;
    state->isDraining = true;
    asio::post(state->acceptor.get_executor(), [state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
    const auto forEachPeer = [&state](void (Session::*action)()) {
        const std::scoped_lock lock(state->mutex);
        for (const auto &peer : state->peers) {
            asio::post(peer.executor, [session = peer.session, action] {
                (session.get()->*action)();
            });
        }
    };
    forEachPeer(&Session::refuseNewCalls);
    while (state->openCalls > 0 && runtime::Clock::now() < deadline) {
        co_await runtime::sleepFor(DrainPollInterval);
    }
    const std::size_t cut = state->openCalls;
    // Each client closes its connection when it has read its last reply.
    const auto isAnyOpen = [&state] {
        const std::scoped_lock lock(state->mutex);
        return !state->peers.empty();
    };
    const auto closeAt = std::min(deadline, runtime::Clock::now() + CloseTimeout);
    while (isAnyOpen() && runtime::Clock::now() < closeAt) {
        co_await runtime::sleepFor(DrainPollInterval);
    }
    forEachPeer(&Session::close);
    co_return cut;
}

} // namespace plantainfork::rpc
