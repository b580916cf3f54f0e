/** Runs several coroutines at once and waits for all of them. */
#pragma once

#include <cstddef>
#include <exception>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/timer.h"

namespace plantainfork::runtime
{

/**
 * Results in the order of the coroutines. They run on one strand over the executor, so that they interleave
 * but never run at the same time. An exception in one is rethrown after all have ended.
 */
template<typename T>
boost::asio::awaitable<std::vector<T>> gather(boost::asio::any_io_executor executor, std::vector<boost::asio::awaitable<T>> coroutines)
{
    struct Shared {
        explicit Shared(const boost::asio::any_io_executor &strand, std::size_t count)
            : results(count)
            , left(count)
            , allDone(strand, Instant::max())
        {
        }

        std::vector<std::optional<T>> results;
        std::size_t left;
        std::exception_ptr failure;
        Timer allDone;
    };
    const boost::asio::any_io_executor strand = boost::asio::make_strand(executor);
    const auto shared = std::make_shared<Shared>(strand, coroutines.size());
    auto wait = [](std::shared_ptr<Shared> state) -> boost::asio::awaitable<bool> {
        while (state->left > 0) {
            boost::system::error_code ignored;
            co_await state->allDone.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        co_return true;
    };
    for (std::size_t i = 0; i < coroutines.size(); ++i) {
        boost::asio::co_spawn(strand, std::move(coroutines[i]), [shared, i](std::exception_ptr failure, T value) {
            shared->failure = failure ? failure : shared->failure;
            shared->results[i].emplace(std::move(value));
            if (--shared->left == 0) {
                shared->allDone.cancel();
            }
        });
    }
    co_await boost::asio::co_spawn(strand, wait(shared), boost::asio::use_awaitable);
    if (shared->failure) {
        std::rethrow_exception(shared->failure);
    }
    std::vector<T> results;
    results.reserve(shared->results.size());
    for (auto &result : shared->results) {
        results.push_back(std::move(*result));
    }
    co_return results;
}

} // namespace plantainfork::runtime
