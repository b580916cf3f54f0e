// Events of jobs and gangs.
#include "scheduling/scheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "scheduling/placer.h"
#include "scheduling/shape_text.h"

namespace plantainfork::scheduling
{

namespace
{

/** No job is refused as impossible this soon after the first worker was discovered, because the inventory may be incomplete. */
constexpr std::chrono::seconds InventoryGracePeriod{5};
/** An idempotent job fails after this many task failures, usually on different workers since it avoids those where it failed. */
constexpr std::uint32_t MaxFailures = 4;

} // namespace

Job *Scheduler::find(const base::JobId &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

Job *Scheduler::find(const wire::AttemptId &attempt)
{
    Job *job = find(attempt.job);
    const bool isPlaced = job != nullptr && (job->phase == JobPhase::Starting || job->phase == JobPhase::Running || job->phase == JobPhase::Stopping);
    return isPlaced && job->spec.attempt == attempt.attempt ? job : nullptr;
}

std::optional<WorkerIndex> Scheduler::workerOf(const Job &job, std::uint32_t rank) const
{
    std::uint32_t first = 0;
    for (const Share &share : job.shares) {
        if (rank < first + share.members) {
            return share.worker;
        }
        first += share.members;
    }
    return std::nullopt;
}

void Scheduler::on(const JobSubmitted &event)
{
    if (m_jobs.contains(event.job.id)) {
        return;
    }
    auto &job = m_jobs[event.job.id];
    job = std::make_unique<Job>();
    job->spec = event.job;
    const bool isInventoryComplete = m_firstWorkerAt && m_now >= *m_firstWorkerAt + InventoryGracePeriod;
    if (event.job.shape.members == 0) {
        finish(*job, JobOutcome::Impossible, "can never run: a gang needs at least one member");
        return;
    }
    if (isInventoryComplete && isImpossible(event.job.shape)) {
        finish(*job, JobOutcome::Impossible, impossibleReason(event.job.shape));
        return;
    }
    m_mustCheckImpossible = m_mustCheckImpossible || !isInventoryComplete;
    enqueue(*job, "waits for its turn");
}

void Scheduler::on(const JobCancelled &event)
{
    Job *job = find(event.job);
    if (job == nullptr) {
        return;
    }
    switch (job->phase) {
    case JobPhase::Waiting:
    case JobPhase::Reserved:
        dequeue(*job);
        finish(*job, JobOutcome::Cancelled, "cancelled while it waited");
        break;
    case JobPhase::Reclaiming:
        cancelPreemption(*job);
        finish(*job, JobOutcome::Cancelled, "cancelled while it waited for capacity that was taken back");
        break;
    case JobPhase::Starting:
    case JobPhase::Running:
        job->outcome = JobOutcome::Cancelled;
        job->outcomeReason = "cancelled";
        stop(*job, wire::StopMode::Stop, AfterStop::Finish, "stopped: cancelled");
        break;
    case JobPhase::Stopping:
        job->outcome = JobOutcome::Cancelled;
        job->outcomeReason = "cancelled";
        job->afterStop = AfterStop::Finish;
        break;
    case JobPhase::Ended:
        break;
    }
}

void Scheduler::on(const PrepareRefused &event)
{
    Job *job = find(event.attempt);
    if (job == nullptr) {
        return;
    }
    m_health.recordRefusal(event.member, m_now);
    updateWorkerUse(event.member);
    const bool isEnding = job->phase == JobPhase::Stopping && job->afterStop == AfterStop::Finish;
    release(*job);
    if (isEnding) {
        finish(*job, job->outcome, job->outcomeReason);
        return;
    }
    // No task of the attempt has run.
    job->mayHavePartialWork = false;
    enqueue(*job, "waits again: worker " + event.member.value() + " refused it: " + event.reason);
}

void Scheduler::on(const GangStarted &event)
{
    Job *job = find(event.attempt);
    if (job == nullptr || job->phase != JobPhase::Starting) {
        return;
    }
    job->phase = JobPhase::Running;
    job->runningSince = m_now;
    setCommandDeadline(*job, std::nullopt);
    setReason(*job, job->reason);
}

void Scheduler::on(const TaskEnded &event)
{
    Job *job = find(event.attempt);
    if (job == nullptr || event.rank >= job->spec.shape.members) {
        return;
    }
    switch (event.state) {
    case wire::TaskState::Finished:
        onRankFinished(*job, event.rank);
        break;
    case wire::TaskState::Failed:
        onRankFailed(*job, event);
        break;
    case wire::TaskState::Stopped:
    case wire::TaskState::Absent:
        // A member that stopped without a request leaves the gang incomplete.
        if (job->phase != JobPhase::Stopping) {
            job->mayHavePartialWork = true;
            stop(*job, wire::StopMode::Stop, AfterStop::Requeue, "stopped: one of its tasks was stopped: " + event.detail);
        }
        break;
    case wire::TaskState::Prepared:
    case wire::TaskState::Running:
    case wire::TaskState::Stopping:
        break;
    }
}

void Scheduler::onRankFinished(Job &job, std::uint32_t rank)
{
    if (const auto worker = workerOf(job, rank)) {
        m_health.recordSuccess(m_inventory.worker(*worker).lastUpdate.id);
        updateWorkerUse(*worker);
    }
    if (job.rankFinished[rank]) {
        return;
    }
    job.rankFinished[rank] = true;
    if (++job.finishedRanks < job.spec.shape.members) {
        return;
    }
    if (job.runningSince) {
        m_runTimes.record(job.spec, job.spec.checkpointed + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - *job.runningSince));
    }
    release(job);
    finish(job, JobOutcome::Finished, "finished");
}

void Scheduler::onRankFailed(Job &job, const TaskEnded &event)
{
    job.mayHavePartialWork = true;
    if (const auto worker = workerOf(job, event.rank)) {
        const base::MemberId id = m_inventory.worker(*worker).lastUpdate.id;
        m_health.recordFailure(id, job.spec.id, m_now);
        updateWorkerUse(*worker);
        job.avoidedWorkers.push_back(id);
    }
    ++job.failures;
    if (!job.spec.idempotent || job.failures >= MaxFailures) {
        job.afterStop = AfterStop::Finish;
        if (job.outcome != JobOutcome::Cancelled) {
            job.outcome = JobOutcome::Failed;
            job.outcomeReason = "task " + std::to_string(event.rank) + " failed: " + event.detail;
        }
    }
    if (job.phase != JobPhase::Stopping) {
        stop(job, wire::StopMode::Stop, job.afterStop, "stopped: task " + std::to_string(event.rank) + " failed: " + event.detail);
    }
}

void Scheduler::on(const GangStopped &event)
{
    Job *job = find(event.attempt);
    if (job == nullptr) {
        return;
    }
    const bool wasRequested = job->phase == JobPhase::Stopping;
    job->spec.checkpointed = std::max(job->spec.checkpointed, event.checkpointed);
    release(*job);
    if (wasRequested && job->afterStop == AfterStop::Finish) {
        finish(*job, job->outcome, job->outcomeReason);
        return;
    }
    const bool isCheckpointed = job->spec.checkpointable && wasRequested && !job->mayHavePartialWork && job->stopMode == wire::StopMode::Checkpoint;
    const bool mayRunAgain = job->spec.idempotent || isCheckpointed;
    if (!mayRunAgain) {
        finish(*job, JobOutcome::Failed, "it may have run in part and isn't idempotent; " + job->reason);
        return;
    }
    enqueue(*job, "waits again; " + job->reason);
}

void Scheduler::on(const UsageReported &event)
{
    Job *job = find(event.attempt);
    if (job == nullptr || job->phase != JobPhase::Running || job->isThrottled) {
        return;
    }
    // Guarantees are computed from declared sizes, so a gang that uses more is limited to its declared size.
    if (event.cores > job->spec.shape.coresPerMember) {
        job->isThrottled = true;
        m_decision.commands.emplace_back(StopGang{job->attempt(), wire::StopMode::Throttle, "uses more cores than it declared"});
        setReason(*job, job->reason + "; throttled to the cores that it declared");
    }
}

void Scheduler::on(const GangRestored &event)
{
    if (Job *known = find(event.job.id)) {
        if (known->phase != JobPhase::Waiting && known->phase != JobPhase::Reserved) {
            m_decision.commands.emplace_back(StopGang{event.attempt, wire::StopMode::Stop, "a newer attempt is known"});
            return;
        }
        dequeue(*known);
        m_jobs.erase(event.job.id);
    }
    auto &job = m_jobs[event.job.id];
    job = std::make_unique<Job>();
    job->spec = event.job;
    job->spec.attempt = event.attempt.attempt;
    job->expectedRunTime = m_runTimes.expected(job->spec);
    bool isComplete = event.placement.size() == event.job.shape.members;
    for (const base::MemberId &member : event.placement) {
        const auto worker = m_inventory.find(member);
        isComplete = isComplete && worker && !m_inventory.worker(*worker).isLost;
        if (!worker) {
            continue;
        }
        if (!job->shares.empty() && job->shares.back().worker == *worker) {
            ++job->shares.back().members;
        } else {
            job->shares.push_back({*worker, 1});
        }
    }
    job->phase = JobPhase::Running;
    job->runningSince = m_now;
    job->rankFinished.assign(event.job.shape.members, false);
    allocate(*job, job->isPreemptible() ? Tenure::Borrowed : Tenure::Unreserved, std::nullopt);
    if (!job->isPreemptible()) {
        // The gang cannot be preempted, so guarantees lose their reserved places where they overlap with it.
        m_guarantees.evictReservedPlaces(job->shares);
    }
    if (isComplete) {
        claimIdleSlot(*job);
    }
    setReason(*job, "runs on: taken over from an earlier scheduler");
    if (!isComplete) {
        job->mayHavePartialWork = true;
        stop(*job, wire::StopMode::Stop, AfterStop::Requeue, "stopped: a member is gone");
    } else if (event.state == RestoredState::Stopping) {
        stop(*job, wire::StopMode::Checkpoint, AfterStop::Requeue, "stopped: an earlier scheduler was stopping it");
    }
}

void Scheduler::claimIdleSlot(Job &job)
{
    const GrantKey grant(job.spec.workspace, job.spec.templateId);
    const bool isFirm = job.tenure == Tenure::Unreserved;
    if (isFirm) {
        m_inventory.subtract(Account::Firm, job.shares, job.memberResources());
    }
    for (const SlotIndex slot : m_guarantees.idleSlots(grant, job.spec.shape)) {
        if (m_guarantees.adopt(slot, &job)) {
            if (!isFirm) {
                removeBorrower(job);
            }
            job.tenure = Tenure::Guaranteed;
            job.slot = slot;
            return;
        }
    }
    if (isFirm) {
        m_inventory.add(Account::Firm, job.shares, job.memberResources());
    }
}

bool Scheduler::isImpossible(const wire::Shape &shape)
{
    if (m_impossibilityCacheVersion != m_inventory.totalsVersion()) {
        m_impossibilityCache.clear();
        m_impossibilityCacheVersion = m_inventory.totalsVersion();
    }
    const auto [entry, isNew] = m_impossibilityCache.try_emplace(shape, false);
    if (isNew) {
        entry->second = !fitsEmptyInventory(m_inventory, shape);
    }
    return entry->second;
}

void Scheduler::rejectImpossibleJobs()
{
    const bool isInventoryComplete = m_firstWorkerAt && m_now >= *m_firstWorkerAt + InventoryGracePeriod;
    if (!m_mustCheckImpossible || !isInventoryComplete) {
        return;
    }
    m_mustCheckImpossible = false;
    std::vector<Job *> refused;
    m_queue.forEach([&](Job &job) {
        if (isImpossible(job.spec.shape)) {
            refused.push_back(&job);
        }
    });
    for (Job *job : refused) {
        dequeue(*job);
        finish(*job, JobOutcome::Impossible, impossibleReason(job->spec.shape));
    }
}

} // namespace plantainfork::scheduling
