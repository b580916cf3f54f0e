/**
 * Job records in the platform's store. A job costs a small, constant number of writes: one each time it is created,
 * placed, stopped or closed. When the answer to a write is lost, its outcome is read back, never assumed.
 */
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "base/try.h"
#include "jobs/job_record.h"
#include "runtime/clock.h"
#include "runtime/timer.h"
#include "store/key_value.h"

namespace plantainfork::jobs
{

/** Delay before a write that failed or whose answer was lost is tried again. */
constexpr std::chrono::milliseconds StoreRetryDelay{50};

inline std::string liveJobsPrefix(const base::RegionId &region)
{
    return "plantainfork/jobs/" + region.value() + "/";
}

inline std::string liveJobKey(const base::RegionId &region, const base::JobId &job)
{
    return liveJobsPrefix(region) + job.value();
}

/** Closed jobs are moved out of the live prefix, so that a new leader reads only the live ones. */
inline std::string closedJobKey(const base::JobId &job)
{
    return "plantainfork/closed-jobs/" + job.value();
}

/** Key of the job's index record, which holds its region. Written with the job and kept while its id must not be reused. */
inline std::string jobIndexKey(const base::JobId &job)
{
    return "plantainfork/job-index/" + job.value();
}

inline std::string schedulerKey(const base::RegionId &region)
{
    return "plantainfork/schedulers/" + region.value();
}

struct StoredJob {
    JobRecord record;
    /** The next write succeeds only if the store's record still has this index. */
    store::Index modified;
};

/** Condition that the writer is still the region's leader: the write fails if the session doesn't hold the lock. */
struct SchedulerLock {
    std::string key;
    std::string value;
    store::SessionId session;

    [[nodiscard]] store::Write toWrite() const
    {
        return {store::Write::Kind::Lock, key, value, {}, session};
    }
};

enum class SaveOutcome {
    Saved,
    /** Not saved: another write came first, or the lock is lost. */
    Conflict,
    /** The write may have reached the store; its outcome was not known by the deadline. */
    Unknown,
    /** Not saved: the write never reached the store. */
    NotSent,
};

template<store::KeyValueStore Store>
class JobStore
{
public:
    explicit JobStore(Store &store)
        : m_store(store)
    {
    }

    /** Creates the index record and the live record in one transaction. Conflict means that the id is in use. */
    boost::asio::awaitable<SaveOutcome> create(JobRecord record, runtime::Instant deadline)
    {
        const std::string value = toJson(record);
        const std::string key = liveJobKey(record.region, record.spec.id);
        std::vector<store::Write> writes;
        writes.push_back({store::Write::Kind::Set, jobIndexKey(record.spec.id), record.region.value(), {}, {}});
        writes.push_back({store::Write::Kind::Set, key, value, {}, {}});
        const auto saved = co_await writeAndVerify(std::move(writes), key, value, deadline);
        co_return saved.outcome;
    }

    /** Writes the record if the stored one is unchanged since it was read, and updates `modified` when saved. */
    boost::asio::awaitable<SaveOutcome> save(StoredJob &job, std::optional<SchedulerLock> lock, runtime::Instant deadline)
    {
        const std::string value = toJson(job.record);
        const std::string key = liveJobKey(job.record.region, job.record.spec.id);
        std::vector<store::Write> writes;
        if (lock) {
            writes.push_back(lock->toWrite());
        }
        writes.push_back({store::Write::Kind::Set, key, value, job.modified, {}});
        const auto saved = co_await writeAndVerify(std::move(writes), key, value, deadline);
        if (saved.outcome == SaveOutcome::Saved) {
            job.modified = saved.modified;
        }
        co_return saved.outcome;
    }

    /** Saves a closed record and moves it out of the live prefix. */
    boost::asio::awaitable<SaveOutcome> close(StoredJob job, SchedulerLock lock, runtime::Instant deadline)
    {
        const std::string value = toJson(job.record);
        const std::string key = closedJobKey(job.record.spec.id);
        std::vector<store::Write> writes;
        writes.push_back(lock.toWrite());
        writes.push_back({store::Write::Kind::Remove, liveJobKey(job.record.region, job.record.spec.id), {}, job.modified, {}});
        writes.push_back({store::Write::Kind::Set, key, value, {}, {}});
        const auto saved = co_await writeAndVerify(std::move(writes), key, value, deadline);
        co_return saved.outcome;
    }

    /** NotFound when the store has no such job, or only its index record is left. */
    boost::asio::awaitable<absl::StatusOr<StoredJob>> load(base::JobId job, runtime::Instant deadline)
    {
        CO_TRY_ASSIGN(const store::ReadResult index, co_await m_store.read(jobIndexKey(job), deadline));
        if (index.entries.empty()) {
            co_return absl::NotFoundError("no job " + job.value());
        }
        const base::RegionId region(index.entries.front().value);
        CO_TRY_ASSIGN(const store::ReadResult live, co_await m_store.read(liveJobKey(region, job), deadline));
        if (!live.entries.empty()) {
            co_return parse(live.entries.front());
        }
        CO_TRY_ASSIGN(const store::ReadResult closed, co_await m_store.read(closedJobKey(job), deadline));
        if (!closed.entries.empty()) {
            co_return parse(closed.entries.front());
        }
        co_return absl::NotFoundError("job " + job.value() + " is no longer kept");
    }

    /** All live jobs of a region. Records that don't parse are left out. */
    boost::asio::awaitable<absl::StatusOr<std::vector<StoredJob>>> loadRegion(base::RegionId region, runtime::Instant deadline)
    {
        CO_TRY_ASSIGN(const store::ReadResult live, co_await m_store.readPrefix(liveJobsPrefix(region), deadline));
        std::vector<StoredJob> jobs;
        for (const auto &entry : live.entries) {
            auto parsed = parse(entry);
            if (parsed.ok()) {
                jobs.push_back(std::move(*parsed));
            }
        }
        co_return jobs;
    }

private:
    struct VerifiedWrite {
        SaveOutcome outcome = SaveOutcome::Unknown;
        store::Index modified;
    };

    static absl::StatusOr<StoredJob> parse(const store::KeyValue &entry)
    {
        auto parsed = recordFromJson(entry.value, wallClockNow());
        if (const auto *findings = std::get_if<base::Findings>(&parsed)) {
            return absl::DataLossError(entry.key + ": " + findings->text());
        }
        return StoredJob{std::get<JobRecord>(std::move(parsed)), entry.modified};
    }

    /**
     * Applies the writes in one transaction. After a lost answer it reads `key`: if that holds `value`, the transaction was
     * applied; otherwise the same conditional transaction is repeated.
     */
    boost::asio::awaitable<VerifiedWrite> writeAndVerify(std::vector<store::Write> writes, std::string key, std::string value, runtime::Instant deadline)
    {
        bool mayBeApplied = false;
        while (true) {
            const store::WriteResult result = co_await m_store.transact(writes, deadline);
            if (result.outcome == store::WriteOutcome::Applied) {
                co_return VerifiedWrite{SaveOutcome::Saved, modifiedOf(result.written, key)};
            }
            if (result.outcome == store::WriteOutcome::Conflict && !mayBeApplied) {
                co_return VerifiedWrite{SaveOutcome::Conflict, {}};
            }
            mayBeApplied = mayBeApplied || result.outcome == store::WriteOutcome::Unknown;
            if (mayBeApplied) {
                const auto read = co_await m_store.read(key, deadline);
                const bool isApplied = read.ok() && !read->entries.empty() && read->entries.front().value == value;
                if (isApplied) {
                    co_return VerifiedWrite{SaveOutcome::Saved, read->entries.front().modified};
                }
                if (read.ok() && result.outcome == store::WriteOutcome::Conflict) {
                    co_return VerifiedWrite{SaveOutcome::Conflict, {}};
                }
            }
            if (runtime::Clock::now() + StoreRetryDelay >= deadline) {
                co_return VerifiedWrite{mayBeApplied ? SaveOutcome::Unknown : SaveOutcome::NotSent, {}};
            }
            co_await runtime::sleepFor(StoreRetryDelay);
        }
    }

    static store::Index modifiedOf(const std::vector<store::KeyValue> &written, const std::string &key)
    {
        for (const auto &entry : written) {
            if (entry.key == key) {
                return entry.modified;
            }
        }
        return {};
    }

    Store &m_store;
};

} // namespace plantainfork::jobs
