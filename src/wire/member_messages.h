/**
 * Membership and the uplink. Each daemon calls Sync on its parent over and over: summaries of its
 * subtree go up as deltas, configuration, permits and the parent to use come down in the reply. The
 * parent holds the reply until it has something new or HoldTime has passed.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "base/ids.h"
#include "wire/chrono.h"
#include "wire/config_messages.h"

namespace plantainfork::wire
{

enum class MemberRole : std::uint8_t {
    Entry,
    Agent,
};

enum class TargetKind : std::uint8_t {
    None,
    Executor,
    Worker,
};

enum class MemberState : std::uint8_t {
    Alive,
    /** Takes no new work; what it holds is finishing. */
    Leaving,
    /** Gone; the record is kept for a while so that the news overtakes older records. */
    Left,
};

/** Numeric address that another daemon dials. */
struct Address {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
    MSGPACK_DEFINE_MAP(host, port);
};

/** What the target beside an agent offers, as it announced it. */
struct TargetOffer {
    TargetKind kind = TargetKind::None;
    /** Executors. */
    base::ServiceId service;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t slotsInUse = 0;
    /** Workers. */
    base::RackId rack;
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint64_t memoryMiB = 0;
    /** Workers: accelerators held by tasks as last reported, which lags. */
    std::uint32_t acceleratorsInUse = 0;
    /** Tasks in a row that failed without any other outcome between them. */
    std::uint32_t consecutiveFailures = 0;

    bool operator==(const TargetOffer &) const = default;
    MSGPACK_DEFINE_MAP(service, kind, slots, connections, slotsInUse, rack, accelerators, cores, memoryMiB, acceleratorsInUse, consecutiveFailures);
};

/** One daemon as known to others. The record with the higher (incarnation, sequence) wins. */
struct MemberRecord {
    base::MemberId id;
    base::Incarnation incarnation;
    /** Grows with each change that the member makes to its own record. */
    std::uint64_t sequence = 0;
    MemberRole role = MemberRole::Agent;
    MemberState state = MemberState::Alive;
    base::RegionId region;
    base::DataCentreId dataCentre;
    Address rpc;
    TargetOffer offer;
    /**
     * Revision in force at the member when it last changed its record otherwise. It isn't sent up for its own sake,
     * which would cost a record per member and change; SyncCall::lowestRevision tells what is in force.
     */
    base::Revision revision;

    bool operator==(const MemberRecord &) const = default;
    MSGPACK_DEFINE_MAP(id, incarnation, sequence, role, state, region, dataCentre, rpc, offer, revision);
};

/** Time-bounded right to start tasks. Its life counts from the receiver's own clock at the time it asked. */
struct StartPermit {
    /** Configuration that the permit rests on. */
    base::Revision revision;
    /** What is left of it when the reply is made. Zero or less: no permit. */
    std::chrono::milliseconds remaining{0};

    bool operator==(const StartPermit &) const = default;
    MSGPACK_DEFINE_MAP(revision, remaining);
};

struct SyncReply {
    /** Who answers. */
    base::MemberId from;
    /** Revision in force at the parent; a child that holds more sends it up. */
    base::Revision revision;
    /** Lowest revision in force in the parent's own subtree. */
    base::Revision lowestRevision;
    /** Steps from the parent up to an entry; an entry has 0. */
    std::uint32_t depth = 0;
    /** How long the parent kept the call; the permit's life may be counted from that much after the call was made. */
    std::chrono::milliseconds held{0};
    /** Set when the caller's revision was lower: all that changed after it. */
    std::optional<Config> changes;
    StartPermit permit;
    /** Parent to use from now on, when it differs from the one that answers. */
    std::optional<Address> parent;
    /** The parent lost or never had the caller's subtree and asks for all of it. */
    bool sendAll = false;
    /** Records of other members, for callers that asked for them (entries). */
    std::vector<MemberRecord> members;
    /** Position in the parent's own log of member changes, to be given back in the next call. */
    std::uint64_t membersUpTo = 0;

    MSGPACK_DEFINE_MAP(from, revision, lowestRevision, depth, held, changes, permit, parent, sendAll, members, membersUpTo);
};

struct SyncCall {
    static constexpr std::string_view Method = "/sync";
    using Reply = SyncReply;

    unsigned version = 1;
    base::MemberId from;
    base::Incarnation incarnation;
    /** Revision in force at the caller. */
    base::Revision revision;
    /** Lowest revision in force in the caller's subtree, so that "in force everywhere" is known above. */
    base::Revision lowestRevision;
    /** Members of the subtree that changed since the last call, or all of it when whole is set. */
    std::vector<MemberRecord> changed;
    bool whole = false;
    /** Entries ask for other members' records from this position on; agents leave it unset. */
    std::optional<std::uint64_t> membersFrom;
    /** Set when the parent's revision was lower in its last reply: all that changed after it. */
    std::optional<Config> changes;
    /** The parent may keep the call open for this long. */
    std::chrono::milliseconds holdTime{1000};

    MSGPACK_DEFINE_MAP(version, from, incarnation, revision, lowestRevision, changed, whole, membersFrom, changes, holdTime);
};

} // namespace plantainfork::wire

MSGPACK_ADD_ENUM(plantainfork::wire::MemberRole);
MSGPACK_ADD_ENUM(plantainfork::wire::TargetKind);
MSGPACK_ADD_ENUM(plantainfork::wire::MemberState);
