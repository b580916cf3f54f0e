// State changes of a job: queueing, allocation, start, stop and end.
#include "scheduling/scheduler.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace plantainfork::scheduling
{

namespace
{

/** An unanswered start of an idempotent job is cancelled after this time. */
constexpr std::chrono::seconds StartTimeout{60};
/** An unanswered stop is repeated after this time; for an idempotent job, a checkpoint then becomes a plain stop. */
constexpr std::chrono::seconds StopTimeout{30};
/** A job is due when it has waited for this multiple of its expected run time; patient jobs wait longer. */
constexpr int NormalWaitFactor = 4;
constexpr int PatientWaitFactor = 6;
/** Lower bound of the expected run time in dueTime(), so that small differences between short jobs do not reorder them. */
constexpr std::chrono::milliseconds MinExpectedRunTime = std::chrono::minutes(2);

runtime::Instant dueTime(const Job &job)
{
    const auto estimatedRunTime = std::max(job.expectedRunTime, MinExpectedRunTime);
    const int factor = job.spec.urgency == wire::Urgency::Patient ? PatientWaitFactor : NormalWaitFactor;
    const runtime::Instant due = job.spec.submitted + estimatedRunTime * factor;
    return job.spec.deadline ? std::min(due, *job.spec.deadline - estimatedRunTime) : due;
}

} // namespace

void Scheduler::onCommandTimeout(Job &job)
{
    setCommandDeadline(job, std::nullopt);
    if (job.phase == JobPhase::Starting) {
        if (job.spec.idempotent) {
            stop(job, wire::StopMode::Stop, AfterStop::Requeue, "stopped: it was not running in time");
        }
        return;
    }
    if (job.phase == JobPhase::Stopping) {
        // A plain stop could lose the final checkpoint, and a job that isn't idempotent cannot run again without it.
        if (job.spec.idempotent) {
            job.stopMode = wire::StopMode::Stop;
        }
        m_decision.commands.emplace_back(StopGang{job.attempt(), job.stopMode, job.reason});
        setCommandDeadline(job, m_now + StopTimeout);
    }
}

void Scheduler::setCommandDeadline(Job &job, std::optional<runtime::Instant> at)
{
    if (job.commandDeadline) {
        m_commandDeadlines.erase({*job.commandDeadline, job.spec.id});
    }
    job.commandDeadline = at;
    if (at) {
        m_commandDeadlines.emplace(std::pair(*at, job.spec.id), &job);
    }
}

void Scheduler::enqueue(Job &job, std::string reason)
{
    job.phase = JobPhase::Waiting;
    job.expectedRunTime = m_runTimes.expected(job.spec);
    const bool isByAge = m_options.order == OrderRule::Age || job.spec.urgency == wire::Urgency::Urgent;
    job.queueKey = {job.spec.urgency == wire::Urgency::Urgent ? QueueClass::Urgent : QueueClass::Other,
                    isByAge ? job.spec.submitted : dueTime(job),
                    job.spec.submitted,
                    job.spec.id};
    m_queue.insert(&job);
    const GrantKey grant(job.spec.workspace, job.spec.templateId);
    if (m_guarantees.isGranted(grant)) {
        m_grantsToServe.insert(grant);
    }
    setReason(job, std::move(reason));
}

void Scheduler::dequeue(Job &job)
{
    cancelReservation(job);
    m_queue.erase(&job);
}

void Scheduler::allocate(Job &job, Tenure tenure, std::optional<SlotIndex> slot)
{
    job.tenure = tenure;
    job.slot = slot;
    job.placedAt = m_now;
    job.placementSequence = ++m_lastSequenceNumber;
    m_inventory.add(Account::Used, job.shares, job.memberResources());
    m_inventory.attach(&job, job.shares);
    if (tenure == Tenure::Borrowed) {
        m_borrowers[{job.spec.workspace, job.spec.templateId}].push_back(&job);
    } else if (slot) {
        m_guarantees.occupy(*slot, &job);
    } else {
        m_inventory.add(Account::Firm, job.shares, job.memberResources());
    }
}

void Scheduler::release(Job &job)
{
    const GrantKey grant(job.spec.workspace, job.spec.templateId);
    if (job.tenure == Tenure::Borrowed) {
        removeBorrower(job);
    } else if (job.slot) {
        m_guarantees.vacate(*job.slot);
        m_grantsToServe.insert(grant);
    } else {
        m_inventory.subtract(Account::Firm, job.shares, job.memberResources());
    }
    m_inventory.detach(&job, job.shares);
    m_inventory.subtract(Account::Used, job.shares, job.memberResources());
    job.shares.clear();
    job.slot.reset();
    job.tenure = Tenure::None;
    job.runningSince.reset();
    setCommandDeadline(job, std::nullopt);
    for (Job *preemptor : std::exchange(job.preemptors, {})) {
        std::erase(preemptor->victims, &job);
        if (preemptor->victims.empty()) {
            std::erase(m_reclaimingJobs, preemptor);
            start(*preemptor);
        }
    }
}

void Scheduler::removeBorrower(Job &job)
{
    const auto found = m_borrowers.find({job.spec.workspace, job.spec.templateId});
    std::erase(found->second, &job);
    if (found->second.empty()) {
        m_borrowers.erase(found);
    }
}

void Scheduler::start(Job &job)
{
    ++job.spec.attempt;
    job.phase = JobPhase::Starting;
    job.mayHavePartialWork = false;
    job.isThrottled = false;
    job.finishedRanks = 0;
    job.rankFinished.assign(job.spec.shape.members, false);
    job.afterStop = AfterStop::Requeue;
    setCommandDeadline(job, m_now + StartTimeout);
    m_decision.commands.emplace_back(StartGang{job.attempt(), job.spec.shape, m_inventory.placement(job.shares), job.spec.checkpointed, job.reason});
    setReason(job, job.reason);
}

void Scheduler::stop(Job &job, wire::StopMode mode, AfterStop after, std::string reason)
{
    assert(job.phase == JobPhase::Starting || job.phase == JobPhase::Running);
    job.phase = JobPhase::Stopping;
    job.stopMode = mode;
    job.afterStop = after;
    m_decision.commands.emplace_back(StopGang{job.attempt(), mode, reason});
    setCommandDeadline(job, m_now + StopTimeout);
    setReason(job, std::move(reason));
}

void Scheduler::preempt(Job &victim, const Job &preemptor)
{
    const std::string reason = "stopped: the capacity that it borrowed was taken back for job " + preemptor.spec.id.value();
    if (victim.phase == JobPhase::Reclaiming) {
        cancelPreemption(victim);
        enqueue(victim, "waits again; the capacity was taken back for job " + preemptor.spec.id.value());
        return;
    }
    ++victim.preemptions;
    const bool mustKeepWork = victim.spec.checkpointable && (victim.phase == JobPhase::Running || !victim.spec.idempotent);
    stop(victim, mustKeepWork ? wire::StopMode::Checkpoint : wire::StopMode::Stop, AfterStop::Requeue, reason);
}

void Scheduler::cancelPreemption(Job &job)
{
    for (Job *victim : std::exchange(job.victims, {})) {
        std::erase(victim->preemptors, &job);
    }
    std::erase(m_reclaimingJobs, &job);
    release(job);
}

void Scheduler::finish(Job &job, JobOutcome outcome, std::string reason)
{
    job.phase = JobPhase::Ended;
    setReason(job, reason);
    const base::JobId id = job.spec.id;
    m_decision.commands.emplace_back(FinishJob{id, outcome, std::move(reason)});
    m_jobs.erase(id);
}

void Scheduler::setReason(Job &job, std::string reason)
{
    job.reason = std::move(reason);
    job.since = m_now;
    m_decision.explanations.push_back(explanationOf(job));
}

} // namespace plantainfork::scheduling
