/** One open connection of an HTTP server: its stream, what it is doing, and how long that may take. */
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "http/message.h"
#include "http/receive_budget.h"
#include "log/log.h"
#include "runtime/clock.h"
#include "runtime/signal.h"
#include "runtime/timer.h"

namespace plantainfork::http
{

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

/** A request that was handed to the handler. Used only on the strand of its connection. */
struct Call {
    explicit Call(const boost::asio::any_io_executor &strand)
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

/** All but the atomic members is used only on the connection's own strand. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    /** `isTurnedAway`: it is beyond the limit of connections; its first request is refused, and it is closed. */
    static std::shared_ptr<Connection> create(boost::asio::ip::tcp::socket socket, const Limits &limits, ReceiveBudget &budget, bool isTurnedAway);

    void enter(ConnectionState next);
    /** Gives up what the current state waits for at that time; Instant::max(): never. */
    void setDeadline(runtime::Instant instant);
    /** The deadline has passed since it was last set. */
    [[nodiscard]] bool hasExpired() const
    {
        return m_hasExpired;
    }
    /** Closes the connection if it is idle and the peer has sent nothing; it can be chosen again otherwise. */
    void evict();
    /** Ends what the connection waits for, because its deadline has passed or the budget has shed it. */
    void giveUp();
    /** Releases the part of the read buffer that holds no received bytes, and charges the budget with the rest. */
    void settleMemory();

    /** Its state, for the log. */
    [[nodiscard]] std::vector<log::Field> fields() const;

    boost::beast::tcp_stream stream;
    const bool isTurnedAway;
    /** Bytes received and not yet parsed. */
    boost::beast::flat_buffer buffer;
    ConnectionState state = ConnectionState::Idle;
    /** When the state began. */
    runtime::Instant stateSince{};
    /** Method and target of the request that is being answered. */
    std::string request;
    /** Null unless a request is being answered. */
    std::shared_ptr<Call> call;
    std::unique_ptr<ReceiveBudget::Account> account;

    /** True from the first byte of a request until its answer is written, or until the connection is closed after its last answer. */
    std::atomic<bool> isBusy{false};
    /** The answer that has been written is the last one on this connection. */
    std::atomic<bool> hasLastAnswer{false};
    /** When it was opened or became idle last. */
    std::atomic<runtime::Instant> idleSince;
    /** It has carried a complete request. */
    std::atomic<bool> hasServed{false};
    /** It has been told to close for a new connection. */
    std::atomic<bool> isEvicted{false};

private:
    Connection(boost::asio::ip::tcp::socket socket, std::size_t bufferLimit, bool turnsAway);
    void startTimer(runtime::Instant until);

    runtime::Timer m_timer;
    runtime::Instant m_deadline = runtime::Instant::max();
    /** When the timer looks at the deadline next. */
    runtime::Instant m_timerEnd = runtime::Instant::max();
    bool m_hasExpired = false;
};

/** Space for the first bytes of a request; most requests fit. */
constexpr std::size_t FirstReadBytes = 4096;

/** Size of a connection's read buffer, at most. */
[[nodiscard]] std::size_t readBufferLimit(const Limits &limits);

} // namespace plantainfork::http
