/**
 * Holds the agent's start permit and tells whether a task may start now. It is checked immediately before each
 * start rather than when the command arrives, so that a suspension of the process in between is accounted for.
 */
#pragma once

#include <atomic>

#include "base/ids.h"
#include "runtime/clock.h"

namespace plantainfork::permits
{

class PermitGate
{
public:
    /**
     * Accepts a permit issued by a parent. Its lifetime is measured from `askedAt`, when this process sent the call
     * whose reply contained it, so that network delay and suspension of the process count against it.
     */
    void accept(base::Revision revision, runtime::Instant askedAt, std::chrono::milliseconds lifetime);

    /** Revokes the permit immediately because the data centre was taken out of service. */
    void close();

    /** Whether a permit was accepted that has neither expired nor been revoked. */
    [[nodiscard]] bool isOpen() const;
    /** When the permit expires; the clock's epoch if there is none. */
    [[nodiscard]] runtime::Instant validUntil() const;

private:
    /** When the permit expires, in nanoseconds of the runtime clock. accept() never decreases it; close() resets it to zero. */
    std::atomic<runtime::Clock::rep> m_validUntil{0};
    /** Highest revision of an accepted permit. Permits of older revisions are ignored. */
    std::atomic<std::uint64_t> m_revision{0};
};

} // namespace plantainfork::permits
