/** Counters of outcomes and histograms of completion time, by workspace and urgency. */
#pragma once

#include <map>
#include <mutex>
#include <utility>

#include "metrics/registry.h"
#include "requests/request.h"

namespace plantainfork::requests
{

/** Safe for use from several threads. */
class OutcomeMetrics
{
public:
    explicit OutcomeMetrics(metrics::Registry &registry);

    void count(const ClassifiedRequest &request, const Result &result);

private:
    using SeriesKey = std::pair<base::WorkspaceId, wire::Urgency>;
    /** References into the registry, which live as long as it. */
    struct Series {
        metrics::Counter &answered;
        metrics::Counter &notRun;
        metrics::Counter &unknown;
        metrics::Histogram &completion;
    };

    Series &seriesFor(const ClassifiedRequest &request);

    metrics::Registry &m_registry;
    std::mutex m_mutex;
    /** Guarded by m_mutex. One for each workspace and urgency in the configuration that made a request. */
    std::map<SeriesKey, Series> m_series;
};

} // namespace plantainfork::requests
