#include "batch/front.h"

#include <algorithm>

namespace plantainfork::batch
{

namespace
{

/** Bounds on one job; far above what a host can run, low enough that one job can't fill the scheduler. */
constexpr std::size_t MostSteps = 256;
constexpr std::uint32_t MostTasks = 10'000;
constexpr std::uint32_t MostOccurrences = 10'000;
constexpr std::uint64_t MostUnits = 100'000;

} // namespace

std::string findFault(const Submission &submission)
{
    if (submission.steps.empty() || submission.steps.size() > MostSteps) {
        return "a job has 1 to " + std::to_string(MostSteps) + " steps";
    }
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < submission.steps.size(); ++i) {
        const Step &step = submission.steps[i];
        if (step.tasks == 0 || step.tasks > MostTasks) {
            return "step " + std::to_string(i) + " has no tasks, or too many";
        }
        if (step.need.millicores < 0 || step.need.memoryMib < 0 || step.need.accelerators < 0 || step.estimate.count() < 0) {
            return "step " + std::to_string(i) + " has a negative need";
        }
        const bool isOrdered = std::all_of(step.after.begin(), step.after.end(), [i](std::uint32_t before) {
            return before < i;
        });
        if (!isOrdered) {
            return "step " + std::to_string(i) + " comes after a step that isn't earlier";
        }
        tasks += step.tasks;
    }
    if (submission.occurrences > MostOccurrences || tasks * std::max(submission.occurrences, 1U) > MostUnits) {
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
