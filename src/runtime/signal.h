/** Wakes coroutines that wait for something to change. */
#pragma once

#include <list>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/timer.h"

namespace plantainfork::runtime
{

/** All members are used on one thread or strand. A notification without a waiter is lost: waiters check their condition first. */
class Signal
{
public:
    explicit Signal(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    /** Returns at the instant or at the next notification. */
    boost::asio::awaitable<void> waitUntil(Instant until)
    {
        const auto timer = std::make_shared<Timer>(m_executor, until);
        m_waiting.push_back(timer);
        boost::system::error_code ignored;
        co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        m_waiting.remove(timer);
    }

    void notify()
    {
        for (const auto &timer : m_waiting) {
            timer->cancel();
        }
    }

private:
    boost::asio::any_io_executor m_executor;
    std::list<std::shared_ptr<Timer>> m_waiting;
};

} // namespace plantainfork::runtime
