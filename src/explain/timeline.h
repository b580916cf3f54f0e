/**
 * All that happened to one job or one caller's request, from several processes' logs: its own lines, and the changes of belief meanwhile
 * at the processes that had to do with it. Ordered by time, and never an effect before its cause, as machines' clocks differ.
 */
#pragma once

#include <string>
#include <vector>

#include "explain/log_line.h"

namespace plantainfork::explain
{

/** What an id names: callers choose the ids of jobs and of requests, and may give both the same. */
enum class Subject {
    Job,
    Request,
};

struct Timeline {
    Subject subject = Subject::Job;
    std::string id;
    std::vector<LogLine> lines;
};

/** Gathers for the job of that id, or for the request if no line is about such a job. */
[[nodiscard]] Timeline gather(const std::vector<LogLine> &lines, const std::string &id);

/** Whether the line is about the timeline's job or request, and no change of belief. */
[[nodiscard]] bool isOwn(const Timeline &timeline, const LogLine &line);

/** The lines of its own with that event. */
[[nodiscard]] std::vector<const LogLine *> ownLines(const Timeline &timeline, const std::string &event);

/** One line each, with the time since the first. */
[[nodiscard]] std::string describe(const Timeline &timeline);

} // namespace plantainfork::explain
