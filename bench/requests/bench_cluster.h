/**
 * Executors, agents and an entry in one process, connected over loopback TCP. Each kind has its own threads, so that
 * none uses another's processor time unnoticed.
 */
#pragma once

#include <atomic>
#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/server.h"
#include "requests/executor_proxy.h"
#include "requests/fake_store.h"
#include "requests/frontend.h"
#include "rpc/server.h"
#include "runtime/thread_pool.h"

namespace plantainfork::bench
{

/** An Asio context with its own threads, which run it until it is destroyed. */
class Threads
{
public:
    explicit Threads(unsigned count);
    ~Threads();
    Threads(const Threads &) = delete;
    Threads &operator=(const Threads &) = delete;

    boost::asio::io_context &context();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    runtime::ThreadPool m_pool;
};

enum class Behaviour {
    Answers,
    /** Answers 500 without delay. */
    Fails,
    /** Accepts requests and never answers. */
    Frozen,
};

/** An executor that runs `slots` requests at a time, each for `delay`; more wait in order of arrival. */
class Executor
{
public:
    Executor(boost::asio::io_context &context, std::uint32_t slots, std::chrono::microseconds delay);

    [[nodiscard]] std::uint16_t port() const;

    std::atomic<Behaviour> behaviour{Behaviour::Answers};
    std::atomic<std::uint64_t> served{0};

private:
    boost::asio::awaitable<http::Response> serve(http::Request request);
    boost::asio::awaitable<void> acquireSlot();
    void releaseSlot();

    const std::uint32_t m_slots;
    const std::chrono::microseconds m_delay;
    std::mutex m_mutex;
    /** Guarded by m_mutex, as is m_waiting. */
    std::uint32_t m_inUse = 0;
    std::deque<std::shared_ptr<rpc::OneShot<bool>>> m_waiting;
    std::unique_ptr<http::Server> m_server;
};

/** The agent beside an executor. */
class Agent
{
public:
    Agent(boost::asio::io_context &context, std::string name, const Executor &executor, std::uint32_t slots);

    [[nodiscard]] wire::MemberRecord record() const;
    /** From now on, calls are accepted and never answered. */
    void stopAnswering();

private:
    boost::asio::awaitable<absl::StatusOr<wire::ExecuteReply>> execute(wire::ExecuteCall call);

    const std::string m_name;
    std::atomic<bool> m_isSilent{false};
    metrics::Registry m_metrics;
    runtime::Published<targets::Target> m_target;
    requests::ExecutorProxy m_executorProxy;
    std::unique_ptr<rpc::Server> m_server;
};

struct ClusterOptions {
    std::size_t executors = 10;
    std::uint32_t slots = 8;
    std::chrono::microseconds delay{0};
    unsigned threadsPerRole = 2;
};

/** Workspaces "a" to "d" with guaranteed shares of 400, 300, 200 and 100 thousandths. */
class Cluster
{
public:
    using Frontend = requests::Frontend<tests::FakeStore>;

    explicit Cluster(const ClusterOptions &options);
    ~Cluster();

    static http::Request request(const std::string &workspace, const std::string &kind, const std::string &id, std::chrono::milliseconds deadline);

    Threads executorThreads;
    Threads agentThreads;
    Threads entryThreads;
    Threads callerThreads;
    metrics::Registry metrics;
    tests::FakeStore store;
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<std::unique_ptr<Agent>> agents;

private:
    runtime::Published<wire::Config> m_config;
    runtime::Published<membership::MemberView> m_members;
    std::unique_ptr<rpc::ChannelPool> m_channels;

public:
    std::unique_ptr<Frontend> frontend;
    std::unique_ptr<http::Server> entryServer;
};

} // namespace plantainfork::bench
