/**
 * The lease in the store that makes one entry the leader of a region. The leader computes the lease's end on its own
 * clock, counted from when the request was sent. It therefore stops acting before the store grants the lease to
 * another entry, and a leader that was paused notices the expiry before it acts.
 */
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json_fwd.hpp>

#include "base/ids.h"
#include "jobs/job_store.h"
#include "runtime/clock.h"
#include "store/key_value.h"
#include "wire/member_messages.h"

namespace plantainfork::jobs
{

template<store::KeyValueStore Store>
class SchedulerLease
{
public:
    SchedulerLease(Store &store, const base::RegionId &region, wire::Address self, std::chrono::milliseconds duration)
        : m_store(store)
        , m_key(schedulerKey(region))
        , m_self(std::move(self))
        , m_duration(duration)
    {
    }

    /** Tries once to acquire the lease, or to renew it. True while it is held. Takes at most a quarter of the lease's duration. */
    boost::asio::awaitable<bool> acquireOrRenew()
    {
        if (isHeld()) {
            co_await renew();
        } else {
            co_await acquire();
        }
        co_return isHeld();
    }

    /** Releases the lease, so that another entry needn't wait for it to expire. */
    boost::asio::awaitable<void> release()
    {
        m_validUntil = {};
        if (!m_session.isEmpty()) {
            co_await m_store.destroySession(m_session, runtime::Clock::now() + m_duration / RenewalsPerLease);
            m_session = {};
        }
    }

    /** True until the lease expires on this process's clock. Must be checked right before each action, because the process may have been paused. */
    [[nodiscard]] bool isHeld() const
    {
        return runtime::Clock::now() < m_validUntil;
    }

    /** Fencing token. Increases with each new holder of this region's lease. */
    [[nodiscard]] base::FencingToken token() const
    {
        return m_token;
    }

    [[nodiscard]] SchedulerLock lock() const
    {
        return {m_key, addressText(), m_session};
    }

    /** The leader when the lease was last read or acquired. */
    [[nodiscard]] const std::optional<wire::Address> &leader() const
    {
        return m_leader;
    }

    [[nodiscard]] std::chrono::milliseconds renewInterval() const
    {
        return m_duration / RenewalsPerLease;
    }

    static std::optional<wire::Address> parseAddress(const std::string &text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos) {
            return std::nullopt;
        }
        return wire::Address{text.substr(0, colon), static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10))};
    }

private:
    /** Renewals per lease duration, so that a lost one doesn't end the lease. */
    static constexpr int RenewalsPerLease = 4;

    [[nodiscard]] std::string addressText() const
    {
        return m_self.host + ":" + std::to_string(m_self.port);
    }

    boost::asio::awaitable<void> renew()
    {
        const auto sentAt = runtime::Clock::now();
        const auto status = co_await m_store.renewSession(m_session, sentAt + renewInterval());
        if (status.ok()) {
            m_validUntil = std::max(m_validUntil, sentAt + m_duration);
        } else if (absl::IsNotFound(status)) {
            m_validUntil = {};
            m_session = {};
        }
    }

    boost::asio::awaitable<void> acquire()
    {
        const auto sentAt = runtime::Clock::now();
        const auto deadline = sentAt + renewInterval();
        if (!co_await ensureSession(deadline)) {
            co_return;
        }
        std::vector<store::Write> writes;
        writes.push_back(lock().toWrite());
        const auto result = co_await m_store.transact(std::move(writes), deadline);
        if (result.outcome == store::WriteOutcome::Applied && !result.written.empty()) {
            m_token = base::FencingToken(result.written.front().lockIndex);
            m_validUntil = sentAt + m_duration;
            m_leader = m_self;
            co_return;
        }
        // A lost answer needs no check: acquiring the lock again with the same session changes nothing.
        const auto read = co_await m_store.read(m_key, deadline);
        if (read.ok() && !read->entries.empty()) {
            m_leader = read->entries.front().session.isEmpty() ? std::nullopt : parseAddress(read->entries.front().value);
        }
    }

    boost::asio::awaitable<bool> ensureSession(runtime::Instant deadline)
    {
        if (!m_session.isEmpty()) {
            const auto status = co_await m_store.renewSession(m_session, deadline);
            if (!absl::IsNotFound(status)) {
                co_return status.ok();
            }
            m_session = {};
        }
        auto created = co_await m_store.createSession(m_duration, deadline);
        if (created.ok()) {
            m_session = *created;
        }
        co_return created.ok();
    }

    Store &m_store;
    const std::string m_key;
    const wire::Address m_self;
    const std::chrono::milliseconds m_duration;
    store::SessionId m_session;
    base::FencingToken m_token;
    /** End of the lease on this process's clock; never later than the end of the session in the store. */
    runtime::Instant m_validUntil;
    std::optional<wire::Address> m_leader;
};

} // namespace plantainfork::jobs
