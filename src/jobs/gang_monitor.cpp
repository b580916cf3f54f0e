#include "jobs/gang_monitor.h"

#include <algorithm>

#include "targets/announcement.h"

namespace plantainfork::jobs
{

namespace
{

/** Leases without a heartbeat after which a rank counts as ended, so that the gang's monitor can be dropped. */
constexpr int LeasesUntilDropped = 10;

bool isEnded(wire::TaskState state)
{
    return state == wire::TaskState::Finished || state == wire::TaskState::Failed || state == wire::TaskState::Stopped;
}

bool breaksGang(wire::TaskState state)
{
    return state == wire::TaskState::Failed || state == wire::TaskState::Stopped || state == wire::TaskState::Stopping;
}

} // namespace

GangMonitor::GangMonitor(std::uint32_t members, std::chrono::milliseconds lease, runtime::Instant now)
    : m_ranks(members, Rank{wire::TaskState::Absent, now})
    , m_lease(lease)
{
}

wire::GangHeartbeatReply GangMonitor::handleHeartbeat(std::uint32_t rank, wire::TaskState state, runtime::Instant now)
{
    if (rank >= m_ranks.size()) {
        return {false, true, "rank " + std::to_string(rank) + " is not of this gang"};
    }
    if (!m_hasHeartbeat) {
        m_hasHeartbeat = true;
        std::fill(m_ranks.begin(), m_ranks.end(), Rank{wire::TaskState::Absent, now});
    }
    m_ranks[rank] = {state, now};
    if (breaksGang(state)) {
        breakGang("rank " + std::to_string(rank) + " is " + std::string(targets::nameOf(state)));
    }
    if (m_isBarrierOpen && state == wire::TaskState::Absent) {
        breakGang("rank " + std::to_string(rank) + " could not start");
    }
    breakIfSilent(now);
    openBarrierIfReady(now);
    return {m_isBarrierOpen && !m_isBroken, m_isBroken, m_reason};
}

void GangMonitor::breakGang(const std::string &reason)
{
    if (!m_isBroken) {
        m_isBroken = true;
        m_reason = reason;
    }
}

bool GangMonitor::hasEnded(runtime::Instant now) const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [this, now](const Rank &rank) {
        return isEnded(rank.state) || now - rank.lastHeartbeat > LeasesUntilDropped * m_lease;
    });
}

void GangMonitor::openBarrierIfReady(runtime::Instant now)
{
    if (m_isBarrierOpen || m_isBroken) {
        return;
    }
    m_isBarrierOpen = std::all_of(m_ranks.begin(), m_ranks.end(), [this, now](const Rank &rank) {
        return rank.state == wire::TaskState::Prepared && !isSilent(rank, now);
    });
}

void GangMonitor::breakIfSilent(runtime::Instant now)
{
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        if (!isEnded(m_ranks[i].state) && isSilent(m_ranks[i], now)) {
            breakGang("rank " + std::to_string(i) + " has been silent for its lease");
        }
    }
}

bool GangMonitor::isSilent(const Rank &rank, runtime::Instant now) const
{
    return now - rank.lastHeartbeat > m_lease;
}

} // namespace plantainfork::jobs
