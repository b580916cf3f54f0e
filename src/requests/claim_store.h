/**
 * Writes claims to the store in batches: claims requested while a transaction is in flight are written by the
 * next one. The rate of transactions is limited to leave store capacity to other users.
 */
#pragma once

#include <algorithm>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "requests/claim.h"
#include "rpc/one_shot.h"
#include "runtime/clock.h"
#include "runtime/timer.h"
#include "store/key_value.h"
#include "wire/codec.h"

namespace plantainfork::requests
{

struct ClaimBounds {
    /** Maximum number of claims in a transaction. The store accepts at most 64 writes. */
    std::size_t batch = 64;
    /** Minimum time between the starts of two transactions of this entry. */
    std::chrono::milliseconds writeSpacing{15};
    /** Maximum number of transactions in flight. */
    unsigned writesInFlight = 2;
    /** The store is considered down if it does not answer within this time. */
    std::chrono::milliseconds storeTimeout{500};
    /** Pause between two probes of a store that is down. */
    std::chrono::milliseconds probeInterval{250};
    /** Claims older than this are removed. A submission repeated later than that counts as a new request. */
    std::chrono::hours retention{24};
};

/** A claim read from the store, with its index there. */
struct StoredClaim {
    Claim claim;
    store::Index index;
};

enum class ClaimOutcome {
    /** The store holds the wanted claim. */
    Acquired,
    /** The store holds a different claim, possibly an earlier one of the same submission. */
    HeldByOther,
    /** It is not known whether the claim was written. */
    Uncertain,
};

struct ClaimResult {
    ClaimOutcome outcome = ClaimOutcome::Uncertain;
    /** The claim held by the store, if known. */
    StoredClaim stored;
};

/** Thread-safe. Must outlive all work on its executor. */
template<store::KeyValueStore Store>
class ClaimStore
{
public:
    ClaimStore(boost::asio::any_io_executor executor, Store &store, ClaimBounds bounds = {})
        : m_executor(std::move(executor))
        , m_store(store)
        , m_bounds(bounds)
    {
    }

    /** Tries once to write the claim and gives up after about two store timeouts. `expected` is the index of the claim to replace, 0 for none. */
    boost::asio::awaitable<ClaimResult> claim(RequestKey key, Claim wanted, store::Index expected)
    {
        const auto pending = std::make_shared<PendingClaim>();
        pending->key = claimKey(key);
        pending->wanted = std::move(wanted);
        pending->expected = expected;
        bool startsWriter = false;
        {
            const std::scoped_lock lock(m_mutex);
            m_pending.push_back(pending);
            startsWriter = m_writers < m_bounds.writesInFlight;
            m_writers += startsWriter ? 1 : 0;
        }
        if (startsWriter) {
            boost::asio::co_spawn(m_executor, writePendingClaims(), boost::asio::detached);
        }
        co_return co_await pending->result.wait();
    }

    /** Reads the claim of a request. Retries while the store is down and fails only at the deadline. */
    boost::asio::awaitable<absl::StatusOr<std::optional<StoredClaim>>> find(RequestKey key, runtime::Instant deadline)
    {
        const std::string storeKey = claimKey(key);
        while (runtime::Clock::now() < deadline) {
            auto found = co_await readOnce(storeKey, deadline);
            if (found.ok()) {
                co_return found;
            }
            m_isStoreDown = true;
            co_await waitForStore(deadline);
        }
        co_return absl::DeadlineExceededError("the store was down until the deadline");
    }

    /** Waits until the store is up; returns at once if it is. Fails at the deadline. */
    boost::asio::awaitable<absl::Status> waitForStore(runtime::Instant deadline)
    {
        while (m_isStoreDown) {
            if (runtime::Clock::now() >= deadline) {
                co_return absl::UnavailableError("the store that records non-idempotent requests is down");
            }
            if (!m_isProbing.exchange(true)) {
                co_await probe();
                m_isProbing = false;
            } else {
                co_await runtime::sleepFor(std::min<runtime::Clock::duration>(PollInterval, deadline - runtime::Clock::now()));
            }
        }
        co_return absl::OkStatus();
    }

    /** Removes up to a batch of claims of the shard that are older than the retention. Returns the number removed. */
    boost::asio::awaitable<absl::StatusOr<std::size_t>> sweep(unsigned shard)
    {
        auto read = co_await m_store.readPrefix(claimPrefix(shard), runtime::Clock::now() + m_bounds.storeTimeout);
        if (!read.ok()) {
            co_return read.status();
        }
        std::vector<store::Write> removals;
        for (const auto &entry : read->entries) {
            const auto claim = wire::decode<Claim>(entry.value);
            const auto age = unixNow() - std::chrono::milliseconds(claim.ok() ? claim->createdMs : 0);
            if (claim.ok() && age > m_bounds.retention && removals.size() < m_bounds.batch) {
                removals.push_back({store::Write::Kind::Remove, entry.key, {}, entry.modified, {}});
            }
        }
        if (removals.empty()) {
            co_return std::size_t{0};
        }
        const std::size_t count = removals.size();
        const store::WriteResult result = co_await m_store.transact(std::move(removals), runtime::Clock::now() + m_bounds.storeTimeout);
        co_return result.outcome == store::WriteOutcome::Applied ? count : std::size_t{0};
    }

private:
    static constexpr std::chrono::milliseconds PollInterval{20};

    struct PendingClaim {
        std::string key;
        Claim wanted;
        store::Index expected;
        rpc::OneShot<ClaimResult> result;
    };
    using Batch = std::vector<std::shared_ptr<PendingClaim>>;

    Batch takeBatch()
    {
        const std::scoped_lock lock(m_mutex);
        Batch batch;
        while (!m_pending.empty() && batch.size() < m_bounds.batch) {
            batch.push_back(std::move(m_pending.front()));
            m_pending.pop_front();
        }
        if (batch.empty()) {
            --m_writers;
        }
        return batch;
    }

    /** Reserves the earliest time at which the next transaction may start. */
    runtime::Instant reserveWriteTime()
    {
        const std::scoped_lock lock(m_mutex);
        const runtime::Instant writeTime = std::max(runtime::Clock::now(), m_nextWrite);
        m_nextWrite = writeTime + m_bounds.writeSpacing;
        return writeTime;
    }

    boost::asio::awaitable<void> writePendingClaims()
    {
        for (;;) {
            const runtime::Instant writeTime = reserveWriteTime();
            if (writeTime > runtime::Clock::now()) {
                co_await runtime::sleepUntil(writeTime);
            }
            Batch batch = takeBatch();
            if (batch.empty()) {
                co_return;
            }
            co_await write(std::move(batch));
        }
    }

    boost::asio::awaitable<void> write(Batch batch)
    {
        std::vector<store::Write> writes;
        for (const auto &pending : batch) {
            writes.push_back({store::Write::Kind::Set, pending->key, wire::encode(pending->wanted), pending->expected, {}});
        }
        const store::WriteResult result = co_await m_store.transact(std::move(writes), runtime::Clock::now() + m_bounds.storeTimeout);
        switch (result.outcome) {
        case store::WriteOutcome::Applied:
            m_isStoreDown = false;
            for (const auto &pending : batch) {
                pending->result.set({ClaimOutcome::Acquired, {pending->wanted, indexOf(result, pending->key)}});
            }
            co_return;
        case store::WriteOutcome::Conflict:
            m_isStoreDown = false;
            co_await resolveConflict(std::move(batch));
            co_return;
        case store::WriteOutcome::NotSent:
        case store::WriteOutcome::Rejected:
        case store::WriteOutcome::Unknown:
            m_isStoreDown = true;
            for (const auto &pending : batch) {
                pending->result.set({});
            }
            co_return;
        }
    }

    /** A transaction fails as a whole, so the batch is halved and retried until each conflicting claim is on its own. */
    boost::asio::awaitable<void> resolveConflict(Batch batch)
    {
        if (batch.size() > 1) {
            const auto middle = batch.begin() + static_cast<std::ptrdiff_t>(batch.size() / 2);
            Batch first(batch.begin(), middle);
            Batch second(middle, batch.end());
            co_await runtime::sleepUntil(reserveWriteTime());
            co_await write(std::move(first));
            co_await runtime::sleepUntil(reserveWriteTime());
            co_await write(std::move(second));
            co_return;
        }
        const auto &pending = batch.front();
        const auto found = co_await readOnce(pending->key, runtime::Clock::now() + m_bounds.storeTimeout);
        if (!found.ok() || !*found) {
            pending->result.set({});
            co_return;
        }
        const bool isOwnClaim = (*found)->claim == pending->wanted;
        pending->result.set({isOwnClaim ? ClaimOutcome::Acquired : ClaimOutcome::HeldByOther, **found});
    }

    static store::Index indexOf(const store::WriteResult &result, const std::string &key)
    {
        const auto found = std::find_if(result.written.begin(), result.written.end(), [&key](const store::KeyValue &entry) {
            return entry.key == key;
        });
        return found == result.written.end() ? store::Index() : found->modified;
    }

    boost::asio::awaitable<absl::StatusOr<std::optional<StoredClaim>>> readOnce(std::string storeKey, runtime::Instant deadline)
    {
        const auto read = co_await m_store.read(storeKey, std::min(deadline, runtime::Clock::now() + m_bounds.storeTimeout));
        if (absl::IsNotFound(read.status())) {
            co_return std::optional<StoredClaim>();
        }
        if (!read.ok()) {
            co_return read.status();
        }
        if (read->entries.empty()) {
            co_return std::optional<StoredClaim>();
        }
        auto claim = wire::decode<Claim>(read->entries.front().value);
        if (!claim.ok()) {
            co_return claim.status();
        }
        co_return std::optional<StoredClaim>(StoredClaim{std::move(*claim), read->entries.front().modified});
    }

    boost::asio::awaitable<void> probe()
    {
        const auto answer = co_await m_store.read(claimPrefix(0), runtime::Clock::now() + m_bounds.storeTimeout);
        if (answer.ok() || absl::IsNotFound(answer.status())) {
            m_isStoreDown = false;
            co_return;
        }
        co_await runtime::sleepFor(m_bounds.probeInterval);
    }

    const boost::asio::any_io_executor m_executor;
    Store &m_store;
    const ClaimBounds m_bounds;
    std::atomic<bool> m_isStoreDown{false};
    std::atomic<bool> m_isProbing{false};
    std::mutex m_mutex;
    /** Guarded by m_mutex, as are the members below. */
    std::deque<std::shared_ptr<PendingClaim>> m_pending;
    /** Number of running writePendingClaims() coroutines, at most writesInFlight. */
    unsigned m_writers = 0;
    runtime::Instant m_nextWrite;
};

} // namespace plantainfork::requests
