/** Finds a placement for a gang whose members must share a host, a rack or a data centre. */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/functional/function_ref.h>

#include "scheduling/core.h"
#include "scheduling/inventory.h"

namespace plantainfork::scheduling
{

struct PlaceRequest {
    wire::Shape shape;
    View view = View::Spare;
    PlacementRule rule = PlacementRule::BestFit;
    /** Data centres to consider; empty means all. */
    std::vector<DataCentreIndex> dataCentres;
};

/** The capacity of a worker that the gang may use; at most what is available there in the request's view. */
using Availability = absl::FunctionRef<Resources(WorkerIndex)>;

/** The best placement by the request's rule; unset when the shape fits nowhere. */
[[nodiscard]] std::optional<Shares> findPlace(const Inventory &inventory, const PlaceRequest &request, Availability availability);
[[nodiscard]] std::optional<Shares> findPlace(const Inventory &inventory, const PlaceRequest &request);

/** Fragmentation caused by starting on the worker: 2 if its rack has no accelerator in use, 1 if only the host has none, else 0. */
[[nodiscard]] std::int64_t fragmentationCost(const Inventory &inventory, WorkerIndex worker);

/** Whether the shape would fit if no capacity of any worker were in use. */
[[nodiscard]] bool fitsEmptyInventory(const Inventory &inventory, const wire::Shape &shape);

} // namespace plantainfork::scheduling
