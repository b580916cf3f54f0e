#include "batch/fair_share.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace plantainfork::batch
{

namespace
{

/** Shares, in even shares, above which levels 1 and 2 begin. */
constexpr std::array<double, 2> LevelBounds{1.0, 2.0};
/** Part of a bound by which a share must exceed it, or fall below it, to change the level, so that levels don't change with every round. */
constexpr double LevelMargin = 0.1;
/** Service below this, in core-equivalent seconds, is dropped; an accelerator provides it in about a millisecond. */
constexpr double MinService = 0.01;

/** The level of a share, in even shares, for a workspace that has been at the given level. */
int nextLevel(double share, int level)
{
    int next = 0;
    for (std::size_t i = 0; i < LevelBounds.size(); ++i) {
        const bool wasAbove = level > static_cast<int>(i);
        const double bound = LevelBounds[i] * (wasAbove ? 1.0 - LevelMargin : 1.0 + LevelMargin);
        next += share > bound ? 1 : 0;
    }
    return next;
}

} // namespace

FairShare::FairShare(std::chrono::seconds halfLife)
    : m_halfLife(halfLife)
{
}

void FairShare::add(const ServiceUse &use, runtime::Instant now)
{
    if (!isOn()) {
        return;
    }
    if (m_addedAt != runtime::Instant() && now > m_addedAt) {
        const double elapsed = std::chrono::duration<double>(now - m_addedAt).count();
        const double decayRate = std::numbers::ln2 / std::chrono::duration<double>(m_halfLife).count();
        const double kept = std::exp(-decayRate * elapsed);
        for (auto &[workspace, record] : m_records) {
            record.service *= kept;
        }
        for (const auto &[workspace, cores] : use) {
            m_records[workspace].service += cores * (1.0 - kept) / decayRate;
        }
    }
    m_addedAt = std::max(m_addedAt, now);
    std::erase_if(m_records, [&](const auto &entry) {
        return entry.second.service < MinService && !use.contains(entry.first);
    });
    updateLevels(use);
}

void FairShare::updateLevels(const ServiceUse &use)
{
    double competing = 0;
    for (const auto &[workspace, cores] : use) {
        competing += m_records[workspace].service;
    }
    for (auto &[workspace, record] : m_records) {
        // A workspace that doesn't compete now is compared as if it did, so that its level is known when its next jobs arrive.
        const bool isCompeting = use.contains(workspace);
        const double total = competing + (isCompeting ? 0.0 : record.service);
        const auto workspaces = static_cast<double>(use.size() + (isCompeting ? 0 : 1));
        record.level = total < MinService ? 0 : nextLevel(record.service / total * workspaces, record.level);
    }
}

int FairShare::level(const base::WorkspaceId &workspace) const
{
    const auto found = m_records.find(workspace);
    return found != m_records.end() ? found->second.level : 0;
}

double FairShare::share(const base::WorkspaceId &workspace) const
{
    const auto found = m_records.find(workspace);
    if (found == m_records.end() || found->second.service <= 0) {
        return 0;
    }
    double total = 0;
    for (const auto &[other, record] : m_records) {
        total += record.service;
    }
    return found->second.service / total;
}

} // namespace plantainfork::batch
