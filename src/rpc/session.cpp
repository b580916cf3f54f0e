#include "rpc/session.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "runtime/timer.h"

namespace plantainfork::rpc
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t ReadBufferBytes = 16 * 1024;
/** Bytes gathered from nghttp2 for one write to the socket. */
constexpr std::size_t WriteBatchBytes = 256 * 1024;
constexpr std::int32_t StreamWindowBytes = 1024 * 1024;
constexpr std::int32_t ConnectionWindowBytes = 8 * 1024 * 1024;
/** Capacity that m_outgoing keeps between writes: many sessions are idle, and each would keep its largest batch. */
constexpr std::size_t KeptOutgoingBytes = 16 * 1024;
/**
 * Frames that a peer may leave unread before this side reads no more from it. nghttp2 bounds answers to PING and SETTINGS, CONTINUATION
 * frames and the rate of RST_STREAM, but not the resets that refused streams and invalid frames evoke.
 */
constexpr std::size_t MaxQueuedFrames = 256;
constexpr std::chrono::milliseconds BacklogPollInterval{1};
/** RFC 9113, 6.5.2: what a field counts for besides its name and value. */
constexpr std::size_t HeaderFieldOverhead = 32;
/** Carries the absl::StatusCode of the reply; a payload with a non-zero code is the message. */
constexpr std::string_view StatusHeader = "rpc-status";

nghttp2_nv header(std::string_view name, std::string_view value)
{
    auto bytes = [](std::string_view text) {
        return const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

struct Session::Call {
    std::string method;
    std::string incoming;
    std::string outgoing;
    std::size_t outgoingOffset = 0;
    int statusCode = 0;
    /** The HEADERS frame has been handed to the socket. */
    bool isSent = false;
    bool isWhole = false;
    /** Server: the handler has answered. */
    bool isReplying = false;
    /** Size of the header list that is being received. */
    std::size_t headerListBytes = 0;
    /** When the payload or reply began, and when a byte of it last moved. */
    runtime::Instant transferStarted;
    runtime::Instant lastProgress;
    /** Server: the call and its payload, then its reply. Client: what has arrived of the reply. Shared with the handler's Respond, as a payload may outlive its
     * stream. */
    std::shared_ptr<PayloadCharge> charge;
    /** Part of the charge that stands for the capacity of incoming. */
    std::size_t chargedIncoming = 0;
    Completion completion;
    /** Set when this side gave the call up. */
    absl::Status cancelled;
};

/** nghttp2's C callbacks; each forwards to the session. */
struct Session::Callbacks {
    static Session &self(void *user)
    {
        return *static_cast<Session *>(user);
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        Session &session = self(user);
        if (session.m_role == SessionRole::Server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            auto call = std::make_unique<Call>();
            call->charge = std::make_shared<PayloadCharge>(session.m_budget);
            call->transferStarted = call->lastProgress = runtime::Clock::now();
            const bool hasRoom = call->charge->tryResize(CallOverheadBytes, PayloadBudget::Use::Arrival);
            session.m_calls.emplace(frame->hd.stream_id, std::move(call));
            if (!hasRoom) {
                session.refuse(frame->hd.stream_id, "total", NGHTTP2_REFUSED_STREAM);
            }
        } else if (Call *call = session.find(frame->hd.stream_id)) {
            call->headerListBytes = 0;
        }
        return 0;
    }

    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t,
                        void *user)
    {
        Session &session = self(user);
        Call *call = session.find(frame->hd.stream_id);
        if (!call) {
            return 0;
        }
        call->headerListBytes += nameLength + valueLength + HeaderFieldOverhead;
        if (call->headerListBytes > session.m_limits.headerListBytes) {
            session.refuse(frame->hd.stream_id, "header list", NGHTTP2_REFUSED_STREAM);
            return 0;
        }
        const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
        const std::string_view text(reinterpret_cast<const char *>(value), valueLength);
        if (key == ":path") {
            call->method = text;
            if (!call->charge->tryResize(CallOverheadBytes + text.size(), PayloadBudget::Use::Arrival)) {
                session.refuse(frame->hd.stream_id, "total", NGHTTP2_REFUSED_STREAM);
            }
        } else if (key == StatusHeader) {
            std::from_chars(text.data(), text.data() + text.size(), call->statusCode);
        }
        return 0;
    }

    static int onDataChunk(nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *data, std::size_t length, void *user)
    {
        Session &session = self(user);
        Call *call = session.find(stream);
        if (!call) {
            return 0;
        }
        if (call->incoming.size() + length > session.m_limits.payloadBytes) {
            session.refuse(stream, "payload", NGHTTP2_ENHANCE_YOUR_CALM);
        } else if (!session.append(*call, {reinterpret_cast<const char *>(data), length})) {
            session.refuse(stream, "total", NGHTTP2_REFUSED_STREAM);
        }
        return 0;
    }

    static int onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        Session &session = self(user);
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            session.m_isLeaving = true;
        }
        const bool endsStream = (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        Call *call = endsStream ? session.find(frame->hd.stream_id) : nullptr;
        if (call) {
            call->isWhole = true;
            if (session.m_role == SessionRole::Server) {
                session.dispatch(frame->hd.stream_id, *call);
            }
        }
        return 0;
    }

    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            if (Call *call = self(user).find(frame->hd.stream_id)) {
                call->isSent = true;
            }
        } else if (frame->hd.type == NGHTTP2_GOAWAY && frame->goaway.error_code != NGHTTP2_NO_ERROR) {
            self(user).m_isTerminated = true;
        }
        return 0;
    }

    static int onStreamClosed(nghttp2_session *, std::int32_t stream, std::uint32_t errorCode, void *user)
    {
        self(user).finishCall(stream, errorCode);
        return 0;
    }

    static ssize_t
    readPayload(nghttp2_session *, std::int32_t stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags, nghttp2_data_source *, void *user)
    {
        Call *call = self(user).find(stream);
        if (!call) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        const std::size_t count = std::min(length, call->outgoing.size() - call->outgoingOffset);
        std::copy_n(call->outgoing.data() + call->outgoingOffset, count, buffer);
        call->outgoingOffset += count;
        call->lastProgress = runtime::Clock::now();
        if (call->outgoingOffset == call->outgoing.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }
};

Session::Session(asio::ip::tcp::socket socket, SessionRole role, Limits limits, std::shared_ptr<PayloadBudget> budget)
    : m_socket(std::move(socket))
    , m_role(role)
    , m_limits(limits)
    , m_budget(std::move(budget))
    , m_lastReceived(runtime::Clock::now())
    , m_outgoingCharge(m_budget)
    , m_writeStarted(m_lastReceived)
{
    createSession();
}

Session::~Session()
{
    nghttp2_session_del(m_session);
}

void Session::setCallHandler(CallHandler handler)
{
    m_handler = std::move(handler);
}

void Session::createSession()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::onDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::onFrameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Callbacks::onFrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::onStreamClosed);
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    // Streams that have ended are kept for priorities otherwise, as many as may be open.
    nghttp2_option_set_no_closed_streams(option, 1);
    const int result = m_role == SessionRole::Client ? nghttp2_session_client_new2(&m_session, callbacks, this, option)
                                                     : nghttp2_session_server_new2(&m_session, callbacks, this, option);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    assert(result == 0);
    static_cast<void>(result);
    const std::array<nghttp2_settings_entry, 4> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(m_limits.streams)},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(StreamWindowBytes)},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(m_limits.headerListBytes)},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes);
}

asio::awaitable<void> Session::run()
{
    const auto self = shared_from_this();
    asio::co_spawn(m_socket.get_executor(), beat(), asio::detached);
    flush();
    std::vector<std::uint8_t> buffer(ReadBufferBytes);
    while (!m_isClosed) {
        boost::system::error_code error;
        const std::size_t count = co_await m_socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        m_lastReceived = runtime::Clock::now();
        if (nghttp2_session_mem_recv(m_session, buffer.data(), count) < 0) {
            break;
        }
        flush();
        closeIfDone();
        while (!m_isClosed && (m_isTerminated || hasBacklog())) {
            co_await runtime::sleepFor(BacklogPollInterval);
        }
    }
    close();
}

void Session::closeIfDone()
{
    const bool isDone = m_role == SessionRole::Client && m_isLeaving && m_calls.empty() && !m_isWriting;
    if (isDone && !m_isClosed && nghttp2_session_want_write(m_session) == 0) {
        close();
    }
}

asio::awaitable<void> Session::beat()
{
    const auto self = shared_from_this();
    while (!m_isClosed) {
        co_await runtime::sleepFor(m_limits.heartbeatInterval);
        const auto now = runtime::Clock::now();
        const auto silence = now - m_lastReceived;
        const bool isWriteStuck = m_isWriting && !m_outgoing.empty() && now - m_writeStarted >= m_limits.transferTimeout;
        giveUpStalled();
        if (silence >= m_limits.silenceLimit || isWriteStuck) {
            close();
        } else if (!m_isClosed && silence >= m_limits.heartbeatInterval) {
            nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
            flush();
        }
    }
}

std::int32_t Session::submit(std::string_view method, std::string payload, Completion completion)
{
    if (!isUsable()) {
        return 0;
    }
    auto call = std::make_unique<Call>();
    call->outgoing = std::move(payload);
    call->completion = std::move(completion);
    call->charge = std::make_shared<PayloadCharge>(m_budget);
    const std::array<nghttp2_nv, 4> headers{
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":authority", "plantainfork"),
        header(":path", method),
    };
    nghttp2_data_provider provider{};
    provider.read_callback = Callbacks::readPayload;
    const std::int32_t stream = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream < 0) {
        m_isLeaving = true;
        return 0;
    }
    m_calls.emplace(stream, std::move(call));
    flush();
    return stream;
}

void Session::cancel(std::int32_t stream, absl::Status status)
{
    giveUp(stream, std::move(status), NGHTTP2_CANCEL);
}

void Session::giveUp(std::int32_t stream, absl::Status status, std::uint32_t errorCode)
{
    Call *call = find(stream);
    if (!call) {
        return;
    }
    call->cancelled = std::move(status);
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, errorCode);
    finishCall(stream, errorCode);
    flush();
}

void Session::refuse(std::int32_t stream, const char *reason, std::uint32_t errorCode)
{
    m_budget->recordRefusal(reason, runtime::Clock::now());
    // A client's peer may have run the call, whatever became of its reply.
    if (m_role == SessionRole::Client) {
        errorCode = NGHTTP2_CANCEL;
    }
    giveUp(stream, absl::ResourceExhaustedError(std::string("reply exceeds the limit: ") + reason), errorCode);
}

bool Session::append(Call &call, std::string_view bytes)
{
    const std::size_t needed = call.incoming.size() + bytes.size();
    const std::size_t capacity = call.incoming.capacity();
    if (needed > capacity) {
        const std::size_t others = call.charge->bytes() - std::min(call.charge->bytes(), call.chargedIncoming);
        std::size_t target = std::min(std::max(needed, 2 * capacity), m_limits.payloadBytes);
        if (!call.charge->tryResize(others + target, PayloadBudget::Use::Arrival)) {
            target = needed;
            if (!call.charge->tryResize(others + target, PayloadBudget::Use::Arrival)) {
                return false;
            }
        }
        call.chargedIncoming = target;
        call.incoming.reserve(target);
    }
    call.incoming.append(bytes);
    call.lastProgress = runtime::Clock::now();
    return true;
}

void Session::giveUpStalled()
{
    if (m_role == SessionRole::Client) {
        // The caller's deadline limits each call.
        return;
    }
    const runtime::Instant now = runtime::Clock::now();
    std::vector<std::int32_t> stalled;
    for (const auto &[stream, call] : m_calls) {
        const bool isTransfer = !call->isWhole || call->isReplying;
        if (isTransfer && (now - call->lastProgress >= m_limits.progressTimeout || now - call->transferStarted >= m_limits.transferTimeout)) {
            stalled.push_back(stream);
        }
    }
    for (const std::int32_t stream : stalled) {
        const bool isWhole = find(stream)->isWhole;
        refuse(stream, isWhole ? "reply not taken" : "payload not finished", isWhole ? NGHTTP2_INTERNAL_ERROR : NGHTTP2_REFUSED_STREAM);
    }
}

bool Session::hasBacklog() const
{
    // A client's own requests wait in the queue too, and its peer can evoke few frames without push.
    return m_role == SessionRole::Server && nghttp2_session_get_outbound_queue_size(m_session) > MaxQueuedFrames;
}

void Session::dispatch(std::int32_t stream, Call &call)
{
    const std::weak_ptr<Session> weak = weak_from_this();
    const auto executor = m_socket.get_executor();
    m_handler(call.method, std::move(call.incoming), [weak, executor, stream, charge = call.charge](absl::StatusOr<std::string> result) {
        asio::dispatch(executor, [weak, stream, result = std::move(result)]() mutable {
            if (const auto self = weak.lock()) {
                self->respond(stream, std::move(result));
            }
        });
    });
}

void Session::respond(std::int32_t stream, absl::StatusOr<std::string> result)
{
    Call *call = find(stream);
    if (!call || m_isClosed) {
        return;
    }
    const std::string code = std::to_string(static_cast<int>(result.status().code()));
    call->outgoing = result.ok() ? std::move(result).value() : std::string(result.status().message());
    call->incoming = std::string();
    call->isReplying = true;
    call->transferStarted = call->lastProgress = runtime::Clock::now();
    if (!call->charge->tryResize(CallOverheadBytes + call->outgoing.capacity(), PayloadBudget::Use::Reply)) {
        refuse(stream, "replies", NGHTTP2_INTERNAL_ERROR);
        return;
    }
    const std::array<nghttp2_nv, 2> headers{header(":status", "200"), header(StatusHeader, code)};
    nghttp2_data_provider provider{};
    provider.read_callback = Callbacks::readPayload;
    nghttp2_submit_response(m_session, stream, headers.data(), headers.size(), &provider);
    flush();
}

void Session::finishCall(std::int32_t stream, std::uint32_t errorCode)
{
    const auto found = m_calls.find(stream);
    if (found == m_calls.end()) {
        return;
    }
    const std::unique_ptr<Call> call = std::move(found->second);
    m_calls.erase(found);
    if (!call->completion) {
        return;
    }
    if (call->isWhole && errorCode == NGHTTP2_NO_ERROR) {
        if (call->statusCode == 0) {
            call->completion({Delivery::Answered, std::move(call->incoming)});
        } else {
            call->completion({Delivery::Answered, absl::Status(static_cast<absl::StatusCode>(call->statusCode), call->incoming)});
        }
        return;
    }
    const bool isUnprocessed = !call->isSent || errorCode == NGHTTP2_REFUSED_STREAM;
    absl::Status status = !call->cancelled.ok() ? call->cancelled : absl::UnavailableError("connection ended before the reply");
    call->completion({isUnprocessed ? Delivery::NotSent : Delivery::Sent, std::move(status)});
}

void Session::flush()
{
    if (m_isWriting || m_isClosed) {
        return;
    }
    m_isWriting = true;
    // Later, as nghttp2 may not be asked for output within its own callbacks, and so that what is submitted together leaves together.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->write();
    });
}

void Session::write()
{
    m_outgoing.clear();
    if (m_outgoing.capacity() > KeptOutgoingBytes) {
        m_outgoing = std::string();
    }
    while (!m_isClosed && m_outgoing.size() < WriteBatchBytes) {
        const std::uint8_t *bytes = nullptr;
        const ssize_t count = nghttp2_session_mem_send(m_session, &bytes);
        if (count <= 0) {
            break;
        }
        m_outgoing.append(reinterpret_cast<const char *>(bytes), static_cast<std::size_t>(count));
    }
    if (m_role == SessionRole::Server) {
        m_outgoingCharge.resize(m_outgoing.size());
    }
    if (m_outgoing.empty()) {
        m_isWriting = false;
        return;
    }
    m_writeStarted = runtime::Clock::now();
    asio::async_write(m_socket, asio::buffer(m_outgoing), [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error || self->m_isTerminated) {
            self->close();
        }
        self->write();
    });
}

void Session::refuseNewCalls()
{
    if (m_isClosed) {
        return;
    }
    m_isLeaving = true;
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session), NGHTTP2_NO_ERROR, nullptr, 0);
    flush();
}

void Session::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    while (!m_calls.empty()) {
        finishCall(m_calls.begin()->first, NGHTTP2_CONNECT_ERROR);
    }
}

bool Session::isUsable() const
{
    return !m_isClosed && !m_isLeaving;
}

std::size_t Session::openCalls() const
{
    return m_calls.size();
}

Session::Call *Session::find(std::int32_t stream)
{
    const auto found = m_calls.find(stream);
    return found == m_calls.end() ? nullptr : found->second.get();
}

} // namespace plantainfork::rpc
