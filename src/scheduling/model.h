/**
 * The interface types of the scheduling core: its input (events), its output (commands and explanations) and
 * the results of queries. They are plain values; the driver in src/jobs translates them to and from messages and
 * store writes.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "runtime/clock.h"
#include "wire/config_messages.h"
#include "wire/gang_messages.h"
#include "wire/resources.h"

namespace plantainfork::scheduling
{

/** A submitted job as it is recorded in the store. */
struct JobSpec {
    base::JobId id;
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    wire::Shape shape;
    bool idempotent = true;
    /** Whether a stopped gang can resume from its last checkpoint. */
    bool checkpointable = false;
    wire::Urgency urgency = wire::Urgency::Normal;
    /** Run time declared by the caller; may be wrong by an order of magnitude. Zero means not declared. */
    std::chrono::milliseconds runTime{0};
    /** When the job should have finished; unset means no deadline. */
    std::optional<runtime::Instant> deadline;
    runtime::Instant submitted;
    /** Run time covered by the last checkpoint. */
    std::chrono::milliseconds checkpointed{0};
    /** Highest attempt number used so far; the next start is attempt + 1. */
    std::uint32_t attempt = 0;
};

/** The worker of each rank of a gang, in rank order. A worker may appear more than once. */
using Placement = std::vector<base::MemberId>;

// Events ------------------------------------------------------------------------------------------

/** A worker was discovered or has changed. An event that repeats the known state is ignored. */
struct WorkerUpdated {
    base::MemberId id;
    base::Incarnation incarnation;
    base::DataCentreId dataCentre;
    base::RegionId region;
    base::RackId rack;
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint64_t memoryMiB = 0;
    /** Only workers that are Alive receive new work. */
    wire::MemberState state = wire::MemberState::Alive;
    /** Number of consecutive task failures. */
    std::uint32_t consecutiveFailures = 0;

    bool operator==(const WorkerUpdated &) const = default;
};

/** The worker's lease has expired without a heartbeat. Every gang with a member on it is stopped as a whole. */
struct WorkerLost {
    base::MemberId id;
};

struct ConfigChanged {
    std::shared_ptr<const wire::Config> config;
};

struct JobSubmitted {
    JobSpec job;
};

struct JobCancelled {
    base::JobId job;
};

/** A member refused to prepare. The driver has released the prepared members, so no part of the gang is running. */
struct PrepareRefused {
    wire::AttemptId attempt;
    base::MemberId member;
    std::string reason;
};

/** The start barrier has opened: all members of the gang are running. */
struct GangStarted {
    wire::AttemptId attempt;
};

/** A task ended without having been stopped by the core. The first failure stops the whole gang. */
struct TaskEnded {
    wire::AttemptId attempt;
    std::uint32_t rank = 0;
    wire::TaskState state = wire::TaskState::Finished;
    std::chrono::milliseconds checkpointed{0};
    std::string detail;
};

/** No member of the attempt is running or will start. Sent in response to StopGang, but also without one. */
struct GangStopped {
    wire::AttemptId attempt;
    /** Run time covered by the last checkpoint of the whole gang. */
    std::chrono::milliseconds checkpointed{0};
};

/** Resource usage of a task, measured a few seconds ago. */
struct UsageReported {
    wire::AttemptId attempt;
    std::uint32_t rank = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint64_t memoryMiB = 0;
    std::chrono::milliseconds checkpointed{0};
};

enum class RestoredState : std::uint8_t {
    /** Prepared or running; it continues unchanged. */
    Running,
    /** Being stopped, for any reason; the job is queued again once the gang has stopped. */
    Stopping,
};

/**
 * A gang that was started by an earlier leader. Sent to a new scheduler after the workers and the configuration.
 * Members that no longer have their task are missing from the placement; an incomplete gang is stopped.
 */
struct GangRestored {
    JobSpec job;
    wire::AttemptId attempt;
    Placement placement;
    RestoredState state = RestoredState::Running;
};

/** Advances the time when there is no other event. Sent at least once per second. */
struct Tick {
};

using Event = std::variant<WorkerUpdated,
                           WorkerLost,
                           ConfigChanged,
                           JobSubmitted,
                           JobCancelled,
                           PrepareRefused,
                           GangStarted,
                           TaskEnded,
                           GangStopped,
                           UsageReported,
                           GangRestored,
                           Tick>;

// Commands ----------------------------------------------------------------------------------------

/** Prepare every member of the placement, then commit. Answered by GangStarted, PrepareRefused or GangStopped. */
struct StartGang {
    wire::AttemptId attempt;
    wire::Shape shape;
    Placement placement;
    std::chrono::milliseconds resumeFrom{0};
    std::string reason;
};

/**
 * Checkpoint and Stop end the gang on every member and are answered by GangStopped. A later Stop for the same
 * attempt supersedes a Checkpoint. Throttle limits the gang to its declared size while it keeps running; it is not answered.
 */
struct StopGang {
    wire::AttemptId attempt;
    wire::StopMode mode = wire::StopMode::Stop;
    std::string reason;
};

enum class JobOutcome : std::uint8_t {
    Finished,
    Failed,
    Cancelled,
    /** Refused because it can never run on this inventory. */
    Impossible,
};

/** The job has ended and its record may be closed. The core no longer knows the job. */
struct FinishJob {
    base::JobId job;
    JobOutcome outcome = JobOutcome::Finished;
    std::string reason;
};

using Command = std::variant<StartGang, StopGang, FinishJob>;

// Explanations ------------------------------------------------------------------------------------

enum class JobPhase : std::uint8_t {
    /** Queued without a reservation. */
    Waiting,
    /** Queued with a reservation: a set of workers is kept for it as they become free. */
    Reserved,
    /** Placed; the gangs that borrow its capacity are being stopped. */
    Reclaiming,
    /** StartGang was issued and not answered yet. */
    Starting,
    Running,
    Stopping,
    Ended,
};

/** On what terms a gang uses its capacity, which decides whether it can be preempted. */
enum class Tenure : std::uint8_t {
    None,
    /** Counts against the workspace's guarantee; never preempted. */
    Guaranteed,
    /** Uses capacity that no guarantee needs, because it cannot be preempted. */
    Unreserved,
    /** May be preempted at any time. */
    Borrowed,
};

/** The state of a job and the reason of the last decision about it. */
struct Explanation {
    base::JobId job;
    JobPhase phase = JobPhase::Waiting;
    Tenure tenure = Tenure::None;
    /** When the phase or the reason last changed. */
    runtime::Instant since;
    /** A phrase, for example "waits: no rack has 4 members of 8 accelerators free". */
    std::string reason;
    std::uint32_t attempt = 0;
    /** Where the job runs or will run, or the workers that are reserved for it. */
    Placement placement;
    /** Jobs that are being stopped to make room for this one. */
    std::vector<base::JobId> waitsFor;
    /** Estimated start time; may change. */
    std::optional<runtime::Instant> expectedStart;
    std::uint32_t preemptions = 0;
};

struct Decision {
    std::vector<Command> commands;
    /** Explanations of the jobs whose phase or reason changed. */
    std::vector<Explanation> explanations;
};

// Queries -----------------------------------------------------------------------------------------

struct DataCentreCapacity {
    base::DataCentreId id;
    wire::DataCentreMode mode = wire::DataCentreMode::In;
    std::uint32_t workers = 0;
    /** Workers that receive no new work: leaving, or quarantined because every task on them fails. */
    std::uint32_t leaving = 0;
    std::uint32_t quarantined = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t freeAccelerators = 0;
    std::uint32_t borrowedAccelerators = 0;
    /** Used by gangs that cannot be preempted. */
    std::uint32_t firmAccelerators = 0;
    /** Reserved for guarantees that are not in use; either free or borrowed. */
    std::uint32_t reservedAccelerators = 0;
    std::uint32_t freeCores = 0;
    /** Number of workers by number of free accelerators. */
    std::vector<std::uint32_t> workersByFree;
    /** Largest number of free accelerators on one host and in one rack. */
    std::uint32_t largestFreeHost = 0;
    std::uint32_t largestFreeRack = 0;
    /** Free accelerators that no member of the largest wanted shape can use. */
    std::uint32_t fragmentedAccelerators = 0;
};

struct Capacity {
    std::vector<DataCentreCapacity> dataCentres;
    /** The largest shape of any grant or waiting job. */
    wire::Shape largestWanted;
    std::uint32_t waitingJobs = 0;
    std::uint32_t runningGangs = 0;
};

/** Capacity reserved for a guaranteed gang that is not running. It may be borrowed by gangs that can be preempted. */
struct ReservedPlace {
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    wire::Shape shape;
    Placement placement;
};

/** Guaranteed gangs that cannot be placed at present, even by preempting all borrowers. */
struct UnmetGuarantee {
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    wire::Shape shape;
    std::uint32_t gangs = 0;
    std::string reason;
};

} // namespace plantainfork::scheduling
