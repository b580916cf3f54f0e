/** Channels by address, made on demand and shared by all who call the same peer. */
#pragma once

#include <map>
#include <memory>
#include <mutex>

#include <boost/asio/any_io_executor.hpp>

#include "rpc/channel.h"

namespace plantainfork::rpc
{

class ChannelPool
{
public:
    explicit ChannelPool(boost::asio::any_io_executor executor, Limits limits = {});

    std::shared_ptr<Channel> to(const wire::Address &peer);
    /** Forgets a peer that has left; calls in flight go on. */
    void forget(const wire::Address &peer);

private:
    boost::asio::any_io_executor m_executor;
    Limits m_limits;
    /** Of the replies that all channels receive. */
    std::shared_ptr<PayloadBudget> m_budget;
    std::mutex m_mutex;
    /** Guarded by m_mutex. */
    std::map<wire::Address, std::shared_ptr<Channel>> m_channels;
};

} // namespace plantainfork::rpc
