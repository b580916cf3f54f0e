/**
 * An entry's estimate of one executor's health: how many concurrent attempts it can take, and whether it is
 * ejected because it fails or stalls. Reads no clock: times are passed in.
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
    /** The executor answered with a server error or did not answer. */
    Failed,
    /** The agent had no free slot. */
    Refused,
    /** The agent takes no work (leaving, restarted or unreachable), and the executor did not receive the attempt. */
    Unavailable,
};

/** Whether a failing target may be ejected. Forbidden if that would leave most targets ejected. */
enum class Ejection {
    Allowed,
    Forbidden,
};

enum class AttemptKind {
    Regular,
    /** The single attempt sent to an ejected target to check whether it has recovered. */
    Probe,
};

class TargetHealth
{
public:
    explicit TargetHealth(std::uint32_t slots);

    void setSlots(std::uint32_t slots);

    /** Time for which no attempts are sent to an agent after it refused one for lack of slots. */
    static constexpr std::chrono::milliseconds RefusalPause{2};

    /** Whether another attempt may be sent now. */
    [[nodiscard]] bool canAccept(runtime::Instant now) const;
    /** Attempts in flight relative to the limit. */
    [[nodiscard]] double load() const;
    /** Contribution to the pool's capacity, in slots. */
    [[nodiscard]] double capacity() const;
    [[nodiscard]] std::size_t inFlight() const;
    [[nodiscard]] bool isEjected() const;

    /** `expected` is the upper latency estimate for the attempt. */
    AttemptKind start(runtime::Instant now, std::chrono::nanoseconds expected);
    /**
     * Records the end of an attempt and frees its slot. A failing target is ejected only if `ejection` allows it, an
     * unavailable one always. Returns whether the target was ejected or readmitted.
     */
    bool end(AttemptKind kind, AttemptEnd end, runtime::Instant now, Ejection ejection);
    /** Frees the slot of an attempt that was never sent. Does not affect the target's health. */
    void cancel(AttemptKind kind);
    /** Ejects the target if it has attempts in flight and has not answered for far longer than expected. Returns whether it was ejected. */
    bool checkStall(runtime::Instant now);

    /** Number of consecutive failures after which a target is ejected. */
    static constexpr unsigned FailuresToEject = 3;
    static constexpr std::chrono::milliseconds MinEjection{250};
    static constexpr std::chrono::milliseconds MaxEjection{10'000};
    /** A target has stalled if it is silent for longer than this multiple of the expected time and for longer than the minimum. */
    static constexpr int StallFactor = 2;
    static constexpr std::chrono::milliseconds MinStallTimeout{50};

private:
    bool recordSuccess(AttemptKind kind);
    void eject(runtime::Instant now);
    void lowerLimit();
    void raiseLimit();

    std::uint32_t m_slots;
    /** Concurrency limit, from 1 to m_slots. Below m_slots while other entries use some of the slots. */
    double m_limit;
    std::size_t m_inFlight = 0;
    unsigned m_consecutiveFailures = 0;
    /** Moving average of the share of failed attempts, from 0 to 1. */
    double m_failureShare = 0;
    runtime::Instant m_pausedUntil;
    bool m_isEjected = false;
    /** Whether the target was ejected for a stall. Then any success, not only that of a probe, readmits it. */
    bool m_isStalled = false;
    /** If ejected, the time from which a single probe may be sent. */
    runtime::Instant m_probeAt;
    bool m_isProbing = false;
    std::chrono::nanoseconds m_ejectionDuration = MinEjection;
    /** Time of the last answer, or of the first attempt's start after an idle period. */
    runtime::Instant m_lastActivity;
    /** Decaying maximum of the expected durations of recent attempts. */
    std::chrono::nanoseconds m_expectedDuration{0};
};

} // namespace plantainfork::requests
