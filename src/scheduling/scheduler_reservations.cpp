// Workers held for large jobs, and who is let in on them meanwhile.
#include "scheduling/scheduler.h"

#include <algorithm>
#include <chrono>

#include "scheduling/holds.h"

namespace plantainfork::scheduling
{

namespace
{

/** Jobs for which workers are held at a time: one, and one more for each so many workers. */
constexpr std::size_t WorkersPerHold = 64;
constexpr std::size_t MaxHolds = 16;
/** A large job waits for half its expected run time, within these bounds, before workers are held for it: a hold costs what it keeps idle. */
constexpr std::chrono::milliseconds ShortestWaitBeforeHold = std::chrono::minutes(10);
constexpr std::chrono::milliseconds LongestWaitBeforeHold = std::chrono::hours(2);
/** A job's hold is planned at most this often. */
constexpr std::chrono::seconds HoldInterval{60};
/** No work is let in on held workers this shortly before the expected start. */
constexpr std::chrono::minutes ShortestBackfill{2};

} // namespace

void Scheduler::dropClosedHolds()
{
    std::vector<Job *> closed;
    for (const auto &hold : m_holds) {
        const bool isClosed = std::any_of(hold->shares.begin(), hold->shares.end(), [this](const Share &share) {
            return m_inventory.worker(share.worker).use != WorkerUse::Open;
        });
        if (isClosed) {
            closed.push_back(hold->job);
        }
    }
    for (Job *job : closed) {
        dropHold(*job);
        job->nextPlan = m_now;
    }
}

void Scheduler::startReadyHolds()
{
    std::vector<Hold *> holds;
    for (const auto &hold : m_holds) {
        holds.push_back(hold.get());
    }
    for (Hold *hold : holds) {
        startHeld(*hold);
    }
}

bool Scheduler::startHeld(Hold &hold)
{
    Job &job = *hold.job;
    const bool isPreemptible = job.isPreemptible();
    const bool isUnreserved = std::all_of(hold.shares.begin(), hold.shares.end(), [&](const Share &share) {
        return m_inventory.available(share.worker, View::Unreserved).covers(job.each() * share.members);
    });
    if (!isPreemptible && !isUnreserved) {
        return false;
    }
    const auto mayStop = [&](const Job &gang) {
        return isBackfill(gang, hold) && gang.isRunningBorrower();
    };
    const auto plan = planReclaim(m_inventory, hold.shares, job.each(), mayStop, m_now);
    if (!plan) {
        return false;
    }
    place(job, hold.shares, isPreemptible ? Tenure::Borrowed : Tenure::Unreserved, std::nullopt, *plan, "runs on the workers that were held for it");
    return true;
}

bool Scheduler::isHoldDue(const Job &job) const
{
    const bool isLarge = job.spec.shape.members > 1 || job.spec.shape.acceleratorsPerMember > 1;
    const auto wait = std::clamp(job.expected / 2, ShortestWaitBeforeHold, LongestWaitBeforeHold);
    return isLarge && job.hold == nullptr && m_now >= std::max(job.nextPlan, job.spec.submitted + wait);
}

void Scheduler::hold(Job &job)
{
    if (m_holds.size() >= std::min(1 + m_inventory.workerCount() / WorkersPerHold, MaxHolds)) {
        const auto last = std::max_element(m_holds.begin(), m_holds.end(), [](const auto &left, const auto &right) {
            return left->job->key < right->job->key;
        });
        if ((*last)->job->key < job.key) {
            return;
        }
        dropHold(*(*last)->job);
    }
    job.nextPlan = m_now + HoldInterval;
    auto plan = planHold(m_inventory, job, m_now);
    if (!plan) {
        return;
    }
    m_holds.push_back(std::make_unique<Hold>(Hold{&job, std::move(plan->shares), ++m_order, plan->expectedStart}));
    job.hold = m_holds.back().get();
    m_inventory.setHold(job.hold->shares, job.hold);
    m_inventory.add(Account::Held, job.hold->shares, job.each());
    job.phase = JobPhase::Reserved;
    note(job, "waits: workers are held for it until earlier gangs on them have ended");
}

void Scheduler::dropHold(Job &job)
{
    if (job.hold == nullptr) {
        return;
    }
    m_inventory.subtract(Account::Held, job.hold->shares, job.each());
    m_inventory.setHold(job.hold->shares, nullptr);
    std::erase_if(m_holds, [&](const auto &hold) {
        return hold.get() == job.hold;
    });
    job.hold = nullptr;
    job.phase = JobPhase::Waiting;
}

void Scheduler::reviewHolds()
{
    if (m_now < m_nextReview) {
        return;
    }
    m_nextReview = m_now + HoldInterval;
    // A hold stays where it is: moving it would take back work that was let in elsewhere on good faith.
    for (const auto &hold : m_holds) {
        hold->expectedStart = expectedStart(m_inventory, *hold, m_now);
    }
    m_queue.unblockAll();
}

bool Scheduler::mayBackfill(const Job &job, std::chrono::milliseconds cautious, const Hold &hold) const
{
    if (job.spec.urgency == wire::Urgency::Urgent) {
        return true;
    }
    if (hold.expectedStart < m_now + ShortestBackfill) {
        return false;
    }
    return job.spec.checkpointable || m_now + (cautious - job.spec.checkpointed) <= hold.expectedStart;
}

} // namespace plantainfork::scheduling
