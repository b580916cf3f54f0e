/** Collected durations and their quantiles. */
#pragma once

#include <algorithm>
#include <chrono>
#include <vector>

namespace plantainfork::bench
{

class Latencies
{
public:
    void add(std::chrono::nanoseconds latency)
    {
        m_values.push_back(latency);
    }
    void append(const Latencies &other)
    {
        m_values.insert(m_values.end(), other.m_values.begin(), other.m_values.end());
    }
    [[nodiscard]] std::size_t count() const
    {
        return m_values.size();
    }
    /** Returns zero if there are no values. */
    [[nodiscard]] std::chrono::nanoseconds quantile(double fraction) const
    {
        if (m_values.empty()) {
            return std::chrono::nanoseconds(0);
        }
        auto sorted = m_values;
        const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
        std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), sorted.end());
        return sorted[rank];
    }

private:
    std::vector<std::chrono::nanoseconds> m_values;
};

} // namespace plantainfork::bench
