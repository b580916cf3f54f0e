/**
 * Loads the jobs of the store into a term: all jobs and their states at its start, then each submission and cancellation as it is
 * written.
 */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "batch/term.h"
#include "runtime/timer.h"
#include "wire/codec.h"

namespace plantainfork::batch
{

namespace asio = boost::asio;

template<store::ChangeFeed Store>
class JobFeed
{
public:
    explicit JobFeed(Store &store)
        : m_store(store)
    {
    }

    /** Reads all jobs and states, then watches the jobs until the term is over. */
    asio::awaitable<void> follow(std::shared_ptr<Term> term)
    {
        while (!term->isOver) {
            const auto all = co_await m_store.readPrefix(std::string(keys::Jobs), loadLimits());
            if (!all.ok()) {
                log::write(log::Severity::Warning, "jobs not read", {{"reason", std::string(all.status().message())}});
                co_await runtime::sleepFor(SchedulerTiming::RetryDelay);
                continue;
            }
            bool isComplete = term->isLoaded;
            if (!isComplete) {
                isComplete = co_await loadStates(*term);
            }
            if (!isComplete) {
                co_await runtime::sleepFor(SchedulerTiming::RetryDelay);
                continue;
            }
            applyEntries(*term, all->entries);
            if (!term->isLoaded) {
                term->isLoaded = true;
                term->notifyAllHosts();
                log::write(log::Severity::Info, "jobs loaded", {{"jobs", std::to_string(term->workload.jobs().size())}});
            }
            term->wake.notify();
            co_await followFrom(*term, all->index);
        }
    }

private:
    /** Limits of a read that starts now. */
    static store::ReadLimits loadLimits()
    {
        return {runtime::Clock::now() + SchedulerTiming::LoadTimeout, SchedulerTiming::LoadSilence};
    }

    /** Applies changes from `index` on, until the store no longer has the history or the term is over. */
    asio::awaitable<void> followFrom(Term &term, store::Index index)
    {
        while (!term.isOver) {
            const auto changes = co_await m_store.followPrefix(std::string(keys::Jobs), index, SchedulerTiming::JobWatchWait);
            if (changes.ok()) {
                index = changes->index;
                applyEntries(term, changes->written);
                if (!changes->written.empty()) {
                    term.wake.notify();
                }
            } else if (absl::IsOutOfRange(changes.status()) || absl::IsResourceExhausted(changes.status())) {
                // An answer that is too large would be so each time, whereas the pages of a read are bounded.
                log::write(log::Severity::Info, "changes not available, reading all jobs", {{"reason", std::string(changes.status().message())}});
                co_return;
            } else {
                log::write(log::Severity::Warning, "job watch failed", {{"reason", std::string(changes.status().message())}});
                co_await runtime::sleepFor(SchedulerTiming::RetryDelay);
            }
        }
    }

    /** Loads the states recorded by earlier leaders, which can't write any more: every write requires the writer's lease. */
    asio::awaitable<bool> loadStates(Term &term)
    {
        const auto all = co_await m_store.readPrefix(std::string(keys::States), loadLimits());
        if (!all.ok()) {
            log::write(log::Severity::Warning, "states not read", {{"reason", std::string(all.status().message())}});
            co_return false;
        }
        for (const auto &entry : all->entries) {
            const base::JobId id(entry.key.substr(keys::States.size()));
            auto state = wire::decode<JobState>(entry.value);
            if (state.ok()) {
                term.pendingStates[id] = std::move(*state);
                term.stateIndex[id] = entry.modified;
            } else {
                log::write(log::Severity::Error, "state record unreadable", {{"job", id.value()}, {"reason", std::string(state.status().message())}});
            }
        }
        co_return true;
    }

    void applyEntries(Term &term, const std::vector<store::KeyValue> &entries)
    {
        for (const auto &entry : entries) {
            const auto key = keys::parseJob(entry.key);
            if (key && key->part == keys::JobPart::Spec) {
                applySpec(term, key->id, entry.value);
            }
        }
        applyCancellations(term, entries);
    }

    static void applyCancellations(Term &term, const std::vector<store::KeyValue> &entries)
    {
        for (const auto &entry : entries) {
            const auto key = keys::parseJob(entry.key);
            if (key && key->part == keys::JobPart::Cancel) {
                term.workload.cancelJob(key->id, wallNow());
            }
        }
    }

    static void applySpec(Term &term, const base::JobId &id, const std::string &value)
    {
        auto spec = wire::decode<JobSpec>(value);
        if (!spec.ok()) {
            log::write(log::Severity::Error, "job record unreadable", {{"job", id.value()}, {"reason", std::string(spec.status().message())}});
            return;
        }
        // A record that some other version wrote must not end this process, and the next leader's, and so on.
        const std::string error = spec->id == id ? findStepsError(spec->steps, spec->occurrences) : "record of another job";
        if (!error.empty()) {
            log::write(log::Severity::Error, "job record not usable", {{"job", id.value()}, {"reason", error}});
            return;
        }
        const auto state = term.pendingStates.extract(id);
        term.workload.addJob(std::move(*spec), state ? std::optional(state.mapped()) : std::nullopt, runtime::Clock::now(), wallNow());
    }

    Store &m_store;
};

} // namespace plantainfork::batch
