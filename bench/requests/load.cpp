#include "load.h"

#include <memory>
#include <random>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include "runtime/timer.h"

namespace plantainfork::bench
{

namespace asio = boost::asio;

namespace
{

struct Run {
    runtime::Instant start;
    std::mutex mutex;
    /** Guarded by mutex. */
    std::vector<EndedRequest> ended;
    std::atomic<std::size_t> open{0};
};

asio::awaitable<void> sendOne(Run &run, const std::vector<Stream> &streams, std::size_t index, std::uint64_t number, const Send &send)
{
    const Stream &stream = streams[index];
    const runtime::Instant arrived = runtime::Clock::now();
    const std::string id = std::to_string(index) + "-" + std::to_string(number);
    const Answer answer = co_await send(stream, id);
    const auto latency = runtime::Clock::now() - arrived;
    EndedRequest ended;
    ended.stream = index;
    ended.arrived = arrived - run.start;
    ended.latency = latency;
    ended.isGood = answer.isGood && latency <= stream.deadline;
    ended.isRefused = answer.isRefused;
    const std::scoped_lock lock(run.mutex);
    run.ended.push_back(ended);
    --run.open;
}

} // namespace

std::vector<EndedRequest> runLoad(asio::io_context &context, const std::vector<Stream> &streams, std::chrono::milliseconds duration, const Send &send)
{
    Run run;
    run.start = runtime::Clock::now();
    std::mt19937_64 random(1);
    std::vector<runtime::Instant> next;
    for (const Stream &stream : streams) {
        next.push_back(run.start + stream.from);
    }
    std::uint64_t number = 0;
    const runtime::Instant end = run.start + duration;
    for (runtime::Instant now = run.start; now < end; now = runtime::Clock::now()) {
        for (std::size_t i = 0; i < streams.size(); ++i) {
            const runtime::Instant last = std::min(end, run.start + streams[i].until);
            while (next[i] <= now && next[i] < last) {
                ++run.open;
                asio::co_spawn(asio::make_strand(context), sendOne(run, streams, i, ++number, send), asio::detached);
                const std::exponential_distribution<double> gap(streams[i].perSecond);
                next[i] += std::chrono::nanoseconds(static_cast<std::int64_t>(std::exponential_distribution<double>(gap)(random) * 1e9));
            }
        }
        std::this_thread::sleep_for(std::chrono::microseconds(500));
    }
    while (run.open > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    // The last request may still hold the mutex.
    const std::scoped_lock lock(run.mutex);
    return std::move(run.ended);
}

} // namespace plantainfork::bench
