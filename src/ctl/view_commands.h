/** Commands that show the fleet: members, status, capacity and the history of its configuration. */
#pragma once

#include "ctl/session.h"

namespace plantainfork::ctl
{

ExitCode showStatus(const Session &session);
ExitCode showMembers(const Session &session);
ExitCode showCapacity(const Session &session);
ExitCode showConfigHistory(const Session &session);
ExitCode showConfigDiff(const Session &session);

} // namespace plantainfork::ctl
