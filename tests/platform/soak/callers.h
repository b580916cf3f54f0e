/** Callers of the service: they submit jobs of several kinds, repeat what was not answered, cancel some, and ask what became of them. */
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/client.h"
#include "platform/soak/ledger.h"
#include "standins/program.h"

namespace plantainfork::soak
{

namespace asio = boost::asio;

class Callers
{
public:
    Callers(asio::any_io_executor executor, Ledger &ledger, std::vector<standins::Endpoint> entries, std::uint64_t seed);

    struct Sent {
        std::string path;
        std::string host;
        std::string body;
    };

    /** Draws a job and enters it in the ledger. Deadly ones only where executors may crash. */
    std::pair<std::string, Sent> newJob(std::mt19937_64 &random);
    void setCalm(bool isCalm)
    {
        m_isCalm = isCalm;
    }
    /** Enters the answer to a submission. */
    Told submitAnswered(const std::string &job, std::optional<unsigned> status, bool isSent);
    /** Enters the state that was shown, and returns it. */
    std::string shown(const std::string &job, unsigned status, const std::string &body);

    /** Submits a job each interval for that long. */
    asio::awaitable<void> submitFor(std::chrono::milliseconds length, std::chrono::milliseconds interval);
    /** Asks for all open jobs, over and over, until none is open or the limit is reached. */
    asio::awaitable<void> awaitEnds(std::chrono::milliseconds limit);

    /** Asks each entry for an accepted job until it answers or the limit is reached. */
    asio::awaitable<void> askEach(std::chrono::milliseconds limit);

    /** The desired state that the jobs go by, and so many routes more. */
    static std::string policy(std::uint64_t version, unsigned moreRoutes);
    /** Failed runs after which a task has failed, as the desired state says. */
    static constexpr unsigned MostFailures = 3;

private:
    asio::awaitable<void> follow(std::string job, Sent sent);
    asio::awaitable<Told> submit(const std::string &job, const Sent &sent);
    asio::awaitable<void> cancel(std::string job, Sent sent);
    asio::awaitable<std::string> ask(const std::string &job, const Sent &sent);
    asio::awaitable<http::Exchange> call(std::string method, const Sent &sent);
    asio::awaitable<http::Exchange> callAt(http::Client &entry, std::string method, const Sent &sent);
    Sent draw(const std::string &job, std::mt19937_64 &random);
    unsigned below(unsigned bound);

    asio::any_io_executor m_executor;
    Ledger &m_ledger;
    std::vector<std::unique_ptr<http::Client>> m_entries;
    std::mt19937_64 m_random;
    bool m_isCalm = false;
    std::uint64_t m_lastJob = 0;
    std::map<std::string, Sent> m_sent;
};

} // namespace plantainfork::soak
