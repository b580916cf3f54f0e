/** Settings of a daemon that runs the batch service: read from TOML as a whole, all findings reported with their place. */
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/findings.h"
#include "base/ids.h"
#include "log/log.h"
#include "wire/member_messages.h"

namespace plantainfork::batch
{

struct Settings {
    wire::MemberRole role = wire::MemberRole::Agent;
    base::MemberId id;
    base::RegionId region;
    base::DataCentreId dataCentre;
    /** Calls between daemons. */
    wire::Address rpc;
    /** Entry: callers. Agent: the executor's announcements. */
    wire::Address http;
    /** Entry: the balancer's readiness checks. */
    wire::Address readiness;
    /** Metrics as text. */
    wire::Address metrics;
    wire::Address store;
    /** Agent: its executor. */
    wire::Address executor;
    /** Entries known at the start; some may be gone. */
    std::vector<wire::Address> entries;
    /** Port on which all entries take calls, where it differs from those in `entries`; 0: it doesn't. */
    std::uint16_t entriesPort = 0;
    log::Severity logSeverity = log::Severity::Info;

    /** Life of the scheduler's lease in the store. */
    std::chrono::milliseconds schedulerLease{1400};
    /** The longest lease that an executor grants to what it runs. */
    std::chrono::milliseconds longestHold{10'000};
    std::chrono::milliseconds killGrace{900};
    /** Time within which a key that was taken away must have no effect any more. */
    std::chrono::milliseconds revocation{5000};
    /** Bound on a graceful stop. */
    std::chrono::milliseconds drainLimit{6000};
    /** How long ended jobs stay known. */
    std::chrono::seconds keepEnded{150};
    double remoteFactor = 3.0;
};

/** Reads settings from TOML text; `source` names it in findings. */
std::variant<Settings, base::Findings> parseSettings(const std::string &text, const std::string &source);
/** A file that can't be read is a finding. */
std::variant<Settings, base::Findings> loadSettings(const std::string &path);

} // namespace plantainfork::batch
