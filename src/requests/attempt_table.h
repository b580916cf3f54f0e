/**
 * An agent's record of the non-idempotent requests addressed to it: which are running, which are done and with
 * what answer, and which are barred, that is, must never be started here. Kept in memory only: claims name the
 * agent's incarnation, so a restarted agent is never asked about requests of its predecessor.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "rpc/one_shot.h"
#include "runtime/clock.h"
#include "wire/request_messages.h"

namespace plantainfork::requests
{

/** Identifies a request; ids are unique within a workspace only. */
struct RequestKey {
    base::WorkspaceId workspace;
    base::RequestId id;

    auto operator<=>(const RequestKey &) const = default;
};

struct AttemptTableBounds {
    /** Maximum number of attempts and bars. A full table refuses new ones while its oldest is running or younger than `retention`. */
    std::size_t attempts = 100'000;
    /** Maximum total size of stored answers. The oldest are dropped first; their attempts stay Done. */
    std::size_t answerBytes = 16 * 1024 * 1024;
    /** Must exceed the time that an attempt can be in transit, so that a bar is still in place when a delayed attempt arrives. */
    std::chrono::seconds retention{3600};
};

/** Thread-safe. */
class AttemptTable
{
public:
    enum class BeginResult {
        /** The attempt may be sent to the executor; finish() must follow. */
        Started,
        Barred,
        /** Another attempt with the same key is running or has ended. */
        Repeated,
        Full,
    };

    using Completion = std::shared_ptr<rpc::OneShot<bool>>;

    struct Found {
        wire::AttemptState state = wire::AttemptState::Barred;
        /** If Done: the answer, or a reply with outcome Unknown if the answer was dropped. */
        wire::ExecuteReply answer;
        /** If Running: set when the attempt ends. */
        Completion finished;
    };

    explicit AttemptTable(AttemptTableBounds bounds = {});

    BeginResult begin(const RequestKey &key);
    /**
     * Records the end of an attempt and its answer. An attempt that ended as NotRun is removed instead: a later attempt
     * may start, and a later findOrBar() bars the request.
     */
    void finish(const RequestKey &key, const wire::ExecuteReply &answer);
    /** Returns the state of the request. Bars it if no attempt has begun; returns nothing if the table has no room for the bar. */
    std::optional<Found> findOrBar(const RequestKey &key);

    [[nodiscard]] std::size_t size() const;

private:
    struct Attempt {
        wire::AttemptState state = wire::AttemptState::Running;
        wire::ExecuteReply answer;
        /** Whether the answer counts towards m_answerBytes. */
        bool hasStoredAnswer = false;
        runtime::Instant updatedAt;
        std::vector<Completion> waiters;
    };

    /** Removes the oldest attempts and bars past the retention while the table is full. Returns whether it has room for another. */
    bool evictIfFull();
    void dropAnswer(Attempt &attempt);
    void remove(const RequestKey &key);
    void storeAnswer(const RequestKey &key, Attempt &attempt, const wire::ExecuteReply &answer);

    const AttemptTableBounds m_bounds;
    mutable std::mutex m_mutex;
    /** Guarded by m_mutex. */
    std::map<RequestKey, Attempt> m_attempts;
    /** The keys of m_attempts in order of insertion. */
    std::deque<RequestKey> m_keysByInsertion;
    /** Keys with a stored answer, oldest first. May contain keys whose answer was dropped since. */
    std::deque<RequestKey> m_answeredKeys;
    std::size_t m_answerBytes = 0;
};

} // namespace plantainfork::requests
