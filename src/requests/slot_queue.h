/**
 * The agent's queue for the executor's slots. Limits the number of attempts running at once. At most the same
 * number wait, ordered by urgency and deadline. A further attempt takes the place of a less urgent one or is refused.
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

/** Thread-safe. */
class SlotQueue
{
public:
    enum class Admission {
        Granted,
        /** The queue is full, a more urgent attempt took the place, or no slot became free before the deadline. */
        Refused,
    };

    /** Sets the number of attempts that may run at once. A lower number takes effect as attempts end. */
    void setSlots(std::size_t count);

    /** Waits for a slot until the deadline. Each Granted must be followed by release(). */
    boost::asio::awaitable<Admission> acquire(wire::Urgency urgency, runtime::Instant deadline);
    void release();

    [[nodiscard]] std::size_t inUse() const;
    /** Number of slots that are neither in use nor needed by a waiting attempt. */
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
    /** Guarded by m_mutex, as are the members below. */
    std::size_t m_slots = 0;
    /** Exceeds m_slots only after the number of slots was lowered. */
    std::size_t m_inUse = 0;
    /** At most m_slots waiters. */
    std::map<Position, Waiter> m_waiting;
    std::uint64_t m_nextSequence = 0;
};

} // namespace plantainfork::requests
