/** The open connections of one listener, and which of them makes room for a new one when there are too many. */
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

#include <boost/asio/ip/tcp.hpp>

#include "http/connection.h"
#include "http/message.h"
#include "http/receive_budget.h"
#include "http/refusals.h"
#include "metrics/registry.h"

namespace plantainfork::http
{

/** May be used from several threads. */
class ConnectionTable
{
public:
    /** The gauge may be null. The budget and the log must outlive this. */
    ConnectionTable(const Limits &limits, ReceiveBudget &budget, RefusalLog &refusals, metrics::Gauge *gauge);

    /** Adds a connection, in place of an idle one if there are too many; it is to be turned away if there is no idle one. Null: there is no room even for that.
     */
    [[nodiscard]] std::shared_ptr<Connection> admit(boost::asio::ip::tcp::socket socket);
    void remove(const std::shared_ptr<Connection> &connection);

    /** Runs `visit` on the strand of each connection for which `isWanted`, which is called at once. */
    void post(const std::function<bool(const Connection &)> &isWanted, const std::function<void(Connection &)> &visit);
    [[nodiscard]] std::size_t count(const std::function<bool(const Connection &)> &isCounted);
    [[nodiscard]] std::size_t size();

private:
    [[nodiscard]] std::size_t countOpen(bool isTurnedAway) const;
    bool makeRoom();
    bool evictOne(bool isTurnedAway, std::chrono::milliseconds grace);
    void publish();

    const Limits m_limits;
    ReceiveBudget &m_budget;
    RefusalLog &m_refusals;
    metrics::Gauge *const m_gauge;
    std::mutex m_mutex;
    /** Guarded by the mutex. */
    std::list<std::shared_ptr<Connection>> m_connections;
};

} // namespace plantainfork::http
