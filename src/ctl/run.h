/** The tool as a function, for its main() and its tests. */
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "ctl/exit_code.h"

namespace plantainfork::ctl
{

/** Runs one command line. `defaultEntries` is the value of PLANTAINFORK_ENTRIES. */
ExitCode run(const std::vector<std::string> &arguments, const std::string &defaultEntries, std::ostream &output, std::ostream &messages);

} // namespace plantainfork::ctl
