#include "rpc/payload_budget.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "log/log.h"

namespace plantainfork::rpc
{

namespace
{

constexpr std::chrono::seconds LogInterval{1};

} // namespace

PayloadBudget::PayloadBudget(const Limits &limits)
    : m_limit(std::max(limits.totalBytes, limits.payloadBytes + limits.headerListBytes + CallOverheadBytes))
{
}

bool PayloadBudget::tryTake(std::size_t bytes, Use use)
{
    const std::size_t bound = use == Use::Reply ? 2 * m_limit : m_limit;
    std::size_t held = m_held.load(std::memory_order_relaxed);
    do {
        if (held > bound || bytes > bound - held) {
            return false;
        }
    } while (!m_held.compare_exchange_weak(held, held + bytes, std::memory_order_relaxed));
    return true;
}

void PayloadBudget::take(std::size_t bytes)
{
    m_held.fetch_add(bytes, std::memory_order_relaxed);
}

void PayloadBudget::giveBack(std::size_t bytes)
{
    m_held.fetch_sub(bytes, std::memory_order_relaxed);
}

std::size_t PayloadBudget::held() const
{
    return m_held.load(std::memory_order_relaxed);
}

std::size_t PayloadBudget::limit() const
{
    return m_limit;
}

void PayloadBudget::recordRefusal(std::string_view reason, runtime::Instant now)
{
    const std::uint64_t refusals = m_refusals.fetch_add(1, std::memory_order_relaxed) + 1;
    const std::scoped_lock lock(m_logMutex);
    if (now < m_nextLine || refusals <= m_logged) {
        return;
    }
    m_nextLine = now + LogInterval;
    log::write(log::Severity::Warning,
               "calls between daemons refused",
               {{"reason", std::string(reason)}, {"count", std::to_string(refusals - m_logged)}, {"held_bytes", std::to_string(held())}});
    m_logged = refusals;
}

std::uint64_t PayloadBudget::refusals() const
{
    return m_refusals.load(std::memory_order_relaxed);
}

PayloadCharge::PayloadCharge(std::shared_ptr<PayloadBudget> budget)
    : m_budget(std::move(budget))
{
}

PayloadCharge::~PayloadCharge()
{
    m_budget->giveBack(m_bytes);
}

bool PayloadCharge::tryResize(std::size_t bytes, PayloadBudget::Use use)
{
    if (bytes > m_bytes && !m_budget->tryTake(bytes - m_bytes, use)) {
        return false;
    }
    if (bytes < m_bytes) {
        m_budget->giveBack(m_bytes - bytes);
    }
    m_bytes = bytes;
    return true;
}

void PayloadCharge::resize(std::size_t bytes)
{
    if (bytes > m_bytes) {
        m_budget->take(bytes - m_bytes);
    } else {
        m_budget->giveBack(m_bytes - bytes);
    }
    m_bytes = bytes;
}

std::size_t PayloadCharge::bytes() const
{
    return m_bytes;
}

} // namespace plantainfork::rpc
