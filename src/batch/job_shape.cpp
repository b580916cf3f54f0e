#include "batch/job_shape.h"

#include <algorithm>

namespace plantainfork::batch
{

namespace
{

/** Weight of an accelerator in cores; the same weight by which the users count lost work. */
constexpr double CoresPerAccelerator = 8.0;
constexpr double MillicoresPerCore = 1000.0;

} // namespace

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double coreEquivalents(const Resources &need)
{
    return static_cast<double>(need.millicores) / MillicoresPerCore + CoresPerAccelerator * static_cast<double>(need.accelerators);
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
