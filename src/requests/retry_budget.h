/** Bounds extra attempts to a share of first attempts, so that retries can't multiply an overload. */
#pragma once

#include <algorithm>

namespace plantainfork::requests
{

/** Not safe for use from several threads. */
class RetryBudget
{
public:
    /** Extra attempts per first attempt in the long run. */
    static constexpr double ExtraAttemptRatio = 0.1;
    /** Extra attempts that may be saved up for a burst of failures. */
    static constexpr double MaxTokens = 32;

    void countFirstAttempt()
    {
        m_tokens = std::min(m_tokens + ExtraAttemptRatio, MaxTokens);
    }

    /** Takes leave for one extra attempt. */
    [[nodiscard]] bool tryTake()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    /** From 0 to MaxTokens. */
    double m_tokens = 0;
};

} // namespace plantainfork::requests
