/** Commands on operators' values: templates, workspaces and data centres. */
#pragma once

#include "ctl/session.h"

namespace plantainfork::ctl
{

ExitCode setValue(const Session &session);
ExitCode showValue(const Session &session);
ExitCode listValues(const Session &session);
ExitCode removeValue(const Session &session);
ExitCode setDataCentreMode(const Session &session);

} // namespace plantainfork::ctl
