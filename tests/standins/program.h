/** What every stand-in program shares: its command line, the line that says it is ready, and a graceful end. */
#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "http/message.h"
#include "http/server.h"
#include "runtime/clock.h"

namespace plantainfork::standins
{

using Json = nlohmann::json;

struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    /** Reads "host:port". Throws std::invalid_argument. */
    static Endpoint parse(const std::string &text);
    [[nodiscard]] std::string text() const;
};

/** The options of a docopt usage text, as strings. Ends the program with the usage on a wrong command line. */
std::map<std::string, std::string> parseOptions(const char *usage, int argc, char **argv);

/** Listens, or ends the program with the reason on standard error. */
std::unique_ptr<http::Server> listen(boost::asio::io_context &context, const Endpoint &endpoint, http::Handler handler);

/** Milliseconds on the runtime clock, which all processes of one machine share. */
std::int64_t nowMs();

/** Appends JSON lines to a file, each handed to the system at once, so that they outlive a killed process. */
class Recorder
{
public:
    /** An empty path records nothing. */
    explicit Recorder(const std::string &path);

    void append(const Json &line);

private:
    std::ofstream m_file;
};

http::Response answer(const Json &body, unsigned status = 200);

/** "listening HOST:PORT", followed by " control HOST:PORT" when there is a control server. */
std::string readyLine(const http::Server &server, const http::Server *control);

/** Prints the ready line, serves until SIGTERM or SIGINT, then runs `stop`. Returns what stop returns, the exit code. */
int serve(boost::asio::io_context &context, const std::string &readyLine, std::function<boost::asio::awaitable<int>()> stop);

/**
 * Repeats `POST /v1/announce` to the agent at the interval that it asks for, until the function returns
 * nothing. `answered` hears when each answered announcement was sent.
 */
boost::asio::awaitable<void>
keepAnnouncing(Endpoint agent, std::function<std::optional<Json>()> announcement, std::function<void(runtime::Instant)> answered = {});

/** Sends one JSON body; the status of the answer, or 0. */
boost::asio::awaitable<unsigned> post(Endpoint to, std::string target, Json body);
/** The same with a body that may be anything. */
boost::asio::awaitable<unsigned> postText(Endpoint to, std::string target, std::string body);

} // namespace plantainfork::standins
