/** What a listener answers to requests that it doesn't serve, and how it counts and logs them. */
#pragma once

#include <array>
#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/core/error.hpp>

#include "http/message.h"
#include "http/overload.h"
#include "log/log.h"
#include "metrics/registry.h"

namespace plantainfork::http
{

enum class RefusalReason {
    /** Header or trailers are larger than the limit. */
    Header,
    Body,
    /** Not HTTP, or the extensions of a chunk are larger than the limit. */
    Framing,
    /** Not received within Limits::arrival. */
    Arrival,
    /** Received below Limits::paceBytesPerSecond. */
    Pace,
    /** The receive budget is used up. */
    Budget,
    /** The limit of open connections is reached. */
    Connections,
    /** The response was not read within Limits::delivery. */
    Delivery,
};
constexpr std::size_t RefusalReasons = 8;

[[nodiscard]] std::string_view reasonText(RefusalReason reason);

/** The reason for refusing a request that Beast reports this error for. */
[[nodiscard]] RefusalReason reasonOf(const boost::beast::error_code &error);
/** The answer to a request that is refused before it has been received completely, so that it has not run. */
[[nodiscard]] Response refusal(RefusalReason reason, const std::string &detail = {});
/** The answer to a request that has had no effect. */
[[nodiscard]] Response notServedAnswer(const std::string &reason);
/** The answer to a request that the handler didn't answer before the end of a drain. */
[[nodiscard]] Response abandonedAnswer(std::string_view method);

/** Counts the refusals of one listener, and logs at most one line a second for each reason. May be used from several threads. */
class RefusalLog
{
public:
    /** The registry may be null; otherwise it must outlive this. */
    RefusalLog(std::string listener, metrics::Registry *registry);

    void note(RefusalReason reason, const std::vector<log::Field> &details = {});
    /** An idle connection was closed for a new one. */
    void noteEviction();

private:
    void write(LineLimit &limit, std::string_view event, const std::vector<log::Field> &fields);

    const std::string m_listener;
    std::array<metrics::Counter *, RefusalReasons> m_counters{};
    std::mutex m_mutex;
    /** Guarded by the mutex. */
    std::array<LineLimit, RefusalReasons> m_limits;
    /** Guarded by the mutex. */
    LineLimit m_evictionLimit;
};

} // namespace plantainfork::http
