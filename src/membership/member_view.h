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
    /** Members in state Alive or Leaving that have not timed out, by id. */
    std::map<base::MemberId, wire::MemberRecord> members;
    /** Agents of executors that accept new work, by service. */
    std::map<base::ServiceId, std::vector<wire::MemberRecord>> executors;
    /** Agents of workers that accept new work. */
    std::vector<wire::MemberRecord> workers;
};

} // namespace plantainfork::membership
