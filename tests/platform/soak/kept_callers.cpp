#include "platform/soak/kept_callers.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "runtime/timer.h"

namespace plantainfork::soak
{

namespace
{

auto into(boost::system::error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

constexpr std::array<std::chrono::milliseconds, 8> Patiences{std::chrono::milliseconds(300),
                                                             std::chrono::milliseconds(600),
                                                             std::chrono::milliseconds(1200),
                                                             std::chrono::milliseconds(2500),
                                                             std::chrono::milliseconds(5000),
                                                             std::chrono::milliseconds(10'000),
                                                             std::chrono::milliseconds(20'000),
                                                             std::chrono::milliseconds(30'000)};
/** How long a caller goes on reading when its patience is over, to tell a late answer from none. */
constexpr std::chrono::milliseconds Overtime{500};
constexpr std::chrono::milliseconds ConnectLimit{500};
constexpr std::chrono::milliseconds Retry{50};
constexpr unsigned LongestPauseMs = 250;
constexpr unsigned LongestPieceGapMs = 40;
constexpr unsigned Percent = 100;
constexpr unsigned SubmitPercent = 4;
constexpr unsigned CancelPercent = 2;
constexpr unsigned StatePercent = 25;
constexpr unsigned SplitPercent = 30;
constexpr unsigned PipelinedPercent = 20;

} // namespace

KeptCallers::KeptCallers(asio::any_io_executor executor, Ledger &ledger, Callers &callers, std::vector<standins::Endpoint> entries, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_ledger(ledger)
    , m_callers(callers)
    , m_entries(std::move(entries))
    , m_random(seed)
{
}

unsigned KeptCallers::below(unsigned bound)
{
    return static_cast<unsigned>(m_random() % bound);
}

asio::awaitable<void> KeptCallers::useFor(std::chrono::milliseconds length, unsigned count)
{
    const auto until = runtime::Clock::now() + length;
    m_running = count;
    for (unsigned i = 0; i < count; ++i) {
        asio::co_spawn(m_executor, call(until), asio::detached);
    }
    while (m_running > 0) {
        co_await runtime::sleepFor(Retry);
    }
}

asio::awaitable<void> KeptCallers::call(Instant until)
{
    while (runtime::Clock::now() < until) {
        const auto entry = below(static_cast<unsigned>(m_entries.size()));
        Channel channel{boost::beast::tcp_stream(m_executor), {}, "entry-" + std::to_string(entry)};
        channel.stream.expires_after(ConnectLimit);
        boost::system::error_code failed;
        const asio::ip::tcp::endpoint address(asio::ip::make_address(m_entries[entry].host), m_entries[entry].port);
        co_await channel.stream.async_connect(address, into(failed));
        if (failed) {
            co_await runtime::sleepFor(Retry);
            continue;
        }
        ++m_counts["channels"];
        co_await use(channel, until);
    }
    --m_running;
}

asio::awaitable<void> KeptCallers::use(Channel &channel, Instant until)
{
    while (channel.isOpen && runtime::Clock::now() < until) {
        auto requests = co_await send(channel);
        co_await readAnswers(channel, std::move(requests));
        co_await runtime::sleepFor(std::chrono::milliseconds(below(LongestPauseMs)));
    }
}

KeptCallers::Request KeptCallers::draw()
{
    Request request;
    request.patience = Patiences.at(below(Patiences.size()));
    const auto kind = below(Percent);
    if (m_jobs.empty() || kind < SubmitPercent) {
        request.method = "POST";
        std::tie(request.job, request.sent) = m_callers.newJob(m_random);
        m_jobs.emplace_back(request.job, request.sent);
        return request;
    }
    std::tie(request.job, request.sent) = m_jobs[below(static_cast<unsigned>(m_jobs.size()))];
    if (kind < SubmitPercent + CancelPercent) {
        request.method = "DELETE";
        m_ledger.cancelSent(request.job);
        return request;
    }
    request.method = "GET";
    if (kind >= SubmitPercent + CancelPercent + StatePercent) {
        // The number of the queue's waiting jobs.
        request.job.clear();
        request.sent.path.resize(request.sent.path.rfind('/') + 1);
    }
    return request;
}

std::string KeptCallers::text(const Request &request)
{
    const std::string body = request.method == "POST" ? request.sent.body : "";
    return request.method + " " + request.sent.path + " HTTP/1.1\r\nHost: " + request.sent.host + "\r\nX-Api-Key: club-key\r\nX-Plantainfork-Deadline-Ms: "
        + std::to_string(request.patience.count()) + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

asio::awaitable<std::vector<KeptCallers::Request>> KeptCallers::send(Channel &channel)
{
    std::vector<Request> requests{draw()};
    std::string all = text(requests.front());
    // A cut in the first request only: then all are sent whole with the last piece, and no end of the channel is noticed late.
    const std::size_t firstPiece = below(Percent) < SplitPercent ? 1 + below(static_cast<unsigned>(all.size() - 1)) : 0;
    if (below(Percent) < PipelinedPercent) {
        requests.push_back(draw());
        all += text(requests.back());
    }
    boost::system::error_code failed;
    channel.stream.expires_after(ConnectLimit);
    if (firstPiece > 0) {
        co_await asio::async_write(channel.stream, asio::buffer(all.data(), firstPiece), into(failed));
        channel.isOpen = !failed;
        co_await runtime::sleepFor(std::chrono::milliseconds(below(LongestPieceGapMs)));
    }
    if (channel.isOpen) {
        channel.stream.expires_after(ConnectLimit);
        co_await asio::async_write(channel.stream, asio::buffer(all.data() + firstPiece, all.size() - firstPiece), into(failed));
        channel.isOpen = !failed;
    }
    const auto now = runtime::Clock::now();
    for (auto &request : requests) {
        request.sentAt = now;
        if (!channel.isOpen && request.method == "POST") {
            m_callers.submitAnswered(request.job, std::nullopt, true);
        }
    }
    co_return channel.isOpen ? requests : std::vector<Request>();
}

// What counts as a whole request that the entry had to answer: its last byte was handed to the system on an open channel, and the channel
// ended more than the slack later. A process that is gone, or has ended its side, shows that at once, so what was sent to one ends within
// the slack. A request behind another one counts from that one's answer on, since it needn't be read before, and not at all if that
// answer said "Connection: close" or didn't come.
asio::awaitable<void> KeptCallers::readAnswers(Channel &channel, std::vector<Request> requests)
{
    for (auto &request : requests) {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        boost::system::error_code failed = boost::beast::http::error::end_of_stream;
        if (channel.isOpen) {
            const auto limit = request.sentAt + request.patience + Overtime - runtime::Clock::now();
            channel.stream.expires_after(std::max<runtime::Clock::duration>(limit, Overtime));
            failed.clear();
            co_await boost::beast::http::async_read(channel.stream, channel.buffer, parser, into(failed));
        }
        const auto now = runtime::Clock::now();
        if (!failed) {
            ++m_counts["answered"];
            const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.sentAt) - request.patience;
            if (late.count() > 0) {
                auto &latest = m_counts[request.isBehind ? "late behind another, ms" : "late, ms"];
                latest = std::max(latest, static_cast<unsigned>(late.count()));
            }
            answered(request, parser.get().result_int(), parser.get().body());
            channel.isOpen = channel.isOpen && parser.get().keep_alive();
            auto &next = requests.back();
            next.patience -= std::chrono::duration_cast<std::chrono::milliseconds>(now - next.sentAt);
            next.sentAt = now;
            next.isBehind = true;
            continue;
        }
        if (request.method == "POST") {
            m_callers.submitAnswered(request.job, std::nullopt, true);
        }
        if (failed == boost::beast::error::timeout) {
            ++m_counts[request.isBehind ? "not answered in time behind another" : "not answered in time"];
        } else if (channel.isOpen) {
            m_ledger.cut({channel.entry, request.method + " " + request.sent.path, request.patience, request.sentAt, now});
        }
        channel.isOpen = false;
    }
}

void KeptCallers::answered(const Request &request, unsigned status, const std::string &body)
{
    if (request.method == "POST") {
        m_callers.submitAnswered(request.job, status, true);
    } else if (request.method == "DELETE" && status == 200) {
        m_ledger.cancelAcknowledged(request.job, runtime::Clock::now());
    } else if (request.method == "GET" && !request.job.empty() && (status == 200 || status == 410)) {
        m_callers.shown(request.job, status, body);
    }
}

std::string KeptCallers::summary() const
{
    std::string text = "kept";
    for (const auto &[name, count] : m_counts) {
        text += " " + name + " " + std::to_string(count);
    }
    return text;
}

} // namespace plantainfork::soak
