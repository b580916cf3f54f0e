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
    /** Shortest delay between a wake-up and its round, so that events that arrive close together share one round. */
    static constexpr std::chrono::milliseconds MinRoundGap{4};
    /** Longest such delay, so that an urgent job doesn't wait noticeably for its round. */
    static constexpr std::chrono::milliseconds MaxRoundGap{60};
    /** The delay is the last round's time multiplied by this, which leaves most of a busy leader's processor to the agents' calls. */
    static constexpr int RoundGapFactor = 3;
    /** Timeout of one store call; a usual answer takes milliseconds, a slow one about half a second. */
    static constexpr std::chrono::milliseconds StoreCallTimeout{1500};
    /** Timeout for reading all jobs or states at the start of a term: a megabyte takes a second over an entry's 10 Mbit/s link. */
    static constexpr std::chrono::milliseconds LoadTimeout{60'000};
    /** Longest time without a byte of them, as for any other store call. */
    static constexpr std::chrono::milliseconds LoadSilence = StoreCallTimeout;
    /** Longest wait of one watch call to the store. */
    static constexpr std::chrono::milliseconds WatchWait{10'000};
    /** The same for the leader's watch of the jobs, which must notice within the bound on cancellations, 3 s, that its connection is silent. */
    static constexpr std::chrono::milliseconds JobWatchWait{1000};
    static constexpr std::chrono::milliseconds RetryDelay{100};
    /** How often the leader measures whether it keeps up, and how often it logs its load. */
    static constexpr std::chrono::milliseconds LoadCheckInterval{250};
    static constexpr std::chrono::seconds LoadLogInterval{10};
    /** Shortest time from taking the lease to handing it over. */
    static constexpr std::chrono::seconds MinTermBeforeHandOver{30};
    /** Records per transaction: the store accepts 32 operations; each record needs two and the lease condition one. */
    static constexpr std::size_t RecordsPerTransaction = 15;
    /** Bytes of records per transaction, unless a single record is larger: a slow line must take them within StoreCallTimeout. */
    static constexpr std::size_t BytesPerTransaction = 128 * 1024;
    /** Bytes of one record: the largest value of the store is a megabyte. */
    static constexpr std::size_t MaxRecordBytes = 768 * 1024;
    /** Pace of the records that are written apart from the rounds. */
    static constexpr double ApartBytesPerSecond = 512.0 * 1024;
    static constexpr std::chrono::seconds CleanupInterval{5};
    /** How often the leader decides which workspaces are closed to further jobs. */
    static constexpr std::chrono::milliseconds AdmissionInterval{100};
    /** Shortest time between two records of the hosts' speeds. */
    static constexpr std::chrono::seconds SpeedsInterval{5};
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
    Term(boost::asio::any_io_executor givenExecutor, base::FencingToken givenToken, WorkloadBounds bounds, runtime::Instant now, runtime::Signal &wakeSignal)
        : token(givenToken)
        , workload(givenToken, bounds, now)
        , wake(wakeSignal)
        , m_executor(std::move(givenExecutor))
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
        notifyAllHosts();
    }

    /** Notified when orders for the host have been published or the term is over. */
    runtime::Signal &published(const HostId &host)
    {
        return m_published.try_emplace(host, m_executor).first->second;
    }
    void notifyAllHosts()
    {
        for (auto &[host, signal] : m_published) {
            signal.notify();
        }
    }

    /** Makes orders known to the agents; their records are in the store. */
    void publish(std::map<HostId, Orders> changed)
    {
        for (auto &[host, next] : changed) {
            Orders &current = orders[host];
            next.version = current.version + 1;
            current = std::move(next);
            workload.confirmPublished(host, current.incarnation);
            workload.noteAcknowledged(host, current);
            published(host).notify();
        }
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
    /** Notified when a round is due. */
    runtime::Signal &wake;

private:
    boost::asio::any_io_executor m_executor;
    std::map<HostId, runtime::Signal> m_published;
};

} // namespace plantainfork::batch
