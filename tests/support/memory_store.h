/**
 * In-memory double of the platform's key-value service, satisfying store::KeyValueStore. Several handles
 * may share one set of data, as several processes share the service; each handle can be cut off, slow or
 * lose answers on its own. Sessions lapse by the runtime clock. May be used from several threads.
 */
#pragma once

#include <algorithm>
#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/timer.h"
#include "store/key_value.h"

namespace plantainfork::tests
{

/** The service's data, shared by handles. */
class MemoryData
{
public:
    struct Session {
        std::chrono::milliseconds life{0};
        runtime::Instant lapsesAt;
    };

    /** Entries under a prefix (or the key itself) as of now. */
    store::ReadResult read(const std::string &key, bool isPrefix)
    {
        const std::scoped_lock lock(m_mutex);
        lapse();
        store::ReadResult result{store::Index(m_index), {}};
        for (auto entry = m_entries.lower_bound(key); entry != m_entries.end() && entry->first.starts_with(key); ++entry) {
            if (isPrefix || entry->first == key) {
                result.entries.push_back(entry->second);
            }
        }
        return result;
    }

    /** What is newer than the index under a prefix. */
    store::Changes changesSince(const std::string &prefix, store::Index after)
    {
        store::Changes changes;
        const store::ReadResult all = read(prefix, true);
        changes.index = all.index;
        for (const auto &entry : all.entries) {
            if (entry.modified > after) {
                changes.written.push_back(entry);
            }
        }
        const std::scoped_lock lock(m_mutex);
        for (const auto &[index, key] : m_removed) {
            if (index > after && key.starts_with(prefix) && !m_entries.contains(key)) {
                changes.removed.push_back(key);
            }
        }
        return changes;
    }

    store::WriteResult transact(const std::vector<store::Write> &writes)
    {
        const std::scoped_lock lock(m_mutex);
        lapse();
        store::WriteResult result;
        for (const auto &write : writes) {
            if (!allows(write)) {
                result.outcome = store::WriteOutcome::Conflict;
                result.reason = "condition on " + write.key + " failed";
                return result;
            }
        }
        ++m_index;
        for (const auto &write : writes) {
            apply(write, result);
        }
        result.outcome = store::WriteOutcome::Applied;
        wake();
        return result;
    }

    store::SessionId createSession(std::chrono::milliseconds life)
    {
        const std::scoped_lock lock(m_mutex);
        const store::SessionId id("session-" + std::to_string(++m_sessionCount));
        m_sessions[id] = {life, runtime::Clock::now() + life};
        return id;
    }

    bool renewSession(const store::SessionId &id)
    {
        const std::scoped_lock lock(m_mutex);
        lapse();
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end()) {
            return false;
        }
        found->second.lapsesAt = runtime::Clock::now() + found->second.life;
        return true;
    }

    void destroySession(const store::SessionId &id)
    {
        const std::scoped_lock lock(m_mutex);
        release(id);
        m_sessions.erase(id);
    }

    /** Registers a timer that is cancelled on the next write. */
    void subscribe(const std::shared_ptr<runtime::Timer> &timer)
    {
        const std::scoped_lock lock(m_mutex);
        m_waiting.push_back(timer);
    }

private:
    /** Highest modified index that the key has ever had is m_index at most; 0 means that there is no such key. */
    [[nodiscard]] bool allows(const store::Write &write) const
    {
        const auto found = m_entries.find(write.key);
        const bool exists = found != m_entries.end();
        switch (write.kind) {
        case store::Write::Kind::Check:
        case store::Write::Kind::Set:
            return (exists ? found->second.modified : store::Index()) == write.expected;
        case store::Write::Kind::Remove:
            return exists && found->second.modified == write.expected;
        case store::Write::Kind::Lock:
            return m_sessions.contains(write.session) && (!exists || found->second.session.isEmpty() || found->second.session == write.session);
        case store::Write::Kind::Unlock:
            return exists && found->second.session == write.session;
        }
        return false;
    }

    void apply(const store::Write &write, store::WriteResult &result)
    {
        if (write.kind == store::Write::Kind::Check) {
            return;
        }
        if (write.kind == store::Write::Kind::Remove) {
            m_entries.erase(write.key);
            m_removed.emplace_back(store::Index(m_index), write.key);
            return;
        }
        store::KeyValue &entry = m_entries[write.key];
        entry.key = write.key;
        entry.modified = store::Index(m_index);
        entry.value = write.value;
        if (write.kind == store::Write::Kind::Lock) {
            entry.lockIndex += entry.session == write.session ? 0 : 1;
            entry.session = write.session;
        } else if (write.kind == store::Write::Kind::Unlock) {
            entry.session = {};
        }
        result.written.push_back(entry);
    }

    void release(const store::SessionId &id)
    {
        for (auto &[key, entry] : m_entries) {
            if (entry.session == id) {
                entry.session = {};
                entry.modified = store::Index(++m_index);
                wake();
            }
        }
    }

    void lapse()
    {
        const auto now = runtime::Clock::now();
        for (auto session = m_sessions.begin(); session != m_sessions.end();) {
            if (session->second.lapsesAt > now) {
                ++session;
                continue;
            }
            release(session->first);
            session = m_sessions.erase(session);
        }
    }

    void wake()
    {
        for (const auto &weak : m_waiting) {
            if (const auto timer = weak.lock()) {
                boost::asio::post(timer->get_executor(), [timer] {
                    timer->cancel();
                });
            }
        }
        m_waiting.clear();
    }

    std::mutex m_mutex;
    std::map<std::string, store::KeyValue> m_entries;
    /** Removals so far, in order. */
    std::vector<std::pair<store::Index, std::string>> m_removed;
    std::map<store::SessionId, Session> m_sessions;
    std::list<std::weak_ptr<runtime::Timer>> m_waiting;
    std::uint64_t m_index = 1;
    std::uint64_t m_sessionCount = 0;
};

class MemoryStore
{
public:
    explicit MemoryStore(std::shared_ptr<MemoryData> data = std::make_shared<MemoryData>())
        : m_data(std::move(data))
    {
    }

    /** While down, every call fails as if the service couldn't be reached: writes are NotSent, waiting watches end. */
    void setDown(bool isDown)
    {
        m_isDown = isDown;
    }
    /** Delay before each call takes effect. A call that would outlast its deadline fails there, after taking effect. */
    void setDelay(std::chrono::milliseconds delay)
    {
        m_delay = delay;
    }
    /** The next writes take effect but their answers are lost. */
    void loseAnswers(int count)
    {
        m_lostAnswers = count;
    }
    /** The next writes don't take effect and the caller can't tell. */
    void loseRequests(int count)
    {
        m_lostRequests = count;
    }

    /** Refuses transactions of more entries, of which a check or removal counts as one and any other write as two. */
    void setMostEntries(std::size_t most)
    {
        m_mostEntries = most;
    }

    /** Rejects writes of larger values. */
    void setMostValueBytes(std::size_t most)
    {
        m_mostValueBytes = most;
    }
    [[nodiscard]] int rejections() const
    {
        return m_rejections;
    }

    [[nodiscard]] int reads() const
    {
        return m_reads;
    }
    [[nodiscard]] int watches() const
    {
        return m_watches;
    }
    [[nodiscard]] int writes() const
    {
        return m_writes;
    }
    [[nodiscard]] const std::shared_ptr<MemoryData> &data() const
    {
        return m_data;
    }

    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> read(std::string key, runtime::Instant deadline)
    {
        ++m_reads;
        const absl::Status arrived = co_await arrive(deadline);
        if (!arrived.ok()) {
            co_return arrived;
        }
        co_return m_data->read(key, false);
    }

    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> readPrefix(std::string prefix, runtime::Instant deadline)
    {
        ++m_reads;
        const absl::Status arrived = co_await arrive(deadline);
        if (!arrived.ok()) {
            co_return arrived;
        }
        co_return m_data->read(prefix, true);
    }

    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> readPrefix(std::string prefix, store::ReadLimits limits)
    {
        return readPrefix(std::move(prefix), limits.deadline);
    }

    boost::asio::awaitable<absl::StatusOr<store::ReadResult>> watchPrefix(std::string prefix, store::Index after, std::chrono::milliseconds wait)
    {
        ++m_watches;
        const runtime::Instant until = runtime::Clock::now() + wait;
        const absl::Status arrived = co_await arrive(until + wait);
        if (!arrived.ok()) {
            co_return arrived;
        }
        while (true) {
            const auto timer = std::make_shared<runtime::Timer>(co_await boost::asio::this_coro::executor, until);
            m_data->subscribe(timer);
            const store::ReadResult result = m_data->read(prefix, true);
            const bool isNews = std::any_of(result.entries.begin(), result.entries.end(), [after](const store::KeyValue &entry) {
                return entry.modified > after;
            });
            if (m_isDown) {
                co_return absl::UnavailableError("store is down");
            }
            if (isNews || runtime::Clock::now() >= until) {
                co_return result;
            }
            boost::system::error_code ignored;
            co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
    }

    boost::asio::awaitable<absl::StatusOr<store::Changes>> followPrefix(std::string prefix, store::Index after, std::chrono::milliseconds wait)
    {
        const runtime::Instant until = runtime::Clock::now() + wait;
        const absl::Status arrived = co_await arrive(until + wait);
        if (!arrived.ok()) {
            co_return arrived;
        }
        while (true) {
            const auto timer = std::make_shared<runtime::Timer>(co_await boost::asio::this_coro::executor, until);
            m_data->subscribe(timer);
            store::Changes changes = m_data->changesSince(prefix, after);
            if (m_isDown) {
                co_return absl::UnavailableError("store is down");
            }
            if (!changes.written.empty() || !changes.removed.empty() || runtime::Clock::now() >= until) {
                co_return changes;
            }
            boost::system::error_code ignored;
            co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
    }

    boost::asio::awaitable<store::WriteResult> transact(std::vector<store::Write> writes, runtime::Instant deadline)
    {
        ++m_writes;
        store::WriteResult result;
        if (m_isDown) {
            result.outcome = store::WriteOutcome::NotSent;
            result.reason = "store is down";
            co_return result;
        }
        if (takeOne(m_lostRequests)) {
            result.reason = "request lost";
            co_return result;
        }
        if (entriesOf(writes) > m_mostEntries) {
            result.reason = "too many entries";
            co_return result;
        }
        const bool isTooLarge = std::any_of(writes.begin(), writes.end(), [this](const store::Write &write) {
            return write.value.size() > m_mostValueBytes;
        });
        if (isTooLarge) {
            ++m_rejections;
            result.outcome = store::WriteOutcome::Rejected;
            result.reason = "value too large";
            co_return result;
        }
        const absl::Status arrived = co_await arrive(deadline);
        result = m_data->transact(writes);
        if (!arrived.ok() || takeOne(m_lostAnswers)) {
            result = {};
            result.reason = "answer lost";
        }
        co_return result;
    }

    boost::asio::awaitable<absl::StatusOr<store::SessionId>> createSession(std::chrono::milliseconds life, runtime::Instant deadline)
    {
        const absl::Status arrived = co_await arrive(deadline);
        if (!arrived.ok()) {
            co_return arrived;
        }
        co_return m_data->createSession(life);
    }

    boost::asio::awaitable<absl::Status> renewSession(store::SessionId session, runtime::Instant deadline)
    {
        const absl::Status arrived = co_await arrive(deadline);
        if (!arrived.ok()) {
            co_return arrived;
        }
        co_return m_data->renewSession(session) ? absl::OkStatus() : absl::NotFoundError("session has lapsed");
    }

    boost::asio::awaitable<absl::Status> destroySession(store::SessionId session, runtime::Instant deadline)
    {
        const absl::Status arrived = co_await arrive(deadline);
        if (arrived.ok()) {
            m_data->destroySession(session);
        }
        co_return arrived;
    }

private:
    /** The way to the service: fails while down, and at the deadline when the delay is longer. */
    boost::asio::awaitable<absl::Status> arrive(runtime::Instant deadline)
    {
        const runtime::Instant arrival = runtime::Clock::now() + m_delay.load();
        if (m_delay.load().count() > 0) {
            co_await runtime::sleepUntil(std::min(arrival, deadline));
        }
        if (m_isDown) {
            co_return absl::UnavailableError("store is down");
        }
        co_return arrival > deadline ? absl::DeadlineExceededError("store is slow") : absl::OkStatus();
    }

    static std::size_t entriesOf(const std::vector<store::Write> &writes)
    {
        std::size_t entries = 0;
        for (const auto &write : writes) {
            const bool isSingle = write.kind == store::Write::Kind::Check || write.kind == store::Write::Kind::Remove;
            entries += isSingle ? 1 : 2;
        }
        return entries;
    }

    static bool takeOne(std::atomic<int> &count)
    {
        if (count <= 0) {
            return false;
        }
        --count;
        return true;
    }

    const std::shared_ptr<MemoryData> m_data;
    std::atomic<bool> m_isDown{false};
    std::atomic<std::size_t> m_mostEntries{1000};
    std::size_t m_mostValueBytes = static_cast<std::size_t>(-1);
    int m_rejections = 0;
    std::atomic<std::chrono::milliseconds> m_delay{std::chrono::milliseconds(0)};
    std::atomic<int> m_lostAnswers{0};
    std::atomic<int> m_lostRequests{0};
    std::atomic<int> m_reads{0};
    std::atomic<int> m_watches{0};
    std::atomic<int> m_writes{0};
};

static_assert(store::ChangeFeed<MemoryStore>);

} // namespace plantainfork::tests
