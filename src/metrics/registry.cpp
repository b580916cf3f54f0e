#include "metrics/registry.h"

#include <array>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

namespace plantainfork::metrics
{

namespace
{

constexpr std::array<double, 3> ExposedQuantiles{0.5, 0.9, 0.99};

/** All series of one name share its kind; keyed by labels, so that the output is in a stable order. */
template<typename Metric>
using Family = std::map<Labels, std::unique_ptr<Metric>>;
template<typename Metric>
using Families = std::map<std::string, Family<Metric>, std::less<>>;

template<typename Metric>
Metric &findOrAdd(Families<Metric> &families, std::string_view name, const Labels &labels)
{
    auto &metric = families[std::string(name)][labels];
    if (!metric) {
        metric = std::make_unique<Metric>();
    }
    return *metric;
}

std::string escapeLabelValue(const std::string &value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character;
    }
    return text;
}

std::string labelText(const Labels &labels)
{
    std::string text;
    for (const auto &label : labels) {
        text += text.empty() ? "{" : ",";
        text += label.name + "=\"" + escapeLabelValue(label.value) + "\"";
    }
    return text.empty() ? text : text + "}";
}

double inSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

template<typename Metric>
void writeValues(std::ostream &stream, const Families<Metric> &families, std::string_view type)
{
    for (const auto &[name, family] : families) {
        stream << "# TYPE " << name << ' ' << type << '\n';
        for (const auto &[labels, metric] : family) {
            stream << name << labelText(labels) << ' ' << metric->value() << '\n';
        }
    }
}

void writeSummary(std::ostream &stream, const std::string &name, const Labels &labels, const Histogram &histogram)
{
    for (const double fraction : ExposedQuantiles) {
        Labels withQuantile = labels;
        std::ostringstream quantile;
        quantile << fraction;
        withQuantile.push_back({"quantile", quantile.str()});
        stream << name << labelText(withQuantile) << ' ' << inSeconds(histogram.quantile(fraction)) << '\n';
    }
    stream << name << "_sum" << labelText(labels) << ' ' << inSeconds(histogram.sum()) << '\n';
    stream << name << "_count" << labelText(labels) << ' ' << histogram.count() << '\n';
}

} // namespace

struct Registry::State {
    /** Guards the maps, not the metrics: their addresses don't change and their values are atomic. */
    mutable std::mutex mutex;
    Families<Counter> counters;
    Families<Gauge> gauges;
    Families<Histogram> histograms;
};

Registry::Registry()
    : m_state(std::make_unique<State>())
{
}

Registry::~Registry() = default;

Counter &Registry::counter(std::string_view name, const Labels &labels)
{
    const std::lock_guard lock(m_state->mutex);
    return findOrAdd(m_state->counters, name, labels);
}

Gauge &Registry::gauge(std::string_view name, const Labels &labels)
{
    const std::lock_guard lock(m_state->mutex);
    return findOrAdd(m_state->gauges, name, labels);
}

Histogram &Registry::histogram(std::string_view name, const Labels &labels)
{
    const std::lock_guard lock(m_state->mutex);
    return findOrAdd(m_state->histograms, name, labels);
}

std::string Registry::text() const
{
    const std::lock_guard lock(m_state->mutex);
    std::ostringstream stream;
    writeValues(stream, m_state->counters, "counter");
    writeValues(stream, m_state->gauges, "gauge");
    for (const auto &[name, family] : m_state->histograms) {
        stream << "# TYPE " << name << " summary\n";
        for (const auto &[labels, histogram] : family) {
            writeSummary(stream, name, labels, *histogram);
        }
    }
    return stream.str();
}

} // namespace plantainfork::metrics
