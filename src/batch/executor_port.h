/** What an agent asks of the executor beside it, in the project's own terms; platform/ speaks the executor's protocol. */
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
    /** It runs, or has run. */
    Started,
    /** It doesn't run under this attempt and never will. */
    Refused,
    /** The executor obeys a higher token. */
    Fenced,
    /** Nothing is known; it may start until its deadline. */
    Unknown,
    /** Nothing has happened; it may be tried again. */
    NotNow,
};

struct StartResult {
    StartOutcome outcome = StartOutcome::Unknown;
    std::string reason;
};

struct HoldRequest {
    HostIncarnation incarnation;
    base::FencingToken token;
    /** Until when everything may run on; zero: unchanged. */
    ExecutorTime until{0};
    /** Ends up to this number are forgotten. */
    std::uint64_t acknowledged = 0;
    /** How long the answer may wait for an end. */
    std::chrono::milliseconds wait{0};
};

struct Listing {
    ExecutorTime clock{0};
    std::vector<Running> running;
    std::vector<Ended> ended;
    /** Unix milliseconds of the executor's start; 0: not told. */
    std::uint64_t born = 0;
};

/**
 * What to acknowledge of the ends that were processed: nothing while none of them is listed. A restarted executor counts its ends anew
 * under the same id, and an earlier life's number would make it forget ends that nobody has heard of.
 */
[[nodiscard]] inline std::uint64_t acknowledgement(const std::vector<Ended> &listed, std::uint64_t processed)
{
    const bool isAnyListed = std::any_of(listed.begin(), listed.end(), [processed](const Ended &ended) {
        return ended.number <= processed;
    });
    return isAnyListed ? processed : 0;
}

/** The executor beside an agent. Calls return by their deadline; Aborted: it obeys a higher token; NotFound: another incarnation. */
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
