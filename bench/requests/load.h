/** Open-loop load: requests arrive at random at a given rate, regardless of the progress of earlier ones. */
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "runtime/clock.h"

namespace plantainfork::bench
{

/** One kind of request of one workspace. */
struct Stream {
    std::string workspace;
    /** Name of the template. */
    std::string kind;
    double perSecond = 0;
    std::chrono::milliseconds deadline{2000};
    /** Interval in which requests arrive, relative to the start of the load. By default the whole run. */
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds until{std::chrono::hours(1)};
};

struct EndedRequest {
    std::size_t stream = 0;
    /** Since the start of the load. */
    std::chrono::nanoseconds arrived{0};
    std::chrono::nanoseconds latency{0};
    /** Answered by an executor with success, before the deadline. */
    bool isGood = false;
    /** Reported as not run. */
    bool isRefused = false;
};

/** How a request ended, as returned by a Send function. */
struct Answer {
    bool isGood = false;
    bool isRefused = false;
};
using Send = std::function<boost::asio::awaitable<Answer>(const Stream &stream, std::string id)>;

/** Runs the streams on the context's threads for the duration and waits until all requests have ended. */
std::vector<EndedRequest> runLoad(boost::asio::io_context &context, const std::vector<Stream> &streams, std::chrono::milliseconds duration, const Send &send);

} // namespace plantainfork::bench
