/**
 * Common part of entries and agents: the configuration in force, the proof that it is current, the members of
 * the subtree, and the handling of Sync calls from children and other entries.
 */
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include "config/config_holder.h"
#include "membership/member_table.h"
#include "membership/relay_selection.h"
#include "membership/status_json.h"
#include "metrics/registry.h"
#include "permits/config_freshness.h"
#include "rpc/server.h"
#include "runtime/published.h"
#include "runtime/timer.h"
#include "settings/settings.h"

namespace plantainfork::membership
{

/** Maximum depth below an entry. A greater depth means that the parents form a cycle or lost their entry. */
constexpr std::uint32_t MaxDepth = 4;
/** Maximum number of records in one message; the rest is sent in the following ones. */
constexpr std::size_t MaxRecordsPerMessage = 2000;

/** State of a child or another entry, as last reported to this process. */
struct Neighbour {
    base::Incarnation incarnation;
    Origin origin = Origin::Subtree;
    runtime::Instant lastHeard;
    /** Lowest revision in force in its subtree. */
    base::Revision lowestRevision;
    /** Value of Node::m_notificationVersion at the last reply sent to it. */
    std::uint64_t notificationVersion = 0;
};

/** Must be used from its strand, except where marked. Owned by shared pointer because its coroutines can outlive the caller's reference. */
class Node : public std::enable_shared_from_this<Node>
{
public:
    Node(const boost::asio::any_io_executor &executor, const settings::Settings &settings, base::Incarnation incarnation, metrics::Registry &registry);

    const boost::asio::strand<boost::asio::any_io_executor> strand;
    const settings::Settings settings;
    /** May be used from any thread. */
    config::ConfigHolder configHolder;
    /** May be used from any thread. */
    permits::ConfigFreshness freshness;
    MemberTable memberTable;
    std::map<base::MemberId, Neighbour> neighbours;
    /** Number of hops to an entry; greater than MaxDepth while none is known. */
    std::uint32_t depth = 0;

    /** Registers the handler of Sync calls. Must be called before the server starts. */
    void registerOn(rpc::Server &server);
    /** Periodically removes silent neighbours and publishes the member view, until stop(). */
    boost::asio::awaitable<void> runMaintenance();
    void stop();

    /** This process's own record. Each change increments its sequence. */
    [[nodiscard]] const wire::MemberRecord &ownRecord() const;
    void setOffer(wire::TargetOffer offer, wire::MemberState state);
    /** Marks this process as leaving or left. A later setOffer() with an earlier state doesn't revert that. */
    void setMinimumState(wire::MemberState state);
    /**
     * Increments the sequence of the own record, so that it replaces every copy of it. Used after the record or the
     * parent changed, and after the parent asked for the whole subtree.
     */
    void refreshOwnRecord();

    /** Applies a record to the table. A child whose newer record arrives through another neighbour is removed from the children. */
    void applyRecord(const wire::MemberRecord &record, const base::MemberId &via, Origin origin);

    /** Lowest revision in force here and in the subtree. */
    [[nodiscard]] base::Revision lowestRevision() const;
    /** Configuration state of each data centre, as far as known here. */
    [[nodiscard]] std::vector<DataCentreStatus> dataCentreStatuses() const;
    /** Answers waiting Sync calls immediately after the configuration or its confirmation changed. May be called from any thread. */
    void notifyChildren();

    /** May be used from any thread. */
    [[nodiscard]] const runtime::Published<MemberView> &members() const;
    [[nodiscard]] bool isStopped() const;

    /** Entries only: a store read started at `askedAt` confirmed the configuration. */
    void confirmByStore(base::Revision revision, runtime::Instant askedAt);
    /** Entries only: another entry confirmed the configuration. Children are notified immediately only while the store doesn't answer here. */
    void confirmByPeer(const wire::StartPermit &permit, runtime::Instant askedAt);

    /** Entries only: redirects children to relays selected from the member view. */
    void enableRelayAssignment();

private:
    /** Versions contained in the last reply to another entry. */
    struct SentUpdate {
        std::uint64_t notificationVersion = 0;
        base::Revision lowestRevision;
    };

    /** Holds a call until there is an update for the caller or its hold time has passed. */
    boost::asio::awaitable<absl::StatusOr<wire::SyncReply>> handleSync(wire::SyncCall call);
    /** Returns false if the caller has to send its whole subtree. */
    bool applyCall(const wire::SyncCall &call);
    [[nodiscard]] bool hasUpdateFor(const wire::SyncCall &call) const;
    [[nodiscard]] wire::SyncReply makeReply(const wire::SyncCall &call, runtime::Instant arrival);
    /** Returns the relay that the caller should use as its parent, or nothing if it should use an entry. */
    [[nodiscard]] std::optional<wire::Address> assignedRelay(const wire::SyncCall &call) const;
    void wakeWaitingCalls();
    void removeSilentNeighbours();
    void publishMembers();

    wire::MemberRecord m_ownRecord;
    wire::MemberState m_minimumState = wire::MemberState::Alive;
    runtime::Published<MemberView> m_members;
    RelaySelection m_relays;
    bool m_assignsRelays = false;
    /** Position of the table that m_members reflects. */
    std::uint64_t m_publishedPosition = 0;
    /** Incremented with each notification of all children. */
    std::uint64_t m_notificationVersion = 1;
    /** What was last sent to each other entry. */
    std::map<base::MemberId, SentUpdate> m_lastSentToPeers;
    /** Start of the last store read that confirmed the configuration. */
    runtime::Instant m_storeAskedAt;
    /** Timers of the held calls; cancelling a timer wakes its call. */
    std::set<std::shared_ptr<runtime::Timer>> m_waitingCalls;
    std::atomic<bool> m_isStopped{false};
    metrics::Counter &m_syncCalls;
    metrics::Gauge &m_neighbourCount;
    metrics::Gauge &m_memberCount;
    metrics::Counter &m_neighbourTimeouts;
};

} // namespace plantainfork::membership
