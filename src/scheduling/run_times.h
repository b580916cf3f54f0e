/** Estimates run times from those of finished jobs, since declared run times are often far off. No guarantee depends on the estimates. */
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "scheduling/guarantees.h"
#include "scheduling/model.h"

namespace plantainfork::scheduling
{

class RunTimes
{
public:
    /** Records the total run time of a finished job. Jobs of the same workspace and template share a history. */
    void record(const JobSpec &job, std::chrono::milliseconds actual);
    /** Median estimate of the total run time. */
    [[nodiscard]] std::chrono::milliseconds expected(const JobSpec &job) const;
    /** Estimate of the total run time that about one in ten jobs of this kind exceeds. */
    [[nodiscard]] std::chrono::milliseconds conservative(const JobSpec &job) const;

private:
    struct History {
        /** Ring buffer: actual divided by declared run time (DefaultRunTime if not declared) of the last jobs. */
        std::vector<double> ratios;
        /** Position in ratios that is overwritten next. */
        std::size_t oldest = 0;
    };

    /** The declared run time, multiplied by the given quantile of the ratios. */
    [[nodiscard]] std::chrono::milliseconds estimate(const JobSpec &job, double quantile) const;

    absl::flat_hash_map<GrantKey, History> m_histories;
};

} // namespace plantainfork::scheduling
