/** Values that any thread posts and one coroutine takes, in order. */
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/defer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainfork::rpc
{

/** Held by shared pointer, as whoever posts may outlive the coroutine that takes. */
template<typename T>
class Mailbox
{
public:
    void post(T value)
    {
        std::function<void()> resume;
        {
            const std::scoped_lock lock(m_mutex);
            m_values.push_back(std::move(value));
            resume = std::exchange(m_resume, nullptr);
        }
        if (resume) {
            resume();
        }
    }

    /** One coroutine at a time may take; it resumes on its own executor. */
    boost::asio::awaitable<T> take()
    {
        if (isEmpty()) {
            auto initiate = [this](auto handler) {
                suspend(std::move(handler));
            };
            co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(std::move(initiate), boost::asio::use_awaitable);
        }
        const std::scoped_lock lock(m_mutex);
        T value = std::move(m_values.front());
        m_values.pop_front();
        co_return value;
    }

private:
    [[nodiscard]] bool isEmpty() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_values.empty();
    }

    template<typename Handler>
    void suspend(Handler handler)
    {
        const auto executor = boost::asio::get_associated_executor(handler);
        const auto shared = std::make_shared<Handler>(std::move(handler));
        std::function<void()> resume = [shared, executor] {
            boost::asio::defer(executor, [shared] {
                (*shared)();
            });
        };
        {
            const std::scoped_lock lock(m_mutex);
            if (m_values.empty()) {
                m_resume = std::move(resume);
                return;
            }
        }
        resume();
    }

    mutable std::mutex m_mutex;
    /** Guarded by m_mutex. */
    std::deque<T> m_values;
    /** Resumes the coroutine that waits, if any; guarded by m_mutex. */
    std::function<void()> m_resume;
};

} // namespace plantainfork::rpc
