/** Outcome counters and completion-time histograms by workspace and urgency. */
#pragma once

#include <map>
#include <mutex>
#include <utility>

#include "metrics/registry.h"
#include "requests/request.h"

namespace plantainfork::requests
{

/** Thread-safe. */
class OutcomeMetrics
{
public:
    explicit OutcomeMetrics(metrics::Registry &registry);

    void count(const ClassifiedRequest &request, const Result &result);

private:
    using SeriesKey = std::pair<base::WorkspaceId, wire::Urgency>;
    /** References to metrics that live as long as the registry. */
    struct Series {
        metrics::Counter &answered;
        metrics::Counter &notRun;
        metrics::Counter &unknown;
        metrics::Histogram &completion;
    };

    Series &seriesFor(const ClassifiedRequest &request);

    metrics::Registry &m_registry;
    std::mutex m_mutex;
    /** Guarded by m_mutex. One entry per configured workspace and urgency that has made a request. */
    std::map<SeriesKey, Series> m_series;
};

} // namespace plantainfork::requests
