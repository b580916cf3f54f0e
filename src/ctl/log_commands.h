/** Commands that read the daemons' logs and need no entry. */
#pragma once

#include "ctl/session.h"

namespace plantainfork::ctl
{

/** Prints a job's timeline and what decided. Logs that can't be read and lines that are cut are named, and the rest is used. */
ExitCode explainLogs(const Session &session);

} // namespace plantainfork::ctl
