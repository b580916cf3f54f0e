/** Plans reservations for large jobs that fit nowhere now, from the expected end times of running gangs. */
#pragma once

#include <optional>

#include "scheduling/inventory.h"
#include "scheduling/job.h"

namespace plantainfork::scheduling
{

struct ReservationPlan {
    Shares shares;
    /** When the last gang that has to end first is expected to have ended. */
    runtime::Instant expectedStart;
};

/**
 * When the gang's capacity is expected to be free. A gang that has exceeded its expected run time is assumed to
 * continue for half the time that it has already run.
 */
[[nodiscard]] runtime::Instant expectedEnd(const Job &job, runtime::Instant now);

/** The placement with the earliest expected start, on open workers that aren't reserved for another job; unset if there is none. */
[[nodiscard]] std::optional<ReservationPlan> planReservation(const Inventory &inventory, const Job &job, runtime::Instant now);

/** When the last gang on the reserved workers that isn't backfill is expected to have ended. */
[[nodiscard]] runtime::Instant expectedStart(const Inventory &inventory, const Reservation &reservation, runtime::Instant now);

/**
 * Whether the gang is a borrower that was placed after the reservation was planned, so that the job with the
 * reservation may preempt it. Urgent gangs are never counted as backfill.
 */
[[nodiscard]] bool isBackfill(const Job &gang, const Reservation &reservation);

} // namespace plantainfork::scheduling
