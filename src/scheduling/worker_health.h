/** Quarantines workers on which tasks of different jobs fail in a row. After a quarantine, one borrowing gang tests the worker. */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>

#include "base/ids.h"
#include "runtime/clock.h"

namespace plantainfork::scheduling
{

enum class Health : std::uint8_t {
    Healthy,
    /** Gets no work until the quarantine ends. */
    Quarantined,
    /** Was quarantined. May run one gang: success makes it Healthy, failure quarantines it again. */
    OnProbation,
};

class WorkerHealth
{
public:
    /** A task of the job failed on the worker. Consecutive failures of one job count once, since the job may be the cause. */
    void recordFailure(const base::MemberId &worker, const base::JobId &job, runtime::Instant now);
    void recordSuccess(const base::MemberId &worker);
    /** Takes the count of consecutive failures from the worker's agent. Only an increase since the last report has an effect. */
    void recordReport(const base::MemberId &worker, std::uint32_t consecutiveFailures, runtime::Instant now);
    /**
     * The worker refused to prepare, so its capacity is not what the scheduler assumes. It gets no work for a
     * short time and then has the same health as before.
     */
    void recordRefusal(const base::MemberId &worker, runtime::Instant now);
    void forget(const base::MemberId &worker);

    /** Ends the quarantines that have expired, and returns their workers. */
    [[nodiscard]] std::vector<base::MemberId> expireQuarantines(runtime::Instant now);
    [[nodiscard]] Health health(const base::MemberId &worker) const;

private:
    struct Record {
        std::uint32_t failures = 0;
        base::JobId lastFailedJob;
        std::uint32_t lastReported = 0;
        Health health = Health::Healthy;
        /** Set while Quarantined. */
        runtime::Instant quarantinedUntil;
        /** Length of the last quarantine; zero before the first. Doubled for the next. */
        std::chrono::milliseconds quarantineLength{0};
        /** Health when the present quarantine ends. */
        Health afterQuarantine = Health::OnProbation;
    };

    void quarantine(Record &record, runtime::Instant now);

    /** Workers that have had a failure or a refusal. A worker without a record is Healthy. */
    absl::btree_map<base::MemberId, Record> m_records;
};

} // namespace plantainfork::scheduling
