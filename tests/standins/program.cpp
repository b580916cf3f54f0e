#include "standins/program.h"

#include <iostream>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <docopt.h>

#include "http/client.h"
#include "runtime/timer.h"

namespace plantainfork::standins
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds AnnounceRetryInterval{200};
constexpr std::chrono::seconds CallTimeout{2};

asio::awaitable<http::Exchange> exchange(const Endpoint &to, const std::string &target, std::string body)
{
    http::Client client(co_await asio::this_coro::executor, to.host, to.port, 1);
    http::Request request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = std::move(body);
    co_return co_await client.send(std::move(request), runtime::Clock::now() + CallTimeout);
}

asio::awaitable<void> waitForSignal(std::function<asio::awaitable<int>()> stop, int *exitCode)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::signal_set signals(executor, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    *exitCode = co_await stop();
}

} // namespace

Endpoint Endpoint::parse(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("not host:port: " + text);
    }
    const int port = std::stoi(text.substr(colon + 1));
    if (port < 0 || port > 65535) {
        throw std::invalid_argument("port out of range: " + text);
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::string Endpoint::text() const
{
    return host + ":" + std::to_string(port);
}

std::map<std::string, std::string> parseOptions(const char *usage, int argc, char **argv)
{
    std::map<std::string, std::string> options;
    for (const auto &[name, value] : docopt::docopt(usage, {argv + 1, argv + argc}, true)) {
        if (value.isString()) {
            options[name] = value.asString();
        } else if (value.isBool()) {
            options[name] = value.asBool() ? "true" : "";
        }
    }
    return options;
}

std::unique_ptr<http::Server> listen(asio::io_context &context, const Endpoint &endpoint, http::Handler handler)
{
    http::Limits limits;
    limits.bodyBytes = 8 * 1024 * 1024;
    auto server = http::Server::create(context.get_executor(), endpoint.host, endpoint.port, limits, std::move(handler));
    if (!server.ok()) {
        std::cerr << server.status().message() << '\n';
        std::exit(1);
    }
    return std::move(*server);
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(runtime::Clock::now().time_since_epoch()).count();
}

Recorder::Recorder(const std::string &path)
{
    if (!path.empty()) {
        m_file.open(path, std::ios::app);
    }
}

void Recorder::append(const Json &line)
{
    if (m_file.is_open()) {
        m_file << line.dump() << std::endl;
    }
}

http::Response answer(const Json &body, unsigned status)
{
    return http::Response::json(status, body.dump());
}

std::string readyLine(const http::Server &server, const http::Server *control)
{
    std::string line = "listening " + Endpoint{"127.0.0.1", server.port()}.text();
    if (control != nullptr) {
        line += " control " + Endpoint{"127.0.0.1", control->port()}.text();
    }
    return line;
}

int serve(asio::io_context &context, const std::string &readyLine, std::function<asio::awaitable<int>()> stop)
{
    int exitCode = 1;
    asio::co_spawn(context, waitForSignal(std::move(stop), &exitCode), [&context](const std::exception_ptr &) {
        context.stop();
    });
    std::cout << readyLine << std::endl;
    context.run();
    return exitCode;
}

asio::awaitable<void> keepAnnouncing(Endpoint agent, std::function<std::optional<Json>()> announcement, std::function<void(runtime::Instant)> answered)
{
    while (true) {
        const auto body = announcement();
        if (!body) {
            co_return;
        }
        const auto sent = runtime::Clock::now();
        const auto result = co_await exchange(agent, "/v1/announce", body->dump());
        std::chrono::milliseconds interval = AnnounceRetryInterval;
        if (result.response.ok() && result.response->status == 200) {
            if (answered) {
                answered(sent);
            }
            const Json reply = Json::parse(result.response->body, nullptr, false);
            interval = std::chrono::milliseconds(reply.is_object() ? reply.value("nextMs", AnnounceRetryInterval.count()) : AnnounceRetryInterval.count());
        }
        co_await runtime::sleepFor(interval);
    }
}

asio::awaitable<unsigned> post(Endpoint to, std::string target, Json body)
{
    co_return co_await postText(std::move(to), std::move(target), body.dump());
}

asio::awaitable<unsigned> postText(Endpoint to, std::string target, std::string body)
{
    const auto result = co_await exchange(to, target, std::move(body));
    co_return result.response.ok() ? result.response->status : 0;
}

} // namespace plantainfork::standins
