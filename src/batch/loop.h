/**
 * Runs the loops of a daemon that must not end. An exception that nobody expected would otherwise end its coroutine without a trace, and
 * leave a process that looks alive but no longer renews a lease or reads its messages.
 */
#pragma once

#include <chrono>
#include <exception>
#include <functional>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "log/log.h"
#include "runtime/timer.h"

namespace plantainfork::batch
{

/** Delay before a loop that has failed begins again, so that a lasting cause doesn't fill the log or the processor. */
constexpr std::chrono::milliseconds LoopRestartDelay{200};

using Loop = std::function<boost::asio::awaitable<void>()>;
/** Called after a failure, before the loop begins again. */
using LoopFailed = std::function<void()>;

inline boost::asio::awaitable<void> runLoop(std::string name, Loop loop, LoopFailed failed)
{
    while (true) {
        std::string reason;
        try {
            co_await loop();
            co_return;
        } catch (const std::exception &error) {
            reason = error.what();
        }
        log::write(log::Severity::Error, "loop failed", {{"loop", name}, {"reason", reason}});
        if (failed) {
            failed();
        }
        co_await runtime::sleepFor(LoopRestartDelay);
    }
}

/** Text of an exception, for the log. */
[[nodiscard]] inline std::string describeFailure(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        return error.what();
    }
}

/** Starts a loop; it begins again after an exception and is over when it returns. */
inline void spawnLoop(const boost::asio::any_io_executor &executor, std::string name, Loop loop, LoopFailed failed = {})
{
    boost::asio::co_spawn(executor, runLoop(std::move(name), std::move(loop), std::move(failed)), boost::asio::detached);
}

} // namespace plantainfork::batch
