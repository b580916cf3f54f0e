/** The policy known to this process, and when the store last confirmed that it is in force. */
#pragma once

#include <chrono>
#include <memory>
#include <set>
#include <utility>

#include "batch/model.h"
#include "runtime/signal.h"
#include "store/key_value.h"

namespace plantainfork::batch
{

class PolicyHolder
{
public:
    /** `confirmationLifetime`: how long a confirmation by the store stays valid: the time limit for the revocation of keys, less the lag of a watch. */
    PolicyHolder(boost::asio::any_io_executor executor, std::chrono::milliseconds confirmationLifetime)
        : m_confirmationLifetime(confirmationLifetime)
        , m_changed(std::move(executor))
    {
    }

    /** Ignores an older policy. `guard`: a transaction condition that holds in the store exactly while this policy is in force. */
    void set(std::shared_ptr<const Policy> policy, store::Write guard)
    {
        if (m_policy && policy->version < m_policy->version) {
            return;
        }
        m_policy = std::move(policy);
        m_guard = std::move(guard);
        m_changed.notify();
    }
    void setEvacuated(std::set<base::DataCentreId> dataCentres)
    {
        m_evacuated = std::move(dataCentres);
        m_changed.notify();
    }
    /** Notes that the store had no newer policy at the given time. */
    void confirm(runtime::Instant asOf)
    {
        m_confirmedAt = std::max(m_confirmedAt, asOf);
    }

    /** Null until the first policy is known. */
    [[nodiscard]] std::shared_ptr<const Policy> policy() const
    {
        return m_policy;
    }
    [[nodiscard]] const store::Write &guard() const
    {
        return m_guard;
    }
    [[nodiscard]] const std::set<base::DataCentreId> &evacuated() const
    {
        return m_evacuated;
    }
    /** Whether a policy is known and its last confirmation still valid. */
    [[nodiscard]] bool isCurrent(runtime::Instant now) const
    {
        return m_policy != nullptr && now - m_confirmedAt <= m_confirmationLifetime;
    }
    /** Time since the last confirmation. */
    [[nodiscard]] runtime::Clock::duration age(runtime::Instant now) const
    {
        return now - m_confirmedAt;
    }
    /** Waits for a change of the policy or of the evacuated data centres. */
    boost::asio::awaitable<void> changed(runtime::Instant until)
    {
        return m_changed.waitUntil(until);
    }

private:
    std::chrono::milliseconds m_confirmationLifetime;
    std::shared_ptr<const Policy> m_policy;
    store::Write m_guard;
    std::set<base::DataCentreId> m_evacuated;
    runtime::Instant m_confirmedAt{};
    runtime::Signal m_changed;
};

} // namespace plantainfork::batch
