/**
 * Calls between an agent and the scheduler in office, and between entries. An agent repeats everything that the scheduler needs to
 * know in each call, and the scheduler repeats everything that the host should do in each reply, so a lost message costs time only.
 */
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "batch/model.h"
#include "store/key_value.h"
#include "wire/member_messages.h"

namespace plantainfork::batch
{

/** A run that the host should have. */
struct RunOrder {
    RunId run;
    /** Empty when the agent has said that it knows the run. */
    std::string payload;
    std::string checkpoint;

    MSGPACK_DEFINE(run, payload, checkpoint);
};

/** What a host should do, whole. A higher version replaces a lower one of the same token. */
struct Orders {
    std::uint64_t version = 0;
    HostIncarnation incarnation;
    std::vector<RunOrder> runs;
    /** Runs to end, and to bar if they have not begun. */
    std::vector<RunId> stops;
    /** Ends up to this number are recorded for good. */
    std::uint64_t acknowledged = 0;

    MSGPACK_DEFINE(version, incarnation, runs, stops, acknowledged);
};

struct SyncReply {
    /** False: `leader` says who may be asked instead. */
    bool isLeader = false;
    /** The scheduler's lease may have lapsed: another one may be in office by now. */
    bool isDoubtful = false;
    wire::Address leader;
    base::FencingToken token;
    Orders orders;
    /** How long the agent may let its host run on, counted from when it sent the call. */
    std::chrono::milliseconds grant{0};
    std::vector<wire::Address> entries;

    MSGPACK_DEFINE_MAP(isLeader, isDoubtful, leader, token, orders, grant, entries);
};

struct SyncCall {
    static constexpr std::string_view Method = "/batch/sync";
    using Reply = SyncReply;

    HostId host;
    /** Agent's process, so that a restarted agent's lower versions are not taken for old ones. */
    std::uint64_t agentIncarnation = 0;
    std::uint64_t sequence = 0;
    bool hasReport = false;
    HostReport report;
    /** Token under which the host last listed its runs; it obeys no lower one. */
    base::FencingToken listToken;
    base::FencingToken ordersToken;
    std::uint64_t ordersVersion = 0;
    std::vector<Running> running;
    std::vector<Ended> ended;
    /** Runs that were to start and now can't, or that were to stop and are barred. */
    std::vector<RunId> barred;
    /** Ordered runs that the agent is still trying to start. */
    std::vector<RunId> starting;
    /** The scheduler may hold the reply this long while there is nothing new. */
    std::chrono::milliseconds wait{0};

    MSGPACK_DEFINE_MAP(host, agentIncarnation, sequence, hasReport, report, listToken, ordersToken, ordersVersion, running, ended, barred, starting, wait);
};

struct PendingReply {
    bool isLeader = false;
    std::vector<QueueId> queues;
    std::vector<std::uint64_t> counts;

    MSGPACK_DEFINE_MAP(isLeader, queues, counts);
};

/** Asks the scheduler how many accepted jobs of each queue have not begun. */
struct PendingCall {
    static constexpr std::string_view Method = "/batch/pending";
    using Reply = PendingReply;

    base::MemberId asking;

    MSGPACK_DEFINE_MAP(asking);
};

} // namespace plantainfork::batch
