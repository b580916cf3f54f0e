/**
 * Policy bench: the pure scheduling core and three baselines over synthetic traces on a virtual clock.
 * Usage: policy_bench [deployments|scale] [SEED]
 */
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>
#include <numeric>
#include <string>

#include "policy/baseline.h"
#include "policy/replay.h"
#include "policy/trace.h"
#include "scheduling/core.h"

namespace plantainfork::bench
{

namespace
{

constexpr std::uint64_t DefaultSeed = 20261204;

double mean(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * share)];
}

void print(const Trace &trace, const Outcome &outcome)
{
    std::vector<double> all;
    for (const auto &[urgency, hours] : outcome.completion) {
        all.insert(all.end(), hours.begin(), hours.end());
    }
    std::printf("%-22s %-14s mean %.3f h p99 %.2f h", trace.name.c_str(), outcome.policy.c_str(), mean(all), quantile(all, 0.99));
    for (const wire::Urgency urgency : {wire::Urgency::Urgent, wire::Urgency::Normal, wire::Urgency::Patient}) {
        const auto found = outcome.completion.find(urgency);
        const std::vector<double> hours = found == outcome.completion.end() ? std::vector<double>{} : found->second;
        std::printf(" | %.3f/%.2f", mean(hours), quantile(hours, 0.99));
    }
    std::printf(" | frag %.3f | useful %.0f lost %.1f | urgent start p99 %.2f s | take-out %.3f | done %llu open %llu failed %llu | violations %llu",
                outcome.fragmentation,
                outcome.usefulHours,
                outcome.lostHours,
                quantile(outcome.urgentStartSeconds, 0.99),
                outcome.takeOutShare,
                static_cast<unsigned long long>(outcome.finished),
                static_cast<unsigned long long>(outcome.unfinished),
                static_cast<unsigned long long>(outcome.failed),
                static_cast<unsigned long long>(outcome.violations));
    std::printf(" | decision mean %.1f p99 %.1f max %.0f us\n",
                mean(outcome.decisionMicroseconds),
                quantile(outcome.decisionMicroseconds, 0.99),
                quantile(outcome.decisionMicroseconds, 1));
    std::fflush(stdout);
}

Outcome runCore(const Trace &trace, const std::string &name, const scheduling::Options &options)
{
    scheduling::Core core(options);
    return replay(trace, name, [&core](const scheduling::Event &event, runtime::Instant now) {
        return core.handle(event, now);
    });
}

Outcome runBaseline(const Trace &trace, const std::string &name, Fit fit)
{
    Baseline baseline(fit);
    return replay(trace, name, [&baseline](const scheduling::Event &event, runtime::Instant now) {
        return baseline.handle(event, now);
    });
}

long residentKiB()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            long size = 0;
            status >> size;
            return size;
        }
    }
    return 0;
}

void deployments(std::uint64_t seed)
{
    using scheduling::DefragmentRule;
    using scheduling::OrderRule;
    using scheduling::PlacementRule;
    using scheduling::ReservationRule;
    std::printf("seed %llu; columns after the mean: urgent | normal | patient, each mean/p99 in hours\n", static_cast<unsigned long long>(seed));
    for (const Deployment deployment : {Deployment::Herd, Deployment::Studio}) {
        for (const Trace &trace : deploymentTraces(deployment, seed)) {
            print(trace, runCore(trace, "core", {}));
            print(trace, runCore(trace, "core-wait", {PlacementRule::BestFit, ReservationRule::Reserve, OrderRule::Due, DefragmentRule::Never}));
            print(trace, runCore(trace, "core-no-holds", {PlacementRule::BestFit, ReservationRule::Never, OrderRule::Due, DefragmentRule::Checkpoint}));
            print(trace, runCore(trace, "core-by-age", {PlacementRule::BestFit, ReservationRule::Reserve, OrderRule::Age, DefragmentRule::Checkpoint}));
            print(trace, runCore(trace, "core-worst-fit", {PlacementRule::WorstFit, ReservationRule::Reserve, OrderRule::Due, DefragmentRule::Checkpoint}));
            print(trace, runBaseline(trace, "fifo-first", Fit::First));
            print(trace, runBaseline(trace, "fifo-worst", Fit::Worst));
            print(trace, runBaseline(trace, "fifo-random", Fit::Random));
        }
    }
}

void scale(std::uint64_t seed)
{
    for (const double fraction : {0.1, 0.25, 0.5, 1.0}) {
        const Trace trace = designedSize(fraction, seed, std::chrono::hours(10));
        scheduling::Core core;
        const long before = residentKiB();
        long inside = 0;
        const Outcome outcome = replay(trace, "core", [&](const scheduling::Event &event, runtime::Instant now) {
            return core.handle(event, now);
        });
        inside = residentKiB();
        print(trace, outcome);
        std::printf("  %zu workers, %zu jobs, peak %llu tasks, process grew %ld KiB to %ld KiB (bench and core together)\n",
                    trace.workers.size(),
                    trace.arrivals.size(),
                    static_cast<unsigned long long>(outcome.peakTasks),
                    inside - before,
                    inside);
        std::fflush(stdout);
    }
}

} // namespace

} // namespace plantainfork::bench

int main(int argc, char **argv)
{
    const std::string mode = argc > 1 ? argv[1] : "deployments";
    const std::uint64_t seed = argc > 2 ? std::stoull(argv[2]) : plantainfork::bench::DefaultSeed;
    if (mode == "scale") {
        plantainfork::bench::scale(seed);
    } else {
        plantainfork::bench::deployments(seed);
    }
    return 0;
}
