/**
 * Keeps the record of the hosts' speeds in the store, so that a new leader need not learn them again. Each write requires that this
 * scheduler still holds the lease. Nothing waits for the record: while the store is away, or without the record, the leader goes on with
 * what it has learned itself.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "batch/state_records.h"

namespace plantainfork::batch
{

template<store::ChangeFeed Store>
class SpeedRecords
{
public:
    SpeedRecords(const Settings &settings, Store &store)
        : m_settings(settings)
        , m_store(store)
    {
    }

    /** Reads the record into the term, then writes it whenever it has changed enough, until the term is over. */
    asio::awaitable<void> keep(std::shared_ptr<Term> term)
    {
        Recorded recorded;
        co_await load(*term, recorded);
        while (!term->isOver) {
            co_await runtime::sleepFor(SchedulerTiming::SpeedsInterval);
            if (!term->isOver) {
                co_await writeIfChanged(*term, recorded);
            }
        }
    }

private:
    /** What is in the store, as far as this term knows. */
    struct Recorded {
        store::Index index;
        std::map<HostId, std::uint32_t> factors;
        /** A series of failures is logged once. */
        bool isFailing = false;
    };

    asio::awaitable<void> load(Term &term, Recorded &recorded)
    {
        bool isFailing = false;
        while (!term.isOver) {
            const auto found = co_await m_store.read(std::string(keys::Speeds), storeDeadline());
            if (found.ok()) {
                apply(term, recorded, found->entries);
                co_return;
            }
            if (!std::exchange(isFailing, true)) {
                log::write(log::Severity::Warning, "host speeds not read yet", {{"reason", std::string(found.status().message())}});
            }
            co_await runtime::sleepFor(SchedulerTiming::RetryDelay);
        }
    }

    static void apply(Term &term, Recorded &recorded, const std::vector<store::KeyValue> &entries)
    {
        if (entries.empty()) {
            log::write(log::Severity::Info, "host speeds not recorded, to be learned");
            return;
        }
        recorded.index = entries.front().modified;
        const auto record = wire::decode<HostSpeedsRecord>(entries.front().value);
        if (!record.ok()) {
            log::write(log::Severity::Warning, "host speeds unreadable, to be learned again", {{"reason", std::string(record.status().message())}});
            return;
        }
        term.workload.restoreSpeeds(*record);
        recorded.factors = factorsOf(*record);
        log::write(log::Severity::Info, "host speeds restored", {{"hosts", std::to_string(record->hosts.size())}});
    }

    static std::map<HostId, std::uint32_t> factorsOf(const HostSpeedsRecord &record)
    {
        std::map<HostId, std::uint32_t> factors;
        for (const auto &entry : record.hosts) {
            factors[entry.host] = entry.factorPercent;
        }
        return factors;
    }

    /** Whether hosts have come or gone, or a factor differs by a tenth or more. */
    static bool differs(const std::map<HostId, std::uint32_t> &recorded, const std::map<HostId, std::uint32_t> &present)
    {
        constexpr std::uint64_t Old = 10;
        constexpr std::uint64_t New = 11;
        if (recorded.size() != present.size()) {
            return true;
        }
        for (const auto &[host, factor] : present) {
            const auto found = recorded.find(host);
            if (found == recorded.end() || Old * factor >= New * found->second || Old * found->second >= New * factor) {
                return true;
            }
        }
        return false;
    }

    asio::awaitable<void> writeIfChanged(Term &term, Recorded &recorded)
    {
        const HostSpeedsRecord record = term.workload.speedsRecord(runtime::Clock::now());
        auto factors = factorsOf(record);
        if (!differs(recorded.factors, factors)) {
            co_return;
        }
        std::vector<store::Write> rows;
        rows.push_back(officeLock(m_settings, term));
        store::Write row;
        row.key = std::string(keys::Speeds);
        row.value = wire::encode(record);
        row.expected = recorded.index;
        rows.push_back(std::move(row));
        const auto result = co_await m_store.transact(rows, storeDeadline());
        if (result.outcome == store::WriteOutcome::Applied) {
            for (const auto &entry : result.written) {
                recorded.index = entry.key == keys::Speeds ? entry.modified : recorded.index;
            }
            recorded.factors = std::move(factors);
            recorded.isFailing = false;
            co_return;
        }
        if (!std::exchange(recorded.isFailing, true)) {
            log::write(log::Severity::Warning, "host speeds not written", {{"hosts", std::to_string(record.hosts.size())}, {"reason", result.reason}});
        }
        // An earlier write may have been applied without an answer. A scheduler that has lost the lease fails again, whatever it reads.
        const auto found = co_await m_store.read(std::string(keys::Speeds), storeDeadline());
        if (found.ok()) {
            recorded.index = found->entries.empty() ? store::Index() : found->entries.front().modified;
        }
    }

    const Settings &m_settings;
    Store &m_store;
};

} // namespace plantainfork::batch
