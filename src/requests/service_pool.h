/**
 * An entry's view of one service's executors and the requests waiting for them. Selects the request that gets the
 * next free slot, and its target: the least loaded healthy executor in the own data centre, else in the own region,
 * else in another region if the request completes sooner there.
 */
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "base/ids.h"
#include "membership/member_view.h"
#include "metrics/registry.h"
#include "requests/latency_estimate.h"
#include "requests/pacer.h"
#include "requests/request_queue.h"
#include "requests/retry_budget.h"
#include "requests/target_health.h"
#include "rpc/one_shot.h"
#include "runtime/clock.h"
#include "runtime/published.h"
#include "wire/config_messages.h"

namespace plantainfork::requests
{

struct PoolSettings {
    base::ServiceId service;
    /** Location of this entry. */
    base::RegionId region;
    base::DataCentreId dataCentre;
    QueueBounds queue;
};

class ServicePool;

/** Permission to send one attempt to one executor. Counts as in flight until ended or destroyed. */
class Slot
{
public:
    Slot() = default;
    Slot(Slot &&other) noexcept;
    Slot &operator=(Slot &&other) noexcept;
    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;
    /** Releases an unused slot without affecting the health of the target. */
    ~Slot();

    [[nodiscard]] const wire::MemberRecord &agent() const;
    /** Releases the slot and records how the attempt ended. */
    void end(AttemptEnd end);

private:
    friend class ServicePool;
    struct State;
    explicit Slot(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

/** Thread-safe. Its mutex is held for microseconds. */
class ServicePool : public std::enable_shared_from_this<ServicePool>
{
public:
    ServicePool(PoolSettings settings,
                const runtime::Published<wire::Config> &config,
                const runtime::Published<membership::MemberView> &members,
                metrics::Registry &metrics);
    ~ServicePool();

    /**
     * Waits for a slot until the demand's deadline. Fails with ResourceExhausted if the request cannot be served in
     * time or the queue is full, and with DeadlineExceeded if no slot became free in time.
     */
    boost::asio::awaitable<absl::StatusOr<Slot>> acquire(Demand demand);
    /** Returns a slot for an extra attempt if one is free now and the retry budget allows it. */
    absl::StatusOr<Slot> acquireExtra(const Demand &demand);

    /** Takes a retry token for an extra attempt that will wait in the queue like any other. */
    [[nodiscard]] bool tryTakeRetry();

    /** Time after which an unanswered attempt for this template is hedged on another target. */
    [[nodiscard]] std::chrono::nanoseconds hedgeDelay(const base::TemplateId &templateId) const;

    /** Applies membership and configuration changes, ejects stalled targets, expires waiters and serves the queue. Called every TickInterval. */
    void tick();
    static constexpr std::chrono::milliseconds TickInterval{5};

    [[nodiscard]] std::size_t queueLength() const;

private:
    friend class Slot;
    struct Target;
    struct Waiter;
    class QueuedWaiterGuard;
    using TargetPtr = std::shared_ptr<Target>;

    void updateTargets();
    TargetPtr selectTarget(const Demand &demand, runtime::Instant now);
    [[nodiscard]] TargetPtr leastLoaded(const Demand &demand, runtime::Instant now, bool isRemote) const;
    [[nodiscard]] bool isCrossRegionFaster(const Demand &demand) const;
    Slot allocate(const TargetPtr &target, const Demand &demand, runtime::Instant now);
    [[nodiscard]] absl::Status checkDeadline(const Demand &demand, runtime::Instant now) const;
    [[nodiscard]] std::chrono::nanoseconds expectedWait(const base::WorkspaceId &workspace, wire::Urgency urgency, std::uint32_t share) const;
    [[nodiscard]] double slotCapacity(bool isRemote) const;
    /** Whether the pacing and the reserve for urgent requests allow the request to take a slot now. */
    [[nodiscard]] bool canStartNow(const Demand &demand, runtime::Instant now);
    void dispatch(runtime::Instant now);
    void failWait(const std::shared_ptr<Waiter> &waiter, absl::Status status);
    void release(Slot::State &slot, const AttemptEnd *end);
    [[nodiscard]] Ejection ejection() const;
    void reportEjectionChange(const Target &target, std::string_view reason);

    const PoolSettings m_settings;
    const runtime::Published<wire::Config> &m_config;
    const runtime::Published<membership::MemberView> &m_members;
    metrics::Histogram &m_waitTime;
    metrics::Counter &m_ejections;
    metrics::Counter &m_refusals;
    metrics::Counter &m_extraAttempts;
    metrics::Counter &m_crossRegion;

    mutable std::mutex m_mutex;
    /** Guarded by m_mutex, as are the members below. */
    std::shared_ptr<const wire::Config> m_appliedConfig;
    std::shared_ptr<const membership::MemberView> m_appliedMembers;
    std::vector<TargetPtr> m_targets;
    RequestQueue m_queue;
    RetryBudget m_budget;
    Pacer m_pacer;
    /** Time for which a successful attempt holds its slot, over all templates. */
    LatencyEstimate m_holdTime;
    std::map<base::TemplateId, LatencyEstimate> m_latency;
    /** Index of the target where the next search begins. Increases with every search, so that equally loaded targets take turns. */
    std::size_t m_searchOffset = 0;
    /** Arrival of the latest urgent request. */
    runtime::Instant m_lastUrgent;
};

} // namespace plantainfork::requests
