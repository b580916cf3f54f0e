/**
 * Sends attempts to agents and reads what became of them. Idempotent requests are tried elsewhere when an
 * attempt fails or is silent for too long, within the retry budget.
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

#include "requests/alarm_clock.h"
#include "requests/request.h"
#include "requests/service_pool.h"
#include "rpc/channel_pool.h"
#include "wire/request_messages.h"

namespace plantainfork::requests
{

/** One attempt at one agent, when it has ended. */
struct AttemptResult {
    AttemptEnd end = AttemptEnd::Failed;
    wire::ExecuteReply reply;
    /** Whether the reply comes from the agent itself; otherwise the outcome is what can be said without it. */
    bool isFromAgent = false;
};

/** The call that carries the request to the agent of a slot. */
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

    std::shared_ptr<ServicePool> poolOf(const base::ServiceId &service);

    /** Routes, forwards and retries; for idempotent requests only. */
    boost::asio::awaitable<Result> run(std::shared_ptr<const ClassifiedRequest> request);
    using EndHandler = std::function<void(AttemptResult)>;

    /** Starts one attempt; ends the slot and then calls back, briefly, on any thread. */
    void launch(Slot slot, const ClassifiedRequest &request, EndHandler onEnded);
    /** The same for coroutines. */
    boost::asio::awaitable<AttemptResult> attempt(Slot slot, std::shared_ptr<const ClassifiedRequest> request);
    /** Asks an agent what became of a non-idempotent request; fails with Unavailable when it can't be reached. */
    boost::asio::awaitable<absl::StatusOr<wire::SettleReply>> settle(wire::Address agent, wire::SettleCall call, runtime::Instant deadline);

    [[nodiscard]] TimerQueue &timers();

    /** Looks after the pools and alarms until stopped. */
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
    /** Replaced whole under m_poolMutex; only services that some template names. */
    runtime::Published<Pools> m_pools;
    TimerQueue m_timers;
    std::shared_ptr<std::atomic<bool>> m_isStopped;
};

} // namespace plantainfork::requests
