#include "batch/waiting_order.h"

#include <algorithm>

namespace plantainfork::batch
{

namespace
{

/** A job that takes longer than this many times its objective has no value to its caller any more. */
constexpr int NoValueAfterObjectives = 3;

/** Length of the critical path from the start of the step to the end of the job, by the caller's estimates. */
Duration criticalPathFrom(const Job &job, std::uint32_t from)
{
    const auto &steps = job.spec.steps;
    std::vector<Duration> pathLength(steps.size(), Duration::zero());
    for (std::size_t i = steps.size(); i-- > 0;) {
        pathLength[i] += steps[i].estimate;
        for (const auto dependency : steps[i].dependsOn) {
            pathLength[dependency] = std::max(pathLength[dependency], pathLength[i]);
        }
    }
    return pathLength[from];
}

Duration criticalPath(const Job &job)
{
    Duration longest = Duration::zero();
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        longest = std::max(longest, criticalPathFrom(job, step));
    }
    return longest;
}

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
    for (auto &[id, job] : m_workload.jobs()) {
        if (isEnded(job.status)) {
            continue;
        }
        if (m_workload.priorityOf(job) == 0) {
            urgent[job.spec.workspace].push_back(&job);
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
        std::int64_t need = 0;
        for (const auto &step : job->spec.steps) {
            need = std::max(need, step.tasks * step.need.accelerators);
        }
        if (need <= remainingGuarantee) {
            remainingGuarantee -= need;
            m_guaranteedJobs.insert(job);
        }
    }
}

std::vector<Candidate> WaitingOrder::candidates() const
{
    std::vector<Candidate> all;
    for (auto &[id, job] : m_workload.jobs()) {
        for (auto &unit : job.units) {
            if (job.isReady(unit, m_wallNow)) {
                all.push_back(candidate(job, unit));
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
    const Duration objective = scaled(criticalPath(job), queue.slackFactor) + queue.latencyTarget;
    Instant objectiveStart = job.acceptedAt;
    if (job.spec.occurrences > 0) {
        objectiveStart = m_now - (m_wallNow - job.dueAt(unit.occurrence));
    }
    for (const auto &step : job.spec.steps) {
        result.jobWork += toSeconds(step.estimate) * coreEquivalents(step.need) * step.tasks;
    }
    const Duration remainingPath = criticalPathFrom(job, unit.step);
    result.latestStart = objectiveStart + objective - remainingPath;
    result.latenessLevel = m_now <= result.latestStart ? 0 : m_now <= objectiveStart + NoValueAfterObjectives * objective - remainingPath ? 1 : 2;
    return result;
}

} // namespace plantainfork::batch
