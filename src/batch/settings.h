/** Settings of a daemon of the batch service, read from TOML. All errors are reported at once, each with its line and column. */
#pragma once

#include <chrono>
#include <cstddef>
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

/** What clients of the HTTP listeners may send, keep open and leave unread. No client that waits a few seconds for its answer meets the defaults. */
struct ReceiveLimits {
    /** All that the process holds of unfinished requests and of answers that are not taken. */
    std::size_t budgetBytes = 64 * 1024 * 1024;
    /** Header of one request, trailers of one request, extensions of one chunk. */
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    /** Open connections of one listener. */
    std::size_t connections = 1024;
    /** Time from the first byte of a request to its last. */
    std::chrono::milliseconds arrival{30'000};
    /** Least pace of a request that has been arriving for some seconds; 0: none. */
    std::size_t paceBytesPerSecond = 512;
    /** Time in which the peer takes a whole answer. */
    std::chrono::milliseconds delivery{30'000};
};

struct Settings {
    wire::MemberRole role = wire::MemberRole::Agent;
    base::MemberId id;
    base::RegionId region;
    base::DataCentreId dataCentre;
    /** Listen address for RPC between daemons. */
    wire::Address rpc;
    /** Listen address for HTTP. Entry: requests of callers. Agent: announcements of the executor. */
    wire::Address http;
    /** Entry: listen address for the load balancer's readiness checks. */
    wire::Address readiness;
    /** Listen address for metrics in text form. */
    wire::Address metrics;
    wire::Address store;
    /** Agent: address of its executor. */
    wire::Address executor;
    /** Addresses of entries at start-up; some may no longer exist. */
    std::vector<wire::Address> entries;
    /** RPC port of all entries, which replaces the ports in `entries`; 0: those are used. */
    std::uint16_t entriesPort = 0;
    log::Severity logSeverity = log::Severity::Info;

    /** Duration of the leader's lease in the store. */
    std::chrono::milliseconds schedulerLease{1400};
    /** Longest lease under which an executor keeps its runs without a renewal. */
    std::chrono::milliseconds maxExecutorLease{10'000};
    std::chrono::milliseconds killGrace{900};
    /** Time limit after which a revoked key must not be accepted any more. */
    std::chrono::milliseconds revocation{5000};
    /** Longest duration of a graceful stop. */
    std::chrono::milliseconds drainLimit{6000};
    /** How long the records of ended jobs are kept. */
    std::chrono::seconds keepEnded{150};
    double remoteFactor = 3.0;
    /** Share of a processor that the host grants this process, 0 to 1. Entries with a large share lead before others. */
    double processorShare = 1.0;
    /** Memory that the host grants this process, in bytes; 0: unknown. */
    std::size_t memoryLimitBytes = 0;
    /** Memory for the jobs that are kept, in bytes, without their started tasks; 0: no bound. */
    std::size_t jobMemoryBytes = 0;
    ReceiveLimits receive;
    /** PlannerBounds::unevenHostRatio; 0: off. */
    double unevenHostRatio = 0;
    /** WorkloadBounds::hostLossMemory; 0: off. */
    std::chrono::seconds hostLossMemory{0};
    /** WorkloadBounds::fairShareMemory; 0: off. */
    std::chrono::seconds fairShareMemory{0};
};

/** Parses settings from TOML text; `source` is the name of the text in findings. */
std::variant<Settings, base::Findings> parseSettings(const std::string &text, const std::string &source);
/** Reads and parses a file; a file that can't be read is reported as a finding. */
std::variant<Settings, base::Findings> loadSettings(const std::string &path);

} // namespace plantainfork::batch
