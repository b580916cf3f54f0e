/**
 * Synchronizes an entry with another entry: receives the members of its subtree, newer configuration, and the
 * proof that its configuration is current. Each entry calls every other entry, so all entries know all members,
 * and an entry that only lost its connection to the store can continue using the proofs of its peers.
 */
#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>

#include "membership/node.h"
#include "rpc/channel_pool.h"
#include "runtime/jitter.h"

namespace plantainfork::membership
{

/** Delay before the next call after the peer failed to answer. */
constexpr runtime::Backoff PeerBackoff{std::chrono::milliseconds(100), std::chrono::milliseconds(2000)};

/** Runs on the node's strand. Owned by shared pointer because its coroutine can outlive the caller's reference. */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(std::shared_ptr<Node> node, wire::Address peer, rpc::ChannelPool &channels);

    /** Runs until the node stops. */
    boost::asio::awaitable<void> run();

private:
    void applyReply(wire::SyncReply reply, runtime::Instant askedAt);

    const std::shared_ptr<Node> m_node;
    const wire::Address m_peer;
    rpc::ChannelPool &m_channels;
    /** Position in the peer's log of member changes up to which they were received. */
    std::uint64_t m_receivedUpTo = 0;
    /** The peer's revision in its last reply. While it is unknown, no configuration is sent to the peer. */
    std::optional<base::Revision> m_peerRevision;
    unsigned m_consecutiveFailures = 0;
};

} // namespace plantainfork::membership
