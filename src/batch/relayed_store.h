/**
 * A store client that goes through another entry while the store turns this one away. Every write here is conditional, so one whose
 * answer was lost may be repeated on the other way: at most one of the two takes effect, and the caller sees a conflict if it was the
 * first.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include "log/log.h"
#include "rpc/channel_pool.h"
#include "store/key_value.h"

namespace plantainfork::batch
{

enum class RelayedOperation : std::uint8_t {
    Read,
    ReadPrefix,
    Follow,
    Transact,
};

/** What a store answered to another entry. */
struct RelayReply {
    /** An absl::StatusCode; 0 when the answer is below. */
    int code = 0;
    std::string message;
    store::ReadResult read;
    store::Changes changes;
    store::WriteResult write;

    MSGPACK_DEFINE_MAP(code, message, read, changes, write);
};

struct RelayCall {
    static constexpr std::string_view Method = "/batch/relay";
    using Reply = RelayReply;

    RelayedOperation operation = RelayedOperation::Read;
    std::string key;
    store::Index after;
    /** Follow: how long to wait. Others: the bound on the call. */
    std::chrono::milliseconds time{0};
    std::vector<store::Write> writes;

    MSGPACK_DEFINE_MAP(operation, key, after, time, writes);
};

/** Carries out another entry's call, on this entry's own way to the store only. */
template<store::ChangeFeed Store>
boost::asio::awaitable<absl::StatusOr<RelayReply>> serveRelay(Store &store, RelayCall call)
{
    RelayReply reply;
    const auto deadline = runtime::Clock::now() + call.time;
    absl::Status status;
    if (call.operation == RelayedOperation::Transact) {
        reply.write = co_await store.transact(std::move(call.writes), deadline);
    } else if (call.operation == RelayedOperation::Follow) {
        auto changes = co_await store.followPrefix(std::move(call.key), call.after, call.time);
        status = changes.status();
        reply.changes = changes.ok() ? std::move(*changes) : store::Changes();
    } else if (call.operation == RelayedOperation::Read) {
        auto read = co_await store.read(std::move(call.key), deadline);
        status = read.status();
        reply.read = read.ok() ? std::move(*read) : store::ReadResult();
    } else {
        auto read = co_await store.readPrefix(std::move(call.key), deadline);
        status = read.status();
        reply.read = read.ok() ? std::move(*read) : store::ReadResult();
    }
    reply.code = static_cast<int>(status.code());
    reply.message = std::string(status.message());
    co_return reply;
}

template<store::ChangeFeed Store>
class RelayedStore
{
public:
    /** `peers` tells the other entries at the time of a call. */
    using Peers = std::function<std::vector<wire::Address>()>;

    RelayedStore(Store &direct, rpc::ChannelPool &channels, Peers peers)
        : m_direct(direct)
        , m_channels(channels)
        , m_peers(std::move(peers))
    {
    }

    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> read(std::string key, runtime::Instant deadline)
    {
        if (isDirectTried()) {
            auto result = co_await m_direct.read(key, directDeadline(deadline));
            noteDirect(result.status());
            if (result.ok() || !hasTime(deadline)) {
                co_return result;
            }
        }
        RelayCall call = describe(RelayedOperation::Read, std::move(key), deadline);
        const auto reply = co_await relay(std::move(call), deadline);
        co_return readOf(reply);
    }

    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> readPrefix(std::string prefix, runtime::Instant deadline)
    {
        if (isDirectTried()) {
            auto result = co_await m_direct.readPrefix(prefix, directDeadline(deadline));
            noteDirect(result.status());
            if (result.ok() || !hasTime(deadline)) {
                co_return result;
            }
        }
        RelayCall call = describe(RelayedOperation::ReadPrefix, std::move(prefix), deadline);
        const auto reply = co_await relay(std::move(call), deadline);
        co_return readOf(reply);
    }

    boost::asio::awaitable<absl::StatusOr<store::Changes>> followPrefix(std::string prefix, store::Index after, std::chrono::milliseconds wait)
    {
        if (isDirectTried()) {
            auto changes = co_await m_direct.followPrefix(prefix, after, wait);
            const bool isAnswer = changes.ok() || absl::IsOutOfRange(changes.status());
            noteDirect(isAnswer ? absl::OkStatus() : changes.status());
            if (isAnswer) {
                co_return changes;
            }
        }
        const auto deadline = runtime::Clock::now() + wait + FollowMargin;
        RelayCall call = describe(RelayedOperation::Follow, std::move(prefix), deadline);
        call.after = after;
        call.time = wait;
        const auto reply = co_await relay(std::move(call), deadline);
        if (!reply.ok()) {
            co_return reply.status();
        }
        if (reply->code != 0) {
            co_return absl::Status(static_cast<absl::StatusCode>(reply->code), reply->message);
        }
        co_return reply->changes;
    }

    boost::asio::awaitable<store::WriteResult> transact(std::vector<store::Write> writes, runtime::Instant deadline)
    {
        store::WriteResult first;
        first.outcome = store::WriteOutcome::NotSent;
        if (isDirectTried()) {
            first = co_await m_direct.transact(writes, directDeadline(deadline));
            const bool isAnswer = first.outcome == store::WriteOutcome::Applied || first.outcome == store::WriteOutcome::Conflict;
            noteDirect(isAnswer ? absl::OkStatus() : absl::UnavailableError(first.reason));
            if (isAnswer || !hasTime(deadline)) {
                co_return first;
            }
        }
        RelayCall call = describe(RelayedOperation::Transact, std::string(), deadline);
        call.writes = std::move(writes);
        const auto reply = co_await relay(std::move(call), deadline);
        if (reply.ok() && (reply->write.outcome != store::WriteOutcome::NotSent)) {
            co_return reply->write;
        }
        if (!reply.ok() && !absl::IsFailedPrecondition(reply.status())) {
            first.outcome = store::WriteOutcome::Unknown;
        }
        first.reason += reply.ok() ? "; relayed: " + reply->write.reason : "; relayed: " + std::string(reply.status().message());
        co_return first;
    }

    /** Leases are taken only by an entry that reaches the store itself. */
    boost::asio::awaitable<absl::StatusOr<store::SessionId>> createSession(std::chrono::milliseconds life, runtime::Instant deadline)
    {
        return m_direct.createSession(life, deadline);
    }
    boost::asio::awaitable<absl::Status> renewSession(store::SessionId session, runtime::Instant deadline)
    {
        return m_direct.renewSession(std::move(session), deadline);
    }
    boost::asio::awaitable<absl::Status> destroySession(store::SessionId session, runtime::Instant deadline)
    {
        return m_direct.destroySession(std::move(session), deadline);
    }
    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> watchPrefix(std::string prefix, store::Index after, std::chrono::milliseconds wait)
    {
        return m_direct.watchPrefix(std::move(prefix), after, wait);
    }

private:
    /** A direct call without an answer for this long goes the other way; a slow store takes up to a third of a second. */
    static constexpr std::chrono::milliseconds DirectTry{450};
    /** After a failure the other way is used for this long before the direct one is tried again. */
    static constexpr std::chrono::milliseconds DirectPause{1000};
    static constexpr std::chrono::milliseconds FollowMargin{700};
    /** Less time than this left is no use for another way. */
    static constexpr std::chrono::milliseconds LeastTime{40};
    /** After all peers failed, callers are told at once for this long, rather than held for the time of another round. */
    static constexpr std::chrono::milliseconds PeersPause{500};
    /** A peer that doesn't answer is left for the next one after this. */
    static constexpr std::chrono::milliseconds PeerTry{700};

    [[nodiscard]] bool isDirectTried() const
    {
        return runtime::Clock::now() >= m_directAgainAt || m_peers().empty();
    }
    [[nodiscard]] runtime::Instant directDeadline(runtime::Instant deadline) const
    {
        return m_peers().empty() ? deadline : std::min(deadline, runtime::Clock::now() + DirectTry);
    }
    static bool hasTime(runtime::Instant deadline)
    {
        return runtime::Clock::now() + LeastTime < deadline;
    }

    void noteDirect(const absl::Status &status)
    {
        const bool isWell = status.ok();
        if (isWell != m_isDirectWell) {
            log::write(isWell ? log::Severity::Info : log::Severity::Warning,
                       isWell ? "store reached again" : "store turned this entry away, going through peers",
                       {{"reason", std::string(status.message())}, {"peers", std::to_string(m_peers().size())}});
        }
        m_isDirectWell = isWell;
        m_directAgainAt = isWell ? runtime::Instant() : runtime::Clock::now() + DirectPause;
    }

    static RelayCall describe(RelayedOperation operation, std::string key, runtime::Instant deadline)
    {
        RelayCall call;
        call.operation = operation;
        call.key = std::move(key);
        call.time = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - runtime::Clock::now());
        return call;
    }

    /** FailedPrecondition: no peer has received it. A call that a peer may have received is not sent to another one. */
    boost::asio::awaitable<absl::StatusOr<RelayReply>> relay(RelayCall call, runtime::Instant deadline)
    {
        const auto peers = m_peers();
        absl::Status last = absl::FailedPreconditionError("no way to the store");
        if (runtime::Clock::now() < m_peersAgainAt) {
            co_return last;
        }
        for (std::size_t i = 0; i < peers.size() && hasTime(deadline); ++i) {
            const auto &peer = peers[(m_peer + i) % peers.size()];
            const auto channel = m_channels.to(peer);
            const bool isWaiting = call.operation == RelayedOperation::Follow;
            const auto until = isWaiting ? deadline : std::min(deadline, runtime::Clock::now() + PeerTry);
            auto result = co_await rpc::call(*channel, call, until);
            if (result.reply.ok()) {
                m_peer = (m_peer + i) % peers.size();
                const bool isTurnedAway = result.reply->code == static_cast<int>(absl::StatusCode::kUnavailable)
                    || (call.operation == RelayedOperation::Transact && result.reply->write.outcome == store::WriteOutcome::NotSent);
                if (!isTurnedAway || i + 1 == peers.size()) {
                    co_return std::move(*result.reply);
                }
                continue;
            }
            const bool mayHaveLanded = result.delivery != rpc::Delivery::NotSent && call.operation == RelayedOperation::Transact;
            last = mayHaveLanded ? absl::UnavailableError(result.reply.status().message()) : absl::FailedPreconditionError(result.reply.status().message());
            if (mayHaveLanded) {
                break;
            }
        }
        m_peersAgainAt = runtime::Clock::now() + PeersPause;
        co_return last;
    }

    static absl::StatusOr<store::ReadResult> readOf(const absl::StatusOr<RelayReply> &reply)
    {
        if (!reply.ok()) {
            return reply.status();
        }
        if (reply->code != 0) {
            return absl::Status(static_cast<absl::StatusCode>(reply->code), reply->message);
        }
        return reply->read;
    }

    Store &m_direct;
    rpc::ChannelPool &m_channels;
    Peers m_peers;
    bool m_isDirectWell = true;
    runtime::Instant m_directAgainAt{};
    /** No peer answered; until then calls fail at once. */
    runtime::Instant m_peersAgainAt{};
    /** The peer that answered last. */
    std::size_t m_peer = 0;
};

} // namespace plantainfork::batch

MSGPACK_ADD_ENUM(plantainfork::batch::RelayedOperation);
