/**
 * What an agent knows of the non-idempotent requests that were meant for it: which run, which are done
 * and with what answer, and which are barred. It lives as long as the agent's process; claims name the
 * incarnation, so nobody asks a later process about it.
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

/** Identity of a request: ids are scoped by workspace. */
struct RequestKey {
    base::WorkspaceId workspace;
    base::RequestId id;

    auto operator<=>(const RequestKey &) const = default;
};

struct AttemptTableBounds {
    /** Attempts remembered. When all are younger than `retention`, new attempts are refused as not run. */
    std::size_t attempts = 100'000;
    /** Bytes of kept answers; the oldest are dropped first, their attempts stay done. */
    std::size_t answerBytes = 16 * 1024 * 1024;
    /** Longer than any attempt can be on its way: a bar must outlast an attempt that is still to arrive. */
    std::chrono::seconds retention{3600};
};

/** Safe for use from several threads. */
class AttemptTable
{
public:
    enum class BeginResult {
        /** The attempt may go to the executor; finish() must follow. */
        Started,
        Barred,
        /** Another attempt under the same key runs or has ended. */
        Repeated,
        Full,
    };

    using Completion = std::shared_ptr<rpc::OneShot<bool>>;

    struct Found {
        wire::AttemptState state = wire::AttemptState::Barred;
        /** When Done: the answer, or Unknown once it has been dropped. */
        wire::ExecuteReply answer;
        /** When Running: set at its end. */
        Completion finished;
    };

    explicit AttemptTable(AttemptTableBounds bounds = {});

    BeginResult begin(const RequestKey &key);
    /** An attempt that ended as NotRun is forgotten: a later question bars it, a later attempt may start. */
    void finish(const RequestKey &key, const wire::ExecuteReply &answer);
    /** What became of the request; when it never began, it is barred by this call. Nothing when there is no room for the bar. */
    std::optional<Found> findOrBar(const RequestKey &key);

    [[nodiscard]] std::size_t size() const;

private:
    struct Attempt {
        wire::AttemptState state = wire::AttemptState::Running;
        wire::ExecuteReply answer;
        /** The answer counts towards m_answerBytes. */
        bool hasStoredAnswer = false;
        runtime::Instant updatedAt;
        std::vector<Completion> waiters;
    };

    bool evictIfFull();
    void dropAnswer(Attempt &attempt);
    void forget(const RequestKey &key);
    void storeAnswer(const RequestKey &key, Attempt &attempt, const wire::ExecuteReply &answer);

    const AttemptTableBounds m_bounds;
    mutable std::mutex m_mutex;
    /** Guarded by m_mutex. */
    std::map<RequestKey, Attempt> m_attempts;
    /** Keys in order of their first mention; the same set as m_attempts' keys. */
    std::deque<RequestKey> m_keysByFirstUse;
    /** Keys whose answers are kept, oldest first; may still hold keys whose answer was dropped. */
    std::deque<RequestKey> m_answeredKeys;
    std::size_t m_answerBytes = 0;
};

} // namespace plantainfork::requests
