/**
 * Opens the start barrier of one gang and detects members that have failed or send no heartbeats. It belongs
 * to the agent of the gang's rank 0. It does no I/O and reads no clock: heartbeats and their times are passed in.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "runtime/clock.h"
#include "wire/gang_messages.h"

namespace plantainfork::jobs
{

class GangMonitor
{
public:
    /** A member without a heartbeat for the lease breaks the gang. The lease counts from the first heartbeat of any member. */
    GangMonitor(std::uint32_t members, std::chrono::milliseconds lease, runtime::Instant now);

    /**
     * Handles the heartbeat of one rank. Prepared means ready to start at once; Absent means committed but not
     * ready. The barrier opens when all ranks are ready and their heartbeats are within the lease. A rank that
     * ends other than by Finished, is stopping or is silent for the lease breaks the gang for good.
     */
    wire::GangHeartbeatReply handleHeartbeat(std::uint32_t rank, wire::TaskState state, runtime::Instant now);

    /** Breaks the gang. The reason of the first call is kept. */
    void breakGang(const std::string &reason);

    /** True when every rank has ended or has been silent for LeasesUntilDropped leases, so that the monitor can be dropped. */
    [[nodiscard]] bool hasEnded(runtime::Instant now) const;

private:
    struct Rank {
        wire::TaskState state = wire::TaskState::Absent;
        runtime::Instant lastHeartbeat;
    };

    void openBarrierIfReady(runtime::Instant now);
    void breakIfSilent(runtime::Instant now);
    [[nodiscard]] bool isSilent(const Rank &rank, runtime::Instant now) const;

    std::vector<Rank> m_ranks;
    std::chrono::milliseconds m_lease;
    bool m_hasHeartbeat = false;
    /** Neither flag is ever reset. A gang can break before or after its barrier opens. */
    bool m_isBarrierOpen = false;
    bool m_isBroken = false;
    std::string m_reason;
};

} // namespace plantainfork::jobs
