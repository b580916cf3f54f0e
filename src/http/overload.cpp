#include "http/overload.h"

#include <algorithm>
#include <utility>

namespace plantainfork::http
{

namespace
{

constexpr std::size_t FirstBodyCapacity = 1024;
constexpr std::chrono::seconds LineInterval{1};

} // namespace

std::optional<std::size_t> chooseHoldingToShed(const std::vector<Holding> &holdings)
{
    std::size_t requestBytes = 0;
    std::size_t responseBytes = 0;
    for (const auto &holding : holdings) {
        requestBytes += holding.kind == HoldingKind::UnfinishedRequest ? holding.bytes : 0;
        responseBytes += holding.kind == HoldingKind::UnreadResponse ? holding.bytes : 0;
    }
    const auto kind = responseBytes > requestBytes ? HoldingKind::UnreadResponse : HoldingKind::UnfinishedRequest;
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < holdings.size(); ++i) {
        const auto &holding = holdings[i];
        if (holding.kind != kind || holding.bytes == 0) {
            continue;
        }
        const bool isFirst =
            !chosen || holding.bytes > holdings[*chosen].bytes || (holding.bytes == holdings[*chosen].bytes && holding.since < holdings[*chosen].since);
        chosen = isFirst ? i : *chosen;
    }
    return chosen;
}

std::size_t bodyCapacity(std::size_t current, std::size_t needed, std::size_t most)
{
    if (needed <= current) {
        return current;
    }
    return std::max(needed, std::min(most, std::max(2 * current, FirstBodyCapacity)));
}

std::optional<std::size_t> chooseIdleToEvict(const std::vector<IdleConnection> &idle, runtime::Instant now, std::chrono::milliseconds grace)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < idle.size(); ++i) {
        if (now - idle[i].since < grace) {
            continue;
        }
        const bool isFirst = !chosen || std::pair(idle[i].hasServed, idle[i].since) < std::pair(idle[*chosen].hasServed, idle[*chosen].since);
        chosen = isFirst ? i : *chosen;
    }
    return chosen;
}

runtime::Instant latestProgress(const Arrival &arrival, const Limits &limits)
{
    const runtime::Instant latest = arrival.begin + limits.arrival;
    if (limits.paceBytesPerSecond == 0) {
        return latest;
    }
    const std::chrono::duration<double> timeForBytes(static_cast<double>(arrival.bytes) / static_cast<double>(limits.paceBytesPerSecond));
    if (timeForBytes >= limits.arrival) {
        return latest;
    }
    const auto onPace = std::max<runtime::Clock::duration>(PaceGrace, std::chrono::ceil<runtime::Clock::duration>(timeForBytes));
    return std::min(latest, arrival.begin + onPace);
}

Lateness lateness(const Arrival &arrival, const Limits &limits, runtime::Instant now)
{
    if (now >= arrival.begin + limits.arrival) {
        return Lateness::TooLong;
    }
    return now >= latestProgress(arrival, limits) ? Lateness::TooSlow : Lateness::InTime;
}

std::optional<std::uint64_t> LineLimit::note(runtime::Instant now)
{
    ++m_count;
    if (m_lastLine && now - *m_lastLine < LineInterval) {
        return std::nullopt;
    }
    m_lastLine = now;
    return std::exchange(m_count, 0);
}

} // namespace plantainfork::http
