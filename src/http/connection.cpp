#include "http/connection.h"

#include <algorithm>
#include <string_view>

#include <boost/asio/post.hpp>

namespace plantainfork::http
{

namespace
{

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

} // namespace

std::size_t readBufferLimit(const Limits &limits)
{
    return std::max(limits.headerBytes, FirstReadBytes);
}

std::shared_ptr<Connection> Connection::create(boost::asio::ip::tcp::socket socket, const Limits &limits, ReceiveBudget &budget, bool isTurnedAway)
{
    std::shared_ptr<Connection> connection(new Connection(std::move(socket), readBufferLimit(limits), isTurnedAway));
    connection->account = budget.open([weak = connection->weak_from_this(), strand = connection->stream.get_executor()] {
        boost::asio::post(strand, [weak] {
            const auto self = weak.lock();
            if (self && self->account->isShed()) {
                self->giveUp();
            }
        });
    });
    return connection;
}

Connection::Connection(boost::asio::ip::tcp::socket socket, std::size_t bufferLimit, bool turnsAway)
    : stream(std::move(socket))
    , isTurnedAway(turnsAway)
    , buffer(bufferLimit)
    , idleSince(runtime::Clock::now())
    , m_timer(stream.get_executor())
{
}

void Connection::enter(ConnectionState next)
{
    state = next;
    stateSince = runtime::Clock::now();
    idleSince = stateSince;
    isBusy = next != ConnectionState::Idle;
}

void Connection::setDeadline(runtime::Instant instant)
{
    m_deadline = instant;
    m_hasExpired = false;
    // A later deadline is looked at when the timer ends, so that most requests leave the timer alone.
    if (m_deadline < m_timerEnd) {
        startTimer(m_deadline);
    }
}

void Connection::startTimer(runtime::Instant until)
{
    m_timerEnd = until;
    m_timer.expires_at(until);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &cancelled) {
        const auto self = weak.lock();
        if (cancelled || !self) {
            return;
        }
        self->m_timerEnd = runtime::Instant::max();
        if (runtime::Clock::now() >= self->m_deadline) {
            self->m_deadline = runtime::Instant::max();
            self->m_hasExpired = true;
            self->giveUp();
        } else if (self->m_deadline != runtime::Instant::max()) {
            self->startTimer(self->m_deadline);
        }
    });
}

void Connection::giveUp()
{
    if (state == ConnectionState::Writing) {
        // Cancelling could come between two steps of the write, which would then go on.
        stream.close();
    } else if (state != ConnectionState::Answering) {
        stream.cancel();
    }
}

void Connection::evict()
{
    boost::system::error_code error;
    const bool isIdle = !isBusy && stream.socket().available(error) == 0;
    if (isIdle) {
        stream.cancel();
    } else {
        isEvicted = false;
    }
}

void Connection::settleMemory()
{
    buffer.shrink_to_fit();
    account->settle(buffer.capacity());
}

std::vector<log::Field> Connection::fields() const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(runtime::Clock::now() - stateSince);
    return {{"state", std::string(stateText(state))}, {"request_line", request}, {"age_ms", std::to_string(age.count())}};
}

} // namespace plantainfork::http
