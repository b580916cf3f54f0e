#include "ctl/duration.h"

#include <array>
#include <charconv>
#include <cstdint>

namespace plantainfork::ctl
{

namespace
{

using namespace std::chrono_literals;

struct Unit {
    std::string_view suffix;
    std::chrono::milliseconds length;
};

constexpr std::array Units{Unit{"ms", 1ms}, Unit{"s", 1s}, Unit{"m", 1min}, Unit{"h", 1h}, Unit{"d", 24h}};
constexpr std::chrono::milliseconds LongestDuration = 24h * 3650;

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    std::uint64_t count = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || rest == text.data()) {
        return std::nullopt;
    }
    const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
    for (const auto &unit : Units) {
        if (unit.suffix == suffix && count <= static_cast<std::uint64_t>(LongestDuration / unit.length)) {
            return unit.length * static_cast<std::int64_t>(count);
        }
    }
    return std::nullopt;
}

} // namespace plantainfork::ctl
