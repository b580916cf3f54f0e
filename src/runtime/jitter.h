/** Randomised delays, so that processes which fail together don't try again together. */
#pragma once

#include <algorithm>
#include <chrono>

#include "runtime/clock.h"

namespace plantainfork::runtime
{

/** Uniform between zero and the bound. May be called from any thread. */
Clock::duration uniformDelay(Clock::duration bound);

/** Exponential backoff with full jitter. */
struct Backoff {
    std::chrono::milliseconds base{100};
    std::chrono::milliseconds longest{3000};

    /** Delay before try number `failures` + 1; at least a tenth of the bound, so that a loop never spins. */
    [[nodiscard]] Clock::duration delay(unsigned failures) const
    {
        constexpr unsigned MostDoublings = 16;
        const Clock::duration bound = std::min<Clock::duration>(longest, base * (1U << std::min(failures, MostDoublings)));
        return bound / 10 + uniformDelay(bound - bound / 10);
    }
};

} // namespace plantainfork::runtime
