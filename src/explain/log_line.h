/** Lines of the daemons' logs, read back into fields. */
#pragma once

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainfork::explain
{

/** Wall-clock time of the machine that wrote the line; machines may differ. */
using LogTime = std::chrono::sys_time<std::chrono::microseconds>;

struct LogLine {
    LogTime time;
    std::string event;
    /** All other fields, by name. */
    std::map<std::string, std::string> fields;

    /** Empty when the line has no such field. */
    [[nodiscard]] const std::string &field(const std::string &name) const;
    /** Empty when the line has no such field, or it is no number. */
    [[nodiscard]] std::optional<std::int64_t> number(const std::string &name) const;
};

/** Reads one line; whatever stands before its time, such as a collector's prefix, is left out. Empty: it is cut or no line of a log. */
[[nodiscard]] std::optional<LogLine> parseLine(std::string_view text);

struct ReadLog {
    std::vector<LogLine> lines;
    /** Lines that could not be read, by "SOURCE:LINE". */
    std::vector<std::string> unreadable;
};

/** Appends all lines of one log; `source` names it. Empty lines are passed over. */
void readLog(std::istream &input, const std::string &source, ReadLog &log);

} // namespace plantainfork::explain
