/**
 * Coarse timers that are checked together. A request schedules one or two and nearly always cancels them, which costs
 * far less here than with separate runtime timers. Does no timing itself: the owner calls runExpired() at short
 * intervals.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "runtime/clock.h"

namespace plantainfork::requests
{

/** Thread-safe. */
class TimerQueue
{
    using Key = std::pair<runtime::Instant, std::uint64_t>;

public:
    /** Cancels its action when destroyed, unless runExpired() has already taken it. The queue must outlive it. */
    class Registration
    {
    public:
        Registration(TimerQueue &queue, Key key)
            : m_queue(queue)
            , m_key(key)
        {
        }
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;
        ~Registration()
        {
            const std::scoped_lock lock(m_queue.m_mutex);
            m_queue.m_timers.erase(m_key);
        }

    private:
        TimerQueue &m_queue;
        Key m_key;
    };

    /** The action runs in the first runExpired() at or after the instant. It must not block. */
    [[nodiscard]] Registration schedule(runtime::Instant instant, std::function<void()> action)
    {
        const std::scoped_lock lock(m_mutex);
        const Key key{instant, m_nextSequence++};
        m_timers.emplace(key, std::move(action));
        return {*this, key};
    }

    /** Runs the actions of all timers at or before the instant. */
    void runExpired(runtime::Instant now)
    {
        std::vector<std::function<void()>> expired;
        {
            const std::scoped_lock lock(m_mutex);
            while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
                expired.push_back(std::move(m_timers.begin()->second));
                m_timers.erase(m_timers.begin());
            }
        }
        for (const auto &action : expired) {
            action();
        }
    }

private:
    std::mutex m_mutex;
    /** Guarded by m_mutex, as is m_nextSequence. */
    std::map<Key, std::function<void()>> m_timers;
    std::uint64_t m_nextSequence = 0;
};

} // namespace plantainfork::requests
