/**
 * What an entry has learnt about one executor: how many attempts it may hold at a time, and whether it is
 * ejected for failing or stalling. Pure: times are passed in.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "runtime/clock.h"

namespace plantainfork::requests
{

enum class AttemptEnd {
    Succeeded,
    /** The executor answered with a server error, or its answer never came. */
    Failed,
    /** The agent had no free slot. */
    Refused,
    /** The agent takes no work at all (leaving, restarted, unreachable) and the executor wasn't given the attempt. */
    Unavailable,
};

/** Whether a faulty target may be ejected; never when most of its fellows are ejected already. */
enum class Ejection {
    Allowed,
    Forbidden,
};

enum class AttemptKind {
    Regular,
    /** The single attempt that an ejected target gets, to see whether it works again. */
    Probe,
};

class TargetHealth
{
public:
    explicit TargetHealth(std::uint32_t slots);

    void setSlots(std::uint32_t slots);

    /** Nothing is sent to an agent for this long after it refused an attempt for want of slots. */
    static constexpr std::chrono::milliseconds RefusalPause{2};

    /** Whether one more attempt may go there now. */
    [[nodiscard]] bool canAccept(runtime::Instant now) const;
    /** Attempts in flight relative to the limit. */
    [[nodiscard]] double load() const;
    /** Slots that count towards the capacity of the pool. */
    [[nodiscard]] double capacity() const;
    [[nodiscard]] std::size_t inFlight() const;
    [[nodiscard]] bool isEjected() const;

    /** `expected` is how long an attempt of this sort usually takes at most. */
    AttemptKind start(runtime::Instant now, std::chrono::nanoseconds expected);
    /**
     * An attempt has ended and its slot is free. A failing target is ejected only if `ejection` allows it, an unavailable one always. Returns
     * whether this ejected the target or made it healthy again.
     */
    bool end(AttemptKind kind, AttemptEnd end, runtime::Instant now, Ejection ejection);
    /** The attempt was never made; says nothing about the target. */
    void cancel(AttemptKind kind);
    /** Ejects the target when it holds attempts and has answered nothing for far longer than expected. Returns whether it did. */
    bool checkStall(runtime::Instant now);

    /** Failures in a row that eject a target. */
    static constexpr unsigned FailuresToEject = 3;
    static constexpr std::chrono::milliseconds MinEjection{250};
    static constexpr std::chrono::milliseconds MaxEjection{10'000};
    /** Silence beyond this multiple of the expected time, and this minimum, is a stall. */
    static constexpr int StallFactor = 2;
    static constexpr std::chrono::milliseconds MinStallTimeout{50};

private:
    bool recordSuccess(AttemptKind kind);
    void eject(runtime::Instant now);
    void lowerLimit();
    void raiseLimit();

    std::uint32_t m_slots;
    /** From 1 to m_slots: lower while other entries hold part of the slots. */
    double m_limit;
    std::size_t m_inFlight = 0;
    unsigned m_consecutiveFailures = 0;
    /** Share of recent attempts that failed, from 0 to 1. */
    double m_failureShare = 0;
    runtime::Instant m_pausedUntil;
    bool m_isEjected = false;
    /** Ejected for silence: then any answer, and not only a probe's, shows that it works again. */
    bool m_isStalled = false;
    /** While ejected: from then on a single probe may go there. */
    runtime::Instant m_probeAt;
    bool m_isProbing = false;
    std::chrono::nanoseconds m_ejectionDuration = MinEjection;
    /** Last answer, or the start of the first attempt in flight. */
    runtime::Instant m_lastActivity;
    /** Expected time of the slowest among recent attempts. */
    std::chrono::nanoseconds m_expectedDuration{0};
};

} // namespace plantainfork::requests
