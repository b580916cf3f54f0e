#include "scheduling/guarantees.h"

#include <algorithm>
#include <cassert>
#include <chrono>

#include "scheduling/placer.h"
#include "scheduling/shape_text.h"

namespace plantainfork::scheduling
{

namespace
{

/** Minimum time between two repacks while some slots have no reserved place. */
constexpr std::chrono::seconds RepackInterval{1};

std::vector<DataCentreIndex> internDataCentres(Inventory &inventory, const std::vector<base::DataCentreId> &ids)
{
    std::vector<DataCentreIndex> indexes;
    indexes.reserve(ids.size());
    for (const base::DataCentreId &id : ids) {
        indexes.push_back(inventory.internDataCentre(id));
    }
    return indexes;
}

} // namespace

Guarantees::Guarantees(Inventory &inventory)
    : m_inventory(inventory)
{
}

void Guarantees::configure(const wire::Config &config)
{
    absl::btree_map<GrantKey, bool> present;
    for (const auto &[name, workspace] : config.workspaces) {
        if (workspace.removed) {
            continue;
        }
        for (const wire::Grant &grant : workspace.value.grants) {
            const auto found = config.templates.find(grant.templateId);
            if (found == config.templates.end() || found->second.removed || found->second.value.kind != wire::WorkKind::Job) {
                continue;
            }
            const wire::Shape &shape = grant.shape.members != 0 ? grant.shape : found->second.value.shape;
            const GrantKey key(name, grant.templateId);
            setGrant(key, shape, internDataCentres(m_inventory, grant.dataCentres), grant.guaranteedGangs);
            present[key] = true;
        }
    }
    for (auto entry = m_grants.begin(); entry != m_grants.end();) {
        if (present.contains(entry->first)) {
            ++entry;
            continue;
        }
        resize(entry->second, entry->first, 0);
        entry = m_grants.erase(entry);
    }
}

void Guarantees::setGrant(const GrantKey &key, const wire::Shape &shape, std::vector<DataCentreIndex> dataCentres, std::uint32_t gangs)
{
    Grant &grant = m_grants[key];
    const bool isChanged = grant.shape != shape || grant.dataCentres != dataCentres;
    grant.shape = shape;
    grant.dataCentres = std::move(dataCentres);
    if (isChanged) {
        // Occupied slots take the new shape in vacate().
        for (const SlotIndex index : grant.slots) {
            if (at(index).occupant == nullptr) {
                dropReservedPlace(index);
                refreshFromGrant(index);
            }
        }
    }
    resize(grant, key, gangs);
}

void Guarantees::resize(Grant &grant, const GrantKey &key, std::uint32_t gangs)
{
    while (grant.slots.size() < gangs) {
        grant.slots.push_back(allocateSlot(key));
        refreshFromGrant(grant.slots.back());
    }
    // Move idle slots to the end, so that they are retired first.
    std::stable_partition(grant.slots.begin(), grant.slots.end(), [this](SlotIndex index) {
        return at(index).occupant != nullptr;
    });
    while (grant.slots.size() > gangs) {
        retire(grant.slots.back());
        grant.slots.pop_back();
    }
}

SlotIndex Guarantees::allocateSlot(const GrantKey &key)
{
    SlotIndex index = SlotIndex(m_slots.size());
    if (m_unusedSlots.empty()) {
        m_slots.emplace_back();
    } else {
        index = m_unusedSlots.back();
        m_unusedSlots.pop_back();
    }
    at(index) = Slot{};
    at(index).grant = key;
    return index;
}

void Guarantees::retire(SlotIndex index)
{
    Slot &slot = at(index);
    slot.isRetired = true;
    if (slot.occupant == nullptr) {
        dropReservedPlace(index);
        m_unusedSlots.push_back(index);
    }
}

/** Gives an idle slot without a reserved place the current shape and data centres of its grant. */
void Guarantees::refreshFromGrant(SlotIndex index)
{
    Slot &slot = at(index);
    assert(slot.reservedPlace.empty());
    const Grant &grant = m_grants[slot.grant];
    slot.shape = grant.shape;
    slot.dataCentres = grant.dataCentres;
    m_mayLackPlaces = true;
    m_searchedGrowthVersion.reset();
}

void Guarantees::dropReservedPlace(SlotIndex index)
{
    Slot &slot = at(index);
    m_inventory.subtract(Account::Reserved, slot.reservedPlace, perMember(slot.shape));
    slot.reservedPlace.clear();
    m_mayLackPlaces = true;
    m_searchedGrowthVersion.reset();
}

void Guarantees::setReservedPlace(SlotIndex index, Shares reservedPlace)
{
    Slot &slot = at(index);
    assert(slot.reservedPlace.empty());
    slot.reservedPlace = std::move(reservedPlace);
    m_inventory.add(Account::Reserved, slot.reservedPlace, perMember(slot.shape));
}

void Guarantees::dropClosedReservedPlaces()
{
    for (const SlotIndex index : allIdleSlots()) {
        if (!at(index).reservedPlace.empty() && !areWorkersOpen(at(index).reservedPlace)) {
            dropReservedPlace(index);
        }
    }
}

bool Guarantees::findReservedPlace(SlotIndex index)
{
    const Slot &slot = at(index);
    auto place = findPlace(m_inventory, {slot.shape, View::Unreserved, PlacementRule::BestFit, slot.dataCentres});
    if (!place) {
        return false;
    }
    setReservedPlace(index, std::move(*place));
    return true;
}

std::vector<GrantKey> Guarantees::findReservedPlaces(runtime::Instant now)
{
    if (!m_mayLackPlaces || m_searchedGrowthVersion == m_inventory.growthVersion(View::Unreserved)) {
        return {};
    }
    std::vector<SlotIndex> unplaced = slotsWithoutPlace();
    sortLargestFirst(unplaced);
    std::size_t failed = 0;
    for (const SlotIndex index : unplaced) {
        failed += findReservedPlace(index) ? 0 : 1;
    }
    const bool mayRepack = failed > 0 && now >= m_nextRepack;
    if (mayRepack) {
        repack(failed);
        m_nextRepack = now + RepackInterval;
    }
    m_mayLackPlaces = failed > 0;
    m_searchedGrowthVersion = m_inventory.growthVersion(View::Unreserved);
    if (failed > 0 && !mayRepack) {
        // Search again, and repack, once the interval has passed.
        m_searchedGrowthVersion.reset();
    }
    std::vector<GrantKey> newlyReserved;
    for (const SlotIndex index : unplaced) {
        if (!at(index).reservedPlace.empty()) {
            newlyReserved.push_back(at(index).grant);
        }
    }
    return newlyReserved;
}

/**
 * Searches for reserved places for all idle slots from scratch, largest first. Restores the previous ones unless
 * fewer slots than before are left without a reserved place.
 */
void Guarantees::repack(std::size_t failedBefore)
{
    std::vector<SlotIndex> slots = allIdleSlots();
    sortLargestFirst(slots);
    std::vector<Shares> previous;
    for (const SlotIndex index : slots) {
        previous.push_back(at(index).reservedPlace);
        dropReservedPlace(index);
    }
    std::size_t failed = 0;
    for (const SlotIndex index : slots) {
        failed += findReservedPlace(index) ? 0 : 1;
    }
    if (failed < failedBefore) {
        return;
    }
    for (const SlotIndex index : slots) {
        dropReservedPlace(index);
    }
    for (std::size_t position = 0; position < slots.size(); ++position) {
        setReservedPlace(slots[position], std::move(previous[position]));
    }
}

std::vector<SlotIndex> Guarantees::allIdleSlots() const
{
    std::vector<SlotIndex> found;
    for (const auto &[key, grant] : m_grants) {
        for (const SlotIndex index : grant.slots) {
            if (slot(index).occupant == nullptr) {
                found.push_back(index);
            }
        }
    }
    return found;
}

std::vector<SlotIndex> Guarantees::slotsWithoutPlace() const
{
    std::vector<SlotIndex> found = allIdleSlots();
    std::erase_if(found, [this](SlotIndex index) {
        return !slot(index).reservedPlace.empty();
    });
    return found;
}

void Guarantees::sortLargestFirst(std::vector<SlotIndex> &slots) const
{
    std::stable_sort(slots.begin(), slots.end(), [this](SlotIndex left, SlotIndex right) {
        const Slot &a = slot(left);
        const Slot &b = slot(right);
        // Slots that are restricted to certain data centres come first.
        const bool isOneRestricted = a.dataCentres.empty() != b.dataCentres.empty();
        return isOneRestricted ? b.dataCentres.empty() : sizeInAccelerators(a.shape) > sizeInAccelerators(b.shape);
    });
}

std::vector<SlotIndex> Guarantees::idleSlots(const GrantKey &grant, const wire::Shape &shape) const
{
    const auto found = m_grants.find(grant);
    if (found == m_grants.end()) {
        return {};
    }
    std::vector<SlotIndex> slots;
    for (const SlotIndex index : found->second.slots) {
        const Slot &candidate = slot(index);
        if (candidate.occupant == nullptr && !candidate.reservedPlace.empty() && coversShape(candidate.shape, shape)) {
            slots.push_back(index);
        }
    }
    return slots;
}

std::vector<SlotIndex> Guarantees::interchangeableSlots(SlotIndex index) const
{
    const Slot &wanted = slot(index);
    std::vector<SlotIndex> slots{index};
    for (const auto &[key, grant] : m_grants) {
        if (grant.shape != wanted.shape || grant.dataCentres != wanted.dataCentres) {
            continue;
        }
        for (const SlotIndex other : grant.slots) {
            const Slot &candidate = slot(other);
            const bool isSame = candidate.shape == wanted.shape && candidate.dataCentres == wanted.dataCentres;
            if (other != index && candidate.occupant == nullptr && !candidate.reservedPlace.empty() && isSame) {
                slots.push_back(other);
            }
        }
    }
    return slots;
}

void Guarantees::swapReservedPlaces(SlotIndex left, SlotIndex right)
{
    assert(at(left).shape == at(right).shape && at(left).occupant == nullptr && at(right).occupant == nullptr);
    std::swap(at(left).reservedPlace, at(right).reservedPlace);
}

void Guarantees::moveReservedPlace(SlotIndex index, Shares reservedPlace)
{
    dropReservedPlace(index);
    setReservedPlace(index, std::move(reservedPlace));
}

Shares Guarantees::sharesWithinReservedPlace(SlotIndex index, const wire::Shape &shape) const
{
    Shares shares;
    std::uint32_t missing = shape.members;
    for (const Share &share : slot(index).reservedPlace) {
        const std::uint32_t members = std::min(share.members, missing);
        if (members > 0) {
            shares.push_back({share.worker, members});
            missing -= members;
        }
    }
    return shares;
}

void Guarantees::occupy(SlotIndex index, Job *job)
{
    assert(at(index).occupant == nullptr);
    at(index).occupant = job;
    m_inventory.subtract(Account::Reserved, job->shares, job->memberResources());
    m_inventory.add(Account::Firm, job->shares, job->memberResources());
}

void Guarantees::vacate(SlotIndex index)
{
    Slot &slot = at(index);
    m_inventory.subtract(Account::Firm, slot.occupant->shares, slot.occupant->memberResources());
    m_inventory.add(Account::Reserved, slot.occupant->shares, slot.occupant->memberResources());
    slot.occupant = nullptr;
    if (slot.isRetired) {
        dropReservedPlace(index);
        m_unusedSlots.push_back(index);
        return;
    }
    const Grant &grant = m_grants[slot.grant];
    if (grant.shape != slot.shape || grant.dataCentres != slot.dataCentres || !areWorkersOpen(slot.reservedPlace)) {
        dropReservedPlace(index);
        refreshFromGrant(index);
    }
}

bool Guarantees::adopt(SlotIndex index, Job *job)
{
    Slot &slot = at(index);
    if (slot.shape != job->spec.shape || job->shares.empty() || !areWorkersOpen(job->shares)) {
        return false;
    }
    const DataCentreIndex dataCentre = m_inventory.worker(job->shares.front().worker).dataCentre;
    const auto &allowed = slot.dataCentres;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), dataCentre) == allowed.end()) {
        return false;
    }
    Shares previous = slot.reservedPlace;
    dropReservedPlace(index);
    const bool fits = std::all_of(job->shares.begin(), job->shares.end(), [&](const Share &share) {
        return m_inventory.available(share.worker, View::Unreserved).covers(job->memberResources() * share.members);
    });
    if (!fits) {
        setReservedPlace(index, std::move(previous));
        return false;
    }
    setReservedPlace(index, job->shares);
    occupy(index, job);
    return true;
}

void Guarantees::evictReservedPlaces(const Shares &shares)
{
    const auto isOverdrawn = [this](const Share &share) {
        return !m_inventory.available(share.worker, View::Unreserved).covers({});
    };
    for (const SlotIndex index : allIdleSlots()) {
        const Shares &reservedPlace = at(index).reservedPlace;
        const bool isConflicting = std::any_of(reservedPlace.begin(), reservedPlace.end(), [&](const Share &own) {
            return isOverdrawn(own) && std::any_of(shares.begin(), shares.end(), [&](const Share &share) {
                       return share.worker == own.worker;
                   });
        });
        if (isConflicting) {
            dropReservedPlace(index);
        }
    }
}

const Slot &Guarantees::slot(SlotIndex index) const
{
    return m_slots[static_cast<std::size_t>(index)];
}

Slot &Guarantees::at(SlotIndex index)
{
    return m_slots[static_cast<std::size_t>(index)];
}

std::vector<ReservedPlace> Guarantees::reservedPlaces() const
{
    std::vector<ReservedPlace> places;
    for (const SlotIndex index : allIdleSlots()) {
        const Slot &reserved = slot(index);
        if (!reserved.reservedPlace.empty()) {
            places.push_back({reserved.grant.first, reserved.grant.second, reserved.shape, m_inventory.placement(reserved.reservedPlace)});
        }
    }
    return places;
}

std::vector<UnmetGuarantee> Guarantees::unmet() const
{
    std::vector<UnmetGuarantee> found;
    for (const SlotIndex index : slotsWithoutPlace()) {
        const Slot &unplaced = slot(index);
        if (!found.empty() && found.back().workspace == unplaced.grant.first && found.back().templateId == unplaced.grant.second) {
            ++found.back().gangs;
        } else {
            found.push_back({unplaced.grant.first, unplaced.grant.second, unplaced.shape, 1, unmetReason(unplaced)});
        }
    }
    return found;
}

std::string Guarantees::unmetReason(const Slot &unplaced) const
{
    std::string out;
    for (std::size_t position = 0; position < m_inventory.dataCentreCount(); ++position) {
        const auto index = DataCentreIndex(position);
        const auto &allowed = unplaced.dataCentres;
        const bool isAllowed = allowed.empty() || std::find(allowed.begin(), allowed.end(), index) != allowed.end();
        if (isAllowed && m_inventory.dataCentre(index).mode == wire::DataCentreMode::Out) {
            out += (out.empty() ? "" : ", ") + m_inventory.dataCentre(index).id.value();
        }
    }
    std::string reason = "no room for " + describe(unplaced.shape) + " beside the other guarantees and work that can't be taken back";
    return out.empty() ? reason : reason + "; out of service: " + out;
}

std::vector<wire::Shape> Guarantees::shapes() const
{
    std::vector<wire::Shape> found;
    for (const auto &[key, grant] : m_grants) {
        if (!grant.slots.empty()) {
            found.push_back(grant.shape);
        }
    }
    return found;
}

bool Guarantees::isGranted(const GrantKey &grant) const
{
    const auto found = m_grants.find(grant);
    return found != m_grants.end() && !found->second.slots.empty();
}

bool Guarantees::areWorkersOpen(const Shares &shares) const
{
    return std::all_of(shares.begin(), shares.end(), [this](const Share &share) {
        return m_inventory.worker(share.worker).use == WorkerUse::Open;
    });
}

} // namespace plantainfork::scheduling
