// The scheduling round after each event: reserved places for idle slots, guaranteed jobs, jobs with reservations, then the queue in order.
#include "scheduling/scheduler.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <utility>

#include "scheduling/placer.h"
#include "scheduling/shape_text.h"

namespace plantainfork::scheduling
{

namespace
{

/** Maximum number of idle slots whose reserved place is considered for a job, and of slots considered for a swap of places. */
constexpr std::size_t MaxConsideredSlots = 16;
/** Added to the loss of a preemption plan for each worker on which the job has failed, in accelerator-seconds. */
constexpr double AvoidedWorkerPenalty = 1e9;
/** A gang is moved by checkpoint for a larger one only after this run time, and while it was preempted fewer than MaxMoves times. */
constexpr std::chrono::minutes MinRunTimeBeforeMove{10};
constexpr std::uint32_t MaxMoves = 3;
/** Limits of the loss per victim, in accelerator-seconds, tried in order so that cheap victims are preferred. */
constexpr std::array<double, 4> LossLimits{600, 7200, 86400, std::numeric_limits<double>::infinity()};

/** A shape that every slot covers. */
constexpr wire::Shape SmallestShape{0, 0, 0, 0, wire::Adjacency::DataCentre};

} // namespace

void Scheduler::runRound()
{
    if (std::exchange(m_hasClosedWorkers, false)) {
        m_guarantees.dropClosedReservedPlaces();
        cancelClosedReservations();
        cancelClosedPreemptions();
    }
    for (GrantKey &grant : m_guarantees.findReservedPlaces(m_now)) {
        m_grantsToServe.insert(std::move(grant));
    }
    serveGrants();
    startReadyReservations();
    scheduleQueuedJobs();
}

void Scheduler::cancelClosedPreemptions()
{
    const std::vector<Job *> reclaiming = m_reclaimingJobs;
    for (Job *job : reclaiming) {
        const bool isClosed = std::any_of(job->shares.begin(), job->shares.end(), [this](const Share &share) {
            return m_inventory.worker(share.worker).use == WorkerUse::Closed;
        });
        if (isClosed) {
            cancelPreemption(*job);
            enqueue(*job, "waits again: a worker that it was to have has gone");
        }
    }
}

void Scheduler::serveGrants()
{
    while (!m_grantsToServe.empty()) {
        const GrantKey grant = *m_grantsToServe.begin();
        m_grantsToServe.erase(m_grantsToServe.begin());
        while (serveGrant(grant)) { }
        promoteBorrowers(grant);
    }
}

bool Scheduler::serveGrant(const GrantKey &grant)
{
    for (const SlotIndex slot : m_guarantees.idleSlots(grant, SmallestShape)) {
        if (Job *job = m_queue.firstCoveredJob(grant, m_guarantees.slot(slot).shape)) {
            const bool isStarted = startInSlot(*job, m_guarantees.idleSlots(grant, job->spec.shape));
            if (!isStarted) {
                m_unservedGrants.insert(grant);
            }
            return isStarted;
        }
    }
    return false;
}

bool Scheduler::startInSlot(Job &job, const std::vector<SlotIndex> &slots)
{
    const auto mayStop = [](const Job &gang) {
        return gang.isBorrower();
    };
    struct Choice {
        SlotIndex slot{};
        /** The slot whose reserved place the job takes; swapped with the place of `slot` if they differ. */
        SlotIndex placeOwner{};
        PreemptionPlan plan;
    };
    std::optional<Choice> best;
    const auto evaluate = [&](SlotIndex slot, SlotIndex placeOwner) {
        const Shares shares = m_guarantees.sharesWithinReservedPlace(placeOwner, job.spec.shape);
        auto plan = planPreemption(m_inventory, shares, job.memberResources(), mayStop, m_now);
        if (!plan) {
            return;
        }
        for (const Share &share : shares) {
            plan->loss += isAvoided(job, share.worker) ? AvoidedWorkerPenalty : 0;
        }
        if (!best || plan->loss < best->plan.loss) {
            best = Choice{slot, placeOwner, std::move(*plan)};
        }
    };
    for (std::size_t position = 0; position < std::min(slots.size(), MaxConsideredSlots); ++position) {
        evaluate(slots[position], slots[position]);
    }
    if (!best || !best->plan.victims.empty() || best->plan.loss > 0) {
        const SlotIndex slot = slots.front();
        const Slot &requested = m_guarantees.slot(slot);
        const auto spare = [&](WorkerIndex worker) {
            return isAvoided(job, worker) ? Resources{} : m_inventory.available(worker, View::Spare);
        };
        if (auto shares = findPlace(m_inventory, {requested.shape, View::Spare, m_options.placement, requested.dataCentres}, spare)) {
            m_guarantees.moveReservedPlace(slot, std::move(*shares));
            place(job, m_guarantees.sharesWithinReservedPlace(slot, job.spec.shape), Tenure::Guaranteed, slot, {}, "runs as guaranteed, in free capacity");
            return true;
        }
        const std::vector<SlotIndex> interchangeable = m_guarantees.interchangeableSlots(slot);
        for (std::size_t position = 1; position < std::min(interchangeable.size(), MaxConsideredSlots); ++position) {
            evaluate(slot, interchangeable[position]);
        }
    }
    if (!best) {
        setReason(job, "waits: its guaranteed place can't be freed yet");
        return false;
    }
    if (best->placeOwner != best->slot) {
        m_guarantees.swapReservedPlaces(best->slot, best->placeOwner);
    }
    const std::string reason = best->plan.victims.empty() ? "runs as guaranteed, in the place reserved for it"
                                                          : "runs as guaranteed, in its reserved place, taken back from borrowers";
    place(job, m_guarantees.sharesWithinReservedPlace(best->slot, job.spec.shape), Tenure::Guaranteed, best->slot, best->plan, reason);
    return true;
}

void Scheduler::promoteBorrowers(const GrantKey &grant)
{
    const auto found = m_borrowers.find(grant);
    if (found == m_borrowers.end()) {
        return;
    }
    std::vector<Job *> borrowers = found->second;
    std::erase_if(borrowers, [](const Job *job) {
        return !job->isRunningBorrower();
    });
    // The gangs that would lose most work to a preemption are converted first.
    std::stable_sort(borrowers.begin(), borrowers.end(), [this](const Job *left, const Job *right) {
        return preemptionLoss(*left, m_now) > preemptionLoss(*right, m_now);
    });
    for (Job *job : borrowers) {
        const std::vector<SlotIndex> slots = m_guarantees.idleSlots(grant, job->spec.shape);
        if (slots.empty()) {
            return;
        }
        if (m_guarantees.adopt(slots.front(), job)) {
            removeBorrower(*job);
            job->tenure = Tenure::Guaranteed;
            job->slot = slots.front();
            setReason(*job, "runs as guaranteed: it fills a place of its workspace that has become free");
        }
    }
}

void Scheduler::scheduleQueuedJobs()
{
    std::uint64_t growthVersion = 0;
    for (const View view : AllViews) {
        growthVersion += m_inventory.growthVersion(view);
    }
    if (growthVersion != m_growthAtLastUnblock) {
        m_queue.unblockAll();
        m_growthAtLastUnblock = growthVersion;
    }
    bool mayReserve = m_options.reservations == ReservationRule::Reserve;
    while (Bucket *bucket = m_queue.next()) {
        Job &job = *bucket->jobs.begin()->second;
        if (tryStart(job)) {
            continue;
        }
        m_queue.block(*bucket, "waits: " + describe(job.spec.shape) + (job.isPreemptible() ? " not free" : " not free outside of what guarantees keep"));
        if (mayReserve && isReservationDue(job)) {
            // At most one reservation is planned per round, to bound the time of a decision.
            mayReserve = false;
            reserve(job);
        }
    }
}

bool Scheduler::tryStart(Job &job)
{
    auto spare = findSparePlace(job);
    const bool isPreemptible = job.isPreemptible();
    // Borrowed capacity is preferred to splitting a rack that is entirely free.
    const bool mayBorrow = isPreemptible && (!spare || splitsFreeRack(*spare));
    if (mayBorrow) {
        auto borrowed = findBorrowedPlace(job);
        if (borrowed && (!spare || !splitsFreeRack(*borrowed))) {
            place(job, std::move(*borrowed), Tenure::Borrowed, std::nullopt, {}, "runs in borrowed capacity");
            return true;
        }
    }
    if (spare) {
        place(job, std::move(*spare), isPreemptible ? Tenure::Borrowed : Tenure::Unreserved, std::nullopt, {}, "runs in free capacity");
        return true;
    }
    if (job.spec.urgency == wire::Urgency::Urgent) {
        return tryPreemptForUrgentJob(job);
    }
    return m_options.defragment == DefragmentRule::Checkpoint && tryDefragment(job);
}

bool Scheduler::splitsFreeRack(const Shares &shares) const
{
    return shares.size() == 1 && fragmentationCost(m_inventory, shares.front().worker) > 1;
}

std::optional<Shares> Scheduler::findSparePlace(const Job &job) const
{
    const auto spare = [&](WorkerIndex worker) {
        return isAvoided(job, worker) ? Resources{} : m_inventory.available(worker, View::Spare);
    };
    return findPlace(m_inventory, {job.spec.shape, View::Spare, m_options.placement, {}}, spare);
}

std::optional<Shares> Scheduler::findBorrowedPlace(const Job &job) const
{
    const auto conservativeRunTime = m_runTimes.conservative(job.spec);
    const auto borrowable = [&](WorkerIndex index) -> Resources {
        const Worker &worker = m_inventory.worker(index);
        const bool isUnsuitableForProbation = worker.use == WorkerUse::Probation && (job.spec.shape.members > 1 || !job.spec.idempotent);
        if (isUnsuitableForProbation || isAvoided(job, index)) {
            return {};
        }
        const Resources free = m_inventory.available(index, View::Free);
        return worker.reservation == nullptr || mayBackfill(job, conservativeRunTime, *worker.reservation) ? free : free - worker.held;
    };
    return findPlace(m_inventory, {job.spec.shape, View::Free, m_options.placement, {}}, borrowable);
}

bool Scheduler::tryPreemptForUrgentJob(Job &job)
{
    const bool isPreemptible = job.isPreemptible();
    for (const double lossLimit : LossLimits) {
        const auto mayStop = [&](const Job &gang) {
            return gang.isRunningBorrower() && gang.spec.urgency != wire::Urgency::Urgent && preemptionLoss(gang, m_now) <= lossLimit;
        };
        for (const View view : {View::Unreserved, View::NonFirm}) {
            if (view == View::NonFirm && !isPreemptible) {
                continue;
            }
            const auto available = [&](WorkerIndex worker) -> Resources {
                if (isAvoided(job, worker)) {
                    return {};
                }
                return minimum(m_inventory.available(worker, view),
                               m_inventory.available(worker, View::Free) + preemptibleCapacity(m_inventory, worker, mayStop));
            };
            auto shares = findPlace(m_inventory, {job.spec.shape, view, m_options.placement, {}}, available);
            if (!shares) {
                continue;
            }
            const auto plan = planPreemption(m_inventory, *shares, job.memberResources(), mayStop, m_now);
            if (plan) {
                place(job,
                      std::move(*shares),
                      isPreemptible ? Tenure::Borrowed : Tenure::Unreserved,
                      std::nullopt,
                      *plan,
                      "runs as urgent, in capacity that was taken back");
                return true;
            }
        }
    }
    return false;
}

bool Scheduler::tryDefragment(Job &job)
{
    const bool isLarge = job.spec.shape.members > 1 || job.spec.shape.acceleratorsPerMember > 1;
    if (!isLarge || !job.isPreemptible()) {
        return false;
    }
    const auto mayStop = [&](const Job &gang) {
        const bool isOldEnough = gang.runningSince && m_now - *gang.runningSince >= MinRunTimeBeforeMove;
        return gang.isRunningBorrower() && gang.spec.checkpointable && isOldEnough && gang.preemptions < MaxMoves && gang.queueKey > job.queueKey
            && sizeInAccelerators(gang.spec.shape) * 2 <= sizeInAccelerators(job.spec.shape);
    };
    const auto available = [&](WorkerIndex index) -> Resources {
        const Worker &worker = m_inventory.worker(index);
        if (isAvoided(job, index) || (worker.reservation != nullptr && worker.reservation->job != &job)) {
            return {};
        }
        return m_inventory.available(index, View::Free) + preemptibleCapacity(m_inventory, index, mayStop);
    };
    auto shares = findPlace(m_inventory, {job.spec.shape, View::NonFirm, m_options.placement, {}}, available);
    if (!shares) {
        return false;
    }
    const auto plan = planPreemption(m_inventory, *shares, job.memberResources(), mayStop, m_now);
    if (!plan) {
        return false;
    }
    place(job, std::move(*shares), Tenure::Borrowed, std::nullopt, *plan, "runs where smaller gangs were moved away by checkpoint");
    return true;
}

bool Scheduler::isAvoided(const Job &job, WorkerIndex worker) const
{
    return !job.avoidedWorkers.empty()
        && std::find(job.avoidedWorkers.begin(), job.avoidedWorkers.end(), m_inventory.worker(worker).lastUpdate.id) != job.avoidedWorkers.end();
}

void Scheduler::place(Job &job, Shares shares, Tenure tenure, std::optional<SlotIndex> slot, const PreemptionPlan &plan, std::string reason)
{
    dequeue(job);
    job.shares = std::move(shares);
    allocate(job, tenure, slot);
    for (Job *victim : plan.victims) {
        if (victim->phase == JobPhase::Reclaiming) {
            preempt(*victim, job);
            continue;
        }
        job.victims.push_back(victim);
        victim->preemptors.push_back(&job);
        if (victim->phase != JobPhase::Stopping) {
            preempt(*victim, job);
        }
    }
    job.reason = std::move(reason);
    if (job.victims.empty()) {
        start(job);
        return;
    }
    job.phase = JobPhase::Reclaiming;
    m_reclaimingJobs.push_back(&job);
    setReason(job, job.reason);
}

} // namespace plantainfork::scheduling
