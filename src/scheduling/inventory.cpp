#include "scheduling/inventory.h"

#include <algorithm>
#include <cassert>

namespace plantainfork::scheduling
{

namespace
{

std::size_t position(WorkerIndex index)
{
    return static_cast<std::size_t>(index);
}

std::size_t position(RackIndex index)
{
    return static_cast<std::size_t>(index);
}

std::size_t position(DataCentreIndex index)
{
    return static_cast<std::size_t>(index);
}

std::size_t position(View view)
{
    return static_cast<std::size_t>(view);
}

/** Replaces negative amounts by zero. */
Resources nonNegative(const Resources &resources)
{
    return {std::max<std::int64_t>(resources.accelerators, 0), std::max<std::int64_t>(resources.cores, 0), std::max<std::int64_t>(resources.memoryMiB, 0)};
}

bool isIndexedIn(const Worker &worker, View view)
{
    switch (worker.use) {
    case WorkerUse::Open:
        return true;
    case WorkerUse::Probation:
        return view == View::Free && worker.gangs.empty();
    case WorkerUse::Closed:
        return false;
    }
    return false;
}

bool hasGrown(const Resources &before, const Resources &after)
{
    return after.accelerators > before.accelerators || after.cores > before.cores || after.memoryMiB > before.memoryMiB;
}

} // namespace

WorkerIndex Inventory::update(const WorkerUpdated &event)
{
    const Resources total{event.accelerators, event.cores, static_cast<std::int64_t>(event.memoryMiB)};
    if (const auto known = find(event.id)) {
        Worker &worker = m_workers[position(*known)];
        if (worker.total != total) {
            ++m_totalsVersion;
        }
        worker.lastUpdate = event;
        worker.isLost = false;
        worker.total = total;
        reindex(*known);
        return *known;
    }
    const DataCentreIndex dataCentre = internDataCentre(event.dataCentre);
    const RackIndex rack = internRack(event.rack, dataCentre);
    WorkerIndex index{};
    if (m_unusedIndexes.empty()) {
        index = WorkerIndex(m_workers.size());
        m_workers.emplace_back();
    } else {
        index = m_unusedIndexes.back();
        m_unusedIndexes.pop_back();
    }
    Worker &worker = m_workers[position(index)];
    worker = Worker{};
    worker.lastUpdate = event;
    worker.dataCentre = dataCentre;
    worker.rack = rack;
    worker.total = total;
    m_racks[position(rack)].workers.push_back(index);
    m_workerById.emplace(event.id, index);
    ++m_totalsVersion;
    return index;
}

std::optional<WorkerIndex> Inventory::find(const base::MemberId &id) const
{
    const auto found = m_workerById.find(id);
    return found == m_workerById.end() ? std::nullopt : std::optional(found->second);
}

void Inventory::setUse(WorkerIndex index, WorkerUse use)
{
    Worker &worker = m_workers[position(index)];
    if (worker.use == use) {
        return;
    }
    worker.use = use;
    reindex(index);
}

void Inventory::markLost(WorkerIndex index)
{
    m_workers[position(index)].isLost = true;
    setUse(index, WorkerUse::Closed);
}

void Inventory::forget(WorkerIndex index)
{
    Worker &worker = m_workers[position(index)];
    assert(worker.isLost && worker.gangs.empty() && worker.reservation == nullptr && worker.reserved == Resources{});
    std::erase(m_racks[position(worker.rack)].workers, index);
    m_workerById.erase(worker.lastUpdate.id);
    worker = Worker{};
    m_unusedIndexes.push_back(index);
    ++m_totalsVersion;
}

void Inventory::add(Account account, const Shares &shares, const Resources &memberNeed)
{
    for (const Share &share : shares) {
        accountOf(m_workers[position(share.worker)], account) += memberNeed * share.members;
        reindex(share.worker);
    }
}

void Inventory::subtract(Account account, const Shares &shares, const Resources &memberNeed)
{
    for (const Share &share : shares) {
        accountOf(m_workers[position(share.worker)], account) -= memberNeed * share.members;
        reindex(share.worker);
    }
}

void Inventory::attach(Job *job, const Shares &shares)
{
    for (const Share &share : shares) {
        m_workers[position(share.worker)].gangs.push_back({job, share.members});
        reindex(share.worker);
    }
}

void Inventory::detach(Job *job, const Shares &shares)
{
    for (const Share &share : shares) {
        std::erase_if(m_workers[position(share.worker)].gangs, [job](const LocalGang &gang) {
            return gang.job == job;
        });
        reindex(share.worker);
    }
}

void Inventory::setReservation(const Shares &shares, Reservation *reservation)
{
    for (const Share &share : shares) {
        m_workers[position(share.worker)].reservation = reservation;
    }
}

const Worker &Inventory::worker(WorkerIndex index) const
{
    return m_workers[position(index)];
}

const Rack &Inventory::rack(RackIndex index) const
{
    return m_racks[position(index)];
}

const DataCentre &Inventory::dataCentre(DataCentreIndex index) const
{
    return m_dataCentres[position(index)];
}

Resources Inventory::available(WorkerIndex index, View view) const
{
    const Worker &worker = m_workers[position(index)];
    switch (view) {
    case View::Free:
        return worker.total - worker.used;
    case View::Spare:
        return worker.total - worker.used - worker.reserved - worker.held;
    case View::Unreserved:
        return worker.total - worker.firm - worker.reserved;
    case View::NonFirm:
        return worker.total - worker.firm;
    }
    return {};
}

std::size_t Inventory::workerCount() const
{
    return m_workers.size();
}

std::size_t Inventory::dataCentreCount() const
{
    return m_dataCentres.size();
}

std::optional<DataCentreIndex> Inventory::findDataCentre(const base::DataCentreId &id) const
{
    const auto found = m_dataCentreById.find(id);
    return found == m_dataCentreById.end() ? std::nullopt : std::optional(found->second);
}

DataCentreIndex Inventory::internDataCentre(const base::DataCentreId &id)
{
    const auto [entry, isNew] = m_dataCentreById.try_emplace(id, DataCentreIndex(m_dataCentres.size()));
    if (isNew) {
        m_dataCentres.emplace_back().id = id;
    }
    return entry->second;
}

void Inventory::setMode(DataCentreIndex dataCentre, wire::DataCentreMode mode)
{
    m_dataCentres[position(dataCentre)].mode = mode;
}

std::uint64_t Inventory::growthVersion(View view) const
{
    return m_growthVersions[position(view)];
}

std::uint64_t Inventory::totalsVersion() const
{
    return m_totalsVersion;
}

Placement Inventory::placement(const Shares &shares) const
{
    Placement members;
    for (const Share &share : shares) {
        members.insert(members.end(), share.members, m_workers[position(share.worker)].lastUpdate.id);
    }
    return members;
}

Resources &Inventory::accountOf(Worker &worker, Account account)
{
    switch (account) {
    case Account::Used:
        return worker.used;
    case Account::Firm:
        return worker.firm;
    case Account::Reserved:
        return worker.reserved;
    case Account::Held:
        return worker.held;
    }
    return worker.used;
}

RackIndex Inventory::internRack(const base::RackId &id, DataCentreIndex dataCentre)
{
    const std::string path = m_dataCentres[position(dataCentre)].id.value() + '/' + id.value();
    const auto [entry, isNew] = m_rackByPath.try_emplace(path, RackIndex(m_racks.size()));
    if (isNew) {
        Rack &rack = m_racks.emplace_back();
        rack.id = id;
        rack.dataCentre = dataCentre;
        m_dataCentres[position(dataCentre)].racks.push_back(entry->second);
    }
    return entry->second;
}

void Inventory::reindex(WorkerIndex index)
{
    const Worker &worker = m_workers[position(index)];
    for (const View view : AllViews) {
        reindex(index, view, isIndexedIn(worker, view));
    }
}

void Inventory::reindex(WorkerIndex index, View view, bool isIndexed)
{
    Worker &worker = m_workers[position(index)];
    Rack &rack = m_racks[position(worker.rack)];
    DataCentreIndexes &indexes = m_dataCentres[position(worker.dataCentre)].views[position(view)];
    auto &key = worker.indexKeys[position(view)];
    Resources &indexed = worker.indexedAvailable[position(view)];
    const Resources updated = isIndexed ? nonNegative(available(index, view)) : Resources{};
    if (key.has_value() == isIndexed && indexed == updated) {
        return;
    }
    if (key) {
        indexes.workers[key->first].erase({key->second, index});
        key.reset();
    }
    if (isIndexed) {
        const auto bucket = static_cast<std::uint32_t>(worker.total.accelerators == 0 ? 0 : updated.accelerators + 1);
        if (indexes.workers.size() <= bucket) {
            indexes.workers.resize(bucket + 1);
        }
        indexes.workers[bucket].insert({updated.cores, index});
        key = {bucket, updated.cores};
    }
    if (hasGrown(indexed, updated)) {
        ++m_growthVersions[position(view)];
    }
    Resources &rackAvailable = rack.available[position(view)];
    indexes.racks.erase({rackAvailable.accelerators, rackAvailable.cores, worker.rack});
    rackAvailable += updated - indexed;
    indexes.racks.insert({rackAvailable.accelerators, rackAvailable.cores, worker.rack});
    indexes.available += updated - indexed;
    indexed = updated;
}

} // namespace plantainfork::scheduling
