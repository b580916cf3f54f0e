#include "membership/node.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "log/log.h"

namespace plantainfork::membership
{

namespace asio = boost::asio;

namespace
{

/** How often silent neighbours are removed and the member view is published. */
constexpr std::chrono::milliseconds MaintenanceInterval{200};
/** How long the record of a member that left is kept, so that an older record can't restore the member. */
constexpr std::chrono::minutes LeftRetention{10};

/**
 * Time since the start of the last confirming store read after which the store counts as silent. A store that
 * answers is read once per second, and its answer comes up to one second after the start of the read, so up to two
 * seconds are normal.
 */
constexpr std::chrono::milliseconds StoreSilenceLimit{2200};

wire::MemberRecord initialRecord(const settings::Settings &settings, base::Incarnation incarnation)
{
    wire::MemberRecord record;
    record.id = settings.id;
    record.incarnation = incarnation;
    record.sequence = 1;
    record.role = settings.role;
    record.region = settings.region;
    record.dataCentre = settings.dataCentre;
    record.rpc = settings.rpc;
    return record;
}

config::Monotonic monotonicMode(const settings::Settings &settings)
{
    return settings.isDisabled(settings::Mechanism::ConfigMonotonic) ? config::Monotonic::Off : config::Monotonic::Kept;
}

} // namespace

Node::Node(const asio::any_io_executor &executor, const settings::Settings &givenSettings, base::Incarnation incarnation, metrics::Registry &registry)
    : strand(asio::make_strand(executor))
    , settings(givenSettings)
    , configHolder(monotonicMode(settings))
    , freshness(settings.timing.permitLife)
    , depth(settings.role == wire::MemberRole::Entry ? 0 : MaxDepth + 1)
    , m_ownRecord(initialRecord(settings, incarnation))
    , m_members(std::make_shared<const MemberView>())
    , m_syncCalls(registry.counter("plantainfork_sync_calls_total"))
    , m_neighbourCount(registry.gauge("plantainfork_children"))
    , m_memberCount(registry.gauge("plantainfork_members"))
    , m_neighbourTimeouts(registry.counter("plantainfork_child_timeouts_total"))
{
    memberTable.apply(m_ownRecord, m_ownRecord.id, Origin::Subtree);
}

void Node::registerOn(rpc::Server &server)
{
    const auto self = shared_from_this();
    rpc::handleCall<wire::SyncCall>(server, [self](wire::SyncCall call) -> asio::awaitable<absl::StatusOr<wire::SyncReply>> {
        co_return co_await asio::co_spawn(self->strand, self->handleSync(std::move(call)), asio::use_awaitable);
    });
}

asio::awaitable<absl::StatusOr<wire::SyncReply>> Node::handleSync(wire::SyncCall call)
{
    const auto self = shared_from_this();
    m_syncCalls.add();
    if (call.version != wire::ProtocolVersion) {
        co_return absl::FailedPreconditionError("protocol version " + std::to_string(call.version) + " is not spoken here");
    }
    const runtime::Instant arrival = runtime::Clock::now();
    if (!applyCall(call)) {
        wire::SyncReply reply = makeReply(call, arrival);
        reply.sendAll = true;
        co_return reply;
    }
    const runtime::Instant until = arrival + std::min<std::chrono::milliseconds>(call.holdTime, settings.timing.syncHold);
    while (!hasUpdateFor(call) && runtime::Clock::now() < until && !m_isStopped) {
        const auto timer = std::make_shared<runtime::Timer>(strand, until);
        m_waitingCalls.insert(timer);
        boost::system::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_waitingCalls.erase(timer);
    }
    co_return makeReply(call, arrival);
}

bool Node::applyCall(const wire::SyncCall &call)
{
    if (call.changes) {
        configHolder.merge(*call.changes);
    }
    // Only other entries request members; their records are received by PeerLink.
    if (call.membersFrom) {
        return true;
    }
    const auto found = neighbours.find(call.from);
    const bool isKnown = found != neighbours.end() && found->second.incarnation == call.incarnation;
    if (!isKnown && !call.whole) {
        return false;
    }
    if (call.whole) {
        memberTable.markOrphaned(call.from, runtime::Clock::now());
    }
    const base::Revision lowestBefore = lowestRevision();
    Neighbour &child = neighbours[call.from];
    child.incarnation = call.incarnation;
    child.lastHeard = runtime::Clock::now();
    child.lowestRevision = call.lowestRevision;
    if (call.whole) {
        child.notificationVersion = 0;
    }
    const std::uint64_t before = memberTable.subtreePosition();
    bool hasLeft = false;
    for (const auto &record : call.changed) {
        applyRecord(record, call.from, Origin::Subtree);
        hasLeft = hasLeft || (record.id == call.from && record.state == wire::MemberState::Left);
    }
    if (hasLeft) {
        memberTable.markOrphaned(call.from, runtime::Clock::now());
        neighbours.erase(call.from);
    }
    if (memberTable.subtreePosition() != before || lowestRevision() != lowestBefore) {
        wakeWaitingCalls();
    }
    return true;
}

void Node::applyRecord(const wire::MemberRecord &record, const base::MemberId &via, Origin origin)
{
    const bool isUpdate = memberTable.apply(record, via, origin);
    const auto neighbour = neighbours.find(record.id);
    if (isUpdate && via != record.id && neighbour != neighbours.end() && neighbour->second.origin == Origin::Subtree) {
        neighbours.erase(neighbour);
    }
}

bool Node::hasUpdateFor(const wire::SyncCall &call) const
{
    if (configHolder.revision() > call.revision) {
        return true;
    }
    if (call.membersFrom) {
        const auto sent = m_lastSentToPeers.find(call.from);
        if (sent == m_lastSentToPeers.end() || sent->second.notificationVersion != m_notificationVersion || sent->second.lowestRevision != lowestRevision()) {
            return true;
        }
        // A position beyond the end of the log was issued before this process restarted.
        return memberTable.subtreePosition() > *call.membersFrom || memberTable.position() < *call.membersFrom;
    }
    const auto child = neighbours.find(call.from);
    return child == neighbours.end() || child->second.notificationVersion != m_notificationVersion;
}

wire::SyncReply Node::makeReply(const wire::SyncCall &call, runtime::Instant arrival)
{
    wire::SyncReply reply;
    const auto config = configHolder.config().load();
    reply.from = m_ownRecord.id;
    reply.revision = config->revision;
    reply.lowestRevision = lowestRevision();
    reply.depth = depth;
    if (config->revision > call.revision) {
        reply.changes = config::changesAfter(*config, call.revision);
    }
    reply.permit = freshness.issuePermit(config->revision);
    if (call.membersFrom) {
        // A position beyond the end of the log was issued before this process restarted.
        const std::uint64_t from = *call.membersFrom > memberTable.position() ? 0 : *call.membersFrom;
        MemberChanges changes = memberTable.changesAfter(from, MaxRecordsPerMessage);
        reply.members = std::move(changes.records);
        reply.membersUpTo = changes.upTo;
        m_lastSentToPeers[call.from] = {m_notificationVersion, reply.lowestRevision};
    } else {
        reply.parent = assignedRelay(call);
        if (const auto child = neighbours.find(call.from); child != neighbours.end()) {
            child->second.notificationVersion = m_notificationVersion;
        }
    }
    reply.held = std::chrono::floor<std::chrono::milliseconds>(runtime::Clock::now() - arrival);
    return reply;
}

std::optional<wire::Address> Node::assignedRelay(const wire::SyncCall &call) const
{
    if (!m_assignsRelays) {
        return std::nullopt;
    }
    const auto view = m_members.load();
    const auto member = view->members.find(call.from);
    if (member == view->members.end() || member->second.role != wire::MemberRole::Agent) {
        return std::nullopt;
    }
    return m_relays.relayFor(call.from, member->second.dataCentre);
}

base::Revision Node::lowestRevision() const
{
    base::Revision lowest = configHolder.revision();
    for (const auto &[id, neighbour] : neighbours) {
        if (neighbour.origin == Origin::Subtree) {
            lowest = std::min(lowest, neighbour.lowestRevision);
        }
    }
    return lowest;
}

std::vector<DataCentreStatus> Node::dataCentreStatuses() const
{
    const base::Revision newest = configHolder.revision();
    std::map<base::DataCentreId, DataCentreStatus> statuses;
    for (const auto &[name, dataCentre] : configHolder.config().load()->dataCentres) {
        if (!dataCentre.removed) {
            statuses[name] = {name, dataCentre.value.region, 0, newest, {}, true};
        }
    }
    memberTable.visit([&](const wire::MemberRecord &record, const base::MemberId &via, bool isReporting) {
        DataCentreStatus &dataCentreStatus =
            statuses.try_emplace(record.dataCentre, DataCentreStatus{record.dataCentre, record.region, 0, newest, {}, true}).first->second;
        const auto neighbour = neighbours.find(via);
        const base::Revision lowest = via == m_ownRecord.id ? newest : neighbour == neighbours.end() ? record.revision : neighbour->second.lowestRevision;
        ++dataCentreStatus.memberCount;
        dataCentreStatus.isReporting = dataCentreStatus.isReporting && isReporting;
        dataCentreStatus.lowestRevision = std::min(dataCentreStatus.lowestRevision, lowest);
        const bool isLagging = lowest < newest || !isReporting;
        if (isLagging && dataCentreStatus.lagging.size() < MaxLaggingMembers) {
            dataCentreStatus.lagging.push_back(record.id);
        }
    });
    std::vector<DataCentreStatus> all;
    for (auto &[name, dataCentreStatus] : statuses) {
        all.push_back(std::move(dataCentreStatus));
    }
    return all;
}

void Node::notifyChildren()
{
    asio::post(strand, [self = shared_from_this()] {
        ++self->m_notificationVersion;
        self->wakeWaitingCalls();
    });
}

void Node::confirmByStore(base::Revision revision, runtime::Instant askedAt)
{
    m_storeAskedAt = askedAt;
    freshness.confirmByStore(revision, askedAt);
    notifyChildren();
}

void Node::confirmByPeer(const wire::StartPermit &permit, runtime::Instant askedAt)
{
    const runtime::Instant before = freshness.validUntil();
    freshness.confirmByPermit(permit, askedAt);
    const bool isStoreSilent = runtime::Clock::now() - m_storeAskedAt > StoreSilenceLimit;
    if (freshness.validUntil() > before && isStoreSilent) {
        notifyChildren();
    }
}

void Node::wakeWaitingCalls()
{
    for (const auto &timer : m_waitingCalls) {
        timer->cancel();
    }
}

asio::awaitable<void> Node::runMaintenance()
{
    const auto self = shared_from_this();
    while (!m_isStopped) {
        removeSilentNeighbours();
        publishMembers();
        co_await runtime::sleepFor(MaintenanceInterval);
    }
}

void Node::removeSilentNeighbours()
{
    const runtime::Instant now = runtime::Clock::now();
    for (auto iterator = neighbours.begin(); iterator != neighbours.end();) {
        const auto &[id, neighbour] = *iterator;
        const bool isSilent = now - neighbour.lastHeard >= settings.timing.memberTimeout;
        if (!isSilent) {
            ++iterator;
            continue;
        }
        m_neighbourTimeouts.add();
        log::write(log::Severity::Warning, "neighbour silent", {{"member", id.value()}});
        if (neighbour.origin == Origin::Subtree) {
            memberTable.markOrphaned(id, neighbour.lastHeard);
        } else {
            memberTable.setReachable(id, false);
        }
        iterator = neighbours.erase(iterator);
    }
    const std::uint64_t before = memberTable.subtreePosition();
    memberTable.expire(now, settings.timing.memberTimeout, LeftRetention);
    if (memberTable.subtreePosition() != before) {
        wakeWaitingCalls();
    }
}

void Node::publishMembers()
{
    m_neighbourCount.set(static_cast<std::int64_t>(neighbours.size()));
    if (memberTable.position() == m_publishedPosition) {
        return;
    }
    m_publishedPosition = memberTable.position();
    auto view = std::make_shared<const MemberView>(memberTable.view());
    m_memberCount.set(static_cast<std::int64_t>(view->members.size()));
    if (m_assignsRelays) {
        m_relays = RelaySelection(*view, settings.fanOut);
        wakeWaitingCalls();
    }
    m_members.publish(std::move(view));
}

void Node::stop()
{
    m_isStopped = true;
    asio::post(strand, [self = shared_from_this()] {
        self->wakeWaitingCalls();
    });
}

bool Node::isStopped() const
{
    return m_isStopped;
}

const wire::MemberRecord &Node::ownRecord() const
{
    return m_ownRecord;
}

void Node::setOffer(wire::TargetOffer offer, wire::MemberState state)
{
    const wire::MemberState next = std::max(state, m_minimumState);
    if (m_ownRecord.offer == offer && m_ownRecord.state == next) {
        return;
    }
    m_ownRecord.offer = std::move(offer);
    m_ownRecord.state = next;
    refreshOwnRecord();
}

void Node::setMinimumState(wire::MemberState state)
{
    m_minimumState = state;
    setOffer(m_ownRecord.offer, state);
}

void Node::refreshOwnRecord()
{
    ++m_ownRecord.sequence;
    m_ownRecord.revision = configHolder.revision();
    memberTable.apply(m_ownRecord, m_ownRecord.id, Origin::Subtree);
}

const runtime::Published<MemberView> &Node::members() const
{
    return m_members;
}

void Node::enableRelayAssignment()
{
    m_assignsRelays = true;
}

} // namespace plantainfork::membership
