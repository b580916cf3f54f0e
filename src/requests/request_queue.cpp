#include "requests/request_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <numeric>
#include <tuple>
#include <utility>

namespace plantainfork::requests
{

namespace
{

constexpr double ShareScale = 1000.0;
/** Weight in thousandths, added to each workspace's share when slots beyond the guarantees are divided. */
constexpr double BaseWeight = 50.0;
/** Maximum share of the slots that urgent requests may use beyond their workspaces' guarantees. */
constexpr double UrgentBorrowing = 0.08;

std::size_t indexOf(wire::Urgency urgency)
{
    return static_cast<std::size_t>(urgency);
}

} // namespace

std::size_t RequestQueue::WorkspaceState::runningAtOrAbove(std::size_t urgency) const
{
    return std::accumulate(running.begin(), running.begin() + static_cast<std::ptrdiff_t>(urgency) + 1, std::size_t{0});
}

std::size_t RequestQueue::WorkspaceState::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &group : waiting) {
        count += group.size();
    }
    return count;
}

bool RequestQueue::WorkspaceState::isIdle() const
{
    return waitingCount() == 0 && runningAtOrAbove(UrgencyCount - 1) == 0;
}

RequestQueue::RequestQueue(QueueBounds bounds)
    : m_bounds(bounds)
{
}

bool RequestQueue::add(WaiterPtr waiter)
{
    if (size() >= m_bounds.total) {
        return false;
    }
    WorkspaceState &state = m_workspaces[waiter->demand.workspace];
    if (state.waitingCount() >= m_bounds.perWorkspace) {
        return false;
    }
    const std::size_t urgency = indexOf(waiter->demand.urgency);
    waiter->m_sequence = m_nextSequence++;
    const Position position{waiter->demand.deadline, waiter->m_sequence};
    state.waiting[urgency].emplace(position, std::move(waiter));
    ++m_waiting[urgency];
    return true;
}

bool RequestQueue::remove(const WaiterPtr &waiter)
{
    const auto state = m_workspaces.find(waiter->demand.workspace);
    if (state == m_workspaces.end()) {
        return false;
    }
    const std::size_t urgency = indexOf(waiter->demand.urgency);
    const bool wasWaiting = state->second.waiting[urgency].erase({waiter->demand.deadline, waiter->m_sequence}) > 0;
    if (wasWaiting) {
        --m_waiting[urgency];
        eraseIfIdle(waiter->demand.workspace);
    }
    return wasWaiting;
}

RequestQueue::WaiterPtr RequestQueue::evictFor(const base::WorkspaceId &workspace, wire::Urgency urgency)
{
    const auto ownState = m_workspaces.find(workspace);
    const bool isWorkspaceFull = ownState != m_workspaces.end() && ownState->second.waitingCount() >= m_bounds.perWorkspace;
    for (std::size_t level = UrgencyCount - 1; level > indexOf(urgency); --level) {
        const WorkspaceState *longest = isWorkspaceFull ? &ownState->second : nullptr;
        for (const auto &[name, state] : m_workspaces) {
            const bool isLonger = !longest || state.waiting[level].size() > longest->waiting[level].size();
            longest = !isWorkspaceFull && isLonger ? &state : longest;
        }
        if (longest && !longest->waiting[level].empty()) {
            WaiterPtr last = std::prev(longest->waiting[level].end())->second;
            remove(last);
            return last;
        }
    }
    return nullptr;
}

RequestQueue::WaiterPtr RequestQueue::next(double slots, const std::function<bool(const Waiter &)> &isServable) const
{
    using Rank = std::tuple<bool, std::size_t, double, Position>;
    std::optional<Rank> bestRank;
    WaiterPtr best;
    const bool canBorrow = borrowedByUrgent(slots) + 1 <= UrgentBorrowing * slots;
    for (const auto &[workspace, state] : m_workspaces) {
        for (std::size_t urgency = 0; urgency < UrgencyCount; ++urgency) {
            if (state.waiting[urgency].empty()) {
                continue;
            }
            const auto &[position, waiter] = *state.waiting[urgency].begin();
            // Only running requests of at least the same urgency count against the guarantee, so that a workspace's
            // patient requests never use up the guarantee of its urgent ones.
            const auto running = static_cast<double>(state.runningAtOrAbove(urgency));
            const bool isBorrowing = urgency == indexOf(wire::Urgency::Urgent) && canBorrow;
            const bool isOverGuarantee = !isBorrowing && running + 1 > waiter->demand.share / ShareScale * slots;
            const double weight = isOverGuarantee ? waiter->demand.share + BaseWeight : std::max(waiter->demand.share, 1U);
            const double normalizedUsage = running / weight;
            const Rank rank{isOverGuarantee, urgency, normalizedUsage, position};
            if ((!bestRank || rank < *bestRank) && isServable(*waiter)) {
                bestRank = rank;
                best = waiter;
            }
        }
    }
    return best;
}

double RequestQueue::borrowedByUrgent(double slots) const
{
    double borrowed = 0;
    for (const auto &[workspace, state] : m_workspaces) {
        const auto urgent = static_cast<double>(state.running[indexOf(wire::Urgency::Urgent)]);
        borrowed += std::max(0.0, urgent - state.share / ShareScale * slots);
    }
    return borrowed;
}

std::vector<RequestQueue::WaiterPtr> RequestQueue::takeExpired(runtime::Instant now)
{
    std::vector<WaiterPtr> expired;
    for (const auto &[workspace, state] : m_workspaces) {
        for (const auto &group : state.waiting) {
            for (auto next = group.begin(); next != group.end() && next->first.deadline <= now; ++next) {
                expired.push_back(next->second);
            }
        }
    }
    for (const auto &waiter : expired) {
        remove(waiter);
    }
    return expired;
}

void RequestQueue::countStart(const base::WorkspaceId &workspace, wire::Urgency urgency, std::uint32_t share)
{
    WorkspaceState &state = m_workspaces[workspace];
    state.share = share;
    ++state.running[indexOf(urgency)];
}

void RequestQueue::countEnd(const base::WorkspaceId &workspace, wire::Urgency urgency)
{
    std::size_t &running = m_workspaces.at(workspace).running[indexOf(urgency)];
    assert(running > 0);
    --running;
    eraseIfIdle(workspace);
}

void RequestQueue::eraseIfIdle(const base::WorkspaceId &workspace)
{
    const auto state = m_workspaces.find(workspace);
    if (state != m_workspaces.end() && state->second.isIdle()) {
        m_workspaces.erase(state);
    }
}

std::size_t RequestQueue::size() const
{
    return std::accumulate(m_waiting.begin(), m_waiting.end(), std::size_t{0});
}

std::size_t RequestQueue::aheadOf(const base::WorkspaceId &workspace, wire::Urgency urgency) const
{
    const auto state = m_workspaces.find(workspace);
    if (state == m_workspaces.end()) {
        return 0;
    }
    std::size_t count = 0;
    for (std::size_t level = 0; level <= indexOf(urgency); ++level) {
        count += state->second.waiting[level].size();
    }
    return count;
}

std::size_t RequestQueue::aheadOf(wire::Urgency urgency) const
{
    return std::accumulate(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(indexOf(urgency)) + 1, std::size_t{0});
}

bool RequestQueue::isWithinGuarantee(const Demand &demand, double slots) const
{
    const auto state = m_workspaces.find(demand.workspace);
    const std::size_t running = state == m_workspaces.end() ? 0 : state->second.runningAtOrAbove(indexOf(demand.urgency));
    return static_cast<double>(running) + 1 <= demand.share / ShareScale * slots;
}

std::size_t RequestQueue::activeWorkspaces() const
{
    return m_workspaces.size();
}

} // namespace plantainfork::requests
