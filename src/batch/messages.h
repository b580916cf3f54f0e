/**
 * Messages between agents and the leader, and between entries. Each sync call holds the agent's complete state and each reply the host's
 * complete orders, so a lost message only causes a delay.
 */
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "batch/crash_blame.h"
#include "batch/model.h"
#include "store/key_value.h"
#include "wire/member_messages.h"

namespace plantainfork::batch
{

/** A run that the host should execute. */
struct RunOrder {
    RunId run;
    std::string payload;
    std::string checkpoint;
    /** Payload and checkpoint are given. They are left out for a run that the host has listed; a leader of an earlier version doesn't tell. */
    bool isComplete = true;

    MSGPACK_DEFINE(run, payload, checkpoint, isComplete);
};

/**
 * Complete orders for a host. A higher version replaces a lower one of the same fencing token. A reply to an agent that has this version
 * already leaves everything else out.
 */
struct Orders {
    std::uint64_t version = 0;
    HostIncarnation incarnation;
    std::vector<RunOrder> runs;
    /** Runs to stop, or to bar if they have not started. */
    std::vector<RunId> stops;
    /** Ended runs up to this number are recorded in the store. */
    std::uint64_t acknowledged = 0;
    /** Not sent: the host has further starts, which follow once it has listed some of these. */
    bool hasWithheldStarts = false;

    MSGPACK_DEFINE(version, incarnation, runs, stops, acknowledged);
};

struct SyncReply {
    /** If false, `leader` is the address of the leader, if one is known. */
    bool isLeader = false;
    /** The scheduler's lease may have lapsed, so another entry may be the leader by now. */
    bool isDoubtful = false;
    wire::Address leader;
    base::FencingToken token;
    Orders orders;
    /** How long the agent may renew the executor's lease, counted from when it sent the call; zero: no longer than it may already. */
    std::chrono::milliseconds grant{0};
    /**
     * The newest process of the calling agent that the leader has heard. An agent that finds a higher number than its own has restarted after
     * its clock was set back: calls under its present number don't count.
     */
    std::uint64_t agentIncarnation = 0;
    /** All entries; left out while the agent has the list of this version. */
    std::vector<wire::Address> entries;
    std::uint64_t entriesVersion = 0;

    MSGPACK_DEFINE_MAP(isLeader, isDoubtful, leader, token, orders, grant, agentIncarnation, entries, entriesVersion);
};

struct SyncCall {
    static constexpr std::string_view Method = "/batch/sync";
    using Reply = SyncReply;

    HostId host;
    /** Higher for each process of the agent, so that the lower sequence numbers of a restarted one are not taken for old ones. */
    std::uint64_t agentIncarnation = 0;
    std::uint64_t sequence = 0;
    bool hasReport = false;
    HostReport report;
    /** The executor answered the agent's last call for its runs. Otherwise the leader grants nothing: the agent alone doesn't keep runs alive. */
    bool isExecutorReached = false;
    /** Highest fencing token that the agent knows. */
    base::FencingToken token;
    /** Fencing token of the host's last listing; the executor rejects lower ones. */
    base::FencingToken listToken;
    base::FencingToken ordersToken;
    std::uint64_t ordersVersion = 0;
    /** Version of the list of entries that the agent has; 0: none. */
    std::uint64_t entriesVersion = 0;
    std::vector<Running> running;
    std::vector<Ended> ended;
    /** Ordered runs, or runs to stop, that never started and can't start any more. */
    std::vector<RunId> barred;
    /** Ordered runs that the agent is still trying to start. */
    std::vector<RunId> starting;
    /** Those of them whose start the executor has confirmed, and that no listing has shown yet. An agent of an earlier version doesn't tell. */
    std::vector<RunId> confirmed;
    /** Runs that an earlier incarnation of the executor had, or may have had, when it crashed; repeated until the leader has recorded them. */
    std::vector<CrashedRun> crashed;
    /** The agent's process knew an earlier incarnation, too, so `crashed` tells whether that one has crashed. */
    bool hasSeenEnd = false;
    /** How long the leader may hold the call while there are no newer orders. */
    std::chrono::milliseconds wait{0};

    MSGPACK_DEFINE_MAP(host,
                       agentIncarnation,
                       sequence,
                       hasReport,
                       report,
                       isExecutorReached,
                       token,
                       listToken,
                       ordersToken,
                       ordersVersion,
                       entriesVersion,
                       running,
                       ended,
                       barred,
                       starting,
                       confirmed,
                       crashed,
                       hasSeenEnd,
                       wait);
};

struct PendingReply {
    bool isLeader = false;
    std::vector<QueueId> queues;
    std::vector<std::uint64_t> counts;

    MSGPACK_DEFINE_MAP(isLeader, queues, counts);
};

/** Asks for the number of accepted jobs of each queue of which no task has begun. */
struct PendingCall {
    static constexpr std::string_view Method = "/batch/pending";
    using Reply = PendingReply;

    base::MemberId asking;

    MSGPACK_DEFINE_MAP(asking);
};

} // namespace plantainfork::batch
