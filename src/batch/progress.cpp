#include "batch/progress.h"

#include <algorithm>

namespace plantainfork::batch
{

namespace
{

/** Lower bound on the remaining time extrapolated from a run's progress. */
constexpr std::chrono::milliseconds MinRemaining{100};
/** A run that has exceeded its estimate is expected to continue for its elapsed time divided by this. */
constexpr int OverdueDivisor = 4;
/** Progress, in percent since the run was first listed, that is needed before its speed is extrapolated. */
constexpr std::uint32_t MinProgressForSpeed = 5;
/** Age of the latest progress up to which a run is taken to be still advancing. Hosts list their runs once a second, plus network delay. */
constexpr std::chrono::milliseconds MaxProgressAge{2500};
/** Fraction of its work that a checkpointing run loses when stopped: the stop itself writes a checkpoint, so only the restore is lost. */
constexpr double RestoreLossFraction = 0.02;
/** Minimum loss of any stop, in seconds of work: stopping and starting again. */
constexpr double MinStopLoss = 0.1;
/** Minimum elapsed time assumed for a run that has just started, in seconds. */
constexpr double MinElapsedSeconds = 0.05;

} // namespace

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(static_cast<double>(duration.count()) * factor));
}

double unsavedFraction(const Unit &unit, const Member &member)
{
    return std::max(0.0, static_cast<double>(member.percent) - static_cast<double>(unit.savedPercent)) / WholePercent;
}

Progress::Progress(const PlannerBounds &bounds, const HostSpeeds &speeds, Instant now)
    : m_bounds(bounds)
    , m_speeds(speeds)
    , m_now(now)
{
}

Instant Progress::expectedEnd(const Job &job, const Unit &unit, const Member &member) const
{
    return job.stepOf(unit).isLongRunning ? Never : m_now + remaining(job, unit, member);
}

Duration Progress::remaining(const Job &job, const Unit &unit, const Member &member) const
{
    const Duration estimate = job.stepOf(unit).estimate;
    const Duration elapsed = m_now - member.startedAt;
    const double gained = static_cast<double>(member.percent) - static_cast<double>(member.firstPercent);
    if (member.phase == MemberPhase::Running && gained >= MinProgressForSpeed) {
        const Duration elapsedAtProgress = member.progressedAt - member.startedAt;
        const Duration remainingAtProgress = scaled(elapsedAtProgress, (WholePercent - static_cast<double>(member.percent)) / gained);
        return std::max<Duration>(remainingAtProgress - (m_now - member.progressedAt), MinRemaining);
    }
    const double leftFraction = 1.0 - static_cast<double>(std::max(unit.savedPercent, member.firstPercent)) / WholePercent;
    const Duration left = scaled(estimate, leftFraction * m_speeds.slowFactor(member.hostNumber));
    // A run that exceeds its estimate shows that the estimate was too short, so the expected rest grows with the elapsed time.
    return std::max<Duration>(left - elapsed, elapsed / OverdueDivisor);
}

bool Progress::isEndingSoon(const Job &job, const Unit &unit, const Member &member) const
{
    const bool hasProgress = member.phase == MemberPhase::Running && member.percent >= member.firstPercent + MinProgressForSpeed;
    const bool isMoving = m_now - member.progressedAt <= MaxProgressAge;
    return hasProgress && isMoving && expectedEnd(job, unit, member) <= m_now + m_bounds.killGrace;
}

double Progress::workLostByStop(const Job &job, const Unit &unit) const
{
    double lost = 0;
    const Step &step = job.stepOf(unit);
    for (const auto &member : unit.members) {
        const double lostFraction = step.hasCheckpoints ? RestoreLossFraction : unsavedFraction(unit, member);
        const double minLoss = step.hasCheckpoints ? MinStopLoss : std::max(toSeconds(m_now - member.startedAt), MinElapsedSeconds);
        lost += coreEquivalents(step.need) * (lostFraction > 0 ? std::max(lostFraction * toSeconds(step.estimate), minLoss) : MinStopLoss);
    }
    return lost;
}

bool Progress::isStalled(const Job &job, const Unit &unit, const Member &member) const
{
    // A gang member that has finished its own work stays at 100 % until the whole gang ends; that is not a stall.
    const bool isWorking =
        member.phase == MemberPhase::Running && unit.stopReason == StopReason::None && !job.stepOf(unit).isLongRunning && member.percent < WholePercent;
    return isWorking && m_now - member.progressedAt >= m_bounds.stallTimeout;
}

} // namespace plantainfork::batch
