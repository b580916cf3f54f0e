/** Interface of an agent to its host's executor, independent of the executor's protocol, which platform/ implements. */
#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "batch/messages.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

namespace asio = boost::asio;

/** The executor's steady clock, in milliseconds since its start. */
using ExecutorTime = std::chrono::milliseconds;

enum class StartOutcome {
    /** The run is running or has ended. */
    Started,
    /** The run was not started and never will be under this attempt. */
    Refused,
    /** The executor has seen a higher fencing token. */
    Fenced,
    /** The result is not known; the run may still start until its deadline. */
    Unknown,
    /** The run was not started; the call may be repeated. */
    Retryable,
};

struct StartResult {
    StartOutcome outcome = StartOutcome::Unknown;
    std::string reason;
};

struct HoldRequest {
    HostIncarnation incarnation;
    base::FencingToken token;
    /** New end of the executor's lease, after which it stops its runs; zero: unchanged. */
    ExecutorTime until{0};
    /** The executor drops ended runs up to this number from its listing. */
    std::uint64_t acknowledged = 0;
    /** How long the executor may hold the call while no run ends. */
    std::chrono::milliseconds wait{0};
};

struct Listing {
    ExecutorTime clock{0};
    std::vector<Running> running;
    std::vector<Ended> ended;
    /** Nothing is left out: a run in neither list isn't running, and has no end that is yet to be acknowledged. */
    bool isWhole = true;
    /** Start time of the executor in Unix milliseconds; 0: not given. */
    std::uint64_t born = 0;
};

/**
 * Number of the last ended run to acknowledge; 0 if no processed one is listed. A restarted executor numbers its ended runs from the start
 * again under the same id, so a number of its earlier incarnation would make it drop ended runs that were never reported.
 */
[[nodiscard]] inline std::uint64_t acknowledgement(const std::vector<Ended> &listed, std::uint64_t processed)
{
    const bool isProcessedListed = std::any_of(listed.begin(), listed.end(), [processed](const Ended &ended) {
        return ended.number <= processed;
    });
    return isProcessedListed ? processed : 0;
}

/**
 * Client of a host's executor. Calls return by their deadline. Aborted: it has seen a higher token. NotFound: another incarnation.
 * FailedPrecondition: nothing listens at its address.
 */
template<typename T>
concept ExecutorPort = requires(T port,
                                RunOrder order,
                                RunId run,
                                HoldRequest hold,
                                HostIncarnation incarnation,
                                base::FencingToken token,
                                ExecutorTime until,
                                runtime::Instant deadline)
{
    {
        port.start(order, incarnation, token, until, deadline)
        } -> std::same_as<asio::awaitable<StartResult>>;
    {
        port.stop(run, incarnation, token, deadline)
        } -> std::same_as<asio::awaitable<absl::Status>>;
    {
        port.hold(hold, deadline)
        } -> std::same_as<asio::awaitable<absl::StatusOr<Listing>>>;
};

} // namespace plantainfork::batch
