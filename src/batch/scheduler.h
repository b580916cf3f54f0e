/**
 * The scheduler of an entry. The entries elect a leader by a lease in the store. The leader reads the jobs, receives the agents' reports,
 * plans in rounds and records each round in the store before it sends the orders to any host. Every record is written on the condition
 * that this entry still holds the lease, so a scheduler that has lost it can neither record nor order anything.
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
        , m_maxGrant(settings.maxExecutorLease - GrantMargin)
        , m_planner(PlannerBounds{settings.remoteFactor, settings.killGrace})
        , m_feed(store)
        , m_records(settings, store, metrics)
        , m_wake(executor)
        , m_published(executor)
        , m_roundSeconds(metrics.histogram("plantainfork_batch_round_seconds"))
        , m_placements(metrics.counter("plantainfork_batch_placements_total"))
        , m_stops(metrics.counter("plantainfork_batch_stops_total"))
        , m_blockedUnits(metrics.gauge("plantainfork_batch_blocked_units"))
    {
    }

    void start()
    {
        asio::co_spawn(m_executor, runElections(this->shared_from_this()), asio::detached);
    }

    /** Releases the lease if this entry holds it, so that another entry need not wait for it to expire. */
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

    /** Applies an agent's report and replies as soon as the agent lacks its host's current orders, at the latest after `call.wait`. */
    asio::awaitable<absl::StatusOr<SyncReply>> sync(SyncCall call)
    {
        if (!hasLeadership()) {
            co_return redirect();
        }
        const auto term = m_term;
        if (term->isLoaded && term->workload.applySync(call, runtime::Clock::now(), wallNow())) {
            m_wake.notify();
        }
        const auto until = runtime::Clock::now() + std::min<std::chrono::milliseconds>(call.wait, SchedulerTiming::MaxSyncHold);
        while (!term->isOver && !hasNewerOrders(*term, call) && runtime::Clock::now() < until) {
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
        reply.isLeader = hasLeadership() && m_term->isLoaded;
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

    /** Address of the leader as far as this entry knows; port 0: none is known. */
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
    /** Subtracted from the executor's longest lease, for the time that a grant takes to reach the executor. */
    static constexpr std::chrono::milliseconds GrantMargin{500};

    [[nodiscard]] bool hasLeadership() const
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

    static bool hasNewerOrders(const Term &term, const SyncCall &call)
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
        const auto remaining = term.leaseUntil + m_maxGrant - runtime::Clock::now();
        reply.grant = std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(remaining), std::chrono::milliseconds(0), m_maxGrant);
        const auto orders = term.orders.find(call.host);
        if (orders != term.orders.end()) {
            reply.orders = orders->second;
            dropKnownPayloads(reply.orders, call);
        }
        return reply;
    }

    /** Omits the payloads of runs that the agent has listed already. */
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

    asio::awaitable<void> runElections([[maybe_unused]] std::shared_ptr<Scheduler> self)
    {
        store::Index index;
        while (!m_isStopping) {
            const auto sentAt = runtime::Clock::now();
            auto found = co_await m_store.read(std::string(keys::Leader), storeDeadline());
            if (!found.ok()) {
                log::write(log::Severity::Warning, "leader unknown", {{"reason", std::string(found.status().message())}});
                co_await runtime::sleepFor(SchedulerTiming::RetryDelay * 3);
                continue;
            }
            const auto answerTime = runtime::Clock::now() - sentAt;
            const bool isHeld = !found->entries.empty() && !found->entries.front().session.isEmpty();
            if (isHeld) {
                const bool isOwnRecord = updateLeader(found->entries.front());
                if (isOwnRecord) {
                    co_await removeStaleLeaderRecord(found->entries.front());
                    continue;
                }
                co_await m_store.followPrefix(std::string(keys::Leader), found->index, SchedulerTiming::WatchWait);
                continue;
            }
            m_leader = {};
            co_await runtime::sleepFor(
                std::min<runtime::Clock::duration>(answerTime * SchedulerTiming::CandidateDelayFactor, SchedulerTiming::MaxCandidateDelay)
                + runtime::uniformDelay(std::chrono::milliseconds(20)));
            if (!m_isStopping && m_policy.policy() != nullptr) {
                co_await tryTakeLease();
            }
        }
    }

    /** Takes the leader's address from its record. Returns whether an earlier process of this entry wrote the record. */
    bool updateLeader(const store::KeyValue &entry)
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

    /** The process that wrote the record is gone, since this process has its address: no need to wait until its lease expires. */
    asio::awaitable<void> removeStaleLeaderRecord(const store::KeyValue &entry)
    {
        store::Write row;
        row.kind = store::Write::Kind::Remove;
        row.key = entry.key;
        row.expected = entry.modified;
        std::vector<store::Write> rows;
        rows.push_back(std::move(row));
        const auto result = co_await m_store.transact(rows, storeDeadline());
        log::write(log::Severity::Info,
                   "leader record of the earlier process removed",
                   {{"token", std::to_string(entry.lockIndex)}, {"result", result.reason}});
        if (result.outcome != store::WriteOutcome::Applied) {
            co_await runtime::sleepFor(SchedulerTiming::RetryDelay);
        }
    }

    asio::awaitable<void> tryTakeLease()
    {
        const auto sentAt = runtime::Clock::now();
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
            // A lock whose answer was lost may have been taken; destroying the session releases it.
            const auto ended = co_await m_store.destroySession(*session, storeDeadline());
            log::write(log::Severity::Info, "not elected", {{"reason", result.reason}, {"lease_ended", ended.ok() ? "true" : "false"}});
            co_return;
        }
        WorkloadBounds bounds;
        bounds.maxGrant = m_maxGrant;
        m_term = std::make_shared<Term>(base::FencingToken(result.written.front().lockIndex), bounds, runtime::Clock::now(), m_wake, m_published);
        m_term->session = *session;
        m_term->leaseUntil = sentAt + m_settings.schedulerLease;
        m_leader = m_settings.rpc;
        log::write(log::Severity::Info, "office taken", {{"token", std::to_string(m_term->token.value())}});
        co_await runTerm(m_term);
    }

    asio::awaitable<void> runTerm(std::shared_ptr<Term> term)
    {
        const auto self = this->shared_from_this();
        asio::co_spawn(m_executor, renewLease(self, term), asio::detached);
        asio::co_spawn(m_executor, m_feed.follow(term), [self](const std::exception_ptr &) {});
        asio::co_spawn(m_executor, m_records.removeExpiredJobs(term), [self](const std::exception_ptr &) {});
        while (!term->isOver) {
            if (term->isLoaded) {
                co_await runRound(*term);
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

    asio::awaitable<void> renewLease([[maybe_unused]] std::shared_ptr<Scheduler> self, std::shared_ptr<Term> term)
    {
        constexpr int RenewalsPerLease = 3;
        while (!term->isOver) {
            co_await runtime::sleepFor(m_settings.schedulerLease / RenewalsPerLease);
            const auto sentAt = runtime::Clock::now();
            const auto renewed = co_await m_store.renewSession(term->session, sentAt + m_settings.schedulerLease / 2);
            if (renewed.ok()) {
                term->leaseUntil = sentAt + m_settings.schedulerLease;
                if (std::exchange(term->isRenewalFailing, false)) {
                    log::write(log::Severity::Info, "lease renewed again");
                }
            } else if (absl::IsNotFound(renewed)) {
                term->end("lease has ended");
            } else if (runtime::Clock::now() > term->leaseUntil + m_maxGrant) {
                term->end("store unreachable for longer than a grant");
            } else if (!std::exchange(term->isRenewalFailing, true)) {
                log::write(log::Severity::Warning, "lease not renewed", {{"reason", std::string(renewed.message())}});
            }
        }
    }

    asio::awaitable<void> runRound(Term &term)
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
        m_blockedUnits.set(static_cast<std::int64_t>(plan.blocked));
        for (const auto &event : term.workload.takeEvents()) {
            std::vector<log::Field> fields;
            for (const auto &[name, value] : event.fields) {
                fields.push_back({name, value});
            }
            log::write(log::Severity::Info, event.name, fields);
        }
        recordTimings(term.workload.takeTimings());
        auto next = collectOrders(term);
        m_roundSeconds.record(runtime::Clock::now() - begin);
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
            auto &lastEncoded = term.encodedOrders[id];
            if (lastEncoded != encoded) {
                lastEncoded = std::move(encoded);
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
    /** Longest time for which an agent may renew its executor's lease without a reply from the leader. */
    const std::chrono::milliseconds m_maxGrant;
    Planner m_planner;
    JobFeed<Store> m_feed;
    StateRecords<Store> m_records;
    runtime::Signal m_wake;
    runtime::Signal m_published;
    std::shared_ptr<Term> m_term;
    wire::Address m_leader;
    std::vector<wire::Address> m_entries;
    bool m_isStopping = false;
    metrics::Histogram &m_roundSeconds;
    metrics::Counter &m_placements;
    metrics::Counter &m_stops;
    metrics::Gauge &m_blockedUnits;
};

} // namespace plantainfork::batch
