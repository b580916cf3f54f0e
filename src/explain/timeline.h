/**
 * All that happened to one job, from several processes' logs: its own lines, and the changes of belief meanwhile at the processes that
 * had to do with it. Ordered by time, and never an effect before its cause, as machines' clocks differ.
 */
#pragma once

#include <string>
#include <vector>

#include "explain/log_line.h"

namespace plantainfork::explain
{

struct Timeline {
    std::string job;
    std::vector<LogLine> lines;
};

[[nodiscard]] Timeline gather(const std::vector<LogLine> &lines, const std::string &job);

/** The lines of the job's own with that event. */
[[nodiscard]] std::vector<const LogLine *> ownLines(const Timeline &timeline, const std::string &event);

/** One line each, with the time since the first. */
[[nodiscard]] std::string describe(const Timeline &timeline);

} // namespace plantainfork::explain
