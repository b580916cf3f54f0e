#include "batch/workload.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace plantainfork::batch
{

namespace
{

constexpr std::uint32_t WholePercent = 100;
/** The records of jobs of up to this many units have no ranges, which an entry of an earlier version doesn't know: it would run their tasks again. */
constexpr std::size_t MaxUnitsRecordedSingly = 1024;

/** Core-equivalent seconds of a member's work that are not in its unit's checkpoint, by the caller's estimate. */
double unsavedWork(const Job &job, const Unit &unit, const Member &member)
{
    const double percent = static_cast<double>(std::max(member.percent, unit.savedPercent) - unit.savedPercent);
    return percent / WholePercent * toSeconds(job.stepOf(unit).estimate) * coreEquivalents(job.stepOf(unit).need);
}

std::string rounded(double value)
{
    return std::to_string(std::llround(value));
}

/** Whether any member of the unit has not ended. */
bool hasActiveMembers(const Unit &unit)
{
    return std::any_of(unit.members.begin(), unit.members.end(), [](const Member &member) {
        return member.phase != MemberPhase::Ended;
    });
}

} // namespace

std::int64_t percentOf(double part)
{
    return std::llround(part * WholePercent);
}

Workload::Workload(base::FencingToken token, WorkloadBounds bounds, Instant termStart)
    : m_token(token)
    , m_bounds(bounds)
    , m_termStart(termStart)
    , m_fairShare(bounds.fairShareMemory)
    , m_hostLosses(bounds.hostLossMemory)
    , m_speeds(bounds.unevenHostRatio)
{
}

const Queue &Workload::queueOf(const Job &job) const
{
    const auto queue = m_policy->queues.find(job.spec.queue);
    return queue != m_policy->queues.end() ? queue->second : job.acceptedQueue;
}

void Workload::log(std::string name, std::vector<std::pair<std::string, std::string>> fields)
{
    m_events.push_back({std::move(name), std::move(fields)});
}

std::vector<JobTiming> Workload::takeTimings()
{
    return std::exchange(m_timings, {});
}

std::vector<Event> Workload::takeEvents()
{
    return std::exchange(m_events, {});
}

void Workload::addJob(JobSpec spec, const std::optional<JobState> &state, Instant now, WallTime wallNow)
{
    if (m_jobs.contains(spec.id)) {
        return;
    }
    Job &job = m_jobs[spec.id];
    m_areActiveJobsCurrent = false;
    job.spec = std::move(spec);
    m_keptBytes[job.spec.workspace] += estimatedBytes(job.spec);
    job.shape = shapeOf(job.spec.steps);
    job.acceptedQueue.id = job.spec.queue;
    job.acceptedQueue.service = job.spec.service;
    job.acceptedQueue.priority = job.spec.priority;
    job.acceptedQueue.maxFailures = job.spec.maxFailures;
    job.acceptedQueue.slackFactor = job.spec.slackFactor;
    job.acceptedQueue.latencyTarget = job.spec.latencyTarget;
    const auto age = wallNow.time_since_epoch() - std::chrono::milliseconds(job.spec.acceptedMs);
    job.acceptedAt = now - std::clamp<runtime::Clock::duration>(age, runtime::Clock::duration::zero(), std::chrono::hours(1));
    for (const auto &step : job.spec.steps) {
        job.stepOffsets.push_back(job.unitsPerOccurrence);
        job.unitsPerOccurrence += unitCount(step);
        job.taskCount += static_cast<std::size_t>(step.tasks) * std::max(job.spec.occurrences, 1U);
    }
    const std::uint32_t occurrences = std::max(job.spec.occurrences, 1U);
    job.unitCount = job.unitsPerOccurrence * occurrences;
    job.waitingUnits = job.unitCount;
    job.stepUnits.resize(job.spec.steps.size() * occurrences);
    job.firstDueAt = job.spec.occurrences > 0 ? now + (job.dueAt(0) - wallNow) : job.acceptedAt;
    for (std::uint32_t occurrence = 0; occurrence < occurrences && !job.isSparse(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            while (job.addNextUnit(occurrence, step) != nullptr) {
                // The step has further units.
            }
        }
    }
    if (!state) {
        log("job known", {{"job", job.spec.id.value()}, {"queue", job.spec.queue.value()}, {"workspace", job.spec.workspace.value()}});
        return;
    }
    job.status = state->status;
    job.endedMs = state->endedMs;
    restoreUnits(job, *state, now);
    log("job restored", {{"job", job.spec.id.value()}, {"status", std::string(statusText(job.status))}});
}

void Workload::restoreUnits(Job &job, const JobState &state, Instant now)
{
    for (const auto &range : state.doneRanges) {
        if (range.occurrence < std::max(job.spec.occurrences, 1U) && range.step < job.spec.steps.size()) {
            restoreDoneRange(job, range);
        }
    }
    for (const auto &record : state.units) {
        Unit *unit = restoredUnit(job, record);
        if (unit == nullptr) {
            log("record of an unknown unit", {{"job", job.spec.id.value()}, {"step", std::to_string(record.step)}});
            continue;
        }
        unit->attempt = record.attempt;
        unit->failures = record.failures;
        unit->crashes = record.crashes;
        unit->checkpoint = record.checkpoint;
        job.setPhase(*unit, record.isDone ? UnitPhase::Done : record.members.empty() ? UnitPhase::Waiting : UnitPhase::Placed);
        for (const auto &memberRecord : record.members) {
            Member member;
            member.host = memberRecord.host;
            member.incarnation = memberRecord.incarnation;
            member.orderedAt = member.startedAt = member.progressedAt = now;
            addMember({&job, unit}, std::move(member));
        }
        if (isEnded(job.status) && !unit->members.empty()) {
            unit->stopReason = job.status == JobStatus::Failed ? StopReason::JobFailed : StopReason::Cancelled;
        }
    }
    if (job.isSparse()) {
        m_jobsWithDoneUnits.insert(job.spec.id);
    }
}

void Workload::restoreDoneRange(Job &job, const DoneRange &range)
{
    StepUnits &units = job.stepUnits[job.rangeIndex(range.occurrence, range.step)];
    const std::uint32_t count = unitCount(job.spec.steps[range.step]);
    const std::uint32_t first = std::min(std::max(range.first, units.next), count);
    const std::uint32_t end = first + std::min(range.count, count - first);
    // Those that the record leaves out in between have never been started.
    while (units.next < first) {
        job.addNextUnit(range.occurrence, range.step);
    }
    units.done += end - first;
    units.next = end;
    job.allDoneUnits += end - first;
    job.waitingUnits -= end - first;
}

Unit *Workload::restoredUnit(Job &job, const UnitRecord &record)
{
    const TaskId task{job.spec.id, record.occurrence, record.step, record.index};
    if (record.occurrence >= std::max(job.spec.occurrences, 1U) || record.step >= job.spec.steps.size()
        || record.index >= unitCount(job.spec.steps[record.step])) {
        return nullptr;
    }
    while (job.stepUnits[job.rangeIndex(record.occurrence, record.step)].next <= record.index) {
        job.addNextUnit(record.occurrence, record.step);
    }
    return job.unit(task);
}

void Workload::removeDoneUnits()
{
    for (const auto &id : std::exchange(m_jobsWithDoneUnits, {})) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        Job &job = found->second;
        for (auto unit = job.units.begin(); unit != job.units.end();) {
            const bool isNeeded = unit->hasMembers() || (unit->phase != UnitPhase::Done && !isEnded(job.status));
            unit = isNeeded ? std::next(unit) : job.units.erase(unit);
        }
    }
}

void Workload::cancelJob(const base::JobId &id, WallTime wallNow)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || isEnded(found->second.status)) {
        return;
    }
    found->second.isCancelled = true;
    endJob(found->second, JobStatus::Cancelled, wallNow);
}

void Workload::forgetJob(const base::JobId &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    for (auto &unit : found->second.units) {
        markOrdersChanged(unit);
        clearMembers(found->second, unit);
    }
    const auto kept = m_keptBytes.find(found->second.spec.workspace);
    kept->second -= estimatedBytes(found->second.spec);
    if (kept->second == 0) {
        m_keptBytes.erase(kept);
    }
    m_jobs.erase(found);
    m_areActiveJobsCurrent = false;
}

const std::vector<Job *> &Workload::activeJobs()
{
    if (!m_areActiveJobsCurrent) {
        m_activeJobs.clear();
        for (auto &[id, job] : m_jobs) {
            if (!isEnded(job.status) || job.unitsWithMembers > 0) {
                m_activeJobs.push_back(&job);
            }
        }
        m_areActiveJobsCurrent = true;
    }
    return m_activeJobs;
}

Host &Workload::hostFor(const HostId &id)
{
    Host &host = m_hosts[id];
    if (host.id.isEmpty()) {
        host.id = id;
        host.number = m_hosts.size() - 1;
        if (const auto restored = m_restoredSpeeds.extract(id)) {
            m_speeds.restore(host.number, restored.mapped());
        }
    }
    return host;
}

void Workload::addMember(UnitRef ref, Member member)
{
    Host &host = hostFor(member.host);
    member.hostNumber = host.number;
    if (std::find(host.units.begin(), host.units.end(), ref) == host.units.end()) {
        host.units.push_back(ref);
    }
    ref.job->unitsWithMembers += ref.unit->members.empty() ? 1 : 0;
    ref.unit->members.push_back(std::move(member));
}

void Workload::clearMembers(Job &job, Unit &unit)
{
    if (unit.members.empty()) {
        return;
    }
    for (const auto &member : unit.members) {
        std::erase(hostFor(member.host).units, UnitRef{&job, &unit});
    }
    unit.members.clear();
    --job.unitsWithMembers;
    if (job.isSparse()) {
        m_jobsWithDoneUnits.insert(job.spec.id);
    }
    if (job.unitsWithMembers == 0 && isEnded(job.status)) {
        m_areActiveJobsCurrent = false;
    }
}

void Workload::markOrdersChanged(const Unit &unit)
{
    for (const auto &member : unit.members) {
        m_changedHosts.insert(member.host);
    }
}

void Workload::markOrdersChanged(const std::map<HostId, Orders> &collected)
{
    for (const auto &[id, orders] : collected) {
        m_changedHosts.insert(id);
    }
}

std::set<HostId> Workload::takeChangedHosts()
{
    return std::exchange(m_changedHosts, {});
}

void Workload::endJob(Job &job, JobStatus status, WallTime wallNow)
{
    job.status = status;
    m_areActiveJobsCurrent = false;
    job.endedMs = wallNow.time_since_epoch().count();
    job.isDirty = true;
    log("job ended",
        {{"job", job.spec.id.value()}, {"status", std::string(statusText(status))}, {"age_ms", std::to_string(job.endedMs - job.spec.acceptedMs)}});
    m_timings.push_back({job.spec.workspace, priorityOf(job), status, std::chrono::milliseconds(job.endedMs - job.spec.acceptedMs)});
    if (job.isSparse()) {
        m_jobsWithDoneUnits.insert(job.spec.id);
    }
    for (auto &unit : job.units) {
        if (unit.phase == UnitPhase::Placed) {
            stop({&job, &unit}, status == JobStatus::Failed ? StopReason::JobFailed : StopReason::Cancelled);
        }
    }
}

void Workload::finishJobIfDone(Job &job, WallTime wallNow)
{
    if (job.allDoneUnits == job.unitCount && !isEnded(job.status)) {
        endJob(job, JobStatus::Complete, wallNow);
    }
}

void Workload::place(UnitRef ref, const std::vector<HostId> &hosts, Instant now)
{
    Unit &unit = *ref.unit;
    ref.job->setPhase(unit, UnitPhase::Placed);
    unit.attempt = unit.attempt.next();
    unit.stopReason = StopReason::None;
    std::string names;
    for (const auto &id : hosts) {
        Member member;
        member.host = id;
        member.incarnation = m_hosts.at(id).report.incarnation;
        member.percent = unit.savedPercent;
        member.firstRecord = ref.job->nextRecord;
        member.orderedAt = member.startedAt = member.progressedAt = now;
        addMember(ref, std::move(member));
        names += (names.empty() ? "" : ",") + id.value();
    }
    markOrdersChanged(unit);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - ref.job->acceptedAt);
    ref.job->isDirty = true;
    std::vector<std::pair<std::string, std::string>> fields{{"job", ref.job->spec.id.value()},
                                                            {"unit", ref.job->taskOf(unit, 0).text()},
                                                            {"attempt", std::to_string(unit.attempt.value())},
                                                            {"hosts", names},
                                                            {"priority", std::to_string(priorityOf(*ref.job))},
                                                            {"age_ms", std::to_string(age.count())}};
    std::string slowNames;
    for (const auto &id : slowHostsAmong(hosts)) {
        slowNames += (slowNames.empty() ? "" : ",") + id.value();
    }
    if (!slowNames.empty()) {
        fields.emplace_back("slow_hosts", slowNames);
    }
    log("unit placed", std::move(fields));
    if (std::exchange(unit.isPassedOver, false)) {
        const auto &workspace = ref.job->spec.workspace;
        m_events.back().fields.emplace_back("passed_over", "true");
        m_events.back().fields.emplace_back("workspace", workspace.value());
        m_events.back().fields.emplace_back("share_percent", std::to_string(percentOf(m_fairShare.share(workspace))));
    }
}

void Workload::noteService(const ServiceUse &use, const std::vector<UnitRef> &passedOver, Instant now)
{
    m_fairShare.add(use, now);
    for (const auto &ref : passedOver) {
        ref.unit->isPassedOver = true;
    }
}

void Workload::noteWaitingNearData(const std::vector<UnitRef> &units, Instant now)
{
    for (const auto &ref : units) {
        if (ref.unit->placeDeclinedAt == Instant()) {
            ref.unit->placeDeclinedAt = now;
            log("unit waits near its data", {{"job", ref.job->spec.id.value()}, {"unit", ref.job->taskOf(*ref.unit, 0).text()}, {"rack", ref.step().dataRack}});
        }
    }
}

void Workload::stop(UnitRef ref, StopReason reason)
{
    Unit &unit = *ref.unit;
    if (unit.phase != UnitPhase::Placed || unit.stopReason != StopReason::None) {
        return;
    }
    unit.stopReason = reason;
    markOrdersChanged(unit);
    std::string percents;
    for (const auto &member : unit.members) {
        percents += (percents.empty() ? "" : ",") + std::to_string(member.percent);
    }
    log("unit stopping",
        {{"job", ref.job->spec.id.value()},
         {"unit", ref.job->taskOf(unit, 0).text()},
         {"attempt", std::to_string(unit.attempt.value())},
         {"reason", std::string(stopReasonText(reason))},
         {"percent", percents},
         {"saved_percent", std::to_string(unit.savedPercent)}});
}

std::optional<std::pair<UnitRef, std::size_t>> Workload::findMember(const RunId &run, const HostId &host)
{
    const auto job = m_jobs.find(run.task.job);
    if (job == m_jobs.end()) {
        return std::nullopt;
    }
    Unit *unit = job->second.unit(run.task);
    if (unit == nullptr || unit->attempt != run.attempt) {
        return std::nullopt;
    }
    const std::size_t member = job->second.memberIndex(run.task);
    if (member >= unit->members.size() || unit->members[member].host != host) {
        return std::nullopt;
    }
    return std::pair(UnitRef{&job->second, unit}, member);
}

void Workload::markDone(Job &job, Unit &unit, Instant now)
{
    job.setPhase(unit, UnitPhase::Done);
    if (job.isSparse()) {
        m_jobsWithDoneUnits.insert(job.spec.id);
    }
    if (!job.isStepDone(unit.occurrence, unit.step)) {
        return;
    }
    for (std::uint32_t step = unit.step + 1; step < job.spec.steps.size() && job.isSparse(); ++step) {
        const auto &dependencies = job.spec.steps[step].dependsOn;
        if (std::find(dependencies.begin(), dependencies.end(), unit.step) != dependencies.end()) {
            job.releasedAt[job.rangeIndex(unit.occurrence, step)] = now;
        }
    }
    job.releasedAt.erase(job.rangeIndex(unit.occurrence, unit.step));
    for (auto &other : job.units) {
        const auto &dependencies = job.stepOf(other).dependsOn;
        const bool isReleased = other.occurrence == unit.occurrence && std::find(dependencies.begin(), dependencies.end(), unit.step) != dependencies.end();
        if (isReleased && other.phase == UnitPhase::Waiting) {
            other.waitingSince = now;
        }
    }
}

bool Workload::hasReachedFailureLimit(const Job &job, const Unit &unit) const
{
    return unit.failures.size() >= queueOf(job).maxFailures && !job.stepOf(unit).isLongRunning;
}

void Workload::endMember(Job &job, Unit &unit, std::size_t index, EndKind kind, const std::string &checkpoint, Instant now, WallTime wallNow)
{
    Member &member = unit.members[index];
    if (member.phase == MemberPhase::Ended) {
        return;
    }
    const bool wasRunning = member.phase == MemberPhase::Running;
    if (kind != EndKind::Refused && kind != EndKind::Lost) {
        noteBegun(job, now);
    }
    member.phase = MemberPhase::Ended;
    member.end = kind;
    m_changedHosts.insert(member.host);
    job.isDirty = true;
    if (!checkpoint.empty()) {
        unit.checkpoint = checkpoint;
        unit.savedPercent = std::max(unit.savedPercent, std::min(member.percent, WholePercent - 1));
    }
    log("run ended",
        {{"job", job.spec.id.value()},
         {"task", job.taskOf(unit, index).text()},
         {"attempt", std::to_string(unit.attempt.value())},
         {"host", member.host.value()},
         {"how", std::string(endKindText(kind))},
         {"why", std::string(stopReasonText(unit.stopReason))},
         {"lost_core_s", kind == EndKind::Done ? "0" : rounded(unsavedWork(job, unit, member))},
         {"ran_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - member.startedAt).count())}});
    const bool isLongRunningStep = job.stepOf(unit).isLongRunning;
    // The members of a gang end together, whenever they have done their own work, and those listed as done wait to be ended.
    if (kind == EndKind::Done && wasRunning && !job.stepOf(unit).isGang && member.percent < WholePercent) {
        observePace(job, unit, index, WholePercent, now);
    }
    if (kind == EndKind::Done) {
        hostFor(member.host).consecutiveFailures = 0;
        m_hostLosses.noteSuccess(member.host, now);
        if (!isLongRunningStep) {
            markDone(job, unit, now);
        }
    }
    if (kind == EndKind::Failed) {
        countFailure(job, unit, member, now);
    }
    const bool wasRefused = kind == EndKind::Refused && unit.stopReason == StopReason::None;
    if (wasRefused) {
        unit.failedHosts.insert(member.host);
    }
    updateUnitAfterEnd(job, unit, now, wallNow);
}

void Workload::countFailure(Job &job, Unit &unit, const Member &member, Instant now)
{
    // Nothing limits the failures of a task that lasts, so they aren't kept: its record would grow for as long as it fails.
    if (!job.stepOf(unit).isLongRunning) {
        unit.failures.insert(unit.attempt);
    }
    Host &host = hostFor(member.host);
    const bool failedElsewhere = std::any_of(unit.failedHosts.begin(), unit.failedHosts.end(), [&](const HostId &other) {
        return other != member.host;
    });
    unit.failedHosts.insert(member.host);
    m_hostLosses.noteFailure(member.host, job.taskOf(unit, 0), m_reportedHosts, now);
    if (!failedElsewhere) {
        ++host.consecutiveFailures;
    }
    if (host.consecutiveFailures >= m_bounds.suspensionThreshold && now >= host.suspendedUntil) {
        host.suspendedUntil = now + m_bounds.suspensionDuration;
        log("host suspended", {{"host", member.host.value()}, {"failures", std::to_string(host.consecutiveFailures)}, {"job", job.spec.id.value()}});
    }
}

void Workload::updateUnitAfterEnd(Job &job, Unit &unit, Instant now, WallTime wallNow)
{
    if (unit.phase == UnitPhase::Placed && hasActiveMembers(unit)) {
        stop({&job, &unit}, StopReason::GangBroken);
        return;
    }
    if (unit.phase == UnitPhase::Done) {
        markOrdersChanged(unit);
        if (!hasActiveMembers(unit)) {
            clearMembers(job, unit);
        }
        finishJobIfDone(job, wallNow);
        return;
    }
    clearMembers(job, unit);
    unit.stopReason = StopReason::None;
    unit.waitingSince = now;
    unit.placeDeclinedAt = Instant();
    job.setPhase(unit, UnitPhase::Waiting);
    if (!job.stepOf(unit).hasCheckpoints) {
        unit.savedPercent = 0;
    }
    if (hasReachedFailureLimit(job, unit) && !isEnded(job.status)) {
        endJob(job, JobStatus::Failed, wallNow);
    }
}

void Workload::confirmPublished(const HostId &id, const HostIncarnation &incarnation)
{
    Host &host = hostFor(id);
    const bool canTake = host.hasReport && host.report.incarnation == incarnation;
    host.hasUnpublishedLosses = host.hasUnpublishedLosses && !canTake;
}

void Workload::noteAcknowledged(const HostId &id, const Orders &published)
{
    Host &host = hostFor(id);
    if (host.report.incarnation == published.incarnation) {
        host.acknowledgedEnds = published.acknowledged;
    }
}

bool Workload::mayRenewLease(const SyncCall &call) const
{
    const auto host = m_hosts.find(call.host);
    return call.isExecutorReached && (host == m_hosts.end() || !host->second.hasUnpublishedLosses);
}

void Workload::beginApart(Job &job)
{
    job.isRecordedApart = true;
    // Which of the ends since the last record are the job's isn't known any more.
    for (auto &[id, host] : m_hosts) {
        if (host.processedEnds > host.acknowledgedEnds) {
            host.unrecordedEnds.push_back({job.spec.id, job.nextRecord, host.acknowledgedEnds + 1});
        }
    }
}

std::uint64_t Workload::beginRecord(Job &job, std::size_t bytes, Instant now)
{
    job.isDirty = false;
    job.hasNewCheckpoint = false;
    job.recordedAt = now;
    job.recordBytes = bytes;
    const std::uint64_t record = job.nextRecord++;
    job.lastRecord = job.isRecordedApart ? job.lastRecord : record;
    return record;
}

void Workload::noteRecorded(Job &job, std::uint64_t record)
{
    for (const auto &unit : job.units) {
        for (const auto &member : unit.members) {
            if (member.firstRecord > job.lastRecord && member.firstRecord <= record) {
                m_changedHosts.insert(member.host);
            }
        }
    }
    for (auto &[id, host] : m_hosts) {
        const auto recorded = std::erase_if(host.unrecordedEnds, [&](const UnrecordedEnd &end) {
            return end.job == job.spec.id && end.record <= record;
        });
        if (recorded > 0) {
            m_changedHosts.insert(id);
        }
    }
    job.lastRecord = record;
    job.isRecordedApart = job.isDirty || job.recordBytes > JobLimits::ApartRecordBytes / 2;
}

void Workload::refuseRecord(Job &job, std::uint64_t record, Instant now)
{
    job.lastRecord = std::min(job.lastRecord, record - 1);
    job.isDirty = true;
    if (!job.isRecordedApart) {
        beginApart(job);
    }
    job.suspendedUntil = now + SuspensionOfJob;
    for (auto &unit : job.units) {
        const bool isUnrecorded = unit.phase == UnitPhase::Placed && unit.members.front().firstRecord > job.lastRecord;
        if (isUnrecorded) {
            markOrdersChanged(unit);
            clearMembers(job, unit);
            unit.stopReason = StopReason::None;
            unit.waitingSince = now;
            unit.placeDeclinedAt = Instant();
            job.setPhase(unit, UnitPhase::Waiting);
        }
    }
    log("job suspended", {{"job", job.spec.id.value()}, {"record_bytes", std::to_string(job.recordBytes)}});
}

Orders Workload::takeOrders(const HostId &id)
{
    Host &host = m_hosts.at(id);
    Orders orders = ordersFor(host);
    host.hasWithheldStarts = orders.hasWithheldStarts;
    return orders;
}

Orders Workload::ordersFor(const Host &host) const
{
    Orders orders;
    orders.incarnation = host.report.incarnation;
    orders.acknowledged = host.processedEnds;
    for (const auto &end : host.unrecordedEnds) {
        orders.acknowledged = std::min(orders.acknowledged, end.number - 1);
    }
    std::size_t startBytes = 0;
    orders.stops.assign(host.unexpectedRuns.begin(), host.unexpectedRuns.end());
    for (const auto &[job, unit] : host.units) {
        const bool shouldRun = unit->phase == UnitPhase::Placed;
        const bool shouldStop = unit->stopReason != StopReason::None;
        for (std::size_t i = 0; i < unit->members.size(); ++i) {
            const Member &member = unit->members[i];
            const bool isWithheld = job->isRecordedApart && member.firstRecord > job->lastRecord;
            if (member.host != host.id || member.phase == MemberPhase::Ended || (!shouldRun && !shouldStop) || isWithheld) {
                continue;
            }
            const RunId run{job->taskOf(*unit, i), unit->attempt};
            if (shouldStop) {
                orders.stops.push_back(run);
            } else if (member.phase == MemberPhase::Ordered && !host.isListed) {
                // The host may have begun it for an earlier leader, and if it hasn't, the start may have to be withdrawn.
                continue;
            } else if (member.phase == MemberPhase::Ordered) {
                const std::size_t bytes = job->spec.payload.size() + unit->checkpoint.size();
                if (startBytes > 0 && startBytes + bytes > StartBytes) {
                    orders.hasWithheldStarts = true;
                    continue;
                }
                startBytes += bytes;
                orders.runs.push_back({run, job->spec.payload, unit->checkpoint, true});
            } else {
                // The host has listed the run, so it needs neither payload nor checkpoint any more.
                orders.runs.push_back({run, "", "", false});
            }
        }
    }
    return orders;
}

void Workload::markCheckpoints(Instant now)
{
    for (Job *job : activeJobs()) {
        if (job->hasNewCheckpoint && now - job->recordedAt >= m_bounds.checkpointInterval) {
            job->isDirty = true;
        }
    }
}

JobState Workload::recordOf(const Job &job) const
{
    JobState state;
    state.status = job.status;
    state.endedMs = job.endedMs;
    if (job.isSparse() && !isEnded(job.status)) {
        state.doneRanges = doneRangesOf(job);
        if (job.unitCount <= MaxUnitsRecordedSingly) {
            recordSingly(state);
        }
    }
    for (const auto &unit : job.units) {
        // What is left of an ended job is the runs that may still be active.
        const bool isDispensable = job.isSparse() && !unit.hasMembers() && (unit.phase == UnitPhase::Done || isEnded(job.status));
        if (unit.isFresh() || isDispensable) {
            continue;
        }
        UnitRecord record;
        record.occurrence = unit.occurrence;
        record.step = unit.step;
        record.index = unit.index;
        record.isDone = unit.phase == UnitPhase::Done;
        record.attempt = unit.attempt;
        record.failures = unit.failures;
        record.crashes = unit.crashes;
        if (!record.isDone) {
            record.checkpoint = unit.checkpoint;
            for (const auto &member : unit.members) {
                record.members.push_back({member.host, member.incarnation});
            }
        }
        state.units.push_back(std::move(record));
    }
    return state;
}

void Workload::recordSingly(JobState &state)
{
    for (const auto &range : std::exchange(state.doneRanges, {})) {
        for (std::uint32_t i = 0; i < range.count; ++i) {
            UnitRecord record;
            record.occurrence = range.occurrence;
            record.step = range.step;
            record.index = range.first + i;
            record.isDone = true;
            record.attempt = Attempt().next();
            state.units.push_back(std::move(record));
        }
    }
}

std::vector<DoneRange> Workload::doneRangesOf(const Job &job)
{
    std::vector<DoneRange> ranges;
    auto unit = job.units.begin();
    for (std::uint32_t occurrence = 0; occurrence * job.spec.steps.size() < job.stepUnits.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            std::uint32_t first = 0;
            const auto addUpTo = [&](std::uint32_t end) {
                if (first < end) {
                    ranges.push_back({occurrence, step, first, end - first});
                }
            };
            for (; unit != job.units.end() && unit->occurrence == occurrence && unit->step == step; ++unit) {
                // A gang that is done while the ends of some members are yet to come has a record of its own.
                if (unit->phase != UnitPhase::Done || unit->hasMembers()) {
                    addUpTo(unit->index);
                    first = unit->index + 1;
                }
            }
            addUpTo(job.stepUnits[job.rangeIndex(occurrence, step)].next);
        }
    }
    return ranges;
}

Duration Workload::oldestReportAge(Instant now) const
{
    Duration oldest{};
    for (const auto &[id, host] : m_hosts) {
        if (isReachable(host, now)) {
            oldest = std::max(oldest, now - host.lastHeardAt);
        }
    }
    return oldest;
}

bool Workload::isReachable(const Host &host, Instant now) const
{
    return host.hasReport && host.isListed && host.isExecutorReached && now - host.executorHeardAt <= ContactTimeout;
}

} // namespace plantainfork::batch
