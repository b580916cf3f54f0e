/** Commands of callers: jobs and requests. */
#pragma once

#include "ctl/session.h"

namespace plantainfork::ctl
{

ExitCode submitJob(const Session &session);
ExitCode showJob(const Session &session);
ExitCode explainJob(const Session &session);
ExitCode cancelJob(const Session &session);
ExitCode listJobs(const Session &session);
ExitCode sendRequest(const Session &session);

} // namespace plantainfork::ctl
