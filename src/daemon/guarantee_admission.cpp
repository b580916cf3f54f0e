#include "daemon/guarantee_admission.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "scheduling/core.h"

namespace plantainfork::daemon
{

namespace
{

std::vector<scheduling::WorkerUpdated> inventoryOf(const membership::MemberView &view)
{
    std::vector<scheduling::WorkerUpdated> inventory;
    for (const auto &record : view.workers) {
        scheduling::WorkerUpdated worker;
        worker.id = record.id;
        worker.incarnation = record.incarnation;
        worker.dataCentre = record.dataCentre;
        worker.region = record.region;
        worker.rack = record.offer.rack;
        worker.accelerators = record.offer.accelerators;
        worker.cores = record.offer.cores;
        worker.memoryMiB = record.offer.memoryMiB;
        inventory.push_back(std::move(worker));
    }
    return inventory;
}

} // namespace

base::Findings newlyUnmetGuarantees(const wire::Config &present, const wire::Config &proposed, const membership::MemberView &view)
{
    base::Findings unmet;
    const auto inventory = inventoryOf(view);
    if (inventory.empty()) {
        return unmet;
    }
    const auto before = scheduling::checkGuarantees(present, inventory, scheduling::DataCentreScope::All);
    const auto after = scheduling::checkGuarantees(proposed, inventory, scheduling::DataCentreScope::All);
    for (const auto &finding : after.all()) {
        const bool wasUnmet = std::any_of(before.all().begin(), before.all().end(), [&finding](const base::Finding &known) {
            return known.place.text() == finding.place.text() && known.message == finding.message;
        });
        if (!wasUnmet) {
            unmet.add(finding.place, finding.message);
        }
    }
    return unmet;
}

} // namespace plantainfork::daemon
