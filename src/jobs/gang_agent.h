/**
 * Runs the members of gangs that are placed on this agent's worker, and makes the last checks before a task
 * starts: fencing token, incarnation, reservation lease, barrier and start permit. Each task has one
 * coroutine, which takes it from its reservation to the report of its end.
 */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include "jobs/gang_monitor.h"
#include "jobs/worker_client.h"
#include "metrics/registry.h"
#include "permits/permit_gate.h"
#include "rpc/channel_pool.h"
#include "runtime/published.h"
#include "targets/target.h"
#include "wire/gang_messages.h"

namespace plantainfork::jobs
{

/** Whether a safety mechanism is active. Test runs switch one off to show that they detect the fault which it prevents. */
enum class Safeguard : std::uint8_t {
    On,
    Off,
};

struct Safeguards {
    Safeguard fencing = Safeguard::On;
    Safeguard barrier = Safeguard::On;
    Safeguard startPermit = Safeguard::On;
    Safeguard incarnation = Safeguard::On;
};

class GangAgent
{
public:
    struct Options {
        base::MemberId self;
        base::Incarnation incarnation;
        /** How long a prepared member stays reserved without a commit, and how long a gang runs without heartbeats before it stops. */
        std::chrono::milliseconds gangLease{3000};
        /** Entries to which task reports are sent; only the one that schedules for the region accepts them. */
        std::vector<wire::Address> entries;
        Safeguards safeguards;
    };

    GangAgent(const boost::asio::any_io_executor &executor,
              Options options,
              const runtime::Published<targets::Target> &target,
              const permits::PermitGate &gate,
              rpc::ChannelPool &channels,
              metrics::Registry &registry);
    ~GangAgent();
    GangAgent(const GangAgent &) = delete;
    GangAgent &operator=(const GangAgent &) = delete;

    boost::asio::awaitable<absl::StatusOr<wire::GangReply>> prepare(wire::PrepareCall call);
    boost::asio::awaitable<absl::StatusOr<wire::GangReply>> commit(wire::CommitCall call);
    boost::asio::awaitable<absl::StatusOr<wire::GangReply>> stop(wire::StopCall call);
    boost::asio::awaitable<absl::StatusOr<wire::InventoryReply>> inventory(wire::InventoryCall call);
    boost::asio::awaitable<absl::StatusOr<wire::GangHeartbeatReply>> handleHeartbeat(wire::GangHeartbeatCall call);

    /** Handles the worker's report that a task has ended. Always true; reports of unknown tasks are ignored. */
    boost::asio::awaitable<bool> handleTaskReport(wire::TaskStatus status);

    /** Compares the tasks that the worker announces with those of this agent: fails the ones that are missing, stops the ones that are unknown. */
    boost::asio::awaitable<void> reconcile();

    /** Refuses new reservations, waits for tasks to end, and at the deadline checkpoints and stops the rest. Returns how many were left then. */
    boost::asio::awaitable<std::size_t> drain(runtime::Instant deadline);

private:
    struct Task;
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace plantainfork::jobs
