#include "scheduling/placer.h"

#include <algorithm>
#include <array>

namespace plantainfork::scheduling
{

namespace
{

/** Number of fitting workers of one index bucket that are compared by fragmentation and by how full their racks are. */
constexpr std::size_t MaxHostCandidates = 16;
/** Number of workers of one index bucket that are sorted by their racks at a time. */
constexpr std::size_t SortChunkSize = 64;

struct Candidate {
    Shares shares;
    /** Compared lexicographically; lower is better. */
    std::array<std::int64_t, 4> score{};
};

/** Searches one data centre for a placement. */
class Search
{
public:
    Search(const Inventory &inventory, const PlaceRequest &request, Availability availability, DataCentreIndex dataCentre)
        : m_inventory(inventory)
        , m_request(request)
        , m_availability(availability)
        , m_indexes(inventory.dataCentre(dataCentre).views[static_cast<std::size_t>(request.view)])
        , m_memberNeed(perMember(request.shape))
        , m_scoreSign(request.rule == PlacementRule::WorstFit ? -1 : 1)
    {
    }

    [[nodiscard]] std::optional<Candidate> run() const
    {
        const Resources gangNeed = m_memberNeed * m_request.shape.members;
        if (!m_indexes.available.covers(gangNeed)) {
            return std::nullopt;
        }
        switch (m_request.shape.adjacency) {
        case wire::Adjacency::Host:
            return findWithinHost(gangNeed);
        case wire::Adjacency::Rack:
            return findWithinRack(gangNeed);
        case wire::Adjacency::DataCentre:
            return m_request.shape.members == 1 ? findWithinHost(gangNeed) : findWithinDataCentre();
        }
        return std::nullopt;
    }

private:
    [[nodiscard]] std::int64_t rackAccelerators(WorkerIndex worker) const
    {
        return m_inventory.rack(m_inventory.worker(worker).rack).available[static_cast<std::size_t>(m_request.view)].accelerators;
    }

    /** Non-empty buckets of workers with at least this many accelerators available, in the order in which the rule tries them. */
    [[nodiscard]] std::vector<std::size_t> bucketsInOrder(std::int64_t accelerators) const
    {
        std::vector<std::size_t> order;
        const std::size_t first = accelerators == 0 ? 0 : static_cast<std::size_t>(accelerators) + 1;
        for (std::size_t bucket = first; bucket < m_indexes.workers.size(); ++bucket) {
            if (!m_indexes.workers[bucket].empty()) {
                order.push_back(bucket);
            }
        }
        // Work that needs no accelerators tries workers without accelerators first under both rules.
        if (m_request.rule == PlacementRule::WorstFit) {
            std::reverse(order.begin() + (!order.empty() && order.front() == 0 ? 1 : 0), order.end());
        }
        return order;
    }

    /**
     * One worker for all members. Best fit avoids wholly free racks, then wholly free hosts, and then prefers the
     * worker that keeps the fewest accelerators available.
     */
    [[nodiscard]] std::optional<Candidate> findWithinHost(const Resources &gangNeed) const
    {
        std::optional<Candidate> best;
        for (const std::size_t bucket : bucketsInOrder(gangNeed.accelerators)) {
            auto candidate = findHostInBucket(bucket, gangNeed);
            if (candidate && (!best || candidate->score < best->score)) {
                best = std::move(candidate);
            }
            if (best && (m_scoreSign < 0 || best->score[0] == 0)) {
                break;
            }
        }
        return best;
    }

    [[nodiscard]] std::optional<Candidate> findHostInBucket(std::size_t bucket, const Resources &gangNeed) const
    {
        const WorkersByCores &workers = m_indexes.workers[bucket];
        std::optional<Candidate> best;
        std::size_t examined = 0;
        for (auto entry = workers.lower_bound({gangNeed.cores, WorkerIndex(0)}); entry != workers.end() && examined < MaxHostCandidates; ++entry) {
            if (!m_availability(entry->second).covers(gangNeed)) {
                continue;
            }
            ++examined;
            const std::int64_t remaining = static_cast<std::int64_t>(bucket) - gangNeed.accelerators;
            const std::int64_t fragmentation = m_scoreSign < 0 || bucket == 0 ? 0 : fragmentationCost(m_inventory, entry->second);
            const std::array<std::int64_t, 4> score{fragmentation, m_scoreSign * remaining, m_scoreSign * rackAccelerators(entry->second), entry->first};
            if (!best || score < best->score) {
                best = Candidate{{{entry->second, m_request.shape.members}}, score};
            }
        }
        return best;
    }

    [[nodiscard]] std::optional<Candidate> findWithinRack(const Resources &gangNeed) const
    {
        if (m_request.rule == PlacementRule::WorstFit) {
            for (auto entry = m_indexes.racks.rbegin(); entry != m_indexes.racks.rend() && std::get<0>(*entry) >= gangNeed.accelerators; ++entry) {
                if (auto shares = fillRack(std::get<2>(*entry), gangNeed)) {
                    return Candidate{std::move(*shares), {0, -std::get<0>(*entry), 0, 0}};
                }
            }
            return std::nullopt;
        }
        for (auto entry = m_indexes.racks.lower_bound({gangNeed.accelerators, 0, RackIndex(0)}); entry != m_indexes.racks.end(); ++entry) {
            if (auto shares = fillRack(std::get<2>(*entry), gangNeed)) {
                return Candidate{std::move(*shares), {0, std::get<0>(*entry), std::get<1>(*entry), 0}};
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] std::optional<Shares> fillRack(RackIndex index, const Resources &gangNeed) const
    {
        const Rack &rack = m_inventory.rack(index);
        if (!rack.available[static_cast<std::size_t>(m_request.view)].covers(gangNeed)) {
            return std::nullopt;
        }
        std::vector<WorkerIndex> indexed;
        for (const WorkerIndex worker : rack.workers) {
            if (m_inventory.worker(worker).indexKeys[static_cast<std::size_t>(m_request.view)]) {
                indexed.push_back(worker);
            }
        }
        // Best fit takes partly used hosts first, so that wholly free ones stay free.
        std::stable_sort(indexed.begin(), indexed.end(), [this](WorkerIndex left, WorkerIndex right) {
            return m_scoreSign * indexedAccelerators(left) < m_scoreSign * indexedAccelerators(right);
        });
        Shares shares;
        std::uint32_t missing = m_request.shape.members;
        assignMembers(indexed, shares, missing);
        return missing == 0 ? std::optional(std::move(shares)) : std::nullopt;
    }

    [[nodiscard]] std::int64_t indexedAccelerators(WorkerIndex worker) const
    {
        return m_inventory.worker(worker).indexedAvailable[static_cast<std::size_t>(m_request.view)].accelerators;
    }

    void assignMembers(const std::vector<WorkerIndex> &workers, Shares &shares, std::uint32_t &missing) const
    {
        for (const WorkerIndex worker : workers) {
            if (missing == 0) {
                return;
            }
            const std::uint32_t members = membersThatFit(m_availability(worker), m_memberNeed, missing);
            if (members > 0) {
                shares.push_back({worker, members});
                missing -= members;
            }
        }
    }

    /** Members anywhere in the data centre. Best fit takes the hosts and racks with the least available capacity first. */
    [[nodiscard]] std::optional<Candidate> findWithinDataCentre() const
    {
        Shares shares;
        std::uint32_t missing = m_request.shape.members;
        for (const std::size_t bucket : bucketsInOrder(m_memberNeed.accelerators)) {
            const WorkersByCores &workers = m_indexes.workers[bucket];
            auto entry = workers.lower_bound({m_memberNeed.cores, WorkerIndex(0)});
            while (entry != workers.end() && missing > 0) {
                std::vector<WorkerIndex> chunk;
                for (; entry != workers.end() && chunk.size() < SortChunkSize; ++entry) {
                    chunk.push_back(entry->second);
                }
                std::stable_sort(chunk.begin(), chunk.end(), [this](WorkerIndex left, WorkerIndex right) {
                    return m_scoreSign * rackAccelerators(left) < m_scoreSign * rackAccelerators(right);
                });
                assignMembers(chunk, shares, missing);
            }
            if (missing == 0) {
                return Candidate{std::move(shares), {0, m_scoreSign * m_indexes.available.accelerators, m_scoreSign * m_indexes.available.cores, 0}};
            }
        }
        return std::nullopt;
    }

    const Inventory &m_inventory;
    const PlaceRequest &m_request;
    Availability m_availability;
    const DataCentreIndexes &m_indexes;
    const Resources m_memberNeed;
    /** 1 for best fit; -1 for worst fit, which reverses the order of scores. */
    const std::int64_t m_scoreSign;
};

bool fitsWorkers(const Inventory &inventory, const std::vector<WorkerIndex> &workers, const wire::Shape &shape, std::uint32_t &missing)
{
    for (const WorkerIndex worker : workers) {
        missing -= membersThatFit(inventory.worker(worker).total, perMember(shape), missing);
        if (missing == 0) {
            return true;
        }
    }
    return false;
}

bool fitsRacks(const Inventory &inventory, const DataCentre &dataCentre, const wire::Shape &shape)
{
    std::uint32_t missing = shape.members;
    for (const RackIndex rack : dataCentre.racks) {
        if (shape.adjacency == wire::Adjacency::Rack) {
            missing = shape.members;
        }
        if (fitsWorkers(inventory, inventory.rack(rack).workers, shape, missing)) {
            return true;
        }
    }
    return false;
}

bool fitsHost(const Inventory &inventory, const DataCentre &dataCentre, const wire::Shape &shape)
{
    const Resources gangNeed = perMember(shape) * shape.members;
    return std::any_of(dataCentre.racks.begin(), dataCentre.racks.end(), [&](RackIndex rack) {
        const auto &workers = inventory.rack(rack).workers;
        return std::any_of(workers.begin(), workers.end(), [&](WorkerIndex worker) {
            return inventory.worker(worker).total.covers(gangNeed);
        });
    });
}

} // namespace

std::optional<Shares> findPlace(const Inventory &inventory, const PlaceRequest &request, Availability availability)
{
    std::optional<Candidate> best;
    for (std::size_t index = 0; index < inventory.dataCentreCount(); ++index) {
        const auto dataCentre = DataCentreIndex(index);
        const auto &wanted = request.dataCentres;
        if (!wanted.empty() && std::find(wanted.begin(), wanted.end(), dataCentre) == wanted.end()) {
            continue;
        }
        auto candidate = Search(inventory, request, availability, dataCentre).run();
        if (candidate && (!best || candidate->score < best->score)) {
            best = std::move(candidate);
        }
    }
    return best ? std::optional(std::move(best->shares)) : std::nullopt;
}

std::optional<Shares> findPlace(const Inventory &inventory, const PlaceRequest &request)
{
    const auto viewAvailability = [&](WorkerIndex worker) {
        return inventory.available(worker, request.view);
    };
    return findPlace(inventory, request, viewAvailability);
}

std::int64_t fragmentationCost(const Inventory &inventory, WorkerIndex index)
{
    const auto isWhole = [&](WorkerIndex worker) {
        return inventory.available(worker, View::Free).accelerators == inventory.worker(worker).total.accelerators;
    };
    if (!isWhole(index)) {
        return 0;
    }
    const auto &rack = inventory.rack(inventory.worker(index).rack).workers;
    return rack.size() > 1 && std::all_of(rack.begin(), rack.end(), isWhole) ? 2 : 1;
}

bool fitsEmptyInventory(const Inventory &inventory, const wire::Shape &shape)
{
    for (std::size_t index = 0; index < inventory.dataCentreCount(); ++index) {
        const DataCentre &dataCentre = inventory.dataCentre(DataCentreIndex(index));
        const bool fits = shape.adjacency == wire::Adjacency::Host ? fitsHost(inventory, dataCentre, shape) : fitsRacks(inventory, dataCentre, shape);
        if (fits) {
            return true;
        }
    }
    return false;
}

} // namespace plantainfork::scheduling
