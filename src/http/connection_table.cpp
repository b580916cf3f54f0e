#include "http/connection_table.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "http/overload.h"
#include "runtime/clock.h"

namespace plantainfork::http
{

namespace
{

/** Connections beyond the limit that are open at a time, each until it has been told so. */
constexpr std::size_t MaxTurnedAway = 64;
/** Connections that have been told to close and have not done so yet, beyond the limit and those turned away. */
constexpr std::size_t MaxLeaving = 64;

} // namespace

ConnectionTable::ConnectionTable(const Limits &limits, ReceiveBudget &budget, RefusalLog &refusals, metrics::Gauge *gauge)
    : m_limits(limits)
    , m_budget(budget)
    , m_refusals(refusals)
    , m_gauge(gauge)
{
}

std::shared_ptr<Connection> ConnectionTable::admit(boost::asio::ip::tcp::socket socket)
{
    const std::scoped_lock lock(m_mutex);
    const bool isBeyondLimit = !makeRoom();
    if (isBeyondLimit) {
        m_refusals.note(RefusalReason::Connections, {{"open", std::to_string(m_connections.size())}});
        if (countOpen(true) >= MaxTurnedAway && !evictOne(true, std::chrono::milliseconds(0))) {
            return nullptr;
        }
    }
    if (m_connections.size() >= m_limits.connections + MaxTurnedAway + MaxLeaving) {
        return nullptr;
    }
    auto connection = Connection::create(std::move(socket), m_limits, m_budget, isBeyondLimit);
    m_connections.push_back(connection);
    publish();
    return connection;
}

void ConnectionTable::remove(const std::shared_ptr<Connection> &connection)
{
    const std::scoped_lock lock(m_mutex);
    m_connections.remove(connection);
    publish();
}

void ConnectionTable::post(const std::function<bool(const Connection &)> &isWanted, const std::function<void(Connection &)> &visit)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &connection : m_connections) {
        if (isWanted(*connection)) {
            boost::asio::post(connection->stream.get_executor(), [connection, visit] {
                visit(*connection);
            });
        }
    }
}

std::size_t ConnectionTable::count(const std::function<bool(const Connection &)> &isCounted)
{
    const std::scoped_lock lock(m_mutex);
    const auto counted = std::count_if(m_connections.begin(), m_connections.end(), [&isCounted](const std::shared_ptr<Connection> &connection) {
        return isCounted(*connection);
    });
    return static_cast<std::size_t>(counted);
}

std::size_t ConnectionTable::size()
{
    const std::scoped_lock lock(m_mutex);
    return m_connections.size();
}

/** Connections of one kind that have not been told to close. The mutex is held. */
std::size_t ConnectionTable::countOpen(bool isTurnedAway) const
{
    const auto open = std::count_if(m_connections.begin(), m_connections.end(), [isTurnedAway](const std::shared_ptr<Connection> &connection) {
        return connection->isTurnedAway == isTurnedAway && !connection->isEvicted;
    });
    return static_cast<std::size_t>(open);
}

/** Closes idle connections until one more is within the limit. False if there are too few of them. The mutex is held. */
bool ConnectionTable::makeRoom()
{
    if (m_connections.size() < m_limits.connections) {
        return true;
    }
    for (std::size_t open = countOpen(false); open >= m_limits.connections; --open) {
        if (!evictOne(false, EvictionGrace)) {
            return false;
        }
        m_refusals.noteEviction();
    }
    return true;
}

/** Closes one idle connection, of those turned away or of the others. False if there is none. The mutex is held. */
bool ConnectionTable::evictOne(bool isTurnedAway, std::chrono::milliseconds grace)
{
    std::vector<std::shared_ptr<Connection>> candidates;
    std::vector<IdleConnection> idle;
    for (const auto &connection : m_connections) {
        if (connection->isTurnedAway == isTurnedAway && !connection->isBusy && !connection->isEvicted) {
            candidates.push_back(connection);
            idle.push_back({connection->idleSince, connection->hasServed});
        }
    }
    const auto chosen = chooseIdleToEvict(idle, runtime::Clock::now(), grace);
    if (!chosen) {
        return false;
    }
    const auto &connection = candidates[*chosen];
    connection->isEvicted = true;
    boost::asio::post(connection->stream.get_executor(), [connection] {
        connection->evict();
    });
    return true;
}

/** The mutex is held. */
void ConnectionTable::publish()
{
    if (m_gauge != nullptr) {
        m_gauge->set(static_cast<std::int64_t>(m_connections.size()));
    }
}

} // namespace plantainfork::http
