/** A small HTTP/1.1 server and client on one thread, and the processes of the daemons. */
#pragma once

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace world
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;
using Task = asio::awaitable<void>;

struct Address {
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const
    {
        return host + ":" + std::to_string(port);
    }
    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return {asio::ip::make_address(host), port};
    }
};

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string host;
    std::string key;
    std::string expectedInstance;
    std::string body;
};

/** Status 0: no answer. */
struct Reply {
    unsigned status = 0;
    std::string body;
};

using Handler = std::function<asio::awaitable<Reply>(Request)>;

inline asio::awaitable<void> pause(std::chrono::milliseconds time)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, time);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

inline std::string decodePercent(std::string_view text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain.push_back(static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        } else {
            plain.push_back(text[i]);
        }
    }
    return plain;
}

/** Listens until it is closed; closing resets what is open. */
class Server
{
public:
    Server(asio::any_io_executor executor, const Address &address, Handler handler)
        : m_state(std::make_shared<State>(State{tcp::acceptor(executor), std::move(handler), {}, false}))
    {
        m_state->acceptor.open(tcp::v4());
        m_state->acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_state->acceptor.bind(address.endpoint());
        m_state->acceptor.listen();
        asio::co_spawn(executor, accept(m_state), asio::detached);
    }
    ~Server()
    {
        boost::system::error_code ignored;
        m_state->isClosed = true;
        m_state->acceptor.close(ignored);
        for (const auto &open : m_state->open) {
            if (const auto stream = open.lock()) {
                stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
                stream->socket().close(ignored);
            }
        }
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

private:
    struct State {
        tcp::acceptor acceptor;
        Handler handler;
        std::vector<std::weak_ptr<beast::tcp_stream>> open;
        bool isClosed = false;
    };

    static Task accept(std::shared_ptr<State> state)
    {
        while (!state->isClosed) {
            boost::system::error_code error;
            tcp::socket socket = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            socket.set_option(tcp::no_delay(true), error);
            std::erase_if(state->open, [](const auto &open) {
                return open.expired();
            });
            const auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
            state->open.push_back(stream);
            asio::co_spawn(state->acceptor.get_executor(), serve(state, stream), asio::detached);
        }
    }

    static Task serve(std::shared_ptr<State> state, std::shared_ptr<beast::tcp_stream> stream)
    {
        beast::flat_buffer buffer;
        while (!state->isClosed) {
            beast::http::request_parser<beast::http::string_body> parser;
            parser.body_limit(16 * 1024 * 1024);
            boost::system::error_code error;
            co_await beast::http::async_read(*stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            const auto message = parser.release();
            Request request;
            request.method = std::string(message.method_string());
            const std::string target(message.target());
            const auto mark = target.find('?');
            request.path = target.substr(0, mark);
            for (std::size_t at = mark; at != std::string::npos;) {
                const auto next = target.find('&', at + 1);
                const std::string part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
                const auto equals = part.find('=');
                request.query[part.substr(0, equals)] = equals == std::string::npos ? "" : decodePercent(part.substr(equals + 1));
                at = next;
            }
            request.expectedInstance = std::string(message["X-Plantainfork-Expected-Instance"]);
            request.body = message.body();
            const Reply reply = co_await state->handler(std::move(request));
            if (reply.status == 0 || state->isClosed) {
                boost::system::error_code ignored;
                stream->socket().close(ignored);
                co_return;
            }
            beast::http::response<beast::http::string_body> response(static_cast<beast::http::status>(reply.status), 11);
            response.set(beast::http::field::content_type, "application/json");
            response.body() = reply.body;
            response.keep_alive(message.keep_alive());
            response.prepare_payload();
            co_await beast::http::async_write(*stream, response, asio::redirect_error(asio::use_awaitable, error));
            if (error || !message.keep_alive()) {
                co_return;
            }
        }
    }

    std::shared_ptr<State> m_state;
};

struct Call {
    Address to;
    std::string method = "GET";
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{3000};
};

inline asio::awaitable<Reply> send(Call call)
{
    const auto executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    boost::system::error_code error;
    stream.expires_after(call.timeout);
    const tcp::endpoint to = call.to.endpoint();
    co_await stream.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return Reply{};
    }
    beast::http::request<beast::http::string_body> message;
    message.version(11);
    message.method_string(call.method);
    message.target(call.target);
    message.set(beast::http::field::host, call.to.host);
    for (const auto &[name, value] : call.headers) {
        message.set(name, value);
    }
    message.body() = call.body;
    message.prepare_payload();
    co_await beast::http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return Reply{};
    }
    beast::flat_buffer buffer;
    beast::http::response<beast::http::string_body> response;
    co_await beast::http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return Reply{};
    }
    co_return Reply{response.result_int(), response.body()};
}

/** A daemon as the deploy file starts it. */
class Process
{
public:
    ~Process()
    {
        kill(SIGKILL);
    }
    Process() = default;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start(std::vector<std::string> arguments, const std::string &logFile)
    {
        std::vector<char *> argv;
        for (auto &argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        std::string path = "PATH=/usr/bin:/bin";
        std::vector<char *> environment{path.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        // A daemon must not keep the sockets of the stand-ins open.
        posix_spawn_file_actions_addclosefrom_np(&actions, 3);
        const int error = posix_spawn(&m_pid, argv.front(), &actions, nullptr, argv.data(), environment.data());
        posix_spawn_file_actions_destroy(&actions);
        if (error != 0) {
            m_pid = 0;
            throw std::runtime_error("can't start " + arguments.front());
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    /** Ends it and waits for its end. */
    void kill(int number)
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }
    /** Whether it has ended by itself. */
    [[nodiscard]] bool hasEnded()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = 0;
        }
        return m_pid == 0;
    }

private:
    pid_t m_pid = 0;
};

} // namespace world
