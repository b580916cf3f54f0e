/**
 * Selects the agents that act as relays and assigns agents to them. Both are pure functions of the member view:
 * no election and no stored state is needed, and entries with the same view make the same selection.
 */
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "membership/member_view.h"

namespace plantainfork::membership
{

class RelaySelection
{
public:
    RelaySelection() = default;
    /** Selects one relay per `fanOut` agents of a data centre if there are more agents than the entries accept as children. */
    RelaySelection(const MemberView &view, unsigned fanOut);

    /** Returns the relay that an agent should use as its parent, or nothing if it should use an entry. */
    [[nodiscard]] std::optional<wire::Address> relayFor(const base::MemberId &agent, const base::DataCentreId &dataCentre) const;
    /** Number of relays in all data centres. */
    [[nodiscard]] std::size_t size() const;

private:
    struct Relay {
        base::MemberId id;
        wire::Address rpc;
    };

    std::map<base::DataCentreId, std::vector<Relay>> m_relays;
};

} // namespace plantainfork::membership
