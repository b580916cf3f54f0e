/**
 * Applies what the agents report to the workload: what hosts offer, what runs and what has ended on them, and what their silence or a restart
 * means for their runs.
 */
#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "batch/workload.h"

namespace plantainfork::batch
{

namespace
{

constexpr std::uint32_t WholePercent = 100;
/** A run without news of progress for this long may have paused, or its host was out of contact; hosts list their runs once a second. */
constexpr std::chrono::milliseconds MaxPaceGap{2200};
/** A sample of a run's pace replaces the one before once it weighs this many times as much. */
constexpr double MinWeightGain = 1.2;

constexpr double Hundred = 100.0;
/** Bound on the record of host speeds, about 300 kB; a store takes 512 kB. */
constexpr std::size_t MaxRecordedHosts = 10'000;
/** After the start of a term, hosts that have not been heard yet aren't taken to be gone for this long. */
constexpr std::chrono::seconds RestoredSpeedsKept{30};

std::uint32_t hundredths(double value)
{
    return static_cast<std::uint32_t>(std::lround(std::clamp(value, 0.0, Hundred) * Hundred));
}

/** With two decimals. */
std::string factorText(double factor)
{
    std::string text = std::to_string(std::round(factor * Hundred) / Hundred);
    text.resize(text.size() - 4);
    return text;
}

/** Length of the run for which the probability of a loss is logged. */
constexpr std::chrono::seconds LossLogTime{10};

} // namespace

bool Workload::noteContact(const SyncCall &call, Instant now)
{
    Host &host = hostFor(call.host);
    if (host.lastHeardAt == Instant()) {
        log("host heard", {{"host", call.host.value()}});
    }
    const bool isOutdated = call.agentIncarnation < host.agentIncarnation || (call.agentIncarnation == host.agentIncarnation && call.sequence <= host.sequence);
    if (isOutdated) {
        return false;
    }
    host.lastHeardAt = now;
    noteExecutorContact(host, call.isExecutorReached, now);
    return true;
}

SyncEffect Workload::applySync(const SyncCall &call, Instant now, WallTime wallNow)
{
    Host &host = hostFor(call.host);
    const bool wasReachable = isReachable(host, now);
    const Instant heardAt = host.executorHeardAt;
    if (!noteContact(call, now)) {
        return SyncEffect::Outdated;
    }
    host.agentIncarnation = call.agentIncarnation;
    host.sequence = call.sequence;
    // A host that was out of contact offers its resources again, and one that is now out of contact no longer does.
    bool isChanged = !wasReachable || !isReachable(host, now);
    // Before a host's first list of runs in this term nothing tells a call that was under way since before the term from a present one.
    const bool isKnown = host.hasReport || call.listToken == m_token;
    if (!call.hasReport || !isKnown) {
        return SyncEffect::Progress;
    }
    isChanged = applyCrashedRuns(host, call, now, wallNow) || isChanged;
    noteExecutorLoss(host, call, heardAt, now);
    isChanged = applyReport(host, call, now, wallNow) || isChanged;
    if (call.listToken != m_token) {
        return isChanged ? SyncEffect::Changed : SyncEffect::Progress;
    }
    if (!host.isListed) {
        host.isListed = true;
        m_changedHosts.insert(host.id);
        log("host listed", {{"host", call.host.value()}, {"running", std::to_string(call.running.size())}, {"ended", std::to_string(call.ended.size())}});
    }
    isChanged = applyConfirmedStarts(host, call, now) || isChanged;
    isChanged = applyRunningRuns(host, call, now) || isChanged;
    isChanged = applyEndedRuns(host, call, now, wallNow) || isChanged;
    isChanged = applyBarredRuns(host, call, now, wallNow) || isChanged;
    return isChanged ? SyncEffect::Changed : SyncEffect::Progress;
}

void Workload::noteExecutorContact(Host &host, bool isExecutorReached, Instant now)
{
    if (host.isExecutorReached && !isExecutorReached) {
        const auto since = host.executorHeardAt == Instant() ? Duration() : now - host.executorHeardAt;
        log("executor not reached by its agent",
            {{"host", host.id.value()},
             {"runs", std::to_string(host.units.size())},
             {"heard_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(since).count())}});
    }
    host.isExecutorReached = isExecutorReached;
    if (isExecutorReached) {
        host.executorHeardAt = now;
    }
}

void Workload::logNewExecutor(const Host &host, const SyncCall &call)
{
    const auto known = host.hasReport ? host.report.incarnation : HostIncarnation();
    log("executor of host new",
        {{"host", host.id.value()},
         {"instance", call.report.incarnation.instance},
         {"born", std::to_string(call.report.incarnation.born)},
         {"known_instance", known.instance},
         {"known_born", std::to_string(known.born)},
         {"runs", std::to_string(host.units.size())},
         {"crashed_runs", std::to_string(call.crashed.size())},
         {"agent", std::to_string(call.agentIncarnation)},
         {"call", std::to_string(call.sequence)},
         {"list_token", std::to_string(call.listToken.value())},
         {"is_reached", call.isExecutorReached ? "true" : "false"}});
}

void Workload::noteExecutorLoss(const Host &host, const SyncCall &call, Instant heardAt, Instant now)
{
    const bool hasGivenNotice = host.report.isDraining || host.report.isLeaving || host.report.hasLeft;
    if (!m_hostLosses.isOn() || !host.hasReport || hasGivenNotice || host.report.incarnation == call.report.incarnation) {
        return;
    }
    std::vector<TaskId> suspects;
    for (const auto &crashed : call.crashed) {
        const auto job = m_jobs.find(crashed.run.task.job);
        const Unit *unit = job != m_jobs.end() ? job->second.unit(crashed.run.task) : nullptr;
        const bool isSuspected = unit != nullptr && std::any_of(unit->crashes.begin(), unit->crashes.end(), [&](const Crash &crash) {
                                     const bool isBlamed = crash.blame == CrashBlame::Sole || crash.blame == CrashBlame::Shared;
                                     return isBlamed && crash.attempt == crashed.run.attempt && crash.host == host.id;
                                 });
        if (isSuspected) {
            suspects.push_back(job->second.taskOf(*unit, 0));
        }
    }
    m_hostLosses.noteLoss(host.id, suspects, m_reportedHosts, heardAt != Instant() ? heardAt : now);
}

bool Workload::applyReport(Host &host, const SyncCall &call, Instant now, WallTime wallNow)
{
    const bool isNew = !host.hasReport || host.report.incarnation != call.report.incarnation;
    if (isNew) {
        logNewExecutor(host, call);
    }
    if (host.hasReport && host.report.isDraining != call.report.isDraining) {
        log("host draining",
            {{"host", host.id.value()},
             {"is_draining", call.report.isDraining ? "true" : "false"},
             {"remaining_ms", std::to_string(call.report.remaining.count())}});
    }
    const bool hasJustLeft = call.report.hasLeft && (isNew || !host.report.hasLeft);
    const bool isChanged = isNew || hasJustLeft || host.report.isDraining != call.report.isDraining || host.report.isLeaving != call.report.isLeaving
        || host.report.capacity != call.report.capacity || host.report.labels != call.report.labels;
    // An agent tells of its executor's crash, unless it has ended, too.
    const bool hasGivenNotice = host.hasReport && (host.report.isDraining || host.report.isLeaving || host.report.hasLeft);
    const bool hasEndedUnseen = isNew && !call.hasSeenEnd && !hasGivenNotice;
    if (hasJustLeft) {
        log("executor left its host", {{"host", host.id.value()}, {"instance", call.report.incarnation.instance}, {"runs", std::to_string(host.units.size())}});
    }
    host.report = call.report;
    if (isChanged) {
        host.rack = rackOf(host.report);
        m_changedHosts.insert(host.id);
    }
    m_reportedHosts += host.hasReport ? 0 : 1;
    host.hasReport = true;
    host.leftAt = hasJustLeft ? now : call.report.hasLeft ? host.leftAt : Instant();
    host.drainDeadline = now + call.report.remaining;
    if (isNew) {
        host.isListed = false;
        host.processedEnds = 0;
        host.acknowledgedEnds = 0;
        host.unrecordedEnds.clear();
        host.unexpectedRuns.clear();
        host.consecutiveFailures = 0;
        host.suspendedUntil = Instant();
        m_speeds.noteNewExecutor(host.number);
        if (hasEndedUnseen) {
            countUnseenCrashes(host, now, wallNow);
        }
        resolveRestartedExecutor(host, now, wallNow);
    }
    return isChanged;
}

bool Workload::noteBegun(Job &job, Instant now)
{
    if (job.status != JobStatus::Queued) {
        return false;
    }
    job.status = JobStatus::Active;
    job.isDirty = true;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - job.acceptedAt);
    m_timings.push_back({job.spec.workspace, priorityOf(job), JobStatus::Active, age});
    return true;
}

bool Workload::applyConfirmedStarts(Host &host, const SyncCall &call, Instant now)
{
    bool isChanged = false;
    for (const auto &run : call.confirmed) {
        const auto found = findMember(run, host.id);
        if (!found || found->first.unit->members[found->second].phase != MemberPhase::Ordered) {
            continue;
        }
        found->first.unit->members[found->second].hasBegun = true;
        isChanged = noteBegun(*found->first.job, now) || isChanged;
    }
    return isChanged;
}

bool Workload::applyRunningRuns(Host &host, const SyncCall &call, Instant now)
{
    bool isChanged = false;
    std::set<RunId> unexpectedRuns;
    for (const auto &running : call.running) {
        const auto found = findMember(running.run, host.id);
        if (!found || found->first.unit->members[found->second].phase == MemberPhase::Ended) {
            unexpectedRuns.insert(running.run);
            continue;
        }
        Unit &unit = *found->first.unit;
        Member &member = unit.members[found->second];
        if (member.phase == MemberPhase::Ordered) {
            isChanged = true;
            if (host.hasWithheldStarts) {
                m_changedHosts.insert(host.id);
            }
            member.phase = MemberPhase::Running;
            member.hasBegun = true;
            noteBegun(*found->first.job, now);
            member.startedAt = member.progressedAt = now;
            member.percent = member.firstPercent = running.percent;
        }
        if (running.percent != member.percent) {
            member.hasPaused = member.hasPaused || now - member.progressedAt >= MaxPaceGap;
            member.percent = running.percent;
            member.progressedAt = now;
            if (running.percent < WholePercent) {
                observePace(*found->first.job, unit, found->second, static_cast<double>(running.percent), now);
            }
        }
        if (!running.checkpoint.empty() && running.checkpoint != unit.checkpoint) {
            unit.checkpoint = running.checkpoint;
            unit.savedPercent = running.percent;
            found->first.job->hasNewCheckpoint = true;
        }
    }
    for (const auto &run : unexpectedRuns) {
        if (!host.unexpectedRuns.contains(run)) {
            log("run unknown, to be stopped", {{"job", run.task.job.value()}, {"task", run.task.text()}, {"host", host.id.value()}});
        }
    }
    if (host.unexpectedRuns != unexpectedRuns) {
        isChanged = true;
        host.unexpectedRuns = std::move(unexpectedRuns);
        m_changedHosts.insert(host.id);
    }
    return isChanged;
}

double Workload::remoteSlowdown(const Step &step, const Unit &unit, const Member &member) const
{
    const auto rackOfMember = [&](const Member &other) -> const std::string & {
        return m_hosts.at(other.host).rack;
    };
    const bool isAwayFromData = !step.dataRack.empty() && rackOfMember(member) != step.dataRack;
    const bool isSpread = step.prefersSingleRack && std::any_of(unit.members.begin(), unit.members.end(), [&](const Member &other) {
                              return rackOfMember(other) != rackOfMember(unit.members.front());
                          });
    return isAwayFromData || isSpread ? m_bounds.remoteFactor : 1.0;
}

void Workload::observePace(const Job &job, Unit &unit, std::size_t index, double percent, Instant now)
{
    Member &member = unit.members[index];
    const Step &step = job.stepOf(unit);
    // A best-effort task advances as fast as others leave processor time to it, and a stopping one no longer has to.
    const bool hasPaused = member.hasPaused || now - member.progressedAt >= MaxPaceGap;
    if (!m_speeds.isOn() || step.isLongRunning || step.isBestEffort || unit.stopReason != StopReason::None || hasPaused) {
        return;
    }
    PaceSample sample{percent - static_cast<double>(member.firstPercent), now - member.startedAt, 1.0};
    const double weight = HostSpeeds::weightOf(sample);
    if (weight <= 0 || weight < MinWeightGain * member.paceWeight) {
        return;
    }
    member.paceWeight = weight;
    sample.knownSlowdown = remoteSlowdown(step, unit, member);
    const TaskId task = job.taskOf(unit, index);
    m_speeds.observe({job.spec.id, unit.step}, {unit.occurrence, task.index, unit.attempt}, member.hostNumber, sample, now);
}

std::set<HostId> Workload::slowHostsAmong(const std::vector<HostId> &hosts) const
{
    std::set<HostId> slow;
    for (const auto &id : hosts) {
        const auto host = m_hosts.find(id);
        if (host != m_hosts.end() && m_speeds.isSlow(host->second.number)) {
            slow.insert(id);
        }
    }
    return slow;
}

HostSpeedsRecord Workload::speedsRecord(Instant now) const
{
    std::map<HostId, HostSpeeds::Known> known;
    if (now - m_termStart < RestoredSpeedsKept) {
        known = m_restoredSpeeds;
    }
    for (const auto &[id, host] : m_hosts) {
        const bool isGone = host.report.hasLeft || now - std::max(host.lastHeardAt, m_termStart) > m_bounds.maxGrant + m_bounds.grantMargin;
        if (!isGone && m_speeds.isKnown(host.number)) {
            known[id] = m_speeds.known(host.number);
        }
    }
    // Every n-th host of a larger fleet: the fast and the slow must be left out alike, as factors are relative to the median host.
    const std::size_t stride = (known.size() + MaxRecordedHosts - 1) / MaxRecordedHosts;
    HostSpeedsRecord record;
    std::size_t place = 0;
    for (const auto &[id, speed] : known) {
        if (place++ % stride == 0) {
            record.hosts.push_back({id, hundredths(speed.factor), hundredths(speed.evidence)});
        }
    }
    return record;
}

void Workload::restoreSpeeds(const HostSpeedsRecord &record)
{
    for (const auto &entry : record.hosts) {
        const HostSpeeds::Known known{static_cast<double>(entry.factorPercent) / Hundred, static_cast<double>(entry.evidencePercent) / Hundred};
        const auto host = m_hosts.find(entry.host);
        if (host != m_hosts.end()) {
            m_speeds.restore(host->second.number, known);
        } else if (m_restoredSpeeds.size() < MaxRecordedHosts) {
            m_restoredSpeeds[entry.host] = known;
        }
    }
}

std::uint64_t Workload::takeNewSpeedSamples()
{
    return m_speeds.samples() - std::exchange(m_takenSpeedSamples, m_speeds.samples());
}

void Workload::logSlowHostsAvoided(UnitRef ref, double factor, std::size_t victims)
{
    log("slow hosts avoided",
        {{"job", ref.job->spec.id.value()},
         {"unit", ref.job->taskOf(*ref.unit, 0).text()},
         {"factor", factorText(factor)},
         {"preempted_units", std::to_string(victims)}});
}

void Workload::updateSpeeds(Instant now)
{
    const auto changes = m_speeds.update(now);
    if (changes.empty()) {
        return;
    }
    std::vector<const Host *> byNumber(m_hosts.size());
    for (const auto &[id, host] : m_hosts) {
        byNumber[host.number] = &host;
    }
    for (const auto &change : changes) {
        log(change.isSlow ? "host slow" : "host no longer slow",
            {{"host", byNumber[change.host]->id.value()}, {"factor", factorText(change.factor)}, {"samples", std::to_string(change.samples)}});
    }
}

bool Workload::applyEndedRuns(Host &host, const SyncCall &call, Instant now, WallTime wallNow)
{
    bool isChanged = false;
    for (const auto &ended : call.ended) {
        if (ended.number <= host.processedEnds) {
            continue;
        }
        host.processedEnds = ended.number;
        m_changedHosts.insert(host.id);
        isChanged = true;
        if (const auto found = findMember(ended.run, host.id)) {
            endMember(*found->first.job, *found->first.unit, found->second, ended.kind, ended.checkpoint, now, wallNow);
        } else {
            applyLateEnd(ended, now, wallNow);
        }
        holdAcknowledgement(host, ended);
    }
    return isChanged;
}

void Workload::holdAcknowledgement(Host &host, const Ended &ended)
{
    const auto found = m_jobs.find(ended.run.task.job);
    if (found == m_jobs.end() || !found->second.isRecordedApart || !found->second.isDirty) {
        return;
    }
    const Job &job = found->second;
    const bool isHeld = std::any_of(host.unrecordedEnds.begin(), host.unrecordedEnds.end(), [&](const UnrecordedEnd &end) {
        return end.job == job.spec.id && end.record == job.nextRecord;
    });
    if (!isHeld) {
        host.unrecordedEnds.push_back({job.spec.id, job.nextRecord, ended.number});
    }
}

void Workload::applyLateEnd(const Ended &ended, Instant now, WallTime wallNow)
{
    const auto job = m_jobs.find(ended.run.task.job);
    Unit *unit = job != m_jobs.end() ? job->second.unit(ended.run.task) : nullptr;
    if (unit == nullptr || unit->phase == UnitPhase::Done || isEnded(job->second.status) || job->second.stepOf(*unit).isLongRunning) {
        return;
    }
    if (ended.kind != EndKind::Done && (ended.kind != EndKind::Failed || !unit->failures.insert(ended.run.attempt).second)) {
        return;
    }
    log("late end counted",
        {{"job", job->first.value()},
         {"task", ended.run.task.text()},
         {"attempt", std::to_string(ended.run.attempt.value())},
         {"how", std::string(endKindText(ended.kind))}});
    job->second.isDirty = true;
    noteBegun(job->second, now);
    if (ended.kind == EndKind::Done) {
        stop({&job->second, unit}, StopReason::Superseded);
        markDone(job->second, *unit, now);
        finishJobIfDone(job->second, wallNow);
    } else if (hasReachedFailureLimit(job->second, *unit)) {
        endJob(job->second, JobStatus::Failed, wallNow);
    }
}

bool Workload::applyBarredRuns(Host &host, const SyncCall &call, Instant now, WallTime wallNow)
{
    bool isChanged = false;
    for (const auto &run : call.barred) {
        const auto found = findMember(run, host.id);
        if (found && found->first.unit->members[found->second].phase != MemberPhase::Ended) {
            isChanged = true;
            endMember(*found->first.job, *found->first.unit, found->second, EndKind::Refused, "", now, wallNow);
        }
    }
    return isChanged;
}

bool Workload::applyCrashedRuns(Host &host, const SyncCall &call, Instant now, WallTime wallNow)
{
    bool isChanged = false;
    // Runs of jobs that are not known any more count as units of their own.
    std::map<UnitRef, std::size_t> numbers;
    std::vector<CrashedUnit> crashed;
    for (std::size_t i = 0; i < call.crashed.size(); ++i) {
        const RunId &run = call.crashed[i].run;
        const auto job = m_jobs.find(run.task.job);
        Unit *unit = job != m_jobs.end() ? job->second.unit(run.task) : nullptr;
        const std::size_t number = unit != nullptr ? numbers.try_emplace(UnitRef{&job->second, unit}, i).first->second : i;
        crashed.push_back({number, call.crashed[i].listedFor, unit != nullptr && job->second.stepOf(*unit).isLongRunning});
    }
    for (std::size_t i = 0; i < call.crashed.size(); ++i) {
        const RunId &run = call.crashed[i].run;
        const auto job = m_jobs.find(run.task.job);
        Unit *unit = job != m_jobs.end() ? job->second.unit(run.task) : nullptr;
        const Crash crash{run.attempt, run.task.index, host.id, blameFor(crashed[i], crashed), beginOf(call.crashed[i])};
        if (unit != nullptr && crash.begin == RunBegin::Certain) {
            isChanged = noteBegun(job->second, now) || isChanged;
        }
        if (unit != nullptr && countCrash(job->second, *unit, crash, call.crashed.size(), wallNow)) {
            isChanged = true;
            host.crashedAt = now;
        }
    }
    return isChanged;
}

bool Workload::countCrash(Job &job, Unit &unit, const Crash &crash, std::size_t runsOnExecutor, WallTime wallNow)
{
    if (unit.phase == UnitPhase::Done || isEnded(job.status) || !addCrash(unit.crashes, crash)) {
        return false;
    }
    job.isDirty = true;
    const TaskId task{job.spec.id, unit.occurrence, unit.step, crash.task};
    log("executor crashed under run",
        {{"job", job.spec.id.value()},
         {"task", task.text()},
         {"attempt", std::to_string(crash.attempt.value())},
         {"host", crash.host.value()},
         {"blame", std::string(crashBlameText(crash.blame))},
         {"begin", std::string(runBeginText(crash.begin))},
         {"crashes", std::to_string(countCrashes(unit.crashes, crash.task))},
         {"runs_on_executor", std::to_string(runsOnExecutor)}});
    if (isGivenUp(unit.crashes, crash.task)) {
        log("unit given up",
            {{"job", job.spec.id.value()}, {"task", task.text()}, {"reason", "executors crash under it"}, {"blame", std::string(crashBlameText(crash.blame))}});
        endJob(job, JobStatus::Failed, wallNow);
    }
    return true;
}

void Workload::countUnseenCrashes(Host &host, Instant now, WallTime wallNow)
{
    const auto units = host.units;
    for (const auto &[job, unit] : units) {
        if (job->stepOf(*unit).isLongRunning) {
            continue;
        }
        for (std::size_t i = 0; i < unit->members.size(); ++i) {
            const Member &member = unit->members[i];
            const bool isLost = member.host == host.id && member.phase != MemberPhase::Ended && member.incarnation != host.report.incarnation;
            if (isLost
                && countCrash(*job,
                              *unit,
                              {unit->attempt, job->taskOf(*unit, i).index, host.id, CrashBlame::Bystander, RunBegin::Possible},
                              units.size(),
                              wallNow)) {
                host.crashedAt = now;
            }
        }
    }
}

void Workload::resolveRestartedExecutor(const Host &host, Instant now, WallTime wallNow)
{
    const HostIncarnation &present = host.report.incarnation;
    const auto units = host.units;
    for (const auto &[job, unit] : units) {
        for (std::size_t i = 0; i < unit->members.size(); ++i) {
            Member &member = unit->members[i];
            if (member.host != host.id || member.phase == MemberPhase::Ended || member.incarnation == present) {
                continue;
            }
            // Executors are addressed by id alone, so the new incarnation may carry out a start that was sent to the earlier one, be it the first
            // try of a start whose second try the earlier one had listed.
            const bool mayReceiveStart = member.incarnation.instance == present.instance && unit->phase == UnitPhase::Placed;
            if (mayReceiveStart) {
                member.incarnation = present;
                stop({job, unit}, StopReason::HostRestarted);
            } else {
                markMemberLost(*job, *unit, i, now, wallNow, "executor restarted");
            }
        }
    }
}

void Workload::markMemberLost(Job &job, Unit &unit, std::size_t member, Instant now, WallTime wallNow, std::string_view why)
{
    log("run lost",
        {{"job", job.spec.id.value()},
         {"task", job.taskOf(unit, member).text()},
         {"attempt", std::to_string(unit.attempt.value())},
         {"host", unit.members[member].host.value()},
         {"instance", unit.members[member].incarnation.instance},
         {"born", std::to_string(unit.members[member].incarnation.born)},
         {"why", std::string(why)}});
    endMember(job, unit, member, EndKind::Lost, "", now, wallNow);
}

void Workload::markMembersLost(Host &host, Instant now, WallTime wallNow, std::string_view why)
{
    const auto units = host.units;
    for (const auto &[job, unit] : units) {
        for (std::size_t i = 0; i < unit->members.size(); ++i) {
            if (unit->members[i].host == host.id && unit->members[i].phase != MemberPhase::Ended) {
                markMemberLost(*job, *unit, i, now, wallNow, why);
            }
        }
    }
}

void Workload::expireSilentHosts(Instant now, WallTime wallNow)
{
    const auto limit = m_bounds.maxGrant + m_bounds.grantMargin;
    for (auto &entry : m_hosts) {
        Host &host = entry.second;
        const bool isSilent = now - std::max(host.executorHeardAt, m_termStart) > limit;
        const bool hasLeft = host.report.hasLeft && now - host.leftAt > m_bounds.departureMargin;
        if (!isSilent && !hasLeft) {
            continue;
        }
        const bool hasExpiredRuns = std::any_of(host.units.begin(), host.units.end(), [&](const UnitRef &ref) {
            return std::any_of(ref.unit->members.begin(), ref.unit->members.end(), [&](const Member &member) {
                return member.host == host.id && member.phase != MemberPhase::Ended && (isSilent || member.incarnation == host.report.incarnation);
            });
        });
        if (hasExpiredRuns) {
            m_hostLosses.noteLoss(host.id, {}, m_reportedHosts, hasLeft ? host.leftAt : std::max(host.executorHeardAt, m_termStart));
            markMembersLost(host, now, wallNow, hasLeft ? "host left" : "executor not heard of for longer than a grant");
            host.isListed = false;
            host.hasUnpublishedLosses = true;
        }
    }
}

void Workload::updateHostLosses(Instant now)
{
    for (const auto &change : m_hostLosses.update(now)) {
        const double probability = m_hostLosses.probability(change.host, LossLogTime, now);
        log(change.isDoubtful ? "host doubtful" : "host trusted again",
            {{"host", change.host.value()}, {"losses", std::to_string(change.losses)}, {"loss_percent_10s", std::to_string(percentOf(probability))}});
    }
}

} // namespace plantainfork::batch
