/** The executor or worker beside an agent, as it announced itself last. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "runtime/clock.h"
#include "wire/gang_messages.h"
#include "wire/member_messages.h"

namespace plantainfork::targets
{

enum class TargetState {
    /** Nothing has announced itself, or it has been silent for too long. */
    Absent,
    Present,
    /** Said that it is leaving: what it holds finishes, nothing new is given to it. */
    Leaving,
};

struct Target {
    TargetState state = TargetState::Absent;
    wire::TargetOffer offer;
    /** Where the agent reaches it. */
    wire::Address http;
    runtime::Instant lastAnnounced;
    /** Workers: tasks as last reported. */
    std::vector<wire::TaskStatus> tasks;
};

} // namespace plantainfork::targets
