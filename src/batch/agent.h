/**
 * The agent of a host, which alone starts and stops runs at the host's executor. It reports running and ended runs to the leader, carries
 * out the orders in the leader's replies, and renews the executor's lease no further than the leader's last grant allows.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/cleanup/cleanup.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "batch/announcement.h"
#include "batch/executor_clock.h"
#include "batch/executor_port.h"
#include "batch/loop.h"
#include "batch/messages.h"
#include "batch/possible_runs.h"
#include "batch/settings.h"
#include "log/log.h"
#include "metrics/registry.h"
#include "rpc/channel_pool.h"
#include "runtime/jitter.h"
#include "runtime/signal.h"

namespace plantainfork::batch
{

namespace asio = boost::asio;

template<ExecutorPort Executor>
class Agent : public std::enable_shared_from_this<Agent<Executor>>
{
public:
    /** Looks the leader's address up in the store when no known entry answers; port 0: not found. */
    using FindLeader = std::function<asio::awaitable<wire::Address>()>;

    Agent(asio::any_io_executor executor,
          const Settings &settings,
          Executor &port,
          rpc::ChannelPool &channels,
          FindLeader findLeader,
          metrics::Registry &metrics)
        : m_executor(executor)
        , m_settings(settings)
        , m_port(port)
        , m_channels(channels)
        , m_findLeader(std::move(findLeader))
        , m_entries(settings.entries)
        , m_stateChanged(executor)
        , m_ordersChanged(executor)
        , m_listingChanged(executor)
        , m_leaderDoubted(executor)
        , m_starts(metrics.counter("plantainfork_batch_starts_total"))
        , m_holdFailures(metrics.counter("plantainfork_batch_hold_failures_total"))
        , m_crashes(metrics.counter("plantainfork_batch_executor_crashes_total"))
        , m_goodbyes(metrics.counter("plantainfork_batch_goodbyes_total"))
        , m_startSeconds(metrics.histogram("plantainfork_batch_start_seconds"))
    {
        const auto wall = std::chrono::system_clock::now().time_since_epoch();
        m_agentIncarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
    }

    void start()
    {
        const auto self = this->shared_from_this();
        spawnLoop(m_executor, "poll leader", [self] {
            return self->pollLeader(self);
        });
        spawnLoop(m_executor, "report changes", [self] {
            return self->reportChanges(self);
        });
        spawnLoop(m_executor, "renew executor lease", [self] {
            return self->renewExecutorLease(self);
        });
        spawnLoop(m_executor, "ask entries for leader", [self] {
            return self->askEntriesForLeader(self);
        });
    }

    /** Handles a report of the executor. AnnouncedExecutor drops outdated reports, and those of other writers. */
    void handleHostReport(HostReport report)
    {
        const bool isNewIncarnation = !m_report || m_report->incarnation != report.incarnation;
        if (isNewIncarnation && m_report) {
            handleIncarnationEnd();
            m_hasSeenEnd = true;
        }
        const bool isChanged =
            isNewIncarnation || m_report->isDraining != report.isDraining || m_report->capacity != report.capacity || m_report->labels != report.labels;
        const auto known = m_report ? m_report->incarnation : HostIncarnation();
        if (!isNewIncarnation) {
            report.isLeaving = m_report->isLeaving;
            report.hasLeft = m_report->hasLeft;
        }
        m_report = std::move(report);
        if (isNewIncarnation) {
            log::write(log::Severity::Info,
                       "executor known",
                       {{"instance", m_report->incarnation.instance},
                        {"born", std::to_string(m_report->incarnation.born)},
                        {"known_instance", known.instance},
                        {"known_born", std::to_string(known.born)},
                        {"reached_ago_ms", std::to_string(sinceExecutorAnswered().count())}});
            m_isExecutorReached = false;
            m_isIncarnationGone = false;
            m_isGoodbyeRejected = false;
            m_listing.reset();
            m_listingChanged.notify();
            m_listToken = {};
            m_clock.forget();
            m_starting.clear();
            m_unlisted.clear();
            m_possibleRuns.beginIncarnation();
            m_barred.clear();
            m_stopping.clear();
            m_orders = {};
            m_ordersToken = {};
        }
        if (isChanged) {
            m_stateChanged.notify();
            m_ordersChanged.notify();
        }
    }

    /**
     * Handles a goodbye under the executor's id. It names no incarnation, anyone may send it, and it may come late, so the executor counts as
     * gone only once nothing listens at its address any more.
     */
    void handleGoodbye(const std::string &instance)
    {
        m_goodbyes.add();
        // A life about which one goodbye was wrong isn't closed to work by the next: its sender may go on.
        if (!m_report || m_report->incarnation.instance != instance || m_report->isLeaving || m_isGoodbyeRejected) {
            return;
        }
        log::write(log::Severity::Info,
                   "executor says goodbye",
                   {{"instance", instance},
                    {"born", std::to_string(m_report->incarnation.born)},
                    {"runs", std::to_string(m_possibleRuns.size())},
                    {"is_reached", m_isExecutorReached ? "true" : "false"},
                    {"reached_ago_ms", std::to_string(sinceExecutorAnswered().count())}});
        m_report->isLeaving = true;
        m_goodbyeAt = runtime::Clock::now();
        markChanged();
        m_ordersChanged.notify();
    }

    /** The leader's fencing token; FencingToken() until a leader has answered. */
    [[nodiscard]] base::FencingToken token() const
    {
        return m_token;
    }

private:
    /** How long the leader may hold a sync call; the timeout adds time for the network. */
    static constexpr std::chrono::milliseconds CallWait{700};
    static constexpr std::chrono::milliseconds CallTimeout{1200};
    /** Delay before another call after one that reached no leader. */
    static constexpr std::chrono::milliseconds RetryDelay{100};
    /** How long the executor may hold a call while no run ends; each call renews its lease. */
    static constexpr std::chrono::milliseconds HoldWait{1000};
    static constexpr std::chrono::milliseconds HoldTimeout{1900};
    static constexpr std::chrono::milliseconds HoldRetryDelay{150};
    /** Timeout of one start or stop call; usual answers take a millisecond. */
    static constexpr std::chrono::milliseconds OrderTimeout{500};
    static constexpr std::chrono::milliseconds OrderRetryDelay{50};
    /** Validity of a start call on the executor's clock: the executor refuses to carry it out later than this. */
    static constexpr std::chrono::milliseconds StartLifetime{1500};
    /**
     * How long orders allow starts after the leader was asked for newer ones. The leader may have withdrawn them since, as an evacuation asks for
     * within five seconds; replies come at least once in CallTimeout.
     */
    static constexpr std::chrono::milliseconds OrdersLifetime{2500};
    static constexpr unsigned FailuresPerLogLine = 20;
    /** Delay before a change is reported, so that changes that come close together share one call. */
    static constexpr std::chrono::milliseconds ReportGap{3};
    /** Failed calls per lookup of the leader in the store; all agents share the store, so its load is kept low. */
    static constexpr unsigned FailuresPerLookup = 3;

    asio::awaitable<void> pollLeader([[maybe_unused]] std::shared_ptr<Agent> self)
    {
        unsigned failures = 0;
        while (true) {
            // The first call isn't held: until the token is known, the executor can neither be asked for its runs nor be confirmed.
            const bool isReached = co_await callLeader(m_token == base::FencingToken() ? std::chrono::milliseconds(0) : CallWait);
            if (isReached) {
                failures = 0;
                continue;
            }
            // The store has the leader's address, whereas entries that are called in turn may be down.
            if (failures++ % FailuresPerLookup == 0) {
                co_await lookUpLeader();
            } else {
                co_await runtime::sleepFor(RetryDelay);
            }
        }
    }

    /** Reports changes to the leader at once, in parallel to the held call. */
    asio::awaitable<void> reportChanges([[maybe_unused]] std::shared_ptr<Agent> self)
    {
        while (true) {
            if (m_reportedVersion == m_stateVersion) {
                co_await m_stateChanged.waitUntil(runtime::Clock::now() + std::chrono::hours(1));
                co_await runtime::sleepFor(ReportGap);
            }
            const auto reportedVersion = m_stateVersion;
            const std::chrono::milliseconds noWait(0);
            const bool isReached = co_await callLeader(noWait);
            if (isReached) {
                m_reportedVersion = reportedVersion;
            } else {
                co_await runtime::sleepFor(RetryDelay);
            }
        }
    }

    void markChanged()
    {
        ++m_stateVersion;
        m_stateChanged.notify();
    }

    SyncCall buildSyncCall(std::chrono::milliseconds wait)
    {
        SyncCall call;
        call.host = HostId(m_settings.id.value());
        call.agentIncarnation = m_agentIncarnation;
        call.sequence = ++m_sequence;
        call.hasReport = m_report.has_value();
        if (m_report) {
            call.report = *m_report;
        }
        call.isExecutorReached = m_isExecutorReached;
        call.token = m_token;
        call.ordersToken = m_ordersToken;
        call.ordersVersion = m_orders.version;
        call.entriesVersion = m_entriesVersion;
        if (m_listing) {
            call.listToken = m_listToken;
            call.running = m_listing->running;
            call.ended = m_listing->ended;
        }
        call.barred.assign(m_barred.begin(), m_barred.end());
        call.starting.assign(m_starting.begin(), m_starting.end());
        call.starting.insert(call.starting.end(), m_unlisted.begin(), m_unlisted.end());
        call.confirmed.assign(m_unlisted.begin(), m_unlisted.end());
        call.crashed = m_possibleRuns.crashed();
        call.hasSeenEnd = m_hasSeenEnd;
        call.wait = wait;
        return call;
    }

    asio::awaitable<bool> callLeader(std::chrono::milliseconds wait)
    {
        const auto target = m_leader.port != 0 ? m_leader : nextEntry();
        const bool isReached = co_await callEntry(target, wait);
        co_return isReached;
    }

    /** Returns whether the entry considers itself the leader. */
    asio::awaitable<bool> callEntry(wire::Address target, std::chrono::milliseconds wait)
    {
        if (target.port == 0) {
            co_return false;
        }
        const auto sent = runtime::Clock::now();
        const auto channel = m_channels.to(target);
        const SyncCall call = buildSyncCall(wait);
        const auto result = co_await rpc::call(*channel, call, sent + CallTimeout);
        if (!result.reply.ok()) {
            handleUnreachable(target, result.reply.status());
            co_return false;
        }
        handleReply(*result.reply, target, sent);
        if (!result.reply->isLeader && target != m_leader) {
            co_await runtime::sleepFor(RetryDelay);
        }
        co_return result.reply->isLeader;
    }

    void handleUnreachable(const wire::Address &target, const absl::Status &status)
    {
        if (target != m_leader && m_leader.port != 0) {
            return;
        }
        if (m_isLeaderReached || !m_hasFailed) {
            log::write(log::Severity::Warning, "scheduler not reached", {{"address", target.host}, {"reason", std::string(status.message())}});
        }
        m_hasFailed = true;
        m_isLeaderReached = false;
        m_leader = {};
    }

    /** While the leader's lease may have lapsed, asks the other entries who the leader is. */
    asio::awaitable<void> askEntriesForLeader([[maybe_unused]] std::shared_ptr<Agent> self)
    {
        while (true) {
            co_await m_leaderDoubted.waitUntil(runtime::Clock::now() + std::chrono::hours(1));
            while (m_isLeaderDoubtful && m_entries.size() > 1) {
                auto other = std::exchange(m_suggestedLeader, wire::Address());
                if (other.port == 0 || other == m_leader) {
                    other = nextEntry();
                }
                if (other == m_leader) {
                    other = nextEntry();
                }
                const std::chrono::milliseconds noWait(0);
                co_await callEntry(other, noWait);
                co_await runtime::sleepFor(RetryDelay);
            }
        }
    }

    void handleReply(const SyncReply &reply, const wire::Address &from, runtime::Instant sent)
    {
        if (!reply.entries.empty()) {
            m_entries = reply.entries;
            m_entriesVersion = reply.entriesVersion;
        }
        const bool isFromLeader = from == m_leader || m_leader.port == 0;
        if (!reply.isLeader) {
            const bool isSuggestion = reply.leader.port != 0 && reply.leader != from;
            if (isFromLeader) {
                m_leader = isSuggestion ? reply.leader : wire::Address();
            } else if (isSuggestion) {
                // Stays with the doubtful leader until the suggested one has replied with its token.
                m_suggestedLeader = reply.leader;
            }
            return;
        }
        if (reply.token < m_token) {
            log::write(log::Severity::Info,
                       "reply of superseded scheduler ignored",
                       {{"token", std::to_string(reply.token.value())}, {"known", std::to_string(m_token.value())}});
            m_leader = isFromLeader ? wire::Address() : m_leader;
            return;
        }
        if (!m_isLeaderReached || reply.token != m_token) {
            log::write(log::Severity::Info, "scheduler reached", {{"address", from.host}, {"token", std::to_string(reply.token.value())}});
        }
        if (reply.agentIncarnation > m_agentIncarnation) {
            log::write(log::Severity::Warning,
                       "earlier process of this agent has a later start time",
                       {{"own", std::to_string(m_agentIncarnation)}, {"known", std::to_string(reply.agentIncarnation)}});
            m_agentIncarnation = reply.agentIncarnation + 1;
            markChanged();
        }
        setLeaderDoubtful(reply.isDoubtful);
        m_isLeaderReached = true;
        m_leader = from;
        m_grantUntil = std::max(m_grantUntil, sent + reply.grant);
        m_ordersConfirmedAt = std::max(m_ordersConfirmedAt, sent);
        if (reply.token != m_token) {
            m_token = reply.token;
            m_ordersChanged.notify();
        }
        applyOrders(reply);
    }

    void setLeaderDoubtful(bool isDoubtful)
    {
        if (isDoubtful != m_isLeaderDoubtful) {
            log::write(log::Severity::Info, "scheduler's lease", {{"is_doubtful", isDoubtful ? "true" : "false"}});
        }
        m_isLeaderDoubtful = isDoubtful;
        if (isDoubtful) {
            m_leaderDoubted.notify();
        }
    }

    void applyOrders(const SyncReply &reply)
    {
        const bool isNewer = reply.token != m_ordersToken || reply.orders.version > m_orders.version;
        if (!isNewer || reply.orders.version == 0 || !m_report || reply.orders.incarnation != m_report->incarnation) {
            return;
        }
        m_ordersToken = reply.token;
        mergePayloads(reply.orders);
        m_orders = reply.orders;
        m_possibleRuns.confirmCrashes(m_report->incarnation);
        std::erase_if(m_barred, [&](const RunId &run) {
            return !isOrdered(run) && !isStopOrdered(run);
        });
        for (const auto &order : m_orders.runs) {
            startIfNeeded(order.run);
        }
        for (const auto &run : m_orders.stops) {
            stopIfNeeded(run);
        }
        m_ordersChanged.notify();
    }

    /**
     * Keeps the payloads of runs that are still ordered, since the leader sends each payload once only, and of those that were being started: the
     * leader counts them as known, and may order them again.
     */
    void mergePayloads(const Orders &next)
    {
        std::map<RunId, RunOrder> kept;
        for (const auto &run : m_starting) {
            if (const auto known = m_payloads.find(run); known != m_payloads.end()) {
                kept.insert(*known);
            }
        }
        for (const auto &order : next.runs) {
            const auto known = m_payloads.find(order.run);
            const bool isKnownBetter = known != m_payloads.end() && known->second.isComplete && (!order.isComplete || order.payload.empty());
            kept[order.run] = isKnownBetter ? known->second : order;
        }
        m_payloads = std::move(kept);
    }

    [[nodiscard]] bool isOrdered(const RunId &run) const
    {
        return std::any_of(m_orders.runs.begin(), m_orders.runs.end(), [&](const RunOrder &order) {
            return order.run == run;
        });
    }
    [[nodiscard]] bool isStopOrdered(const RunId &run) const
    {
        return std::find(m_orders.stops.begin(), m_orders.stops.end(), run) != m_orders.stops.end();
    }
    [[nodiscard]] bool isListed(const RunId &run) const
    {
        return m_listing
            && (std::any_of(m_listing->running.begin(),
                            m_listing->running.end(),
                            [&](const Running &running) {
                                return running.run == run;
                            })
                || hasEnded(run));
    }
    [[nodiscard]] bool hasEnded(const RunId &run) const
    {
        return m_listing && std::any_of(m_listing->ended.begin(), m_listing->ended.end(), [&](const Ended &ended) {
                   return ended.run == run;
               });
    }

    /** Whether the run may have ended beyond the ends that the executor returns at a time. */
    [[nodiscard]] bool mayHaveEndedUnlisted(const RunId &run) const
    {
        return m_listing && !m_listing->isWhole && m_possibleRuns.hasBegun(run);
    }

    void startIfNeeded(const RunId &run)
    {
        const bool isUnderWay = m_unlisted.contains(run) || m_barred.contains(run) || mayHaveEndedUnlisted(run);
        if (!isListed(run) && !isUnderWay && m_starting.insert(run).second) {
            const auto self = this->shared_from_this();
            asio::co_spawn(m_executor, startRun(self, run, m_report->incarnation), [self, run](const std::exception_ptr &failure) {
                self->handleOrderFailure(failure, self->m_starting, run);
            });
        }
    }
    void stopIfNeeded(const RunId &run)
    {
        if (!hasEnded(run) && !m_barred.contains(run) && m_stopping.insert(run).second) {
            const auto self = this->shared_from_this();
            asio::co_spawn(m_executor, stopRun(self, run, m_report->incarnation), [self, run](const std::exception_ptr &failure) {
                self->handleOrderFailure(failure, self->m_stopping, run);
            });
        }
    }
    /** After an exception, lets the order be tried again with the next orders or listing. */
    void handleOrderFailure(const std::exception_ptr &failure, std::set<RunId> &inProgress, const RunId &run)
    {
        if (failure) {
            logRun("order failed unexpectedly", run, describeFailure(failure));
            inProgress.erase(run);
            markChanged();
        }
    }

    [[nodiscard]] bool isCurrentIncarnation(const HostIncarnation &incarnation) const
    {
        return m_report && m_report->incarnation == incarnation;
    }

    /** Time since the executor answered a call for its runs; zero if it never has. */
    [[nodiscard]] std::chrono::milliseconds sinceExecutorAnswered() const
    {
        const auto since = m_executorAnsweredAt == runtime::Instant() ? runtime::Clock::duration() : runtime::Clock::now() - m_executorAnsweredAt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(since);
    }

    /** The executor takes a start's deadline as the end of its lease if that is later, so it must not be later than the grant. */
    [[nodiscard]] ExecutorTime startDeadline(ExecutorTime executorNow) const
    {
        const auto granted = std::chrono::duration_cast<std::chrono::milliseconds>(m_grantUntil - runtime::Clock::now());
        return executorNow + std::min(granted, StartLifetime);
    }

    /** Whether the orders still allow starts; `failures` is the number of times that the run was tried without success. */
    [[nodiscard]] bool mayStart(unsigned failures) const
    {
        const auto now = runtime::Clock::now();
        // Orders of an earlier term may hold runs that have been given up since; the next leader's token would let them start all the same.
        const bool isOrderCurrent = m_ordersToken == m_token && m_listToken == m_token && now - m_ordersConfirmedAt < OrdersLifetime;
        // While the leader's lease may have lapsed, another one may withdraw what this one has ordered some time ago.
        const bool isWithdrawn = m_isLeaderDoubtful && failures > 0;
        return isOrderCurrent && !isWithdrawn && now < m_grantUntil && !m_report->isDraining && !m_report->isLeaving;
    }

    asio::awaitable<void> startRun([[maybe_unused]] std::shared_ptr<Agent> self, RunId run, HostIncarnation incarnation)
    {
        const auto begin = runtime::Clock::now();
        unsigned failures = 0;
        while (isCurrentIncarnation(incarnation) && isOrdered(run) && !isListed(run)) {
            const auto executorNow = m_clock.now();
            // After a call without an answer, the next one may meet another life with a clock of its own.
            if (!mayStart(failures) || !executorNow || !m_isExecutorReached) {
                co_await m_ordersChanged.waitUntil(runtime::Clock::now() + HoldRetryDelay);
                continue;
            }
            const auto found = m_payloads.find(run);
            if (found == m_payloads.end()) {
                break;
            }
            const RunOrder order = found->second;
            if (!order.isComplete) {
                // The leader knows the run from an earlier process of this agent; it has ended, or it is barred and starts anew elsewhere.
                logRun("start without a payload", run, "");
                co_await stopOrBar(run, incarnation);
                break;
            }
            const bool isFirstStart = m_possibleRuns.addStart(run, runtime::Clock::now());
            const auto answerDeadline = runtime::Clock::now() + OrderTimeout;
            const auto result = co_await m_port.start(order, incarnation, m_token, startDeadline(*executorNow), answerDeadline);
            const bool mayRun = result.outcome == StartOutcome::Started || result.outcome == StartOutcome::Unknown;
            if (!mayRun && isFirstStart && !isListed(run)) {
                m_possibleRuns.removeStart(run, !isCurrentIncarnation(incarnation));
            }
            if (result.outcome == StartOutcome::Started) {
                m_starts.add();
                m_startSeconds.record(runtime::Clock::now() - begin);
                logRun("run started", run, result.reason);
                if (isCurrentIncarnation(incarnation)) {
                    m_unlisted.insert(run);
                    // An executor that isn't reached may have crashed, and its next life may have answered.
                    if (m_isExecutorReached) {
                        m_possibleRuns.confirmStart(run);
                    }
                }
                break;
            }
            if (result.outcome == StartOutcome::Refused) {
                logRun("start refused", run, result.reason);
                co_await stopOrBar(run, incarnation);
                break;
            }
            logFailure("start not done", run, result.reason, ++failures);
            co_await runtime::sleepFor(OrderRetryDelay);
        }
        m_starting.erase(run);
        markChanged();
    }

    asio::awaitable<void> stopRun([[maybe_unused]] std::shared_ptr<Agent> self, RunId run, HostIncarnation incarnation)
    {
        co_await stopOrBar(run, incarnation);
        m_stopping.erase(run);
        markChanged();
    }

    /** Stops a run, or bars it: makes sure that it never starts. */
    asio::awaitable<void> stopOrBar(const RunId &run, const HostIncarnation &incarnation)
    {
        unsigned failures = 0;
        while (isCurrentIncarnation(incarnation) && (isOrdered(run) || isStopOrdered(run))) {
            const auto stopped = co_await m_port.stop(run, incarnation, m_token, runtime::Clock::now() + OrderTimeout);
            if (stopped.ok()) {
                co_await confirmBar(run, incarnation);
                co_return;
            }
            logFailure("stop not done", run, std::string(stopped.message()), ++failures);
            co_await runtime::sleepFor(OrderRetryDelay);
        }
    }

    /** After a stop, a run that is missing from a fresh and whole listing has never started and is barred. */
    asio::awaitable<void> confirmBar(const RunId &run, const HostIncarnation &incarnation)
    {
        const std::uint64_t sentBefore = m_holdsSent;
        while (isCurrentIncarnation(incarnation) && (isOrdered(run) || isStopOrdered(run))) {
            if (m_listing && m_listingSequence > sentBefore) {
                if (isListed(run)) {
                    co_return;
                }
                if (m_listing->isWhole) {
                    m_barred.insert(run);
                    m_possibleRuns.bar(run);
                    logRun("run barred", run, "");
                    co_return;
                }
            }
            // One call serves all runs that wait for a listing. The ends that this one lists have to be acknowledged before the next ones come.
            const bool isAsking = !m_isConfirming && (!m_listing || m_listingSequence <= sentBefore);
            bool hasListing = false;
            if (isAsking) {
                m_isConfirming = true;
                const absl::Cleanup asked = [this] {
                    m_isConfirming = false;
                    m_listingChanged.notify();
                };
                const std::chrono::milliseconds noWait(0);
                hasListing = co_await callHold(noWait);
            }
            if (!hasListing) {
                co_await m_listingChanged.waitUntil(runtime::Clock::now() + HoldRetryDelay);
            }
        }
    }

    /** Renews the executor's lease and fetches the listing of its runs in a loop. */
    asio::awaitable<void> renewExecutorLease([[maybe_unused]] std::shared_ptr<Agent> self)
    {
        while (true) {
            if (!m_report || m_token == base::FencingToken()) {
                co_await m_ordersChanged.waitUntil(runtime::Clock::now() + CallWait);
                continue;
            }
            const bool mayWait = m_listToken == m_token && m_isExecutorReached;
            const std::chrono::milliseconds wait = mayWait ? HoldWait : std::chrono::milliseconds(0);
            const auto begin = runtime::Clock::now();
            const bool isRenewed = co_await callHold(wait);
            // The executor doesn't hold the call while it has ended runs that aren't acknowledged yet.
            const bool isAnsweredEarly = runtime::Clock::now() - begin < HoldRetryDelay && m_listing && !m_listing->ended.empty();
            if (!isRenewed || isAnsweredEarly) {
                co_await m_ordersChanged.waitUntil(runtime::Clock::now() + HoldRetryDelay);
            }
        }
    }

    /** Renews the executor's lease up to the current grant and takes its listing; returns whether it succeeded. */
    asio::awaitable<bool> callHold(std::chrono::milliseconds wait)
    {
        const auto incarnation = m_report->incarnation;
        HoldRequest request;
        request.incarnation = incarnation;
        request.token = m_token;
        request.acknowledged = m_ordersToken == m_token && m_listing ? acknowledgement(m_listing->ended, m_orders.acknowledged) : 0;
        request.wait = wait;
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(m_grantUntil - runtime::Clock::now());
        // After a call without an answer, the next one may meet another life with a clock of its own.
        if (const auto executorNow = m_clock.now(); executorNow && m_isExecutorReached && remaining.count() > 0) {
            request.until = *executorNow + remaining;
        }
        const std::uint64_t sequence = ++m_holdsSent;
        const auto sentAt = runtime::Clock::now();
        const auto listing = co_await m_port.hold(request, sentAt + HoldTimeout + wait);
        if (!listing.ok()) {
            m_holdFailures.add();
            judgeLastGoodbye(incarnation, sentAt, listing.status());
            // A call that began before another one was answered says nothing about the executor as it is now.
            const bool isNews = m_executorAnsweredAt < sentAt && isCurrentIncarnation(incarnation);
            if (isNews && std::exchange(m_isExecutorReached, false)) {
                log::write(log::Severity::Warning, "executor not reached", {{"reason", std::string(listing.status().message())}});
                markChanged();
            }
            co_return false;
        }
        if (!isCurrentIncarnation(incarnation)) {
            co_return false;
        }
        if (listing->born != 0 && listing->born != incarnation.born) {
            handleUnannouncedRestart(*listing);
            co_return false;
        }
        if (m_isIncarnationGone) {
            // Answers on different connections overtake each other: this one is older than that of the next life.
            co_return false;
        }
        judgeLastGoodbye(incarnation, sentAt, absl::OkStatus());
        m_executorAnsweredAt = runtime::Clock::now();
        if (!std::exchange(m_isExecutorReached, true)) {
            log::write(log::Severity::Info, "executor reached", {{"instance", incarnation.instance}});
            markChanged();
            m_ordersChanged.notify();
        }
        applyListing(*listing, request.token, sequence);
        co_return true;
    }

    /** Lets the answer to a call for the runs of the incarnation, which was sent after a goodbye under its id, confirm or reject the goodbye. */
    void judgeLastGoodbye(const HostIncarnation &incarnation, runtime::Instant sentAt, const absl::Status &answer)
    {
        if (!isCurrentIncarnation(incarnation) || !m_report->isLeaving || sentAt < std::max(m_goodbyeAt, m_executorAnsweredAt)) {
            return;
        }
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(runtime::Clock::now() - m_goodbyeAt);
        const auto verdict = judgeGoodbye(age, answer, m_report->hasLeft);
        if (verdict == GoodbyeVerdict::Open) {
            return;
        }
        const bool isConfirmed = verdict == GoodbyeVerdict::Confirmed;
        log::write(isConfirmed ? log::Severity::Info : log::Severity::Warning,
                   isConfirmed ? "executor left" : "goodbye not confirmed",
                   {{"instance", incarnation.instance},
                    {"born", std::to_string(incarnation.born)},
                    {"runs", std::to_string(m_possibleRuns.size())},
                    {"goodbye_age_ms", std::to_string(age.count())},
                    {"reason", std::string(answer.message())}});
        m_isGoodbyeRejected = !isConfirmed;
        m_report->isLeaving = isConfirmed;
        m_report->hasLeft = isConfirmed;
        markChanged();
    }

    /** The known incarnation of the executor is gone. If it gave no notice, keeps what it may have been running: one of these runs may be the cause. */
    void handleIncarnationEnd()
    {
        const std::size_t runs = m_possibleRuns.size();
        const bool hasGivenNotice = m_report->isDraining || m_report->isLeaving || m_report->hasLeft;
        if (hasGivenNotice || !m_possibleRuns.recordCrash(m_report->incarnation)) {
            return;
        }
        m_crashes.add();
        log::write(log::Severity::Warning, "executor crashed", {{"instance", m_report->incarnation.instance}, {"runs", std::to_string(runs)}});
        markChanged();
    }

    /** The executor has restarted without having announced it yet: discards what is known of the earlier incarnation. */
    void handleUnannouncedRestart(const Listing &listing)
    {
        handleIncarnationEnd();
        m_isIncarnationGone = true;
        if (m_listing) {
            log::write(log::Severity::Info,
                       "executor restarted unannounced",
                       {{"instance", m_report->incarnation.instance}, {"born", std::to_string(listing.born)}});
        }
        if (std::exchange(m_isExecutorReached, false)) {
            markChanged();
        }
        m_listing.reset();
        m_listToken = {};
        m_clock.forget();
    }

    /** Takes a listing, unless that of a later call has arrived already; only its clock is used then. */
    void applyListing(const Listing &listing, base::FencingToken token, std::uint64_t sequence)
    {
        const bool wasClockKnown = m_clock.now().has_value();
        m_clock.set(listing.clock);
        if (sequence < m_listingSequence) {
            return;
        }
        m_listingSequence = sequence;
        m_listingChanged.notify();
        const bool isChanged = !m_listing || m_listToken != token || haveRunsChanged(*m_listing, listing);
        m_listing = listing;
        m_unlisted.clear();
        m_possibleRuns.applyListing(listing, runtime::Clock::now());
        m_listToken = token;
        if (isChanged) {
            markChanged();
            m_ordersChanged.notify();
        }
        if (!wasClockKnown) {
            m_ordersChanged.notify();
        }
        for (const auto &order : m_orders.runs) {
            startIfNeeded(order.run);
        }
    }

    /** Whether runs have started or ended. Changes of progress are reported with the held calls only. */
    static bool haveRunsChanged(const Listing &a, const Listing &b)
    {
        const auto isSameRun = [](const Running &x, const Running &y) {
            return x.run == y.run;
        };
        return a.ended.size() != b.ended.size() || (!a.ended.empty() && a.ended.back().number != b.ended.back().number)
            || !std::equal(a.running.begin(), a.running.end(), b.running.begin(), b.running.end(), isSameRun);
    }

    wire::Address nextEntry()
    {
        if (m_entries.empty()) {
            return {};
        }
        m_nextEntry = (m_nextEntry + 1) % m_entries.size();
        return m_entries[m_nextEntry];
    }

    asio::awaitable<void> lookUpLeader()
    {
        const auto found = co_await m_findLeader();
        if (found.port != 0) {
            m_leader = found;
        }
    }

    /** Logs the first failure of an order and then one in FailuresPerLogLine: an order is retried up to twenty times a second. */
    void logFailure(const char *event, const RunId &run, const std::string &reason, unsigned failures) const
    {
        if (failures % FailuresPerLogLine == 1) {
            logRun(event, run, reason + " (try " + std::to_string(failures) + ")");
        }
    }

    void logRun(const char *event, const RunId &run, const std::string &reason) const
    {
        log::write(log::Severity::Info,
                   event,
                   {{"job", run.task.job.value()},
                    {"task", run.task.text()},
                    {"attempt", std::to_string(run.attempt.value())},
                    {"token", std::to_string(m_token.value())},
                    {"reason", reason}});
    }

    asio::any_io_executor m_executor;
    const Settings &m_settings;
    Executor &m_port;
    rpc::ChannelPool &m_channels;
    FindLeader m_findLeader;
    std::vector<wire::Address> m_entries;
    /** Version of m_entries, as the entry that sent the list gave it; 0 for the list from the settings. */
    std::uint64_t m_entriesVersion = 0;
    std::size_t m_nextEntry = 0;
    wire::Address m_leader;
    /** Leader according to another entry. */
    wire::Address m_suggestedLeader;
    bool m_isLeaderReached = false;
    /** Whether a call has failed, so that the first failure is logged even if no leader was reached before. */
    bool m_hasFailed = false;
    /** The present incarnation answered the last call for its runs. */
    bool m_isExecutorReached = false;
    /** Another life under the same id has answered a call for its runs, and hasn't announced itself yet. */
    bool m_isIncarnationGone = false;
    /** When it last answered one. */
    runtime::Instant m_executorAnsweredAt{};
    /** The time of the process's start, or higher if the leader knows an earlier process with a later time. */
    std::uint64_t m_agentIncarnation = 0;
    std::uint64_t m_sequence = 0;

    std::optional<HostReport> m_report;
    /** When the goodbye came for which the report says that the executor is leaving. */
    runtime::Instant m_goodbyeAt{};
    /** The present incarnation lived on after a goodbye. */
    bool m_isGoodbyeRejected = false;
    /** Highest fencing token received; replies with lower ones are ignored. */
    base::FencingToken m_token;
    /** The executor's lease may be renewed up to this time. */
    runtime::Instant m_grantUntil{};
    base::FencingToken m_ordersToken;
    Orders m_orders;
    /** When the call was sent to which the leader last replied with its newest orders, or that there are no newer ones. */
    runtime::Instant m_ordersConfirmedAt{};
    /** Ordered runs with their payloads. */
    std::map<RunId, RunOrder> m_payloads;

    std::optional<Listing> m_listing;
    /** Fencing token of the call that returned the listing. */
    base::FencingToken m_listToken;
    std::uint64_t m_holdsSent = 0;
    std::uint64_t m_listingSequence = 0;
    /** A call for a listing is under way that shows whether stopped runs have never started. */
    bool m_isConfirming = false;
    ExecutorClock m_clock;

    std::set<RunId> m_starting;
    /** Started but not listed yet: only a listing shows which incarnation of the executor has them. */
    std::set<RunId> m_unlisted;
    PossibleRuns m_possibleRuns;
    /** This process has known an earlier incarnation of the executor. */
    bool m_hasSeenEnd = false;
    std::set<RunId> m_stopping;
    /** Runs that have never started and never will. */
    std::set<RunId> m_barred;

    /** Incremented with each change to report; m_reportedVersion is the last one that has reached the leader. */
    std::uint64_t m_stateVersion = 0;
    std::uint64_t m_reportedVersion = 0;
    runtime::Signal m_stateChanged;
    runtime::Signal m_ordersChanged;
    runtime::Signal m_listingChanged;
    /** The leader's lease may have lapsed. */
    bool m_isLeaderDoubtful = false;
    runtime::Signal m_leaderDoubted;
    metrics::Counter &m_starts;
    metrics::Counter &m_holdFailures;
    metrics::Counter &m_crashes;
    metrics::Counter &m_goodbyes;
    metrics::Histogram &m_startSeconds;
};

} // namespace plantainfork::batch
