/** HTTP/1.1 server over Beast: one coroutine a connection, keep-alive, bounded sizes, graceful stop. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/message.h"
#include "http/receive_budget.h"
#include "metrics/registry.h"
#include "runtime/clock.h"

namespace plantainfork::http
{

using Handler = std::function<boost::asio::awaitable<Response>(Request)>;

/** What a listener shares with the others of its process, and its name among them. */
struct ListenerContext {
    /** Label of its metrics, and a field of its log lines. */
    std::string name = "http";
    /** Null: memory is bounded for each connection only. */
    std::shared_ptr<ReceiveBudget> budget;
    /** Null: nothing is counted. It must outlive the work of all connections. */
    metrics::Registry *registry = nullptr;
};

class Server
{
public:
    /**
     * Listens on host (an IP number) and port; port 0 takes a free one. Each connection runs on a strand of
     * its own over the executor, so handlers run on all its threads at once. The server must outlive the executor's work.
     */
    static absl::StatusOr<std::unique_ptr<Server>>
    create(boost::asio::any_io_executor executor, const std::string &host, std::uint16_t port, Limits limits, Handler handler, ListenerContext context = {});
    ~Server();

    [[nodiscard]] std::uint16_t port() const;

    /**
     * Stops accepting, lets requests in flight finish and closes connections that stay idle for 100 ms. What has no answer at the deadline
     * is answered then: 503 if its method changes nothing, 504 otherwise. Returns when all connections are closed, at the latest 200 ms
     * after the deadline, with the number of those then cut before their last answer.
     */
    boost::asio::awaitable<std::size_t> drain(runtime::Instant deadline);

private:
    struct State;
    explicit Server(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace plantainfork::http
