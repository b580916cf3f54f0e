/**
 * The leader's in-memory state: jobs, their units, and the hosts as their agents report them. A unit is the smallest thing that is started
 * and ends as a whole: a gang, or a single task of any other step. Does no I/O and reads no clock: the caller passes the time.
 */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batch/admission.h"
#include "batch/fair_share.h"
#include "batch/host_losses.h"
#include "batch/host_speeds.h"
#include "batch/job_shape.h"
#include "batch/messages.h"
#include "batch/model.h"
#include "batch/records.h"
#include "batch/unit_table.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

using runtime::Instant;

enum class MemberPhase {
    /** The start was ordered; the task may or may not be running yet. */
    Ordered,
    Running,
    Ended,
};

/** One task of a placed unit. */
struct Member {
    HostId host;
    /** Host::number of the host. */
    std::size_t hostNumber = 0;
    HostIncarnation incarnation;
    MemberPhase phase = MemberPhase::Ordered;
    /** The executor has confirmed the start, or has listed the run. */
    bool hasBegun = false;
    EndKind end = EndKind::Lost;
    std::uint32_t percent = 0;
    /** Progress when the host first listed the run. Speed is measured from here because `startedAt` may be later than the actual start. */
    std::uint32_t firstPercent = 0;
    /** When `percent` last changed. */
    Instant progressedAt;
    Instant orderedAt;
    /** When the run was first listed; until then, when it was ordered. */
    Instant startedAt;
    /** Weight of the sample of its pace that HostSpeeds has; a new one is passed on once it weighs clearly more. */
    double paceWeight = 0;
    /** It made no progress for a while, so its pace from its start says nothing about its host. */
    bool hasPaused = false;
    /** The first record of its job that has it; 0: it was in the record that this leader read. */
    std::uint64_t firstRecord = 0;
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
    /** Its resources are needed for more urgent work. */
    Preempted,
    HostLeaving,
    /** It makes no progress on its host. */
    Stalled,
    /** An earlier attempt, given up as lost, turned out to have completed. */
    Superseded,
    /** Its host's room has shrunk, and the host has not listed it yet. */
    NoRoom,
    /** Its host, on which it hasn't begun, no longer takes it: it drains or leaves, its data centre is evacuated, or its label or service differ. */
    HostClosed,
    /** Its executor restarted under the same id, and either incarnation may have received the order. */
    HostRestarted,
};

[[nodiscard]] std::string_view statusText(JobStatus status);
[[nodiscard]] std::string_view endKindText(EndKind kind);
/** Number of units that the step has in one occurrence. */
[[nodiscard]] std::uint32_t unitCount(const Step &step);
/** The rack among a host's labels: the first label with a hyphen, otherwise the last label. Empty if the host has no labels. */
[[nodiscard]] std::string rackOf(const HostReport &report);
[[nodiscard]] std::string_view stopReasonText(StopReason reason);
/** A part, 0 to 1, in whole percent. */
[[nodiscard]] std::int64_t percentOf(double part);

struct Unit {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    UnitPhase phase = UnitPhase::Waiting;
    Attempt attempt;
    /** Attempts that failed. A set, so that an end that is reported repeatedly counts once. */
    std::set<Attempt> failures;
    /** Since when the unit could have been running: its job's acceptance, the end of the steps it depends on, or the end of its last attempt. */
    Instant waitingSince;
    /** When a place away from its data's rack was first declined for it since it began to wait; Instant() if none was. */
    Instant placeDeclinedAt;
    std::string checkpoint;
    /** Known progress at the checkpoint, in percent. It is not recorded, so it is 0 after a change of leader. */
    std::uint32_t savedPercent = 0;
    /**
     * One member for each task, in the order of the gang. Empty unless the unit is placed, or is done while the ends of some members have
     * not been reported yet.
     */
    std::vector<Member> members;
    StopReason stopReason = StopReason::None;
    /** Hosts on which it has failed, or whose executor refused to start it; the planner prefers others. */
    std::set<HostId> failedHosts;
    /** Crashes of executors under its tasks. */
    Crashes crashes;
    /** Since it began to wait, a unit that would come after it went ahead because of its workspace's smaller share of service. */
    bool isPassedOver = false;

    [[nodiscard]] bool hasMembers() const
    {
        return !members.empty();
    }
    /** It has never been placed. */
    [[nodiscard]] bool isFresh() const
    {
        return attempt == Attempt() && phase == UnitPhase::Waiting;
    }
    /** Whether it may be what makes executors crash. */
    [[nodiscard]] bool isCrashSuspect() const
    {
        return isSuspect(crashes);
    }
};

/** The units of one step in one occurrence of a job. */
struct StepUnits {
    /** Units with lower indices are in Job::units or done; the others have never been started. */
    std::uint32_t next = 0;
    std::uint32_t done = 0;
};

struct Job {
    JobSpec spec;
    JobStatus status = JobStatus::Queued;
    /**
     * Units by number: sorted by occurrence, step and task. A sparse job has only those that are open, or next to be started; those that are
     * done are removed by Workload::removeDoneUnits().
     */
    UnitTable<Unit> units;
    bool isCancelled = false;
    /** The job's state record in the store is out of date. */
    bool isDirty = false;
    /** A running unit has a checkpoint that the state record doesn't contain yet. */
    bool hasNewCheckpoint = false;
    Instant recordedAt;
    /** Number of the next record of this term, and of the last one that is in the store. */
    std::uint64_t nextRecord = 1;
    std::uint64_t lastRecord = 0;
    /** Bytes of the last record. */
    std::size_t recordBytes = 0;
    /**
     * The record is large, and is written apart from the rounds. What the store doesn't have yet is neither ordered nor acknowledged. Otherwise a
     * round publishes nothing before all records of its changes are written.
     */
    bool isRecordedApart = false;
    /** A write of the record is under way. */
    bool isBeingRecorded = false;
    /** The store can't take the record: nothing of the job is started or recorded before this time. */
    Instant suspendedUntil;
    Instant acceptedAt;
    /** When the first occurrence is due; the time of acceptance if the job runs once. */
    Instant firstDueAt;
    std::int64_t endedMs = 0;
    JobShape shape;
    /** Offset of a step's first unit within one occurrence. */
    std::vector<std::size_t> stepOffsets;
    std::size_t unitsPerOccurrence = 0;
    /** Numbers of units and of tasks of all occurrences. */
    std::size_t unitCount = 0;
    std::size_t taskCount = 0;
    /** By occurrence and step. */
    std::vector<StepUnits> stepUnits;
    /** All units of earlier occurrences are done. */
    std::uint32_t firstOpenOccurrence = 0;
    /** When the steps that each step of each occurrence depends on became done; only of sparse jobs, and only of those that wait since then. */
    std::map<std::size_t, Instant> releasedAt;
    /** Numbers of units in the phases Waiting and Done, and of units that have members; kept by setPhase() and the workload. */
    std::size_t waitingUnits = 0;
    std::size_t allDoneUnits = 0;
    std::size_t unitsWithMembers = 0;
    /** The queue's settings when the job was accepted; used once the queue is removed. */
    Queue acceptedQueue;

    /** Whether the job has more units than get a state of their own at once. */
    [[nodiscard]] bool isSparse() const
    {
        return unitCount > JobLimits::DenseUnits;
    }
    [[nodiscard]] const Step &stepOf(const Unit &unit) const
    {
        return spec.steps[unit.step];
    }
    [[nodiscard]] std::size_t rangeIndex(std::uint32_t occurrence, std::uint32_t step) const
    {
        return occurrence * spec.steps.size() + step;
    }
    /** The unit that the task belongs to; null if the job has no such task, or the unit has no state: it was never started, or is done. */
    [[nodiscard]] Unit *unit(const TaskId &task);
    /** Adds the next unit of the step that has never been started; null if there is none. */
    Unit *addNextUnit(std::uint32_t occurrence, std::uint32_t step);
    [[nodiscard]] std::size_t memberIndex(const TaskId &task) const
    {
        return spec.steps[task.step].isGang ? task.index : 0;
    }
    /** Changes the unit's phase and the counts that depend on it. */
    void setPhase(Unit &unit, UnitPhase phase);
    /** Whether all units of the step are done in this occurrence. */
    [[nodiscard]] bool isStepDone(std::uint32_t occurrence, std::uint32_t step) const;
    /** Whether the job has not ended, the occurrence is due and the steps that the step depends on are done. */
    [[nodiscard]] bool isStepReady(std::uint32_t occurrence, std::uint32_t step, WallTime wallNow) const;
    /** Whether the unit may be placed: it waits, and its step is ready. */
    [[nodiscard]] bool isReady(const Unit &unit, WallTime wallNow) const;
    [[nodiscard]] TaskId taskOf(const Unit &unit, std::size_t member) const;
    [[nodiscard]] WallTime dueAt(std::uint32_t occurrence) const;
    /** When a unit of the step that has never been started began to wait. */
    [[nodiscard]] Instant waitingSince(std::uint32_t occurrence, std::uint32_t step) const;
    /** Number of tasks of units that have been started and are not done: those whose state is recorded one by one. */
    [[nodiscard]] std::size_t openTasks() const;
};

/** Pointers to a unit and its job. They stay valid until the job is forgotten, because map nodes don't move. */
struct UnitRef {
    Job *job = nullptr;
    Unit *unit = nullptr;

    auto operator<=>(const UnitRef &) const = default;
    [[nodiscard]] const Step &step() const
    {
        return job->stepOf(*unit);
    }
};

/** An end that isn't recorded yet, so it must not be acknowledged. */
struct UnrecordedEnd {
    base::JobId job;
    /** Number of the record that will have it. */
    std::uint64_t record = 0;
    std::uint64_t number = 0;
};

struct Host {
    HostId id;
    /** Hosts are numbered from 0 in the order in which they become known. */
    std::size_t number = 0;
    HostReport report;
    /** Rack according to the report's labels; empty if they name none. */
    std::string rack;
    bool hasReport = false;
    /** The host has listed its runs under this leader's fencing token. */
    bool isListed = false;
    /** When its agent last called. */
    Instant lastHeardAt;
    /** When its agent last called and had an answer of the executor. No grant is given otherwise, so the executor's lease ends a grant later at most. */
    Instant executorHeardAt;
    bool isExecutorReached = false;
    /** Its runs were given up, and the orders without them aren't published yet. */
    bool hasUnpublishedLosses = false;
    /** When its executor announced that it leaves; Instant() if it hasn't. */
    Instant leftAt;
    /** A draining host doesn't leave before this time. */
    Instant drainDeadline;
    std::uint64_t agentIncarnation = 0;
    std::uint64_t sequence = 0;
    /** Ended runs up to this number are reflected in the jobs' states. */
    std::uint64_t processedEnds = 0;
    /** Ended runs up to this number are acknowledged by the orders that were published last. */
    std::uint64_t acknowledgedEnds = 0;
    /** Ends that a record written apart is yet to have; one element for each job and record. */
    std::vector<UnrecordedEnd> unrecordedEnds;
    /** Starts are left out of the host's orders until it has listed earlier ones. */
    bool hasWithheldStarts = false;
    /** Listed runs that no job expects on this host; they are ordered to stop. */
    std::set<RunId> unexpectedRuns;
    /** Failed runs since the last success, counting only units that had not failed on other hosts before. */
    unsigned consecutiveFailures = 0;
    /** The host gets no new work before this time. */
    Instant suspendedUntil;
    /** When a crash of its executor was last heard of; Instant() if none was. */
    Instant crashedAt;
    /** Units with members on this host, in the order of their placement. */
    std::vector<UnitRef> units;
};

/** A log event: its name and fields. The caller writes it, since this class does no I/O. */
struct Event {
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/** Time from a job's acceptance until its first task began, or until its end, for the metrics. */
struct JobTiming {
    base::WorkspaceId workspace;
    std::uint32_t priority = 0;
    /** Active if the job's first task has begun, otherwise the status with which it ended. */
    JobStatus status = JobStatus::Active;
    std::chrono::milliseconds age{0};
};

struct WorkloadBounds {
    /** Maximum time for which an agent without contact to the leader lets its host's runs continue. Set from the platform's bound on a lease. */
    std::chrono::milliseconds maxGrant{9000};
    /** Added to the grant before the runs of a silent host are considered ended: covers 2 % clock drift and scheduling delays. */
    std::chrono::milliseconds grantMargin{700};
    /** Number of consecutive failures after which a host is suspended, that is, gets no new work for a while. */
    unsigned suspensionThreshold = 2;
    std::chrono::milliseconds suspensionDuration{6000};
    /** Time after an executor announced that it leaves until none of its runs can still be active. */
    std::chrono::milliseconds departureMargin{800};
    /** Minimum time between records of a job's checkpoints; executors write one every one to two seconds. */
    std::chrono::milliseconds checkpointInterval{2000};
    /** See PlannerBounds. */
    double remoteFactor = 3.0;
    double unevenHostRatio = 0;
    /** Half-life of the record of the runs that each host has lost; 0: nothing is recorded. */
    std::chrono::seconds hostLossMemory{0};
    /** Half-life of the record of the service that each workspace has received; 0: nothing is recorded. */
    std::chrono::seconds fairShareMemory{0};
};

enum class SyncEffect {
    /** The call is not newer than the last one applied, and was ignored. */
    Outdated,
    /** Nothing but progress has changed, which the next periodic round takes into account. */
    Progress,
    /** Runs, or what the host offers, have changed, so a round may decide differently at once. */
    Changed,
};

class Workload
{
public:
    Workload(base::FencingToken token, WorkloadBounds bounds, Instant termStart);

    /** Adds a job, with the state that an earlier leader recorded if there is one. Does nothing if the job is already known. */
    void addJob(JobSpec spec, const std::optional<JobState> &state, Instant now, WallTime wallNow);
    void cancelJob(const base::JobId &id, WallTime wallNow);
    void forgetJob(const base::JobId &id);

    /** Notes that the host was heard of. Returns false if a newer call of its agent has been applied; then this one doesn't count. */
    bool noteContact(const SyncCall &call, Instant now);
    /** Applies an agent's sync call. */
    SyncEffect applySync(const SyncCall &call, Instant now, WallTime wallNow);
    /** Marks runs as lost on hosts that have left, and on hosts whose executors haven't been heard of for longer than a grant plus its margin. */
    void expireSilentHosts(Instant now, WallTime wallNow);

    /** Places a unit as a new attempt. The job's state must be recorded before the order is sent to any host. */
    void place(UnitRef ref, const std::vector<HostId> &hosts, Instant now);
    /**
     * From now on the job's record is written apart from the rounds: until noteRecorded(), its changes since the last record are withheld from
     * orders and acknowledgements.
     */
    void beginApart(Job &job);
    /** Notes that the changes of the job so far go into its next record, and returns the number of that. */
    std::uint64_t beginRecord(Job &job, std::size_t bytes, Instant now);
    /** Notes that the store has the record of that number. */
    void noteRecorded(Job &job, std::uint64_t record);
    /** Makes these hosts' orders be collected again. */
    void markOrdersChanged(const std::map<HostId, Orders> &collected);
    /** Notes that the store can't take the record: takes back what isn't recorded, and suspends the job for a while. */
    void refuseRecord(Job &job, std::uint64_t record, Instant now);
    /** Orders a placed unit to stop; the first reason given is kept. */
    void stop(UnitRef ref, StopReason reason);
    /** Records the service that workspaces use beyond their guarantees, and the waiting units that others went ahead of because of it. */
    void noteService(const ServiceUse &use, const std::vector<UnitRef> &passedOver, Instant now);
    /** Notes since when these units wait for a place in their data's rack although they could start elsewhere. */
    void noteWaitingNearData(const std::vector<UnitRef> &units, Instant now);
    [[nodiscard]] const FairShare &fairShare() const
    {
        return m_fairShare;
    }
    [[nodiscard]] const HostLosses &hostLosses() const
    {
        return m_hostLosses;
    }
    /** Forgets old losses of hosts, and logs which hosts have become doubtful or no longer are. */
    void updateHostLosses(Instant now);
    /** The host's complete orders. Notes whether starts are left out. */
    [[nodiscard]] Orders takeOrders(const HostId &id);
    /** Marks jobs with new checkpoints as dirty once the checkpoint interval has passed. */
    void markCheckpoints(Instant now);

    /** Removes the states of units of sparse jobs that are done, and of all that have no runs once their job has ended. To be called between rounds. */
    void removeDoneUnits();

    /** Estimates anew how fast the hosts are, and logs which of them have become slow. To be called before each planning round. */
    void updateSpeeds(Instant now);
    [[nodiscard]] const HostSpeeds &speeds() const
    {
        return m_speeds;
    }
    /** What is known of the hosts' speeds. Hosts that are gone are left out, and those that are yet to be heard after the start of a term kept. */
    [[nodiscard]] HostSpeedsRecord speedsRecord(Instant now) const;
    /** Takes what an earlier leader knew. What this one has learned meanwhile takes precedence. */
    void restoreSpeeds(const HostSpeedsRecord &record);
    /** Those of the hosts that are classified as slow, each once. */
    [[nodiscard]] std::set<HostId> slowHostsAmong(const std::vector<HostId> &hosts) const;
    /** Number of samples of runs' paces taken since the previous call. */
    [[nodiscard]] std::uint64_t takeNewSpeedSamples();
    /** Logs that the unit preempts others although it would have fitted on slow hosts, of which the slowest has this factor. */
    void logSlowHostsAvoided(UnitRef ref, double factor, std::size_t victims);

    /** Hosts whose orders may differ from those at the previous call. */
    [[nodiscard]] std::set<HostId> takeChangedHosts();
    /** Notes that the agent of the host can have orders for the incarnation; it takes them if its report names the same one. */
    void confirmPublished(const HostId &id, const HostIncarnation &incarnation);
    /** Notes which ends the published orders acknowledge. */
    void noteAcknowledged(const HostId &id, const Orders &published);
    /**
     * Whether the host's agent may go on renewing the executor's lease, according to a call that was applied. After a long silence it may not
     * until it can have orders without the runs that were given up: with older ones it would start them beside their next attempts.
     */
    [[nodiscard]] bool mayRenewLease(const SyncCall &call) const;
    /**
     * The complete orders for a host: what it should run and what it should stop. Starts beyond StartBytes wait until it has listed earlier ones,
     * and all starts until it has listed its runs in this term.
     */
    [[nodiscard]] Orders ordersFor(const Host &host) const;
    [[nodiscard]] JobState recordOf(const Job &job) const;
    /** Time since the last call of the reachable host that has been silent for longest. */
    [[nodiscard]] Duration oldestReportAge(Instant now) const;
    /** Whether the host may be given work: it has listed its runs, and its agent has called recently and reaches the executor. */
    [[nodiscard]] bool isReachable(const Host &host, Instant now) const;

    /** Null if the job isn't known. */
    [[nodiscard]] const Job *findJob(const base::JobId &id) const
    {
        const auto found = m_jobs.find(id);
        return found != m_jobs.end() ? &found->second : nullptr;
    }
    [[nodiscard]] std::map<base::JobId, Job> &jobs()
    {
        return m_jobs;
    }
    /** Jobs that have not ended or still have runs on hosts, by their ids. */
    [[nodiscard]] const std::vector<Job *> &activeJobs();
    /** Estimated memory of the jobs by workspace; see estimatedBytes(). */
    [[nodiscard]] const KeptBytes &keptBytes() const
    {
        return m_keptBytes;
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
    /** The current settings of the job's queue, or those at acceptance if the queue has been removed. */
    [[nodiscard]] const Queue &queueOf(const Job &job) const;
    [[nodiscard]] std::uint32_t priorityOf(const Job &job) const
    {
        return queueOf(job).priority;
    }
    [[nodiscard]] std::vector<Event> takeEvents();
    [[nodiscard]] std::vector<JobTiming> takeTimings();
    void log(std::string name, std::vector<std::pair<std::string, std::string>> fields);

    /** Bytes of payloads and checkpoints that a host is sent at a time for runs that it has not listed. */
    static constexpr std::size_t StartBytes = 512 * 1024;
    /** How long a job is suspended whose record the store can't take. */
    static constexpr std::chrono::seconds SuspensionOfJob{5};
    /** A host that has been silent for longer gets no new work: two long-polling sync calls plus network delay. */
    static constexpr std::chrono::milliseconds ContactTimeout{2600};

private:
    /** The functions that apply a part of a sync call return whether it changed more than progress. */
    void noteExecutorContact(Host &host, bool isExecutorReached, Instant now);
    /** The executor of the host was last heard at `heardAt`; Instant() if it wasn't in this term. */
    void noteExecutorLoss(const Host &host, const SyncCall &call, Instant heardAt, Instant now);
    bool applyReport(Host &host, const SyncCall &call, Instant now, WallTime wallNow);
    /** Logs what makes the leader take another incarnation for the host's executor: what it knew, and which call of the agent tells. */
    void logNewExecutor(const Host &host, const SyncCall &call);
    bool applyConfirmedStarts(Host &host, const SyncCall &call, Instant now);
    bool applyRunningRuns(Host &host, const SyncCall &call, Instant now);
    /** Notes that a task of the job has begun. Returns whether it is the first. */
    bool noteBegun(Job &job, Instant now);
    /** Passes the member's pace since it was first listed on to HostSpeeds if it says more about the host than what was passed on before. */
    void observePace(const Job &job, Unit &unit, std::size_t index, double percent, Instant now);
    /** How many times as long a member takes away from its data's rack, or in a gang that is spread over several racks. */
    [[nodiscard]] double remoteSlowdown(const Step &step, const Unit &unit, const Member &member) const;
    bool applyEndedRuns(Host &host, const SyncCall &call, Instant now, WallTime wallNow);
    /** Notes that the end may be acknowledged only once the job's next record, which is written apart, is in the store. */
    void holdAcknowledgement(Host &host, const Ended &ended);
    bool applyBarredRuns(Host &host, const SyncCall &call, Instant now, WallTime wallNow);
    /** Counts a crash for each unit that had a run on the executor, and gives up the jobs of those that are likely to be the cause. */
    bool applyCrashedRuns(Host &host, const SyncCall &call, Instant now, WallTime wallNow);
    /** Counts a crash under a task of the unit, and gives the job up if the task is the likely cause. Returns false if it doesn't count. */
    bool countCrash(Job &job, Unit &unit, const Crash &crash, std::size_t runsOnExecutor, WallTime wallNow);
    /**
     * Counts a crash of which no agent could tell, as it had ended, too, for each unit that may have had a run there. Whether the run had begun
     * isn't known, so such a crash makes nothing a suspect.
     */
    void countUnseenCrashes(Host &host, Instant now, WallTime wallNow);
    /**
     * Marks runs of an earlier incarnation of the host's executor as lost. A run whose order the present incarnation may have received is
     * ordered to stop instead, so that it is barred there before the task starts elsewhere.
     */
    void resolveRestartedExecutor(const Host &host, Instant now, WallTime wallNow);
    void markMemberLost(Job &job, Unit &unit, std::size_t member, Instant now, WallTime wallNow, std::string_view why);
    void markMembersLost(Host &host, Instant now, WallTime wallNow, std::string_view why);
    /** The host of that id; one that hasn't been heard yet is added without a report. */
    Host &hostFor(const HostId &id);
    void addMember(UnitRef ref, Member member);
    void clearMembers(Job &job, Unit &unit);
    void markOrdersChanged(const Unit &unit);
    void endMember(Job &job, Unit &unit, std::size_t member, EndKind kind, const std::string &checkpoint, Instant now, WallTime wallNow);
    /** Once a member has ended: stops the rest of its gang, finishes the unit, or returns it to waiting. */
    void updateUnitAfterEnd(Job &job, Unit &unit, Instant now, WallTime wallNow);
    /** Applies the end of an attempt that is no longer current because its run was considered lost. */
    void applyLateEnd(const Ended &ended, Instant now, WallTime wallNow);
    [[nodiscard]] bool hasReachedFailureLimit(const Job &job, const Unit &unit) const;
    void countFailure(Job &job, Unit &unit, const Member &member, Instant now);
    /** Marks the unit as done; steps that depend on its step alone begin to wait for a place. */
    void markDone(Job &job, Unit &unit, Instant now);
    /** Takes the states of the job's units from an earlier leader's record. */
    void restoreUnits(Job &job, const JobState &state, Instant now);
    static void restoreDoneRange(Job &job, const DoneRange &range);
    /** The unit of the record, added if it has no state yet; null if the job has no such unit. */
    static Unit *restoredUnit(Job &job, const UnitRecord &record);
    [[nodiscard]] static std::vector<DoneRange> doneRangesOf(const Job &job);
    /** Replaces the ranges by a record for each unit. */
    static void recordSingly(JobState &state);
    void endJob(Job &job, JobStatus status, WallTime wallNow);
    void finishJobIfDone(Job &job, WallTime wallNow);
    /** The unit and member index of a run on a host, if its attempt is the current one. */
    [[nodiscard]] std::optional<std::pair<UnitRef, std::size_t>> findMember(const RunId &run, const HostId &host);

    base::FencingToken m_token;
    WorkloadBounds m_bounds;
    Instant m_termStart;
    FairShare m_fairShare;
    HostLosses m_hostLosses;
    /** Number of hosts that have reported in this term. */
    std::size_t m_reportedHosts = 0;
    std::shared_ptr<const Policy> m_policy = std::make_shared<Policy>();
    std::map<base::JobId, Job> m_jobs;
    KeptBytes m_keptBytes;
    std::map<HostId, Host> m_hosts;
    /** Sorted by id, without jobs that ended and have no members; rebuilt when `m_areActiveJobsCurrent` is false. */
    std::vector<Job *> m_activeJobs;
    bool m_areActiveJobsCurrent = true;
    /** Sparse jobs with units whose states are no longer needed. */
    std::set<base::JobId> m_jobsWithDoneUnits;
    std::set<HostId> m_changedHosts;
    HostSpeeds m_speeds;
    std::uint64_t m_takenSpeedSamples = 0;
    /** Restored speeds of hosts that have not been heard yet. */
    std::map<HostId, HostSpeeds::Known> m_restoredSpeeds;
    std::vector<Event> m_events;
    std::vector<JobTiming> m_timings;
};

} // namespace plantainfork::batch
