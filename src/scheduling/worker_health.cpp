#include "scheduling/worker_health.h"

#include <algorithm>

namespace plantainfork::scheduling
{

namespace
{

/** Consecutive failures after which a worker is quarantined; consecutive failures of one job count once. */
constexpr std::uint32_t FailuresToQuarantine = 3;
constexpr std::chrono::milliseconds FirstQuarantine = std::chrono::minutes(1);
constexpr std::chrono::milliseconds LongestQuarantine = std::chrono::hours(1);
/** How long a worker gets no work after it refused to prepare. */
constexpr std::chrono::seconds RefusalQuarantine{5};

} // namespace

void WorkerHealth::recordFailure(const base::MemberId &worker, const base::JobId &job, runtime::Instant now)
{
    Record &record = m_records[worker];
    if (record.health == Health::OnProbation) {
        quarantine(record, now);
        return;
    }
    if (record.lastFailedJob == job) {
        return;
    }
    record.lastFailedJob = job;
    ++record.failures;
    if (record.failures >= FailuresToQuarantine && record.health == Health::Healthy) {
        quarantine(record, now);
    }
}

void WorkerHealth::recordSuccess(const base::MemberId &worker)
{
    const auto found = m_records.find(worker);
    if (found == m_records.end()) {
        return;
    }
    const std::uint32_t lastReported = found->second.lastReported;
    found->second = Record{};
    found->second.lastReported = lastReported;
}

void WorkerHealth::recordReport(const base::MemberId &worker, std::uint32_t consecutiveFailures, runtime::Instant now)
{
    if (consecutiveFailures == 0 && !m_records.contains(worker)) {
        return;
    }
    Record &record = m_records[worker];
    const bool hasGrown = consecutiveFailures > record.lastReported;
    record.lastReported = consecutiveFailures;
    if (hasGrown && consecutiveFailures >= FailuresToQuarantine && record.health == Health::Healthy) {
        quarantine(record, now);
    }
}

void WorkerHealth::recordRefusal(const base::MemberId &worker, runtime::Instant now)
{
    Record &record = m_records[worker];
    if (record.health == Health::Quarantined) {
        return;
    }
    record.afterQuarantine = record.health;
    record.health = Health::Quarantined;
    record.quarantinedUntil = now + RefusalQuarantine;
}

void WorkerHealth::forget(const base::MemberId &worker)
{
    m_records.erase(worker);
}

std::vector<base::MemberId> WorkerHealth::expireQuarantines(runtime::Instant now)
{
    std::vector<base::MemberId> released;
    for (auto &[worker, record] : m_records) {
        if (record.health == Health::Quarantined && record.quarantinedUntil <= now) {
            record.health = record.afterQuarantine;
            record.afterQuarantine = Health::OnProbation;
            released.push_back(worker);
        }
    }
    return released;
}

Health WorkerHealth::health(const base::MemberId &worker) const
{
    const auto found = m_records.find(worker);
    return found == m_records.end() ? Health::Healthy : found->second.health;
}

void WorkerHealth::quarantine(Record &record, runtime::Instant now)
{
    record.quarantineLength = record.quarantineLength.count() == 0 ? FirstQuarantine : std::min(record.quarantineLength * 2, LongestQuarantine);
    record.health = Health::Quarantined;
    record.afterQuarantine = Health::OnProbation;
    record.quarantinedUntil = now + record.quarantineLength;
}

} // namespace plantainfork::scheduling
