/** One time in office of a scheduler: what it holds and knows, from its election until it loses or gives up the office. */
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

#include "batch/records.h"
#include "batch/workload.h"
#include "log/log.h"
#include "runtime/signal.h"
#include "store/key_value.h"

namespace plantainfork::batch
{

struct SchedulerTiming {
    /** A held call of an agent is answered at the latest after this; a third of the silence after which it counts as out of touch. */
    static constexpr std::chrono::milliseconds LongestHeldCall{1000};
    /** Rounds run at least this often, for what is due by time alone. */
    static constexpr std::chrono::milliseconds RoundInterval{200};
    /** Events that come closer together are decided in one round. */
    static constexpr std::chrono::milliseconds RoundGap{4};
    /** Bound on one call to the store; its usual answer takes milliseconds, and a slow one about half a second. */
    static constexpr std::chrono::milliseconds StoreCall{1500};
    /** Bound on reading all jobs or states at the start of a term: a megabyte takes a second on an entry's line of 10 Mbit/s. */
    static constexpr std::chrono::milliseconds Load{6000};
    static constexpr std::chrono::milliseconds Watch{10'000};
    static constexpr std::chrono::milliseconds RetryDelay{100};
    /** A candidate waits this many store answer times before it stands, so that one near the store wins. */
    static constexpr int CandidateDelayAnswers = 4;
    static constexpr std::chrono::milliseconds LongestCandidateDelay{400};
    /** Records of one transaction: the store takes 32 entries, of which each record needs two and the office's condition one. */
    static constexpr std::size_t RecordsPerTransaction = 15;
    static constexpr std::chrono::seconds CleaningInterval{5};
};

[[nodiscard]] inline WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

/** Deadline of a call to the store that begins now. */
[[nodiscard]] inline runtime::Instant storeDeadline()
{
    return runtime::Clock::now() + SchedulerTiming::StoreCall;
}

/** One time in office. */
struct Term {
    Term(base::FencingToken givenToken, WorkloadBounds bounds, runtime::Instant now, runtime::Signal &wakeSignal, runtime::Signal &publishedSignal)
        : token(givenToken)
        , workload(givenToken, bounds, now)
        , wake(wakeSignal)
        , published(publishedSignal)
    {
    }

    /** Ends it because the office is lost. */
    void end(const std::string &why)
    {
        if (!isOver) {
            log::write(log::Severity::Warning, "office lost", {{"token", std::to_string(token.value())}, {"reason", why}});
        }
        isOver = true;
        wake.notify();
        published.notify();
    }

    base::FencingToken token;
    store::SessionId session;
    /** The lease holds at least until then. */
    runtime::Instant leaseUntil;
    Workload workload;
    bool isLoaded = false;
    bool isOver = false;
    /** The last try to write records failed; told once. */
    bool isRecordFailing = false;
    bool isRenewalFailing = false;
    /** Revision of each job's state record; absent: there is none. */
    std::map<base::JobId, store::Index> stateIndex;
    /** States as read at the start of the term, until their jobs are known. */
    std::map<base::JobId, JobState> states;
    /** Orders as recorded and in force. */
    std::map<HostId, Orders> orders;
    /** Encoded orders as last published, to see changes. */
    std::map<HostId, std::string> encoded;
    store::Index jobsIndex;
    /** There is something to decide. */
    runtime::Signal &wake;
    /** Orders have changed, or the term is over. */
    runtime::Signal &published;
};

} // namespace plantainfork::batch
