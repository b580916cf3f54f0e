#include "batch/progress.h"

#include <algorithm>

namespace plantainfork::batch
{

namespace
{

/** A task that has shown no progress yet is assumed to need at least this much longer. */
constexpr std::chrono::milliseconds MinRemaining{100};
/** A run beyond its estimate is expected to take this part of its time so far on top. */
constexpr int OverdueDivisor = 4;
/** Percent of progress since the last checkpoint from which a run's speed is taken. */
constexpr std::uint32_t MinProgressForSpeed = 5;
/** Progress older than this doesn't show that a run is still moving: listings come once a second, and travel. */
constexpr std::chrono::milliseconds MaxProgressAge{2500};
/** An accelerator counts as this many cores when work is weighed, as the users do. */
constexpr double CoresPerAccelerator = 8.0;
constexpr double MillicoresPerCore = 1000.0;
/** Share of its work that a run with checkpoints loses by a stop: a checkpoint is made at the stop itself, only the restore is lost. */
constexpr double RestoreLossFraction = 0.02;
/** Least loss of a stop, in seconds of work: the stop and the new start. */
constexpr double MinStopLoss = 0.1;
/** Shortest time taken for a run that has only just begun, in seconds. */
constexpr double MinElapsedSeconds = 0.05;

} // namespace

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(static_cast<double>(duration.count()) * factor));
}

double coreEquivalents(const Room &need)
{
    return static_cast<double>(need.millicores) / MillicoresPerCore + CoresPerAccelerator * static_cast<double>(need.accelerators);
}

double unsavedFraction(const Unit &unit, const Member &member)
{
    return std::max(0.0, static_cast<double>(member.percent) - static_cast<double>(unit.savedPercent)) / WholePercent;
}

Progress::Progress(const PlannerBounds &bounds, Instant now)
    : m_bounds(bounds)
    , m_now(now)
{
}

Duration Progress::remaining(const Job &job, const Unit &unit, const Member &member) const
{
    const Duration estimate = job.stepOf(unit).estimate;
    const Duration elapsed = m_now - member.startedAt;
    const double gained = static_cast<double>(member.percent) - static_cast<double>(member.firstPercent);
    if (member.phase == MemberPhase::Running && gained >= MinProgressForSpeed) {
        const Duration atProgress = member.progressedAt - member.startedAt;
        const Duration whole = scaled(atProgress, (WholePercent - static_cast<double>(member.percent)) / gained);
        return std::max<Duration>(whole - (m_now - member.progressedAt), MinRemaining);
    }
    const Duration left = scaled(estimate, 1.0 - static_cast<double>(std::max(unit.savedPercent, member.firstPercent)) / WholePercent);
    // A run beyond its estimate says that the estimate was short: expect it to go on in proportion.
    return std::max<Duration>(left - elapsed, elapsed / OverdueDivisor);
}

bool Progress::isEndingSoon(const Job &job, const Unit &unit, const Member &member) const
{
    const bool hasProgress = member.phase == MemberPhase::Running && member.percent >= member.firstPercent + MinProgressForSpeed;
    const bool isMoving = m_now - member.progressedAt <= MaxProgressAge;
    return hasProgress && isMoving && remaining(job, unit, member) <= m_bounds.killGrace;
}

double Progress::workLostByStop(const Job &job, const Unit &unit) const
{
    double lost = 0;
    const Step &step = job.stepOf(unit);
    for (const auto &member : unit.members) {
        const double share = step.hasCheckpoints ? RestoreLossFraction : unsavedFraction(unit, member);
        const double least = step.hasCheckpoints ? MinStopLoss : std::max(toSeconds(m_now - member.startedAt), MinElapsedSeconds);
        lost += coreEquivalents(step.need) * (share > 0 ? std::max(share * toSeconds(step.estimate), least) : MinStopLoss);
    }
    return lost;
}

bool Progress::isStalled(const Job &job, const Unit &unit, const Member &member) const
{
    // A member that has done its own work stays at 100 % until its gang ends.
    const bool isWorking =
        member.phase == MemberPhase::Running && unit.stopReason == StopReason::None && !job.stepOf(unit).isLasting && member.percent < WholePercent;
    return isWorking && m_now - member.progressedAt >= m_bounds.stallTimeout;
}

} // namespace plantainfork::batch
