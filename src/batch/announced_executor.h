/**
 * The executor beside an agent, as its announcements tell. An announcement of another incarnation than the known one counts only once the
 * executor itself has confirmed it: anyone may send one, and taking it for the executor's next life gives up all that runs there.
 */
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "batch/announcement.h"
#include "batch/loop.h"
#include "log/log.h"
#include "metrics/registry.h"
#include "runtime/timer.h"

namespace plantainfork::batch
{

namespace asio = boost::asio;

template<ExecutorPort Executor>
class AnnouncedExecutor : public std::enable_shared_from_this<AnnouncedExecutor<Executor>>
{
public:
    /** Receives each report of the executor, in order. */
    using ReportTaken = std::function<void(HostReport)>;
    /** The fencing token under which the agent calls the executor; FencingToken() if it knows none yet. */
    using CurrentToken = std::function<base::FencingToken()>;

    AnnouncedExecutor(asio::any_io_executor executor, Executor &port, metrics::Registry &metrics, CurrentToken currentToken, ReportTaken reportTaken)
        : m_executor(std::move(executor))
        , m_port(port)
        , m_currentToken(std::move(currentToken))
        , m_reportTaken(std::move(reportTaken))
        , m_foreign(metrics.counter("plantainfork_batch_foreign_announcements_total"))
    {
    }

    /** Handles an announcement. Unless it is Foreign, its sender may take it for acknowledged. */
    AnnouncementVerdict handle(Announcement announcement)
    {
        const auto verdict = judgeAnnouncement(m_known, announcement);
        switch (verdict) {
        case AnnouncementVerdict::Update:
            take(std::move(announcement));
            break;
        case AnnouncementVerdict::Outdated:
            break;
        case AnnouncementVerdict::Unconfirmed:
            addCandidate(std::move(announcement));
            break;
        case AnnouncementVerdict::Foreign:
            m_foreign.add();
            logAnnouncement(log::Severity::Warning, "announcement of another writer", announcement.report, "address, service or data centre differs");
            break;
        }
        return verdict;
    }

private:
    /** A listing of an executor on the same host takes a millisecond; a connection that has gone silent shows by this. */
    static constexpr std::chrono::milliseconds ConfirmTimeout{500};
    static constexpr std::chrono::milliseconds ConfirmRetryDelay{100};
    /** How long an unconfirmed incarnation is asked for after its last announcement: two or three of the usual intervals between them. */
    static constexpr std::chrono::milliseconds CandidateLife{4000};

    void take(Announcement announcement)
    {
        HostReport report = announcement.report;
        m_known = std::move(announcement);
        m_reportTaken(std::move(report));
    }

    void addCandidate(Announcement announcement)
    {
        const bool isSame = m_candidate && m_candidate->report.incarnation == announcement.report.incarnation;
        if (isSame && announcement.sequence <= m_candidate->sequence) {
            return;
        }
        m_candidate = std::move(announcement);
        m_candidateHeardAt = runtime::Clock::now();
        if (!std::exchange(m_isConfirming, true)) {
            const auto self = this->shared_from_this();
            spawnLoop(m_executor, "confirm announced executor", [self] {
                return self->confirmCandidates(self);
            });
        }
    }

    asio::awaitable<void> confirmCandidates([[maybe_unused]] std::shared_ptr<AnnouncedExecutor> self)
    {
        while (m_candidate) {
            const Announcement candidate = *m_candidate;
            const HostIncarnation &incarnation = candidate.report.incarnation;
            const bool isExpired = runtime::Clock::now() - m_candidateHeardAt > CandidateLife;
            const bool isFenced = m_fencedToken && m_currentToken() <= *m_fencedToken;
            if (!isExpired && isFenced) {
                co_await runtime::sleepFor(ConfirmRetryDelay);
                continue;
            }
            HoldRequest request;
            request.incarnation = incarnation;
            request.token = m_currentToken();
            auto confirmation = Confirmation::Unknown;
            if (!isExpired) {
                const auto answer = co_await m_port.hold(request, runtime::Clock::now() + ConfirmTimeout);
                confirmation = judgeConfirmation(incarnation, answer);
            }
            m_fencedToken = confirmation == Confirmation::Fenced ? std::optional(request.token) : std::nullopt;
            const bool isCurrent = m_candidate->report.incarnation == incarnation;
            if (confirmation == Confirmation::Confirmed) {
                take(isCurrent ? *std::exchange(m_candidate, std::nullopt) : candidate);
            } else if (isCurrent && (confirmation == Confirmation::Denied || isExpired)) {
                m_foreign.add();
                logAnnouncement(log::Severity::Warning, "announced incarnation not confirmed", m_candidate->report, confirmationText(confirmation));
                m_candidate.reset();
            } else {
                co_await runtime::sleepFor(ConfirmRetryDelay);
            }
        }
        m_isConfirming = false;
    }

    static void logAnnouncement(log::Severity severity, const char *event, const HostReport &report, std::string_view reason)
    {
        log::write(severity,
                   event,
                   {{"instance", report.incarnation.instance},
                    {"born", std::to_string(report.incarnation.born)},
                    {"service", report.service.value()},
                    {"reason", std::string(reason)}});
    }

    asio::any_io_executor m_executor;
    Executor &m_port;
    CurrentToken m_currentToken;
    ReportTaken m_reportTaken;
    /** The last announcement that was taken; its incarnation has been confirmed. */
    std::optional<Announcement> m_known;
    /** The newest announcement of an incarnation that isn't confirmed. */
    std::optional<Announcement> m_candidate;
    runtime::Instant m_candidateHeardAt{};
    bool m_isConfirming = false;
    /** The token that the executor refused last as too low; it isn't asked again under the same one. */
    std::optional<base::FencingToken> m_fencedToken;
    metrics::Counter &m_foreign;
};

} // namespace plantainfork::batch
