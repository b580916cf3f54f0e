/** Lines for changes of state, as key=value fields on standard output. Boost.Log stays within this folder. */
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainfork::log
{

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

struct Field {
    std::string name;
    std::string value;
};

/** Sets the lowest severity written and the fields that every line carries (role, member). */
void configure(Severity lowest, std::vector<Field> common);

/** Writes one line: time, severity, event and fields. `event` is a fixed phrase such as "member joined". */
void write(Severity severity, std::string_view event, const std::vector<Field> &fields = {});

} // namespace plantainfork::log
