/**
 * Counters, gauges and histograms of a daemon, by name and labels, served as text. Boost.Histogram stays
 * within this folder.
 */
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantainfork::metrics
{

struct Label {
    std::string name;
    std::string value;

    auto operator<=>(const Label &) const = default;
};
using Labels = std::vector<Label>;

class Counter
{
public:
    void add(std::uint64_t count = 1)
    {
        m_count.fetch_add(count, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const
    {
        return m_count.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_count{0};
};

class Gauge
{
public:
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }
    void add(std::int64_t step)
    {
        m_value.fetch_add(step, std::memory_order_relaxed);
    }
    [[nodiscard]] std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value{0};
};

/** Durations on a logarithmic axis from 1 microsecond to 1 day. May be filled from several threads. */
class Histogram
{
public:
    Histogram();
    ~Histogram();
    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    void record(std::chrono::nanoseconds duration);
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] std::chrono::nanoseconds sum() const;
    /** Upper edge of the bin that holds the quantile (0 to 1); zero while empty. */
    [[nodiscard]] std::chrono::nanoseconds quantile(double fraction) const;

private:
    struct Bins;
    std::unique_ptr<Bins> m_bins;
};

/**
 * Owns all metrics of a process. References stay valid for its life; callers keep them rather than look up each time.
 * Names and label names are fixed in the code, [a-z_]+; label values may be anything.
 */
class Registry
{
public:
    Registry();
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    Counter &counter(std::string_view name, const Labels &labels = {});
    Gauge &gauge(std::string_view name, const Labels &labels = {});
    Histogram &histogram(std::string_view name, const Labels &labels = {});

    /** Prometheus text exposition: counters, gauges, and summaries with quantiles 0.5, 0.9, 0.99. */
    [[nodiscard]] std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace plantainfork::metrics
