// Queries. They may visit every worker.
#include "scheduling/scheduler.h"

#include <algorithm>

#include "scheduling/shape_text.h"

namespace plantainfork::scheduling
{

namespace
{

/** The amount as an unsigned number; zero if it is negative. */
std::uint32_t count(std::int64_t amount)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(amount, 0));
}

/** Computes the capacity of one data centre. */
class CapacitySummary
{
public:
    CapacitySummary(const Inventory &inventory, const DataCentre &dataCentre, const wire::Shape &largest)
        : m_inventory(inventory)
        , m_largest(largest)
    {
        m_sum.id = dataCentre.id;
        m_sum.mode = dataCentre.mode;
        for (const RackIndex rack : dataCentre.racks) {
            addRack(m_inventory.rack(rack));
        }
        if (m_largest.adjacency == wire::Adjacency::DataCentre && m_members < m_largest.members) {
            m_usable = 0;
        }
        m_sum.fragmentedAccelerators = m_sum.freeAccelerators - count(m_usable);
    }

    [[nodiscard]] DataCentreCapacity result() const
    {
        return m_sum;
    }

private:
    void addRack(const Rack &rack)
    {
        std::uint32_t members = 0;
        std::uint32_t free = 0;
        std::int64_t usable = 0;
        for (const WorkerIndex index : rack.workers) {
            const Worker &worker = m_inventory.worker(index);
            if (worker.isLost) {
                continue;
            }
            addWorker(worker);
            if (worker.use != WorkerUse::Open) {
                continue;
            }
            const Resources available = m_inventory.available(index, View::Free);
            const std::uint32_t fitting = membersThatFit(available, perMember(m_largest), m_largest.members);
            free += count(available.accelerators);
            members += fitting;
            const bool isEnough = m_largest.adjacency != wire::Adjacency::Host || fitting >= m_largest.members;
            usable += isEnough ? static_cast<std::int64_t>(fitting) * m_largest.acceleratorsPerMember : 0;
        }
        m_sum.largestFreeRack = std::max(m_sum.largestFreeRack, free);
        m_members += members;
        m_usable += m_largest.adjacency == wire::Adjacency::Rack && members < m_largest.members ? 0 : usable;
    }

    void addWorker(const Worker &worker)
    {
        ++m_sum.workers;
        m_sum.leaving += worker.lastUpdate.state == wire::MemberState::Leaving ? 1 : 0;
        m_sum.accelerators += count(worker.total.accelerators);
        const std::int64_t borrowed = worker.used.accelerators - worker.firm.accelerators;
        m_sum.firmAccelerators += count(worker.firm.accelerators);
        m_sum.borrowedAccelerators += count(borrowed);
        m_sum.reservedAccelerators += count(worker.reserved.accelerators);
        if (worker.use != WorkerUse::Open) {
            m_sum.quarantined += worker.lastUpdate.state == wire::MemberState::Alive && m_sum.mode == wire::DataCentreMode::In ? 1 : 0;
            return;
        }
        const std::uint32_t free = count(worker.total.accelerators - worker.used.accelerators);
        m_sum.freeAccelerators += free;
        m_sum.freeCores += count(worker.total.cores - worker.used.cores);
        m_sum.largestFreeHost = std::max(m_sum.largestFreeHost, free);
        if (worker.total.accelerators > 0) {
            m_sum.workersByFree.resize(std::max<std::size_t>(m_sum.workersByFree.size(), free + 1));
            ++m_sum.workersByFree[free];
        }
    }

    const Inventory &m_inventory;
    const wire::Shape m_largest;
    DataCentreCapacity m_sum;
    std::uint32_t m_members = 0;
    /** Free accelerators that members of the largest wanted shape could use. */
    std::int64_t m_usable = 0;
};

} // namespace

Capacity Scheduler::capacity() const
{
    Capacity capacity;
    capacity.largestWanted = m_queue.largestShape();
    for (const wire::Shape &shape : m_guarantees.shapes()) {
        if (sizeInAccelerators(shape) > sizeInAccelerators(capacity.largestWanted)) {
            capacity.largestWanted = shape;
        }
    }
    for (std::size_t index = 0; index < m_inventory.dataCentreCount(); ++index) {
        capacity.dataCentres.push_back(CapacitySummary(m_inventory, m_inventory.dataCentre(DataCentreIndex(index)), capacity.largestWanted).result());
    }
    std::sort(capacity.dataCentres.begin(), capacity.dataCentres.end(), [](const auto &left, const auto &right) {
        return left.id < right.id;
    });
    capacity.waitingJobs = static_cast<std::uint32_t>(m_queue.size());
    capacity.runningGangs = static_cast<std::uint32_t>(m_jobs.size() - m_queue.size());
    return capacity;
}

std::optional<Explanation> Scheduler::explain(const base::JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? std::nullopt : std::optional(explanationOf(*found->second));
}

std::vector<ReservedPlace> Scheduler::reservedPlaces() const
{
    return m_guarantees.reservedPlaces();
}

std::vector<UnmetGuarantee> Scheduler::unmetGuarantees() const
{
    return m_guarantees.unmet();
}

Explanation Scheduler::explanationOf(const Job &job) const
{
    Explanation explanation;
    explanation.job = job.spec.id;
    explanation.phase = job.phase;
    explanation.tenure = job.tenure;
    explanation.since = job.since;
    explanation.reason = job.reason;
    explanation.attempt = job.spec.attempt;
    explanation.preemptions = job.preemptions;
    explanation.placement = m_inventory.placement(job.reservation != nullptr ? job.reservation->shares : job.shares);
    for (const Job *victim : job.victims) {
        explanation.waitsFor.push_back(victim->spec.id);
    }
    if (job.reservation != nullptr) {
        explanation.expectedStart = job.reservation->expectedStart;
    }
    if (job.phase == JobPhase::Waiting) {
        const Bucket *bucket = m_queue.bucketOf(job);
        if (bucket != nullptr && bucket->isBlocked) {
            explanation.reason = bucket->blockReason;
        }
    }
    return explanation;
}

std::string Scheduler::impossibleReason(const wire::Shape &shape) const
{
    std::int64_t largestHost = 0;
    std::int64_t largestRack = 0;
    std::int64_t largestDataCentre = 0;
    for (std::size_t index = 0; index < m_inventory.dataCentreCount(); ++index) {
        std::int64_t dataCentre = 0;
        for (const RackIndex rackIndex : m_inventory.dataCentre(DataCentreIndex(index)).racks) {
            std::int64_t rack = 0;
            for (const WorkerIndex worker : m_inventory.rack(rackIndex).workers) {
                largestHost = std::max(largestHost, m_inventory.worker(worker).total.accelerators);
                rack += m_inventory.worker(worker).total.accelerators;
            }
            largestRack = std::max(largestRack, rack);
            dataCentre += rack;
        }
        largestDataCentre = std::max(largestDataCentre, dataCentre);
    }
    return "can never run: no place has " + describe(shape) + " with " + std::to_string(shape.coresPerMember) + " cores and "
        + std::to_string(shape.memoryMiBPerMember) + " MiB each; most accelerators in a host " + std::to_string(largestHost) + ", rack "
        + std::to_string(largestRack) + ", data centre " + std::to_string(largestDataCentre);
}

} // namespace plantainfork::scheduling
