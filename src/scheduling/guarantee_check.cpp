// Checks whether an inventory can meet the guarantees of a configuration that is not yet accepted.
#include "scheduling/core.h"

#include "scheduling/guarantees.h"
#include "scheduling/shape_text.h"

namespace plantainfork::scheduling
{

namespace
{

bool isCounted(const WorkerUpdated &worker, DataCentreScope scope)
{
    switch (scope) {
    case DataCentreScope::All:
        return worker.state != wire::MemberState::Left;
    case DataCentreScope::InService:
        return worker.state == wire::MemberState::Alive;
    }
    return false;
}

/** Adds the data centres and workers to the inventory and opens the workers that are in scope. */
void loadWorkers(Inventory &inventory, const wire::Config &config, const std::vector<WorkerUpdated> &workers, DataCentreScope scope)
{
    for (const auto &[id, dataCentre] : config.dataCentres) {
        const bool isOut = scope == DataCentreScope::InService && (dataCentre.removed || dataCentre.value.mode == wire::DataCentreMode::Out);
        inventory.setMode(inventory.internDataCentre(id), isOut ? wire::DataCentreMode::Out : wire::DataCentreMode::In);
    }
    for (const WorkerUpdated &reported : workers) {
        const WorkerIndex index = inventory.update(reported);
        const bool isOut = inventory.dataCentre(inventory.worker(index).dataCentre).mode == wire::DataCentreMode::Out;
        inventory.setUse(index, isCounted(reported, scope) && !isOut ? WorkerUse::Open : WorkerUse::Closed);
    }
}

} // namespace

base::Findings checkGuarantees(const wire::Config &config, const std::vector<WorkerUpdated> &inventory, DataCentreScope scope)
{
    Inventory workers;
    loadWorkers(workers, config, inventory, scope);
    Guarantees guarantees(workers);
    guarantees.configure(config);
    // The time only limits how often later searches repack; this is the first one.
    (void)guarantees.findReservedPlaces(runtime::Instant());
    base::Findings findings;
    for (const UnmetGuarantee &unmet : guarantees.unmet()) {
        findings.add("workspaces/" + unmet.workspace.value() + "/grants/" + unmet.templateId.value(),
                     std::to_string(unmet.gangs) + " guaranteed gang(s) of " + describe(unmet.shape) + " can't be met: " + unmet.reason);
    }
    return findings;
}

} // namespace plantainfork::scheduling
