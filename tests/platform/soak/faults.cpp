#include "platform/soak/faults.h"

#include <algorithm>
#include <array>
#include <random>

namespace plantainfork::soak
{

namespace
{

constexpr std::chrono::milliseconds Shortest{300};
constexpr std::chrono::milliseconds Longest{3500};
constexpr std::chrono::milliseconds ShortestRoom{6000};
constexpr std::chrono::milliseconds LongestRoom{9000};
/** Longer than a lease. */
constexpr std::chrono::milliseconds LongestIncarnationFault{6000};
/** Keeps the series from drawing the same targets as the one of the frequent kinds. */
constexpr std::uint64_t IncarnationSeries = 0x10000;
constexpr std::uint64_t PlannedSeries = 0x20000;
constexpr std::uint64_t PolicySeries = 0x30000;
/** How long the platform takes to start a process again. */
constexpr std::chrono::milliseconds ShortestRestart{50};
constexpr std::chrono::milliseconds LongestRestart{1500};

constexpr std::array<std::string_view, FaultKinds> Names{"kill entry",
                                                         "kill agent",
                                                         "kill all",
                                                         "pause entry",
                                                         "pause agent",
                                                         "stop entry",
                                                         "store silent",
                                                         "store turns calls away",
                                                         "store slow",
                                                         "store loses answers",
                                                         "store forgets its history",
                                                         "cut from the store",
                                                         "store connections swallowed",
                                                         "executor cut off",
                                                         "executor connections reset",
                                                         "executor crashes",
                                                         "orders carried out late",
                                                         "executor fails all",
                                                         "policy changes",
                                                         "room changes",
                                                         "policy grows, slow lines",
                                                         "executor lost for good",
                                                         "heartbeats under another id",
                                                         "heartbeats of a later birth",
                                                         "heartbeats of another service",
                                                         "odd heartbeats",
                                                         "heartbeat of an earlier life",
                                                         "foreign goodbye",
                                                         "goodbye of an earlier life",
                                                         "executor leaves",
                                                         "executor paused",
                                                         "stop two entries",
                                                         "stop all entries",
                                                         "stop entry, again during it",
                                                         "stop entry, again after its start",
                                                         "reload entry"};

struct Series {
    std::uint64_t seed = 0;
    unsigned firstKind = 0;
    unsigned kinds = 0;
    std::chrono::milliseconds shortest{0};
    std::chrono::milliseconds longest{0};
};

void draw(std::vector<Fault> &faults, const Series &series, std::chrono::milliseconds length, std::chrono::milliseconds gap)
{
    // The generator's own numbers are the same everywhere; the library's distributions needn't be.
    std::mt19937_64 random(series.seed);
    const auto below = [&random](std::chrono::milliseconds bound) {
        return std::chrono::milliseconds(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound.count())));
    };
    for (std::chrono::milliseconds at(500); at < length * 4 / 5; at += below(2 * gap)) {
        Fault fault;
        fault.at = at;
        fault.kind = static_cast<FaultKind>(series.firstKind + random() % series.kinds);
        fault.target = static_cast<unsigned>(random() % 1024);
        fault.length = series.shortest + below(series.longest - series.shortest);
        faults.push_back(fault);
    }
}

void sortByTime(std::vector<Fault> &faults)
{
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) {
        return left.at < right.at;
    });
}

} // namespace

std::string_view faultText(FaultKind kind)
{
    return Names.at(static_cast<std::size_t>(kind));
}

std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds length, std::chrono::milliseconds gap)
{
    std::vector<Fault> faults;
    draw(faults, {seed, 0, FrequentFaultKinds, Shortest, Longest}, length, gap);
    draw(faults, {seed, static_cast<unsigned>(FaultKind::RoomChange), 1, ShortestRoom, LongestRoom}, length, 3 * gap);
    const auto incarnationKinds = FaultKinds - PlannedFaultKinds - IncarnationFaultKinds;
    draw(faults, {seed ^ IncarnationSeries, incarnationKinds, IncarnationFaultKinds, Shortest, LongestIncarnationFault}, length, gap * 3 / 2);
    if (seed % LargePolicySeeds == 1) {
        faults.push_back({length / 4, FaultKind::LargePolicy, 0, {}});
    }
    sortByTime(faults);
    return faults;
}

std::vector<Fault> drawPlannedWork(std::uint64_t seed, std::chrono::milliseconds length, std::chrono::milliseconds gap)
{
    std::vector<Fault> faults;
    draw(faults, {seed, static_cast<unsigned>(FaultKind::StopEntry), 1, ShortestRestart, LongestRestart}, length, 3 * gap);
    draw(faults, {seed ^ PlannedSeries, FaultKinds - PlannedFaultKinds, PlannedFaultKinds, ShortestRestart, LongestRestart}, length, 3 * gap);
    draw(faults, {seed ^ PolicySeries, static_cast<unsigned>(FaultKind::PolicyChange), 1, ShortestRestart, LongestRestart}, length, 6 * gap);
    sortByTime(faults);
    return faults;
}

bool isPlanned(FaultKind kind)
{
    return kind == FaultKind::StopEntry || kind == FaultKind::PolicyChange || kind >= FaultKind::StopPair;
}

} // namespace plantainfork::soak
