/**
 * Spreads the starts of queued work in time. Requests that were started together end together, and an urgent
 * one that arrives in between would find no slot for as long as they run. Pure: times are passed in.
 */
#pragma once

#include <algorithm>
#include <chrono>

#include "requests/latency_estimate.h"
#include "runtime/clock.h"

namespace plantainfork::requests
{

class Pacer
{
public:
    /** Tells whether requests wait. Pacing begins once they have done so for about the time that one runs. */
    void setContended(bool isContended, runtime::Instant now)
    {
        if (!isContended) {
            m_contendedSince = runtime::Instant::max();
        } else if (m_contendedSince == runtime::Instant::max()) {
            m_contendedSince = now;
        }
    }

    /** Whether one more start fits; `slots` are shared by requests that hold one for `holdTime` each. */
    [[nodiscard]] bool mayStart(runtime::Instant now, double slots, std::chrono::nanoseconds holdTime)
    {
        if (m_contendedSince == runtime::Instant::max() || now - m_contendedSince < holdTime || holdTime.count() <= 0) {
            return true;
        }
        const double rate = RateFactor * slots / std::chrono::duration<double>(holdTime).count();
        m_tokens = std::min(m_tokens + std::chrono::duration<double>(now - m_refilledAt).count() * rate, 1 + slots * MaxTokenShare);
        m_refilledAt = now;
        return m_tokens >= 1;
    }

    void countStart()
    {
        m_tokens = std::max(0.0, m_tokens - 1);
    }

private:
    /** Rate of starts relative to what the slots can keep up, so that pacing itself never limits the throughput. */
    static constexpr double RateFactor = 1.5;
    /** Starts saved up, as a share of the slots. */
    static constexpr double MaxTokenShare = 0.1;

    runtime::Instant m_contendedSince = runtime::Instant::max();
    runtime::Instant m_refilledAt;
    double m_tokens = 0;
};

} // namespace plantainfork::requests
