/**
 * Jobs, their units and what hosts say about them: the state that the scheduler in office decides over. A unit is what is started
 * and ends as one: a gang, or a single task of any other step. Pure: times come from the caller.
 */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batch/messages.h"
#include "batch/model.h"
#include "batch/records.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

using runtime::Instant;

enum class MemberPhase {
    /** It may or may not have begun. */
    Ordered,
    Running,
    Ended,
};

/** One task of a placed unit. */
struct Member {
    HostId host;
    HostIncarnation incarnation;
    MemberPhase phase = MemberPhase::Ordered;
    EndKind end = EndKind::Lost;
    std::uint32_t percent = 0;
    /** Percentage when it was first listed, from which its speed is taken: `startedAt` may be later than its start. */
    std::uint32_t firstPercent = 0;
    /** When `percent` last changed. */
    Instant progressedAt;
    Instant orderedAt;
    Instant startedAt;
};

enum class UnitPhase {
    Waiting,
    Placed,
    Done,
};

enum class StopReason {
    None,
    Cancelled,
    JobFailed,
    /** Another member of the gang has ended. */
    GangBroken,
    /** Its room is taken back for more urgent work. */
    Preempted,
    HostLeaving,
    /** It makes no progress where it is. */
    Stalled,
    /** An earlier attempt turned out to be done. */
    Superseded,
    /** Its executor started anew under the same id, and the order may have reached either life. */
    HostRestarted,
};

[[nodiscard]] std::string_view statusText(JobStatus status);
[[nodiscard]] std::string_view stopReasonText(StopReason reason);

struct Unit {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    UnitPhase phase = UnitPhase::Waiting;
    Attempt attempt;
    /** Attempts that ended as failed, each once however often its end is heard. */
    std::set<Attempt> failures;
    std::string checkpoint;
    /** Share of the work that the checkpoint saves, as far as it was seen; 0 after a change of scheduler. */
    std::uint32_t savedPercent = 0;
    /** Empty unless placed, or done with members whose ends haven't been listed yet. One a task, in the order of the gang. */
    std::vector<Member> members;
    StopReason stopReason = StopReason::None;
    /** Hosts on which it failed; others are preferred. */
    std::set<HostId> failedHosts;

    [[nodiscard]] bool hasMembers() const
    {
        return !members.empty();
    }
};

struct Job {
    JobSpec spec;
    JobStatus status = JobStatus::Queued;
    /** Occurrence by occurrence, step by step, task by task. */
    std::vector<Unit> units;
    bool isCancelled = false;
    /** The state record in the store is older than this state. */
    bool isDirty = false;
    /** A running unit has a checkpoint that the record doesn't. */
    bool hasNewCheckpoint = false;
    Instant recordedAt;
    Instant acceptedAt;
    std::int64_t endedMs = 0;
    /** Offset of a step's first unit within one occurrence. */
    std::vector<std::size_t> stepOffsets;
    std::size_t unitsPerOccurrence = 0;
    /** Terms at acceptance. */
    Queue acceptedQueue;

    [[nodiscard]] const Step &stepOf(const Unit &unit) const
    {
        return spec.steps[unit.step];
    }
    [[nodiscard]] Unit *unit(const TaskId &task);
    [[nodiscard]] std::size_t memberIndex(const TaskId &task) const
    {
        return spec.steps[task.step].isGang ? task.index : 0;
    }
    /** All units of a step of one occurrence are done. */
    [[nodiscard]] bool isStepDone(std::uint32_t occurrence, std::uint32_t step) const;
    /** Its job goes on, its occurrence is due and the steps before it are done. */
    [[nodiscard]] bool isReady(const Unit &unit, WallTime wallNow) const;
    [[nodiscard]] TaskId taskOf(const Unit &unit, std::size_t member) const;
    [[nodiscard]] WallTime dueAt(std::uint32_t occurrence) const;
};

/** A unit and its job, by address: jobs stay where they are in the map. */
struct UnitRef {
    Job *job = nullptr;
    Unit *unit = nullptr;

    auto operator<=>(const UnitRef &) const = default;
    [[nodiscard]] const Step &step() const
    {
        return job->stepOf(*unit);
    }
};

struct Host {
    HostId id;
    HostReport report;
    bool hasReport = false;
    /** Its runs have been listed under this scheduler's token. */
    bool isListed = false;
    Instant lastHeardAt;
    /** When it said goodbye; the least instant while it has not. */
    Instant leftAt;
    /** A draining host stays at least until then. */
    Instant drainDeadline;
    std::uint64_t agentIncarnation = 0;
    std::uint64_t sequence = 0;
    /** Ends up to this number are reflected in the jobs' states. */
    std::uint64_t processedEnds = 0;
    /** Listed runs that no job wants there. */
    std::set<RunId> unexpectedRuns;
    /** Failed runs since the last success, each of a unit that hadn't failed elsewhere. */
    unsigned consecutiveFailures = 0;
    /** Takes no new work before. */
    Instant suspendedUntil;
    /** Version of its orders; grows when they change. */
    std::uint64_t ordersVersion = 0;
};

/** Something that happened to a request or a belief, for the log. */
struct Event {
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/** How long a job waited for its first placement, or took to its end, counted from its acceptance. */
struct JobTiming {
    base::WorkspaceId workspace;
    std::uint32_t priority = 0;
    /** Active: it was placed for the first time; otherwise how it ended. */
    JobStatus status = JobStatus::Active;
    std::chrono::milliseconds age{0};
};

struct WorkloadBounds {
    /** The longest that an agent which isn't heard lets its host run on. From the platform's bound on a lease. */
    std::chrono::milliseconds longestGrant{9000};
    /** Added to the grant before a silent host's runs are taken for ended: 2 % drift of its clock, and scheduling delays. */
    std::chrono::milliseconds grantMargin{700};
    /** Failures in a row after which a host takes no new work for a while. */
    unsigned suspensionThreshold = 2;
    std::chrono::milliseconds suspensionDuration{6000};
    /** From an executor's goodbye until nothing of it can run any more. */
    std::chrono::milliseconds departureMargin{800};
    /** Running units' checkpoints are recorded at most this often for each job; executors make one in one to two seconds. */
    std::chrono::milliseconds checkpointInterval{2000};
};

class Workload
{
public:
    Workload(base::FencingToken token, WorkloadBounds bounds, Instant termStart);

    /** A job from its record, with what earlier schedulers recorded of it. A known job stays as it is. */
    void addJob(JobSpec spec, const std::optional<JobState> &state, Instant now, WallTime wallNow);
    void cancelJob(const base::JobId &id, WallTime wallNow);
    void forgetJob(const base::JobId &id);

    /** Takes in what an agent says. Returns false for a call that is older than one already heard. */
    bool hear(const SyncCall &call, Instant now, WallTime wallNow);
    /** Counts runs on hosts as lost whose agents have been silent for longer than a grant. */
    void expireSilentHosts(Instant now, WallTime wallNow);

    /** Orders a placement; its job must be recorded before any host hears of it. */
    void place(UnitRef ref, const std::vector<HostId> &hosts, Instant now);
    void stop(UnitRef ref, StopReason reason);
    /** Marks jobs whose running units have checkpoints worth a record by now. */
    void markCheckpoints(Instant now);

    /** What a host should run and stop now. */
    [[nodiscard]] Orders ordersFor(const Host &host) const;
    [[nodiscard]] JobState recordOf(const Job &job) const;
    /** Whether the host may be given work: listed and heard of lately. */
    [[nodiscard]] bool isReachable(const Host &host, Instant now) const;

    [[nodiscard]] std::map<base::JobId, Job> &jobs()
    {
        return m_jobs;
    }
    [[nodiscard]] std::map<HostId, Host> &hosts()
    {
        return m_hosts;
    }
    [[nodiscard]] const std::map<HostId, Host> &hosts() const
    {
        return m_hosts;
    }
    void setPolicy(std::shared_ptr<const Policy> policy)
    {
        m_policy = std::move(policy);
    }
    [[nodiscard]] const Policy &policy() const
    {
        return *m_policy;
    }
    /** The terms of the job's queue now, or those at acceptance when the queue is gone. */
    [[nodiscard]] const Queue &queueOf(const Job &job) const;
    [[nodiscard]] std::uint32_t priorityOf(const Job &job) const
    {
        return queueOf(job).priority;
    }
    [[nodiscard]] std::vector<Event> takeEvents();
    [[nodiscard]] std::vector<JobTiming> takeTimings();
    void log(std::string name, std::vector<std::pair<std::string, std::string>> fields);

    /** Silence after which a host gets no new work; two held calls and their travel. */
    static constexpr std::chrono::milliseconds ContactTimeout{2600};

private:
    void applyReport(Host &host, const SyncCall &call, Instant now, WallTime wallNow);
    void applyRunningRuns(Host &host, const SyncCall &call, Instant now);
    void applyEndedRuns(Host &host, const SyncCall &call, Instant now, WallTime wallNow);
    void applyBarredRuns(Host &host, const SyncCall &call, Instant now, WallTime wallNow);
    /** Ends what ran in an earlier life of the host's executor, and bars there what may have been started in this one. */
    void resolveRestartedExecutor(const Host &host, Instant now, WallTime wallNow);
    void markMemberLost(Job &job, Unit &unit, std::size_t member, Instant now, WallTime wallNow, std::string_view why);
    void markMembersLost(const HostId &host, Instant now, WallTime wallNow, std::string_view why);
    void endMember(Job &job, Unit &unit, std::size_t member, EndKind kind, const std::string &checkpoint, Instant now, WallTime wallNow);
    void updateUnitAfterEnd(Job &job, Unit &unit, Instant now, WallTime wallNow);
    /** An end of an attempt that is no longer the one in force: its host was taken for lost. */
    void applyLateEnd(const Ended &ended, WallTime wallNow);
    [[nodiscard]] bool hasReachedFailureLimit(const Job &job, const Unit &unit) const;
    void countFailure(Job &job, Unit &unit, const Member &member, Instant now);
    void endJob(Job &job, JobStatus status, WallTime wallNow);
    void finishJobIfDone(Job &job, WallTime wallNow);
    /** The member that a run means, if its attempt is the one in force. */
    [[nodiscard]] std::optional<std::pair<UnitRef, std::size_t>> find(const RunId &run, const HostId &host);

    base::FencingToken m_token;
    WorkloadBounds m_bounds;
    Instant m_termStart;
    std::shared_ptr<const Policy> m_policy = std::make_shared<Policy>();
    std::map<base::JobId, Job> m_jobs;
    std::map<HostId, Host> m_hosts;
    std::vector<Event> m_events;
    std::vector<JobTiming> m_timings;
};

} // namespace plantainfork::batch
