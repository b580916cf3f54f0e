/**
 * The clock of the runtime. Everything that waits or compares times uses it, so that a test can pause
 * time for the whole process and advance it by hand.
 */
#pragma once

#include <chrono>

namespace plantainfork::runtime
{

/**
 * Monotonic clock (CLOCK_BOOTTIME while it runs, so that time spent suspended counts against leases and permits).
 * Satisfies the standard Clock requirements; timers on it are declared in runtime/timer.h.
 */
class Clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;

    static time_point now();

    /** Stops the clock at its present reading. Timers started afterwards fire only after advance(). For tests. */
    static void pause();
    /** Lets a paused clock run on from its present reading. */
    static void resume();
    /** Moves a paused clock forward; waiting timers notice within PausedPollInterval of real time. */
    static void advance(duration step);
    [[nodiscard]] static bool isPaused();
};

using Instant = Clock::time_point;

/** Real time after which a timer looks at a paused clock again. */
constexpr std::chrono::milliseconds PausedPollInterval{1};

} // namespace plantainfork::runtime
