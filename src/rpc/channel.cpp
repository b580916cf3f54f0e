#include "rpc/channel.h"

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rpc/one_shot.h"
#include "rpc/session.h"
#include "runtime/timer.h"

namespace plantainfork::rpc
{

namespace asio = boost::asio;
using asio::ip::tcp;

/** All members but peer, limits and budget are used on the strand only. */
struct Channel::State : std::enable_shared_from_this<Channel::State> {
    State(const asio::any_io_executor &executor, wire::Address givenPeer, Limits givenLimits, std::shared_ptr<PayloadBudget> givenBudget)
        : strand(asio::make_strand(executor))
        , peer(std::move(givenPeer))
        , limits(givenLimits)
        , budget(givenBudget ? std::move(givenBudget) : std::make_shared<PayloadBudget>(givenLimits))
        , deadlineTimer(strand)
    {
    }

    struct PendingCall {
        std::string method;
        std::string payload;
        runtime::Instant deadline;
        Completion completion;
    };
    struct OpenCall {
        std::weak_ptr<Session> session;
        std::int32_t stream = 0;
    };
    using Deadlines = std::multimap<runtime::Instant, OpenCall>;

    void begin(PendingCall call);
    void submit(PendingCall call);
    asio::awaitable<void> connect();
    void endConnect();
    void watchDeadlines();
    void cancelExpired();

    asio::strand<asio::any_io_executor> strand;
    const wire::Address peer;
    const Limits limits;
    const std::shared_ptr<PayloadBudget> budget;
    std::shared_ptr<Session> session;
    bool isConnecting = false;
    absl::Status lastConnect;
    /** Calls that wait for the attempt to connect; empty unless isConnecting. It ends within limits.connectTimeout. */
    std::deque<PendingCall> pending;
    /** Open calls by deadline. */
    Deadlines deadlines;
    /** Runs until timerUntil while deadlines isn't empty. */
    runtime::Timer deadlineTimer;
    runtime::Instant timerUntil = runtime::Instant::max();
};

void Channel::State::begin(PendingCall call)
{
    if (session && session->isUsable()) {
        submit(std::move(call));
        return;
    }
    pending.push_back(std::move(call));
    if (!isConnecting) {
        isConnecting = true;
        asio::co_spawn(strand, connect(), asio::detached);
    }
}

asio::awaitable<void> Channel::State::connect()
{
    const auto self = shared_from_this();
    auto socket = std::make_shared<tcp::socket>(strand);
    runtime::Timer timeout(strand, runtime::Clock::now() + limits.connectTimeout);
    timeout.async_wait([socket](boost::system::error_code error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(peer.host, error), peer.port);
    if (!error) {
        co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    }
    timeout.cancel();
    if (error || !socket->is_open()) {
        lastConnect = absl::UnavailableError("can't connect to " + peer.host + ":" + std::to_string(peer.port) + ": " + error.message());
    } else {
        socket->set_option(tcp::no_delay(true), error);
        lastConnect = absl::OkStatus();
        session = std::make_shared<Session>(std::move(*socket), SessionRole::Client, limits, budget);
        asio::co_spawn(strand, session->run(), asio::detached);
    }
    endConnect();
}

void Channel::State::endConnect()
{
    isConnecting = false;
    for (PendingCall &call : std::exchange(pending, {})) {
        if (!lastConnect.ok()) {
            call.completion({Delivery::NotSent, lastConnect});
        } else {
            submit(std::move(call));
        }
    }
}

void Channel::State::submit(PendingCall call)
{
    if (runtime::Clock::now() >= call.deadline) {
        call.completion({Delivery::NotSent, absl::DeadlineExceededError("deadline passed before the call was sent")});
        return;
    }
    const auto entry = deadlines.emplace(call.deadline, OpenCall{session, 0});
    const std::int32_t stream =
        session->submit(call.method, std::move(call.payload), [self = shared_from_this(), entry, completion = call.completion](CallResult result) {
            self->deadlines.erase(entry);
            completion(std::move(result));
        });
    if (stream == 0) {
        deadlines.erase(entry);
        call.completion({Delivery::NotSent, absl::UnavailableError("connection is leaving")});
        return;
    }
    // The completion never runs within submit(), so the entry is still there.
    entry->second.stream = stream;
    watchDeadlines();
}

void Channel::State::watchDeadlines()
{
    if (deadlines.empty() || deadlines.begin()->first >= timerUntil) {
        return;
    }
    timerUntil = deadlines.begin()->first;
    deadlineTimer.expires_at(timerUntil);
    deadlineTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->cancelExpired();
        }
    });
}

void Channel::State::cancelExpired()
{
    timerUntil = runtime::Instant::max();
    const runtime::Instant now = runtime::Clock::now();
    std::vector<OpenCall> expired;
    for (auto next = deadlines.begin(); next != deadlines.end() && next->first <= now; ++next) {
        expired.push_back(next->second);
    }
    for (const OpenCall &call : expired) {
        // An ended session has completed its calls, and each completion removes its entry.
        if (const auto used = call.session.lock()) {
            used->cancel(call.stream, absl::DeadlineExceededError("no reply before the deadline"));
        }
    }
    watchDeadlines();
}

Channel::Channel(const asio::any_io_executor &executor, wire::Address peer, Limits limits, std::shared_ptr<PayloadBudget> budget)
    : m_state(std::make_shared<State>(executor, std::move(peer), limits, std::move(budget)))
{
}

Channel::~Channel()
{
    reset();
}

void Channel::start(std::string_view method, std::string payload, runtime::Instant deadline, Completion completion)
{
    State::PendingCall call{std::string(method), std::move(payload), deadline, std::move(completion)};
    asio::dispatch(m_state->strand, [state = m_state, call = std::move(call)]() mutable {
        state->begin(std::move(call));
    });
}

asio::awaitable<CallResult> Channel::call(std::string_view method, std::string payload, runtime::Instant deadline)
{
    const auto result = std::make_shared<OneShot<CallResult>>();
    start(method, std::move(payload), deadline, [result](CallResult ended) {
        result->set(std::move(ended));
    });
    co_return co_await result->wait();
}

const wire::Address &Channel::peer() const
{
    return m_state->peer;
}

void Channel::reset()
{
    asio::post(m_state->strand, [state = m_state] {
        if (state->session) {
            state->session->close();
            state->session.reset();
        }
    });
}

} // namespace plantainfork::rpc
