#include "requests/slot_queue.h"

#include <iterator>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include "runtime/timer.h"

namespace plantainfork::requests
{

namespace asio = boost::asio;

void SlotQueue::setSlots(std::size_t count)
{
    const std::scoped_lock lock(m_mutex);
    m_slots = count;
    grantToWaiters();
}

void SlotQueue::grantToWaiters()
{
    while (m_inUse < m_slots && !m_waiting.empty()) {
        const auto first = m_waiting.begin();
        ++m_inUse;
        first->second->set(Admission::Granted);
        m_waiting.erase(first);
    }
}

void SlotQueue::expireWaiter(const Position &position)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_waiting.find(position);
    if (found != m_waiting.end()) {
        found->second->set(Admission::Refused);
        m_waiting.erase(found);
    }
}

asio::awaitable<SlotQueue::Admission> SlotQueue::acquire(wire::Urgency urgency, runtime::Instant deadline)
{
    const auto waiter = std::make_shared<rpc::OneShot<Admission>>();
    Position position{urgency, deadline, 0};
    {
        const std::scoped_lock lock(m_mutex);
        if (m_inUse < m_slots && m_waiting.empty()) {
            ++m_inUse;
            co_return Admission::Granted;
        }
        if (m_waiting.size() >= m_slots) {
            // Evict the last waiter if it is less urgent.
            const auto last = m_waiting.empty() ? m_waiting.end() : std::prev(m_waiting.end());
            if (last == m_waiting.end() || last->first.urgency <= urgency) {
                co_return Admission::Refused;
            }
            last->second->set(Admission::Refused);
            m_waiting.erase(last);
        }
        position.sequence = m_nextSequence++;
        m_waiting.emplace(position, waiter);
    }
    runtime::Timer timer(co_await asio::this_coro::executor, deadline);
    timer.async_wait([this, position](boost::system::error_code error) {
        if (!error) {
            expireWaiter(position);
        }
    });
    co_return co_await waiter->wait();
}

void SlotQueue::release()
{
    const std::scoped_lock lock(m_mutex);
    --m_inUse;
    grantToWaiters();
}

std::size_t SlotQueue::inUse() const
{
    const std::scoped_lock lock(m_mutex);
    return m_inUse;
}

std::size_t SlotQueue::freeSlots() const
{
    const std::scoped_lock lock(m_mutex);
    const std::size_t taken = m_inUse + m_waiting.size();
    return taken < m_slots ? m_slots - taken : 0;
}

} // namespace plantainfork::requests
