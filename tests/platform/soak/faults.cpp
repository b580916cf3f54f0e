#include "platform/soak/faults.h"

#include <array>
#include <random>

namespace plantainfork::soak
{

namespace
{

constexpr std::int64_t ShortestMs = 300;
constexpr std::int64_t LongestMs = 3500;

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
                                                         "policy changes"};

} // namespace

std::string_view faultText(FaultKind kind)
{
    return Names.at(static_cast<std::size_t>(kind));
}

std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds length, std::chrono::milliseconds gap)
{
    // The generator's own numbers are the same everywhere; the library's distributions needn't be.
    std::mt19937_64 random(seed);
    std::vector<Fault> faults;
    const auto end = length * 4 / 5;
    std::chrono::milliseconds at(500);
    while (at < end) {
        Fault fault;
        fault.at = at;
        fault.kind = static_cast<FaultKind>(random() % FaultKinds);
        fault.target = static_cast<unsigned>(random() % 1024);
        fault.length = std::chrono::milliseconds(ShortestMs + static_cast<std::int64_t>(random() % (LongestMs - ShortestMs)));
        faults.push_back(fault);
        at += std::chrono::milliseconds(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(2 * gap.count())));
    }
    return faults;
}

} // namespace plantainfork::soak
