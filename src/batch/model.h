/**
 * Data types for jobs, tasks, hosts, queues and workspaces, shared by the planner, the records in the store and the agents. They contain
 * no scheduling logic.
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
/** Number of one start of a unit; all members of a gang share it. */
using Attempt = base::Number<struct AttemptTag>;

/** Wall-clock time, used for work that is due at a given time and for the times of acceptance and end that are stored. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** Resources that a task needs or that a host provides. */
struct Resources {
    std::int64_t millicores = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    [[nodiscard]] bool covers(const Resources &need) const
    {
        return need.millicores <= millicores && need.memoryMib <= memoryMib && need.accelerators <= accelerators;
    }
    Resources &operator+=(const Resources &other)
    {
        millicores += other.millicores;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        millicores -= other.millicores;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }
    auto operator<=>(const Resources &) const = default;
    MSGPACK_DEFINE(millicores, memoryMib, accelerators);
};

/** A step of a job: a number of identical tasks. */
struct Step {
    std::uint32_t tasks = 1;
    /** Resources that one task needs. */
    Resources need;
    /** The caller's estimate of the run time of one task. */
    std::chrono::milliseconds estimate{0};
    /** Indices of earlier steps that must be done before this one starts. */
    std::vector<std::uint32_t> dependsOn;
    /** All tasks are started together or not at all, and end together. */
    bool isGang = false;
    /** The gang prefers a single rack; spread over several, it is slowed down by PlannerBounds::remoteFactor. */
    bool prefersSingleRack = false;
    /** The tasks write checkpoints, so their progress survives a stop. */
    bool hasCheckpoints = false;
    /** Several copies of a task may run at the same time. */
    bool allowsSpeculativeCopies = false;
    /** Runs until its job is cancelled; restarted whenever it ends, whatever the cause. */
    bool isLongRunning = false;
    /** Uses only processor time that other tasks leave idle; its cores don't count against the host's capacity. */
    bool isBestEffort = false;
    /** Only hosts with this label can run it. Empty: any host can. */
    std::string requiredLabel;
    /** Rack that holds its data; in other racks it is slowed down by PlannerBounds::remoteFactor. Empty: no preference. */
    std::string dataRack;
    /** Maximum number of tasks of this step on one host; 0: no limit. */
    std::uint32_t maxTasksPerHost = 0;

    /** Resources of one task that count against a host's capacity. */
    [[nodiscard]] Resources countedNeed() const
    {
        Resources counted = need;
        counted.millicores = isBestEffort ? 0 : need.millicores;
        return counted;
    }
    MSGPACK_DEFINE(tasks,
                   need,
                   estimate,
                   dependsOn,
                   isGang,
                   prefersSingleRack,
                   hasCheckpoints,
                   allowsSpeculativeCopies,
                   isLongRunning,
                   isBestEffort,
                   requiredLabel,
                   dataRack,
                   maxTasksPerHost);
};

/** A job as submitted. Immutable once written to the store. */
struct JobSpec {
    base::JobId id;
    QueueId queue;
    base::ServiceId service;
    base::WorkspaceId workspace;
    /** Opaque text that is passed to the executor with each start. */
    std::string payload;
    std::vector<Step> steps;
    /** How many times all steps run; 0 for a job that runs once, immediately. */
    std::uint32_t occurrences = 0;
    /** Unix milliseconds at which occurrence 0 is due; each later one is due one period after the one before. */
    std::int64_t firstDueMs = 0;
    std::chrono::milliseconds period{0};
    /** Unix milliseconds of acceptance, so that a new leader knows the age of the job. */
    std::int64_t acceptedMs = 0;
    /** The queue's settings at acceptance, from here on; used if the queue is removed. */
    std::uint32_t priority = 0;
    std::uint32_t maxFailures = 1;
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
                   maxFailures,
                   slackFactor,
                   latencyTarget);
};

enum class JobStatus : std::uint8_t {
    /** No task has begun. Tasks may have been ordered to start. */
    Queued,
    /** A task has begun, whatever has become of it. */
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

/** Identifies a run: one task of one attempt. */
struct RunId {
    TaskId task;
    Attempt attempt;

    auto operator<=>(const RunId &) const = default;
    MSGPACK_DEFINE(task, attempt);
};

enum class EndKind : std::uint8_t {
    Done,
    /** The task failed, through its own fault or its host's. */
    Failed,
    Stopped,
    /** The executor's lease, under which it ran, was not renewed in time. */
    Lapsed,
    /** Another member of its gang ended. */
    Broken,
    /** The other members of its gang did not start in time. */
    Alone,
    /** The host did not start it and will not start it any more. */
    Refused,
    /** The executor process that ran it is gone. */
    Lost,
};

/** A run that a host lists as active. */
struct Running {
    RunId run;
    /** Latest checkpoint; empty: none. */
    std::string checkpoint;
    /** Progress in percent, 0 to 100. */
    std::uint32_t percent = 0;

    MSGPACK_DEFINE(run, checkpoint, percent);
};

/** A run that has ended. Its host keeps listing it until the end is acknowledged. */
struct Ended {
    /** Sequence number of the end within one host incarnation, from 1. */
    std::uint64_t number = 0;
    RunId run;
    EndKind kind = EndKind::Lost;
    std::string checkpoint;

    MSGPACK_DEFINE(number, run, kind, checkpoint);
};

/** Identifies one executor process of a host, from its start to its end. */
struct HostIncarnation {
    std::string instance;
    /** Unix milliseconds of its start. */
    std::uint64_t born = 0;

    auto operator<=>(const HostIncarnation &) const = default;
    MSGPACK_DEFINE(instance, born);
};

/** A host's state as its executor announces it. */
struct HostReport {
    HostIncarnation incarnation;
    base::ServiceId service;
    base::DataCentreId dataCentre;
    Resources capacity;
    std::set<std::string> labels;
    /** The host takes no new tasks; active runs may continue for `remaining`. */
    bool isDraining = false;
    std::chrono::milliseconds remaining{0};
    /** A goodbye has come under its id; it takes no new tasks. A goodbye proves nothing, as anyone may send one, and one may come late. */
    bool isLeaving = false;
    /** After the goodbye, nothing listens at its address any more; its runs end within WorkloadBounds::departureMargin. */
    bool hasLeft = false;

    MSGPACK_DEFINE(incarnation, service, dataCentre, capacity, labels, isDraining, remaining, hasLeft, isLeaving);
};

/** A queue for callers' jobs, as defined by the operator. */
struct Queue {
    QueueId id;
    std::string host;
    std::string prefix;
    base::ServiceId service;
    /** 0 is the most urgent and may preempt all others. */
    std::uint32_t priority = 0;
    /** Number of failed attempts after which a task, and with it its job, has failed. */
    std::uint32_t maxFailures = 1;
    /** A job meets its objective if it takes at most this many times its own run time, plus `latencyTarget`. */
    double slackFactor = 1.0;
    std::chrono::milliseconds latencyTarget{0};
    /** Callers need no key. */
    bool isPublic = false;
};

struct Workspace {
    base::WorkspaceId id;
    /** Accelerators guaranteed to its jobs of priority 0 at any time. */
    std::int64_t guaranteedAccelerators = 0;
};

/** One immutable version of the operator's configuration of queues, workspaces and keys. */
struct Policy {
    std::uint64_t version = 0;
    std::map<QueueId, Queue> queues;
    std::map<base::WorkspaceId, Workspace> workspaces;
    /** Workspace of each caller, by the caller's key. */
    std::map<std::string, base::WorkspaceId> keys;
};

} // namespace plantainfork::batch

MSGPACK_ADD_ENUM(plantainfork::batch::JobStatus);
MSGPACK_ADD_ENUM(plantainfork::batch::EndKind);
