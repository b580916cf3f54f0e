/** JSON response bodies of the status requests: members, revisions in force per data centre, and the state of an entry or agent. */
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "membership/member_view.h"
#include "wire/config_messages.h"

namespace plantainfork::membership
{

struct AgentStatus {
    base::MemberId id;
    base::Revision revision;
    bool hasLivePermit = false;
    bool isConnected = false;
    std::size_t subtreeSize = 0;
};

/** Configuration state of one data centre, as known to this entry. */
struct DataCentreStatus {
    base::DataCentreId name;
    base::RegionId region;
    std::size_t memberCount = 0;
    /** Lowest revision last reported by any of its members. */
    base::Revision lowestRevision;
    /**
     * Members that are below the newest revision, whose relay reports a lower one for its subtree, or that aren't
     * reporting; at most MaxLaggingMembers.
     */
    std::vector<base::MemberId> lagging;
    /** Whether all of its members are reporting, so that their permits are renewed from this entry's configuration. */
    bool isReporting = true;
};

constexpr std::size_t MaxLaggingMembers = 20;

/** Input for deciding whether a revision is in force in each data centre. */
struct InForceStatus {
    base::Revision revision;
    /** Whether all permits based on an older revision have expired. */
    bool haveOlderPermitsExpired = false;
    std::vector<DataCentreStatus> dataCentres;
};

struct EntryStatus {
    base::MemberId id;
    base::Incarnation incarnation;
    bool isReady = false;
    bool isLeaving = false;
    base::Revision revision;
    /** Time since the store last confirmed this entry's configuration; empty before the first confirmation. */
    std::optional<std::chrono::milliseconds> storeAge;
    /** Lifetime of a permit; a confirmation by the store that is older is no longer valid. */
    std::chrono::milliseconds permitLifetime{0};
    /** Whether this entry can issue permits now, based on the store or on a peer's permit. */
    bool isCurrent = false;
    std::vector<DataCentreStatus> dataCentres;
};

std::string agentStatusJson(const AgentStatus &status);
std::string entryStatusJson(const EntryStatus &status, const wire::Config &config);
std::string inForceJson(const InForceStatus &inForce);
std::string membersJson(const MemberView &view);

} // namespace plantainfork::membership
