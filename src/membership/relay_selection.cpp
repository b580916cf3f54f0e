#include "membership/relay_selection.h"

#include <algorithm>
#include <string_view>

namespace plantainfork::membership
{

namespace
{

/** 64-bit FNV-1a with a final mixing step. Unlike std::hash, it gives the same value on every machine. */
std::uint64_t stableHash(std::string_view first, std::string_view second)
{
    constexpr std::uint64_t Offset = 14695981039346656037ULL;
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t hash = Offset;
    for (const std::string_view part : {first, std::string_view("/"), second}) {
        for (const char character : part) {
            hash = (hash ^ static_cast<unsigned char>(character)) * Prime;
        }
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace

RelaySelection::RelaySelection(const MemberView &view, unsigned fanOut)
{
    std::size_t entryCount = 0;
    std::size_t agentCount = 0;
    std::map<base::DataCentreId, std::vector<const wire::MemberRecord *>> byDataCentre;
    for (const auto &[id, record] : view.members) {
        if (record.role == wire::MemberRole::Entry) {
            ++entryCount;
            continue;
        }
        ++agentCount;
        if (record.state == wire::MemberState::Alive) {
            byDataCentre[record.dataCentre].push_back(&record);
        }
    }
    if (agentCount <= std::max<std::size_t>(entryCount, 1) * fanOut) {
        return;
    }
    for (auto &[dataCentre, records] : byDataCentre) {
        std::sort(records.begin(), records.end(), [](const wire::MemberRecord *a, const wire::MemberRecord *b) {
            return stableHash(a->id.value(), "") > stableHash(b->id.value(), "");
        });
        const std::size_t count = (records.size() + fanOut - 1) / fanOut;
        auto &relays = m_relays[dataCentre];
        for (std::size_t i = 0; i < count; ++i) {
            relays.push_back({records[i]->id, records[i]->rpc});
        }
    }
}

std::optional<wire::Address> RelaySelection::relayFor(const base::MemberId &agent, const base::DataCentreId &dataCentre) const
{
    const auto found = m_relays.find(dataCentre);
    if (found == m_relays.end()) {
        return std::nullopt;
    }
    // Rendezvous hashing: if the set of relays changes, only the agents of an added or removed relay move.
    const Relay *best = nullptr;
    std::uint64_t highest = 0;
    for (const auto &relay : found->second) {
        if (relay.id == agent) {
            return std::nullopt;
        }
        const std::uint64_t hash = stableHash(agent.value(), relay.id.value());
        if (!best || hash > highest) {
            best = &relay;
            highest = hash;
        }
    }
    return best ? std::optional(best->rpc) : std::nullopt;
}

std::size_t RelaySelection::size() const
{
    std::size_t count = 0;
    for (const auto &[dataCentre, relays] : m_relays) {
        count += relays.size();
    }
    return count;
}

} // namespace plantainfork::membership
