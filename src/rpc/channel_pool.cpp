#include "rpc/channel_pool.h"

#include <utility>

namespace plantainfork::rpc
{

ChannelPool::ChannelPool(boost::asio::any_io_executor executor, Limits limits)
    : m_executor(std::move(executor))
    , m_limits(limits)
    , m_budget(std::make_shared<PayloadBudget>(limits))
{
}

std::shared_ptr<Channel> ChannelPool::to(const wire::Address &peer)
{
    const std::scoped_lock lock(m_mutex);
    auto &channel = m_channels[peer];
    if (!channel) {
        channel = std::make_shared<Channel>(m_executor, peer, m_limits, m_budget);
    }
    return channel;
}

void ChannelPool::forget(const wire::Address &peer)
{
    const std::scoped_lock lock(m_mutex);
    m_channels.erase(peer);
}

} // namespace plantainfork::rpc
