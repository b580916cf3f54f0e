/**
 * Requests that wait for a slot of one service, in the order in which they will get one. Workspaces below
 * their guaranteed share come first, then urgency, then fairness between workspaces, then the deadline. Urgent
 * requests beyond a guarantee go with the first while such borrowing holds few slots.
 * Pure: holds no clock, lock or coroutine.
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

/** What a request asks of the pool. */
struct Demand {
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    wire::Urgency urgency = wire::Urgency::Normal;
    /** Guaranteed share of the slots, in thousandths. */
    std::uint32_t share = 0;
    runtime::Instant deadline;
    /** Bytes that would cross the link to another region. */
    std::size_t bytes = 0;
    /** Agents tried before; used again only when there is no other. */
    std::vector<base::MemberId> avoid;
};

struct QueueBounds {
    /** Waiting requests of all workspaces together. */
    std::size_t total = 4096;
    /** Waiting requests of one workspace. */
    std::size_t perWorkspace = 1024;
};

class RequestQueue
{
public:
    /** One waiting request; the owner derives from it. */
    struct Waiter {
        Demand demand;

    private:
        friend class RequestQueue;
        std::uint64_t m_sequence = 0;
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    explicit RequestQueue(QueueBounds bounds);

    /** Adds a waiter, unless there is no room. */
    bool add(WaiterPtr waiter);
    /** Returns whether it was waiting. */
    bool remove(const WaiterPtr &waiter);
    /**
     * When there is no room for a request: takes out one that is less urgent, of the same workspace if its own bound
     * is reached, else of the workspace with most such requests. Nothing when there is none.
     */
    WaiterPtr evictFor(const base::WorkspaceId &workspace, wire::Urgency urgency);
    /** The request to serve next among those that `isServable` accepts; it stays in line until removed. */
    [[nodiscard]] WaiterPtr next(double slots, const std::function<bool(const Waiter &)> &isServable) const;
    /** Takes out every request whose deadline is at or before the instant. */
    std::vector<WaiterPtr> takeExpired(runtime::Instant now);

    /** A request of the workspace has got a slot, or has given one back. */
    void countStart(const base::WorkspaceId &workspace, wire::Urgency urgency, std::uint32_t share);
    void countEnd(const base::WorkspaceId &workspace, wire::Urgency urgency);

    [[nodiscard]] std::size_t size() const;
    /** Requests in line at this urgency or above, of one workspace and of all. */
    [[nodiscard]] std::size_t aheadOf(const base::WorkspaceId &workspace, wire::Urgency urgency) const;
    [[nodiscard]] std::size_t aheadOf(wire::Urgency urgency) const;
    /** Whether one more slot would keep the workspace within its guarantee at this urgency. */
    [[nodiscard]] bool isWithinGuarantee(const Demand &demand, double slots) const;
    /** Workspaces that wait or hold slots. */
    [[nodiscard]] std::size_t activeWorkspaces() const;

private:
    struct Position {
        runtime::Instant deadline;
        std::uint64_t sequence = 0;
        auto operator<=>(const Position &) const = default;
    };
    struct Account {
        std::array<std::map<Position, WaiterPtr>, UrgencyCount> waiting;
        /** Slots held, by urgency. */
        std::array<std::size_t, UrgencyCount> running{};
        /** Guaranteed share as last heard, in thousandths. */
        std::uint32_t share = 0;

        [[nodiscard]] std::size_t runningAtOrAbove(std::size_t urgency) const;
        [[nodiscard]] std::size_t waitingCount() const;
        [[nodiscard]] bool isIdle() const;
    };

    /** Slots that urgent requests hold beyond their workspaces' guarantees. */
    [[nodiscard]] double borrowedByUrgent(double slots) const;
    void eraseIfIdle(const base::WorkspaceId &workspace);

    const QueueBounds m_bounds;
    /** Only workspaces that wait or hold slots. */
    std::map<base::WorkspaceId, Account> m_accounts;
    /** Waiters by urgency, over all accounts. */
    std::array<std::size_t, UrgencyCount> m_waiting{};
    std::uint64_t m_nextSequence = 0;
};

} // namespace plantainfork::requests
