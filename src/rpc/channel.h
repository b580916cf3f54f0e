/**
 * Calls to one peer. Keeps one HTTP/2 connection, pings it, gives it up when silent and makes a new one
 * for later calls, since a connection may be silent for good while new ones work.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "rpc/payload_budget.h"
#include "rpc/peer.h"
#include "runtime/clock.h"
#include "wire/codec.h"
#include "wire/member_messages.h"

namespace plantainfork::rpc
{

class Channel
{
public:
    /** Replies that are being received are charged to the budget; without one, the channel has its own. */
    Channel(const boost::asio::any_io_executor &executor, wire::Address peer, Limits limits = {}, std::shared_ptr<PayloadBudget> budget = nullptr);
    ~Channel();

    using Completion = std::function<void(CallResult)>;

    /** May be called from any thread. Never sends a call twice. The completion runs on a thread of the channel's executor and must be brief. */
    void start(std::string_view method, std::string payload, runtime::Instant deadline, Completion completion);
    /** The same for coroutines. */
    boost::asio::awaitable<CallResult> call(std::string_view method, std::string payload, runtime::Instant deadline);

    [[nodiscard]] const wire::Address &peer() const;
    /** Drops the connection, if any; open calls end as Sent. */
    void reset();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

template<typename Reply>
struct TypedResult {
    Delivery delivery = Delivery::NotSent;
    absl::StatusOr<Reply> reply;
};

template<wire::Call Message>
boost::asio::awaitable<TypedResult<typename Message::Reply>> call(Channel &channel, const Message &message, runtime::Instant deadline)
{
    using Reply = typename Message::Reply;
    CallResult result = co_await channel.call(Message::Method, wire::encode(message), deadline);
    if (!result.payload.ok()) {
        co_return TypedResult<Reply>{result.delivery, result.payload.status()};
    }
    co_return TypedResult<Reply>{result.delivery, wire::decode<Reply>(*result.payload)};
}

} // namespace plantainfork::rpc
