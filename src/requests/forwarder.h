/**
 * Sends attempts to agents and interprets their results. Idempotent requests are retried or hedged on other agents
 * when an attempt fails or takes too long, within the limits of the retry budget.
 */
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "requests/request.h"
#include "requests/service_pool.h"
#include "requests/timer_queue.h"
#include "rpc/channel_pool.h"
#include "wire/request_messages.h"

namespace plantainfork::requests
{

/** Result of one attempt at one agent. */
struct AttemptResult {
    AttemptEnd end = AttemptEnd::Failed;
    wire::ExecuteReply reply;
    /** Whether the agent sent the reply. If not, the outcome is derived from how the call failed. */
    bool isFromAgent = false;
};

/** Builds the call that carries the request to an agent. */
wire::ExecuteCall toCall(const ClassifiedRequest &request, const wire::MemberRecord &agent);
Demand toDemand(const ClassifiedRequest &request);

class Forwarder
{
public:
    Forwarder(boost::asio::any_io_executor executor,
              PoolSettings poolSettings,
              const runtime::Published<wire::Config> &config,
              const runtime::Published<membership::MemberView> &members,
              rpc::ChannelPool &channels,
              metrics::Registry &metrics);

    std::shared_ptr<ServicePool> poolFor(const base::ServiceId &service);

    /** Routes, forwards, retries and hedges a request. For idempotent requests only. */
    boost::asio::awaitable<Result> run(std::shared_ptr<const ClassifiedRequest> request);
    using EndHandler = std::function<void(AttemptResult)>;

    /** Starts one attempt. When it ends, releases the slot and calls `onEnded`, which must not block, on an arbitrary thread. */
    void launch(Slot slot, const ClassifiedRequest &request, EndHandler onEnded);
    /** Same as launch(), for coroutines. */
    boost::asio::awaitable<AttemptResult> attempt(Slot slot, std::shared_ptr<const ClassifiedRequest> request);
    /** Asks an agent for the state of a non-idempotent request. Fails with Unavailable if the agent cannot be reached. */
    boost::asio::awaitable<absl::StatusOr<wire::SettleReply>> settle(wire::Address agent, wire::SettleCall call, runtime::Instant deadline);

    [[nodiscard]] TimerQueue &timers();

    /** Updates the pools and runs expired timers periodically until stop(). */
    void start();
    void stop();

private:
    using Pools = std::map<base::ServiceId, std::shared_ptr<ServicePool>>;

    boost::asio::awaitable<void> tickPools(std::shared_ptr<std::atomic<bool>> isStopped);

    const boost::asio::any_io_executor m_executor;
    const PoolSettings m_poolSettings;
    const runtime::Published<wire::Config> &m_config;
    const runtime::Published<membership::MemberView> &m_members;
    rpc::ChannelPool &m_channels;
    metrics::Registry &m_metrics;
    std::mutex m_poolMutex;
    /** Copied and replaced under m_poolMutex. Holds only services that a template names. */
    runtime::Published<Pools> m_pools;
    TimerQueue m_timers;
    std::shared_ptr<std::atomic<bool>> m_isStopped;
};

} // namespace plantainfork::requests
