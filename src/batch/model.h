/**
 * Jobs of several steps, as callers submit them and as hosts run them. These types carry no decision; the core decides over them,
 * the records keep them and the agents execute them.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "base/ids.h"
#include "wire/chrono.h"

namespace plantainfork::batch
{

using HostId = base::Name<struct HostIdTag>;
using QueueId = base::Name<struct QueueIdTag>;
/** Numbers the starts of a unit; the members of a gang share it. */
using Attempt = base::Number<struct AttemptTag>;

/** Wall-clock time, used only for work that is due at a time of day. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** What a task takes from a host, or what a host has. */
struct Room {
    std::int64_t millicores = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    [[nodiscard]] bool covers(const Room &need) const
    {
        return need.millicores <= millicores && need.memoryMib <= memoryMib && need.accelerators <= accelerators;
    }
    Room &operator+=(const Room &other)
    {
        millicores += other.millicores;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }
    Room &operator-=(const Room &other)
    {
        millicores -= other.millicores;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }
    auto operator<=>(const Room &) const = default;
    MSGPACK_DEFINE(millicores, memoryMib, accelerators);
};

/** A number of equal tasks of a job. */
struct Step {
    std::uint32_t tasks = 1;
    /** Need of one task. */
    Room need;
    /** The caller's guess of one task's run time. */
    std::chrono::milliseconds estimate{0};
    /** Earlier steps whose tasks must all be done first. */
    std::vector<std::uint32_t> after;
    /** All tasks run together or not at all. */
    bool isGang = false;
    /** A gang over several racks is slowed by Bounds::remoteFactor. */
    bool wantsOneRack = false;
    /** Progress survives a stop. */
    bool hasCheckpoints = false;
    /** Copies of a task may run side by side. */
    bool allowsCopies = false;
    /** Runs until its job is cancelled and is started again however it ends. */
    bool isLasting = false;
    /** Takes processor time that other tasks leave; its cores don't count against a host. */
    bool isFiller = false;
    /** A host without this label can't run it; empty: any host can. */
    std::string requiredLabel;
    /** Rack that holds its data; elsewhere it is slowed by Bounds::remoteFactor. Empty: no preference. */
    std::string dataRack;
    /** Most tasks of the step on one host; 0: no limit. */
    std::uint32_t mostPerHost = 0;

    /** What a task counts for against a host's capacity. */
    [[nodiscard]] Room countedNeed() const
    {
        Room counted = need;
        counted.millicores = isFiller ? 0 : need.millicores;
        return counted;
    }
    MSGPACK_DEFINE(tasks, need, estimate, after, isGang, wantsOneRack, hasCheckpoints, allowsCopies, isLasting, isFiller, requiredLabel, dataRack, mostPerHost);
};

/** A job as submitted. Written once and never changed. */
struct JobSpec {
    base::JobId id;
    QueueId queue;
    base::ServiceId service;
    base::WorkspaceId workspace;
    /** Opaque text that each start carries. */
    std::string payload;
    std::vector<Step> steps;
    /** How often all steps run; 0 for a job that runs once, at once. */
    std::uint32_t occurrences = 0;
    /** Unix milliseconds at which occurrence 0 is due; the next ones follow by the period. */
    std::int64_t firstDueMs = 0;
    std::chrono::milliseconds period{0};
    /** Unix milliseconds of acceptance, for the age of a job after a change of scheduler. */
    std::int64_t acceptedMs = 0;
    /** The queue's terms at acceptance, which hold on when the queue is removed. */
    std::uint32_t priority = 0;
    std::uint32_t mostFailures = 1;
    double slackFactor = 1.0;
    std::chrono::milliseconds latencyTarget{0};

    MSGPACK_DEFINE(id,
                   queue,
                   service,
                   workspace,
                   payload,
                   steps,
                   occurrences,
                   firstDueMs,
                   period,
                   acceptedMs,
                   priority,
                   mostFailures,
                   slackFactor,
                   latencyTarget);
};

enum class JobStatus : std::uint8_t {
    Queued,
    Active,
    Complete,
    Failed,
    Cancelled,
};

[[nodiscard]] constexpr bool isEnded(JobStatus status)
{
    return status == JobStatus::Complete || status == JobStatus::Failed || status == JobStatus::Cancelled;
}

/** One task of one occurrence of a job. */
struct TaskId {
    base::JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default;
    [[nodiscard]] std::string text() const
    {
        return job.value() + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index);
    }
    MSGPACK_DEFINE(job, occurrence, step, index);
};

/** One start of a task. */
struct RunId {
    TaskId task;
    Attempt attempt;

    auto operator<=>(const RunId &) const = default;
    MSGPACK_DEFINE(task, attempt);
};

enum class EndKind : std::uint8_t {
    Done,
    /** By the task's own fault or its host's. */
    Failed,
    Stopped,
    /** The host's right to run it was not prolonged in time. */
    Lapsed,
    /** Another member of its gang ended. */
    Broken,
    /** The other members of its gang did not appear in time. */
    Alone,
    /** The host did not start it, and can't any more. */
    Refused,
    /** The host's process that ran it is gone. */
    Lost,
};

/** A run that a host lists as under way. */
struct Running {
    RunId run;
    /** Latest checkpoint; empty: none. */
    std::string checkpoint;
    /** Share of its work that is done, 0 to 100. */
    std::uint32_t percent = 0;

    MSGPACK_DEFINE(run, checkpoint, percent);
};

/** A run that has ended and stays listed by its host until acknowledged. */
struct Ended {
    /** Grows by one with each end of one host incarnation, from 1. */
    std::uint64_t number = 0;
    RunId run;
    EndKind kind = EndKind::Lost;
    std::string checkpoint;

    MSGPACK_DEFINE(number, run, kind, checkpoint);
};

/** One life of a host's executor process. */
struct HostIncarnation {
    std::string instance;
    /** Unix milliseconds of its start. */
    std::uint64_t born = 0;

    auto operator<=>(const HostIncarnation &) const = default;
    MSGPACK_DEFINE(instance, born);
};

/** What a host's executor says of itself. */
struct HostReport {
    HostIncarnation incarnation;
    base::ServiceId service;
    base::DataCentreId dataCentre;
    Room capacity;
    std::set<std::string> labels;
    /** Takes nothing new; what runs may end by itself within `remaining`. */
    bool isDraining = false;
    std::chrono::milliseconds remaining{0};
    /** It has said goodbye: nothing runs there any more. */
    bool hasLeft = false;

    MSGPACK_DEFINE(incarnation, service, dataCentre, capacity, labels, isDraining, remaining, hasLeft);
};

/** A queue of callers' jobs, as the operator defines it. */
struct Queue {
    QueueId id;
    std::string host;
    std::string prefix;
    base::ServiceId service;
    /** 0 comes first and may take room back from the others. */
    std::uint32_t priority = 0;
    /** Failed runs after which a task, and its job, has failed. */
    std::uint32_t mostFailures = 1;
    /** A job is in time within this many times its own run time, plus `latencyTarget`. */
    double slackFactor = 1.0;
    std::chrono::milliseconds latencyTarget{0};
    /** Needs no key. */
    bool isPublic = false;
};

struct Workspace {
    base::WorkspaceId id;
    /** Accelerators that belong to its jobs of priority 0 at all times. */
    std::int64_t guaranteedAccelerators = 0;
};

/** What the operator wants, as one immutable version. */
struct Policy {
    std::uint64_t version = 0;
    std::map<QueueId, Queue> queues;
    std::map<base::WorkspaceId, Workspace> workspaces;
    /** Callers' keys. */
    std::map<std::string, base::WorkspaceId> keys;
};

} // namespace plantainfork::batch

MSGPACK_ADD_ENUM(plantainfork::batch::JobStatus);
MSGPACK_ADD_ENUM(plantainfork::batch::EndKind);
