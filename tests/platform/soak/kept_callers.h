/**
 * Callers that each keep one connection to one entry and use it until that ends, as other services do. They tell the ledger of each
 * whole request that got no whole answer.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "platform/soak/callers.h"
#include "platform/soak/ledger.h"
#include "standins/program.h"

namespace plantainfork::soak
{

class KeptCallers
{
public:
    /** Entries are named by their place. */
    KeptCallers(asio::any_io_executor executor, Ledger &ledger, Callers &callers, std::vector<standins::Endpoint> entries, std::uint64_t seed);

    /** So many callers send for that long; returns when all have their answers or have given up. */
    asio::awaitable<void> useFor(std::chrono::milliseconds length, unsigned count);
    [[nodiscard]] std::string summary() const;

private:
    struct Request {
        std::string method;
        std::string job;
        Callers::Sent sent;
        std::chrono::milliseconds patience{0};
        Instant sentAt;
        /** Sent with another one before it, whose answer it had to wait for. */
        bool isBehind = false;
    };
    struct Channel {
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        std::string entry;
        bool isOpen = true;
    };

    asio::awaitable<void> call(Instant until);
    asio::awaitable<void> use(Channel &channel, Instant until);
    /** Returns the requests that were sent whole. */
    asio::awaitable<std::vector<Request>> send(Channel &channel);
    asio::awaitable<void> readAnswers(Channel &channel, std::vector<Request> requests);
    void answered(const Request &request, unsigned status, const std::string &body);
    Request draw();
    [[nodiscard]] static std::string text(const Request &request);
    unsigned below(unsigned bound);

    asio::any_io_executor m_executor;
    Ledger &m_ledger;
    Callers &m_callers;
    std::vector<standins::Endpoint> m_entries;
    std::mt19937_64 m_random;
    /** Jobs that these callers have handed in. */
    std::vector<std::pair<std::string, Callers::Sent>> m_jobs;
    unsigned m_running = 0;
    std::map<std::string, unsigned> m_counts;
};

} // namespace plantainfork::soak
