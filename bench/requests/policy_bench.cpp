#include "policy_bench.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <thread>

#include "bench_cluster.h"
#include "http/client.h"
#include "latencies.h"
#include "load.h"

namespace plantainfork::bench
{

namespace asio = boost::asio;

namespace
{

/** Ten executors with 8 slots each can serve 2000 requests a second at 40 ms per request. */
constexpr std::chrono::milliseconds Delay{40};
constexpr std::size_t Executors = 10;
constexpr std::uint32_t Slots = 8;
constexpr double Capacity = Executors * Slots * 1000.0 / Delay.count();

const std::vector<std::pair<std::string, double>> Shares{{"a", 0.4}, {"b", 0.3}, {"c", 0.2}, {"d", 0.1}};

ClusterOptions options()
{
    ClusterOptions options;
    options.executors = Executors;
    options.slots = Slots;
    options.delay = Delay;
    return options;
}

/** Sends through an entry and an agent, but without an HTTP connection to the entry, whose cost benchPath() measures. */
Send throughDaemons(Cluster &cluster)
{
    return [&cluster](const Stream &stream, std::string id) -> asio::awaitable<Answer> {
        http::Request request = Cluster::request(stream.workspace, stream.kind, id, stream.deadline);
        const http::Response response = co_await cluster.frontend->handle(std::move(request));
        const std::string outcome = response.header("Plantainfork-Outcome").value_or("");
        co_return Answer{outcome == "answered" && response.status == 200, outcome == "not-run"};
    };
}

/** Baseline: sends to each executor in turn, without a limit on concurrent requests. */
class RoundRobin
{
public:
    explicit RoundRobin(Cluster &cluster)
    {
        for (const auto &executor : cluster.executors) {
            m_clients.push_back(std::make_shared<http::Client>(cluster.entryThreads.context().get_executor(), "127.0.0.1", executor->port(), 2000));
        }
    }

    Send send()
    {
        return [this](const Stream &stream, std::string id) -> asio::awaitable<Answer> {
            http::Request request = Cluster::request(stream.workspace, stream.kind, id, stream.deadline);
            const runtime::Instant deadline = runtime::Clock::now() + stream.deadline;
            http::Exchange exchange = co_await m_clients[m_next++ % m_clients.size()]->send(std::move(request), deadline);
            co_return Answer{exchange.response.ok() && exchange.response->status == 200, false};
        };
    }

private:
    std::vector<std::shared_ptr<http::Client>> m_clients;
    std::atomic<std::size_t> m_next{0};
};

/** The same load from each workspace, of which `urgentShare` is urgent. */
std::vector<Stream> mixedLoad(double perSecond, double urgentShare = 0.1)
{
    std::vector<Stream> streams;
    for (const auto &[workspace, share] : Shares) {
        streams.push_back({workspace, "count", perSecond / 4 * urgentShare});
        streams.push_back({workspace, "nest", perSecond / 4 * (1 - urgentShare)});
    }
    return streams;
}

struct Summary {
    double goodput = 0;
    double p50 = 0;
    double p99 = 0;
    double max = 0;
    std::size_t refused = 0;
    /** Requests that were neither refused nor answered well. */
    std::size_t other = 0;
    std::map<std::string, double> perWorkspace;
};

/**
 * Summarizes the requests of a template, or of all if `kind` is empty: latencies (ms) and refusals of those that arrived
 * in the interval, and the rate per second of good answers that ended in it.
 */
Summary summarise(const std::vector<Stream> &streams,
                  const std::vector<EndedRequest> &ended,
                  std::chrono::milliseconds from,
                  std::chrono::milliseconds until,
                  const std::string &kind,
                  const std::string &exceptWorkspace = "")
{
    Summary summary;
    Latencies latencies;
    const double seconds = std::chrono::duration<double>(until - from).count();
    for (const EndedRequest &end : ended) {
        const Stream &stream = streams[end.stream];
        const bool isCounted = (kind.empty() || stream.kind == kind) && stream.workspace != exceptWorkspace && end.arrived >= from && end.arrived < until;
        if (!isCounted) {
            continue;
        }
        summary.refused += end.isRefused ? 1 : 0;
        summary.other += end.isRefused || end.isGood ? 0 : 1;
        if (end.isGood) {
            latencies.add(end.latency);
        }
    }
    for (const EndedRequest &end : ended) {
        const Stream &stream = streams[end.stream];
        const bool isOfKind = (kind.empty() || stream.kind == kind) && stream.workspace != exceptWorkspace;
        const auto endedAt = end.arrived + end.latency;
        if (isOfKind && end.isGood && endedAt >= from && endedAt < until) {
            summary.goodput += 1 / seconds;
            summary.perWorkspace[stream.workspace] += 1 / seconds;
        }
    }
    summary.p50 = static_cast<double>(latencies.quantile(0.5).count()) / 1e6;
    summary.p99 = static_cast<double>(latencies.quantile(0.99).count()) / 1e6;
    summary.max = static_cast<double>(latencies.quantile(1).count()) / 1e6;
    return summary;
}

void print(const char *name, const Summary &summary)
{
    std::printf("  %-34s good %7.0f/s  p50 %8.2f ms  p99 %8.2f ms  max %8.2f ms  refused %6zu  other %5zu\n",
                name,
                summary.goodput,
                summary.p50,
                summary.p99,
                summary.max,
                summary.refused,
                summary.other);
    std::fflush(stdout);
}

constexpr std::chrono::milliseconds WarmUp{500};

} // namespace

void benchOverload(std::chrono::milliseconds duration)
{
    std::printf("overload: %zu executors x %u slots x %ld ms carry %.0f/s; 4 workspaces offer alike, a tenth is urgent\n",
                Executors,
                Slots,
                static_cast<long>(Delay.count()),
                Capacity);
    for (const bool isBaseline : {false, true}) {
        double peak = 0;
        double unloadedQueueing = 0;
        for (const double factor : {0.5, 0.95, 3.0}) {
            Cluster cluster(options());
            RoundRobin roundRobin(cluster);
            const auto streams = mixedLoad(Capacity * factor);
            const Send send = isBaseline ? roundRobin.send() : throughDaemons(cluster);
            const auto ended = runLoad(cluster.entryThreads.context(), streams, duration, send);
            const Summary all = summarise(streams, ended, WarmUp, duration, "");
            const Summary urgent = summarise(streams, ended, WarmUp, duration, "count");
            std::printf(" %s, load x%.2f\n", isBaseline ? "round robin without limits" : "plantainfork", factor);
            print("all", all);
            print("urgent", urgent);
            const double urgentQueueing = urgent.p99 - static_cast<double>(Delay.count());
            unloadedQueueing = factor == 0.5 ? urgentQueueing : unloadedQueueing;
            if (factor == 3.0) {
                std::printf("  goodput / peak %.3f; urgent p99 queueing %.2f ms / unloaded %.2f ms = %.2f\n",
                            all.goodput / peak,
                            urgentQueueing,
                            unloadedQueueing,
                            urgentQueueing / unloadedQueueing);
                for (const auto &[workspace, share] : Shares) {
                    const double guaranteed = std::min(share * Capacity, Capacity * factor / 4);
                    std::printf("  workspace %s: %.0f/s, %.2f of its guarantee\n",
                                workspace.c_str(),
                                all.perWorkspace.contains(workspace) ? all.perWorkspace.at(workspace) : 0,
                                all.perWorkspace.contains(workspace) ? all.perWorkspace.at(workspace) / guaranteed : 0);
                }
            }
            peak = std::max(peak, all.goodput);
        }
    }
}

void benchFaults(std::chrono::milliseconds duration)
{
    std::printf("faults: after a third of the run one of ten executors freezes, one fails everything at once, one falls silent\n");
    for (const bool isBaseline : {false, true}) {
        Cluster cluster(options());
        RoundRobin roundRobin(cluster);
        const auto streams = mixedLoad(Capacity * 0.4, 0.5);
        const auto third = duration / 3;
        std::thread faultInjector([&cluster, third] {
            std::this_thread::sleep_for(third);
            cluster.executors[0]->behaviour = Behaviour::Frozen;
            cluster.executors[1]->behaviour = Behaviour::Fails;
            cluster.agents[2]->stopAnswering();
        });
        const Send send = isBaseline ? roundRobin.send() : throughDaemons(cluster);
        const auto ended = runLoad(cluster.entryThreads.context(), streams, duration, send);
        faultInjector.join();
        std::printf(" %s\n", isBaseline ? "round robin without limits" : "plantainfork");
        const Summary before = summarise(streams, ended, WarmUp, third, "count");
        print("urgent before", before);
        for (auto from = third; from + std::chrono::milliseconds(500) <= duration; from += std::chrono::milliseconds(500)) {
            const Summary after = summarise(streams, ended, from, from + std::chrono::milliseconds(500), "count");
            const std::string name = "urgent " + std::to_string((from - third).count()) + " ms after";
            print(name.c_str(), after);
        }
        const auto extra = cluster.metrics.counter("plantainfork_extra_attempts_total", {{"service", "herd-ledger"}}).value();
        std::printf("  extra attempts %lu for %zu requests = %.3f\n",
                    static_cast<unsigned long>(extra),
                    ended.size(),
                    static_cast<double>(extra) / static_cast<double>(ended.size()));
    }
}

void benchBurst(std::chrono::milliseconds duration)
{
    std::printf("burst: workspace a sends twice the whole capacity in the middle third, the others stay at a tenth of it each\n");
    for (const bool isBaseline : {false, true}) {
        Cluster cluster(options());
        RoundRobin roundRobin(cluster);
        auto streams = mixedLoad(Capacity * 0.4, 0.5);
        const auto third = duration / 3;
        for (const char *kind : {"count", "nest"}) {
            streams.push_back({"a", kind, Capacity, std::chrono::milliseconds(2000), third, 2 * third});
        }
        const Send send = isBaseline ? roundRobin.send() : throughDaemons(cluster);
        const auto ended = runLoad(cluster.entryThreads.context(), streams, duration, send);
        std::printf(" %s\n", isBaseline ? "round robin without limits" : "plantainfork");
        const Summary before = summarise(streams, ended, WarmUp, third, "count", "a");
        const Summary during = summarise(streams, ended, third, 2 * third, "count", "a");
        print("others' urgent before", before);
        print("others' urgent during", during);
        print("all during", summarise(streams, ended, third, 2 * third, ""));
        std::printf("  p99 during / before %.3f\n", during.p99 / before.p99);
    }
}

} // namespace plantainfork::bench
