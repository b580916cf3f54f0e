/** In-memory store that can simulate an outage or lost answers to writes, and counts its calls. */
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "runtime/timer.h"
#include "store/key_value.h"

namespace plantainfork::tests
{

class FakeStore
{
public:
    enum class Mode {
        Up,
        /** Applies nothing and times out. */
        Down,
        /** Applies writes, but their answers are lost. */
        LosesAnswers,
    };

    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    Awaitable<absl::StatusOr<store::ReadResult>> read(std::string key, runtime::Instant deadline)
    {
        ++reads;
        if (mode == Mode::Down) {
            co_await runtime::sleepUntil(deadline);
            co_return absl::DeadlineExceededError("store is down");
        }
        store::ReadResult result{store::Index(m_index), {}};
        if (const auto found = m_entries.find(key); found != m_entries.end()) {
            result.entries.push_back(found->second);
        }
        co_return result;
    }

    Awaitable<absl::StatusOr<store::ReadResult>> readPrefix(std::string prefix, runtime::Instant)
    {
        ++reads;
        store::ReadResult result{store::Index(m_index), {}};
        for (const auto &[key, entry] : m_entries) {
            if (key.starts_with(prefix)) {
                result.entries.push_back(entry);
            }
        }
        co_return result;
    }

    Awaitable<absl::StatusOr<store::ReadResult>> watchPrefix(std::string, store::Index, std::chrono::milliseconds)
    {
        co_return absl::UnimplementedError("not watched here");
    }

    Awaitable<store::WriteResult> transact(std::vector<store::Write> writes, runtime::Instant deadline)
    {
        ++transactions;
        const Mode modeAtStart = mode;
        co_await runtime::sleepFor(latency);
        if (modeAtStart == Mode::Down) {
            co_await runtime::sleepUntil(deadline);
            co_return store::WriteResult{store::WriteOutcome::Unknown, {}, "store is down"};
        }
        store::WriteResult result = apply(writes);
        if (modeAtStart == Mode::LosesAnswers) {
            co_await runtime::sleepUntil(deadline);
            co_return store::WriteResult{store::WriteOutcome::Unknown, {}, "answer lost"};
        }
        co_return result;
    }

    Awaitable<absl::StatusOr<store::SessionId>> createSession(std::chrono::milliseconds, runtime::Instant)
    {
        co_return absl::UnimplementedError("no sessions here");
    }
    Awaitable<absl::Status> renewSession(store::SessionId, runtime::Instant)
    {
        co_return absl::UnimplementedError("no sessions here");
    }
    Awaitable<absl::Status> destroySession(store::SessionId, runtime::Instant)
    {
        co_return absl::UnimplementedError("no sessions here");
    }

    [[nodiscard]] const std::map<std::string, store::KeyValue> &entries() const
    {
        return m_entries;
    }

    Mode mode = Mode::Up;
    std::chrono::milliseconds latency{0};
    std::size_t reads = 0;
    std::size_t transactions = 0;

private:
    store::WriteResult apply(const std::vector<store::Write> &writes)
    {
        for (const auto &write : writes) {
            const auto found = m_entries.find(write.key);
            const store::Index present = found == m_entries.end() ? store::Index() : found->second.modified;
            if (present != write.expected) {
                return {store::WriteOutcome::Conflict, {}, "index differs"};
            }
        }
        store::WriteResult result{store::WriteOutcome::Applied, {}, {}};
        ++m_index;
        for (const auto &write : writes) {
            if (write.kind == store::Write::Kind::Remove) {
                m_entries.erase(write.key);
                continue;
            }
            store::KeyValue &entry = m_entries[write.key];
            entry = {write.key, write.value, store::Index(m_index), 0, {}};
            result.written.push_back(entry);
        }
        return result;
    }

    std::map<std::string, store::KeyValue> m_entries;
    std::uint64_t m_index = 0;
};

static_assert(store::KeyValueStore<FakeStore>);

} // namespace plantainfork::tests
