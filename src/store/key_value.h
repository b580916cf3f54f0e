/**
 * What the project uses of the platform's key-value service: compare-and-swap, sessions (leases) and
 * watches by blocking reads. The service speaks the subset of the Consul KV HTTP API that docs/PROTOCOLS.md
 * lists; store::HttpStore is the client and the in-memory double under tests satisfies the same concept.
 */
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "base/ids.h"
#include "runtime/clock.h"

namespace plantainfork::store
{

/** Position in the store's own order of writes. 0 as a condition means "must not exist". */
using Index = base::Number<struct StoreIndexTag>;
/** A store session: a lease that lapses unless renewed. */
using SessionId = base::Name<struct StoreSessionIdTag>;

struct KeyValue {
    std::string key;
    std::string value;
    Index modified;
    /** Grows each time a session takes the key's lock; serves as a fencing token. */
    std::uint64_t lockIndex = 0;
    /** Session that holds the key's lock, if any. */
    SessionId session;

    MSGPACK_DEFINE(key, value, modified, lockIndex, session);
};

struct ReadResult {
    /** The store's index at the time of the read; the next watch starts from it. */
    Index index;
    std::vector<KeyValue> entries;

    MSGPACK_DEFINE(index, entries);
};

/** What has become of the keys under a prefix that have changed since an index: each is in one of the two lists. */
struct Changes {
    /** Where the next call continues. */
    Index index;
    /** Keys that exist, as they were written last. */
    std::vector<KeyValue> written;
    /** Keys that don't exist any more. */
    std::vector<std::string> removed;

    MSGPACK_DEFINE(index, written, removed);
};

/** One conditional write. */
struct Write {
    enum class Kind {
        /** Sets the value if the key's modified index equals `expected`. */
        Set,
        /** Removes the key if its modified index equals `expected`. */
        Remove,
        /** Sets the value and takes the key's lock for `session`; fails while another session holds it. */
        Lock,
        /** Gives the lock up, if `session` holds it. */
        Unlock,
        /** Writes nothing; the whole fails unless the key's modified index equals `expected`. */
        Check,
    };

    Kind kind = Kind::Set;
    std::string key;
    std::string value;
    Index expected;
    SessionId session;

    MSGPACK_DEFINE(kind, key, value, expected, session);
};

enum class WriteOutcome {
    /** Known to have taken effect. */
    Applied,
    /** Known not to have taken effect: a condition failed. */
    Conflict,
    /** Known not to have taken effect: it never left this process. */
    NotSent,
    /** Known not to have taken effect: the store doesn't accept it as it is, however often it is sent. */
    Rejected,
    /** The answer was lost: it may have taken effect, or still may. */
    Unknown,
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    /** When Applied: the entries as written. */
    std::vector<KeyValue> written;
    std::string reason;

    MSGPACK_DEFINE(outcome, written, reason);
};

/**
 * When a read is given up. A store that is reached begins to answer soon, but a large answer takes its time on a slow line, and one that is
 * cut off has to be read again from its start.
 */
struct ReadLimits {
    /** The whole answer must be there by then. */
    runtime::Instant deadline;
    /** Longest time without a byte of the answer. */
    std::chrono::milliseconds silence{0};
};

/** A store, real or a double. All calls return by their deadline. */
template<typename T>
concept KeyValueStore =
    requires(T store, std::string key, Index index, std::chrono::milliseconds wait, std::vector<Write> writes, SessionId session, runtime::Instant deadline)
{
    {
        store.read(key, deadline)
        } -> std::same_as<boost::asio::awaitable<absl::StatusOr<ReadResult>>>;
    {
        store.readPrefix(key, deadline)
        } -> std::same_as<boost::asio::awaitable<absl::StatusOr<ReadResult>>>;
    /** Returns when anything under the prefix is newer than the index, or after the wait. */
    {
        store.watchPrefix(key, index, wait)
        } -> std::same_as<boost::asio::awaitable<absl::StatusOr<ReadResult>>>;
    /** All or nothing, at most 64 writes. */
    {
        store.transact(writes, deadline)
        } -> std::same_as<boost::asio::awaitable<WriteResult>>;
    {
        store.createSession(wait, deadline)
        } -> std::same_as<boost::asio::awaitable<absl::StatusOr<SessionId>>>;
    {
        store.renewSession(session, deadline)
        } -> std::same_as<boost::asio::awaitable<absl::Status>>;
    {
        store.destroySession(session, deadline)
        } -> std::same_as<boost::asio::awaitable<absl::Status>>;
};

/** A store that also tells single changes, so that a watcher of many keys needn't read all of them again. */
template<typename T>
concept ChangeFeed = KeyValueStore<T> && requires(T store, std::string prefix, Index index, std::chrono::milliseconds wait, ReadLimits limits)
{
    /**
     * Returns as soon as anything under the prefix is newer than the index, or with nothing after the wait. OutOfRange: the store
     * no longer has that history, and the prefix must be read anew.
     */
    {
        store.followPrefix(prefix, index, wait)
        } -> std::same_as<boost::asio::awaitable<absl::StatusOr<Changes>>>;
    /** For prefixes whose values may be large. */
    {
        store.readPrefix(prefix, limits)
        } -> std::same_as<boost::asio::awaitable<absl::StatusOr<ReadResult>>>;
};

} // namespace plantainfork::store

MSGPACK_ADD_ENUM(plantainfork::store::Write::Kind);
MSGPACK_ADD_ENUM(plantainfork::store::WriteOutcome);
