/**
 * The state machine behind Core. Each event changes jobs and accounts, then one round follows:
 * find homes, serve guarantees, start what is held, fill what is free. Its parts stand in
 * scheduler_events.cpp (workers, configuration), scheduler_gangs.cpp (events of jobs and gangs),
 * scheduler_lifecycle.cpp (what becomes of a job), scheduler_round.cpp (the round), scheduler_reservations.cpp
 * (large jobs) and scheduler_queries.cpp.
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
#include "scheduling/reclaim.h"
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
    // Events of workers and configuration.
    void on(const WorkerSeen &event);
    void on(const WorkerLost &event);
    void on(const ConfigChanged &event);
    void on(const Tick &event);
    void refreshUse(WorkerIndex worker);
    void refreshUse(const base::MemberId &id);
    [[nodiscard]] WorkerUse useOf(const Worker &worker) const;
    /** Moves running work away by checkpoint, and stops what has not started yet. */
    void vacate(WorkerIndex worker, std::string_view reason);
    void breakGangs(WorkerIndex worker);
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
    void restoreTenure(Job &job);
    [[nodiscard]] Job *find(const base::JobId &id);
    [[nodiscard]] Job *find(const wire::AttemptId &attempt);
    [[nodiscard]] std::optional<WorkerIndex> workerOf(const Job &job, std::uint32_t rank) const;
    void followUp(Job &job);
    void setFollowUp(Job &job, std::optional<runtime::Instant> at);
    void refuseImpossible();
    [[nodiscard]] bool isImpossible(const wire::Shape &shape);

    // What becomes of a job.
    void enqueue(Job &job, std::string reason);
    void dequeue(Job &job);
    /** Takes the capacity of job.shares on the given account. */
    void take(Job &job, Tenure tenure, std::optional<SlotIndex> slot);
    void release(Job &job);
    void dropBorrower(Job &job);
    void start(Job &job);
    void stop(Job &job, wire::StopMode mode, AfterStop after, std::string reason);
    void stopVictim(Job &victim, const Job &reclaimer);
    void abortReclaim(Job &job);
    void finish(Job &job, JobOutcome outcome, std::string reason);
    void note(Job &job, std::string reason);

    // The round.
    void settle();
    void dropClosedHolds();
    void abortClosedReclaims();
    void serveGrants();
    bool serveGrant(const GrantKey &grant);
    bool startInSlot(Job &job, const std::vector<SlotIndex> &slots);
    void adoptBorrower(const GrantKey &grant);
    void startReadyHolds();
    bool startHeld(Hold &hold);
    void fill();
    bool tryStart(Job &job);
    [[nodiscard]] bool breaksRack(const Shares &shares) const;
    [[nodiscard]] std::optional<Shares> findSpare(const Job &job) const;
    [[nodiscard]] std::optional<Shares> findBorrowed(const Job &job) const;
    bool tryReclaim(Job &job);
    bool tryDefragment(Job &job);
    [[nodiscard]] bool isHoldDue(const Job &job) const;
    void hold(Job &job);
    void dropHold(Job &job);
    /** Estimates anew when the holders will start, as gangs overrun or end early. */
    void reviewHolds();
    [[nodiscard]] bool mayBackfill(const Job &job, std::chrono::milliseconds cautious, const Hold &hold) const;
    [[nodiscard]] bool isAvoided(const Job &job, WorkerIndex worker) const;
    /** Starts the job at once, or stops the victims first. */
    void place(Job &job, Shares shares, Tenure tenure, std::optional<SlotIndex> slot, const ReclaimPlan &plan, std::string reason);

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
    /** Gangs that borrow, by grant: candidates for a guaranteed gang that becomes free. */
    absl::flat_hash_map<GrantKey, std::vector<Job *>> m_borrowers;
    /** Jobs that wait for their victims to stop. */
    std::vector<Job *> m_reclaiming;
    std::vector<std::unique_ptr<Hold>> m_holds;
    absl::btree_map<std::pair<runtime::Instant, base::JobId>, Job *> m_followUps;
    absl::btree_set<std::pair<runtime::Instant, base::MemberId>> m_lostWorkers;

    /** Grants for which a slot or a waiting job has turned up. */
    absl::btree_set<GrantKey> m_dirtyGrants;
    /** Grants whose first job could not be served; tried again at the next tick. */
    absl::btree_set<GrantKey> m_unservedGrants;
    /** Workers have closed since homes, holds and reclaiming jobs were last looked through. */
    bool m_hasClosedWorkers = false;
    /** Growth of all views when the blocked buckets were last tried. */
    std::uint64_t m_triedAt = 0;
    std::optional<runtime::Instant> m_firstWorkerAt;
    bool m_mustRefuseImpossible = false;
    runtime::Instant m_nextReview;
    /** Verdicts by shape at one version of the inventory's totals. */
    absl::btree_map<wire::Shape, bool> m_impossible;
    std::uint64_t m_impossibleAt = 0;

    /** Counts placements and hold plans, so that their order is known within one instant. */
    std::uint64_t m_order = 0;
    runtime::Instant m_now;
    Decision m_decision;
};

} // namespace plantainfork::scheduling
