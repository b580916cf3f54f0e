#include "batch/candidacy.h"

#include <algorithm>

namespace plantainfork::batch
{

namespace
{

/** A measurement moves the average by one part in this many. */
constexpr int AverageWeight = 8;

} // namespace

bool isAblerEntryKnown(ProcessorShare own, const std::vector<ProcessorShare> &others)
{
    return std::any_of(others.begin(), others.end(), [&](ProcessorShare share) {
        return share >= own * CandidacyBounds::AblerFactor;
    });
}

runtime::Clock::duration candidateDelay(runtime::Clock::duration roundTrip, ProcessorShare own, const std::vector<ProcessorShare> &others)
{
    const bool isLessAble = others.empty() ? own < CandidacyBounds::AbleShare : isAblerEntryKnown(own, others);
    const auto delay = std::min<runtime::Clock::duration>(roundTrip * CandidacyBounds::RoundTrips, CandidacyBounds::MaxRoundTripDelay);
    return isLessAble ? delay + CandidacyBounds::LessAbleDelay : delay;
}

void OverloadDetector::add(runtime::Instant due, runtime::Instant ranAt)
{
    m_lag += (std::max(ranAt - due, runtime::Clock::duration::zero()) - m_lag) / AverageWeight;
    if (m_lag <= CandidacyBounds::MaxTimerLag) {
        m_overloadedSince = runtime::Instant();
    } else if (m_overloadedSince == runtime::Instant()) {
        m_overloadedSince = ranAt;
    }
}

} // namespace plantainfork::batch
