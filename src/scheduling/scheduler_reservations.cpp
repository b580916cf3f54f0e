// Reservations of workers for large jobs, and backfilling of the reserved workers.
#include "scheduling/scheduler.h"

#include <algorithm>
#include <chrono>

#include "scheduling/reservations.h"

namespace plantainfork::scheduling
{

namespace
{

/** There may be one reservation, plus one for each WorkersPerReservation workers, up to MaxReservations. */
constexpr std::size_t WorkersPerReservation = 64;
constexpr std::size_t MaxReservations = 16;
/**
 * A large job waits for half of its expected run time, within these bounds, before workers are reserved for it, because
 * a reservation leaves capacity idle.
 */
constexpr std::chrono::milliseconds MinWaitBeforeReservation = std::chrono::minutes(10);
constexpr std::chrono::milliseconds MaxWaitBeforeReservation = std::chrono::hours(2);
/** Minimum time between two reservation plans for a job, and between two updates of the expected starts. */
constexpr std::chrono::seconds ReservationPlanInterval{60};
/** Reserved workers are not backfilled with non-urgent jobs when the expected start is less than this away. */
constexpr std::chrono::minutes MinBackfillTime{2};

} // namespace

void Scheduler::cancelClosedReservations()
{
    std::vector<Job *> closed;
    for (const auto &reservation : m_reservations) {
        const bool isClosed = std::any_of(reservation->shares.begin(), reservation->shares.end(), [this](const Share &share) {
            return m_inventory.worker(share.worker).use != WorkerUse::Open;
        });
        if (isClosed) {
            closed.push_back(reservation->job);
        }
    }
    for (Job *job : closed) {
        cancelReservation(*job);
        job->nextReservationAt = m_now;
    }
}

void Scheduler::startReadyReservations()
{
    std::vector<Reservation *> reservations;
    for (const auto &reservation : m_reservations) {
        reservations.push_back(reservation.get());
    }
    for (Reservation *reservation : reservations) {
        startReserved(*reservation);
    }
}

bool Scheduler::startReserved(Reservation &reservation)
{
    Job &job = *reservation.job;
    const bool isPreemptible = job.isPreemptible();
    const bool isUnreserved = std::all_of(reservation.shares.begin(), reservation.shares.end(), [&](const Share &share) {
        return m_inventory.available(share.worker, View::Unreserved).covers(job.memberResources() * share.members);
    });
    if (!isPreemptible && !isUnreserved) {
        return false;
    }
    const auto mayStop = [&](const Job &gang) {
        return isBackfill(gang, reservation) && gang.isRunningBorrower();
    };
    const auto plan = planPreemption(m_inventory, reservation.shares, job.memberResources(), mayStop, m_now);
    if (!plan) {
        return false;
    }
    place(job, reservation.shares, isPreemptible ? Tenure::Borrowed : Tenure::Unreserved, std::nullopt, *plan, "runs on the workers that were held for it");
    return true;
}

bool Scheduler::isReservationDue(const Job &job) const
{
    const bool isLarge = job.spec.shape.members > 1 || job.spec.shape.acceleratorsPerMember > 1;
    const auto wait = std::clamp(job.expectedRunTime / 2, MinWaitBeforeReservation, MaxWaitBeforeReservation);
    return isLarge && job.reservation == nullptr && m_now >= std::max(job.nextReservationAt, job.spec.submitted + wait);
}

void Scheduler::reserve(Job &job)
{
    if (m_reservations.size() >= std::min(1 + m_inventory.workerCount() / WorkersPerReservation, MaxReservations)) {
        const auto last = std::max_element(m_reservations.begin(), m_reservations.end(), [](const auto &left, const auto &right) {
            return left->job->queueKey < right->job->queueKey;
        });
        if ((*last)->job->queueKey < job.queueKey) {
            return;
        }
        cancelReservation(*(*last)->job);
    }
    job.nextReservationAt = m_now + ReservationPlanInterval;
    auto plan = planReservation(m_inventory, job, m_now);
    if (!plan) {
        return;
    }
    m_reservations.push_back(std::make_unique<Reservation>(Reservation{&job, std::move(plan->shares), ++m_lastSequenceNumber, plan->expectedStart}));
    job.reservation = m_reservations.back().get();
    m_inventory.setReservation(job.reservation->shares, job.reservation);
    m_inventory.add(Account::Held, job.reservation->shares, job.memberResources());
    job.phase = JobPhase::Reserved;
    setReason(job, "waits: workers are held for it until earlier gangs on them have ended");
}

void Scheduler::cancelReservation(Job &job)
{
    if (job.reservation == nullptr) {
        return;
    }
    m_inventory.subtract(Account::Held, job.reservation->shares, job.memberResources());
    m_inventory.setReservation(job.reservation->shares, nullptr);
    std::erase_if(m_reservations, [&](const auto &reservation) {
        return reservation.get() == job.reservation;
    });
    job.reservation = nullptr;
    job.phase = JobPhase::Waiting;
}

void Scheduler::updateExpectedStarts()
{
    if (m_now < m_nextExpectedStartUpdate) {
        return;
    }
    m_nextExpectedStartUpdate = m_now + ReservationPlanInterval;
    // Reservations are not moved: a move would preempt jobs that run on workers which were not reserved when they started.
    for (const auto &reservation : m_reservations) {
        reservation->expectedStart = expectedStart(m_inventory, *reservation, m_now);
    }
    m_queue.unblockAll();
}

bool Scheduler::mayBackfill(const Job &job, std::chrono::milliseconds conservativeRunTime, const Reservation &reservation) const
{
    if (job.spec.urgency == wire::Urgency::Urgent) {
        return true;
    }
    if (reservation.expectedStart < m_now + MinBackfillTime) {
        return false;
    }
    return job.spec.checkpointable || m_now + (conservativeRunTime - job.spec.checkpointed) <= reservation.expectedStart;
}

} // namespace plantainfork::scheduling
