/**
 * Explains how a task may have run twice: which runs of a job were given up as lost and started again elsewhere, what the leader knew when it
 * gave them up, and what the lines of their hosts' agents say of the executor afterwards.
 */
#pragma once

#include <string>

#include "explain/timeline.h"

namespace plantainfork::explain
{

/** Empty when no lost run was started again. Lines of earlier versions, which lack the attempt, are left out. */
[[nodiscard]] std::string lostRunsText(const Timeline &timeline);

} // namespace plantainfork::explain
