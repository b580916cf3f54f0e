/** The operator's wishes as this process knows them, and how sure it is that they are still in force. */
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
    /** `life`: how long a confirmation by the store counts. From the bound on the revocation of keys, less what a watch may lag. */
    PolicyHolder(boost::asio::any_io_executor executor, std::chrono::milliseconds life)
        : m_life(life)
        , m_changed(std::move(executor))
    {
    }

    /** `guard` is a condition that holds in the store exactly while this policy is in force. */
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
    /** The store has confirmed that nothing newer was in force at that time. */
    void confirm(runtime::Instant asOf)
    {
        m_confirmedAt = std::max(m_confirmedAt, asOf);
    }

    /** Null until the first one is known. */
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
    [[nodiscard]] bool isCurrent(runtime::Instant now) const
    {
        return m_policy != nullptr && now - m_confirmedAt <= m_life;
    }
    [[nodiscard]] runtime::Clock::duration age(runtime::Instant now) const
    {
        return now - m_confirmedAt;
    }
    boost::asio::awaitable<void> changed(runtime::Instant until)
    {
        return m_changed.waitUntil(until);
    }

private:
    std::chrono::milliseconds m_life;
    std::shared_ptr<const Policy> m_policy;
    store::Write m_guard;
    std::set<base::DataCentreId> m_evacuated;
    runtime::Instant m_confirmedAt{};
    runtime::Signal m_changed;
};

} // namespace plantainfork::batch
