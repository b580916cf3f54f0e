/** Compares the throughput and latency of calls through entry and agent with those of direct calls to the executor. */
#include "path_bench.h"

#include <algorithm>
#include <iostream>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include "bench_cluster.h"
#include "http/client.h"
#include "latencies.h"

namespace plantainfork::bench
{

namespace asio = boost::asio;

namespace
{

struct Sample {
    double perSecond = 0;
    Latencies latencies;
    std::size_t failed = 0;
};

struct Round {
    std::mutex mutex;
    /** Guarded by mutex. */
    Sample sample;
    std::atomic<std::size_t> open{0};
};

asio::awaitable<void> callInLoop(std::shared_ptr<http::Client> client, runtime::Instant end, Round &round)
{
    Latencies own;
    std::size_t failed = 0;
    while (runtime::Clock::now() < end) {
        http::Request request = Cluster::request("a", "count", "", std::chrono::seconds(10));
        const runtime::Instant start = runtime::Clock::now();
        const http::Exchange exchange = co_await client->send(std::move(request), start + std::chrono::seconds(10));
        own.add(runtime::Clock::now() - start);
        failed += exchange.response.ok() && exchange.response->status == 200 ? 0 : 1;
    }
    const std::scoped_lock lock(round.mutex);
    round.sample.latencies.append(own);
    round.sample.failed += failed;
    --round.open;
}

Sample run(Cluster &cluster, std::uint16_t port, std::size_t connections, std::chrono::milliseconds duration)
{
    Round round;
    round.open = connections;
    const runtime::Instant end = runtime::Clock::now() + duration;
    for (std::size_t i = 0; i < connections; ++i) {
        const auto strand = asio::make_strand(cluster.callerThreads.context());
        auto client = std::make_shared<http::Client>(strand, "127.0.0.1", port, 1);
        asio::co_spawn(strand, callInLoop(std::move(client), end, round), asio::detached);
    }
    while (round.open > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    // The last caller may still hold the mutex.
    const std::scoped_lock lock(round.mutex);
    round.sample.perSecond = static_cast<double>(round.sample.latencies.count()) / std::chrono::duration<double>(duration).count();
    return std::move(round.sample);
}

void print(const char *name, const Sample &sample)
{
    std::cout << "  " << name << ": " << static_cast<long>(sample.perSecond) << "/s, p50 " << sample.latencies.quantile(0.5).count() / 1000 << " us, p99 "
              << sample.latencies.quantile(0.99).count() / 1000 << " us, failed " << sample.failed << "\n";
}

} // namespace

void benchPath(std::chrono::milliseconds duration, unsigned threadsPerRole)
{
    ClusterOptions options;
    options.executors = 1;
    options.slots = 64;
    options.threadsPerRole = threadsPerRole;
    Cluster cluster(options);
    const std::uint16_t direct = cluster.executors[0]->port();
    const std::uint16_t entry = cluster.entryServer->port();
    run(cluster, entry, 8, std::chrono::milliseconds(300));
    for (const std::size_t connections : {1U, 60U}) {
        std::cout << "path, " << connections << " connections, " << threadsPerRole << " threads a role\n";
        std::vector<double> ratios;
        for (int i = 0; i < 3; ++i) {
            const Sample directSample = run(cluster, direct, connections, duration);
            const Sample daemonSample = run(cluster, entry, connections, duration);
            print("direct ", directSample);
            print("daemons", daemonSample);
            ratios.push_back(daemonSample.perSecond / directSample.perSecond);
        }
        std::sort(ratios.begin(), ratios.end());
        std::cout << "  throughput ratio, median of 3: " << ratios[1] << "\n";
    }
}

} // namespace plantainfork::bench
