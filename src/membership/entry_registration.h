/**
 * Registers an entry in the store under a session, so that operators and other processes can find the running
 * entries. A session that expired, for example while this process was suspended, is replaced by a new one.
 */
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "runtime/jitter.h"
#include "runtime/timer.h"
#include "store/key_value.h"
#include "wire/member_messages.h"

namespace plantainfork::membership
{

/** Lifetime of the session; it is renewed after a third of it. */
constexpr std::chrono::milliseconds RegistrationTtl{10'000};
constexpr std::chrono::milliseconds RegistrationCallTimeout{1000};
/** Delay before the next attempt after a store call failed. */
constexpr runtime::Backoff RegistrationBackoff{std::chrono::milliseconds(500), std::chrono::milliseconds(10'000)};

template<store::KeyValueStore Store>
class EntryRegistration : public std::enable_shared_from_this<EntryRegistration<Store>>
{
public:
    EntryRegistration(Store &store, const base::MemberId &id, const wire::Address &rpc)
        : m_store(store)
        , m_key("plantainfork/entries/" + id.value())
        , m_value(rpc.host + ":" + std::to_string(rpc.port))
    {
    }

    /** Runs until deregister() is called. */
    boost::asio::awaitable<void> run()
    {
        const auto self = this->shared_from_this();
        unsigned failures = 0;
        while (!m_isStopped) {
            absl::Status status;
            if (m_session.isEmpty()) {
                status = co_await createRegistration();
            } else {
                status = co_await renew();
            }
            failures = status.ok() ? 0 : failures + 1;
            const runtime::Clock::duration pause = status.ok() ? runtime::Clock::duration(RegistrationTtl / 3) : RegistrationBackoff.delay(failures);
            co_await runtime::sleepFor(pause);
        }
    }

    boost::asio::awaitable<void> deregister()
    {
        m_isStopped = true;
        if (!m_session.isEmpty()) {
            co_await m_store.destroySession(m_session, runtime::Clock::now() + RegistrationCallTimeout);
        }
    }

private:
    boost::asio::awaitable<absl::Status> renew()
    {
        const absl::Status status = co_await m_store.renewSession(m_session, runtime::Clock::now() + RegistrationCallTimeout);
        if (absl::IsNotFound(status)) {
            m_session = {};
        }
        co_return status;
    }

    boost::asio::awaitable<absl::Status> createRegistration()
    {
        const auto session = co_await m_store.createSession(RegistrationTtl, runtime::Clock::now() + RegistrationCallTimeout);
        if (!session.ok()) {
            co_return session.status();
        }
        const std::vector<store::Write> writes{{store::Write::Kind::Lock, m_key, m_value, {}, *session}};
        const store::WriteResult result = co_await m_store.transact(writes, runtime::Clock::now() + RegistrationCallTimeout);
        if (result.outcome != store::WriteOutcome::Applied) {
            co_return absl::UnavailableError(result.reason);
        }
        m_session = *session;
        co_return absl::OkStatus();
    }

    Store &m_store;
    const std::string m_key;
    const std::string m_value;
    store::SessionId m_session;
    std::atomic<bool> m_isStopped{false};
};

} // namespace plantainfork::membership
