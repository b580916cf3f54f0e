/**
 * The child's side of the uplink. Calls the parent continuously, sends the changes of its subtree and receives
 * configuration, permits and the parent to use. If the parent fails to answer, or a relay is too deep in the tree,
 * it falls back to an entry.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "membership/node.h"
#include "rpc/channel_pool.h"
#include "runtime/jitter.h"

namespace plantainfork::membership
{

/** Delay before the next call after a parent failed. */
constexpr runtime::Backoff UplinkBackoff{std::chrono::milliseconds(100), std::chrono::milliseconds(3000)};

/** Runs on the node's strand. Owned by shared pointer because its coroutine can outlive the caller's reference. */
class Uplink : public std::enable_shared_from_this<Uplink>
{
public:
    /** Called on the strand with each reply and the time from which its permit's lifetime is measured. */
    using ReplyHandler = std::function<void(const wire::SyncReply &reply, runtime::Instant permitFrom)>;

    Uplink(std::shared_ptr<Node> node, rpc::ChannelPool &channels, metrics::Registry &registry, ReplyHandler replyHandler);

    /** Runs until the node stops. */
    boost::asio::awaitable<void> run();

    /** Sends a final call with the node's own state to the parent and waits a limited time for the reply. */
    boost::asio::awaitable<void> sendLeaveCall();

    [[nodiscard]] const wire::Address &parent() const;
    [[nodiscard]] bool usesRelay() const;

private:
    /** A call, and the position in the member table up to which it contains the subtree's changes. */
    struct PreparedCall {
        wire::SyncCall call;
        std::uint64_t upTo = 0;
    };
    [[nodiscard]] PreparedCall makeCall(std::chrono::milliseconds holdTime) const;
    void applyReply(const wire::SyncCall &call, wire::SyncReply reply, runtime::Instant askedAt);
    void changeParent(const wire::Address &parent, bool isRelay);
    void fallBackToEntry();
    boost::asio::awaitable<void> waitForChildren();

    const std::shared_ptr<Node> m_node;
    rpc::ChannelPool &m_channels;
    const ReplyHandler m_replyHandler;
    /** All entries, rotated by a hash of this member's id so that members are distributed over them. */
    std::vector<wire::Address> m_entries;
    std::size_t m_entryIndex = 0;
    wire::Address m_parent;
    bool m_usesRelay = false;
    /** A relay that failed; it isn't used again before m_avoidedRelayUntil. */
    std::optional<wire::Address> m_avoidedRelay;
    runtime::Instant m_avoidedRelayUntil;
    /** Position in the member table up to which the parent has received its changes. */
    std::uint64_t m_sentUpTo = 0;
    bool m_mustSendAll = true;
    /** The parent's revision in its last reply. While it is unknown, no configuration is sent to the parent. */
    std::optional<base::Revision> m_parentRevision;
    unsigned m_consecutiveFailures = 0;
    metrics::Counter &m_callCount;
    metrics::Counter &m_failureCount;
    metrics::Counter &m_parentChanges;
};

} // namespace plantainfork::membership
