/**
 * The scheduler of an entry. The entries elect a leader by a lease in the store. The leader reads the jobs, receives the agents' reports,
 * plans in rounds and records each round in the store before it sends the orders to any host. Every record is written on the condition
 * that this entry still holds the lease, so a scheduler that has lost it can neither record nor order anything.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "batch/admission_records.h"
#include "batch/candidacy.h"
#include "batch/job_feed.h"
#include "batch/loop.h"
#include "batch/messages.h"
#include "batch/planner.h"
#include "batch/policy_holder.h"
#include "batch/settings.h"
#include "batch/speed_records.h"
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
        , m_planner(plannerBounds(settings))
        , m_feed(store)
        , m_records(executor, settings, store, metrics)
        , m_admissionRecords(settings, store, metrics)
        , m_speedRecords(settings, store)
        , m_wake(executor)
        , m_roundSeconds(metrics.histogram("plantainfork_batch_round_seconds"))
        , m_syncCalls(metrics.counter("plantainfork_batch_sync_calls_total"))
        , m_timerLag(metrics.gauge("plantainfork_batch_leader_timer_lag_milliseconds"))
        , m_placements(metrics.counter("plantainfork_batch_placements_total"))
        , m_stops(metrics.counter("plantainfork_batch_stops_total"))
        , m_blockedUnits(metrics.gauge("plantainfork_batch_blocked_units"))
        , m_slowHosts(metrics.gauge("plantainfork_batch_slow_hosts"))
        , m_speedSamples(metrics.counter("plantainfork_batch_speed_samples_total"))
    {
    }

    void start()
    {
        const auto self = this->shared_from_this();
        spawnLoop(
            m_executor,
            "elections",
            [self] {
                return self->runElections(self);
            },
            [self] {
                self->endTerm("unexpected error");
            });
    }

    /** Releases the lease if this entry holds it, so that another entry need not wait for it to expire. Returns at the deadline at the latest. */
    asio::awaitable<void> stop(runtime::Instant deadline)
    {
        m_isStopping = true;
        m_wake.notify();
        m_leader = m_leader == m_settings.rpc ? wire::Address() : m_leader;
        if (m_term) {
            m_term->isOver = true;
            const auto session = m_term->session;
            m_term->notifyAllHosts();
            const auto begin = runtime::Clock::now();
            const auto ended = co_await m_store.destroySession(session, std::min(storeDeadline(), deadline));
            const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(runtime::Clock::now() - begin);
            log::write(log::Severity::Info, "office given up", {{"status", std::string(ended.message())}, {"took_ms", std::to_string(took.count())}});
        }
    }

    /** Applies an agent's report and replies as soon as the agent lacks its host's current orders, at the latest after `call.wait`. */
    asio::awaitable<absl::StatusOr<SyncReply>> sync(SyncCall call)
    {
        if (!hasLeadership()) {
            co_return redirect(call);
        }
        const auto term = m_term;
        m_syncCalls.add();
        const auto until = runtime::Clock::now() + std::min<std::chrono::milliseconds>(call.wait, SchedulerTiming::MaxSyncHold);
        bool isApplied = term->isLoaded;
        const bool isCurrent = receive(*term, call);
        while (!term->isOver && !hasNewerOrders(*term, call) && runtime::Clock::now() < until) {
            co_await term->published(call.host).waitUntil(until);
            if (!isApplied && term->isLoaded && !term->isOver) {
                isApplied = true;
                receive(*term, call);
            }
        }
        if (term->isOver) {
            co_return redirect(call);
        }
        co_return reply(*term, call, isCurrent);
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
    /** Takes the list of all entries, this one included. */
    void setEntries(const std::vector<EntryRecord> &entries)
    {
        m_entries.clear();
        m_otherShares.clear();
        std::string text;
        for (const auto &entry : entries) {
            m_entries.push_back(entry.rpc);
            text += entry.rpc.host + ":" + std::to_string(entry.rpc.port) + ",";
            if (entry.member != m_settings.id) {
                m_otherShares.push_back(entry.processorShare);
            }
        }
        m_entriesVersion = std::hash<std::string>()(text);
    }

private:
    /** Subtracted from the executor's longest lease, for the time that a grant takes to reach the executor. */
    static constexpr std::chrono::milliseconds GrantMargin{500};

    /** Bytes of a leader's whole memory for each open task: about 1,100 for its state, its orders and its part of messages, and the rest for all else. */
    static constexpr std::size_t MemoryPerOpenTask = 1300;

    [[nodiscard]] static PlannerBounds plannerBounds(const Settings &settings)
    {
        PlannerBounds bounds;
        bounds.remoteFactor = settings.remoteFactor;
        bounds.killGrace = settings.killGrace;
        bounds.unevenHostRatio = settings.unevenHostRatio;
        if (settings.memoryLimitBytes > 0) {
            bounds.maxOpenTasks = settings.memoryLimitBytes / MemoryPerOpenTask;
        }
        return bounds;
    }

    [[nodiscard]] bool hasLeadership() const
    {
        return m_term && !m_term->isOver;
    }

    /**
     * Applies the report. Until the jobs are loaded, only notes the contact, since the grant that goes with the reply must not outlast what the
     * leader takes for the host's silence. Returns false if the call is older than one that was applied.
     */
    bool receive(Term &term, const SyncCall &call)
    {
        if (!term.isLoaded) {
            return term.workload.noteContact(call, runtime::Clock::now());
        }
        const auto effect = term.workload.applySync(call, runtime::Clock::now(), wallNow());
        if (effect == SyncEffect::Changed) {
            m_wake.notify();
        }
        return effect != SyncEffect::Outdated;
    }

    void endTerm(const std::string &why)
    {
        if (m_term) {
            m_term->end(why);
            m_term = nullptr;
        }
    }

    [[nodiscard]] SyncReply redirect(const SyncCall &call) const
    {
        SyncReply reply;
        reply.leader = m_leader;
        addEntries(reply, call);
        return reply;
    }

    /** The list of all entries is long beside the rest of a reply, and rarely changes. */
    void addEntries(SyncReply &reply, const SyncCall &call) const
    {
        reply.entriesVersion = m_entriesVersion;
        if (call.entriesVersion != m_entriesVersion) {
            reply.entries = m_entries;
        }
    }

    /** Whether the agent lacks something that it should learn at once. */
    static bool hasNewerOrders(const Term &term, const SyncCall &call)
    {
        if (!call.hasReport) {
            return false;
        }
        const auto orders = term.orders.find(call.host);
        if (orders == term.orders.end() || orders->second.incarnation != call.report.incarnation) {
            // There is nothing to carry out yet, but an agent needs the token to list its runs.
            return call.token != term.token;
        }
        return call.ordersToken != term.token || orders->second.version > call.ordersVersion;
    }

    /** `isCurrent`: the call counts as contact with the host; otherwise nothing is granted. */
    [[nodiscard]] SyncReply reply(const Term &term, const SyncCall &call, bool isCurrent) const
    {
        SyncReply reply;
        reply.isLeader = true;
        reply.isDoubtful = runtime::Clock::now() > term.leaseUntil;
        reply.leader = m_settings.rpc;
        reply.token = term.token;
        addEntries(reply, call);
        const auto host = term.workload.hosts().find(call.host);
        reply.agentIncarnation = host != term.workload.hosts().end() ? host->second.agentIncarnation : 0;
        if (isCurrent && term.workload.mayRenewLease(call)) {
            const auto remaining = term.leaseUntil + m_maxGrant - runtime::Clock::now();
            reply.grant = std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(remaining), std::chrono::milliseconds(0), m_maxGrant);
        }
        const auto orders = term.orders.find(call.host);
        if (orders == term.orders.end()) {
            return reply;
        }
        if (hasNewerOrders(term, call)) {
            reply.orders = orders->second;
            dropKnownPayloads(reply.orders, call);
            addPayloads(reply.orders, term.workload);
        } else {
            reply.orders.version = orders->second.version;
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
                order = {order.run, "", "", false};
            }
        }
    }

    static void addPayloads(Orders &orders, const Workload &workload)
    {
        for (auto &order : orders.runs) {
            const Job *job = order.isComplete ? workload.findJob(order.run.task.job) : nullptr;
            order.isComplete = job != nullptr;
            order.payload = job != nullptr ? job->spec.payload : std::string();
        }
    }

    /** Takes the office whenever it is free, and follows who has it. A stopping entry still follows: callers ask it until its process ends. */
    asio::awaitable<void> runElections([[maybe_unused]] std::shared_ptr<Scheduler> self)
    {
        while (true) {
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
            if (m_isStopping) {
                co_await m_store.followPrefix(std::string(keys::Leader), found->index, SchedulerTiming::WatchWait);
                continue;
            }
            const auto delay = candidateDelay(answerTime, m_settings.processorShare, m_otherShares);
            co_await runtime::sleepFor(delay + runtime::uniformDelay(std::chrono::milliseconds(20)));
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
        if (record->rpc == m_settings.rpc) {
            // This process isn't in office, or it would not be reading the record.
            m_leader = {};
            return record->member == m_settings.id;
        }
        if (m_leader != record->rpc) {
            log::write(log::Severity::Info, "leader known", {{"leader", record->member.value()}, {"token", std::to_string(entry.lockIndex)}});
        }
        m_leader = record->rpc;
        return false;
    }

    /** The process that wrote the record is gone, or is this one and stops: no need to wait until its lease expires. */
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
                   m_isStopping ? "own leader record removed" : "leader record of the earlier process removed",
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
        if (m_isStopping) {
            const auto ended = co_await m_store.destroySession(*session, storeDeadline());
            log::write(log::Severity::Info, "election declined", {{"reason", "stopping"}, {"lease_ended", ended.ok() ? "true" : "false"}});
            co_return;
        }
        WorkloadBounds bounds;
        bounds.maxGrant = m_maxGrant;
        bounds.remoteFactor = m_settings.remoteFactor;
        bounds.unevenHostRatio = m_settings.unevenHostRatio;
        bounds.hostLossMemory = m_settings.hostLossMemory;
        bounds.fairShareMemory = m_settings.fairShareMemory;
        m_term = std::make_shared<Term>(m_executor, base::FencingToken(result.written.front().lockIndex), bounds, runtime::Clock::now(), m_wake);
        m_term->session = *session;
        m_term->leaseUntil = sentAt + m_settings.schedulerLease;
        m_leader = m_settings.rpc;
        log::write(log::Severity::Info, "office taken", {{"token", std::to_string(m_term->token.value())}});
        co_await runTerm(m_term);
    }

    asio::awaitable<void> runTerm(std::shared_ptr<Term> term)
    {
        const auto self = this->shared_from_this();
        spawnLoop(m_executor, "renew lease", [self, term] {
            return self->renewLease(self, term);
        });
        spawnLoop(m_executor, "watch load", [self, term] {
            return self->watchLoad(self, term);
        });
        spawnLoop(m_executor, "follow jobs", [self, term] {
            return self->m_feed.follow(term);
        });
        spawnLoop(m_executor, "write large records", [self, term] {
            return self->m_records.writeApart(term);
        });
        spawnLoop(m_executor, "remove expired jobs", [self, term] {
            return self->m_records.removeExpiredJobs(term);
        });
        if (m_settings.jobMemoryBytes > 0) {
            spawnLoop(m_executor, "keep admission", [self, term] {
                return self->m_admissionRecords.keep(term);
            });
        }
        if (m_settings.unevenHostRatio > 0) {
            spawnLoop(m_executor, "keep host speeds", [self, term] {
                return self->m_speedRecords.keep(term);
            });
        }
        while (!term->isOver) {
            std::chrono::milliseconds gap = SchedulerTiming::MinRoundGap;
            if (term->isLoaded) {
                const auto decisionTime = co_await runRound(*term);
                const auto wanted = std::chrono::duration_cast<std::chrono::milliseconds>(decisionTime * SchedulerTiming::RoundGapFactor);
                gap = std::clamp(wanted, SchedulerTiming::MinRoundGap, SchedulerTiming::MaxRoundGap);
            }
            if (!term->isOver) {
                co_await m_wake.waitUntil(runtime::Clock::now() + SchedulerTiming::RoundInterval);
                co_await runtime::sleepFor(gap);
            }
        }
        log::write(log::Severity::Info, "office left", {{"token", std::to_string(term->token.value())}});
        term->notifyAllHosts();
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

    /** Logs the leader's load, and hands the lease over if this entry can't keep up and another one is abler. */
    asio::awaitable<void> watchLoad([[maybe_unused]] std::shared_ptr<Scheduler> self, std::shared_ptr<Term> term)
    {
        OverloadDetector overload;
        const auto begin = runtime::Clock::now();
        auto nextLine = begin + SchedulerTiming::LoadLogInterval;
        while (!term->isOver) {
            const auto due = runtime::Clock::now() + SchedulerTiming::LoadCheckInterval;
            co_await runtime::sleepFor(SchedulerTiming::LoadCheckInterval);
            const auto now = runtime::Clock::now();
            overload.add(due, now);
            m_timerLag.set(std::chrono::duration_cast<std::chrono::milliseconds>(overload.lag()).count());
            recordShares(term->workload);
            recordDoubtfulHosts(term->workload);
            if (now >= nextLine) {
                logLoad(*term, overload.lag());
                nextLine = now + SchedulerTiming::LoadLogInterval;
            }
            const bool mayHandOver = now - begin >= SchedulerTiming::MinTermBeforeHandOver && !term->isOver;
            if (mayHandOver && overload.isOverloaded(now) && isAblerEntryKnown(m_settings.processorShare, m_otherShares)) {
                logLoad(*term, overload.lag());
                term->end("handed over to an abler entry");
                const auto ended = co_await m_store.destroySession(term->session, storeDeadline());
                log::write(log::Severity::Info, "lease handed over", {{"status", std::string(ended.message())}});
            }
        }
    }

    void logLoad(Term &term, runtime::Clock::duration timerLag) const
    {
        const auto milliseconds = [](runtime::Clock::duration duration) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
        };
        log::write(log::Severity::Info,
                   "leader load",
                   {{"hosts", std::to_string(term.workload.hosts().size())},
                    {"active_jobs", std::to_string(term.workload.activeJobs().size())},
                    {"oldest_report_ms", milliseconds(term.workload.oldestReportAge(runtime::Clock::now()))},
                    {"timer_lag_ms", milliseconds(timerLag)},
                    {"processor_share", std::to_string(m_settings.processorShare)}});
    }

    /** Decides, records and publishes. Returns the time that the decisions took, without that of the store. */
    asio::awaitable<runtime::Clock::duration> runRound(Term &term)
    {
        const auto begin = runtime::Clock::now();
        if (m_policy.policy()) {
            term.workload.setPolicy(m_policy.policy());
        }
        term.workload.removeDoneUnits();
        term.workload.expireSilentHosts(begin, wallNow());
        term.workload.updateHostLosses(begin);
        term.workload.markCheckpoints(begin);
        term.workload.updateSpeeds(begin);
        const Plan plan = m_planner.plan(term.workload, m_policy.evacuated(), begin, wallNow());
        for (const auto &stop : plan.stops) {
            term.workload.stop(stop.unit, stop.reason);
        }
        for (const auto &placement : plan.placements) {
            term.workload.place(placement.unit, placement.hosts, begin);
        }
        recordSpeeds(term, plan);
        term.workload.noteService(plan.serviceUse, plan.passedOver, begin);
        term.workload.noteWaitingNearData(plan.waitingNearData, begin);
        m_placements.add(plan.placements.size());
        m_stops.add(plan.stops.size());
        m_blockedUnits.set(static_cast<std::int64_t>(plan.blocked));
        for (const auto &event : term.workload.takeEvents()) {
            std::vector<log::Field> fields;
            for (const auto &[name, value] : event.fields) {
                fields.push_back({name, value});
                if (event.name == "run lost" && name == "why") {
                    m_metrics.counter("plantainfork_batch_lost_runs_total", {{"why", value}}).add();
                }
            }
            log::write(log::Severity::Info, event.name, fields);
        }
        recordTimings(term.workload.takeTimings());
        // What goes into a record that is written apart must not be in the orders yet, so the records come first.
        auto records = m_records.encode(term);
        auto changed = collectChangedOrders(term.workload);
        const auto decisionTime = runtime::Clock::now() - begin;
        m_roundSeconds.record(decisionTime);
        const auto result = co_await m_records.write(term, std::move(records));
        if (result == RecordResult::Written) {
            term.publish(std::move(changed));
        } else if (result == RecordResult::Refused) {
            term.workload.markOrdersChanged(changed);
        }
        co_return decisionTime;
    }

    /** Logs the preemptions that spare a unit slow hosts, and records the metrics of host speeds. */
    void recordSpeeds(Term &term, const Plan &plan)
    {
        if (!term.workload.speeds().isOn()) {
            return;
        }
        for (const auto &avoided : plan.avoided) {
            term.workload.logSlowHostsAvoided(avoided.unit, avoided.factor, avoided.victims);
        }
        for (const auto &placement : plan.placements) {
            if (!term.workload.slowHostsAmong(placement.hosts).empty()) {
                const bool isUrgent = term.workload.priorityOf(*placement.unit.job) == 0;
                m_metrics.counter("plantainfork_batch_slow_host_placements_total", {{"urgent", isUrgent ? "true" : "false"}}).add();
            }
        }
        m_slowHosts.set(static_cast<std::int64_t>(term.workload.speeds().slowHosts()));
        m_speedSamples.add(term.workload.takeNewSpeedSamples());
    }

    void recordShares(const Workload &workload)
    {
        if (!workload.fairShare().isOn()) {
            return;
        }
        for (const auto &[id, workspace] : workload.policy().workspaces) {
            m_metrics.gauge("plantainfork_batch_service_share", {{"workspace", id.value()}}).set(percentOf(workload.fairShare().share(id)));
        }
    }

    void recordDoubtfulHosts(const Workload &workload)
    {
        if (workload.hostLosses().isOn()) {
            m_metrics.gauge("plantainfork_batch_doubtful_hosts").set(static_cast<std::int64_t>(workload.hostLosses().doubtfulHosts()));
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

    static std::map<HostId, Orders> collectChangedOrders(Workload &workload)
    {
        std::map<HostId, Orders> changed;
        for (const auto &id : workload.takeChangedHosts()) {
            Orders &orders = changed[id] = workload.takeOrders(id);
            // Payloads are the same for all tasks of a job, so they are added when a reply is sent.
            for (auto &order : orders.runs) {
                order.payload = std::string();
            }
        }
        return changed;
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
    AdmissionRecords<Store> m_admissionRecords;
    SpeedRecords<Store> m_speedRecords;
    runtime::Signal m_wake;
    std::shared_ptr<Term> m_term;
    wire::Address m_leader;
    std::vector<wire::Address> m_entries;
    /** Changes with the list of entries; agents that have this version aren't sent the list again. */
    std::uint64_t m_entriesVersion = 0;
    /** Processor shares of the other entries. */
    std::vector<ProcessorShare> m_otherShares;
    bool m_isStopping = false;
    metrics::Histogram &m_roundSeconds;
    metrics::Counter &m_syncCalls;
    metrics::Gauge &m_timerLag;
    metrics::Counter &m_placements;
    metrics::Counter &m_stops;
    metrics::Gauge &m_blockedUnits;
    metrics::Gauge &m_slowHosts;
    metrics::Counter &m_speedSamples;
};

} // namespace plantainfork::batch
