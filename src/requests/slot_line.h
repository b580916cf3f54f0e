/**
 * The agent's line for the executor's slots: so many attempts run at once, a few more wait in order of
 * urgency and deadline, the rest is refused at once.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

#include <boost/asio/awaitable.hpp>

#include "rpc/one_shot.h"
#include "runtime/clock.h"
#include "wire/resources.h"

namespace plantainfork::requests
{

/** Safe for use from several threads. */
class SlotQueue
{
public:
    enum class Admission {
        Granted,
        /** The line is full, or the wait is over without a slot. */
        Refused,
    };

    /** Number of attempts that may run at once; a lower number takes effect as attempts end. */
    void setSlots(std::size_t count);

    /** Takes a slot, waiting in line until the deadline. Each Taken must be followed by leave(). */
    boost::asio::awaitable<Admission> acquire(wire::Urgency urgency, runtime::Instant deadline);
    void release();

    [[nodiscard]] std::size_t inUse() const;
    [[nodiscard]] std::size_t freeSlots() const;

private:
    struct Position {
        wire::Urgency urgency;
        runtime::Instant deadline;
        std::uint64_t sequence;

        auto operator<=>(const Position &) const = default;
    };
    using Waiter = std::shared_ptr<rpc::OneShot<Admission>>;

    void grantToWaiters();
    void expireWaiter(const Position &position);

    mutable std::mutex m_mutex;
    /** Guarded by m_mutex, as all below. */
    std::size_t m_slots = 0;
    /** May exceed m_slots only after the number of slots was lowered. */
    std::size_t m_inUse = 0;
    /** At most m_slots waiters. */
    std::map<Position, Waiter> m_waiting;
    std::uint64_t m_nextSequence = 0;
};

} // namespace plantainfork::requests
