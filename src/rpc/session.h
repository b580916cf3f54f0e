/**
 * One HTTP/2 connection between two daemons: moves bytes between the socket and nghttp2 and keeps the
 * heartbeat. Client and Server sessions differ only in what they do with a finished stream.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include "rpc/payload_budget.h"
#include "rpc/peer.h"
#include "runtime/clock.h"

namespace plantainfork::rpc
{

enum class SessionRole {
    Client,
    Server,
};

/** All members are used on the socket's executor, which must be a strand. */
class Session : public std::enable_shared_from_this<Session>
{
public:
    using Respond = std::function<void(absl::StatusOr<std::string>)>;
    /** Server: a whole call has arrived. Respond may be called once, from any thread. */
    using CallHandler = std::function<void(std::string method, std::string payload, Respond respond)>;
    /** Client: a call has ended. */
    using Completion = std::function<void(CallResult)>;

    /** Payloads are charged to the budget, which sessions share. */
    Session(boost::asio::ip::tcp::socket socket, SessionRole role, Limits limits, std::shared_ptr<PayloadBudget> budget);
    ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /** Must be set before run() on the server's side. */
    void setCallHandler(CallHandler handler);

    /** Reads until the connection ends; every open call has then completed. */
    boost::asio::awaitable<void> run();

    /** Client: starts a call. The completion runs on the strand. Returns the stream, or 0 when the session is closed. */
    std::int32_t submit(std::string_view method, std::string payload, Completion completion);
    /** Client: gives a call up; it completes with the status and with Sent or NotSent as the case may be. */
    void cancel(std::int32_t stream, absl::Status status);

    /**
     * Announces that no further calls are taken; those open go on. The client's side then closes the connection
     * after the last reply: a server that closed first could cut replies that are still on their way.
     */
    void refuseNewCalls();
    void close();

    [[nodiscard]] bool isUsable() const;
    [[nodiscard]] std::size_t openCalls() const;

private:
    struct Call;
    struct Callbacks;

    void createSession();
    boost::asio::awaitable<void> beat();
    void flush();
    void write();
    void respond(std::int32_t stream, absl::StatusOr<std::string> result);
    /** Resets a stream and forgets its call at once, as the peer may never read the reset. */
    void giveUp(std::int32_t stream, absl::Status status, std::uint32_t errorCode);
    /** The same because of a limit, which is counted. */
    void refuse(std::int32_t stream, const char *reason, std::uint32_t errorCode);
    /** Appends to what has arrived of a call's payload; false when there is no room. */
    [[nodiscard]] bool append(Call &call, std::string_view bytes);
    void giveUpStalled();
    [[nodiscard]] bool hasBacklog() const;
    void finishCall(std::int32_t stream, std::uint32_t errorCode);
    void closeIfDone();
    void dispatch(std::int32_t stream, Call &call);
    Call *find(std::int32_t stream);

    boost::asio::ip::tcp::socket m_socket;
    const SessionRole m_role;
    const Limits m_limits;
    const std::shared_ptr<PayloadBudget> m_budget;
    CallHandler m_handler;
    nghttp2_session *m_session = nullptr;
    std::map<std::int32_t, std::unique_ptr<Call>> m_calls;
    runtime::Instant m_lastReceived;
    /** Bytes on their way to the socket; unchanged while m_isWriting. */
    std::string m_outgoing;
    /** Server: the bytes of m_outgoing, which outlive their streams when the peer doesn't read. */
    PayloadCharge m_outgoingCharge;
    /** Start of the write under way. */
    runtime::Instant m_writeStarted;
    /** A write is under way or about to start. */
    bool m_isWriting = false;
    bool m_isClosed = false;
    /** nghttp2 has ended the connection because of what the peer sent, and ignores all that arrives from now on. */
    bool m_isTerminated = false;
    /** The peer or this side has sent GOAWAY. */
    bool m_isLeaving = false;
};

} // namespace plantainfork::rpc
