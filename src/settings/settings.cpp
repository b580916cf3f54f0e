#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <fstream>
#include <sstream>
#include <type_traits>
#include <utility>

#include "settings/address.h"
#include "settings/reader.h"

namespace plantainfork::settings
{

namespace
{

/** A size or count within a group of settings. */
template<typename Group, typename Value>
struct NumericSetting {
    std::string_view key;
    std::string_view unit;
    Value Group::*member;
    Range range;
};

using SizeSetting = NumericSetting<Bounds, std::size_t>;
using TimeSetting = NumericSetting<Timing, std::chrono::milliseconds>;
using CountSetting = NumericSetting<Settings, unsigned>;

constexpr std::int64_t KiB = 1024;
constexpr std::int64_t MiB = 1024 * KiB;
constexpr std::size_t LongestName = 64;
constexpr std::string_view BoundsPrefix = "bounds.";
constexpr std::string_view TimingPrefix = "timing.";

constexpr std::array TopSettings{
    CountSetting{"threads", "threads", &Settings::threads, {1, 64}},
    CountSetting{"fan_out", "children", &Settings::fanOut, {2, 256}},
};

constexpr std::array BoundsSettings{
    SizeSetting{"request_body_bytes", "bytes", &Bounds::requestBodyBytes, {KiB, 64 * MiB}},
    SizeSetting{"frame_bytes", "bytes", &Bounds::frameBytes, {64 * KiB, 128 * MiB}},
    SizeSetting{"connections", "connections", &Bounds::connections, {8, 65'536}},
    SizeSetting{"queued_requests", "requests", &Bounds::queuedRequests, {1, 1'000'000}},
    SizeSetting{"queued_jobs", "jobs", &Bounds::queuedJobs, {1, 1'000'000}},
};

constexpr std::array TimingSettings{
    TimeSetting{"sync_hold_ms", "ms", &Timing::syncHold, {20, 10'000}},
    TimeSetting{"permit_life_ms", "ms", &Timing::permitLife, {100, 5'000}},
    TimeSetting{"silence_limit_ms", "ms", &Timing::silenceLimit, {100, 30'000}},
    TimeSetting{"member_timeout_ms", "ms", &Timing::memberTimeout, {200, 60'000}},
    TimeSetting{"announce_timeout_ms", "ms", &Timing::announceTimeout, {100, 30'000}},
    TimeSetting{"gang_lease_ms", "ms", &Timing::gangLease, {100, 30'000}},
    TimeSetting{"scheduler_lease_ms", "ms", &Timing::schedulerLease, {200, 60'000}},
    TimeSetting{"drain_limit_ms", "ms", &Timing::drainLimit, {0, 3'600'000}},
};

std::int64_t toInteger(std::size_t value)
{
    return static_cast<std::int64_t>(value);
}

std::int64_t toInteger(std::chrono::milliseconds value)
{
    return value.count();
}

template<typename Group, typename List>
void readNumbers(TableReader &reader, Group &group, const List &list)
{
    for (const auto &setting : list) {
        if (const auto value = reader.integer(setting.key, setting.range)) {
            auto &member = group.*setting.member;
            member = std::remove_reference_t<decltype(member)>(*value);
        }
    }
}

template<typename Group, typename List>
void describeNumbers(std::vector<SettingDescription> &descriptions, std::string_view prefix, const List &list)
{
    const Group standard;
    for (const auto &setting : list) {
        descriptions.push_back({
            std::string(prefix) + std::string(setting.key),
            std::string(setting.unit),
            toInteger(standard.*setting.member),
            setting.range.lowest,
            setting.range.highest,
        });
    }
}

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.';
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= LongestName && std::all_of(text.begin(), text.end(), isNameCharacter);
}

template<typename Id>
Id readName(TableReader &reader, std::string_view key)
{
    const auto text = reader.text(key, Presence::Required);
    if (!text) {
        return Id();
    }
    if (!isName(text->value)) {
        reader.report(text->place, key, "must have 1 to 64 letters, digits, '-', '_' or '.'");
        return Id();
    }
    return Id(text->value);
}

std::optional<wire::Address> checkedAddress(TableReader &reader, std::string_view key, const PlacedText &text)
{
    auto address = parseAddress(text.value);
    if (!address) {
        reader.report(text.place, key, "must be IP:PORT or [IPv6]:PORT with a port from 1 to 65535");
    }
    return address;
}

wire::Address readAddress(TableReader &reader, std::string_view key, Presence presence)
{
    const auto text = reader.text(key, presence);
    if (!text) {
        return {};
    }
    return checkedAddress(reader, key, *text).value_or(wire::Address{});
}

wire::MemberRole readRole(TableReader &reader)
{
    const auto text = reader.text("role", Presence::Required);
    if (text && text->value == "entry") {
        return wire::MemberRole::Entry;
    }
    if (text && text->value != "agent") {
        reader.report(text->place, "role", "must be \"entry\" or \"agent\"");
    }
    return wire::MemberRole::Agent;
}

log::Severity readSeverity(TableReader &reader)
{
    const auto text = reader.text("log_severity", Presence::Optional);
    if (!text || text->value == "info") {
        return log::Severity::Info;
    }
    if (text->value == "debug") {
        return log::Severity::Debug;
    }
    if (text->value == "warning") {
        return log::Severity::Warning;
    }
    if (text->value == "error") {
        return log::Severity::Error;
    }
    reader.report(text->place, "log_severity", "must be \"debug\", \"info\", \"warning\" or \"error\"");
    return log::Severity::Info;
}

std::vector<wire::Address> readEntries(TableReader &reader)
{
    std::vector<wire::Address> entries;
    for (const auto &text : reader.texts("entries")) {
        if (auto address = checkedAddress(reader, "entries", text)) {
            entries.push_back(std::move(*address));
        }
    }
    return entries;
}

Mechanisms readDisabled(TableReader &reader)
{
    Mechanisms disabled;
    for (const auto &text : reader.texts("disable")) {
        if (const auto mechanism = mechanismFromName(text.value)) {
            disabled.insert(*mechanism);
        } else {
            reader.report(text.place, "disable", "knows no \"" + text.value + "\"; the names are " + mechanismNames());
        }
    }
    return disabled;
}

/** Reads the settings from a parsed file and keeps the findings on the way. */
class Parser
{
public:
    Parser(const toml::table &root, const std::string &source)
        : m_source(source)
        , m_root(root)
        , m_top(root, "", source, m_findings)
    {
    }

    std::variant<Settings, base::Findings> run()
    {
        readTop();
        readGroups();
        m_top.reportUnknownKeys();
        checkRole();
        checkTiming();
        if (!m_findings.isEmpty()) {
            return std::move(m_findings);
        }
        return std::move(m_settings);
    }

private:
    void readTop()
    {
        m_settings.role = readRole(m_top);
        m_settings.id = readName<base::MemberId>(m_top, "id");
        m_settings.region = readName<base::RegionId>(m_top, "region");
        m_settings.dataCentre = readName<base::DataCentreId>(m_top, "data_centre");
        m_settings.rpc = readAddress(m_top, "rpc", Presence::Required);
        m_settings.http = readAddress(m_top, "http", Presence::Required);
        m_settings.store = readAddress(m_top, "store", m_settings.role == wire::MemberRole::Entry ? Presence::Required : Presence::Optional);
        m_settings.entries = readEntries(m_top);
        m_settings.logSeverity = readSeverity(m_top);
        readNumbers(m_top, m_settings, TopSettings);
    }

    void readGroups()
    {
        if (const auto *table = m_top.table("bounds")) {
            TableReader reader(*table, std::string(BoundsPrefix), m_source, m_findings);
            readNumbers(reader, m_settings.bounds, BoundsSettings);
            reader.reportUnknownKeys();
        }
        if (const auto *table = m_top.table("timing")) {
            TableReader reader(*table, std::string(TimingPrefix), m_source, m_findings);
            readNumbers(reader, m_settings.timing, TimingSettings);
            reader.reportUnknownKeys();
        }
        if (const auto *table = m_top.table("testing")) {
            TableReader reader(*table, "testing.", m_source, m_findings);
            m_settings.disabled = readDisabled(reader);
            reader.reportUnknownKeys();
        }
    }

    void checkRole()
    {
        if (m_settings.role != wire::MemberRole::Agent) {
            return;
        }
        if (const auto *store = m_root.get("store")) {
            m_top.report(placeOf(*store), "store", "is for entries only: agents never call the store");
        }
        if (m_settings.entries.empty() && m_root.get("entries") == nullptr) {
            m_top.report(placeOf(m_root), "entries", "is missing: an agent needs at least one entry");
        }
    }

    /** Each pair must be in this order for the mechanism that rests on both to work. */
    void checkTiming()
    {
        const auto &timing = m_settings.timing;
        checkOrder("sync_hold_ms", timing.syncHold, "permit_life_ms", timing.permitLife);
        checkOrder("sync_hold_ms", timing.syncHold, "silence_limit_ms", timing.silenceLimit);
        checkOrder("silence_limit_ms", timing.silenceLimit, "member_timeout_ms", timing.memberTimeout);
    }

    void checkOrder(std::string_view lower, std::chrono::milliseconds lowerValue, std::string_view upper, std::chrono::milliseconds upperValue)
    {
        if (lowerValue < upperValue) {
            return;
        }
        const auto lowerNode = m_root["timing"][lower];
        const auto upperNode = m_root["timing"][upper];
        const toml::node *node = lowerNode.node() != nullptr ? lowerNode.node() : upperNode.node();
        m_findings.add(node != nullptr ? placeOf(*node) : placeOf(m_root),
                       std::string(TimingPrefix) + std::string(lower) + " (" + std::to_string(lowerValue.count()) + ") must be less than "
                           + std::string(TimingPrefix) + std::string(upper) + " (" + std::to_string(upperValue.count()) + ")");
    }

    [[nodiscard]] base::Place placeOf(const toml::node &node) const
    {
        return {m_source, node.source().begin.line, node.source().begin.column};
    }

    const std::string &m_source;
    const toml::table &m_root;
    base::Findings m_findings;
    TableReader m_top;
    Settings m_settings;
};

} // namespace

std::vector<SettingDescription> describe()
{
    std::vector<SettingDescription> descriptions;
    describeNumbers<Settings>(descriptions, "", TopSettings);
    describeNumbers<Bounds>(descriptions, BoundsPrefix, BoundsSettings);
    describeNumbers<Timing>(descriptions, TimingPrefix, TimingSettings);
    return descriptions;
}

std::variant<Settings, base::Findings> parse(const std::string &text, const std::string &source)
{
    try {
        const auto root = toml::parse(text, source);
        return Parser(root, source).run();
    } catch (const toml::parse_error &error) {
        base::Findings findings;
        const auto &begin = error.source().begin;
        findings.add(base::Place{source, begin.line, begin.column}, std::string(error.description()));
        return findings;
    }
}

std::variant<Settings, base::Findings> load(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        base::Findings findings;
        findings.add(path, "can't be read, or is empty");
        return findings;
    }
    return parse(text.str(), path);
}

} // namespace plantainfork::settings
