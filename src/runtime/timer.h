/** Asio timers on the runtime clock. */
#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>

#include "runtime/clock.h"

namespace plantainfork::runtime
{

/** Makes waiting timers look again at short intervals while the clock is paused. */
struct WaitTraits {
    static Clock::duration to_wait_duration(const Clock::duration &remaining)
    {
        return capped(remaining);
    }
    static Clock::duration to_wait_duration(const Clock::time_point &until)
    {
        return capped(until - Clock::now());
    }

private:
    static Clock::duration capped(Clock::duration remaining)
    {
        const bool mustPoll = Clock::isPaused() && remaining > PausedPollInterval;
        return mustPoll ? Clock::duration(PausedPollInterval) : remaining;
    }
};

using Timer = boost::asio::basic_waitable_timer<Clock, WaitTraits>;

/** Waits on the current coroutine's executor. Returns early, without an error, when cancelled. */
boost::asio::awaitable<void> sleepFor(Clock::duration duration);
boost::asio::awaitable<void> sleepUntil(Instant instant);

} // namespace plantainfork::runtime
