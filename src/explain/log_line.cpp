#include "explain/log_line.h"

#include <charconv>
#include <cstdio>
#include <utility>

namespace plantainfork::explain
{

namespace
{

constexpr std::string_view TimeField = "time=";

std::optional<LogTime> parseTime(const std::string &text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int micros = 0;
    if (std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%d.%6dZ", &year, &month, &day, &hour, &minute, &second, &micros) < 6) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month), std::chrono::day(day)};
    if (!date.ok()) {
        return std::nullopt;
    }
    return LogTime(std::chrono::sys_days(date)) + std::chrono::hours(hour) + std::chrono::minutes(minute) + std::chrono::seconds(second)
        + std::chrono::microseconds(micros);
}

/** Takes a quoted value off the front; empty when its closing quote is missing. */
std::optional<std::string> takeQuoted(std::string_view &rest)
{
    std::string value;
    for (std::size_t i = 1; i < rest.size(); ++i) {
        if (rest[i] == '"') {
            rest.remove_prefix(i + 1);
            return value;
        }
        if (rest[i] == '\\' && i + 1 < rest.size()) {
            ++i;
            value += rest[i] == 'n' ? '\n' : rest[i];
        } else {
            value += rest[i];
        }
    }
    return std::nullopt;
}

std::string takePlain(std::string_view &rest)
{
    const auto end = std::min(rest.find(' '), rest.size());
    std::string value(rest.substr(0, end));
    rest.remove_prefix(end);
    return value;
}

} // namespace

const std::string &LogLine::field(const std::string &name) const
{
    static const std::string None;
    const auto found = fields.find(name);
    return found == fields.end() ? None : found->second;
}

std::optional<std::int64_t> LogLine::number(const std::string &name) const
{
    const std::string &text = field(name);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() ? std::optional(value) : std::nullopt;
}

std::optional<LogLine> parseLine(std::string_view text)
{
    const auto start = text.find(TimeField);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = text.substr(start);
    LogLine line;
    while (!rest.empty()) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        std::string name(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        std::optional<std::string> value = !rest.empty() && rest.front() == '"' ? takeQuoted(rest) : takePlain(rest);
        if (!value) {
            return std::nullopt;
        }
        line.fields[std::move(name)] = std::move(*value);
        rest.remove_prefix(std::min(rest.find_first_not_of(" \r"), rest.size()));
    }
    const auto time = parseTime(line.field("time"));
    if (!time || line.field("event").empty()) {
        return std::nullopt;
    }
    line.time = *time;
    line.event = line.field("event");
    line.fields.erase("time");
    line.fields.erase("event");
    return line;
}

void readLog(std::istream &input, const std::string &source, ReadLog &log)
{
    std::string text;
    for (std::size_t number = 1; std::getline(input, text); ++number) {
        if (text.find_first_not_of(" \r\t") == std::string::npos) {
            continue;
        }
        if (auto line = parseLine(text)) {
            log.lines.push_back(std::move(*line));
        } else {
            log.unreadable.push_back(source + ":" + std::to_string(number));
        }
    }
}

} // namespace plantainfork::explain
