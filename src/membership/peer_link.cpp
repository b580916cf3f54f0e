#include "membership/peer_link.h"

#include <utility>

#include "rpc/channel.h"

namespace plantainfork::membership
{

namespace asio = boost::asio;

namespace
{

/** Minimum time between the starts of two calls, so that member changes are sent in batches. */
constexpr std::chrono::milliseconds MinCallInterval{50};

} // namespace

PeerLink::PeerLink(std::shared_ptr<Node> node, wire::Address peer, rpc::ChannelPool &channels)
    : m_node(std::move(node))
    , m_peer(std::move(peer))
    , m_channels(channels)
{
}

asio::awaitable<void> PeerLink::run()
{
    const auto self = shared_from_this();
    while (!m_node->isStopped()) {
        wire::SyncCall call;
        const auto config = m_node->configHolder.config().load();
        call.from = m_node->ownRecord().id;
        call.incarnation = m_node->ownRecord().incarnation;
        call.revision = config->revision;
        call.lowestRevision = m_node->lowestRevision();
        call.membersFrom = m_receivedUpTo;
        call.holdTime = m_node->settings.timing.syncHold;
        if (m_peerRevision && *m_peerRevision < config->revision) {
            call.changes = config::changesAfter(*config, *m_peerRevision);
        }
        const runtime::Instant askedAt = runtime::Clock::now();
        const auto channel = m_channels.to(m_peer);
        auto result = co_await rpc::call(*channel, call, askedAt + call.holdTime + m_node->settings.timing.silenceLimit);
        if (!result.reply.ok()) {
            channel->reset();
            m_receivedUpTo = 0;
            m_peerRevision.reset();
            co_await runtime::sleepFor(PeerBackoff.delay(m_consecutiveFailures++));
            continue;
        }
        m_consecutiveFailures = 0;
        applyReply(std::move(*result.reply), askedAt);
        co_await runtime::sleepUntil(askedAt + MinCallInterval);
    }
}

void PeerLink::applyReply(wire::SyncReply reply, runtime::Instant askedAt)
{
    m_peerRevision = reply.revision;
    m_receivedUpTo = reply.membersUpTo;
    const bool isNewRevision = reply.changes && m_node->configHolder.merge(*reply.changes);
    if (reply.permit.revision <= m_node->configHolder.revision()) {
        m_node->confirmByPeer(reply.permit, askedAt + reply.held);
    }
    Neighbour &peer = m_node->neighbours[reply.from];
    peer.origin = Origin::Peer;
    peer.lastHeard = runtime::Clock::now();
    peer.lowestRevision = reply.lowestRevision;
    m_node->memberTable.setReachable(reply.from, true);
    for (const auto &record : reply.members) {
        m_node->applyRecord(record, reply.from, Origin::Peer);
    }
    if (isNewRevision) {
        m_node->notifyChildren();
    }
}

} // namespace plantainfork::membership
