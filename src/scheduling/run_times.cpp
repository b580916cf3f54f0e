#include "scheduling/run_times.h"

#include <algorithm>

namespace plantainfork::scheduling
{

namespace
{

/** Assumed for jobs that declare no run time. */
constexpr std::chrono::milliseconds DefaultRunTime = std::chrono::hours(1);
/** Number of finished jobs kept per workspace and template. */
constexpr std::size_t HistoryLength = 32;
constexpr double MedianQuantile = 0.5;
constexpr double ConservativeQuantile = 0.9;

std::chrono::milliseconds declaredOrDefault(const JobSpec &job)
{
    return job.runTime > std::chrono::milliseconds(0) ? job.runTime : DefaultRunTime;
}

} // namespace

void RunTimes::record(const JobSpec &job, std::chrono::milliseconds actual)
{
    History &history = m_histories[{job.workspace, job.templateId}];
    const double ratio = static_cast<double>(actual.count()) / static_cast<double>(declaredOrDefault(job).count());
    if (history.ratios.size() < HistoryLength) {
        history.ratios.push_back(ratio);
        return;
    }
    history.ratios[history.oldest] = ratio;
    history.oldest = (history.oldest + 1) % HistoryLength;
}

std::chrono::milliseconds RunTimes::expected(const JobSpec &job) const
{
    return estimate(job, MedianQuantile);
}

std::chrono::milliseconds RunTimes::conservative(const JobSpec &job) const
{
    return estimate(job, ConservativeQuantile);
}

std::chrono::milliseconds RunTimes::estimate(const JobSpec &job, double quantile) const
{
    const auto found = m_histories.find({job.workspace, job.templateId});
    if (found == m_histories.end()) {
        return declaredOrDefault(job);
    }
    std::vector<double> ratios = found->second.ratios;
    const auto rank = static_cast<std::ptrdiff_t>(static_cast<double>(ratios.size() - 1) * quantile);
    std::nth_element(ratios.begin(), ratios.begin() + rank, ratios.end());
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(declaredOrDefault(job).count()) * ratios[static_cast<std::size_t>(rank)]));
}

} // namespace plantainfork::scheduling
