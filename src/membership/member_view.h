/** Immutable snapshot of all members known to a daemon, read without locking while requests are handled. */
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "base/ids.h"
#include "wire/member_messages.h"

namespace plantainfork::membership
{

struct MemberView {
    /** Members in state Alive or Leaving, by id, except those known only through an entry that is unreachable. */
    std::map<base::MemberId, wire::MemberRecord> members;
    /** Agents that accept new work and whose target is an executor, by service. */
    std::map<base::ServiceId, std::vector<wire::MemberRecord>> executors;
    /** Agents that accept new work and whose target is a worker. */
    std::vector<wire::MemberRecord> workers;
};

} // namespace plantainfork::membership
