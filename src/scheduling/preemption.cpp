#include "scheduling/preemption.h"

#include <algorithm>
#include <chrono>
#include <tuple>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace plantainfork::scheduling
{

namespace
{

/** Time that a gang loses when it checkpoints, waits and starts again. */
constexpr std::chrono::seconds RestartTime{30};

/** The capacity that would remain on each worker where the placement doesn't fit yet; negative amounts are missing. */
class Deficits
{
public:
    Deficits(const Inventory &inventory, const Shares &shares, const Resources &memberNeed)
    {
        for (const Share &share : shares) {
            const Resources remaining = inventory.available(share.worker, View::Free) - memberNeed * share.members;
            if (!remaining.covers({})) {
                m_remaining.emplace(share.worker, remaining);
            }
        }
    }

    [[nodiscard]] bool isCovered() const
    {
        return std::all_of(m_remaining.begin(), m_remaining.end(), [](const auto &entry) {
            return entry.second.covers({});
        });
    }

    /** Whether the gang has members on a worker where capacity is still missing. */
    [[nodiscard]] bool isReducedBy(const Job &job) const
    {
        return std::any_of(job.shares.begin(), job.shares.end(), [this](const Share &share) {
            const auto found = m_remaining.find(share.worker);
            return found != m_remaining.end() && !found->second.covers({});
        });
    }

    /** Counts the gang's capacity as freed. */
    void release(const Job &job)
    {
        addCapacity(job, 1);
    }

    /** Counts the gang's capacity as not freed, if the placement fits without it. Returns whether it does. */
    bool removeIfStillCovered(const Job &job)
    {
        addCapacity(job, -1);
        if (isCovered()) {
            return true;
        }
        addCapacity(job, 1);
        return false;
    }

private:
    void addCapacity(const Job &job, std::int64_t sign)
    {
        for (const Share &share : job.shares) {
            if (const auto found = m_remaining.find(share.worker); found != m_remaining.end()) {
                found->second += job.memberResources() * (sign * static_cast<std::int64_t>(share.members));
            }
        }
    }

    absl::flat_hash_map<WorkerIndex, Resources> m_remaining;
};

struct Victim {
    double loss = 0;
    Job *job = nullptr;
};

std::vector<Victim> victimCandidates(const Inventory &inventory, const Shares &shares, VictimFilter mayStop, runtime::Instant now)
{
    std::vector<Victim> found;
    absl::flat_hash_set<const Job *> examined;
    for (const Share &share : shares) {
        for (const LocalGang &gang : inventory.worker(share.worker).gangs) {
            const bool isStopping = gang.job->phase == JobPhase::Stopping;
            if ((isStopping || mayStop(*gang.job)) && examined.insert(gang.job).second) {
                found.push_back({isStopping ? 0 : preemptionLoss(*gang.job, now), gang.job});
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const Victim &left, const Victim &right) {
        return std::tie(left.loss, left.job->queueKey) < std::tie(right.loss, right.job->queueKey);
    });
    return found;
}

} // namespace

double preemptionLoss(const Job &job, runtime::Instant now)
{
    using Seconds = std::chrono::duration<double>;
    const Seconds worked = job.runningSince ? Seconds(now - *job.runningSince) : Seconds(0);
    const Seconds lost = job.spec.checkpointable ? std::min(worked, Seconds(RestartTime)) : worked;
    return lost.count() * sizeInAccelerators(job.spec.shape);
}

Resources preemptibleCapacity(const Inventory &inventory, WorkerIndex worker, VictimFilter mayStop)
{
    Resources sum;
    for (const LocalGang &gang : inventory.worker(worker).gangs) {
        if (gang.job->phase == JobPhase::Stopping || mayStop(*gang.job)) {
            sum += gang.job->memberResources() * gang.members;
        }
    }
    return sum;
}

std::optional<PreemptionPlan>
planPreemption(const Inventory &inventory, const Shares &shares, const Resources &memberNeed, VictimFilter mayStop, runtime::Instant now)
{
    Deficits deficits(inventory, shares, memberNeed);
    PreemptionPlan plan;
    if (deficits.isCovered()) {
        return plan;
    }
    std::vector<Victim> chosen;
    for (const Victim &victim : victimCandidates(inventory, shares, mayStop, now)) {
        if (deficits.isReducedBy(*victim.job)) {
            deficits.release(*victim.job);
            chosen.push_back(victim);
        }
    }
    if (!deficits.isCovered()) {
        return std::nullopt;
    }
    // A later victim, which loses more work, may have made earlier ones unnecessary. Drops those, the largest loss first.
    std::reverse(chosen.begin(), chosen.end());
    for (const Victim &victim : chosen) {
        if (!deficits.removeIfStillCovered(*victim.job)) {
            plan.victims.push_back(victim.job);
            plan.loss += victim.loss;
        }
    }
    return plan;
}

} // namespace plantainfork::scheduling
