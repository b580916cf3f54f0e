/** Limits extra attempts to a share of first attempts, so that retries cannot amplify an overload. */
#pragma once

#include <algorithm>

namespace plantainfork::requests
{

/** Not thread-safe. */
class RetryBudget
{
public:
    /** Long-run ratio of extra attempts to first attempts. */
    static constexpr double ExtraAttemptRatio = 0.1;
    /** Maximum number of extra attempts saved for a burst of failures. */
    static constexpr double MaxTokens = 32;

    void countFirstAttempt()
    {
        m_tokens = std::min(m_tokens + ExtraAttemptRatio, MaxTokens);
    }

    /** Takes a token for one extra attempt, if there is one. */
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
