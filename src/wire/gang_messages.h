/**
 * Messages between a region's scheduler and the agents of workers. A gang is first prepared on every member, which
 * reserves capacity until a lease expires, and committed only when all members are prepared. Each command carries
 * the scheduler's fencing token; an agent refuses a token lower than the highest that it has seen.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "base/ids.h"
#include "wire/chrono.h"
#include "wire/member_messages.h"
#include "wire/resources.h"

namespace plantainfork::wire
{

/** One placed member of a gang. */
struct GangMember {
    base::MemberId agent;
    base::Incarnation incarnation;
    Address rpc;
    std::uint32_t rank = 0;

    MSGPACK_DEFINE_MAP(agent, incarnation, rpc, rank);
};

/** One attempt of a job: one start of its gang. A job that is stopped and placed again gets a higher attempt number. */
struct AttemptId {
    base::JobId job;
    std::uint32_t attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
    MSGPACK_DEFINE_MAP(job, attempt);
};

enum class TaskState : std::uint8_t {
    Absent,
    /** Reserved until the lease expires; not started. */
    Prepared,
    Running,
    Stopping,
    Finished,
    Failed,
    Stopped,
};

enum class StopMode : std::uint8_t {
    Checkpoint,
    Throttle,
    Stop,
};

struct TaskStatus {
    AttemptId attempt;
    std::uint32_t rank = 0;
    TaskState state = TaskState::Absent;
    std::uint32_t accelerators = 0;
    /** Work done up to the last checkpoint. */
    std::chrono::milliseconds checkpointed{0};
    std::string detail;

    MSGPACK_DEFINE_MAP(attempt, rank, state, accelerators, checkpointed, detail);
};

struct GangReply {
    bool accepted = false;
    std::string reason;
    TaskStatus status;

    MSGPACK_DEFINE_MAP(accepted, reason, status);
};

struct PrepareCall {
    static constexpr std::string_view Method = "/gang/prepare";
    using Reply = GangReply;

    base::FencingToken token;
    base::RegionId region;
    AttemptId attempt;
    base::Incarnation agentIncarnation;
    std::uint32_t rank = 0;
    Shape shape;
    bool idempotent = true;
    bool checkpointable = false;
    std::chrono::milliseconds runTime{0};
    /** Work already done, from the last checkpoint of the whole gang. */
    std::chrono::milliseconds resumeFrom{0};
    /** How long the member stays reserved without a commit. */
    std::chrono::milliseconds lease{0};
    /** All members, in order of rank. The agent of rank 0 receives the heartbeats of all. */
    std::vector<GangMember> members;

    MSGPACK_DEFINE_MAP(token, region, attempt, agentIncarnation, rank, shape, idempotent, checkpointable, runTime, resumeFrom, lease, members);
};

/** Lets a prepared member start once the gang's barrier is open and its agent has a start permit. */
struct CommitCall {
    static constexpr std::string_view Method = "/gang/commit";
    using Reply = GangReply;

    base::FencingToken token;
    base::RegionId region;
    AttemptId attempt;

    MSGPACK_DEFINE_MAP(token, region, attempt);
};

struct StopCall {
    static constexpr std::string_view Method = "/gang/stop";
    using Reply = GangReply;

    base::FencingToken token;
    base::RegionId region;
    AttemptId attempt;
    StopMode mode = StopMode::Stop;
    std::string reason;

    MSGPACK_DEFINE_MAP(token, region, attempt, mode, reason);
};

struct InventoryReply {
    base::Incarnation incarnation;
    std::vector<TaskStatus> tasks;

    MSGPACK_DEFINE_MAP(incarnation, tasks);
};

/** Asks for the tasks of this agent. A new leader restores the running gangs from the replies. */
struct InventoryCall {
    static constexpr std::string_view Method = "/gang/inventory";
    using Reply = InventoryReply;

    base::FencingToken token;
    base::RegionId region;

    MSGPACK_DEFINE_MAP(token, region);
};

struct GangHeartbeatReply {
    /** Every member is prepared and reachable, so that tasks may start. */
    bool barrierOpen = false;
    /** The gang is broken or unknown, and the member must stop its task. */
    bool mustStop = false;
    std::string reason;

    MSGPACK_DEFINE_MAP(barrierOpen, mustStop, reason);
};

/** Heartbeat of a member to the agent of rank 0. A member that gets no reply for the gang lease stops its task. */
struct GangHeartbeatCall {
    static constexpr std::string_view Method = "/gang/beat";
    using Reply = GangHeartbeatReply;

    AttemptId attempt;
    std::uint32_t rank = 0;
    TaskState state = TaskState::Absent;

    MSGPACK_DEFINE_MAP(attempt, rank, state);
};

struct TaskReportReply {
    bool accepted = false;

    MSGPACK_DEFINE_MAP(accepted);
};

/** An agent's report that a task has ended, also because its gang broke. Sent to the entries until the region's leader accepts it. */
struct TaskReportCall {
    static constexpr std::string_view Method = "/gang/report";
    using Reply = TaskReportReply;

    base::MemberId agent;
    TaskStatus status;

    MSGPACK_DEFINE_MAP(agent, status);
};

} // namespace plantainfork::wire

MSGPACK_ADD_ENUM(plantainfork::wire::TaskState);
MSGPACK_ADD_ENUM(plantainfork::wire::StopMode);
