#include "batch/job_request_handler.h"

#include <algorithm>

#include "batch/job_shape.h"

namespace plantainfork::batch
{

namespace
{

/** Times far beyond this don't fit the clock. */
constexpr std::chrono::milliseconds LongestSeries = std::chrono::hours(24 * 365 * 100);

} // namespace

std::string findSubmissionError(const Submission &submission)
{
    if (submission.occurrences > 0 && submission.period > LongestSeries / submission.occurrences) {
        return "the occurrences take more than a hundred years";
    }
    if (std::string error = findStepsError(submission.steps, submission.occurrences); !error.empty()) {
        return error;
    }
    const std::size_t occurrences = std::max(submission.occurrences, 1U);
    if (submission.steps.size() * occurrences > JobLimits::StepsOfOccurrences) {
        return "a job has at most " + std::to_string(JobLimits::StepsOfOccurrences) + " steps in all of its occurrences";
    }
    return "";
}

const Queue *matchQueue(const Policy &policy, const std::string &host, const std::string &path)
{
    const Queue *best = nullptr;
    for (const auto &[id, queue] : policy.queues) {
        const bool isMatch = queue.host == host && path.compare(0, queue.prefix.size(), queue.prefix) == 0;
        if (isMatch && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

std::string_view answerText(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::Accepted:
        return "accepted";
    case AnswerKind::State:
        return "state";
    case AnswerKind::Count:
        return "count";
    case AnswerKind::Cancelled:
        return "cancelled";
    case AnswerKind::NoSuchJob:
        return "no_such_job";
    case AnswerKind::NoSuchQueue:
        return "no_such_queue";
    case AnswerKind::UnknownKey:
        return "unknown_key";
    case AnswerKind::Invalid:
        return "invalid";
    case AnswerKind::WorkspaceClosed:
        return "workspace_closed";
    case AnswerKind::Refused:
        return "refused";
    case AnswerKind::Unclear:
        return "unclear";
    }
    return "unknown";
}

} // namespace plantainfork::batch
