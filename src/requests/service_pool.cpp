#include "requests/service_pool.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "log/log.h"

namespace plantainfork::requests
{

namespace asio = boost::asio;

namespace
{

/** Additional latency of a call to another region: 30 ms each way. */
constexpr std::chrono::milliseconds CrossRegionRoundTrip{60};
/** Assumed bandwidth of one transfer between regions: half of 30 Mbit/s. */
constexpr double CrossRegionBytesPerSecond = 30e6 / 8 / 2;
/** Share of the slots reserved for urgent requests within their guarantees, while such requests arrive. */
constexpr double UrgentReserve = 0.04;
/** Time after the last urgent request during which the reserve is kept. */
constexpr std::chrono::milliseconds UrgentReserveDuration{1000};
/** Maximum number of templates whose latency is tracked. */
constexpr std::size_t MaxTemplates = 1000;
constexpr std::chrono::nanoseconds MinHedgeDelay = std::chrono::milliseconds(20);
/** An attempt is hedged on another target after this multiple of the upper latency estimate. */
constexpr int HedgeDelayFactor = 2;
/** Upper latency estimate of a template without samples; its attempts are hedged after this time. */
constexpr std::chrono::nanoseconds DefaultHighLatency = std::chrono::seconds(1);

bool contains(const std::vector<base::MemberId> &ids, const base::MemberId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

struct ServicePool::Target {
    wire::MemberRecord record;
    TargetHealth health;
    /** In another region than this entry. */
    bool isRemote = false;
    bool isSameDataCentre = false;
    /** False once the membership or the configuration no longer offers it. */
    bool isOffered = true;
};

struct ServicePool::Waiter : RequestQueue::Waiter {
    rpc::OneShot<absl::StatusOr<Slot>> outcome;
    runtime::Instant since;
};

/** Removes a waiter from the queue when its coroutine ends or is destroyed. */
class ServicePool::QueuedWaiterGuard
{
public:
    QueuedWaiterGuard(ServicePool &pool, std::shared_ptr<Waiter> waiter)
        : m_pool(pool)
        , m_waiter(std::move(waiter))
    {
    }
    QueuedWaiterGuard(const QueuedWaiterGuard &) = delete;
    QueuedWaiterGuard &operator=(const QueuedWaiterGuard &) = delete;
    ~QueuedWaiterGuard()
    {
        const std::scoped_lock lock(m_pool.m_mutex);
        m_pool.m_queue.remove(m_waiter);
    }

private:
    ServicePool &m_pool;
    std::shared_ptr<Waiter> m_waiter;
};

struct Slot::State {
    std::shared_ptr<ServicePool> pool;
    ServicePool::TargetPtr target;
    /** The agent's record when the slot was allocated. */
    wire::MemberRecord agent;
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    wire::Urgency urgency;
    runtime::Instant since;
    AttemptKind kind = AttemptKind::Regular;
};

Slot::Slot(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Slot::Slot(Slot &&other) noexcept = default;
Slot &Slot::operator=(Slot &&other) noexcept
{
    std::swap(m_state, other.m_state);
    return *this;
}

Slot::~Slot()
{
    if (m_state) {
        const auto pool = m_state->pool;
        pool->release(*m_state, nullptr);
    }
}

const wire::MemberRecord &Slot::agent() const
{
    return m_state->agent;
}

void Slot::end(AttemptEnd end)
{
    assert(m_state);
    const auto state = std::exchange(m_state, nullptr);
    state->pool->release(*state, &end);
}

ServicePool::ServicePool(PoolSettings settings,
                         const runtime::Published<wire::Config> &config,
                         const runtime::Published<membership::MemberView> &members,
                         metrics::Registry &metrics)
    : m_settings(std::move(settings))
    , m_config(config)
    , m_members(members)
    , m_waitTime(metrics.histogram("plantainfork_slot_wait_seconds", {{"service", m_settings.service.value()}}))
    , m_ejections(metrics.counter("plantainfork_ejections_total", {{"service", m_settings.service.value()}}))
    , m_refusals(metrics.counter("plantainfork_refused_for_load_total", {{"service", m_settings.service.value()}}))
    , m_extraAttempts(metrics.counter("plantainfork_extra_attempts_total", {{"service", m_settings.service.value()}}))
    , m_crossRegion(metrics.counter("plantainfork_cross_region_attempts_total", {{"service", m_settings.service.value()}}))
    , m_queue(m_settings.queue)
{
}

ServicePool::~ServicePool() = default;

void ServicePool::updateTargets()
{
    auto members = m_members.load();
    auto config = m_config.load();
    if (members == m_appliedMembers && config == m_appliedConfig) {
        return;
    }
    m_appliedMembers = std::move(members);
    m_appliedConfig = std::move(config);
    for (const auto &target : m_targets) {
        target->isOffered = false;
    }
    const auto found = m_appliedMembers->executors.find(m_settings.service);
    if (found != m_appliedMembers->executors.end()) {
        for (const auto &record : found->second) {
            const auto state = m_appliedConfig->dataCentres.find(record.dataCentre);
            const bool isDataCentreOut = state != m_appliedConfig->dataCentres.end() && state->second.value.mode == wire::DataCentreMode::Out;
            if (record.state != wire::MemberState::Alive || isDataCentreOut) {
                continue;
            }
            const auto known = std::find_if(m_targets.begin(), m_targets.end(), [&record](const TargetPtr &target) {
                return target->record.id == record.id && target->record.incarnation == record.incarnation;
            });
            const bool isRemote = record.region != m_settings.region;
            const bool isSameDataCentre = record.dataCentre == m_settings.dataCentre;
            if (known == m_targets.end()) {
                m_targets.push_back(std::make_shared<Target>(Target{record, TargetHealth(record.offer.slots), isRemote, isSameDataCentre, true}));
            } else {
                (*known)->record = record;
                (*known)->health.setSlots(record.offer.slots);
                (*known)->isOffered = true;
            }
        }
    }
    std::erase_if(m_targets, [](const TargetPtr &target) {
        return !target->isOffered;
    });
}

ServicePool::TargetPtr ServicePool::leastLoaded(const Demand &demand, runtime::Instant now, bool isRemote) const
{
    TargetPtr best;
    TargetPtr avoided;
    const std::size_t count = m_targets.size();
    for (std::size_t i = 0; i < count; ++i) {
        const TargetPtr &target = m_targets[(m_searchOffset + i) % count];
        if (target->isRemote != isRemote || !target->health.canAccept(now)) {
            continue;
        }
        if (contains(demand.avoid, target->record.id)) {
            avoided = target;
            continue;
        }
        const auto rank = [](const TargetPtr &candidate) {
            return std::pair(!candidate->isSameDataCentre, candidate->health.load());
        };
        if (!best || rank(target) < rank(best)) {
            best = target;
        }
    }
    const bool hasOthers = std::any_of(m_targets.begin(), m_targets.end(), [&demand](const TargetPtr &target) {
        return !target->health.isEjected() && !contains(demand.avoid, target->record.id);
    });
    return best || hasOthers ? best : avoided;
}

double ServicePool::slotCapacity(bool isRemote) const
{
    double slots = 0;
    for (const auto &target : m_targets) {
        slots += target->isRemote == isRemote ? target->health.capacity() : 0;
    }
    return slots;
}

bool ServicePool::isCrossRegionFaster(const Demand &demand) const
{
    if (slotCapacity(false) < 1) {
        return true;
    }
    const auto transfer = std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(demand.bytes) / CrossRegionBytesPerSecond * 1e9));
    return expectedWait(demand.workspace, demand.urgency, demand.share) > CrossRegionRoundTrip + transfer;
}

ServicePool::TargetPtr ServicePool::selectTarget(const Demand &demand, runtime::Instant now)
{
    if (!canStartNow(demand, now)) {
        return nullptr;
    }
    ++m_searchOffset;
    TargetPtr target = leastLoaded(demand, now, false);
    if (!target && isCrossRegionFaster(demand)) {
        target = leastLoaded(demand, now, true);
    }
    return target;
}

bool ServicePool::canStartNow(const Demand &demand, runtime::Instant now)
{
    double slots = 0;
    double taken = 0;
    for (const auto &target : m_targets) {
        slots += target->health.capacity();
        taken += target->health.isEjected() ? 0 : static_cast<double>(target->health.inFlight());
    }
    const bool bypassesReserve = demand.urgency == wire::Urgency::Urgent && m_queue.isWithinGuarantee(demand, slots);
    if (bypassesReserve || now - m_lastUrgent > UrgentReserveDuration) {
        return true;
    }
    // Rounds down: a small pool has no slot to spare for the reserve.
    return slots - taken > std::floor(slots * UrgentReserve) && m_pacer.mayStart(now, slots, m_holdTime.mean());
}

Slot ServicePool::allocate(const TargetPtr &target, const Demand &demand, runtime::Instant now)
{
    const auto known = m_latency.find(demand.templateId);
    const std::chrono::nanoseconds expected = known == m_latency.end() ? DefaultHighLatency : known->second.high();
    const AttemptKind kind = target->health.start(now, expected);
    m_queue.countStart(demand.workspace, demand.urgency, demand.share);
    m_pacer.countStart();
    if (target->isRemote) {
        m_crossRegion.add();
    }
    auto state = std::make_unique<Slot::State>();
    state->pool = shared_from_this();
    state->target = target;
    state->agent = target->record;
    state->workspace = demand.workspace;
    state->templateId = demand.templateId;
    state->urgency = demand.urgency;
    state->since = now;
    state->kind = kind;
    return Slot(std::move(state));
}

std::chrono::nanoseconds ServicePool::expectedWait(const base::WorkspaceId &workspace, wire::Urgency urgency, std::uint32_t share) const
{
    const double slots = std::max(1.0, slotCapacity(false) + slotCapacity(true));
    const double equalFraction = 1.0 / static_cast<double>(std::max<std::size_t>(m_queue.activeWorkspaces(), 1));
    const double fraction = std::clamp(std::max(share / 1000.0, equalFraction), 0.0, 1.0);
    // A round is the time for which a request holds its slot; each round serves as many requests as there are slots.
    const double roundsInWorkspace = static_cast<double>(m_queue.aheadOf(workspace, urgency)) / (slots * fraction);
    const double roundsOverall = static_cast<double>(m_queue.aheadOf(urgency)) / slots;
    return std::chrono::nanoseconds(static_cast<std::int64_t>(std::min(roundsInWorkspace, roundsOverall) * static_cast<double>(m_holdTime.mean().count())));
}

absl::Status ServicePool::checkDeadline(const Demand &demand, runtime::Instant now) const
{
    const bool isBusy = m_queue.size() > 0;
    const auto known = m_latency.find(demand.templateId);
    if (!isBusy || known == m_latency.end()) {
        return absl::OkStatus();
    }
    if (now + expectedWait(demand.workspace, demand.urgency, demand.share) + known->second.mean() > demand.deadline) {
        return absl::ResourceExhaustedError("can't be served before its deadline at the present load");
    }
    return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<Slot>> ServicePool::acquire(Demand demand)
{
    const auto self = shared_from_this();
    const runtime::Instant now = runtime::Clock::now();
    std::shared_ptr<Waiter> waiter;
    {
        const std::scoped_lock lock(m_mutex);
        updateTargets();
        if (demand.avoid.empty()) {
            m_budget.countFirstAttempt();
        }
        if (demand.urgency == wire::Urgency::Urgent) {
            m_lastUrgent = now;
        }
        if (m_queue.size() == 0) {
            if (const TargetPtr target = selectTarget(demand, now)) {
                co_return allocate(target, demand, now);
            }
        }
        if (absl::Status feasible = checkDeadline(demand, now); !feasible.ok()) {
            m_refusals.add();
            co_return feasible;
        }
        waiter = std::make_shared<Waiter>();
        waiter->demand = demand;
        waiter->since = now;
        if (!m_queue.add(waiter)) {
            const auto evicted = m_queue.evictFor(demand.workspace, demand.urgency);
            if (evicted) {
                failWait(std::static_pointer_cast<Waiter>(evicted), absl::ResourceExhaustedError("gave way to a more urgent request"));
            }
            if (!evicted || !m_queue.add(waiter)) {
                m_refusals.add();
                co_return absl::ResourceExhaustedError("too many requests wait already");
            }
        }
        dispatch(now);
    }
    const QueuedWaiterGuard guard(*this, waiter);
    absl::StatusOr<Slot> outcome = co_await waiter->outcome.wait();
    m_waitTime.record(runtime::Clock::now() - now);
    co_return outcome;
}

absl::StatusOr<Slot> ServicePool::acquireExtra(const Demand &demand)
{
    const std::scoped_lock lock(m_mutex);
    const runtime::Instant now = runtime::Clock::now();
    updateTargets();
    const TargetPtr target = selectTarget(demand, now);
    if (!target || contains(demand.avoid, target->record.id)) {
        return absl::ResourceExhaustedError("no other executor is free");
    }
    if (!m_budget.tryTake()) {
        return absl::ResourceExhaustedError("retry budget is spent");
    }
    m_extraAttempts.add();
    return allocate(target, demand, now);
}

bool ServicePool::tryTakeRetry()
{
    const std::scoped_lock lock(m_mutex);
    const bool isAllowed = m_budget.tryTake();
    m_extraAttempts.add(isAllowed ? 1 : 0);
    return isAllowed;
}

void ServicePool::failWait(const std::shared_ptr<Waiter> &waiter, absl::Status status)
{
    waiter->outcome.set(std::move(status));
}

void ServicePool::dispatch(runtime::Instant now)
{
    m_pacer.setContended(m_queue.size() > 0, now);
    while (m_queue.size() > 0) {
        const double slots = slotCapacity(false) + slotCapacity(true);
        const auto isServable = [&](const RequestQueue::Waiter &waiter) {
            return selectTarget(waiter.demand, now) != nullptr;
        };
        const auto next = m_queue.next(slots, isServable);
        if (!next) {
            return;
        }
        const TargetPtr target = selectTarget(next->demand, now);
        m_queue.remove(next);
        const auto waiter = std::static_pointer_cast<Waiter>(next);
        const auto known = m_latency.find(next->demand.templateId);
        const bool cannotMeetDeadline = known != m_latency.end() && m_queue.size() > 0 && now + known->second.mean() > next->demand.deadline;
        if (cannotMeetDeadline) {
            m_refusals.add();
            failWait(waiter, absl::ResourceExhaustedError("can't be served before its deadline any more"));
            continue;
        }
        waiter->outcome.set(allocate(target, next->demand, now));
    }
}

void ServicePool::release(Slot::State &slot, const AttemptEnd *end)
{
    const std::scoped_lock lock(m_mutex);
    const runtime::Instant now = runtime::Clock::now();
    TargetHealth &health = slot.target->health;
    if (!end) {
        health.cancel(slot.kind);
    } else if (health.end(slot.kind, *end, now, ejection())) {
        reportEjectionChange(*slot.target, health.isEjected() ? "failures" : "probe succeeded");
    }
    if (end && *end == AttemptEnd::Succeeded) {
        const auto elapsed = now - slot.since;
        m_holdTime.add(elapsed);
        if (m_latency.size() < MaxTemplates || m_latency.contains(slot.templateId)) {
            m_latency[slot.templateId].add(elapsed);
        }
    }
    m_queue.countEnd(slot.workspace, slot.urgency);
    dispatch(now);
}

Ejection ServicePool::ejection() const
{
    const auto ejected = std::count_if(m_targets.begin(), m_targets.end(), [](const TargetPtr &target) {
        return target->health.isEjected();
    });
    // If most targets fail, the cause is likely the requests or the network rather than the targets.
    const bool isMinority = 2 * (static_cast<std::size_t>(ejected) + 1) <= m_targets.size();
    return isMinority ? Ejection::Allowed : Ejection::Forbidden;
}

void ServicePool::reportEjectionChange(const Target &target, std::string_view reason)
{
    const bool isEjected = target.health.isEjected();
    if (isEjected) {
        m_ejections.add();
    }
    log::write(isEjected ? log::Severity::Warning : log::Severity::Info,
               isEjected ? "target ejected" : "target readmitted",
               {{"service", m_settings.service.value()}, {"agent", target.record.id.value()}, {"reason", std::string(reason)}});
}

std::chrono::nanoseconds ServicePool::hedgeDelay(const base::TemplateId &templateId) const
{
    const std::scoped_lock lock(m_mutex);
    const auto known = m_latency.find(templateId);
    return known == m_latency.end() ? DefaultHighLatency : std::max(MinHedgeDelay, HedgeDelayFactor * known->second.high());
}

void ServicePool::tick()
{
    const std::scoped_lock lock(m_mutex);
    const runtime::Instant now = runtime::Clock::now();
    updateTargets();
    for (const auto &target : m_targets) {
        if (ejection() == Ejection::Allowed && target->health.checkStall(now)) {
            reportEjectionChange(*target, "stalled");
        }
    }
    for (const auto &waiter : m_queue.takeExpired(now)) {
        failWait(std::static_pointer_cast<Waiter>(waiter), absl::DeadlineExceededError("deadline passed before a slot was free"));
    }
    dispatch(now);
}

std::size_t ServicePool::queueLength() const
{
    const std::scoped_lock lock(m_mutex);
    return m_queue.size();
}

} // namespace plantainfork::requests
