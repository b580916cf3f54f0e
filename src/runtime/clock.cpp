#include "runtime/clock.h"

#include <atomic>
#include <cassert>
#include <ctime>

namespace plantainfork::runtime
{

namespace
{

/** Reading at which the clock stands while paused, in nanoseconds; negative while it runs. */
std::atomic<Clock::rep> pausedReading{-1};
/** Added to the system's reading so that a resumed clock goes on from where it stood. */
std::atomic<Clock::rep> offsetOfReading{0};

Clock::rep systemReading()
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return std::chrono::nanoseconds(std::chrono::seconds(reading.tv_sec)).count() + reading.tv_nsec;
}

} // namespace

Clock::time_point Clock::now()
{
    const rep pausedAt = pausedReading.load(std::memory_order_acquire);
    const rep reading = pausedAt >= 0 ? pausedAt : systemReading() + offsetOfReading.load(std::memory_order_acquire);
    return time_point(duration(reading));
}

void Clock::pause()
{
    pausedReading.store(now().time_since_epoch().count(), std::memory_order_release);
}

void Clock::resume()
{
    assert(isPaused());
    offsetOfReading.store(pausedReading.load() - systemReading(), std::memory_order_release);
    pausedReading.store(-1, std::memory_order_release);
}

void Clock::advance(duration step)
{
    assert(isPaused());
    pausedReading.fetch_add(step.count(), std::memory_order_acq_rel);
}

bool Clock::isPaused()
{
    return pausedReading.load(std::memory_order_acquire) >= 0;
}

} // namespace plantainfork::runtime
