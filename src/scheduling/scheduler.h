/**
 * The state machine behind Core. Each event updates jobs and allocated capacity and is followed by one scheduling
 * round, which finds reserved places for idle slots of guarantees, starts guaranteed gangs, starts jobs whose
 * reservation is ready and then tries the queued jobs in order.
 *
 * The implementation is split into scheduler_events.cpp (events of workers and configuration), scheduler_gangs.cpp
 * (events of jobs and gangs), scheduler_lifecycle.cpp (state changes of a job), scheduler_round.cpp (the scheduling
 * round), scheduler_reservations.cpp (reservations for large jobs) and scheduler_queries.cpp.
 */
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "scheduling/core.h"
#include "scheduling/guarantees.h"
#include "scheduling/inventory.h"
#include "scheduling/job.h"
#include "scheduling/job_queue.h"
#include "scheduling/model.h"
#include "scheduling/preemption.h"
#include "scheduling/run_times.h"
#include "scheduling/worker_health.h"

namespace plantainfork::scheduling
{

class Scheduler
{
public:
    explicit Scheduler(Options options);

    [[nodiscard]] Decision handle(const Event &event, runtime::Instant now);

    [[nodiscard]] Capacity capacity() const;
    [[nodiscard]] std::optional<Explanation> explain(const base::JobId &id) const;
    [[nodiscard]] std::vector<ReservedPlace> reservedPlaces() const;
    [[nodiscard]] std::vector<UnmetGuarantee> unmetGuarantees() const;

private:
    // Events of workers, configuration and time.
    void on(const WorkerUpdated &event);
    void on(const WorkerLost &event);
    void on(const ConfigChanged &event);
    void on(const Tick &event);
    void updateWorkerUse(WorkerIndex worker);
    void updateWorkerUse(const base::MemberId &id);
    [[nodiscard]] WorkerUse determineWorkerUse(const Worker &worker) const;
    /**
     * Checkpoints and stops the worker's running gangs that can checkpoint, and cancels idempotent gangs that are
     * still starting. All other gangs are left running.
     */
    void evacuate(WorkerIndex worker, std::string_view reason);
    void stopGangsOnLostWorker(WorkerIndex worker);
    void forgetLostWorkers();

    // Events of jobs and gangs.
    void on(const JobSubmitted &event);
    void on(const JobCancelled &event);
    void on(const PrepareRefused &event);
    void on(const GangStarted &event);
    void on(const TaskEnded &event);
    void on(const GangStopped &event);
    void on(const UsageReported &event);
    void on(const GangRestored &event);
    void onRankFinished(Job &job, std::uint32_t rank);
    void onRankFailed(Job &job, const TaskEnded &event);
    /** Converts a restored gang into a guaranteed one if its grant has an idle slot that can take it. */
    void claimIdleSlot(Job &job);
    [[nodiscard]] Job *find(const base::JobId &id);
    /** Returns null unless this is the job's current attempt and it is starting, running or stopping. */
    [[nodiscard]] Job *find(const wire::AttemptId &attempt);
    [[nodiscard]] std::optional<WorkerIndex> workerOf(const Job &job, std::uint32_t rank) const;
    /** Called when a start or stop command was not answered in time. */
    void onCommandTimeout(Job &job);
    void setCommandDeadline(Job &job, std::optional<runtime::Instant> at);
    void rejectImpossibleJobs();
    [[nodiscard]] bool isImpossible(const wire::Shape &shape);

    // State changes of a job.
    void enqueue(Job &job, std::string reason);
    void dequeue(Job &job);
    /** Accounts for the capacity of job.shares under the given tenure. */
    void allocate(Job &job, Tenure tenure, std::optional<SlotIndex> slot);
    /** Frees the job's capacity and starts the jobs for which it was the last victim. */
    void release(Job &job);
    /** Removes the gang from m_borrowers. */
    void removeBorrower(Job &job);
    void start(Job &job);
    void stop(Job &job, wire::StopMode mode, AfterStop after, std::string reason);
    void preempt(Job &victim, const Job &preemptor);
    /** Frees the capacity of a reclaiming job, which then no longer waits for its victims. They stop nevertheless. */
    void cancelPreemption(Job &job);
    void finish(Job &job, JobOutcome outcome, std::string reason);
    /** Sets the reason and adds the job's explanation to the decision. */
    void setReason(Job &job, std::string reason);

    // The scheduling round.
    void runRound();
    /** Cancels the reservations that include a worker which is no longer open. */
    void cancelClosedReservations();
    /** Queues the reclaiming jobs again whose placement includes a closed worker. */
    void cancelClosedPreemptions();
    void serveGrants();
    /** Tries to start the grant's first waiting job in an idle slot. Returns whether a job was placed. */
    bool serveGrant(const GrantKey &grant);
    /**
     * Starts the job in one of the idle slots. Prefers a reserved place that is free, then free capacity elsewhere, to which
     * a reserved place is moved, then the preemption that loses the least work.
     */
    bool startInSlot(Job &job, const std::vector<SlotIndex> &slots);
    /** Converts running borrowers of the grant into guaranteed gangs while idle slots can take them. */
    void promoteBorrowers(const GrantKey &grant);
    void startReadyReservations();
    /**
     * Starts the job on its reserved workers if the capacity is free or used by backfill only. A job that can't be preempted
     * also waits until the capacity isn't part of a reserved place.
     */
    bool startReserved(Reservation &reservation);
    void scheduleQueuedJobs();
    bool tryStart(Job &job);
    /** Whether the placement is on a single worker of a rack that is entirely free. */
    [[nodiscard]] bool splitsFreeRack(const Shares &shares) const;
    [[nodiscard]] std::optional<Shares> findSparePlace(const Job &job) const;
    [[nodiscard]] std::optional<Shares> findBorrowedPlace(const Job &job) const;
    bool tryPreemptForUrgentJob(Job &job);
    /** Checkpoints and stops smaller gangs to make room for the job. */
    bool tryDefragment(Job &job);
    [[nodiscard]] bool isReservationDue(const Job &job) const;
    /**
     * Plans a reservation for the job. At the maximum number of reservations, the one whose job is last in queue
     * order is cancelled for it; if the job itself comes after that one, it gets no reservation.
     */
    void reserve(Job &job);
    void cancelReservation(Job &job);
    /** Updates the expected start of each reservation, since gangs end later or earlier than expected. */
    void updateExpectedStarts();
    /** Whether the job may run on reserved workers before the reservation starts. Urgent jobs always may. */
    [[nodiscard]] bool mayBackfill(const Job &job, std::chrono::milliseconds conservativeRunTime, const Reservation &reservation) const;
    /** Whether the job has failed on the worker. */
    [[nodiscard]] bool isAvoided(const Job &job, WorkerIndex worker) const;
    /** Allocates the shares and starts the job, or first stops the victims of the plan. */
    void place(Job &job, Shares shares, Tenure tenure, std::optional<SlotIndex> slot, const PreemptionPlan &plan, std::string reason);

    [[nodiscard]] Explanation explanationOf(const Job &job) const;
    [[nodiscard]] std::string impossibleReason(const wire::Shape &shape) const;

    Options m_options;
    Inventory m_inventory;
    Guarantees m_guarantees;
    JobQueue m_queue;
    RunTimes m_runTimes;
    WorkerHealth m_health;
    std::shared_ptr<const wire::Config> m_config;
    absl::flat_hash_map<base::JobId, std::unique_ptr<Job>> m_jobs;
    /** Gangs on borrowed capacity by grant: they are converted into guaranteed gangs when a slot becomes idle. */
    absl::flat_hash_map<GrantKey, std::vector<Job *>> m_borrowers;
    /** Placed jobs that wait for their victims to stop. */
    std::vector<Job *> m_reclaimingJobs;
    std::vector<std::unique_ptr<Reservation>> m_reservations;
    /** Jobs whose start or stop command is unanswered, by the time at which it times out. */
    absl::btree_map<std::pair<runtime::Instant, base::JobId>, Job *> m_commandDeadlines;
    /** Lost workers by the time at which they may be removed from the inventory. */
    absl::btree_set<std::pair<runtime::Instant, base::MemberId>> m_lostWorkers;

    /** Grants that have a new idle slot or a new waiting job. */
    absl::btree_set<GrantKey> m_grantsToServe;
    /** Grants whose first waiting job could not be placed; retried at the next tick. */
    absl::btree_set<GrantKey> m_unservedGrants;
    /** Set when a worker has closed, so that reserved places, reservations and reclaiming jobs must be checked. */
    bool m_hasClosedWorkers = false;
    /** Sum of the inventory's growthVersion counters when the blocked buckets were last unblocked. */
    std::uint64_t m_growthAtLastUnblock = 0;
    std::optional<runtime::Instant> m_firstWorkerAt;
    /** Set when waiting jobs may have become impossible to place. */
    bool m_mustCheckImpossible = false;
    runtime::Instant m_nextExpectedStartUpdate;
    /** Results of isImpossible() by shape, valid for one version of the inventory's totals. */
    absl::btree_map<wire::Shape, bool> m_impossibilityCache;
    std::uint64_t m_impossibilityCacheVersion = 0;

    /** Numbers placements and reservations, since several can occur at the same instant. */
    std::uint64_t m_lastSequenceNumber = 0;
    runtime::Instant m_now;
    Decision m_decision;
};

} // namespace plantainfork::scheduling
