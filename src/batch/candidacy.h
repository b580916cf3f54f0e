/**
 * Decides which entry should lead: how long a candidate waits before it tries to take the lease, and when a leader that can't keep up hands
 * the lease over. Pure: the caller passes what is known.
 *
 * Designed for entries of unequal hosts. A leader's cost grows with the fleet; on a host with a small share of a processor it decides late
 * and on old reports, while other entries have several times that share.
 */
#pragma once

#include <chrono>
#include <vector>

#include "runtime/clock.h"

namespace plantainfork::batch
{

/** Share of a processor that an entry's host grants it, 0 to 1. */
using ProcessorShare = double;

struct CandidacyBounds {
    /** A candidate waits this many store round-trip times, so that an entry near the store wins. */
    static constexpr int RoundTrips = 4;
    static constexpr std::chrono::milliseconds MaxRoundTripDelay{400};
    /** Further delay of a candidate when another entry is abler; longer than the round trips of any candidate within a region. */
    static constexpr std::chrono::milliseconds LessAbleDelay{300};
    /** Another entry is abler if its share is at least this many times as large; smaller differences aren't worth a delay. */
    static constexpr double AblerFactor = 1.5;
    /** Until the other entries are known, a candidate with less than this share assumes that one of them is abler. */
    static constexpr ProcessorShare AbleShare = 0.25;
    /** A leader whose timers are later than this in the mean can't keep up. */
    static constexpr std::chrono::milliseconds MaxTimerLag{50};
    /** How long it must be unable to keep up before it hands over, so that a short pause doesn't cost a change of leader. */
    static constexpr std::chrono::seconds MinOverload{5};
};

/** Whether one of the other entries is clearly abler; `others` is empty until they are known. */
[[nodiscard]] bool isAblerEntryKnown(ProcessorShare own, const std::vector<ProcessorShare> &others);

/** How long a candidate waits; `roundTrip` is the time of its last store call. */
[[nodiscard]] runtime::Clock::duration candidateDelay(runtime::Clock::duration roundTrip, ProcessorShare own, const std::vector<ProcessorShare> &others);

/** Follows how late a leader's timers are. */
class OverloadDetector
{
public:
    /** Adds a measurement: a timer that was due at `due` ran at `ranAt`. */
    void add(runtime::Instant due, runtime::Instant ranAt);

    [[nodiscard]] runtime::Clock::duration lag() const
    {
        return m_lag;
    }
    /** Whether the leader has been unable to keep up for at least CandidacyBounds::MinOverload. */
    [[nodiscard]] bool isOverloaded(runtime::Instant now) const
    {
        return m_overloadedSince != runtime::Instant() && now - m_overloadedSince >= CandidacyBounds::MinOverload;
    }

private:
    /** Moving average of the lateness. */
    runtime::Clock::duration m_lag{};
    /** Since when the average has been above the limit; Instant() while it is not. */
    runtime::Instant m_overloadedSince{};
};

} // namespace plantainfork::batch
