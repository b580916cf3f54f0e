/**
 * Messages between the scheduler and the agents beside workers. A gang is prepared on every member
 * (a reservation under lease) and committed only when all have it; each command carries the
 * scheduler's fencing token and an agent refuses a lower one than it has seen.
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

/** One attempt to run a job. A job that is stopped and placed anew has a higher attempt. */
struct AttemptId {
    base::JobId job;
    std::uint32_t attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
    MSGPACK_DEFINE_MAP(job, attempt);
};

enum class TaskState : std::uint8_t {
    Absent,
    /** Reserved under lease, not started. */
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
    /** The reservation lapses after this unless committed. */
    std::chrono::milliseconds lease{0};
    /** All members, in order of rank; the first is the lead of the gang's own heartbeats. */
    std::vector<GangMember> members;

    MSGPACK_DEFINE_MAP(token, region, attempt, agentIncarnation, rank, shape, idempotent, checkpointable, runTime, resumeFrom, lease, members);
};

/** Lets a prepared member start once its barrier is reached and its start permit allows. */
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

/** What runs beside this agent; a new scheduler rebuilds its view from it. */
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
    /** The gang must stop, here and everywhere. */
    bool mustStop = false;
    std::string reason;

    MSGPACK_DEFINE_MAP(barrierOpen, mustStop, reason);
};

/** Heartbeat of a member to its gang's lead. A member that hears no reply for the gang lease stops its task. */
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

/** An agent tells the scheduling entry that a task ended or the gang broke. Repeated until accepted. */
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
