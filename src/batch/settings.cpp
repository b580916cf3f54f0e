#include "batch/settings.h"

#include <array>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "settings/address.h"
#include "settings/reader.h"

namespace plantainfork::batch
{

namespace
{

using settings::PlacedText;
using settings::Presence;
using settings::Range;
using settings::TableReader;

struct TimeSetting {
    std::string_view key;
    std::chrono::milliseconds Settings::*member;
    Range range;
};

constexpr std::array TimeSettings{
    TimeSetting{"scheduler_lease_ms", &Settings::schedulerLease, {1000, 60'000}},
    TimeSetting{"longest_hold_ms", &Settings::maxExecutorLease, {1000, 600'000}},
    TimeSetting{"kill_grace_ms", &Settings::killGrace, {0, 60'000}},
    TimeSetting{"revocation_ms", &Settings::revocation, {500, 600'000}},
    TimeSetting{"drain_limit_ms", &Settings::drainLimit, {0, 3'600'000}},
};

struct SizeSetting {
    std::string_view key;
    std::size_t ReceiveLimits::*member;
    Range range;
    std::size_t unitBytes;
};

constexpr std::size_t KibiBytes = 1024;
constexpr std::size_t MebiBytes = 1024 * KibiBytes;

constexpr std::array SizeSettings{
    SizeSetting{"receive_budget_kib", &ReceiveLimits::budgetBytes, {64, 67'108'864}, KibiBytes},
    SizeSetting{"request_header_kib", &ReceiveLimits::headerBytes, {1, 1024}, KibiBytes},
    SizeSetting{"request_body_kib", &ReceiveLimits::bodyBytes, {1, 65'536}, KibiBytes},
    SizeSetting{"request_pace_bytes_s", &ReceiveLimits::paceBytesPerSecond, {0, 1'000'000}, 1},
    SizeSetting{"max_connections", &ReceiveLimits::connections, {1, 65'536}, 1},
};

struct MemorySetting {
    std::string_view key;
    std::chrono::seconds Settings::*member;
};

constexpr std::array MemorySettings{
    MemorySetting{"host_loss_memory_s", &Settings::hostLossMemory},
    MemorySetting{"fair_share_memory_s", &Settings::fairShareMemory},
};

constexpr Range MemoryLimitRange{16, 1'048'576};
constexpr Range ReceiveTimeRange{100, 600'000};
constexpr Range MemoryTimeRange{1, 3600};
constexpr double MinUnevenHostRatio = 1.1;
constexpr double MaxUnevenHostRatio = 10.0;
/** Part of the process's memory that may hold unfinished requests; the rest is for the jobs, whole requests and the code. */
constexpr std::size_t ReceiveBudgetDivisor = 4;
/** Part of the process's memory for accepted jobs. A new leader holds their records beside them while it reads them. */
constexpr std::size_t JobMemoryDivisor = 5;
constexpr std::size_t UnknownMemoryBudgetBytes = 64 * MebiBytes;
constexpr std::size_t EntryBodyBytes = 512 * KibiBytes;
constexpr std::size_t AgentBodyBytes = MebiBytes;
constexpr Range PortRange{1, 65'535};
constexpr Range KeepEndedRange{1, 86'400};
constexpr double MaxDrainLimitSeconds = 3600;
constexpr double MinRemoteFactor = 1.0;
constexpr double MaxRemoteFactor = 100.0;
constexpr double MinProcessorShare = 0.001;

std::string readName(TableReader &reader, std::string_view key)
{
    const auto text = reader.text(key, Presence::Required);
    if (text && text->value.empty()) {
        reader.report(text->place, key, "must not be empty");
    }
    return text ? text->value : std::string();
}

std::optional<wire::Address> readAddress(TableReader &reader, std::string_view key, const std::optional<PlacedText> &text)
{
    if (!text) {
        return std::nullopt;
    }
    auto address = settings::parseAddress(text->value);
    if (!address) {
        reader.report(text->place, key, "must be IP:PORT with a port from 1 to 65535");
    }
    return address;
}

log::Severity readSeverity(TableReader &reader)
{
    static constexpr std::array Severities{std::pair{"debug", log::Severity::Debug},
                                           std::pair{"info", log::Severity::Info},
                                           std::pair{"warning", log::Severity::Warning},
                                           std::pair{"error", log::Severity::Error}};
    const auto text = reader.text("log_severity", Presence::Optional);
    if (!text) {
        return log::Severity::Info;
    }
    for (const auto &[name, severity] : Severities) {
        if (text->value == name) {
            return severity;
        }
    }
    reader.report(text->place, "log_severity", "must be \"debug\", \"info\", \"warning\" or \"error\"");
    return log::Severity::Info;
}

void readReceiveLimits(TableReader &reader, Settings &settings)
{
    if (const auto value = reader.integer("memory_limit_mb", MemoryLimitRange)) {
        settings.memoryLimitBytes = static_cast<std::size_t>(*value) * MebiBytes;
    }
    settings.jobMemoryBytes = settings.memoryLimitBytes > 0 ? settings.memoryLimitBytes / JobMemoryDivisor : UnknownMemoryBudgetBytes;
    if (const auto value = reader.integer("job_memory_mb", MemoryLimitRange)) {
        settings.jobMemoryBytes = static_cast<std::size_t>(*value) * MebiBytes;
    }
    ReceiveLimits &limits = settings.receive;
    limits.budgetBytes = settings.memoryLimitBytes > 0 ? settings.memoryLimitBytes / ReceiveBudgetDivisor : UnknownMemoryBudgetBytes;
    limits.bodyBytes = settings.role == wire::MemberRole::Entry ? EntryBodyBytes : AgentBodyBytes;
    for (const auto &setting : SizeSettings) {
        if (const auto value = reader.integer(setting.key, setting.range)) {
            limits.*setting.member = static_cast<std::size_t>(*value) * setting.unitBytes;
        }
    }
    if (const auto value = reader.integer("request_arrival_ms", ReceiveTimeRange)) {
        limits.arrival = std::chrono::milliseconds(*value);
    }
    if (const auto value = reader.integer("answer_delivery_ms", ReceiveTimeRange)) {
        limits.delivery = std::chrono::milliseconds(*value);
    }
}

void readPlannerSettings(TableReader &reader, Settings &settings)
{
    settings.remoteFactor = reader.number("remote_factor", MinRemoteFactor, MaxRemoteFactor).value_or(settings.remoteFactor);
    settings.unevenHostRatio = reader.number("uneven_host_ratio", MinUnevenHostRatio, MaxUnevenHostRatio).value_or(settings.unevenHostRatio);
    for (const auto &setting : MemorySettings) {
        if (const auto value = reader.integer(setting.key, MemoryTimeRange)) {
            settings.*setting.member = std::chrono::seconds(*value);
        }
    }
}

void readRootTable(TableReader &reader, Settings &settings)
{
    const auto role = reader.text("role", Presence::Required);
    if (role && role->value != "entry" && role->value != "agent") {
        reader.report(role->place, "role", "must be \"entry\" or \"agent\"");
    }
    settings.role = role && role->value == "entry" ? wire::MemberRole::Entry : wire::MemberRole::Agent;
    settings.id = base::MemberId(readName(reader, "id"));
    settings.region = base::RegionId(readName(reader, "region"));
    settings.dataCentre = base::DataCentreId(readName(reader, "data_centre"));
    const bool isEntry = settings.role == wire::MemberRole::Entry;
    const auto address = [&](std::string_view key, Presence presence) {
        return readAddress(reader, key, reader.text(key, presence)).value_or(wire::Address());
    };
    settings.rpc = address("rpc", Presence::Required);
    settings.http = address("http", Presence::Required);
    settings.readiness = address("readiness", isEntry ? Presence::Required : Presence::Optional);
    settings.metrics = address("metrics", Presence::Optional);
    settings.store = address("store", Presence::Required);
    settings.executor = address("executor", isEntry ? Presence::Optional : Presence::Required);
    if (const auto port = reader.integer("entries_port", PortRange)) {
        settings.entriesPort = static_cast<std::uint16_t>(*port);
    }
    for (const auto &text : reader.texts("entries")) {
        if (auto entry = readAddress(reader, "entries", text)) {
            entry->port = settings.entriesPort != 0 ? settings.entriesPort : entry->port;
            settings.entries.push_back(std::move(*entry));
        }
    }
    settings.logSeverity = readSeverity(reader);
    for (const auto &setting : TimeSettings) {
        if (const auto value = reader.integer(setting.key, setting.range)) {
            settings.*setting.member = std::chrono::milliseconds(*value);
        }
    }
    if (const auto value = reader.integer("keep_ended_s", KeepEndedRange)) {
        settings.keepEnded = std::chrono::seconds(*value);
    }
    if (const auto value = reader.number("drain_limit_s", 0.0, MaxDrainLimitSeconds)) {
        settings.drainLimit = std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double>(*value));
    }
    readReceiveLimits(reader, settings);
    readPlannerSettings(reader, settings);
    settings.processorShare = reader.number("processor_share", MinProcessorShare, 1.0).value_or(settings.processorShare);
    reader.reportUnknownKeys();
}

} // namespace

std::variant<Settings, base::Findings> parseSettings(const std::string &text, const std::string &source)
{
    base::Findings findings;
    try {
        const auto root = toml::parse(text, source);
        Settings settings;
        TableReader reader(root, "", source, findings);
        readRootTable(reader, settings);
        if (findings.isEmpty()) {
            return settings;
        }
    } catch (const toml::parse_error &error) {
        const auto &begin = error.source().begin;
        findings.add(base::Place{source, begin.line, begin.column}, std::string(error.description()));
    }
    return findings;
}

std::variant<Settings, base::Findings> loadSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        base::Findings findings;
        findings.add(path, "can't be read, or is empty");
        return findings;
    }
    return parseSettings(text.str(), path);
}

} // namespace plantainfork::batch
