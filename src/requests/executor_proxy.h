/**
 * Request handling in the agent: forwards attempts to the executor on its host within the limits of the executor's
 * slots and connections, and makes the final at-most-once check for non-idempotent requests.
 */
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/ids.h"
#include "metrics/registry.h"
#include "requests/attempt_table.h"
#include "requests/slot_queue.h"
#include "runtime/clock.h"
#include "runtime/published.h"
#include "targets/target.h"
#include "wire/request_messages.h"

namespace plantainfork::http
{
class Client;
}

namespace plantainfork::requests
{

struct ExecutorBounds {
    AttemptTableBounds attempts;
    /** Maximum size of an executor's response body. */
    std::size_t answerBytes = 1024 * 1024;
    /** Maximum time that a settle call waits for a running attempt. */
    std::chrono::milliseconds settleWait{30'000};
};

class ExecutorProxy
{
public:
    ExecutorProxy(boost::asio::any_io_executor executor,
                  base::Incarnation incarnation,
                  const runtime::Published<targets::Target> &target,
                  metrics::Registry &metrics,
                  ExecutorBounds bounds = {});
    ~ExecutorProxy();

    /** Always returns a reply with an outcome. NotRun guarantees that the executor did not receive this attempt. */
    boost::asio::awaitable<absl::StatusOr<wire::ExecuteReply>> execute(wire::ExecuteCall call);
    /**
     * Reports the state of a request, waiting for a running attempt, and bars the request if no attempt has begun.
     * Fails with ResourceExhausted if there is no room for the bar.
     */
    boost::asio::awaitable<absl::StatusOr<wire::SettleReply>> settle(wire::SettleCall call);

    /** Refuses new attempts and waits for open ones until the deadline. Returns the number still open then. */
    boost::asio::awaitable<std::size_t> drain(runtime::Instant deadline);

    [[nodiscard]] std::size_t openAttempts() const;

private:
    boost::asio::awaitable<wire::ExecuteReply> attempt(wire::ExecuteCall call, runtime::Instant deadline);
    boost::asio::awaitable<wire::ExecuteReply> attemptAtMostOnce(wire::ExecuteCall call, runtime::Instant deadline);
    boost::asio::awaitable<wire::ExecuteReply> forward(wire::ExecuteCall call, runtime::Instant deadline);
    [[nodiscard]] absl::Status check(const wire::ExecuteCall &call, const targets::Target &target) const;
    std::shared_ptr<http::Client> clientFor(const targets::Target &target);
    wire::ExecuteReply countOutcome(wire::ExecuteReply reply);

    const boost::asio::any_io_executor m_executor;
    const base::Incarnation m_incarnation;
    const runtime::Published<targets::Target> &m_target;
    const ExecutorBounds m_bounds;
    AttemptTable m_attempts;
    SlotQueue m_slots;
    std::atomic<bool> m_isDraining{false};
    std::atomic<std::size_t> m_openAttempts{0};
    std::mutex m_clientMutex;
    /** Client for the executor's current address. Guarded by m_clientMutex, as is m_clientConnections. */
    std::shared_ptr<http::Client> m_client;
    std::size_t m_clientConnections = 0;
    metrics::Counter &m_answered;
    metrics::Counter &m_notRun;
    metrics::Counter &m_unknown;
    metrics::Histogram &m_executorTime;
};

} // namespace plantainfork::requests
