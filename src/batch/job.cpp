#include <algorithm>

#include "batch/workload.h"

namespace plantainfork::batch
{

std::uint32_t unitCount(const Step &step)
{
    return step.isGang ? 1 : step.tasks;
}

std::string_view endKindText(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::Lapsed:
        return "lapsed";
    case EndKind::Broken:
        return "broken";
    case EndKind::Alone:
        return "alone";
    case EndKind::Refused:
        return "refused";
    case EndKind::Lost:
        return "lost";
    }
    return "unknown";
}

std::string_view statusText(JobStatus status)
{
    switch (status) {
    case JobStatus::Queued:
        return "queued";
    case JobStatus::Active:
        return "active";
    case JobStatus::Complete:
        return "complete";
    case JobStatus::Failed:
        return "failed";
    case JobStatus::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string_view stopReasonText(StopReason reason)
{
    switch (reason) {
    case StopReason::None:
        return "none";
    case StopReason::Cancelled:
        return "cancelled";
    case StopReason::JobFailed:
        return "job_failed";
    case StopReason::GangBroken:
        return "gang_broken";
    case StopReason::Preempted:
        return "preempted";
    case StopReason::HostLeaving:
        return "host_leaving";
    case StopReason::Stalled:
        return "stalled";
    case StopReason::Superseded:
        return "superseded";
    case StopReason::HostClosed:
        return "host_closed";
    case StopReason::NoRoom:
        return "no_room";
    case StopReason::HostRestarted:
        return "host_restarted";
    }
    return "none";
}

std::string rackOf(const HostReport &report)
{
    // A host reports its kind and its rack as labels. Only rack names contain a hyphen: they are numbered by region and place.
    for (const auto &label : report.labels) {
        if (label.find('-') != std::string::npos) {
            return label;
        }
    }
    return report.labels.empty() ? std::string() : *report.labels.rbegin();
}

Unit *Job::unit(const TaskId &task)
{
    const std::size_t occurrences = std::max<std::size_t>(spec.occurrences, 1);
    if (task.occurrence >= occurrences || task.step >= spec.steps.size() || task.index >= spec.steps[task.step].tasks) {
        return nullptr;
    }
    return units.find(task.occurrence * unitsPerOccurrence + stepOffsets[task.step] + (spec.steps[task.step].isGang ? 0 : task.index));
}

Unit *Job::addNextUnit(std::uint32_t occurrence, std::uint32_t step)
{
    StepUnits &range = stepUnits[rangeIndex(occurrence, step)];
    if (range.next >= batch::unitCount(spec.steps[step])) {
        return nullptr;
    }
    Unit unit;
    unit.occurrence = occurrence;
    unit.step = step;
    unit.index = range.next++;
    unit.waitingSince = waitingSince(occurrence, step);
    const std::size_t number = occurrence * unitsPerOccurrence + stepOffsets[step] + unit.index;
    // The units of a step begin to wait together, so the ones that get their state later haven't longer to wait.
    if (const Unit *last = unit.index > 0 ? units.find(number - 1) : nullptr) {
        unit.placeDeclinedAt = last->placeDeclinedAt;
    }
    return &units.add(number, std::move(unit));
}

void Job::setPhase(Unit &unit, UnitPhase phase)
{
    std::uint32_t &doneInStep = stepUnits[rangeIndex(unit.occurrence, unit.step)].done;
    if (unit.phase == UnitPhase::Waiting) {
        --waitingUnits;
    } else if (unit.phase == UnitPhase::Done) {
        --allDoneUnits;
        --doneInStep;
    }
    unit.phase = phase;
    if (phase == UnitPhase::Waiting) {
        ++waitingUnits;
    } else if (phase == UnitPhase::Done) {
        ++allDoneUnits;
        ++doneInStep;
    }
}

bool Job::isStepDone(std::uint32_t occurrence, std::uint32_t step) const
{
    return stepUnits[rangeIndex(occurrence, step)].done == batch::unitCount(spec.steps[step]);
}

WallTime Job::dueAt(std::uint32_t occurrence) const
{
    return WallTime(std::chrono::milliseconds(spec.firstDueMs)) + occurrence * spec.period;
}

Instant Job::waitingSince(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto released = releasedAt.find(rangeIndex(occurrence, step));
    if (released != releasedAt.end()) {
        return released->second;
    }
    return spec.occurrences == 0 ? acceptedAt : std::max(acceptedAt, firstDueAt + occurrence * spec.period);
}

bool Job::isStepReady(std::uint32_t occurrence, std::uint32_t step, WallTime wallNow) const
{
    if (isEnded(status) || (spec.occurrences > 0 && wallNow < dueAt(occurrence))) {
        return false;
    }
    const auto &dependencies = spec.steps[step].dependsOn;
    return std::all_of(dependencies.begin(), dependencies.end(), [&](std::uint32_t dependency) {
        return isStepDone(occurrence, dependency);
    });
}

bool Job::isReady(const Unit &unit, WallTime wallNow) const
{
    return unit.phase == UnitPhase::Waiting && !unit.hasMembers() && isStepReady(unit.occurrence, unit.step, wallNow);
}

std::size_t Job::openTasks() const
{
    std::size_t tasks = 0;
    for (const auto &unit : units) {
        const bool isOpen = !unit.isFresh() && (unit.phase != UnitPhase::Done || unit.hasMembers());
        tasks += !isOpen ? 0 : stepOf(unit).isGang ? stepOf(unit).tasks : 1;
    }
    return tasks;
}

TaskId Job::taskOf(const Unit &unit, std::size_t member) const
{
    const auto index = spec.steps[unit.step].isGang ? static_cast<std::uint32_t>(member) : unit.index;
    return {spec.id, unit.occurrence, unit.step, index};
}

} // namespace plantainfork::batch
