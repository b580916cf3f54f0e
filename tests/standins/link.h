/** A TCP relay that delays, limits, cuts or silently swallows what passes. All its routes share its rate. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "runtime/timer.h"
#include "standins/program.h"

namespace plantainfork::standins
{

namespace asio = boost::asio;
using asio::ip::tcp;

inline constexpr std::size_t LinkChunkBytes = 16 * 1024;
inline constexpr std::chrono::milliseconds StalledPollInterval{5};
/** Bounds what one connection may have on its way, if nothing else is set; its sender waits beyond that. */
inline constexpr std::size_t MaxChunksInFlight = 64;

/** One direction of the link, shared by its connections: when the bytes given to it have left. */
class Pipe
{
public:
    /** Instant at which the bytes arrive at the far end. */
    runtime::Instant passage(std::size_t bytes, std::uint64_t bitsPerSecond, std::chrono::milliseconds delay)
    {
        m_total += bytes;
        m_free = std::max(m_free, runtime::Clock::now());
        if (bitsPerSecond > 0) {
            m_free += std::chrono::nanoseconds(bytes * 8 * 1'000'000'000 / bitsPerSecond);
        }
        return m_free + delay;
    }

    [[nodiscard]] std::uint64_t total() const
    {
        return m_total;
    }

private:
    runtime::Instant m_free;
    std::uint64_t m_total = 0;
};

/** Which end of the link its connections come from. */
enum class Heading {
    There,
    Back,
};

struct Connection {
    tcp::socket near;
    tcp::socket far;
    /** Bytes are read and dropped, and ends are not passed on, as when something between has lost track. */
    bool isSwallowed = false;
};

/** Bytes on their way in one direction of one connection. */
struct Flight {
    explicit Flight(const asio::any_io_executor &executor)
        : wake(executor)
    {
    }

    struct Chunk {
        runtime::Instant arrival;
        std::string bytes;
    };
    std::deque<Chunk> chunks;
    /** No more chunks will come. */
    bool hasEnded = false;
    /** Cancelled when a chunk or the end was added. */
    runtime::Timer wake;
};

class Link
{
public:
    Link(asio::io_context &context, std::chrono::milliseconds delay, std::uint64_t rate)
        : m_context(context)
        , m_delay(delay)
        , m_rate(rate)
    {
    }

    /** Listens for one route; the address it took. */
    Endpoint addRoute(const Endpoint &from, const Endpoint &to, Heading heading)
    {
        const tcp::endpoint endpoint(asio::ip::make_address(from.host), from.port);
        const auto acceptor = std::make_shared<tcp::acceptor>(m_context, endpoint);
        m_routes.push_back({acceptor, acceptor->local_endpoint(), to, heading});
        asio::co_spawn(m_context, accept(acceptor, to, heading), asio::detached);
        return {from.host, acceptor->local_endpoint().port()};
    }

    void setDelay(std::chrono::milliseconds delay)
    {
        m_delay = delay;
    }
    void setRate(std::uint64_t bitsPerSecond)
    {
        m_rate = bitsPerSecond;
    }
    /** How much one connection may have on its way: so much of the line's time is lost when it is given up. */
    void setWindow(std::size_t chunks)
    {
        m_window = chunks;
    }
    /** While it is cut, connections are closed at once and new ones come to nothing. */
    void setCut(bool isCut)
    {
        m_isCut = isCut;
        if (m_isCut) {
            reset();
        }
    }
    /** While it doesn't listen, connections are closed at once and new ones are refused, as when the process behind it has ended. */
    void setListening(bool isListening)
    {
        for (auto &route : m_routes) {
            if (!isListening) {
                route.acceptor->close();
            } else if (!route.acceptor->is_open()) {
                route.acceptor = std::make_shared<tcp::acceptor>(m_context, route.endpoint);
                asio::co_spawn(m_context, accept(route.acceptor, route.to, route.heading), asio::detached);
            }
        }
        if (!isListening) {
            reset();
        }
    }
    /** Closes all connections. */
    void reset()
    {
        for (const auto &connection : m_connections) {
            close(*connection);
        }
    }
    /** Lets nothing more pass on today's connections, and keeps them open; new ones work. */
    void swallow()
    {
        for (const auto &connection : m_connections) {
            connection->isSwallowed = true;
        }
    }

    [[nodiscard]] std::chrono::milliseconds delay() const
    {
        return m_delay;
    }
    [[nodiscard]] std::uint64_t rate() const
    {
        return m_rate;
    }
    [[nodiscard]] bool isCut() const
    {
        return m_isCut;
    }
    [[nodiscard]] std::size_t connections() const
    {
        return m_connections.size();
    }
    [[nodiscard]] std::uint64_t bytesThere() const
    {
        return m_there.total();
    }
    [[nodiscard]] std::uint64_t bytesBack() const
    {
        return m_back.total();
    }

private:
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Route {
        std::shared_ptr<tcp::acceptor> acceptor;
        tcp::endpoint endpoint;
        Endpoint to;
        Heading heading = Heading::There;
    };

    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, Endpoint to, Heading heading)
    {
        boost::system::error_code error;
        while (true) {
            tcp::socket near = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            if (!m_isCut) {
                asio::co_spawn(m_context, connect(std::move(near), to, heading), asio::detached);
            }
        }
    }

    asio::awaitable<void> connect(tcp::socket near, Endpoint to, Heading heading)
    {
        const auto connection = std::make_shared<Connection>(Connection{std::move(near), tcp::socket(m_context)});
        co_await runtime::sleepFor(m_delay);
        boost::system::error_code error;
        const tcp::endpoint endpoint(asio::ip::make_address(to.host), to.port);
        co_await connection->far.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error || m_isCut) {
            co_return;
        }
        connection->near.set_option(tcp::no_delay(true), error);
        connection->far.set_option(tcp::no_delay(true), error);
        m_connections.push_back(connection);
        asio::co_spawn(m_context, relay(connection, connection->near, connection->far, heading == Heading::There ? m_there : m_back), asio::detached);
        co_await relay(connection, connection->far, connection->near, heading == Heading::There ? m_back : m_there);
        m_connections.remove(connection);
    }

    /** Moves bytes one way until either end closes, then closes both, unless the connection is swallowed. */
    asio::awaitable<void> relay(ConnectionPtr connection, tcp::socket &from, tcp::socket &to, Pipe &pipe)
    {
        const auto flight = std::make_shared<Flight>(m_context.get_executor());
        asio::co_spawn(m_context, deliver(connection, to, flight), asio::detached);
        std::string buffer(LinkChunkBytes, '\0');
        boost::system::error_code error;
        while (!error) {
            const auto size = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            if (!error && !connection->isSwallowed) {
                flight->chunks.push_back({pipe.passage(size, m_rate, m_delay), buffer.substr(0, size)});
                flight->wake.cancel();
            }
            while (flight->chunks.size() >= m_window && !connection->isSwallowed) {
                co_await runtime::sleepFor(StalledPollInterval);
            }
        }
        flight->hasEnded = true;
        flight->wake.cancel();
    }

    asio::awaitable<void> deliver(ConnectionPtr connection, tcp::socket &to, std::shared_ptr<Flight> flight)
    {
        boost::system::error_code error;
        while (!error && !connection->isSwallowed && !(flight->hasEnded && flight->chunks.empty())) {
            if (flight->chunks.empty()) {
                flight->wake.expires_at(runtime::Instant::max());
                boost::system::error_code cancelled;
                co_await flight->wake.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
                continue;
            }
            auto chunk = std::move(flight->chunks.front());
            flight->chunks.pop_front();
            co_await runtime::sleepUntil(chunk.arrival);
            if (!connection->isSwallowed) {
                co_await asio::async_write(to, asio::buffer(chunk.bytes), asio::redirect_error(asio::use_awaitable, error));
            }
        }
        while (connection->isSwallowed && !m_isCut) {
            co_await runtime::sleepFor(StalledPollInterval);
        }
        close(*connection);
    }

    static void close(Connection &connection)
    {
        boost::system::error_code ignored;
        connection.near.close(ignored);
        connection.far.close(ignored);
    }

    asio::io_context &m_context;
    std::chrono::milliseconds m_delay;
    std::uint64_t m_rate;
    std::size_t m_window = MaxChunksInFlight;
    bool m_isCut = false;
    std::list<Route> m_routes;
    Pipe m_there;
    Pipe m_back;
    std::list<ConnectionPtr> m_connections;
};

} // namespace plantainfork::standins
