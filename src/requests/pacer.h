/**
 * Token bucket that spreads the starts of queued requests over time. Requests started together end together, and
 * an urgent request arriving in between would find no free slot until they do. Reads no clock: times are passed in.
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
    /** Sets whether requests are waiting. Pacing begins once they have waited for about the duration of one request. */
    void setContended(bool isContended, runtime::Instant now)
    {
        if (!isContended) {
            m_contendedSince = runtime::Instant::max();
        } else if (m_contendedSince == runtime::Instant::max()) {
            m_contendedSince = now;
        }
    }

    /** Whether another request may start, given the number of slots and the mean time that a request holds one. */
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
    /** Ratio of the start rate to the rate that the slots can sustain. Above 1, so that pacing never limits the throughput. */
    static constexpr double RateFactor = 1.5;
    /** Maximum number of saved tokens beyond one, as a share of the slots. */
    static constexpr double MaxTokenShare = 0.1;

    runtime::Instant m_contendedSince = runtime::Instant::max();
    runtime::Instant m_refilledAt;
    double m_tokens = 0;
};

} // namespace plantainfork::requests
