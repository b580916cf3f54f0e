/**
 * A store client that relays calls through another entry while this one can't reach the store. Every write is conditional, so a write
 * whose answer was lost may be repeated through a peer: at most one of the two is applied, and if it was the first one, the caller gets a
 * conflict.
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

/** The store's answer to a relayed call. */
struct RelayReply {
    /** An absl::StatusCode; 0 if the call succeeded and its result is in the field of its operation. */
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
    /** Follow: longest wait for a change. Other operations: timeout. */
    std::chrono::milliseconds time{0};
    /** ReadPrefix: store::ReadLimits::silence; 0 for a read that only its timeout limits. */
    std::chrono::milliseconds silence{0};
    std::vector<store::Write> writes;

    MSGPACK_DEFINE_MAP(operation, key, after, time, silence, writes);
};

/** Executes another entry's call. `store` must be this entry's direct client, so that a call is not relayed twice. */
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
        const store::ReadLimits limits{deadline, call.silence.count() > 0 ? call.silence : call.time};
        auto read = co_await store.readPrefix(std::move(call.key), limits);
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
    /** Returns the current addresses of the other entries. */
    using Peers = std::function<std::vector<wire::Address>()>;

    RelayedStore(Store &direct, rpc::ChannelPool &channels, Peers peers)
        : m_direct(direct)
        , m_channels(channels)
        , m_peers(std::move(peers))
    {
    }

    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> read(std::string key, runtime::Instant deadline)
    {
        if (shouldTryDirect()) {
            auto result = co_await m_direct.read(key, directDeadline(deadline));
            recordDirectResult(result.status());
            if (result.ok() || !hasTime(deadline)) {
                co_return result;
            }
        }
        RelayCall call = buildCall(RelayedOperation::Read, std::move(key), deadline);
        const auto reply = co_await relay(std::move(call), deadline);
        co_return toReadResult(reply);
    }

    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> readPrefix(std::string prefix, runtime::Instant deadline)
    {
        if (shouldTryDirect()) {
            auto result = co_await m_direct.readPrefix(prefix, directDeadline(deadline));
            recordDirectResult(result.status());
            if (result.ok() || !hasTime(deadline)) {
                co_return result;
            }
        }
        RelayCall call = buildCall(RelayedOperation::ReadPrefix, std::move(prefix), deadline);
        const auto reply = co_await relay(std::move(call), deadline);
        co_return toReadResult(reply);
    }

    /** The direct call is relayed when it is silent for too long, but not because its answer takes long. */
    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> readPrefix(std::string prefix, store::ReadLimits limits)
    {
        if (shouldTryDirect()) {
            const store::ReadLimits directLimits{limits.deadline, m_peers().empty() ? limits.silence : std::min(limits.silence, DirectTimeout)};
            auto result = co_await m_direct.readPrefix(prefix, directLimits);
            recordDirectResult(result.status());
            if (result.ok() || !hasTime(limits.deadline)) {
                co_return result;
            }
        }
        RelayCall call = buildCall(RelayedOperation::ReadPrefix, std::move(prefix), limits.deadline);
        call.silence = limits.silence;
        const auto reply = co_await relay(std::move(call), limits.deadline);
        co_return toReadResult(reply);
    }

    boost::asio::awaitable<absl::StatusOr<store::Changes>> followPrefix(std::string prefix, store::Index after, std::chrono::milliseconds wait)
    {
        const auto begin = runtime::Clock::now();
        if (shouldTryDirect()) {
            auto changes = co_await m_direct.followPrefix(prefix, after, wait);
            const bool isDefinite = changes.ok() || absl::IsOutOfRange(changes.status());
            recordDirectResult(isDefinite ? absl::OkStatus() : changes.status());
            if (isDefinite) {
                co_return changes;
            }
        }
        // A peer that waited as long again for changes would also need as long to notice that the store is silent.
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(runtime::Clock::now() - begin);
        const auto deadline = runtime::Clock::now() + wait + FollowMargin;
        RelayCall call = buildCall(RelayedOperation::Follow, std::move(prefix), deadline);
        call.after = after;
        call.time = std::max(wait - waited, MinFollowWait);
        const auto reply = co_await relay(std::move(call), deadline);
        if (!reply.ok()) {
            co_return reply.status();
        }
        if (reply->code != 0) {
            co_return absl::Status(static_cast<absl::StatusCode>(reply->code), reply->message);
        }
        co_return reply->changes;
    }

    /** After a direct call that ended without an answer, Conflict may mean that this call was carried out: only a read can tell. */
    boost::asio::awaitable<store::WriteResult> transact(std::vector<store::Write> writes, runtime::Instant deadline)
    {
        store::WriteResult directResult;
        directResult.outcome = store::WriteOutcome::NotSent;
        if (shouldTryDirect()) {
            directResult = co_await m_direct.transact(writes, directDeadline(deadline));
            const bool isDefinite = directResult.outcome == store::WriteOutcome::Applied || directResult.outcome == store::WriteOutcome::Conflict
                || directResult.outcome == store::WriteOutcome::Rejected;
            recordDirectResult(isDefinite ? absl::OkStatus() : absl::UnavailableError(directResult.reason));
            if (isDefinite || !hasTime(deadline)) {
                co_return directResult;
            }
        }
        RelayCall call = buildCall(RelayedOperation::Transact, std::string(), deadline);
        call.writes = std::move(writes);
        const auto reply = co_await relay(std::move(call), deadline);
        if (reply.ok() && (reply->write.outcome != store::WriteOutcome::NotSent)) {
            co_return reply->write;
        }
        if (!reply.ok() && !absl::IsFailedPrecondition(reply.status())) {
            directResult.outcome = store::WriteOutcome::Unknown;
        }
        directResult.reason += reply.ok() ? "; relayed: " + reply->write.reason : "; relayed: " + std::string(reply.status().message());
        co_return directResult;
    }

    /** The calls below are never relayed: only an entry that reaches the store itself may hold the lease. */
    boost::asio::awaitable<absl::StatusOr<store::SessionId>> createSession(std::chrono::milliseconds timeToLive, runtime::Instant deadline)
    {
        return m_direct.createSession(timeToLive, deadline);
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
    /** Timeout of a direct call before it is relayed; a slow store answers within a third of a second. */
    static constexpr std::chrono::milliseconds DirectTimeout{450};
    /** After a direct call has failed, calls are relayed for this long before the next direct attempt. */
    static constexpr std::chrono::milliseconds DirectRetryDelay{1000};
    /** Wait of a relayed follow call after a direct one that has taken the whole wait. */
    static constexpr std::chrono::milliseconds MinFollowWait{50};
    /**
     * Added to the wait of a relayed follow call, for the time that a large answer takes on the peer's line and on this one. A peer that
     * doesn't reach the store says so earlier, and the channel notices one that is gone.
     */
    static constexpr std::chrono::milliseconds FollowMargin{30'000};
    /** A call with less time than this left is not relayed. */
    static constexpr std::chrono::milliseconds MinTimeLeft{40};
    /** After all peers have failed, calls fail immediately for this long instead of waiting for every peer again. */
    static constexpr std::chrono::milliseconds PeersRetryDelay{500};
    /** Timeout of a call to one peer before the next one is tried. */
    static constexpr std::chrono::milliseconds PeerTimeout{700};

    [[nodiscard]] bool shouldTryDirect() const
    {
        return runtime::Clock::now() >= m_directRetryAt || m_peers().empty();
    }
    [[nodiscard]] runtime::Instant directDeadline(runtime::Instant deadline) const
    {
        return m_peers().empty() ? deadline : std::min(deadline, runtime::Clock::now() + DirectTimeout);
    }
    static bool hasTime(runtime::Instant deadline)
    {
        return runtime::Clock::now() + MinTimeLeft < deadline;
    }

    void recordDirectResult(const absl::Status &status)
    {
        const bool isAvailable = status.ok();
        if (isAvailable != m_isDirectAvailable) {
            log::write(isAvailable ? log::Severity::Info : log::Severity::Warning,
                       isAvailable ? "store reached again" : "store turned this entry away, going through peers",
                       {{"reason", std::string(status.message())}, {"peers", std::to_string(m_peers().size())}});
        }
        m_isDirectAvailable = isAvailable;
        m_directRetryAt = isAvailable ? runtime::Instant() : runtime::Clock::now() + DirectRetryDelay;
    }

    static RelayCall buildCall(RelayedOperation operation, std::string key, runtime::Instant deadline)
    {
        RelayCall call;
        call.operation = operation;
        call.key = std::move(key);
        call.time = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - runtime::Clock::now());
        return call;
    }

    /** Returns FailedPrecondition if no peer has received a write; a write that a peer may have received is not sent to another one. */
    boost::asio::awaitable<absl::StatusOr<RelayReply>> relay(RelayCall call, runtime::Instant deadline)
    {
        const auto peers = m_peers();
        absl::Status last = absl::FailedPreconditionError("no way to the store");
        const auto begin = runtime::Clock::now();
        if (begin < m_peersRetryAt) {
            co_return last;
        }
        const std::size_t first = m_firstPeer;
        for (std::size_t i = 0; i < peers.size() && hasTime(deadline); ++i) {
            const std::size_t index = (first + i) % peers.size();
            const auto channel = m_channels.to(peers[index]);
            const bool mayAnswerBeLarge = call.operation == RelayedOperation::Follow || call.silence.count() > 0;
            const auto until = mayAnswerBeLarge ? deadline : std::min(deadline, runtime::Clock::now() + PeerTimeout);
            auto result = co_await rpc::call(*channel, call, until);
            if (result.reply.ok() && isStoreReached(call, *result.reply)) {
                m_firstPeer = index;
                m_peersReachedAt = runtime::Clock::now();
                co_return std::move(*result.reply);
            }
            if (m_firstPeer % peers.size() == index) {
                m_firstPeer = (index + 1) % peers.size();
            }
            if (result.reply.ok()) {
                if (i + 1 == peers.size()) {
                    co_return std::move(*result.reply);
                }
                continue;
            }
            const bool mayBeApplied = result.delivery != rpc::Delivery::NotSent && call.operation == RelayedOperation::Transact;
            last = mayBeApplied ? absl::UnavailableError(result.reply.status().message()) : absl::FailedPreconditionError(result.reply.status().message());
            if (mayBeApplied) {
                break;
            }
        }
        // A call that began before others succeeded says nothing about the way as it is now.
        if (begin >= m_peersReachedAt) {
            m_peersRetryAt = runtime::Clock::now() + PeersRetryDelay;
        }
        co_return last;
    }

    /** Whether the peer had an answer of the store; a call that never left the peer may fail with another code than one without an answer. */
    static bool isStoreReached(const RelayCall &call, const RelayReply &reply)
    {
        if (call.operation == RelayedOperation::Transact) {
            return reply.write.outcome != store::WriteOutcome::NotSent;
        }
        return reply.code == static_cast<int>(absl::StatusCode::kOk) || reply.code == static_cast<int>(absl::StatusCode::kOutOfRange);
    }

    static absl::StatusOr<store::ReadResult> toReadResult(const absl::StatusOr<RelayReply> &reply)
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
    bool m_isDirectAvailable = true;
    runtime::Instant m_directRetryAt{};
    /** When the store last answered through a peer. */
    runtime::Instant m_peersReachedAt{};
    /** Until this time calls fail immediately, because no peer answered. */
    runtime::Instant m_peersRetryAt{};
    /** Index of the peer to ask first: the one that reached the store last, or the one after a peer that didn't. */
    std::size_t m_firstPeer = 0;
};

} // namespace plantainfork::batch

MSGPACK_ADD_ENUM(plantainfork::batch::RelayedOperation);
