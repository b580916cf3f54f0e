#include "scheduling/reservations.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <vector>

namespace plantainfork::scheduling
{

namespace
{

/** Time that a gang is expected to take to stop; also the minimum remaining time assumed for a gang that exceeded its expected run time. */
constexpr std::chrono::seconds ExpectedStopTime{5};
/** Once the planner has examined more gangs than this, it skips the remaining data centres. Those with the most free capacity are examined first. */
constexpr std::size_t MaxExaminedGangs = 20000;

/** The workers of one host, rack or data centre, with the times at which their gangs are expected to end. */
class TopologyDomain
{
public:
    TopologyDomain(const Inventory &inventory, const Job &job, runtime::Instant now)
        : m_inventory(inventory)
        , m_job(job)
        , m_memberNeed(job.memberResources())
        , m_now(now)
    {
    }

    void add(WorkerIndex index)
    {
        const Worker &worker = m_inventory.worker(index);
        const bool isReservedForOther = worker.reservation != nullptr && worker.reservation->job != &m_job;
        const bool isAvoided = std::find(m_job.avoidedWorkers.begin(), m_job.avoidedWorkers.end(), worker.lastUpdate.id) != m_job.avoidedWorkers.end();
        if (worker.use != WorkerUse::Open || isReservedForOther || isAvoided || !worker.total.covers(m_memberNeed)) {
            return;
        }
        m_workers.push_back({index, m_inventory.available(index, View::Free), m_inventory.available(index, View::Unreserved)});
        for (const LocalGang &gang : worker.gangs) {
            m_ends.push_back({expectedEnd(*gang.job, m_now), m_workers.size() - 1, gang});
        }
    }

    void clear()
    {
        m_workers.clear();
        m_ends.clear();
    }

    [[nodiscard]] std::size_t gangCount() const
    {
        return m_ends.size();
    }

    [[nodiscard]] std::optional<ReservationPlan> earliestPlan()
    {
        std::uint32_t members = 0;
        for (const WorkerForecast &worker : m_workers) {
            members += fittingMembers(worker);
        }
        std::sort(m_ends.begin(), m_ends.end(), [](const GangEnd &left, const GangEnd &right) {
            return std::tie(left.at, left.worker) < std::tie(right.at, right.worker);
        });
        runtime::Instant start = m_now;
        for (auto end = m_ends.begin(); members < m_job.spec.shape.members && end != m_ends.end(); ++end) {
            WorkerForecast &worker = m_workers[end->worker];
            members -= fittingMembers(worker);
            releaseGang(worker, end->gang);
            members += fittingMembers(worker);
            start = end->at;
        }
        if (members < m_job.spec.shape.members) {
            return std::nullopt;
        }
        return ReservationPlan{selectShares(), start};
    }

private:
    struct WorkerForecast {
        WorkerIndex worker{};
        Resources free;
        Resources unreserved;
    };
    struct GangEnd {
        runtime::Instant at;
        std::size_t worker = 0;
        LocalGang gang;
    };

    [[nodiscard]] std::uint32_t fittingMembers(const WorkerForecast &worker) const
    {
        const Resources available = m_job.isPreemptible() ? worker.free : minimum(worker.free, worker.unreserved);
        return membersThatFit(available, m_memberNeed, m_job.spec.shape.members);
    }

    static void releaseGang(WorkerForecast &worker, const LocalGang &gang)
    {
        const Resources freed = gang.job->memberResources() * gang.members;
        worker.free += freed;
        if (gang.job->tenure == Tenure::Unreserved) {
            worker.unreserved += freed;
        }
    }

    /** Distributes the members over the workers on which most of them fit first. */
    [[nodiscard]] Shares selectShares()
    {
        std::stable_sort(m_workers.begin(), m_workers.end(), [this](const WorkerForecast &left, const WorkerForecast &right) {
            return fittingMembers(left) > fittingMembers(right);
        });
        Shares shares;
        std::uint32_t missing = m_job.spec.shape.members;
        for (const WorkerForecast &worker : m_workers) {
            const std::uint32_t members = std::min(missing, fittingMembers(worker));
            if (members > 0) {
                shares.push_back({worker.worker, members});
                missing -= members;
            }
        }
        return shares;
    }

    const Inventory &m_inventory;
    const Job &m_job;
    const Resources m_memberNeed;
    const runtime::Instant m_now;
    std::vector<WorkerForecast> m_workers;
    std::vector<GangEnd> m_ends;
};

/** Finds the plan with the earliest start over all data centres. */
class Planner
{
public:
    Planner(const Inventory &inventory, const Job &job, runtime::Instant now)
        : m_inventory(inventory)
        , m_job(job)
        , m_now(now)
    {
    }

    [[nodiscard]] std::optional<ReservationPlan> run()
    {
        for (const DataCentreIndex index : dataCentresByFree()) {
            if (m_examinedGangs > MaxExaminedGangs) {
                break;
            }
            planWithin(m_inventory.dataCentre(index));
        }
        return std::move(m_best);
    }

private:
    [[nodiscard]] std::vector<DataCentreIndex> dataCentresByFree() const
    {
        std::vector<DataCentreIndex> order;
        for (std::size_t position = 0; position < m_inventory.dataCentreCount(); ++position) {
            order.push_back(DataCentreIndex(position));
        }
        std::stable_sort(order.begin(), order.end(), [this](DataCentreIndex left, DataCentreIndex right) {
            return free(left) > free(right);
        });
        return order;
    }

    [[nodiscard]] std::int64_t free(DataCentreIndex index) const
    {
        const Resources &available = m_inventory.dataCentre(index).views[static_cast<std::size_t>(View::Free)].available;
        return m_job.spec.shape.acceleratorsPerMember > 0 ? available.accelerators : available.cores;
    }

    void planWithin(const DataCentre &dataCentre)
    {
        const wire::Adjacency adjacency = m_job.spec.shape.adjacency;
        TopologyDomain domain(m_inventory, m_job, m_now);
        for (const RackIndex rack : dataCentre.racks) {
            for (const WorkerIndex worker : m_inventory.rack(rack).workers) {
                domain.add(worker);
                if (adjacency == wire::Adjacency::Host) {
                    planAndClear(domain);
                }
            }
            if (adjacency == wire::Adjacency::Rack) {
                planAndClear(domain);
            }
        }
        planAndClear(domain);
    }

    void planAndClear(TopologyDomain &domain)
    {
        m_examinedGangs += domain.gangCount();
        auto plan = domain.earliestPlan();
        if (plan && (!m_best || plan->expectedStart < m_best->expectedStart)) {
            m_best = std::move(plan);
        }
        domain.clear();
    }

    const Inventory &m_inventory;
    const Job &m_job;
    const runtime::Instant m_now;
    std::size_t m_examinedGangs = 0;
    std::optional<ReservationPlan> m_best;
};

} // namespace

runtime::Instant expectedEnd(const Job &job, runtime::Instant now)
{
    if (job.phase == JobPhase::Stopping) {
        return now + ExpectedStopTime;
    }
    const runtime::Instant since = job.runningSince.value_or(job.placedAt);
    const auto remaining = std::max(job.expectedRunTime - job.spec.checkpointed, std::chrono::milliseconds(0));
    const runtime::Instant end = since + remaining;
    return end > now ? end : now + std::max<runtime::Clock::duration>((now - since) / 2, ExpectedStopTime);
}

std::optional<ReservationPlan> planReservation(const Inventory &inventory, const Job &job, runtime::Instant now)
{
    return Planner(inventory, job, now).run();
}

runtime::Instant expectedStart(const Inventory &inventory, const Reservation &reservation, runtime::Instant now)
{
    runtime::Instant start = now;
    for (const Share &share : reservation.shares) {
        for (const LocalGang &gang : inventory.worker(share.worker).gangs) {
            if (!isBackfill(*gang.job, reservation)) {
                start = std::max(start, expectedEnd(*gang.job, now));
            }
        }
    }
    return start;
}

bool isBackfill(const Job &gang, const Reservation &reservation)
{
    return gang.isBorrower() && gang.placementSequence > reservation.planSequence && gang.spec.urgency != wire::Urgency::Urgent;
}

} // namespace plantainfork::scheduling
