/** Checks whether the known workers can meet the guarantees of a proposed configuration. */
#pragma once

#include "base/findings.h"
#include "membership/member_view.h"
#include "wire/config_messages.h"

namespace plantainfork::daemon
{

/**
 * Returns the guarantees that can't be met in the proposed configuration, without those that can't be met in the
 * present one either: they are unmet because workers have failed, and must not block other changes. Returns nothing
 * while no worker is known.
 */
[[nodiscard]] base::Findings newlyUnmetGuarantees(const wire::Config &present, const wire::Config &proposed, const membership::MemberView &view);

} // namespace plantainfork::daemon
