#include "batch/job_request_handler.h"

#include <algorithm>

namespace plantainfork::batch
{

namespace
{

/** Limits for one job: far above what a host can run, and low enough that a single job can't monopolize the scheduler. */
constexpr std::size_t MaxSteps = 256;
constexpr std::uint32_t MaxTasksPerStep = 10'000;
constexpr std::uint32_t MaxOccurrences = 10'000;
constexpr std::uint64_t MaxTasksPerJob = 100'000;

} // namespace

std::string findSubmissionError(const Submission &submission)
{
    if (submission.steps.empty() || submission.steps.size() > MaxSteps) {
        return "a job has 1 to " + std::to_string(MaxSteps) + " steps";
    }
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < submission.steps.size(); ++i) {
        const Step &step = submission.steps[i];
        if (step.tasks == 0 || step.tasks > MaxTasksPerStep) {
            return "step " + std::to_string(i) + " has no tasks, or too many";
        }
        if (step.need.millicores < 0 || step.need.memoryMib < 0 || step.need.accelerators < 0 || step.estimate.count() < 0) {
            return "step " + std::to_string(i) + " has a negative need";
        }
        const bool areDependenciesEarlier = std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [i](std::uint32_t dependency) {
            return dependency < i;
        });
        if (!areDependenciesEarlier) {
            return "step " + std::to_string(i) + " comes after a step that isn't earlier";
        }
        tasks += step.tasks;
    }
    if (submission.occurrences > MaxOccurrences || tasks * std::max(submission.occurrences, 1U) > MaxTasksPerJob) {
        return "too many occurrences";
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
    case AnswerKind::Refused:
        return "refused";
    case AnswerKind::Unclear:
        return "unclear";
    }
    return "unknown";
}

} // namespace plantainfork::batch
