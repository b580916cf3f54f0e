#include "batch/admission.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "batch/job_shape.h"
#include "batch/workload.h"

namespace plantainfork::batch
{

namespace
{

/** A job without its steps and its payload: the job itself, its ids, its places in maps, and the index of its record. */
constexpr std::size_t JobBytes = 3072;
/** A step, with what JobShape has of it. */
constexpr std::size_t StepBytes = sizeof(Step) + 64;
/** A unit's state, with its place in the table. */
constexpr std::size_t UnitBytes = sizeof(Unit) + 64;
/** Part of the budget above which workspaces are closed, and the part of that below which they are opened. */
constexpr double ClosingPart = 0.5;
constexpr double OpeningPart = 0.8;

} // namespace

std::size_t fairLevel(const WorkspaceUse &uses, std::size_t total)
{
    std::vector<std::size_t> sorted;
    for (const auto &[workspace, use] : uses) {
        sorted.push_back(use);
    }
    std::sort(sorted.begin(), sorted.end());
    std::size_t left = total;
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const std::size_t share = left / (sorted.size() - i);
        if (sorted[i] > share) {
            return share;
        }
        left -= sorted[i];
    }
    return std::numeric_limits<std::size_t>::max();
}

std::size_t estimatedBytes(const JobSpec &spec)
{
    const std::size_t occurrences = std::max(spec.occurrences, 1U);
    const std::size_t ranges = spec.steps.size() * occurrences;
    std::size_t bytes = JobBytes + spec.payload.size() + ranges * sizeof(StepUnits);
    std::size_t units = 0;
    for (const auto &step : spec.steps) {
        bytes += StepBytes + step.dependsOn.size() * sizeof(std::uint32_t) + step.requiredLabel.size() + step.dataRack.size();
        units += unitCount(step) * occurrences;
    }
    const std::size_t states = units <= JobLimits::DenseUnits ? units : std::min(ranges, JobLimits::ReadySteps);
    return bytes + states * UnitBytes;
}

std::set<base::WorkspaceId> Admission::closedWorkspaces(const KeptBytes &kept, const std::set<base::WorkspaceId> &closedNow) const
{
    std::set<base::WorkspaceId> closed;
    if (m_budgetBytes == 0) {
        return closed;
    }
    const double closingBytes = static_cast<double>(m_budgetBytes) * ClosingPart;
    const std::size_t closingLevel = fairLevel(kept, static_cast<std::size_t>(closingBytes));
    const std::size_t openingLevel = fairLevel(kept, static_cast<std::size_t>(closingBytes * OpeningPart));
    for (const auto &[workspace, bytes] : kept) {
        if (bytes > (closedNow.contains(workspace) ? openingLevel : closingLevel)) {
            closed.insert(workspace);
        }
    }
    return closed;
}

} // namespace plantainfork::batch
