/**
 * The agent beside a host's executor: the only one that starts and stops runs there. It tells the scheduler in office what runs and
 * has ended, carries out the orders that come back, and prolongs the executor's lease no further than the scheduler's last grant.
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

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "batch/executor_port.h"
#include "batch/messages.h"
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
    /** Finds the scheduler when no known entry answers; port 0: not found. */
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
        , m_changed(executor)
        , m_ordered(executor)
        , m_doubted(executor)
        , m_starts(metrics.counter("plantainfork_batch_starts_total"))
        , m_holdFailures(metrics.counter("plantainfork_batch_hold_failures_total"))
        , m_startSeconds(metrics.histogram("plantainfork_batch_start_seconds"))
    {
        const auto wall = std::chrono::system_clock::now().time_since_epoch();
        m_agentIncarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
    }

    void start()
    {
        const auto self = this->shared_from_this();
        asio::co_spawn(m_executor, pollLeader(self), asio::detached);
        asio::co_spawn(m_executor, reportChanges(self), asio::detached);
        asio::co_spawn(m_executor, holdExecutor(self), asio::detached);
        asio::co_spawn(m_executor, seekSuccessor(self), asio::detached);
    }

    /** What the executor says of itself. Older reports of the same incarnation must be sorted out by the caller. */
    void takeReport(HostReport report)
    {
        const bool isOther = !m_report || m_report->incarnation != report.incarnation;
        const bool isNews = isOther || m_report->isDraining != report.isDraining || m_report->capacity != report.capacity || m_report->labels != report.labels;
        m_report = std::move(report);
        if (isOther) {
            log::write(log::Severity::Info,
                       "executor known",
                       {{"instance", m_report->incarnation.instance}, {"born", std::to_string(m_report->incarnation.born)}});
            m_listing.reset();
            m_listToken = {};
            m_clockAt = {};
            m_starting.clear();
            m_unlisted.clear();
            m_barred.clear();
            m_stopping.clear();
            m_orders = {};
            m_ordersToken = {};
        }
        if (isNews) {
            m_changed.notify();
            m_ordered.notify();
        }
    }

    /** The executor has left. */
    void takeLeave(const std::string &instance)
    {
        if (m_report && m_report->incarnation.instance == instance) {
            log::write(log::Severity::Info, "executor left", {{"instance", instance}});
            m_report->hasLeft = true;
            noteChange();
        }
    }

    [[nodiscard]] const std::optional<HostReport> &report() const
    {
        return m_report;
    }

private:
    /** A held call ends after this at the scheduler; on top comes the way. */
    static constexpr std::chrono::milliseconds CallWait{700};
    static constexpr std::chrono::milliseconds CallTimeout{1200};
    /** Silence of the scheduler after which others are asked for who is in office. */
    static constexpr std::chrono::milliseconds RetryDelay{100};
    /** How long the executor may wait for an end before it answers; its lease is prolonged each time. */
    static constexpr std::chrono::milliseconds HoldWait{1000};
    static constexpr std::chrono::milliseconds HoldTimeout{1900};
    static constexpr std::chrono::milliseconds HoldRetryDelay{150};
    /** One try to start or stop; usual answers take a millisecond. */
    static constexpr std::chrono::milliseconds OrderTimeout{500};
    static constexpr std::chrono::milliseconds OrderRetryDelay{50};
    /** Life of a start on the executor's clock: an order that is carried out later than this is refused there. */
    static constexpr std::chrono::milliseconds StartLife{1500};
    static constexpr unsigned FailuresPerLine = 20;
    /** Reports of changes that come closer together travel in one call. */
    static constexpr std::chrono::milliseconds ReportGap{3};
    /** Failed calls for each look at the store, which all agents share. */
    static constexpr unsigned FailuresBetweenSearches = 3;

    asio::awaitable<void> pollLeader([[maybe_unused]] std::shared_ptr<Agent> self)
    {
        unsigned failures = 0;
        while (true) {
            const bool isReached = co_await callLeader(CallWait);
            if (isReached) {
                failures = 0;
                continue;
            }
            // The store knows who is in office; entries that are asked in turn may be gone.
            if (failures++ % FailuresBetweenSearches == 0) {
                co_await search();
            } else {
                co_await runtime::sleepFor(RetryDelay);
            }
        }
    }

    /** Tells the scheduler at once what has changed, beside the held call. */
    asio::awaitable<void> reportChanges([[maybe_unused]] std::shared_ptr<Agent> self)
    {
        while (true) {
            if (m_toldVersion == m_version) {
                co_await m_changed.waitUntil(runtime::Clock::now() + std::chrono::hours(1));
                co_await runtime::sleepFor(ReportGap);
            }
            const auto telling = m_version;
            const std::chrono::milliseconds noWait(0);
            const bool isReached = co_await callLeader(noWait);
            if (isReached) {
                m_toldVersion = telling;
            } else {
                co_await runtime::sleepFor(RetryDelay);
            }
        }
    }

    void noteChange()
    {
        ++m_version;
        m_changed.notify();
    }

    SyncCall describe(std::chrono::milliseconds wait)
    {
        SyncCall call;
        call.host = HostId(m_settings.id.value());
        call.agentIncarnation = m_agentIncarnation;
        call.sequence = ++m_sequence;
        call.hasReport = m_report.has_value();
        if (m_report) {
            call.report = *m_report;
        }
        call.ordersToken = m_ordersToken;
        call.ordersVersion = m_orders.version;
        if (m_listing) {
            call.listToken = m_listToken;
            call.running = m_listing->running;
            call.ended = m_listing->ended;
        }
        call.barred.assign(m_barred.begin(), m_barred.end());
        call.starting.assign(m_starting.begin(), m_starting.end());
        call.starting.insert(call.starting.end(), m_unlisted.begin(), m_unlisted.end());
        call.wait = wait;
        return call;
    }

    asio::awaitable<bool> callLeader(std::chrono::milliseconds wait)
    {
        const auto target = m_leader.port != 0 ? m_leader : nextEntry();
        const bool isReached = co_await callEntry(target, wait);
        co_return isReached;
    }

    /** Returns whether the entry is in office as far as it knows. */
    asio::awaitable<bool> callEntry(wire::Address target, std::chrono::milliseconds wait)
    {
        if (target.port == 0) {
            co_return false;
        }
        const auto sent = runtime::Clock::now();
        const auto channel = m_channels.to(target);
        const SyncCall call = describe(wait);
        const auto result = co_await rpc::call(*channel, call, sent + CallTimeout);
        if (!result.reply.ok()) {
            noteUnreached(target, result.reply.status());
            co_return false;
        }
        takeReply(*result.reply, target, sent);
        if (!result.reply->isLeader && target != m_leader) {
            co_await runtime::sleepFor(RetryDelay);
        }
        co_return result.reply->isLeader;
    }

    void noteUnreached(const wire::Address &target, const absl::Status &status)
    {
        if (target != m_leader && m_leader.port != 0) {
            return;
        }
        if (m_isInTouch || !m_hasTried) {
            log::write(log::Severity::Warning, "scheduler not reached", {{"address", target.host}, {"reason", std::string(status.message())}});
        }
        m_hasTried = true;
        m_isInTouch = false;
        m_leader = {};
    }

    /** While the scheduler can't be sure of its office, asks the other entries who holds it. */
    asio::awaitable<void> seekSuccessor([[maybe_unused]] std::shared_ptr<Agent> self)
    {
        while (true) {
            co_await m_doubted.waitUntil(runtime::Clock::now() + std::chrono::hours(1));
            while (m_isDoubtful && m_entries.size() > 1) {
                auto other = std::exchange(m_hint, wire::Address());
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

    void takeReply(const SyncReply &reply, const wire::Address &from, runtime::Instant sent)
    {
        if (!reply.entries.empty()) {
            m_entries = reply.entries;
        }
        const bool isFromLeader = from == m_leader || m_leader.port == 0;
        if (!reply.isLeader) {
            const bool isHint = reply.leader.port != 0 && reply.leader != from;
            if (isFromLeader) {
                m_leader = isHint ? reply.leader : wire::Address();
            } else if (isHint) {
                // Not yet the leader here: the one in doubt keeps answering until the other has shown its token.
                m_hint = reply.leader;
            }
            return;
        }
        if (reply.token < m_token) {
            log::write(log::Severity::Info,
                       "older scheduler ignored",
                       {{"token", std::to_string(reply.token.value())}, {"known", std::to_string(m_token.value())}});
            m_leader = isFromLeader ? wire::Address() : m_leader;
            return;
        }
        if (!m_isInTouch || reply.token != m_token) {
            log::write(log::Severity::Info, "scheduler reached", {{"address", from.host}, {"token", std::to_string(reply.token.value())}});
        }
        noteDoubt(reply.isDoubtful);
        m_isInTouch = true;
        m_leader = from;
        m_authorityUntil = std::max(m_authorityUntil, sent + reply.grant);
        if (reply.token != m_token) {
            m_token = reply.token;
            m_ordered.notify();
        }
        takeOrders(reply);
    }

    void noteDoubt(bool isDoubtful)
    {
        if (isDoubtful != m_isDoubtful) {
            log::write(log::Severity::Info, "scheduler's lease", {{"is_doubtful", isDoubtful ? "true" : "false"}});
        }
        m_isDoubtful = isDoubtful;
        if (isDoubtful) {
            m_doubted.notify();
        }
    }

    void takeOrders(const SyncReply &reply)
    {
        const bool isNewer = reply.token != m_ordersToken || reply.orders.version > m_orders.version;
        if (!isNewer || reply.orders.version == 0 || !m_report || reply.orders.incarnation != m_report->incarnation) {
            return;
        }
        m_ordersToken = reply.token;
        keepPayloads(reply.orders);
        m_orders = reply.orders;
        std::erase_if(m_barred, [&](const RunId &run) {
            return !isOrdered(run) && !isToStop(run);
        });
        for (const auto &order : m_orders.runs) {
            considerStart(order.run);
        }
        for (const auto &run : m_orders.stops) {
            considerStop(run);
        }
        m_ordered.notify();
    }

    /** Payloads come once; those of runs still ordered are kept. */
    void keepPayloads(const Orders &next)
    {
        std::map<RunId, RunOrder> kept;
        for (const auto &order : next.runs) {
            const auto known = m_payloads.find(order.run);
            const bool isFull = !order.payload.empty() || known == m_payloads.end();
            kept[order.run] = isFull ? order : known->second;
        }
        m_payloads = std::move(kept);
    }

    [[nodiscard]] bool isOrdered(const RunId &run) const
    {
        return std::any_of(m_orders.runs.begin(), m_orders.runs.end(), [&](const RunOrder &order) {
            return order.run == run;
        });
    }
    [[nodiscard]] bool isToStop(const RunId &run) const
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

    void considerStart(const RunId &run)
    {
        if (!isListed(run) && !m_unlisted.contains(run) && !m_barred.contains(run) && m_starting.insert(run).second) {
            asio::co_spawn(m_executor, startRun(this->shared_from_this(), run, m_report->incarnation), asio::detached);
        }
    }
    void considerStop(const RunId &run)
    {
        if (!hasEnded(run) && !m_barred.contains(run) && m_stopping.insert(run).second) {
            asio::co_spawn(m_executor, stopRun(this->shared_from_this(), run, m_report->incarnation), asio::detached);
        }
    }
    [[nodiscard]] bool isSame(const HostIncarnation &incarnation) const
    {
        return m_report && m_report->incarnation == incarnation;
    }

    /** The executor's clock now, never ahead of its true reading. */
    [[nodiscard]] ExecutorTime executorNow() const
    {
        return m_clock + std::chrono::duration_cast<std::chrono::milliseconds>(runtime::Clock::now() - m_clockAt);
    }

    asio::awaitable<void> startRun([[maybe_unused]] std::shared_ptr<Agent> self, RunId run, HostIncarnation incarnation)
    {
        const auto begin = runtime::Clock::now();
        unsigned failures = 0;
        while (isSame(incarnation) && isOrdered(run) && !isListed(run)) {
            if (m_listToken != m_token || runtime::Clock::now() >= m_authorityUntil) {
                co_await m_ordered.waitUntil(runtime::Clock::now() + HoldRetryDelay);
                continue;
            }
            const auto found = m_payloads.find(run);
            if (found == m_payloads.end()) {
                break;
            }
            const RunOrder order = found->second;
            const auto result = co_await m_port.start(order, incarnation, m_token, executorNow() + StartLife, runtime::Clock::now() + OrderTimeout);
            if (result.outcome == StartOutcome::Started) {
                m_starts.add();
                m_startSeconds.record(runtime::Clock::now() - begin);
                note("run started", run, result.reason);
                if (isSame(incarnation)) {
                    m_unlisted.insert(run);
                }
                break;
            }
            if (result.outcome == StartOutcome::Refused) {
                note("start refused", run, result.reason);
                co_await bar(run, incarnation);
                break;
            }
            noteFailure("start not done", run, result.reason, ++failures);
            co_await runtime::sleepFor(OrderRetryDelay);
        }
        m_starting.erase(run);
        noteChange();
    }

    asio::awaitable<void> stopRun([[maybe_unused]] std::shared_ptr<Agent> self, RunId run, HostIncarnation incarnation)
    {
        co_await bar(run, incarnation);
        m_stopping.erase(run);
        noteChange();
    }

    /** Ends a run, or makes sure that it never begins. */
    asio::awaitable<void> bar(const RunId &run, const HostIncarnation &incarnation)
    {
        unsigned failures = 0;
        while (isSame(incarnation) && (isOrdered(run) || isToStop(run))) {
            const auto stopped = co_await m_port.stop(run, incarnation, m_token, runtime::Clock::now() + OrderTimeout);
            if (stopped.ok()) {
                co_await settleBar(run, incarnation);
                co_return;
            }
            noteFailure("stop not done", run, std::string(stopped.message()), ++failures);
            co_await runtime::sleepFor(OrderRetryDelay);
        }
    }

    /** After a stop, a run that a fresh listing doesn't show has never begun. */
    asio::awaitable<void> settleBar(const RunId &run, const HostIncarnation &incarnation)
    {
        while (isSame(incarnation)) {
            const std::chrono::milliseconds noWait(0);
            const bool isListedAnew = co_await hold(noWait);
            if (isListedAnew) {
                if (!isListed(run)) {
                    m_barred.insert(run);
                    note("run barred", run, "");
                }
                co_return;
            }
            co_await runtime::sleepFor(HoldRetryDelay);
        }
    }

    /** Prolongs the executor's lease and lists its runs, over and over. */
    asio::awaitable<void> holdExecutor([[maybe_unused]] std::shared_ptr<Agent> self)
    {
        while (true) {
            if (!m_report || m_token == base::FencingToken()) {
                co_await m_ordered.waitUntil(runtime::Clock::now() + CallWait);
                continue;
            }
            const std::chrono::milliseconds wait = m_listToken == m_token ? HoldWait : std::chrono::milliseconds(0);
            const auto begin = runtime::Clock::now();
            const bool isHeld = co_await hold(wait);
            // The executor answers at once while it has ends that aren't acknowledged yet.
            const bool isEarly = runtime::Clock::now() - begin < HoldRetryDelay && m_listing && !m_listing->ended.empty();
            if (!isHeld || isEarly) {
                co_await m_ordered.waitUntil(runtime::Clock::now() + HoldRetryDelay);
            }
        }
    }

    asio::awaitable<bool> hold(std::chrono::milliseconds wait)
    {
        const auto incarnation = m_report->incarnation;
        HoldRequest request;
        request.incarnation = incarnation;
        request.token = m_token;
        request.acknowledged = m_ordersToken == m_token && m_listing ? acknowledgement(m_listing->ended, m_orders.acknowledged) : 0;
        request.wait = wait;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_authorityUntil - runtime::Clock::now());
        if (m_clockAt != runtime::Instant() && left.count() > 0) {
            request.until = executorNow() + left;
        }
        const std::uint64_t sequence = ++m_holdsSent;
        const auto listing = co_await m_port.hold(request, runtime::Clock::now() + HoldTimeout + wait);
        if (!listing.ok()) {
            m_holdFailures.add();
            if (m_isExecutorReached) {
                log::write(log::Severity::Warning, "executor not reached", {{"reason", std::string(listing.status().message())}});
            }
            m_isExecutorReached = false;
            co_return false;
        }
        if (!isSame(incarnation)) {
            co_return false;
        }
        if (listing->born != 0 && listing->born != incarnation.born) {
            noteOtherLife(*listing);
            co_return false;
        }
        if (!m_isExecutorReached) {
            log::write(log::Severity::Info, "executor reached", {{"instance", incarnation.instance}});
        }
        m_isExecutorReached = true;
        takeListing(*listing, request.token, sequence);
        co_return true;
    }

    /** The executor has started anew, which it hasn't announced yet: nothing known of its earlier life may steer this one. */
    void noteOtherLife(const Listing &listing)
    {
        if (m_listing) {
            log::write(log::Severity::Info,
                       "executor restarted unannounced",
                       {{"instance", m_report->incarnation.instance}, {"born", std::to_string(listing.born)}});
        }
        m_listing.reset();
        m_listToken = {};
    }

    /** Answers may overtake each other; the one whose call was sent last counts. */
    void takeListing(const Listing &listing, base::FencingToken token, std::uint64_t sequence)
    {
        const bool isFirstClock = m_clockAt == runtime::Instant() || listing.clock < m_clock;
        m_clock = listing.clock;
        m_clockAt = runtime::Clock::now();
        if (sequence < m_listingSequence) {
            return;
        }
        m_listingSequence = sequence;
        const bool isNews = !m_listing || m_listToken != token || differs(*m_listing, listing);
        m_listing = listing;
        m_unlisted.clear();
        m_listToken = token;
        if (isNews) {
            noteChange();
            m_ordered.notify();
        }
        if (isFirstClock) {
            m_ordered.notify();
        }
        for (const auto &order : m_orders.runs) {
            considerStart(order.run);
        }
    }

    /** Progress alone travels with the held calls. */
    static bool differs(const Listing &a, const Listing &b)
    {
        const auto sameRun = [](const Running &x, const Running &y) {
            return x.run == y.run;
        };
        return a.ended.size() != b.ended.size() || (!a.ended.empty() && a.ended.back().number != b.ended.back().number)
            || !std::equal(a.running.begin(), a.running.end(), b.running.begin(), b.running.end(), sameRun);
    }

    wire::Address nextEntry()
    {
        if (m_entries.empty()) {
            return {};
        }
        m_nextEntry = (m_nextEntry + 1) % m_entries.size();
        return m_entries[m_nextEntry];
    }

    asio::awaitable<void> search()
    {
        const auto found = co_await m_findLeader();
        if (found.port != 0) {
            m_leader = found;
        }
    }

    /** Tries of one order come up to twenty times a second; the first failure and then every so many are told, with their number. */
    void noteFailure(const char *event, const RunId &run, const std::string &reason, unsigned failures) const
    {
        if (failures % FailuresPerLine == 1) {
            note(event, run, reason + " (try " + std::to_string(failures) + ")");
        }
    }

    void note(const char *event, const RunId &run, const std::string &reason) const
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
    std::size_t m_nextEntry = 0;
    wire::Address m_leader;
    /** Whom another entry holds for the scheduler in office. */
    wire::Address m_hint;
    bool m_isInTouch = false;
    /** A first failure is worth a line, too. */
    bool m_hasTried = false;
    bool m_isExecutorReached = false;
    std::uint64_t m_agentIncarnation = 0;
    std::uint64_t m_sequence = 0;

    std::optional<HostReport> m_report;
    /** Highest token heard of; lower ones are ignored. */
    base::FencingToken m_token;
    /** Until when the last grant lets the executor run on. */
    runtime::Instant m_authorityUntil{};
    base::FencingToken m_ordersToken;
    Orders m_orders;
    /** Ordered runs with their payloads. */
    std::map<RunId, RunOrder> m_payloads;

    std::optional<Listing> m_listing;
    /** Token under which the listing was given. */
    base::FencingToken m_listToken;
    std::uint64_t m_holdsSent = 0;
    std::uint64_t m_listingSequence = 0;
    /** The executor's clock was at least m_clock at m_clockAt. */
    ExecutorTime m_clock{0};
    runtime::Instant m_clockAt{};

    std::set<RunId> m_starting;
    /** Started, and not listed yet: which life of the executor has them only its own listing tells. */
    std::set<RunId> m_unlisted;
    std::set<RunId> m_stopping;
    std::set<RunId> m_barred;

    /** Grows with each change worth telling; m_toldVersion is the last one that the scheduler has heard. */
    std::uint64_t m_version = 0;
    std::uint64_t m_toldVersion = 0;
    runtime::Signal m_changed;
    runtime::Signal m_ordered;
    /** The scheduler in office can't be sure that it still is. */
    bool m_isDoubtful = false;
    runtime::Signal m_doubted;
    metrics::Counter &m_starts;
    metrics::Counter &m_holdFailures;
    metrics::Histogram &m_startSeconds;
};

} // namespace plantainfork::batch
