/**
 * Priority queue of the requests waiting for a slot of one service. Requests of workspaces below their guaranteed
 * share come first. Within both groups the order is urgency, then fairness between workspaces, then deadline. Urgent
 * requests beyond their guarantee borrow slots: they join the first group while few slots are borrowed.
 * Uses no clock, lock or coroutine.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "runtime/clock.h"
#include "wire/resources.h"

namespace plantainfork::requests
{

constexpr std::size_t UrgencyCount = 3;

/** A request's requirements for a slot. */
struct Demand {
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    wire::Urgency urgency = wire::Urgency::Normal;
    /** Guaranteed share of the slots, in thousandths. */
    std::uint32_t share = 0;
    runtime::Instant deadline;
    /** Bytes to transfer if the request goes to another region. */
    std::size_t bytes = 0;
    /** Agents tried already; used again only if there is no other. */
    std::vector<base::MemberId> avoid;
};

struct QueueBounds {
    /** Maximum number of waiting requests of all workspaces together. */
    std::size_t total = 4096;
    /** Maximum number of waiting requests of one workspace. */
    std::size_t perWorkspace = 1024;
};

class RequestQueue
{
public:
    /** A waiting request. The user of the queue derives from it. */
    struct Waiter {
        Demand demand;

    private:
        friend class RequestQueue;
        std::uint64_t m_sequence = 0;
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    explicit RequestQueue(QueueBounds bounds);

    /** Adds a waiter. Returns false if a bound is reached. */
    bool add(WaiterPtr waiter);
    /** Returns whether the waiter was in the queue. */
    bool remove(const WaiterPtr &waiter);
    /**
     * Removes a less urgent request to make room for one of this workspace and urgency: from the same workspace if
     * its bound is reached, else from the workspace with the most such requests. Returns null if there is none.
     */
    WaiterPtr evictFor(const base::WorkspaceId &workspace, wire::Urgency urgency);
    /** Returns the request to serve next among those that `isServable` accepts. It stays in the queue until removed. */
    [[nodiscard]] WaiterPtr next(double slots, const std::function<bool(const Waiter &)> &isServable) const;
    /** Removes and returns every request whose deadline is at or before the instant. */
    std::vector<WaiterPtr> takeExpired(runtime::Instant now);

    /** Records that a request of the workspace has acquired or released a slot. */
    void countStart(const base::WorkspaceId &workspace, wire::Urgency urgency, std::uint32_t share);
    void countEnd(const base::WorkspaceId &workspace, wire::Urgency urgency);

    [[nodiscard]] std::size_t size() const;
    /** Number of queued requests at this urgency or above, of one workspace or of all. */
    [[nodiscard]] std::size_t aheadOf(const base::WorkspaceId &workspace, wire::Urgency urgency) const;
    [[nodiscard]] std::size_t aheadOf(wire::Urgency urgency) const;
    /** Whether the workspace would stay within its guarantee at this urgency with one more slot. */
    [[nodiscard]] bool isWithinGuarantee(const Demand &demand, double slots) const;
    /** Number of workspaces that wait for or hold slots. */
    [[nodiscard]] std::size_t activeWorkspaces() const;

private:
    struct Position {
        runtime::Instant deadline;
        std::uint64_t sequence = 0;
        auto operator<=>(const Position &) const = default;
    };
    struct WorkspaceState {
        std::array<std::map<Position, WaiterPtr>, UrgencyCount> waiting;
        /** Slots held, by urgency. */
        std::array<std::size_t, UrgencyCount> running{};
        /** Guaranteed share at the latest start of a request, in thousandths. */
        std::uint32_t share = 0;

        [[nodiscard]] std::size_t runningAtOrAbove(std::size_t urgency) const;
        [[nodiscard]] std::size_t waitingCount() const;
        [[nodiscard]] bool isIdle() const;
    };

    /** Number of slots that urgent requests hold beyond their workspaces' guarantees. */
    [[nodiscard]] double borrowedByUrgent(double slots) const;
    void eraseIfIdle(const base::WorkspaceId &workspace);

    const QueueBounds m_bounds;
    /** Only workspaces that wait for or hold slots. */
    std::map<base::WorkspaceId, WorkspaceState> m_workspaces;
    /** Number of waiters by urgency over all workspaces. */
    std::array<std::size_t, UrgencyCount> m_waiting{};
    std::uint64_t m_nextSequence = 0;
};

} // namespace plantainfork::requests
