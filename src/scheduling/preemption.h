/** Chooses the victims whose preemption frees a placement, with as little lost work as possible. */
#pragma once

#include <optional>
#include <vector>

#include <absl/functional/function_ref.h>

#include "scheduling/inventory.h"
#include "scheduling/job.h"

namespace plantainfork::scheduling
{

struct PreemptionPlan {
    /** Gangs that have to end first. The caller stops those that aren't stopping already. */
    std::vector<Job *> victims;
    /** Work lost by the preemptions, in accelerator-seconds. */
    double loss = 0;
};

/** Whether a gang that is not stopping yet may be stopped. */
using VictimFilter = absl::FunctionRef<bool(const Job &)>;

/** Work that is lost if the gang is stopped now, in accelerator-seconds. A gang that can checkpoint loses at most the time of a restart. */
[[nodiscard]] double preemptionLoss(const Job &job, runtime::Instant now);

/** Capacity used on the worker by gangs that are stopping or that the filter allows to stop. */
[[nodiscard]] Resources preemptibleCapacity(const Inventory &inventory, WorkerIndex worker, VictimFilter mayStop);

/**
 * Chooses victims so that the shares become free for members that need `memberNeed` each. Unset when stopping all gangs
 * that the filter allows isn't enough.
 */
[[nodiscard]] std::optional<PreemptionPlan>
planPreemption(const Inventory &inventory, const Shares &shares, const Resources &memberNeed, VictimFilter mayStop, runtime::Instant now);

} // namespace plantainfork::scheduling
