/** State of one leadership term of a scheduler, from its election until it loses or gives up the lease. */
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
    /** Longest time for which an agent's sync call is held; a third of the silence after which its host counts as unreachable. */
    static constexpr std::chrono::milliseconds MaxSyncHold{1000};
    /** Upper bound on the time between two rounds, so that timeouts and due times are noticed without an event. */
    static constexpr std::chrono::milliseconds RoundInterval{200};
    /** Delay between a wake-up and its round, so that events that arrive close together share one round. */
    static constexpr std::chrono::milliseconds RoundGap{4};
    /** Timeout of one store call; a usual answer takes milliseconds, a slow one about half a second. */
    static constexpr std::chrono::milliseconds StoreCallTimeout{1500};
    /** Timeout for reading all jobs or states at the start of a term: a megabyte takes a second over an entry's 10 Mbit/s link. */
    static constexpr std::chrono::milliseconds LoadTimeout{6000};
    /** Longest wait of one watch call to the store. */
    static constexpr std::chrono::milliseconds WatchWait{10'000};
    static constexpr std::chrono::milliseconds RetryDelay{100};
    /** A candidate waits this many store round-trip times before it tries to take the lease, so that an entry near the store wins. */
    static constexpr int CandidateDelayFactor = 4;
    static constexpr std::chrono::milliseconds MaxCandidateDelay{400};
    /** Records per transaction: the store accepts 32 operations; each record needs two and the lease condition one. */
    static constexpr std::size_t RecordsPerTransaction = 15;
    static constexpr std::chrono::seconds CleanupInterval{5};
};

[[nodiscard]] inline WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

/** Deadline of a store call that starts now. */
[[nodiscard]] inline runtime::Instant storeDeadline()
{
    return runtime::Clock::now() + SchedulerTiming::StoreCallTimeout;
}

/** Everything that belongs to one leadership term; a new term starts with an empty one. */
struct Term {
    Term(base::FencingToken givenToken, WorkloadBounds bounds, runtime::Instant now, runtime::Signal &wakeSignal, runtime::Signal &publishedSignal)
        : token(givenToken)
        , workload(givenToken, bounds, now)
        , wake(wakeSignal)
        , published(publishedSignal)
    {
    }

    /** Ends the term because leadership is lost. */
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
    /** The lease is valid at least until then. */
    runtime::Instant leaseUntil;
    Workload workload;
    bool isLoaded = false;
    bool isOver = false;
    /** The last attempt to write records failed; a series of failures is logged once. */
    bool isRecordFailing = false;
    bool isRenewalFailing = false;
    /** Store index of each job's state record; a job without a record has no element. */
    std::map<base::JobId, store::Index> stateIndex;
    /** States read at the start of the term whose jobs have not been added yet. */
    std::map<base::JobId, JobState> pendingStates;
    /** Orders whose records are in the store, as sent to the agents. */
    std::map<HostId, Orders> orders;
    /** Last encoded orders of each host, to detect changes. */
    std::map<HostId, std::string> encodedOrders;
    store::Index jobsIndex;
    /** Notified when a round is due. */
    runtime::Signal &wake;
    /** Notified when orders have been published or the term is over. */
    runtime::Signal &published;
};

} // namespace plantainfork::batch
