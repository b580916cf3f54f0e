/**
 * Handles the callers' requests at an entry: finds the queue by host and path, checks the key, accepts a job by one conditional write, and
 * reports its state. The write requires that the policy that allowed it is still in force, so an entry with an old policy can't accept a
 * job.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "batch/admission_view.h"
#include "batch/job_shape.h"
#include "batch/messages.h"
#include "batch/model.h"
#include "batch/open_calls.h"
#include "batch/policy_holder.h"
#include "batch/recent_submissions.h"
#include "batch/records.h"
#include "log/log.h"
#include "metrics/registry.h"
#include "store/key_value.h"
#include "wire/codec.h"

namespace plantainfork::batch
{

namespace asio = boost::asio;

/** Addressing, key, deadline and name of a request. */
struct Caller {
    std::string host;
    std::string path;
    std::string key;
    /** Time at which the caller stops waiting. */
    runtime::Instant deadline;
    /** The caller's name of the request, for log lines; empty if it gave none. Repeats may have the same. */
    std::string requestId;
};

enum class AnswerKind {
    Accepted,
    State,
    Count,
    Cancelled,
    NoSuchJob,
    NoSuchQueue,
    UnknownKey,
    Invalid,
    /** The caller's workspace is closed to further jobs; the request had no effect. */
    WorkspaceClosed,
    /** The request certainly had no effect, and as far as this entry knows no earlier one for the same job either. */
    Refused,
    /** The request may have taken effect or may still do so; a repeat with the same id gives a definite answer. */
    Unclear,
};

struct Answer {
    AnswerKind kind = AnswerKind::Refused;
    JobStatus status = JobStatus::Queued;
    std::uint64_t count = 0;
    std::chrono::seconds retryAfter{1};
    std::string reason;
};

[[nodiscard]] std::string_view answerText(AnswerKind kind);

/** What came of asking the leader for the numbers of waiting jobs. */
struct PendingResult {
    std::optional<PendingReply> reply;
    /** Address of the leader that was asked; empty if none is known. */
    std::string leader;
    /** Why there is no reply; empty if there is one. */
    std::string failure;
};

/** The part of a JobSpec that the caller gives; the rest comes from the queue. */
struct Submission {
    std::string payload;
    std::vector<Step> steps;
    std::uint32_t occurrences = 0;
    std::int64_t firstDueMs = 0;
    std::chrono::milliseconds period{0};
};

/** Describes what makes a submission invalid; empty if it is valid. */
[[nodiscard]] std::string findSubmissionError(const Submission &submission);

/** The queue of the host with the longest matching path prefix; null if there is none. */
[[nodiscard]] const Queue *matchQueue(const Policy &policy, const std::string &host, const std::string &path);

template<store::ChangeFeed Store>
class JobRequestHandler
{
public:
    using AskPending = std::function<asio::awaitable<PendingResult>(runtime::Instant deadline)>;

    JobRequestHandler(Store &store, PolicyHolder &policy, metrics::Registry &metrics, AskPending askPending)
        : m_store(store)
        , m_policy(policy)
        , m_metrics(metrics)
        , m_askPending(std::move(askPending))
        , m_openCalls(metrics)
    {
    }

    /** Limits the time of all requests, those under way included, as if each of their callers stopped waiting then. */
    void answerBy(runtime::Instant limit)
    {
        m_answerBy = limit;
    }

    asio::awaitable<Answer> submit(Caller caller, base::JobId id, Submission submission)
    {
        std::string reason = "too little time left";
        // This request itself may have recorded the job.
        bool hasWritten = false;
        const auto settleUntil = std::min<runtime::Instant>(runtime::Clock::now() + SettleTime, deadlineOf(caller) - ReplyMargin);
        while (hasTime(caller)) {
            if (m_recent.mayBeRecorded(id, runtime::Clock::now())) {
                co_await waitForConfirmation(settleUntil);
            }
            if (auto refusal = checkCaller(caller, id.value())) {
                if (!m_recent.mayBeRecorded(id, runtime::Clock::now())) {
                    co_return *refusal;
                }
                reason = refusal->reason;
                std::optional<bool> isRecorded;
                if (refusal->kind != AnswerKind::Refused) {
                    isRecorded = co_await findRecord(caller, id);
                }
                if (isRecorded && !*isRecorded) {
                    co_return *refusal;
                }
                if (isRecorded && hasWritten) {
                    // The write was allowed by the policy that was in force then.
                    logRequest("job accepted", id, caller, 0, "recorded before: " + reason);
                    co_return Answer{AnswerKind::Accepted, {}, 0, {}, ""};
                }
                break;
            }
            const auto policy = m_policy.policy();
            const Queue &queue = *matchQueue(*policy, caller.host, caller.path);
            if (std::string error = findSubmissionError(submission); !error.empty()) {
                co_return Answer{AnswerKind::Invalid, {}, 0, {}, error};
            }
            const base::WorkspaceId workspace = workspaceOf(*policy, caller);
            std::string spec = encodeSpec(caller, id, queue, *policy, submission);
            if (spec.size() > JobLimits::SpecBytes) {
                co_return Answer{AnswerKind::Invalid, {}, 0, {}, "a job's record has at most " + std::to_string(JobLimits::SpecBytes) + " bytes"};
            }
            if (m_admission.isClosed(workspace)) {
                if (auto answer = co_await answerClosed(caller, id, workspace)) {
                    co_return *answer;
                }
                reason = "workspace closed";
                co_await runtime::sleepFor(RetryDelay);
                continue;
            }
            const store::Write guard = m_policy.guard();
            const store::Index admission = m_admission.index(workspace);
            m_recent.begin(id);
            std::vector<store::Write> conditions;
            conditions.push_back(guard);
            conditions.push_back(admissionCheck(workspace));
            const auto result = co_await writeIf(std::move(conditions), keys::job(id, keys::JobPart::Spec), std::move(spec), caller);
            reason = result.reason;
            const bool hasNoEffect = result.outcome == store::WriteOutcome::NotSent || result.outcome == store::WriteOutcome::Rejected;
            if (hasNoEffect) {
                m_recent.endUnsent(id);
            } else {
                hasWritten = true;
                // Also after a conflict: what it met may be the job, recorded by an earlier try, here or at another entry, or by this very
                // write, which a relayed store sends twice.
                m_recent.end(id, guard.expected, runtime::Clock::now());
            }
            if (result.outcome == store::WriteOutcome::Applied) {
                logRequest("job accepted", id, caller, policy->version, "written");
                co_return Answer{AnswerKind::Accepted, {}, 0, {}, ""};
            }
            const bool isPointless = result.outcome == store::WriteOutcome::Rejected;
            if (isPointless || (hasNoEffect && !m_recent.mayBeRecorded(id, runtime::Clock::now()))) {
                break;
            }
            if (result.outcome == store::WriteOutcome::Unknown || result.outcome == store::WriteOutcome::NotSent) {
                co_await runtime::sleepFor(RetryDelay);
            }
            if (result.outcome == store::WriteOutcome::Conflict) {
                const auto known = co_await m_store.readPrefix(keys::jobPrefix(id), readLimitsFor(caller));
                if (!known.ok()) {
                    reason = std::string(known.status().message());
                    co_await runtime::sleepFor(RetryDelay);
                    continue;
                }
                if (!known->entries.empty()) {
                    logRequest("job accepted", id, caller, policy->version, "known already");
                    co_return Answer{AnswerKind::Accepted, {}, 0, {}, ""};
                }
                // A condition failed, and revisions never come back: no earlier write with these conditions can be carried out any more.
                m_recent.ruleOut(id, guard.expected);
                const bool isAdmissionKnown = co_await readAdmission(caller, workspace);
                const bool hasAdmissionChanged = m_admission.index(workspace) != admission;
                if (isAdmissionKnown && !hasAdmissionChanged && guard.expected == m_policy.guard().expected) {
                    co_await m_policy.changed(std::min(storeDeadlineFor(caller), runtime::Clock::now() + PolicyWatchDelay));
                }
            }
        }
        const bool isUnclear = m_recent.mayBeRecorded(id, runtime::Clock::now());
        logRequest(isUnclear ? "job unclear" : "job refused", id, caller, 0, reason);
        co_return Answer{isUnclear ? AnswerKind::Unclear : AnswerKind::Refused, {}, 0, RetryAfter, reason};
    }

    asio::awaitable<Answer> status(Caller caller, base::JobId id)
    {
        if (auto refusal = checkCaller(caller, id.value())) {
            co_return *refusal;
        }
        while (true) {
            const auto found = co_await lookUp(id, caller);
            if (found.ok()) {
                if (auto refusal = checkCaller(caller, id.value())) {
                    co_return *refusal;
                }
                co_return *found;
            }
            if (!hasTime(caller)) {
                logRequest("state not read", id, caller, 0, std::string(found.status().message()));
                co_return Answer{AnswerKind::Refused, {}, 0, RetryAfter, std::string(found.status().message())};
            }
            co_await runtime::sleepFor(RetryDelay);
        }
    }

    asio::awaitable<Answer> cancel(Caller caller, base::JobId id)
    {
        std::string reason;
        bool mayBeApplied = false;
        while (hasTime(caller)) {
            if (auto refusal = checkCaller(caller, id.value())) {
                if (!mayBeApplied) {
                    co_return *refusal;
                }
                reason = refusal->reason;
                break;
            }
            // The write must require the policy that has just allowed it, not a newer one.
            const store::Write guard = m_policy.guard();
            const auto found = co_await lookUp(id, caller);
            if (!found.ok()) {
                reason = std::string(found.status().message());
                co_await runtime::sleepFor(RetryDelay);
                continue;
            }
            const Answer &current = *found;
            if (current.kind == AnswerKind::NoSuchJob) {
                co_return current;
            }
            if (isEnded(current.status)) {
                co_return Answer{AnswerKind::Cancelled, current.status, 0, {}, ""};
            }
            std::vector<store::Write> conditions;
            conditions.push_back(guard);
            const auto result = co_await writeIf(std::move(conditions), keys::job(id, keys::JobPart::Cancel), "", caller);
            if (result.outcome == store::WriteOutcome::Applied) {
                logRequest("job cancelled", id, caller, m_policy.policy()->version, "written");
                co_return Answer{AnswerKind::Cancelled, JobStatus::Cancelled, 0, {}, ""};
            }
            mayBeApplied = mayBeApplied || result.outcome != store::WriteOutcome::NotSent;
            reason = result.reason;
            co_await runtime::sleepFor(RetryDelay);
        }
        logRequest("cancel unclear", id, caller, 0, reason);
        co_return Answer{AnswerKind::Unclear, {}, 0, RetryAfter, reason};
    }

    asio::awaitable<Answer> pending(Caller caller)
    {
        if (auto refusal = checkCaller(caller, "")) {
            co_return *refusal;
        }
        const QueueId queue = matchQueue(*m_policy.policy(), caller.host, caller.path)->id;
        const auto begin = runtime::Clock::now();
        PendingResult result{std::nullopt, "", "too little time left"};
        while (hasTime(caller)) {
            result = co_await m_askPending(deadlineOf(caller) - ReplyMargin);
            if (result.reply) {
                const PendingReply &reply = *result.reply;
                Answer answer{AnswerKind::Count, {}, 0, {}, ""};
                for (std::size_t i = 0; i < reply.queues.size() && i < reply.counts.size(); ++i) {
                    answer.count += reply.queues[i] == queue ? reply.counts[i] : 0;
                }
                co_return answer;
            }
            co_await runtime::sleepFor(RetryDelay);
        }
        logCountRefused(caller, result, begin);
        co_return Answer{AnswerKind::Refused, {}, 0, RetryAfter, "no scheduler in office is reachable"};
    }

    [[nodiscard]] OpenCalls &openCalls()
    {
        return m_openCalls;
    }

    /** Records the latency of an answer by the workspace of the caller's key; `begin` is the arrival time of the request. */
    void recordAnswer(std::string_view call, const std::string &key, const Answer &answer, runtime::Instant begin)
    {
        const auto policy = m_policy.policy();
        const auto workspace = policy != nullptr ? policy->keys.find(key) : std::map<std::string, base::WorkspaceId>::const_iterator();
        const bool isKnown = policy != nullptr && workspace != policy->keys.end();
        const metrics::Labels labels{{"call", std::string(call)},
                                     {"outcome", std::string(answerText(answer.kind))},
                                     {"workspace", isKnown ? workspace->second.value() : ""}};
        m_metrics.histogram("plantainfork_batch_answer_seconds", labels).record(runtime::Clock::now() - begin);
    }

    /** Whether requests are accepted: the policy is known and was confirmed recently. */
    [[nodiscard]] bool isReady() const
    {
        return m_policy.isCurrent(runtime::Clock::now());
    }

private:
    /** Subtracted from a caller's deadline, for the time that the answer takes to reach the caller. */
    static constexpr std::chrono::milliseconds ReplyMargin{250};
    static constexpr std::chrono::milliseconds RetryDelay{60};
    /** How long to wait for the watch to deliver a changed policy. */
    static constexpr std::chrono::milliseconds PolicyWatchDelay{200};
    /** Timeout of one store call; shorter than a caller's deadline, to leave time for a retry on a new connection. */
    static constexpr std::chrono::milliseconds StoreCallTimeout{1000};
    static constexpr std::chrono::seconds RetryAfter{1};
    /** A workspace opens again when its jobs have ended and their records are removed. */
    static constexpr std::chrono::seconds ClosedRetryAfter{10};
    /**
     * How long an entry whose policy isn't confirmed tries to settle whether a job is recorded. An unclear answer can't tell callers when to
     * come back, and they would use up their repeats while the store is away.
     */
    static constexpr std::chrono::milliseconds SettleTime = RetryAfter;
    /** How long a job that this entry may have recorded is remembered; callers wait, and so repeat their requests, for 30 s at most. */
    static constexpr std::chrono::seconds RecentLife{30};

    asio::awaitable<void> waitForConfirmation(runtime::Instant until)
    {
        while (!m_policy.isCurrent(runtime::Clock::now()) && runtime::Clock::now() < until) {
            co_await runtime::sleepFor(RetryDelay);
        }
    }

    [[nodiscard]] runtime::Instant deadlineOf(const Caller &caller) const
    {
        return std::min(caller.deadline, m_answerBy);
    }
    [[nodiscard]] bool hasTime(const Caller &caller) const
    {
        return runtime::Clock::now() + ReplyMargin < deadlineOf(caller);
    }
    [[nodiscard]] runtime::Instant storeDeadlineFor(const Caller &caller) const
    {
        return std::min<runtime::Instant>(deadlineOf(caller) - ReplyMargin, runtime::Clock::now() + StoreCallTimeout);
    }

    /** Limits of a read of values that may be large: one that was cut off would begin again from its start. */
    [[nodiscard]] store::ReadLimits readLimitsFor(const Caller &caller) const
    {
        return {deadlineOf(caller) - ReplyMargin, StoreCallTimeout};
    }

    /** The answer to a caller that must not be served, if any. With a policy that may be outdated, callers are told to retry. */
    std::optional<Answer> checkCaller(const Caller &caller, const std::string &id)
    {
        const auto now = runtime::Clock::now();
        if (!m_policy.isCurrent(now)) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_policy.age(now));
            log::write(log::Severity::Info,
                       "request refused",
                       {{"request", caller.requestId}, {"job", id}, {"reason", "policy not confirmed"}, {"age_ms", std::to_string(age.count())}});
            return Answer{AnswerKind::Refused, {}, 0, RetryAfter, "policy not confirmed"};
        }
        const auto policy = m_policy.policy();
        const Queue *queue = matchQueue(*policy, caller.host, caller.path);
        if (queue == nullptr) {
            return Answer{AnswerKind::NoSuchQueue, {}, 0, {}, "no queue for " + caller.host + caller.path};
        }
        if (!queue->isPublic && !policy->keys.contains(caller.key)) {
            log::write(log::Severity::Info, "key unknown", {{"request", caller.requestId}, {"job", id}, {"version", std::to_string(policy->version)}});
            return Answer{AnswerKind::UnknownKey, {}, 0, {}, "unknown key"};
        }
        return std::nullopt;
    }

    /**
     * Whether a job is recorded for which this entry has sent a write. To be called when the policy no longer allows it: the writes required
     * an earlier one, so they can't be carried out any more. Nothing if the store can't be read in time, or another request is writing.
     */
    asio::awaitable<std::optional<bool>> findRecord(Caller caller, base::JobId id)
    {
        const store::Index guard = m_policy.guard().expected;
        while (hasTime(caller)) {
            const auto known = co_await m_store.readPrefix(keys::jobPrefix(id), readLimitsFor(caller));
            if (known.ok() && !known->entries.empty()) {
                co_return true;
            }
            if (known.ok()) {
                m_recent.ruleOutBefore(id, guard);
                co_return m_recent.mayBeRecorded(id, runtime::Clock::now()) ? std::nullopt : std::optional(false);
            }
            co_await runtime::sleepFor(RetryDelay);
        }
        co_return std::nullopt;
    }

    static std::string encodeSpec(const Caller &caller, const base::JobId &id, const Queue &queue, const Policy &policy, const Submission &submission)
    {
        JobSpec spec;
        spec.id = id;
        spec.queue = queue.id;
        spec.service = queue.service;
        spec.workspace = workspaceOf(policy, caller);
        spec.payload = submission.payload;
        spec.steps = submission.steps;
        spec.occurrences = submission.occurrences;
        spec.firstDueMs = submission.firstDueMs;
        spec.period = submission.period;
        const auto wall = std::chrono::system_clock::now().time_since_epoch();
        spec.acceptedMs = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
        spec.priority = queue.priority;
        spec.maxFailures = queue.maxFailures;
        spec.slackFactor = queue.slackFactor;
        spec.latencyTarget = queue.latencyTarget;
        return wire::encode(spec);
    }

    [[nodiscard]] static base::WorkspaceId workspaceOf(const Policy &policy, const Caller &caller)
    {
        const auto workspace = policy.keys.find(caller.key);
        return workspace != policy.keys.end() ? workspace->second : base::WorkspaceId();
    }

    /** The condition that the workspace is still as it was last seen: open, if a job is written. */
    [[nodiscard]] store::Write admissionCheck(const base::WorkspaceId &workspace) const
    {
        store::Write check;
        check.kind = store::Write::Kind::Check;
        check.key = keys::admission(workspace);
        check.expected = m_admission.index(workspace);
        return check;
    }

    /** Reads whether the workspace is closed; returns false if the store doesn't answer. */
    asio::awaitable<bool> readAdmission(Caller caller, base::WorkspaceId workspace)
    {
        const auto found = co_await m_store.readPrefix(keys::admission(workspace), readLimitsFor(caller));
        if (!found.ok()) {
            co_return false;
        }
        for (const auto &entry : found->entries) {
            if (entry.key == keys::admission(workspace)) {
                const auto record = wire::decode<AdmissionRecord>(entry.value);
                m_admission.set(workspace, entry.modified, record.ok() && record->isClosed, runtime::Clock::now());
            }
        }
        co_return true;
    }

    /** The answer to a caller whose workspace is closed; nothing if it is open again, or if the store can't tell whether the job is recorded. */
    asio::awaitable<std::optional<Answer>> answerClosed(Caller caller, base::JobId id, base::WorkspaceId workspace)
    {
        if (m_admission.shouldReadAgain(workspace, runtime::Clock::now())) {
            co_await readAdmission(caller, workspace);
            if (!m_admission.isClosed(workspace)) {
                co_return std::nullopt;
            }
        }
        // A try whose answer was lost may have recorded the job before the closure, here or at another entry.
        const store::Index guard = m_policy.guard().expected;
        const auto known = co_await m_store.readPrefix(keys::jobPrefix(id), readLimitsFor(caller));
        if (!known.ok()) {
            co_return std::nullopt;
        }
        if (!known->entries.empty()) {
            logRequest("job accepted", id, caller, 0, "known already");
            co_return Answer{AnswerKind::Accepted, {}, 0, {}, ""};
        }
        // Earlier writes required the workspace's record as it was before the closure.
        m_recent.ruleOut(id, guard);
        if (m_recent.mayBeRecorded(id, runtime::Clock::now())) {
            co_return std::nullopt;
        }
        m_metrics.counter("plantainfork_batch_closed_refusals_total", {{"workspace", workspace.value()}}).add();
        logRequest("job refused", id, caller, 0, "workspace closed");
        co_return Answer{AnswerKind::WorkspaceClosed,
                         {},
                         0,
                         ClosedRetryAfter,
                         "the workspace has handed in more jobs than can be kept; this one was not accepted and never runs"};
    }

    asio::awaitable<store::WriteResult> writeIf(std::vector<store::Write> rows, std::string key, std::string value, const Caller &caller)
    {
        store::Write row;
        row.key = std::move(key);
        row.value = std::move(value);
        rows.push_back(std::move(row));
        co_return co_await m_store.transact(std::move(rows), storeDeadlineFor(caller));
    }

    /** Reads the job and, if it exists, its state. */
    asio::awaitable<absl::StatusOr<Answer>> lookUp(base::JobId id, Caller caller)
    {
        const auto job = co_await m_store.readPrefix(keys::jobPrefix(id), readLimitsFor(caller));
        if (!job.ok()) {
            co_return job.status();
        }
        Answer answer{AnswerKind::NoSuchJob, {}, 0, {}, "no such job"};
        if (job->entries.empty()) {
            co_return answer;
        }
        const auto state = co_await m_store.readPrefix(keys::state(id), readLimitsFor(caller));
        if (!state.ok()) {
            co_return state.status();
        }
        answer.kind = AnswerKind::State;
        if (!state->entries.empty() && state->entries.front().key == keys::state(id)) {
            const auto decoded = wire::decode<JobState>(state->entries.front().value);
            if (!decoded.ok()) {
                log::write(log::Severity::Error, "state record unreadable", {{"job", id.value()}, {"reason", std::string(decoded.status().message())}});
                co_return decoded.status();
            }
            answer.status = decoded->status;
        }
        const bool isCancelled = std::any_of(job->entries.begin(), job->entries.end(), [](const store::KeyValue &entry) {
            const auto key = keys::parseJob(entry.key);
            return key && key->part == keys::JobPart::Cancel;
        });
        if (isCancelled && !isEnded(answer.status)) {
            answer.status = JobStatus::Cancelled;
        }
        co_return answer;
    }

    static void logRequest(const char *event, const base::JobId &id, const Caller &caller, std::uint64_t version, const std::string &why)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(caller.deadline - runtime::Clock::now());
        log::write(log::Severity::Info,
                   event,
                   {{"request", caller.requestId},
                    {"job", id.value()},
                    {"path", caller.path},
                    {"version", std::to_string(version)},
                    {"left_ms", std::to_string(left.count())},
                    {"why", why}});
    }

    void logCountRefused(const Caller &caller, const PendingResult &result, runtime::Instant begin) const
    {
        const auto now = runtime::Clock::now();
        const auto milliseconds = [](runtime::Clock::duration duration) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
        };
        log::write(log::Severity::Info,
                   "count refused",
                   {{"request", caller.requestId},
                    {"path", caller.path},
                    {"leader", result.leader},
                    {"reason", result.failure},
                    {"took_ms", milliseconds(now - begin)},
                    {"left_ms", milliseconds(caller.deadline - now)},
                    {"stopping", m_answerBy < runtime::Instant::max() ? "true" : "false"}});
    }

    Store &m_store;
    PolicyHolder &m_policy;
    metrics::Registry &m_metrics;
    AskPending m_askPending;
    OpenCalls m_openCalls;
    /** Time by which this entry has to answer, since it stops then. */
    runtime::Instant m_answerBy = runtime::Instant::max();
    RecentSubmissions m_recent{RecentLife};
    AdmissionView m_admission;
};

} // namespace plantainfork::batch
