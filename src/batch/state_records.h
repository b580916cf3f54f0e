/**
 * Writes the records of jobs' states to the store. Each write requires that this scheduler still holds the lease and that the record is
 * unchanged since it was last read or written, so a scheduler that has lost the lease changes nothing.
 */
#pragma once

#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "batch/settings.h"
#include "batch/term.h"
#include "metrics/registry.h"
#include "runtime/timer.h"
#include "wire/codec.h"

namespace plantainfork::batch
{

namespace asio = boost::asio;

/** The condition that this scheduler still holds the lease. */
[[nodiscard]] inline store::Write officeLock(const Settings &settings, const Term &term)
{
    store::Write lock;
    lock.kind = store::Write::Kind::Lock;
    lock.key = std::string(keys::Leader);
    lock.value = wire::encode(LeaderRecord{settings.id, settings.rpc});
    lock.session = term.session;
    return lock;
}

enum class RecordResult {
    /** The store has all records. */
    Written,
    /** The store will never take at least one of them, and has the others. */
    Refused,
    /** Leadership is lost. */
    Lost,
};

template<store::ChangeFeed Store>
class StateRecords
{
public:
    StateRecords(asio::any_io_executor executor, const Settings &settings, Store &store, metrics::Registry &metrics)
        : m_settings(settings)
        , m_store(store)
        , m_hasApart(std::move(executor))
        , m_writeSeconds(metrics.histogram("plantainfork_batch_record_seconds"))
        , m_refused(metrics.counter("plantainfork_batch_records_refused_total"))
    {
    }

    /** Records that go together into one round. */
    struct Record {
        base::JobId job;
        std::string value;
        /** The number that Workload::beginRecord() gave it. */
        std::uint64_t number = 0;
    };
    using Records = std::vector<Record>;

    /** Encodes the states of all changed jobs but those whose records are large, which writeApart() writes. */
    Records encode(Term &term)
    {
        Records records;
        for (auto &[id, job] : term.workload.jobs()) {
            if (!job.isDirty || job.isRecordedApart) {
                continue;
            }
            std::string value = wire::encode(term.workload.recordOf(job));
            if (value.size() > JobLimits::ApartRecordBytes) {
                term.workload.beginApart(job);
                m_hasApart.notify();
                continue;
            }
            const auto number = term.workload.beginRecord(job, value.size(), runtime::Clock::now());
            records.push_back({id, std::move(value), number});
        }
        return records;
    }

    /** Writes the records, retrying until they are written or refused for good. */
    asio::awaitable<RecordResult> write(Term &term, Records records)
    {
        const auto begin = runtime::Clock::now();
        auto result = RecordResult::Written;
        for (auto first = records.cbegin(); first != records.cend();) {
            const auto last = endOfTransaction(first, records.cend());
            const Records batchRecords(first, last);
            first = last;
            const auto written = co_await writeUntilDecided(term, batchRecords);
            if (written == RecordResult::Lost) {
                co_return written;
            }
            result = written == RecordResult::Refused ? written : result;
        }
        if (!records.empty()) {
            m_writeSeconds.record(runtime::Clock::now() - begin);
        }
        co_return result;
    }

    /** Writes large records one after the other, at a pace that leaves most of a slow line to others, until the term is over. */
    asio::awaitable<void> writeApart(std::shared_ptr<Term> term)
    {
        base::JobId last;
        while (!term->isOver) {
            Job *job = nextApart(*term, last);
            if (job == nullptr) {
                co_await m_hasApart.waitUntil(runtime::Clock::now() + SchedulerTiming::RoundInterval);
                continue;
            }
            last = job->spec.id;
            Records records;
            records.push_back({last, encodeWithinBound(term->workload, *job), 0});
            const std::size_t bytes = records.front().value.size();
            records.front().number = term->workload.beginRecord(*job, bytes, runtime::Clock::now());
            if (bytes > SchedulerTiming::MaxRecordBytes) {
                refuse(*term, records.front(), "larger than a value of the store");
                continue;
            }
            job->isBeingRecorded = true;
            const auto written = co_await writeUntilDecided(*term, records);
            if (written == RecordResult::Lost) {
                co_return;
            }
            const auto found = term->workload.jobs().find(last);
            if (found != term->workload.jobs().end()) {
                found->second.isBeingRecorded = false;
                if (written == RecordResult::Written) {
                    term->workload.noteRecorded(found->second, records.front().number);
                    term->wake.notify();
                }
            }
            const std::chrono::duration<double> pause(static_cast<double>(bytes) / SchedulerTiming::ApartBytesPerSecond);
            co_await runtime::sleepFor(std::chrono::duration_cast<std::chrono::milliseconds>(pause));
        }
    }

    /** Periodically removes the records of jobs that ended longer than `keepEnded` ago. */
    asio::awaitable<void> removeExpiredJobs(std::shared_ptr<Term> term)
    {
        while (!term->isOver) {
            co_await runtime::sleepFor(SchedulerTiming::CleanupInterval);
            const auto oldest = wallNow().time_since_epoch() - std::chrono::milliseconds(m_settings.keepEnded);
            std::vector<base::JobId> expired;
            for (const auto &[id, job] : term->workload.jobs()) {
                const bool isExpired = isEnded(job.status) && !job.isDirty && !job.isBeingRecorded && std::chrono::milliseconds(job.endedMs) < oldest;
                if (isExpired && expired.size() < MaxJobsPerCleanup) {
                    expired.push_back(id);
                }
            }
            for (const auto &id : expired) {
                if (!term->isOver) {
                    co_await removeJob(*term, id);
                }
            }
        }
    }

private:
    using Position = typename Records::const_iterator;

    static constexpr std::size_t MaxJobsPerCleanup = 8;

    /** The records from `first` on that go into one transaction: at least one, and no more than the store and the line take. */
    static Position endOfTransaction(Position first, Position end)
    {
        std::size_t count = 1;
        std::size_t bytes = first->value.size();
        auto last = std::next(first);
        while (last != end && count < SchedulerTiming::RecordsPerTransaction && bytes + last->value.size() <= SchedulerTiming::BytesPerTransaction) {
            bytes += last->value.size();
            ++count;
            ++last;
        }
        return last;
    }

    /** The next job in the order of their ids, after the given one, whose large record is out of date; null if there is none. */
    static Job *nextApart(Term &term, const base::JobId &after)
    {
        const auto now = runtime::Clock::now();
        Job *first = nullptr;
        for (auto &[id, job] : term.workload.jobs()) {
            if (!job.isDirty || !job.isRecordedApart || now < job.suspendedUntil) {
                continue;
            }
            if (after < id) {
                return &job;
            }
            first = first == nullptr ? &job : first;
        }
        return first;
    }

    /** The job's record, without checkpoints if it is too large with them: a later leader then begins these tasks anew. */
    static std::string encodeWithinBound(const Workload &workload, const Job &job)
    {
        JobState state = workload.recordOf(job);
        std::string value = wire::encode(state);
        if (value.size() > SchedulerTiming::MaxRecordBytes) {
            for (auto &unit : state.units) {
                unit.checkpoint.clear();
            }
            value = wire::encode(state);
        }
        return value;
    }

    /** Refuses a record for good: what the job has done since its last record is taken back as far as no host knows of it. */
    void refuse(Term &term, const Record &record, const std::string &reason)
    {
        const auto found = term.workload.jobs().find(record.job);
        if (found == term.workload.jobs().end()) {
            return;
        }
        m_refused.add();
        log::write(log::Severity::Error, "record refused", {{"job", record.job.value()}, {"bytes", std::to_string(record.value.size())}, {"reason", reason}});
        found->second.isBeingRecorded = false;
        term.workload.refuseRecord(found->second, record.number, runtime::Clock::now());
    }

    /** Repeats the write until it is applied or refused for good. Of several records only those are refused that are refused by themselves. */
    asio::awaitable<RecordResult> writeUntilDecided(Term &term, const Records &records)
    {
        auto result = RecordResult::Written;
        while (!term.isOver) {
            const auto outcome = co_await writeBatch(term, records);
            if (outcome == store::WriteOutcome::Applied) {
                co_return result;
            }
            if (outcome == store::WriteOutcome::Rejected && records.size() == 1) {
                refuse(term, records.front(), "not accepted by the store");
                co_return RecordResult::Refused;
            }
            if (outcome == store::WriteOutcome::Rejected) {
                for (const auto &record : records) {
                    const Records single{record};
                    const auto written = co_await writeUntilDecided(term, single);
                    if (written == RecordResult::Lost) {
                        co_return written;
                    }
                    result = written == RecordResult::Refused ? written : result;
                }
                co_return result;
            }
            co_await runtime::sleepFor(SchedulerTiming::RetryDelay);
        }
        co_return RecordResult::Lost;
    }

    /** Writes the records in one transaction. */
    asio::awaitable<store::WriteOutcome> writeBatch(Term &term, const Records &records)
    {
        std::vector<store::Write> rows;
        rows.push_back(officeLock(m_settings, term));
        std::size_t bytes = 0;
        for (const auto &record : records) {
            store::Write row;
            row.key = keys::state(record.job);
            row.value = record.value;
            const auto index = term.stateIndex.find(record.job);
            row.expected = index != term.stateIndex.end() ? index->second : store::Index();
            rows.push_back(std::move(row));
            bytes += record.value.size();
        }
        // A slow line takes BytesPerTransaction within the usual timeout.
        const auto deadline = runtime::Clock::now() + SchedulerTiming::StoreCallTimeout * (1 + bytes / SchedulerTiming::BytesPerTransaction);
        const auto result = co_await m_store.transact(rows, deadline);
        if (result.outcome == store::WriteOutcome::Applied) {
            if (std::exchange(term.isRecordFailing, false)) {
                log::write(log::Severity::Info, "records written again", {{"records", std::to_string(records.size())}});
            }
            for (const auto &entry : result.written) {
                if (entry.key.starts_with(keys::States)) {
                    term.stateIndex[base::JobId(entry.key.substr(keys::States.size()))] = entry.modified;
                }
            }
            co_return result.outcome;
        }
        if (!term.isRecordFailing) {
            log::write(log::Severity::Warning, "records not written", {{"records", std::to_string(records.size())}, {"reason", result.reason}});
        }
        term.isRecordFailing = true;
        if (result.outcome == store::WriteOutcome::Conflict) {
            co_await resolveConflict(term, records);
        }
        co_return result.outcome;
    }

    /** Finds out whether leadership is lost, or an earlier write was applied without an answer; in that case reads the new indexes. */
    asio::awaitable<void> resolveConflict(Term &term, const Records &records)
    {
        const auto leader = co_await m_store.read(std::string(keys::Leader), storeDeadline());
        if (!leader.ok()) {
            co_return;
        }
        if (leader->entries.empty() || leader->entries.front().session != term.session) {
            term.end("another scheduler holds the lease");
            co_return;
        }
        for (const auto &record : records) {
            const store::ReadLimits limits{runtime::Clock::now() + SchedulerTiming::LoadTimeout, SchedulerTiming::LoadSilence};
            const auto state = co_await m_store.readPrefix(keys::state(record.job), limits);
            if (state.ok() && !state->entries.empty()) {
                term.stateIndex[record.job] = state->entries.front().modified;
            }
        }
    }

    asio::awaitable<void> removeJob(Term &term, const base::JobId &id)
    {
        const auto all = co_await m_store.readPrefix(keys::jobPrefix(id), storeDeadline());
        const auto index = term.stateIndex.find(id);
        if (!all.ok() || index == term.stateIndex.end()) {
            co_return;
        }
        std::vector<store::Write> rows;
        rows.push_back(officeLock(m_settings, term));
        for (const auto &entry : all->entries) {
            rows.push_back({store::Write::Kind::Remove, entry.key, "", entry.modified, {}});
        }
        rows.push_back({store::Write::Kind::Remove, keys::state(id), "", index->second, {}});
        const auto result = co_await m_store.transact(rows, storeDeadline());
        if (result.outcome == store::WriteOutcome::Applied) {
            term.workload.forgetJob(id);
            term.stateIndex.erase(id);
            log::write(log::Severity::Debug, "job records removed", {{"job", id.value()}});
        }
    }

    const Settings &m_settings;
    Store &m_store;
    /** Notified when a job's record has become a large one. */
    runtime::Signal m_hasApart;
    metrics::Histogram &m_writeSeconds;
    metrics::Counter &m_refused;
};

} // namespace plantainfork::batch
