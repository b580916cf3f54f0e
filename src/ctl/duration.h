/** Durations on the command line: a whole number with a unit, such as "250ms", "90s", "15m", "2h" or "1d". */
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace plantainfork::ctl
{

/** Nothing unless the text is a number without sign, and one of the units ms, s, m, h, d; at most ten years. */
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

} // namespace plantainfork::ctl
