/**
 * The memory that the HTTP listeners of a process may hold for unfinished requests and unread responses. It bounds clients that open
 * many requests and finish none, or leave responses unread. In memory only: empty after a restart.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <mutex>

#include "http/overload.h"
#include "metrics/registry.h"
#include "runtime/clock.h"

namespace plantainfork::http
{

/** May be used from several threads. */
class ReceiveBudget : public std::enable_shared_from_this<ReceiveBudget>
{
public:
    static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

    /** What one connection holds. Used on the connection's strand; isShed() on any thread. */
    class Account
    {
    public:
        ~Account();
        Account(const Account &) = delete;
        Account &operator=(const Account &) = delete;

        /**
         * Claims `bytes` in total for an unfinished request that began to arrive at `begin`. Requests and responses of other connections
         * are given up if the budget is insufficient. False if this request is the one to give up; what it holds is unchanged then.
         */
        [[nodiscard]] bool holdRequest(std::size_t bytes, runtime::Instant begin);
        /**
         * Claims `bytes` in total for a response. Responses and requests of other connections are given up if the budget is insufficient.
         * As these leave only when their connections get to it, false if they still hold more than the limit and none holds a larger
         * response than this one: it has to be given up at once then.
         */
        [[nodiscard]] bool holdResponse(std::size_t bytes, runtime::Instant begin);
        /** The request has been received completely, or the response has been read: what is left is not given up any more. */
        void settle(std::size_t bytes);

        /** The request or response has to be given up for another one. */
        [[nodiscard]] bool isShed() const;

    private:
        friend class ReceiveBudget;
        Account(std::shared_ptr<ReceiveBudget> budget, std::function<void()> shed);

        const std::shared_ptr<ReceiveBudget> m_budget;
        const std::function<void()> m_shed;
        /** The members below are guarded by the budget's mutex. */
        Holding m_holding;
        bool m_isShed = false;
        std::list<Account *>::iterator m_place;
    };

    /** The registry, if any, gets the gauges of the budget and must outlive the work of all connections. */
    static std::shared_ptr<ReceiveBudget> create(std::size_t limitBytes, metrics::Registry *registry = nullptr);

    /** Raises the limit so that a single request of that size fits. True if it was lower. */
    bool ensureAtLeast(std::size_t bytes);
    /** `shed` is called on any thread when the account's request or response has to be given up; it must return at once and not use the budget. */
    [[nodiscard]] std::unique_ptr<Account> open(std::function<void()> shed);

    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::size_t limitBytes() const;

private:
    explicit ReceiveBudget(std::size_t limitBytes);
    bool claim(Account &account, const Holding &next);
    [[nodiscard]] Account *accountToShed(const Account &claimant, const Holding &next) const;
    [[nodiscard]] bool isLargestResponse(const Account &claimant, const Holding &next) const;
    void apply(Account &account, const Holding &next);
    void publish();

    mutable std::mutex m_mutex;
    /** The members below are guarded by the mutex. */
    std::size_t m_limit;
    std::size_t m_held = 0;
    /** Part of m_held whose connections have been told to give it up. */
    std::size_t m_leaving = 0;
    std::list<Account *> m_accounts;
    metrics::Gauge *m_heldGauge = nullptr;
    metrics::Gauge *m_limitGauge = nullptr;
};

} // namespace plantainfork::http
