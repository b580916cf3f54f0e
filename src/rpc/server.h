/** Serves calls from other daemons: HTTP/2 cleartext by nghttp2, one stream a call. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "rpc/peer.h"
#include "runtime/clock.h"
#include "wire/codec.h"

namespace plantainfork::rpc
{

using Handler = std::function<boost::asio::awaitable<absl::StatusOr<std::string>>(std::string payload)>;

class Server
{
public:
    /** Listens on host (an IP number) and port; port 0 takes a free one. Handlers may run on any thread of the executor. */
    static absl::StatusOr<std::unique_ptr<Server>> create(boost::asio::any_io_executor executor, const std::string &host, std::uint16_t port, Limits limits);
    ~Server();

    /** Must be called before start(). */
    void handle(std::string_view method, Handler handler);
    void start();

    [[nodiscard]] std::uint16_t port() const;
    /** What all sessions hold now, as Limits::totalBytes counts it. */
    [[nodiscard]] std::size_t heldBytes() const;
    /** Calls and replies given up because of a limit since the start. */
    [[nodiscard]] std::uint64_t refusals() const;

    /** Sends GOAWAY, lets open calls finish until the deadline, then closes. Returns the number of calls cut. */
    boost::asio::awaitable<std::size_t> drain(runtime::Instant deadline);

private:
    struct State;
    explicit Server(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

/** Registers a typed handler: awaitable<absl::StatusOr<Call::Reply>>(Call). Undecodable calls get InvalidArgument. */
template<wire::Call Message, typename Function>
void handleCall(Server &server, Function function)
{
    server.handle(Message::Method, [function](std::string payload) -> boost::asio::awaitable<absl::StatusOr<std::string>> {
        absl::StatusOr<Message> message = wire::decode<Message>(payload);
        if (!message.ok()) {
            co_return message.status();
        }
        absl::StatusOr<typename Message::Reply> reply = co_await function(std::move(*message));
        if (!reply.ok()) {
            co_return reply.status();
        }
        co_return wire::encode(*reply);
    });
}

} // namespace plantainfork::rpc
