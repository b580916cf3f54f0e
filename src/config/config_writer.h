/**
 * Makes operators' changes: one store transaction that sets the value, the head of all changes and a slot
 * of the history. Accepted means that the transaction is known to have taken effect. A lost answer is
 * settled by reading for the change's own id. While the id is absent and the head hasn't moved, the lost
 * write may still arrive, but then a repeat is the very same conditional write: one of the two at most
 * takes effect.
 */
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/findings.h"
#include "base/try.h"
#include "config/change.h"
#include "config/config_holder.h"
#include "config/value_json.h"
#include "runtime/jitter.h"
#include "runtime/timer.h"
#include "store/key_value.h"

namespace plantainfork::config
{

/** Bound on one change, from the operator's request to its answer. */
constexpr std::chrono::milliseconds ChangeTimeout{4000};
/** Bound on one call of the store within a change. */
constexpr std::chrono::milliseconds ChangeCallTimeout{1000};
constexpr runtime::Backoff RaceBackoff{std::chrono::milliseconds(5), std::chrono::milliseconds(200)};

/** What an operator asks for. The change's revision and wall time are filled in when it is made. */
struct ChangeRequest {
    Change change;
    /** Revision that the value must still have. */
    std::optional<base::Revision> ifMatch;
};

enum class ChangeOutcome {
    Accepted,
    /** Another change of the same value came first. */
    Conflict,
    /** The change would break something; see findings. */
    Rejected,
    /** Known not to have taken effect, and it won't. */
    NotAccepted,
    /** May have taken effect. A repeat under the same change id settles it. */
    Unknown,
};

struct ChangeResult {
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    /** When Accepted: the change as it stands. When Conflict: the one that won, if any. */
    std::optional<Change> change;
    base::Findings findings;
    std::string reason;
};

template<store::KeyValueStore Store>
class ConfigWriter
{
public:
    /** Further conditions on the configuration that a change would lead to, such as that all guarantees can be met. */
    using Check = std::function<base::Findings(const wire::Config &)>;

    ConfigWriter(Store &store, const ConfigHolder &holder)
        : m_store(store)
        , m_holder(holder)
    {
    }

    /** Must be called before the first change. */
    void setCheck(Check check)
    {
        m_check = std::move(check);
    }

    boost::asio::awaitable<ChangeResult> make(ChangeRequest request)
    {
        const runtime::Instant deadline = runtime::Clock::now() + ChangeTimeout;
        std::optional<store::Index> keyIndex;
        // Head that an attempt without an answer was conditional on: it may still take effect while the head stays there.
        std::optional<store::Index> pendingHead;
        unsigned attempts = 0;
        std::string reason = "too many changes at a time";
        while (runtime::Clock::now() < deadline) {
            if (attempts++ > 0) {
                co_await runtime::sleepFor(RaceBackoff.delay(attempts));
            }
            absl::StatusOr<Seen> seen = co_await look(request.change, deadline);
            if (!seen.ok()) {
                reason = std::string(seen.status().message());
                if (pendingHead) {
                    continue;
                }
                break;
            }
            if (seen->earlier) {
                co_return settle(request.change, *seen->earlier);
            }
            if (pendingHead != seen->headIndex) {
                pendingHead.reset();
            }
            if (isOvertaken(request, *seen, keyIndex)) {
                co_return conflict(seen->current);
            }
            keyIndex = seen->keyIndex;
            base::Findings findings = check(request.change, *seen);
            if (!findings.isEmpty()) {
                co_return rejected(std::move(findings));
            }
            Change change = request.change;
            change.revision = seen->head.revision.next();
            const std::vector<store::Write> writes = transaction(change, *seen);
            const runtime::Instant bound = std::min(deadline, runtime::Clock::now() + ChangeCallTimeout);
            const store::WriteResult result = co_await m_store.transact(writes, bound);
            if (result.outcome == store::WriteOutcome::Applied) {
                co_return accepted(std::move(change));
            }
            reason = result.reason;
            if (result.outcome == store::WriteOutcome::Unknown) {
                pendingHead = seen->headIndex;
            } else if (result.outcome == store::WriteOutcome::NotSent && !pendingHead) {
                break;
            }
        }
        co_return undecided(pendingHead.has_value(), std::move(reason));
    }

    /** Changes of the last revisions, oldest first. */
    boost::asio::awaitable<absl::StatusOr<std::vector<Change>>> history()
    {
        absl::StatusOr<store::ReadResult> result = co_await m_store.readPrefix(std::string(HistoryPrefix), runtime::Clock::now() + ChangeCallTimeout);
        if (!result.ok()) {
            co_return result.status();
        }
        std::map<base::Revision, Change> ordered;
        for (const auto &entry : result->entries) {
            CO_TRY_ASSIGN(Change change, decodeChange(entry.value));
            ordered.emplace(change.revision, std::move(change));
        }
        std::vector<Change> changes;
        for (auto &[revision, change] : ordered) {
            changes.push_back(std::move(change));
        }
        co_return changes;
    }

private:
    /** State of the store that a change is based on. */
    struct Seen {
        Head head;
        store::Index headIndex;
        store::Index keyIndex;
        store::Index slotIndex;
        /** The value's latest change, a removal included. */
        std::optional<Change> current;
        /** A change under the same id that has been accepted before. */
        std::optional<Change> earlier;
    };

    boost::asio::awaitable<absl::StatusOr<std::optional<store::KeyValue>>> readOne(std::string key, runtime::Instant deadline)
    {
        const runtime::Instant bound = std::min(deadline, runtime::Clock::now() + ChangeCallTimeout);
        absl::StatusOr<store::ReadResult> result = co_await m_store.read(key, bound);
        if (!result.ok()) {
            co_return result.status();
        }
        if (result->entries.empty()) {
            co_return std::optional<store::KeyValue>();
        }
        co_return std::optional<store::KeyValue>(std::move(result->entries.front()));
    }

    /** The head is read first: whatever changes afterwards makes the write on it fail. */
    boost::asio::awaitable<absl::StatusOr<Seen>> look(Change change, runtime::Instant deadline)
    {
        Seen seen;
        CO_TRY_ASSIGN(const auto head, co_await readOne(std::string(HeadKey), deadline));
        if (head) {
            seen.headIndex = head->modified;
            CO_TRY_ASSIGN(seen.head, decodeHead(head->value));
        }
        CO_TRY_ASSIGN(const auto value, co_await readOne(change.key(), deadline));
        if (value) {
            seen.keyIndex = value->modified;
            CO_TRY_ASSIGN(seen.current, decodeChange(value->value));
        }
        CO_TRY_ASSIGN(const auto slot, co_await readOne(historyKey(seen.head.revision.next()), deadline));
        if (slot) {
            seen.slotIndex = slot->modified;
        }
        CO_TRY_ASSIGN(seen.earlier, co_await findEarlier(change.id, seen.head));
        if (!seen.earlier && seen.current && seen.current->id == change.id) {
            seen.earlier = seen.current;
        }
        co_return seen;
    }

    /** Searches the changes of the last revisions, of which this process keeps a copy, for one under the id. */
    boost::asio::awaitable<absl::StatusOr<std::optional<Change>>> findEarlier(base::ChangeId id, Head head)
    {
        if (!head.covers(recentRevision())) {
            CO_TRY_ASSIGN(const std::vector<Change> changes, co_await history());
            remember(changes, changes.empty() ? head.revision : changes.back().revision);
        }
        remember(head.changes, head.revision);
        const std::scoped_lock lock(m_mutex);
        for (const auto &[revision, change] : m_recent) {
            if (change.id == id) {
                co_return std::optional<Change>(change);
            }
        }
        co_return std::optional<Change>();
    }

    [[nodiscard]] base::Revision recentRevision() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_recentRevision;
    }

    void remember(const std::vector<Change> &changes, base::Revision upTo)
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &change : changes) {
            m_recent.emplace(change.revision, change);
        }
        m_recentRevision = std::max(m_recentRevision, upTo);
        while (m_recent.size() > HistoryLength) {
            m_recent.erase(m_recent.begin());
        }
    }

    static bool isOvertaken(const ChangeRequest &request, const Seen &seen, const std::optional<store::Index> &keyIndex)
    {
        const base::Revision revision = seen.current ? seen.current->revision : base::Revision();
        const bool isOther = request.ifMatch && *request.ifMatch != revision;
        return isOther || (keyIndex && *keyIndex != seen.keyIndex);
    }

    /** Findings about the configuration as it would be with the change. */
    base::Findings check(Change change, const Seen &seen) const
    {
        wire::Config config = *m_holder.config().load();
        for (const auto &earlier : seen.head.changes) {
            apply(earlier, config);
        }
        change.revision = seen.head.revision.next();
        config.revision = change.revision;
        base::Findings findings = apply(change, config);
        findings.append(checkReferences(config));
        if (findings.isEmpty() && m_check) {
            findings.append(m_check(config));
        }
        return findings;
    }

    static std::vector<store::Write> transaction(const Change &change, const Seen &seen)
    {
        Head head = seen.head;
        head.append(change);
        const std::string value = encode(change);
        return {
            {store::Write::Kind::Set, change.key(), value, seen.keyIndex, {}},
            {store::Write::Kind::Set, std::string(HeadKey), encode(head), seen.headIndex, {}},
            {store::Write::Kind::Set, historyKey(change.revision), value, seen.slotIndex, {}},
        };
    }

    static ChangeResult accepted(Change change)
    {
        return {ChangeOutcome::Accepted, std::move(change), {}, {}};
    }

    static ChangeResult conflict(std::optional<Change> winner)
    {
        return {ChangeOutcome::Conflict, std::move(winner), {}, "another change came first"};
    }

    static ChangeResult rejected(base::Findings findings)
    {
        return {ChangeOutcome::Rejected, std::nullopt, std::move(findings), {}};
    }

    static ChangeResult undecided(bool mayHaveTakenEffect, std::string reason)
    {
        return {mayHaveTakenEffect ? ChangeOutcome::Unknown : ChangeOutcome::NotAccepted, std::nullopt, {}, std::move(reason)};
    }

    static ChangeResult settle(const Change &asked, const Change &earlier)
    {
        const bool isSame =
            asked.collection == earlier.collection && asked.name == earlier.name && asked.removed == earlier.removed && asked.value == earlier.value;
        if (isSame) {
            return accepted(earlier);
        }
        base::Findings findings;
        findings.add("Plantainfork-Change-Id", "stands for another change, at revision " + std::to_string(earlier.revision.value()));
        return rejected(std::move(findings));
    }

    Store &m_store;
    const ConfigHolder &m_holder;
    Check m_check;
    mutable std::mutex m_mutex;
    /** The last changes that this process has seen, at most HistoryLength; guarded by m_mutex. */
    std::map<base::Revision, Change> m_recent;
    /** No change up to this revision within the history's length is missing from m_recent; guarded by m_mutex. */
    base::Revision m_recentRevision;
};

} // namespace plantainfork::config
