/** Durations in a Boost.Histogram with atomic bins, so that recording takes no lock. */
#include "metrics/registry.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace plantainfork::metrics
{

namespace
{

namespace bh = boost::histogram;

/** Range of the axis in seconds: 1 microsecond to 1 day. What lies outside counts in the end bins. */
constexpr double LowestSeconds = 1e-6;
constexpr double HighestSeconds = 86'400.0;
/** Neighbouring edges differ by 12 %, which bounds the error of a quantile. */
constexpr unsigned BinCount = 220;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using AtomicCount = bh::accumulators::thread_safe<std::uint64_t>;
using Storage = bh::dense_storage<AtomicCount>;
using DurationHistogram = bh::histogram<std::tuple<Axis>, Storage>;

double toSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::chrono::nanoseconds fromSeconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
}

} // namespace

struct Histogram::Bins {
    DurationHistogram histogram{std::make_tuple(Axis(BinCount, LowestSeconds, HighestSeconds)), Storage()};
    std::atomic<std::int64_t> totalNanoseconds{0};
};

Histogram::Histogram()
    : m_bins(std::make_unique<Bins>())
{
}

Histogram::~Histogram() = default;

void Histogram::record(std::chrono::nanoseconds duration)
{
    m_bins->histogram(toSeconds(duration));
    m_bins->totalNanoseconds.fetch_add(duration.count(), std::memory_order_relaxed);
}

std::uint64_t Histogram::count() const
{
    std::uint64_t total = 0;
    for (const auto &bin : bh::indexed(m_bins->histogram, bh::coverage::all)) {
        total += bin->load(std::memory_order_relaxed);
    }
    return total;
}

std::chrono::nanoseconds Histogram::sum() const
{
    return std::chrono::nanoseconds(m_bins->totalNanoseconds.load(std::memory_order_relaxed));
}

std::chrono::nanoseconds Histogram::quantile(double fraction) const
{
    const auto total = count();
    if (total == 0) {
        return std::chrono::nanoseconds{0};
    }
    const auto wanted = std::max(1.0, std::ceil(fraction * static_cast<double>(total)));
    std::uint64_t seen = 0;
    for (const auto &bin : bh::indexed(m_bins->histogram, bh::coverage::all)) {
        seen += bin->load(std::memory_order_relaxed);
        if (static_cast<double>(seen) >= wanted) {
            return fromSeconds(std::clamp(bin.bin().upper(), LowestSeconds, HighestSeconds));
        }
    }
    return fromSeconds(HighestSeconds);
}

} // namespace plantainfork::metrics
