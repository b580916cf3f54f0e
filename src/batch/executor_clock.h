/**
 * What an agent knows of its executor's clock, by which the executor's lease ends. The executor never shortens its lease, so a reading that is
 * another life's, or too old to allow for a slow clock, must not be used for it.
 */
#pragma once

#include <chrono>
#include <optional>

#include "batch/executor_port.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

class ExecutorClock
{
public:
    /** Takes the reading in an answer of the executor. */
    void set(ExecutorTime reading)
    {
        m_reading = reading;
        m_readAt = runtime::Clock::now();
    }
    /** The executor may be another life than the one that was read. */
    void forget()
    {
        m_readAt = {};
    }

    /** The clock's present reading, too high by its drift since the last answer at most; nothing unless there was one lately. */
    [[nodiscard]] std::optional<ExecutorTime> now() const
    {
        const auto age = runtime::Clock::now() - m_readAt;
        if (m_readAt == runtime::Instant() || age > MaxAge) {
            return std::nullopt;
        }
        return m_reading + std::chrono::duration_cast<std::chrono::milliseconds>(age);
    }

private:
    /** Longer than an executor holds a call for its runs. At 2 % of drift, the reading is too high by less than 60 ms. */
    static constexpr std::chrono::milliseconds MaxAge{2900};

    ExecutorTime m_reading{0};
    /** When the reading arrived; Instant() if none counts. */
    runtime::Instant m_readAt{};
};

} // namespace plantainfork::batch
