/**
 * The scheduling core: a deterministic state machine that turns events and the current time into commands and
 * explanations. It does no I/O, reads no clock and starts no threads, so that the daemon, the property tests and
 * the policy benchmark run the same code.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/findings.h"
#include "runtime/clock.h"
#include "scheduling/model.h"
#include "wire/config_messages.h"

namespace plantainfork::scheduling
{

class Scheduler;

/** Which of several suitable places is chosen. */
enum class PlacementRule : std::uint8_t {
    /** The fullest host, rack or data centre that fits, so that large blocks stay free. */
    BestFit,
    /** The emptiest host, rack or data centre. */
    WorstFit,
};

/** Whether workers are reserved for large jobs that do not fit yet. */
enum class ReservationRule : std::uint8_t {
    Reserve,
    Never,
};

/** The order in which jobs of equal urgency are scheduled. */
enum class OrderRule : std::uint8_t {
    /** By the time at which the wait reaches a multiple of the expected run time, or the latest start that meets the deadline. */
    Due,
    /** By submission time. */
    Age,
};

/** Whether smaller gangs that can checkpoint are moved to make room for a large waiting job. */
enum class DefragmentRule : std::uint8_t {
    Never,
    Checkpoint,
};

struct Options {
    PlacementRule placement = PlacementRule::BestFit;
    ReservationRule reservations = ReservationRule::Reserve;
    OrderRule order = OrderRule::Due;
    DefragmentRule defragment = DefragmentRule::Checkpoint;
};

class Core
{
public:
    explicit Core(Options options = {});
    Core(Core &&) noexcept;
    Core &operator=(Core &&) noexcept;
    ~Core();

    /**
     * Processes one event and runs a scheduling round. Events that name unknown jobs, attempts or workers are ignored,
     * because these have already ended. The time must not decrease between calls.
     */
    [[nodiscard]] Decision handle(const Event &event, runtime::Instant now);

    [[nodiscard]] Capacity capacity() const;
    /** Unset for unknown jobs and for jobs that have ended. */
    [[nodiscard]] std::optional<Explanation> explain(const base::JobId &job) const;
    /**
     * Returns one place for each guaranteed gang that is neither running nor unmet. These places and the gangs that
     * cannot be preempted never exceed a worker's capacity together, so preempting borrowers is enough to place all of the gangs.
     */
    [[nodiscard]] std::vector<ReservedPlace> reservedPlaces() const;
    /** Empty while every guarantee can be met by preempting borrowers only. */
    [[nodiscard]] std::vector<UnmetGuarantee> unmetGuarantees() const;

private:
    std::unique_ptr<Scheduler> m_scheduler;
};

/** Which data centres are considered when guarantees are checked against an inventory. */
enum class DataCentreScope : std::uint8_t {
    /** All, including those out of service; used to admit templates and workspaces. */
    All,
    /** Only those in service; used to report the guarantees that cannot be met while a data centre is out. */
    InService,
};

/**
 * Checks whether all guaranteed gangs of the configuration fit the inventory at the same time. Returns one finding for
 * each grant that cannot be met, with the path of the field ("workspaces/NAME/grants/TEMPLATE") and the number of gangs
 * without a place. The packing is a heuristic: it never accepts a configuration that does not fit, but may reject one
 * that does.
 */
[[nodiscard]] base::Findings checkGuarantees(const wire::Config &config, const std::vector<WorkerUpdated> &inventory, DataCentreScope scope);

} // namespace plantainfork::scheduling
