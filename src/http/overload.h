/**
 * Decisions of an HTTP listener about clients that respect no limits: which request or response to give up, which idle connection
 * makes room for a new one, when a request takes too long to arrive, and how often a refusal is logged. No I/O and no clock.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "http/message.h"
#include "runtime/clock.h"

namespace plantainfork::http
{

/** What the memory that a connection holds is used for. */
enum class HoldingKind {
    /** Bytes behind a request that was received completely; never given up. */
    Other,
    UnfinishedRequest,
    UnreadResponse,
};

/** Memory that one connection holds. */
struct Holding {
    HoldingKind kind = HoldingKind::Other;
    std::size_t bytes = 0;
    /** When the request began to arrive, or the response to be written. */
    runtime::Instant since{};
};

/**
 * Index of the holding to give up when the budget is insufficient: the largest unfinished request, or the largest response that is not
 * read if those hold more in total; the oldest among equals. Nothing if there is neither.
 */
[[nodiscard]] std::optional<std::size_t> chooseHoldingToShed(const std::vector<Holding> &holdings);

/** Capacity for a body that has to hold `needed` bytes and never holds more than `most`. */
[[nodiscard]] std::size_t bodyCapacity(std::size_t current, std::size_t needed, std::size_t most);

/** An idle connection is not closed for a new one before this time, as its first request may be on its way. */
constexpr std::chrono::milliseconds EvictionGrace{250};

struct IdleConnection {
    runtime::Instant since{};
    /** It has carried a complete request. */
    bool hasServed = false;
};

/**
 * Index of the connection to close for a new one: the longest idle that has never carried a complete request, else the longest idle.
 * Nothing if none has been idle for `grace`.
 */
[[nodiscard]] std::optional<std::size_t>
chooseIdleToEvict(const std::vector<IdleConnection> &idle, runtime::Instant now, std::chrono::milliseconds grace = EvictionGrace);

/** A request may be slower than the minimum rate for this long, so that one lost packet is no reason to refuse it. */
constexpr std::chrono::seconds PaceGrace{5};

/** How much of a request has arrived. */
struct Arrival {
    /** When its first byte was received. */
    runtime::Instant begin{};
    std::size_t bytes = 0;
};

enum class Lateness {
    InTime,
    /** It has been arriving for longer than Limits::arrival. */
    TooLong,
    /** It arrives below Limits::paceBytesPerSecond. */
    TooSlow,
};

[[nodiscard]] Lateness lateness(const Arrival &arrival, const Limits &limits, runtime::Instant now);
/** When an unfinished request is late unless more of it arrives. */
[[nodiscard]] runtime::Instant latestProgress(const Arrival &arrival, const Limits &limits);

/** Lets one line in each interval through and counts the occurrences since the previous one. */
class LineLimit
{
public:
    /** Number of occurrences for the line to be written now, including this one; nothing if none is due. */
    [[nodiscard]] std::optional<std::uint64_t> note(runtime::Instant now);

private:
    std::optional<runtime::Instant> m_lastLine;
    std::uint64_t m_count = 0;
};

} // namespace plantainfork::http
