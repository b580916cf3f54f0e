/** The daemon's settings file (TOML), checked as a whole before anything starts. docs/OPERATIONS.md lists each setting. */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/findings.h"
#include "base/ids.h"
#include "log/log.h"
#include "settings/mechanism.h"
#include "wire/member_messages.h"

namespace plantainfork::settings
{

/** Bounds of what a daemon accepts and keeps. */
struct Bounds {
    std::size_t requestBodyBytes = 1024 * 1024;
    std::size_t frameBytes = 4 * 1024 * 1024;
    std::size_t connections = 1024;
    /** Requests that wait for a slot, for all workspaces together. */
    std::size_t queuedRequests = 4096;
    std::size_t queuedJobs = 100'000;
};

struct Timing {
    /** A parent answers a sync at the latest after this. */
    std::chrono::milliseconds syncHold{1000};
    /** Life of a start permit. */
    std::chrono::milliseconds permitLife{3000};
    /** Silence after which a connection is given up. */
    std::chrono::milliseconds silenceLimit{3000};
    /** A member that has not been heard of for this long is dead. */
    std::chrono::milliseconds memberTimeout{6000};
    /** A target that has not announced itself for this long is gone. */
    std::chrono::milliseconds announceTimeout{3000};
    /** Reservation of a prepared gang member, and silence after which a gang stops. */
    std::chrono::milliseconds gangLease{3000};
    /** Life of the scheduler's store lease. */
    std::chrono::milliseconds schedulerLease{5000};
    /** Bound on a graceful stop. */
    std::chrono::milliseconds drainLimit{30'000};
};

struct Settings {
    wire::MemberRole role = wire::MemberRole::Agent;
    base::MemberId id;
    base::RegionId region;
    base::DataCentreId dataCentre;
    /** Calls of other daemons. */
    wire::Address rpc;
    /** Entry: callers and operators. Agent: its own target. */
    wire::Address http;
    /** Entries: the platform's key-value service. */
    wire::Address store;
    /** Entries that this daemon may sync with; an entry leaves itself out. */
    std::vector<wire::Address> entries;
    unsigned threads = 2;
    /** Children that one parent takes before agents are sent to a relay. */
    unsigned fanOut = 32;
    log::Severity logSeverity = log::Severity::Info;
    Bounds bounds;
    Timing timing;
    /** Mechanisms switched off to show that a test fails without them. Empty in service. */
    Mechanisms disabled;

    [[nodiscard]] bool isDisabled(Mechanism mechanism) const
    {
        return disabled.contains(mechanism);
    }
};

/** One numeric setting as documented: its full key, unit, default and the range that is accepted. */
struct SettingDescription {
    std::string key;
    std::string unit;
    std::int64_t standard = 0;
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/** All numeric settings in the order of the file. docs/OPERATIONS.md is checked against it. */
std::vector<SettingDescription> describe();

/** Reads settings from TOML text; `source` names it in findings. All findings are collected, none is fatal on its own. */
std::variant<Settings, base::Findings> parse(const std::string &text, const std::string &source);

/** Reads the file and parses it. A file that can't be read is a finding. */
std::variant<Settings, base::Findings> load(const std::string &path);

} // namespace plantainfork::settings
