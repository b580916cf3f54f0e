/**
 * Tracks how long this process's configuration is known to be the newest accepted one, and issues start permits
 * for that time. The proof originates in a read of the store and is passed down the uplink tree, and between
 * entries, as start permits whose remaining lifetime only decreases. A permit based on a read that began before a
 * change was accepted therefore expires at most one permit lifetime after that change, regardless of which
 * processes are disconnected, suspended or restarted.
 */
#pragma once

#include <chrono>
#include <mutex>

#include "base/ids.h"
#include "runtime/clock.h"
#include "wire/member_messages.h"

namespace plantainfork::permits
{

class ConfigFreshness
{
public:
    /** `lifetime` is the lifetime of a permit, measured from the start of the store read that it is based on. */
    explicit ConfigFreshness(std::chrono::milliseconds lifetime);

    /** Entries only: a store read started at `askedAt` confirmed that `revision` is the newest. */
    void confirmByStore(base::Revision revision, runtime::Instant askedAt);

    /** Accepts a permit issued by a parent or another entry. `askedAt` must not be later than the time of issue. */
    void confirmByPermit(const wire::StartPermit &permit, runtime::Instant askedAt);

    /**
     * Returns a permit for a process whose configuration is at `configRevision`. The permit has no time remaining if
     * the configuration isn't known to be current, or is older than the revision that was confirmed.
     */
    [[nodiscard]] wire::StartPermit issuePermit(base::Revision configRevision) const;

    /** When the last confirmation expires; the clock's epoch before the first confirmation. */
    [[nodiscard]] runtime::Instant validUntil() const;

private:
    void confirm(base::Revision revision, runtime::Instant until);

    const std::chrono::milliseconds m_permitLifetime;
    mutable std::mutex m_mutex;
    /** Highest confirmed revision. Guarded by m_mutex. */
    base::Revision m_revision;
    /** When the last confirmation expires. Never decreases. Guarded by m_mutex. */
    runtime::Instant m_validUntil;
};

} // namespace plantainfork::permits
