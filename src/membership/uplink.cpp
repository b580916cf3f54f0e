#include "membership/uplink.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "rpc/channel.h"

namespace plantainfork::membership
{

namespace asio = boost::asio;

namespace
{

/** Minimum time between the starts of two calls when the revision didn't change, so that a parent that answers immediately isn't flooded. */
constexpr std::chrono::milliseconds MinCallInterval{50};
/** How long a relay waits for its children to apply a new revision, so that its next call can report it for the subtree. */
constexpr std::chrono::milliseconds ChildrenWaitLimit{200};
constexpr std::chrono::milliseconds ChildrenPollInterval{5};
constexpr std::chrono::milliseconds LeaveCallTimeout{1000};
/** How long a failed relay is avoided, as a multiple of the member timeout. */
constexpr int RelayAvoidanceFactor = 2;

} // namespace

Uplink::Uplink(std::shared_ptr<Node> node, rpc::ChannelPool &channels, metrics::Registry &registry, ReplyHandler replyHandler)
    : m_node(std::move(node))
    , m_channels(channels)
    , m_replyHandler(std::move(replyHandler))
    , m_entries(m_node->settings.entries)
    , m_callCount(registry.counter("plantainfork_uplink_calls_total"))
    , m_failureCount(registry.counter("plantainfork_uplink_failures_total"))
    , m_parentChanges(registry.counter("plantainfork_uplink_moves_total"))
{
    const std::size_t preferred = m_entries.empty() ? 0 : std::hash<base::MemberId>()(m_node->ownRecord().id) % m_entries.size();
    std::rotate(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(preferred), m_entries.end());
    if (!m_entries.empty()) {
        m_parent = m_entries.front();
    }
}

asio::awaitable<void> Uplink::run()
{
    const auto self = shared_from_this();
    while (!m_node->isStopped() && !m_entries.empty()) {
        const PreparedCall preparedCall = makeCall(m_node->settings.timing.syncHold);
        const wire::SyncCall &call = preparedCall.call;
        const runtime::Instant askedAt = runtime::Clock::now();
        const auto channel = m_channels.to(m_parent);
        const auto result = co_await rpc::call(*channel, call, askedAt + call.holdTime + m_node->settings.timing.silenceLimit);
        m_callCount.add();
        if (!result.reply.ok()) {
            channel->reset();
            fallBackToEntry();
            co_await runtime::sleepFor(UplinkBackoff.delay(m_consecutiveFailures++));
            continue;
        }
        m_consecutiveFailures = 0;
        m_mustSendAll = false;
        m_sentUpTo = preparedCall.upTo;
        const base::Revision before = m_node->configHolder.revision();
        applyReply(call, *result.reply, askedAt);
        if (m_node->configHolder.revision() != before) {
            co_await waitForChildren();
        } else {
            co_await runtime::sleepUntil(askedAt + MinCallInterval);
        }
    }
}

Uplink::PreparedCall Uplink::makeCall(std::chrono::milliseconds holdTime) const
{
    PreparedCall preparedCall;
    wire::SyncCall &call = preparedCall.call;
    const auto config = m_node->configHolder.config().load();
    call.from = m_node->ownRecord().id;
    call.incarnation = m_node->ownRecord().incarnation;
    call.revision = config->revision;
    call.lowestRevision = m_node->lowestRevision();
    call.whole = m_mustSendAll;
    MemberChanges changes = m_node->memberTable.changesAfter(m_mustSendAll ? 0 : m_sentUpTo, MaxRecordsPerMessage);
    call.changed = std::move(changes.records);
    preparedCall.upTo = changes.upTo;
    if (m_parentRevision && *m_parentRevision < config->revision) {
        call.changes = config::changesAfter(*config, *m_parentRevision);
    }
    call.holdTime = holdTime;
    return preparedCall;
}

void Uplink::applyReply(const wire::SyncCall &call, wire::SyncReply reply, runtime::Instant askedAt)
{
    const runtime::Instant permitFrom = askedAt + reply.held;
    m_parentRevision = reply.revision;
    if (reply.changes) {
        m_node->configHolder.merge(*reply.changes);
    }
    if (reply.permit.revision <= m_node->configHolder.revision()) {
        m_node->freshness.confirmByPermit(reply.permit, permitFrom);
    }
    m_node->depth = std::min(reply.depth, MaxDepth) + 1;
    m_replyHandler(reply, permitFrom);
    m_node->notifyChildren();
    if (reply.sendAll && !call.whole) {
        m_node->refreshOwnRecord();
        m_mustSendAll = true;
    }
    const bool isAvoidedRelay = m_avoidedRelay == reply.parent && runtime::Clock::now() < m_avoidedRelayUntil;
    if (reply.parent && *reply.parent != m_parent && !isAvoidedRelay) {
        changeParent(*reply.parent, true);
    } else if (m_usesRelay && m_node->depth > MaxDepth) {
        fallBackToEntry();
    }
}

void Uplink::changeParent(const wire::Address &parent, bool isRelay)
{
    log::write(log::Severity::Info, "parent changed", {{"host", parent.host}, {"port", std::to_string(parent.port)}, {"relay", isRelay ? "yes" : "no"}});
    m_parentChanges.add();
    m_parent = parent;
    m_usesRelay = isRelay;
    m_parentRevision.reset();
    m_node->refreshOwnRecord();
    m_mustSendAll = true;
}

void Uplink::fallBackToEntry()
{
    m_failureCount.add();
    m_node->depth = MaxDepth + 1;
    if (m_usesRelay) {
        m_avoidedRelay = m_parent;
        m_avoidedRelayUntil = runtime::Clock::now() + RelayAvoidanceFactor * m_node->settings.timing.memberTimeout;
    } else {
        m_entryIndex = (m_entryIndex + 1) % m_entries.size();
    }
    changeParent(m_entries[m_entryIndex], false);
}

asio::awaitable<void> Uplink::waitForChildren()
{
    const runtime::Instant until = runtime::Clock::now() + ChildrenWaitLimit;
    while (m_node->lowestRevision() < m_node->configHolder.revision() && runtime::Clock::now() < until) {
        co_await runtime::sleepFor(ChildrenPollInterval);
    }
}

asio::awaitable<void> Uplink::sendLeaveCall()
{
    const auto self = shared_from_this();
    const wire::SyncCall call = makeCall(std::chrono::milliseconds(0)).call;
    const auto channel = m_channels.to(m_parent);
    co_await rpc::call(*channel, call, runtime::Clock::now() + LeaveCallTimeout);
}

const wire::Address &Uplink::parent() const
{
    return m_parent;
}

bool Uplink::usesRelay() const
{
    return m_usesRelay;
}

} // namespace plantainfork::membership
