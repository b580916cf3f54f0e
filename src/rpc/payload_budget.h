/**
 * What all sessions of a server, or of a pool of channels, may hold at a time. Each session bounds its own payloads and streams, but
 * the product of those bounds with the number of connections is far above the memory of a host.
 */
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>

#include "rpc/peer.h"
#include "runtime/clock.h"

namespace plantainfork::rpc
{

/** Members may be called from any thread. */
class PayloadBudget
{
public:
    enum class Use {
        /** A payload that arrives: up to the limit. */
        Arrival,
        /** A reply of a handler that has run: up to twice the limit, so that arrivals can't displace the replies of finished calls. */
        Reply,
    };

    /** The limit is at least one payload of the largest size, so that it always fits when nothing else is held. */
    explicit PayloadBudget(const Limits &limits);

    [[nodiscard]] bool tryTake(std::size_t bytes, Use use);
    /** For bytes that exist already. */
    void take(std::size_t bytes);
    void giveBack(std::size_t bytes);

    [[nodiscard]] std::size_t held() const;
    [[nodiscard]] std::size_t limit() const;

    /** Counts a call or reply that was given up because of a limit; writes at most one log line a second. */
    void recordRefusal(std::string_view reason, runtime::Instant now);
    [[nodiscard]] std::uint64_t refusals() const;

private:
    const std::size_t m_limit;
    std::atomic<std::size_t> m_held{0};
    std::atomic<std::uint64_t> m_refusals{0};
    std::mutex m_logMutex;
    /** Guarded by m_logMutex. */
    runtime::Instant m_nextLine = runtime::Instant::min();
    /** Refusals told of in a log line; guarded by m_logMutex. */
    std::uint64_t m_logged = 0;
};

/** A share of a budget, given back on destruction. Used by one thread at a time. */
class PayloadCharge
{
public:
    explicit PayloadCharge(std::shared_ptr<PayloadBudget> budget);
    ~PayloadCharge();
    PayloadCharge(const PayloadCharge &) = delete;
    PayloadCharge &operator=(const PayloadCharge &) = delete;

    /** Takes or gives back the difference to what is charged now. Returns false, without change, when there is no room for more. */
    [[nodiscard]] bool tryResize(std::size_t bytes, PayloadBudget::Use use);
    /** The same for bytes that exist already. */
    void resize(std::size_t bytes);
    [[nodiscard]] std::size_t bytes() const;

private:
    std::shared_ptr<PayloadBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace plantainfork::rpc
