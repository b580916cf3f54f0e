#include "requests/target_health.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace plantainfork::requests
{

namespace
{

/** Share of failures beyond which a target is ejected even if some of its attempts succeed. */
constexpr double FailureShareToEject = 0.5;
constexpr double FailureShareWindow = 16;
constexpr int ExpectedDurationWindow = 8;
/** Factor applied to the limit when an attempt is refused for lack of slots. */
constexpr double LimitDecrease = 0.85;

} // namespace

TargetHealth::TargetHealth(std::uint32_t slots)
    : m_slots(std::max<std::uint32_t>(slots, 1))
    , m_limit(m_slots)
{
}

void TargetHealth::setSlots(std::uint32_t slots)
{
    const std::uint32_t count = std::max<std::uint32_t>(slots, 1);
    if (count != m_slots) {
        m_slots = count;
        m_limit = std::min<double>(m_limit, m_slots);
    }
}

bool TargetHealth::canAccept(runtime::Instant now) const
{
    if (m_isEjected) {
        return !m_isProbing && now >= m_probeAt;
    }
    return now >= m_pausedUntil && static_cast<double>(m_inFlight) + 1 <= m_limit;
}

double TargetHealth::load() const
{
    return static_cast<double>(m_inFlight) / m_limit;
}

double TargetHealth::capacity() const
{
    return m_isEjected ? 0 : m_limit;
}

std::size_t TargetHealth::inFlight() const
{
    return m_inFlight;
}

bool TargetHealth::isEjected() const
{
    return m_isEjected;
}

AttemptKind TargetHealth::start(runtime::Instant now, std::chrono::nanoseconds expected)
{
    if (m_inFlight == 0) {
        m_lastActivity = now;
        m_expectedDuration = expected;
    }
    ++m_inFlight;
    // Decays, so that a slow template or the default estimate before the first samples does not mask stalls for long.
    m_expectedDuration = std::max(m_expectedDuration - m_expectedDuration / ExpectedDurationWindow, expected);
    m_isProbing = m_isEjected;
    return m_isEjected ? AttemptKind::Probe : AttemptKind::Regular;
}

bool TargetHealth::end(AttemptKind kind, AttemptEnd end, runtime::Instant now, Ejection ejection)
{
    assert(m_inFlight > 0);
    --m_inFlight;
    if (kind == AttemptKind::Probe) {
        m_isProbing = false;
    }
    switch (end) {
    case AttemptEnd::Succeeded:
        m_lastActivity = now;
        return recordSuccess(kind);
    case AttemptEnd::Refused:
        m_lastActivity = now;
        lowerLimit();
        m_pausedUntil = now + RefusalPause;
        return false;
    case AttemptEnd::Unavailable:
    case AttemptEnd::Failed:
        break;
    }
    ++m_consecutiveFailures;
    m_failureShare += (1 - m_failureShare) / FailureShareWindow;
    const bool isOverThreshold = m_consecutiveFailures >= FailuresToEject || m_failureShare > FailureShareToEject;
    const bool isFaulty = end == AttemptEnd::Unavailable || (isOverThreshold && ejection == Ejection::Allowed);
    const bool wasEjected = m_isEjected;
    if (wasEjected ? kind == AttemptKind::Probe : isFaulty) {
        eject(now);
    }
    return m_isEjected != wasEjected;
}

bool TargetHealth::recordSuccess(AttemptKind kind)
{
    if (m_isEjected && kind != AttemptKind::Probe && !m_isStalled) {
        return false;
    }
    m_consecutiveFailures = 0;
    m_failureShare -= m_failureShare / FailureShareWindow;
    const bool wasEjected = std::exchange(m_isEjected, false);
    m_isStalled = false;
    if (wasEjected) {
        m_failureShare = 0;
        m_ejectionDuration = MinEjection;
        m_limit = 1;
    }
    raiseLimit();
    return wasEjected;
}

void TargetHealth::cancel(AttemptKind kind)
{
    assert(m_inFlight > 0);
    --m_inFlight;
    if (kind == AttemptKind::Probe) {
        m_isProbing = false;
    }
}

bool TargetHealth::checkStall(runtime::Instant now)
{
    const auto stallTimeout = std::max<std::chrono::nanoseconds>(StallFactor * m_expectedDuration, MinStallTimeout);
    const bool isStalled = !m_isEjected && m_inFlight > 0 && now - m_lastActivity > stallTimeout;
    if (isStalled) {
        eject(now);
        m_isStalled = true;
    }
    return isStalled;
}

void TargetHealth::eject(runtime::Instant now)
{
    m_isEjected = true;
    m_probeAt = now + m_ejectionDuration;
    m_ejectionDuration = std::min<std::chrono::nanoseconds>(2 * m_ejectionDuration, MaxEjection);
}

void TargetHealth::lowerLimit()
{
    m_limit = std::max(1.0, m_limit * LimitDecrease);
}

void TargetHealth::raiseLimit()
{
    m_limit = std::min<double>(m_slots, m_limit + 1 / m_limit);
}

} // namespace plantainfork::requests
