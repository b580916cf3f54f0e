#include "batch/waiting_order.h"

#include <algorithm>

namespace plantainfork::batch
{

namespace
{

/** A job that takes longer than this many times its objective has no value to its caller any more. */
constexpr int NoValueAfterObjectives = 3;

} // namespace

WaitingOrder::WaitingOrder(Workload &workload, Instant now, WallTime wallNow)
    : m_workload(workload)
    , m_now(now)
    , m_wallNow(wallNow)
{
    collectGuaranteedJobs();
}

bool WaitingOrder::isGuaranteed(const Job &job) const
{
    return m_guaranteedJobs.contains(&job);
}

void WaitingOrder::collectGuaranteedJobs()
{
    std::map<base::WorkspaceId, std::vector<Job *>> urgent;
    for (Job *job : m_workload.activeJobs()) {
        if (!isEnded(job->status) && m_workload.priorityOf(*job) == 0) {
            urgent[job->spec.workspace].push_back(job);
        }
    }
    for (auto &[workspace, jobs] : urgent) {
        applyGuarantee(workspace, jobs);
    }
}

void WaitingOrder::applyGuarantee(const base::WorkspaceId &workspace, std::vector<Job *> &jobs)
{
    const auto &workspaces = m_workload.policy().workspaces;
    const auto found = workspaces.find(workspace);
    std::int64_t remainingGuarantee = found != workspaces.end() ? found->second.guaranteedAccelerators : 0;
    std::sort(jobs.begin(), jobs.end(), [](const Job *a, const Job *b) {
        return a->acceptedAt < b->acceptedAt;
    });
    for (Job *job : jobs) {
        const std::int64_t need = job->shape.peakAccelerators;
        if (need <= remainingGuarantee) {
            remainingGuarantee -= need;
            m_guaranteedJobs.insert(job);
        }
    }
}

std::size_t WaitingOrder::tasksOf(const Candidate &candidate)
{
    return candidate.ref.step().isGang ? candidate.ref.step().tasks : 1;
}

bool WaitingOrder::mayOpen(const Candidate &candidate)
{
    const Job &job = *candidate.ref.job;
    if (job.taskCount <= JobLimits::OpenTasks || !candidate.ref.unit->isFresh()) {
        return true;
    }
    if (job.recordBytes > JobLimits::RecordBytes) {
        return false;
    }
    auto open = m_openTasks.find(&job);
    if (open == m_openTasks.end()) {
        open = m_openTasks.emplace(&job, job.openTasks()).first;
    }
    // A gang may be larger than the limit, and then is the job's only open unit.
    return open->second == 0 || open->second + tasksOf(candidate) <= JobLimits::OpenTasks;
}

void WaitingOrder::noteOpened(const Candidate &candidate)
{
    if (candidate.ref.job->taskCount > JobLimits::OpenTasks && candidate.ref.unit->isFresh()) {
        m_openTasks[candidate.ref.job] += tasksOf(candidate);
    }
}

void WaitingOrder::addNextUnits(Job &job)
{
    const std::uint32_t occurrences = std::max(job.spec.occurrences, 1U);
    const auto steps = static_cast<std::uint32_t>(job.spec.steps.size());
    const auto isOccurrenceDone = [&](std::uint32_t occurrence) {
        for (std::uint32_t step = 0; step < steps; ++step) {
            if (!job.isStepDone(occurrence, step)) {
                return false;
            }
        }
        return true;
    };
    while (job.firstOpenOccurrence < occurrences && isOccurrenceDone(job.firstOpenOccurrence)) {
        ++job.firstOpenOccurrence;
    }
    std::size_t readySteps = 0;
    for (std::uint32_t occurrence = job.firstOpenOccurrence; occurrence < occurrences && readySteps < JobLimits::ReadySteps; ++occurrence) {
        if (job.spec.occurrences > 0 && m_wallNow < job.dueAt(occurrence)) {
            break;
        }
        for (std::uint32_t step = 0; step < steps && readySteps < JobLimits::ReadySteps; ++step) {
            const StepUnits &range = job.stepUnits[job.rangeIndex(occurrence, step)];
            if (range.next == unitCount(job.spec.steps[step]) || !job.isStepReady(occurrence, step, m_wallNow)) {
                continue;
            }
            ++readySteps;
            const std::size_t offset = occurrence * job.unitsPerOccurrence + job.stepOffsets[step];
            const Unit *last = range.next > 0 ? job.units.find(offset + range.next - 1) : nullptr;
            const bool isNextWaiting = last != nullptr && last->isFresh();
            if (!isNextWaiting) {
                job.addNextUnit(occurrence, step);
            }
        }
    }
}

std::optional<Candidate> WaitingOrder::nextOfStep(const Candidate &candidate)
{
    Job &job = *candidate.ref.job;
    const Unit &unit = *candidate.ref.unit;
    const bool isLast = unit.index + 1 == job.stepUnits[job.rangeIndex(unit.occurrence, unit.step)].next;
    if (!job.isSparse() || !unit.isFresh() || !isLast) {
        return std::nullopt;
    }
    Unit *next = job.addNextUnit(unit.occurrence, unit.step);
    if (next == nullptr) {
        return std::nullopt;
    }
    Candidate result = candidate;
    result.ref.unit = next;
    return result;
}

std::vector<Candidate> WaitingOrder::candidates()
{
    std::vector<Candidate> all;
    for (Job *job : m_workload.activeJobs()) {
        if (job->waitingUnits == 0 || m_now < job->suspendedUntil) {
            continue;
        }
        const int shareLevel = m_workload.fairShare().level(job->spec.workspace);
        if (job->isSparse()) {
            addNextUnits(*job);
        }
        for (auto &unit : job->units) {
            if (job->isReady(unit, m_wallNow)) {
                Candidate &added = all.emplace_back(candidate(*job, unit));
                added.shareLevel = added.isSharing() ? shareLevel : 0;
            }
        }
    }
    std::sort(all.begin(), all.end(), [](const Candidate &a, const Candidate &b) {
        return a.sortKey() < b.sortKey();
    });
    return all;
}

Candidate WaitingOrder::candidate(Job &job, Unit &unit) const
{
    Candidate result;
    result.ref = {&job, &unit};
    result.priority = m_workload.priorityOf(job);
    result.isGuaranteed = isGuaranteed(job);
    result.runTime = scaled(job.stepOf(unit).estimate, 1.0 - static_cast<double>(unit.savedPercent) / WholePercent);
    const Queue &queue = m_workload.queueOf(job);
    const Duration objective = scaled(job.shape.criticalPath, queue.slackFactor) + queue.latencyTarget;
    Instant objectiveStart = job.acceptedAt;
    if (job.spec.occurrences > 0) {
        objectiveStart = m_now - (m_wallNow - job.dueAt(unit.occurrence));
    }
    result.jobWork = job.shape.work;
    const Duration remainingPath = job.shape.pathFrom[unit.step];
    result.latestStart = objectiveStart + objective - remainingPath;
    result.latenessLevel = m_now <= result.latestStart ? 0 : m_now <= objectiveStart + NoValueAfterObjectives * objective - remainingPath ? 1 : 2;
    return result;
}

} // namespace plantainfork::batch
