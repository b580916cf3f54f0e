/**
 * Follows the configuration in the store with one waiting call, on the head alone, and proves with each
 * answer that this process's view is current. Entries only.
 */
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "base/try.h"
#include "config/change.h"
#include "config/config_holder.h"
#include "runtime/jitter.h"
#include "runtime/timer.h"
#include "store/key_value.h"

namespace plantainfork::config
{

/** Wait of one watch; each return, with news or without, proves that the view is current as of its start. */
constexpr std::chrono::milliseconds WatchWait{1000};
/** Bound on one read of the whole configuration. */
constexpr std::chrono::milliseconds ReadTimeout{2000};
constexpr runtime::Backoff WatchBackoff{std::chrono::milliseconds(50), std::chrono::milliseconds(1000)};

/** State is shared with the coroutine, which ends when stop() is called. */
template<store::KeyValueStore Store>
class ConfigWatcher : public std::enable_shared_from_this<ConfigWatcher<Store>>
{
public:
    /** Called after each answer of the store that leaves the holder at the store's revision, with the instant at which it was asked. */
    using Current = std::function<void(base::Revision revision, runtime::Instant askedAt)>;

    ConfigWatcher(Store &store, ConfigHolder &holder, Current current)
        : m_store(store)
        , m_holder(holder)
        , m_current(std::move(current))
    {
    }

    boost::asio::awaitable<void> run()
    {
        const auto self = this->shared_from_this();
        unsigned failures = 0;
        while (!m_isStopped) {
            const absl::Status status = co_await step();
            if (status.ok()) {
                failures = 0;
                continue;
            }
            m_index = store::Index();
            co_await runtime::sleepFor(WatchBackoff.delay(failures++));
        }
    }

    void stop()
    {
        m_isStopped = true;
    }

    /** When the store was last known to agree; the clock's epoch before the first time. */
    [[nodiscard]] runtime::Instant lastCurrent() const
    {
        return runtime::Instant(runtime::Clock::duration(m_lastCurrent.load()));
    }

private:
    boost::asio::awaitable<absl::Status> step()
    {
        const runtime::Instant askedAt = runtime::Clock::now();
        absl::StatusOr<store::ReadResult> result = co_await m_store.watchPrefix(std::string(HeadKey), m_index, WatchWait);
        if (!result.ok()) {
            co_return result.status();
        }
        // An index that went back belongs to a store that was set up anew; a watch from the old one could wait for ever.
        m_index = result->index < m_index ? store::Index() : result->index;
        Head head;
        if (!result->entries.empty()) {
            CO_TRY_ASSIGN(head, decodeHead(result->entries.front().value));
        }
        CO_TRY(co_await follow(std::move(head)));
        m_lastCurrent = askedAt.time_since_epoch().count();
        m_current(m_holder.revision(), askedAt);
        co_return absl::OkStatus();
    }

    boost::asio::awaitable<absl::Status> follow(Head head)
    {
        const auto held = m_holder.config().load();
        if (head.revision < held->revision) {
            co_return absl::FailedPreconditionError("the store is at an older revision than this process");
        }
        if (head.revision == held->revision) {
            co_return absl::OkStatus();
        }
        if (!head.covers(held->revision)) {
            co_return co_await readAll();
        }
        wire::Config changes;
        changes.revision = head.revision;
        for (const auto &change : head.changes) {
            CO_TRY(apply(change, changes).status());
        }
        m_holder.merge(changes);
        co_return absl::OkStatus();
    }

    /** The whole configuration; the head in the same answer tells its revision. */
    boost::asio::awaitable<absl::Status> readAll()
    {
        absl::StatusOr<store::ReadResult> result = co_await m_store.readPrefix(std::string(ConfigPrefix), runtime::Clock::now() + ReadTimeout);
        if (!result.ok()) {
            co_return result.status();
        }
        wire::Config config;
        for (const auto &entry : result->entries) {
            if (entry.key == HeadKey) {
                CO_TRY_ASSIGN(const Head head, decodeHead(entry.value));
                config.revision = head.revision;
                continue;
            }
            CO_TRY_ASSIGN(const Change change, decodeChange(entry.value));
            CO_TRY(apply(change, config).status());
        }
        m_holder.merge(config);
        co_return absl::OkStatus();
    }

    Store &m_store;
    ConfigHolder &m_holder;
    const Current m_current;
    store::Index m_index;
    std::atomic<runtime::Clock::rep> m_lastCurrent{0};
    std::atomic<bool> m_isStopped{false};
};

} // namespace plantainfork::config
