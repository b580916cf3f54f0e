#include "claims_bench.h"

#include <cstdio>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "latencies.h"
#include "requests/claim_store.h"
#include "requests/fake_store.h"
#include "support/run.h"

namespace plantainfork::bench
{

namespace asio = boost::asio;

namespace
{

using Claims = requests::ClaimStore<tests::FakeStore>;

struct ClaimStats {
    Latencies latencies;
    std::size_t open = 0;
};

asio::awaitable<void> claimOne(Claims &claims, int number, ClaimStats &stats)
{
    requests::RequestKey key{base::WorkspaceId("cooperative-7"), base::RequestId("stray-marking-" + std::to_string(number))};
    requests::Claim claim;
    claim.agent = base::MemberId("agent-ifrane-pens-04");
    claim.agentIncarnation = base::Incarnation(1764826000);
    claim.rpc = {"10.20.30.40", 7400};
    claim.nonce = static_cast<std::uint64_t>(number) << 32U;
    claim.createdMs = requests::unixNow().count();
    const runtime::Instant start = runtime::Clock::now();
    const auto result = co_await claims.claim(std::move(key), std::move(claim), store::Index());
    if (result.outcome == requests::ClaimOutcome::Acquired) {
        stats.latencies.add(runtime::Clock::now() - start);
    }
    --stats.open;
}

asio::awaitable<void> submitClaims(asio::io_context &context, Claims &claims, double perSecond, std::chrono::milliseconds duration, ClaimStats &stats)
{
    std::mt19937 random(1);
    std::exponential_distribution<double> gap(perSecond);
    runtime::Instant next = runtime::Clock::now();
    const runtime::Instant end = next + duration;
    for (int number = 0; next < end; ++number) {
        co_await runtime::sleepUntil(next);
        ++stats.open;
        asio::co_spawn(context, claimOne(claims, number, stats), asio::detached);
        next += std::chrono::nanoseconds(static_cast<std::int64_t>(gap(random) * 1e9));
    }
}

void measure(std::size_t batch, double perSecond, std::chrono::milliseconds duration)
{
    asio::io_context context;
    tests::FakeStore store;
    store.latency = std::chrono::milliseconds(4);
    requests::ClaimBounds bounds;
    bounds.batch = batch;
    Claims claims(context.get_executor(), store, bounds);
    ClaimStats stats;
    const runtime::Instant start = runtime::Clock::now();
    tests::runOn(context, submitClaims(context, claims, perSecond, duration, stats));
    while (stats.open > 0) {
        context.run_one();
    }
    const double seconds = std::chrono::duration<double>(runtime::Clock::now() - start).count();
    std::size_t bytes = 0;
    for (const auto &[key, entry] : store.entries()) {
        bytes += key.size() + entry.value.size();
    }
    std::printf("  batch %2zu, offered %5.0f/s: %6.0f claims/s, %4.0f writes/s, added p50 %7.2f ms, p99 %8.2f ms, %zu bytes a claim\n",
                batch,
                perSecond,
                static_cast<double>(stats.latencies.count()) / seconds,
                static_cast<double>(store.transactions) / seconds,
                static_cast<double>(stats.latencies.quantile(0.5).count()) / 1e6,
                static_cast<double>(stats.latencies.quantile(0.99).count()) / 1e6,
                bytes / std::max<std::size_t>(store.entries().size(), 1));
}

} // namespace

void benchClaims(std::chrono::milliseconds duration)
{
    std::printf("claims of one entry: a store that answers a write in 4 ms, at most 67 writes a second\n");
    for (const double perSecond : {20.0, 60.0, 600.0, 3000.0}) {
        for (const std::size_t batch : {1U, 64U}) {
            if (batch > 1 || perSecond < 100) {
                measure(batch, perSecond, duration);
            }
        }
    }
}

} // namespace plantainfork::bench
