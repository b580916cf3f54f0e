#include "batch/job_shape.h"

#include <algorithm>
#include <cstdint>

namespace plantainfork::batch
{

namespace
{

/** Weight of an accelerator in cores; the same weight by which the users count lost work. */
constexpr double CoresPerAccelerator = 8.0;
constexpr double MillicoresPerCore = 1000.0;
/** Limits for one job: far above what a host can run, and low enough that a single job can't monopolize the scheduler. */
constexpr std::size_t MaxSteps = 256;
constexpr std::uint32_t MaxTasksPerStep = 10'000;
constexpr std::uint32_t MaxOccurrences = 10'000;
constexpr std::uint64_t MaxTasksPerJob = 100'000;

} // namespace

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double coreEquivalents(const Resources &need)
{
    return static_cast<double>(need.millicores) / MillicoresPerCore + CoresPerAccelerator * static_cast<double>(need.accelerators);
}

std::string findStepsError(const std::vector<Step> &steps, std::uint32_t occurrences)
{
    if (steps.empty() || steps.size() > MaxSteps) {
        return "a job has 1 to " + std::to_string(MaxSteps) + " steps";
    }
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const Step &step = steps[i];
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
    if (occurrences > MaxOccurrences || tasks * std::max(occurrences, 1U) > MaxTasksPerJob) {
        return "too many occurrences";
    }
    return "";
}

JobShape shapeOf(const std::vector<Step> &steps)
{
    JobShape shape;
    shape.pathFrom.assign(steps.size(), Duration::zero());
    for (std::size_t i = steps.size(); i-- > 0;) {
        shape.pathFrom[i] += steps[i].estimate;
        for (const auto dependency : steps[i].dependsOn) {
            shape.pathFrom[dependency] = std::max(shape.pathFrom[dependency], shape.pathFrom[i]);
        }
    }
    for (std::size_t i = 0; i < steps.size(); ++i) {
        shape.criticalPath = std::max(shape.criticalPath, shape.pathFrom[i]);
        shape.work += toSeconds(steps[i].estimate) * coreEquivalents(steps[i].need) * steps[i].tasks;
        shape.peakAccelerators = std::max(shape.peakAccelerators, steps[i].tasks * steps[i].need.accelerators);
    }
    return shape;
}

} // namespace plantainfork::batch
