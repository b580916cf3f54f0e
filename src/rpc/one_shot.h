/** A value that one side sets once, from any thread, and one coroutine waits for. */
#pragma once

#include <atomic>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "rpc/mailbox.h"

namespace plantainfork::rpc
{

template<typename T>
class OneShot
{
public:
    /** The first value counts. Returns whether this was it. */
    bool set(T value)
    {
        if (m_isSet.exchange(true)) {
            return false;
        }
        m_box.post(std::move(value));
        return true;
    }

    /** May be awaited once. The object must outlive the wait. */
    boost::asio::awaitable<T> wait()
    {
        return m_box.take();
    }

private:
    std::atomic<bool> m_isSet{false};
    Mailbox<T> m_box;
};

} // namespace plantainfork::rpc
