/** Running estimate of a duration: smoothed mean and mean deviation, as in TCP's round-trip estimate (RFC 6298). */
#pragma once

#include <chrono>
#include <cmath>

namespace plantainfork::requests
{

class LatencyEstimate
{
public:
    using Duration = std::chrono::nanoseconds;

    void add(Duration sample)
    {
        const auto value = static_cast<double>(sample.count());
        if (!m_isKnown) {
            m_mean = value;
            m_deviation = value / 2;
            m_isKnown = true;
            return;
        }
        m_deviation += (std::abs(value - m_mean) - m_deviation) / DeviationWindow;
        m_mean += (value - m_mean) / MeanWindow;
    }

    [[nodiscard]] bool isKnown() const
    {
        return m_isKnown;
    }
    [[nodiscard]] Duration mean() const
    {
        return Duration(static_cast<Duration::rep>(m_mean));
    }
    /** Upper estimate that few samples exceed: the mean plus four mean deviations. */
    [[nodiscard]] Duration high() const
    {
        return Duration(static_cast<Duration::rep>(m_mean + 4 * m_deviation));
    }

private:
    static constexpr double MeanWindow = 16;
    static constexpr double DeviationWindow = 8;

    bool m_isKnown = false;
    double m_mean = 0;
    double m_deviation = 0;
};

} // namespace plantainfork::requests
