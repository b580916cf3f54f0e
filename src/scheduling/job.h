/** The state of a job from submission to its end, and the reservation of capacity for a large job. */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/inventory.h"
#include "scheduling/model.h"

namespace plantainfork::scheduling
{

enum class SlotIndex : std::uint32_t {};

/** Urgent jobs go before all others. Normal and patient jobs share a class and differ in their due time only. */
enum class QueueClass : std::uint8_t {
    Urgent,
    Other,
};

/** Position in the queue; lower goes first. */
struct QueueKey {
    QueueClass queueClass = QueueClass::Other;
    /** The due time (see dueTime()); the submission time for urgent jobs and with OrderRule::Age. */
    runtime::Instant due;
    runtime::Instant submitted;
    base::JobId id;

    auto operator<=>(const QueueKey &) const = default;
};

/** What happens to a job once its gang has stopped. */
enum class AfterStop : std::uint8_t {
    Requeue,
    Finish,
};

/** Workers reserved for a large job until the gangs that were placed on them earlier have ended. */
struct Reservation {
    Job *job = nullptr;
    Shares shares;
    /** Non-urgent borrowers with a higher placementSequence are backfill and may be preempted for the reservation. */
    std::uint64_t planSequence = 0;
    /** Estimated from recorded run times. Backfilled jobs must end by then or be able to checkpoint. */
    runtime::Instant expectedStart;
};

struct Job {
    JobSpec spec;
    JobPhase phase = JobPhase::Waiting;
    Tenure tenure = Tenure::None;
    QueueKey queueKey;
    /** Expected total run time, estimated from earlier jobs of the same kind. */
    std::chrono::milliseconds expectedRunTime{0};

    /** The allocated capacity. Set from Reclaiming to Stopping, and accounted for in the inventory meanwhile. */
    Shares shares;
    /** When the capacity was allocated. */
    runtime::Instant placedAt;
    /** Number of this allocation in the sequence that also counts reservation plans. */
    std::uint64_t placementSequence = 0;
    std::optional<runtime::Instant> runningSince;
    /** The slot of the grant that the job occupies. Set if and only if the tenure is Guaranteed. */
    std::optional<SlotIndex> slot;
    std::vector<bool> rankFinished;
    std::uint32_t finishedRanks = 0;

    /** While Reclaiming: gangs that have not stopped yet. Each of them lists this job in its preemptors. */
    std::vector<Job *> victims;
    /** Jobs that wait for this gang to stop. */
    std::vector<Job *> preemptors;

    wire::StopMode stopMode = wire::StopMode::Stop;
    AfterStop afterStop = AfterStop::Requeue;
    JobOutcome outcome = JobOutcome::Finished;
    std::string outcomeReason;
    /** Set when a member was lost or failed: work after the last checkpoint may have been done in part. */
    bool mayHavePartialWork = false;
    /** When an unanswered start or stop command times out. */
    std::optional<runtime::Instant> commandDeadline;

    /** Set once the gang was throttled to its declared cores. */
    bool isThrottled = false;
    std::uint32_t failures = 0;
    /** Workers on which the job has failed. */
    std::vector<base::MemberId> avoidedWorkers;
    std::uint32_t preemptions = 0;

    Reservation *reservation = nullptr;
    /** No new reservation is planned before this time. */
    runtime::Instant nextReservationAt;

    std::string reason;
    /** When the phase or the reason last changed. */
    runtime::Instant since;

    [[nodiscard]] Resources memberResources() const
    {
        return perMember(spec.shape);
    }
    [[nodiscard]] bool isPreemptible() const
    {
        return spec.idempotent || spec.checkpointable;
    }
    /** Whether the gang may be preempted for other jobs. */
    [[nodiscard]] bool isBorrower() const
    {
        return tenure == Tenure::Borrowed;
    }
    [[nodiscard]] bool isRunningBorrower() const
    {
        return isBorrower() && (phase == JobPhase::Starting || phase == JobPhase::Running);
    }
    [[nodiscard]] wire::AttemptId attempt() const
    {
        return {spec.id, spec.attempt};
    }
};

/** Exchange rate for comparing sizes: one accelerator counts as this many cores. */
constexpr std::int64_t CoresPerAccelerator = 8;

/** Size of a gang in accelerators; for a shape without accelerators, its cores converted to accelerators. */
[[nodiscard]] inline double sizeInAccelerators(const wire::Shape &shape)
{
    const double memberSize = shape.acceleratorsPerMember > 0 ? shape.acceleratorsPerMember : static_cast<double>(shape.coresPerMember) / CoresPerAccelerator;
    return memberSize * shape.members;
}

} // namespace plantainfork::scheduling
