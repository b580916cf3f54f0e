/**
 * The scheduler of an entry. All entries stand for election by a lease in the store; the one in office reads the jobs, hears the
 * agents, decides in rounds and records each round before any host hears of it. Every record is written under the condition that this
 * entry still holds the lease, so a scheduler that has lost its office can't record, and so can't order, anything.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "batch/job_feed.h"
#include "batch/messages.h"
#include "batch/planner.h"
#include "batch/policy_holder.h"
#include "batch/settings.h"
#include "batch/state_records.h"
#include "log/log.h"
#include "metrics/registry.h"
#include "runtime/jitter.h"
#include "runtime/timer.h"
#include "wire/codec.h"

namespace plantainfork::batch
{

namespace asio = boost::asio;

template<store::ChangeFeed Store>
class Scheduler : public std::enable_shared_from_this<Scheduler<Store>>
{
public:
    Scheduler(asio::any_io_executor executor, const Settings &settings, Store &store, PolicyHolder &policy, metrics::Registry &metrics)
        : m_executor(executor)
        , m_settings(settings)
        , m_store(store)
        , m_policy(policy)
        , m_metrics(metrics)
        , m_grant(settings.longestHold - GrantMargin)
        , m_planner(PlannerBounds{settings.remoteFactor, settings.killGrace})
        , m_feed(store)
        , m_records(settings, store, metrics)
        , m_wake(executor)
        , m_published(executor)
        , m_rounds(metrics.histogram("plantainfork_batch_round_seconds"))
        , m_placements(metrics.counter("plantainfork_batch_placements_total"))
        , m_stops(metrics.counter("plantainfork_batch_stops_total"))
        , m_blocked(metrics.gauge("plantainfork_batch_blocked_units"))
    {
    }

    void start()
    {
        asio::co_spawn(m_executor, stand(this->shared_from_this()), asio::detached);
    }

    /** Gives the office up at once, if it is held, so that another entry takes it without waiting for the lease. */
    asio::awaitable<void> stop()
    {
        m_isStopping = true;
        m_wake.notify();
        if (m_term) {
            m_term->isOver = true;
            const auto session = m_term->session;
            m_published.notify();
            const auto ended = co_await m_store.destroySession(session, storeDeadline());
            log::write(log::Severity::Info, "office given up", {{"status", std::string(ended.message())}});
        }
    }

    asio::awaitable<absl::StatusOr<SyncReply>> sync(SyncCall call)
    {
        if (!isInOffice()) {
            co_return redirect();
        }
        const auto term = m_term;
        if (term->isLoaded && term->workload.hear(call, runtime::Clock::now(), wallNow())) {
            m_wake.notify();
        }
        const auto until = runtime::Clock::now() + std::min<std::chrono::milliseconds>(call.wait, SchedulerTiming::LongestHeldCall);
        while (!term->isOver && !hasNews(*term, call) && runtime::Clock::now() < until) {
            co_await m_published.waitUntil(until);
        }
        if (term->isOver) {
            co_return redirect();
        }
        co_return reply(*term, call);
    }

    asio::awaitable<absl::StatusOr<PendingReply>> pending(PendingCall)
    {
        PendingReply reply;
        reply.isLeader = isInOffice() && m_term->isLoaded;
        if (reply.isLeader) {
            std::map<QueueId, std::uint64_t> counts;
            for (const auto &[id, job] : m_term->workload.jobs()) {
                counts[job.spec.queue] += job.status == JobStatus::Queued ? 1 : 0;
            }
            for (const auto &[queue, count] : counts) {
                reply.queues.push_back(queue);
                reply.counts.push_back(count);
            }
        }
        co_return reply;
    }

    /** Who is in office as far as this entry knows; port 0: nobody. */
    [[nodiscard]] wire::Address leader() const
    {
        return m_leader;
    }
    /** The other entries. */
    [[nodiscard]] std::vector<wire::Address> peers() const
    {
        std::vector<wire::Address> others = m_entries;
        std::erase(others, m_settings.rpc);
        return others;
    }
    void setEntries(std::vector<wire::Address> entries)
    {
        m_entries = std::move(entries);
    }

private:
    /** Kept off the longest hold for the way of the grant to the executor. */
    static constexpr std::chrono::milliseconds GrantMargin{500};

    [[nodiscard]] bool isInOffice() const
    {
        return m_term && !m_term->isOver;
    }

    [[nodiscard]] SyncReply redirect() const
    {
        SyncReply reply;
        reply.leader = m_leader;
        reply.entries = m_entries;
        return reply;
    }

    static bool hasNews(const Term &term, const SyncCall &call)
    {
        const auto orders = term.orders.find(call.host);
        return call.ordersToken != term.token || (orders != term.orders.end() && orders->second.version > call.ordersVersion);
    }

    [[nodiscard]] SyncReply reply(const Term &term, const SyncCall &call) const
    {
        SyncReply reply;
        reply.isLeader = true;
        reply.isDoubtful = runtime::Clock::now() > term.leaseUntil;
        reply.leader = m_settings.rpc;
        reply.token = term.token;
        reply.entries = m_entries;
        const auto lapse = term.leaseUntil + m_grant - runtime::Clock::now();
        reply.grant = std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(lapse), std::chrono::milliseconds(0), m_grant);
        const auto orders = term.orders.find(call.host);
        if (orders != term.orders.end()) {
            reply.orders = orders->second;
            dropKnownPayloads(reply.orders, call);
        }
        return reply;
    }

    /** Payloads go to a host once; afterwards the run's identity is enough. */
    static void dropKnownPayloads(Orders &orders, const SyncCall &call)
    {
        for (auto &order : orders.runs) {
            const bool isKnown = std::any_of(call.running.begin(),
                                             call.running.end(),
                                             [&](const Running &running) {
                                                 return running.run == order.run;
                                             })
                || std::find(call.starting.begin(), call.starting.end(), order.run) != call.starting.end();
            if (isKnown) {
                order.payload.clear();
                order.checkpoint.clear();
            }
        }
    }

    asio::awaitable<void> stand([[maybe_unused]] std::shared_ptr<Scheduler> self)
    {
        store::Index index;
        while (!m_isStopping) {
            const auto asked = runtime::Clock::now();
            auto found = co_await m_store.read(std::string(keys::Leader), storeDeadline());
            if (!found.ok()) {
                log::write(log::Severity::Warning, "leader unknown", {{"reason", std::string(found.status().message())}});
                co_await runtime::sleepFor(SchedulerTiming::RetryDelay * 3);
                continue;
            }
            const auto answerTime = runtime::Clock::now() - asked;
            const bool isHeld = !found->entries.empty() && !found->entries.front().session.isEmpty();
            if (isHeld) {
                const bool isOwn = noteLeader(found->entries.front());
                if (isOwn) {
                    co_await clearOwnOffice(found->entries.front());
                    continue;
                }
                co_await m_store.followPrefix(std::string(keys::Leader), found->index, SchedulerTiming::Watch);
                continue;
            }
            m_leader = {};
            co_await runtime::sleepFor(
                std::min<runtime::Clock::duration>(answerTime * SchedulerTiming::CandidateDelayAnswers, SchedulerTiming::LongestCandidateDelay)
                + runtime::uniformDelay(std::chrono::milliseconds(20)));
            if (!m_isStopping && m_policy.policy() != nullptr) {
                co_await seekOffice();
            }
        }
    }

    /** Returns whether the record is one of an earlier process of this entry. */
    bool noteLeader(const store::KeyValue &entry)
    {
        const auto record = wire::decode<LeaderRecord>(entry.value);
        if (!record.ok()) {
            log::write(log::Severity::Error, "leader record unreadable", {{"reason", std::string(record.status().message())}});
            return false;
        }
        if (m_leader != record->rpc) {
            log::write(log::Severity::Info, "leader known", {{"leader", record->member.value()}, {"token", std::to_string(entry.lockIndex)}});
        }
        m_leader = record->rpc;
        return record->member == m_settings.id && record->rpc == m_settings.rpc;
    }

    /** The process that held the office is gone, as this one has its address: no need to wait for the lease. */
    asio::awaitable<void> clearOwnOffice(const store::KeyValue &entry)
    {
        store::Write row;
        row.kind = store::Write::Kind::Remove;
        row.key = entry.key;
        row.expected = entry.modified;
        std::vector<store::Write> rows;
        rows.push_back(std::move(row));
        const auto result = co_await m_store.transact(rows, storeDeadline());
        log::write(log::Severity::Info, "office of the earlier process cleared", {{"token", std::to_string(entry.lockIndex)}, {"result", result.reason}});
        if (result.outcome != store::WriteOutcome::Applied) {
            co_await runtime::sleepFor(SchedulerTiming::RetryDelay);
        }
    }

    asio::awaitable<void> seekOffice()
    {
        const auto asked = runtime::Clock::now();
        auto session = co_await m_store.createSession(m_settings.schedulerLease, storeDeadline());
        if (!session.ok()) {
            co_return;
        }
        store::Write lock;
        lock.kind = store::Write::Kind::Lock;
        lock.key = std::string(keys::Leader);
        lock.value = wire::encode(LeaderRecord{m_settings.id, m_settings.rpc});
        lock.session = *session;
        std::vector<store::Write> rows;
        rows.push_back(lock);
        const auto result = co_await m_store.transact(rows, storeDeadline());
        if (result.outcome != store::WriteOutcome::Applied || result.written.empty()) {
            // An unanswered lock may still have been taken; ending the lease makes sure that it doesn't stand.
            const auto ended = co_await m_store.destroySession(*session, storeDeadline());
            log::write(log::Severity::Info, "not elected", {{"reason", result.reason}, {"lease_ended", ended.ok() ? "true" : "false"}});
            co_return;
        }
        WorkloadBounds bounds;
        bounds.longestGrant = m_grant;
        m_term = std::make_shared<Term>(base::FencingToken(result.written.front().lockIndex), bounds, runtime::Clock::now(), m_wake, m_published);
        m_term->session = *session;
        m_term->leaseUntil = asked + m_settings.schedulerLease;
        m_leader = m_settings.rpc;
        log::write(log::Severity::Info, "office taken", {{"token", std::to_string(m_term->token.value())}});
        co_await serve(m_term);
    }

    asio::awaitable<void> serve(std::shared_ptr<Term> term)
    {
        const auto self = this->shared_from_this();
        asio::co_spawn(m_executor, renew(self, term), asio::detached);
        asio::co_spawn(m_executor, m_feed.follow(term), [self](const std::exception_ptr &) {});
        asio::co_spawn(m_executor, m_records.clean(term), [self](const std::exception_ptr &) {});
        while (!term->isOver) {
            if (term->isLoaded) {
                co_await round(*term);
            }
            if (!term->isOver) {
                co_await m_wake.waitUntil(runtime::Clock::now() + SchedulerTiming::RoundInterval);
                co_await runtime::sleepFor(SchedulerTiming::RoundGap);
            }
        }
        log::write(log::Severity::Info, "office left", {{"token", std::to_string(term->token.value())}});
        m_published.notify();
        if (m_term == term) {
            m_term = nullptr;
        }
    }

    asio::awaitable<void> renew([[maybe_unused]] std::shared_ptr<Scheduler> self, std::shared_ptr<Term> term)
    {
        constexpr int RenewalsPerLease = 3;
        while (!term->isOver) {
            co_await runtime::sleepFor(m_settings.schedulerLease / RenewalsPerLease);
            const auto asked = runtime::Clock::now();
            const auto renewed = co_await m_store.renewSession(term->session, asked + m_settings.schedulerLease / 2);
            if (renewed.ok()) {
                term->leaseUntil = asked + m_settings.schedulerLease;
                if (std::exchange(term->isRenewalFailing, false)) {
                    log::write(log::Severity::Info, "lease renewed again");
                }
            } else if (absl::IsNotFound(renewed)) {
                term->end("lease has ended");
            } else if (runtime::Clock::now() > term->leaseUntil + m_grant) {
                term->end("store unreachable for longer than a grant");
            } else if (!std::exchange(term->isRenewalFailing, true)) {
                log::write(log::Severity::Warning, "lease not renewed", {{"reason", std::string(renewed.message())}});
            }
        }
    }

    asio::awaitable<void> round(Term &term)
    {
        const auto begin = runtime::Clock::now();
        if (m_policy.policy()) {
            term.workload.setPolicy(m_policy.policy());
        }
        term.workload.expireSilentHosts(begin, wallNow());
        term.workload.markCheckpoints(begin);
        const Plan plan = m_planner.plan(term.workload, m_policy.evacuated(), begin, wallNow());
        for (const auto &stop : plan.stops) {
            term.workload.stop(stop.unit, stop.reason);
        }
        for (const auto &placement : plan.placements) {
            term.workload.place(placement.unit, placement.hosts, begin);
        }
        m_placements.add(plan.placements.size());
        m_stops.add(plan.stops.size());
        m_blocked.set(static_cast<std::int64_t>(plan.blocked));
        for (const auto &event : term.workload.takeEvents()) {
            std::vector<log::Field> fields;
            for (const auto &[name, value] : event.fields) {
                fields.push_back({name, value});
            }
            log::write(log::Severity::Info, event.name, fields);
        }
        recordTimings(term.workload.takeTimings());
        auto next = collectOrders(term);
        m_rounds.record(runtime::Clock::now() - begin);
        const bool isRecorded = co_await m_records.write(term);
        if (isRecorded) {
            publish(term, std::move(next));
        }
    }

    void recordTimings(const std::vector<JobTiming> &timings)
    {
        for (const auto &timing : timings) {
            metrics::Labels labels{{"workspace", timing.workspace.value()}, {"priority", std::to_string(timing.priority)}};
            const bool isStart = timing.status == JobStatus::Active;
            if (!isStart) {
                labels.push_back({"status", std::string(statusText(timing.status))});
            }
            m_metrics.histogram(isStart ? "plantainfork_batch_wait_seconds" : "plantainfork_batch_job_seconds", labels).record(timing.age);
        }
    }

    std::map<HostId, Orders> collectOrders(Term &term)
    {
        std::map<HostId, Orders> all;
        for (auto &[id, host] : term.workload.hosts()) {
            Orders orders = term.workload.ordersFor(host);
            orders.version = 0;
            std::string encoded = wire::encode(orders);
            auto &last = term.encoded[id];
            if (last != encoded) {
                last = std::move(encoded);
                ++host.ordersVersion;
            }
            orders.version = host.ordersVersion;
            all[id] = std::move(orders);
        }
        return all;
    }

    void publish(Term &term, std::map<HostId, Orders> next)
    {
        term.orders = std::move(next);
        m_published.notify();
    }

    asio::any_io_executor m_executor;
    const Settings &m_settings;
    Store &m_store;
    PolicyHolder &m_policy;
    metrics::Registry &m_metrics;
    /** The longest that an agent may let its host run without hearing from the scheduler. */
    const std::chrono::milliseconds m_grant;
    Planner m_planner;
    JobFeed<Store> m_feed;
    StateRecords<Store> m_records;
    runtime::Signal m_wake;
    runtime::Signal m_published;
    std::shared_ptr<Term> m_term;
    wire::Address m_leader;
    std::vector<wire::Address> m_entries;
    bool m_isStopping = false;
    metrics::Histogram &m_rounds;
    metrics::Counter &m_placements;
    metrics::Counter &m_stops;
    metrics::Gauge &m_blocked;
};

} // namespace plantainfork::batch
