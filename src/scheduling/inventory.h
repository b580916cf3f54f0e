/**
 * Tracks workers by data centre and rack, the capacity accounted on each, and indexes by available
 * capacity. The indexes are updated with each change, so that no decision has to scan all workers.
 */
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "scheduling/model.h"
#include "scheduling/resources.h"

namespace plantainfork::scheduling
{

struct Job;
struct Reservation;

enum class WorkerIndex : std::uint32_t {};
enum class RackIndex : std::uint32_t {};
enum class DataCentreIndex : std::uint32_t {};

/** The number of a gang's members that are placed on one worker. */
struct Share {
    WorkerIndex worker{};
    std::uint32_t members = 0;
};
/** A placement grouped by worker. Each worker appears once; the order is that of the members' ranks. */
using Shares = std::vector<Share>;

/** What capacity of a worker is accounted for. */
enum class Account : std::uint8_t {
    /** Gangs that run, start, stop, or wait for their victims to stop. */
    Used,
    /** The part of Used that can't be preempted. */
    Firm,
    /** Reserved places of guaranteed gangs that aren't running. */
    Reserved,
    /** Held by the reservation of a large waiting job until all of its workers are free. */
    Held,
};

/** Definitions of available capacity, by which the indexes are kept. */
enum class View : std::uint8_t {
    /** Physically free: total - used. */
    Free,
    /** Free and neither reserved for guarantees nor held for a large job: total - used - reserved - held. */
    Spare,
    /** Available after preempting all borrowers: total - firm - reserved. */
    Unreserved,
    /** Available after preempting all borrowers, disregarding the reserved places of guarantees: total - firm. */
    NonFirm,
};
constexpr std::size_t ViewCount = 4;
constexpr std::array<View, ViewCount> AllViews{View::Free, View::Spare, View::Unreserved, View::NonFirm};

/** Which new work may be placed on a worker. */
enum class WorkerUse : std::uint8_t {
    /** Any work. */
    Open,
    /** One borrowing gang at a time, to test whether gangs still fail on the worker. */
    Probation,
    /** No work: the worker is lost, leaving or quarantined, or its data centre is out of service. */
    Closed,
};

/** A gang that has members on a worker. */
struct LocalGang {
    Job *job = nullptr;
    std::uint32_t members = 0;
};

struct Worker {
    /** The worker as last reported. */
    WorkerUpdated lastUpdate;
    DataCentreIndex dataCentre{};
    RackIndex rack{};
    WorkerUse use = WorkerUse::Closed;
    bool isLost = false;
    Resources total;
    Resources used;
    /** At most used. On an open worker, firm + reserved is at most total: the guarantee invariant. */
    Resources firm;
    Resources reserved;
    Resources held;
    /** Gangs with members on this worker, which are accounted in used. */
    std::vector<LocalGang> gangs;
    /** The reservation of a large waiting job that includes the worker; null if there is none. */
    Reservation *reservation = nullptr;
    /** Keys of the worker in the index of each view; unset when it isn't in that index. */
    std::array<std::optional<std::pair<std::uint32_t, std::int64_t>>, ViewCount> indexKeys;
    /** The available capacity that the index of each view records for the worker; zero when it isn't in that index. */
    std::array<Resources, ViewCount> indexedAvailable{};
};

struct Rack {
    base::RackId id;
    DataCentreIndex dataCentre{};
    std::vector<WorkerIndex> workers;
    /** Per view, the sum over the workers in its index. */
    std::array<Resources, ViewCount> available{};
};

/** (cores, worker), ascending. */
using WorkersByCores = absl::btree_set<std::pair<std::int64_t, WorkerIndex>>;
/** (accelerators, cores, rack), ascending. */
using RacksByAvailable = absl::btree_set<std::tuple<std::int64_t, std::int64_t, RackIndex>>;

struct DataCentreIndexes {
    /** Buckets. Index 0: workers without accelerators; index n + 1: workers with accelerators, n of them available. */
    std::vector<WorkersByCores> workers;
    RacksByAvailable racks;
    Resources available;
};

struct DataCentre {
    base::DataCentreId id;
    wire::DataCentreMode mode = wire::DataCentreMode::In;
    std::vector<RackIndex> racks;
    std::array<DataCentreIndexes, ViewCount> views;
};

class Inventory
{
public:
    /**
     * Adds the worker or updates its values. The use of a new worker is Closed until setUse(). A known worker
     * keeps its rack and data centre, because a host that moves rejoins under a new id.
     */
    WorkerIndex update(const WorkerUpdated &event);
    [[nodiscard]] std::optional<WorkerIndex> find(const base::MemberId &id) const;
    void setUse(WorkerIndex worker, WorkerUse use);
    void markLost(WorkerIndex worker);
    /** Removes a lost worker. It must have no gangs, reservation or reserved capacity any more. */
    void forget(WorkerIndex worker);

    /** Adds `memberNeed` for each member of the shares to the account of its worker. */
    void add(Account account, const Shares &shares, const Resources &memberNeed);
    void subtract(Account account, const Shares &shares, const Resources &memberNeed);
    /** Lists the job among the gangs of the workers. */
    void attach(Job *job, const Shares &shares);
    void detach(Job *job, const Shares &shares);
    /** Makes the workers part of the reservation; null removes them from theirs. */
    void setReservation(const Shares &shares, Reservation *reservation);

    [[nodiscard]] const Worker &worker(WorkerIndex index) const;
    [[nodiscard]] const Rack &rack(RackIndex index) const;
    [[nodiscard]] const DataCentre &dataCentre(DataCentreIndex index) const;
    /** Available capacity of the worker in the view, regardless of its use; negative where more than the total is accounted. */
    [[nodiscard]] Resources available(WorkerIndex worker, View view) const;
    [[nodiscard]] std::size_t workerCount() const;
    [[nodiscard]] std::size_t dataCentreCount() const;
    [[nodiscard]] std::optional<DataCentreIndex> findDataCentre(const base::DataCentreId &id) const;
    /** Returns the index of the data centre, and adds the data centre if it is not known. */
    DataCentreIndex internDataCentre(const base::DataCentreId &id);
    void setMode(DataCentreIndex dataCentre, wire::DataCentreMode mode);

    /** Counter that increases whenever the available capacity of the view grows, so that a search that failed may succeed. */
    [[nodiscard]] std::uint64_t growthVersion(View view) const;
    /** Counter that increases whenever a worker is added or removed or its total capacity changes. */
    [[nodiscard]] std::uint64_t totalsVersion() const;

    /** Expands the shares to one worker id per member. */
    [[nodiscard]] Placement placement(const Shares &shares) const;

private:
    Resources &accountOf(Worker &worker, Account account);
    RackIndex internRack(const base::RackId &id, DataCentreIndex dataCentre);
    void reindex(WorkerIndex index);
    void reindex(WorkerIndex index, View view, bool isIndexed);

    std::vector<Worker> m_workers;
    std::vector<Rack> m_racks;
    std::vector<DataCentre> m_dataCentres;
    /** Indexes into m_workers of removed workers, for reuse. */
    std::vector<WorkerIndex> m_unusedIndexes;
    absl::flat_hash_map<base::MemberId, WorkerIndex> m_workerById;
    /** Key: "DATA CENTRE/RACK", since several data centres may use the same rack id. */
    absl::flat_hash_map<std::string, RackIndex> m_rackByPath;
    absl::flat_hash_map<base::DataCentreId, DataCentreIndex> m_dataCentreById;
    std::array<std::uint64_t, ViewCount> m_growthVersions{};
    std::uint64_t m_totalsVersion = 0;
};

} // namespace plantainfork::scheduling
