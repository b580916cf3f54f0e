/** HTTP client for an agent's calls to the worker on its host (docs/PROTOCOLS.md, Agent to worker). */
#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/client.h"
#include "runtime/clock.h"
#include "wire/gang_messages.h"

namespace plantainfork::jobs
{

class WorkerClient
{
public:
    explicit WorkerClient(boost::asio::any_io_executor executor);

    enum class StartOutcome {
        Started,
        /** The worker refused, or the request was never sent. */
        NotStarted,
        /** The answer was lost; the task may be running. */
        Unknown,
    };
    struct StartResult {
        StartOutcome outcome = StartOutcome::Unknown;
        std::string reason;
    };

    /** Starts one task. The worker stops the task by itself when the lease expires; each announcement that the agent answers renews the lease. */
    boost::asio::awaitable<StartResult> start(wire::Address worker, wire::PrepareCall plan, std::chrono::milliseconds lease, runtime::Instant deadline);

    /** Checkpoints the task and returns how much of its work is saved. */
    boost::asio::awaitable<absl::StatusOr<std::chrono::milliseconds>>
    checkpoint(wire::Address worker, wire::AttemptId attempt, std::uint32_t rank, runtime::Instant deadline);

    boost::asio::awaitable<absl::Status> throttle(wire::Address worker, wire::AttemptId attempt, std::uint32_t rank, runtime::Instant deadline);

    /** Stops the task. OK also when the worker doesn't know it. */
    boost::asio::awaitable<absl::Status> stop(wire::Address worker, wire::AttemptId attempt, std::uint32_t rank, runtime::Instant deadline);

private:
    std::shared_ptr<http::Client> clientFor(const wire::Address &worker);
    boost::asio::awaitable<http::Exchange>
    postTaskAction(wire::Address worker, wire::AttemptId attempt, std::uint32_t rank, std::string action, runtime::Instant deadline);

    boost::asio::any_io_executor m_executor;
    std::mutex m_mutex;
    /** Client for the worker's last announced address; guarded by m_mutex. */
    std::shared_ptr<http::Client> m_client;
};

} // namespace plantainfork::jobs
