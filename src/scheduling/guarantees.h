/**
 * Maintains the guarantee invariant. Each guaranteed gang that neither runs nor is unmet has a
 * reserved place: the workers on which capacity is reserved for it. Reserved places never overlap
 * each other or gangs that can't be preempted (firm capacity), so all of these gangs can be placed at
 * the same time by preempting borrowers only.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>

#include "scheduling/inventory.h"
#include "scheduling/job.h"
#include "scheduling/model.h"

namespace plantainfork::scheduling
{

using GrantKey = std::pair<base::WorkspaceId, base::TemplateId>;

/** One of the guaranteed gangs of a grant. It is idle while no running gang occupies it. */
struct Slot {
    GrantKey grant;
    wire::Shape shape;
    /** Data centres in which the gang may be placed; empty means all. */
    std::vector<DataCentreIndex> dataCentres;
    /** Shares of workers that are reserved for the gang; empty when none were found. The occupant's shares are a part of them. */
    Shares reservedPlace;
    Job *occupant = nullptr;
    /** No longer configured; the slot is freed when its occupant ends. */
    bool isRetired = false;
};

class Guarantees
{
public:
    explicit Guarantees(Inventory &inventory);

    /** Applies the grants of a configuration. Unchanged grants keep their reserved places. */
    void configure(const wire::Config &config);
    /** Drops the reserved place of each idle slot that includes a worker which is not open for new work. */
    void dropClosedReservedPlaces();
    /** Searches for reserved places for idle slots without one. Returns the grants of the slots that got one. */
    std::vector<GrantKey> findReservedPlaces(runtime::Instant now);

    /** Idle slots of the grant that have a reserved place and whose shape covers the given one. */
    [[nodiscard]] std::vector<SlotIndex> idleSlots(const GrantKey &grant, const wire::Shape &shape) const;
    /** The slot, then the other idle slots that have a reserved place and the same shape and data centres, so that they can swap places. */
    [[nodiscard]] std::vector<SlotIndex> interchangeableSlots(SlotIndex slot) const;
    void swapReservedPlaces(SlotIndex left, SlotIndex right);
    /** Replaces the slot's reserved place. The shares must have room for the whole shape in the Unreserved view. */
    void moveReservedPlace(SlotIndex slot, Shares reservedPlace);
    /** The part of the slot's reserved place that a gang of the shape uses. The slot's shape must cover it. */
    [[nodiscard]] Shares sharesWithinReservedPlace(SlotIndex slot, const wire::Shape &shape) const;

    /** Makes the gang the occupant of the slot and moves its capacity from Reserved to Firm. */
    void occupy(SlotIndex slot, Job *job);
    /** Undoes occupy(). */
    void vacate(SlotIndex slot);
    /**
     * Makes a gang that runs outside the slot's reserved place its occupant, and its shares the reserved place.
     * Returns false, leaving the reserved place as it was, if its capacity can't become firm.
     */
    bool adopt(SlotIndex slot, Job *job);
    /** Drops the reserved places of idle slots that include a worker of the shares whose firm and reserved capacity exceed its total. */
    void evictReservedPlaces(const Shares &shares);

    [[nodiscard]] const Slot &slot(SlotIndex index) const;
    [[nodiscard]] std::vector<ReservedPlace> reservedPlaces() const;
    [[nodiscard]] std::vector<UnmetGuarantee> unmet() const;
    /** Shapes of all grants that have slots. */
    [[nodiscard]] std::vector<wire::Shape> shapes() const;
    /** Whether the grant has guaranteed gangs, with or without a reserved place. */
    [[nodiscard]] bool isGranted(const GrantKey &grant) const;

private:
    struct Grant {
        wire::Shape shape;
        std::vector<DataCentreIndex> dataCentres;
        std::vector<SlotIndex> slots;
    };

    [[nodiscard]] Slot &at(SlotIndex index);
    void setGrant(const GrantKey &key, const wire::Shape &shape, std::vector<DataCentreIndex> dataCentres, std::uint32_t gangs);
    void resize(Grant &grant, const GrantKey &key, std::uint32_t gangs);
    SlotIndex allocateSlot(const GrantKey &key);
    void retire(SlotIndex index);
    void refreshFromGrant(SlotIndex index);
    void dropReservedPlace(SlotIndex index);
    void setReservedPlace(SlotIndex index, Shares reservedPlace);
    bool findReservedPlace(SlotIndex index);
    [[nodiscard]] std::vector<SlotIndex> slotsWithoutPlace() const;
    [[nodiscard]] std::vector<SlotIndex> allIdleSlots() const;
    void sortLargestFirst(std::vector<SlotIndex> &slots) const;
    void repack(std::size_t failedBefore);
    [[nodiscard]] bool areWorkersOpen(const Shares &shares) const;
    [[nodiscard]] std::string unmetReason(const Slot &unplaced) const;

    Inventory &m_inventory;
    std::vector<Slot> m_slots;
    std::vector<SlotIndex> m_unusedSlots;
    absl::btree_map<GrantKey, Grant> m_grants;
    /** Whether idle slots without a reserved place may exist. */
    bool m_mayLackPlaces = false;
    /** The Unreserved view's growthVersion() at the last complete search; unset when a new search is needed. */
    std::optional<std::uint64_t> m_searchedGrowthVersion;
    /** Earliest time of the next repack(). */
    runtime::Instant m_nextRepack;
};

} // namespace plantainfork::scheduling
