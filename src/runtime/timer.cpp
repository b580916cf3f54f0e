#include "runtime/timer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainfork::runtime
{

boost::asio::awaitable<void> sleepFor(Clock::duration duration)
{
    co_await sleepUntil(Clock::now() + duration);
}

boost::asio::awaitable<void> sleepUntil(Instant instant)
{
    Timer timer(co_await boost::asio::this_coro::executor, instant);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace plantainfork::runtime
