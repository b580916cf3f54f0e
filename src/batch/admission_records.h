/**
 * Keeps the store's records of the workspaces that are closed to further jobs. The write that accepts a job requires that its workspace's
 * record is unchanged, so a closure holds at all entries at once, whoever leads and whether or not the leader can be reached.
 */
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "batch/admission.h"
#include "batch/settings.h"
#include "batch/state_records.h"
#include "batch/term.h"
#include "metrics/registry.h"
#include "runtime/timer.h"
#include "wire/codec.h"

namespace plantainfork::batch
{

namespace asio = boost::asio;

template<store::ChangeFeed Store>
class AdmissionRecords
{
public:
    AdmissionRecords(const Settings &settings, Store &store, metrics::Registry &metrics)
        : m_settings(settings)
        , m_store(store)
        , m_keptBytes(metrics.gauge("plantainfork_batch_kept_job_bytes"))
        , m_closedWorkspaces(metrics.gauge("plantainfork_batch_closed_workspaces"))
    {
    }

    /** Closes and opens workspaces until the term is over. */
    asio::awaitable<void> keep(std::shared_ptr<Term> term)
    {
        std::map<base::WorkspaceId, Known> known;
        bool isRead = false;
        while (!term->isOver) {
            if (!isRead) {
                isRead = co_await read(known);
            }
            if (isRead && term->isLoaded) {
                isRead = co_await update(*term, known);
            }
            co_await runtime::sleepFor(SchedulerTiming::AdmissionInterval);
        }
    }

private:
    /** A record as it is in the store. */
    struct Known {
        store::Index index;
        bool isClosed = false;
    };

    asio::awaitable<bool> read(std::map<base::WorkspaceId, Known> &known)
    {
        const auto all = co_await m_store.readPrefix(std::string(keys::Admission), storeDeadline());
        if (!all.ok()) {
            co_return false;
        }
        known.clear();
        for (const auto &entry : all->entries) {
            const auto record = wire::decode<AdmissionRecord>(entry.value);
            if (record.ok()) {
                known[record->workspace] = {entry.modified, record->isClosed};
            }
        }
        co_return true;
    }

    /** Returns whether the known records are still those of the store. */
    asio::awaitable<bool> update(Term &term, std::map<base::WorkspaceId, Known> &known)
    {
        const KeptBytes kept = term.workload.keptBytes();
        std::set<base::WorkspaceId> closedNow;
        std::set<base::WorkspaceId> all;
        for (const auto &[workspace, record] : known) {
            all.insert(workspace);
            if (record.isClosed) {
                closedNow.insert(workspace);
            }
        }
        const auto closed = Admission(m_settings.jobMemoryBytes).closedWorkspaces(kept, closedNow);
        all.insert(closed.begin(), closed.end());
        std::size_t sum = 0;
        for (const auto &[workspace, bytes] : kept) {
            sum += bytes;
        }
        m_keptBytes.set(static_cast<std::int64_t>(sum));
        m_closedWorkspaces.set(static_cast<std::int64_t>(closed.size()));
        for (const auto &workspace : all) {
            if (closed.contains(workspace) == closedNow.contains(workspace)) {
                continue;
            }
            const bool isWritten = co_await write(term, workspace, closed.contains(workspace), known[workspace]);
            if (!isWritten) {
                co_return false;
            }
            const auto bytes = kept.find(workspace);
            log::write(log::Severity::Warning,
                       closed.contains(workspace) ? "workspace closed to further jobs" : "workspace open again",
                       {{"workspace", workspace.value()},
                        {"kept_bytes", std::to_string(bytes != kept.end() ? bytes->second : 0)},
                        {"all_kept_bytes", std::to_string(sum)},
                        {"budget_bytes", std::to_string(m_settings.jobMemoryBytes)}});
        }
        co_return true;
    }

    /** The record is changed, never removed: a write that requires an earlier revision can't be carried out late, when the workspace is open again. */
    asio::awaitable<bool> write(Term &term, base::WorkspaceId workspace, bool isClosed, Known &known)
    {
        std::vector<store::Write> rows;
        rows.push_back(officeLock(m_settings, term));
        store::Write row;
        row.key = keys::admission(workspace);
        row.value = wire::encode(AdmissionRecord{workspace, isClosed});
        row.expected = known.index;
        rows.push_back(std::move(row));
        const auto result = co_await m_store.transact(rows, storeDeadline());
        if (result.outcome != store::WriteOutcome::Applied) {
            co_return false;
        }
        for (const auto &entry : result.written) {
            if (entry.key == keys::admission(workspace)) {
                known = {entry.modified, isClosed};
            }
        }
        co_return true;
    }

    const Settings &m_settings;
    Store &m_store;
    metrics::Gauge &m_keptBytes;
    metrics::Gauge &m_closedWorkspaces;
};

} // namespace plantainfork::batch
