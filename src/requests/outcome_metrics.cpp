#include "requests/outcome_metrics.h"

#include <string>

namespace plantainfork::requests
{

namespace
{

std::string urgencyName(wire::Urgency urgency)
{
    switch (urgency) {
    case wire::Urgency::Urgent:
        return "urgent";
    case wire::Urgency::Normal:
        return "normal";
    case wire::Urgency::Patient:
        break;
    }
    return "patient";
}

metrics::Labels withLabel(metrics::Labels labels, std::string name, std::string value)
{
    labels.push_back({std::move(name), std::move(value)});
    return labels;
}

} // namespace

OutcomeMetrics::OutcomeMetrics(metrics::Registry &registry)
    : m_registry(registry)
{
}

OutcomeMetrics::Series &OutcomeMetrics::seriesFor(const ClassifiedRequest &request)
{
    const SeriesKey key{request.request.workspace, request.urgency};
    const std::scoped_lock lock(m_mutex);
    const auto known = m_series.find(key);
    if (known != m_series.end()) {
        return known->second;
    }
    const metrics::Labels labels{{"workspace", key.first.value()}, {"urgency", urgencyName(key.second)}};
    constexpr const char *Requests = "plantainfork_requests_total";
    Series created{m_registry.counter(Requests, withLabel(labels, "outcome", "answered")),
                   m_registry.counter(Requests, withLabel(labels, "outcome", "not-run")),
                   m_registry.counter(Requests, withLabel(labels, "outcome", "unknown")),
                   m_registry.histogram("plantainfork_completion_seconds", labels)};
    return m_series.emplace(key, created).first->second;
}

void OutcomeMetrics::count(const ClassifiedRequest &request, const Result &result)
{
    Series &series = seriesFor(request);
    switch (result.outcome) {
    case wire::Outcome::Answered:
        series.answered.add();
        series.completion.record(runtime::Clock::now() - request.request.arrived);
        break;
    case wire::Outcome::NotRun:
        series.notRun.add();
        break;
    case wire::Outcome::Unknown:
        series.unknown.add();
        break;
    }
}

} // namespace plantainfork::requests
