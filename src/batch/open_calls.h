/** The callers' requests that an entry has read and not answered yet, so that a stop can tell what it leaves unanswered. */
#pragma once

#include <chrono>
#include <list>
#include <string>
#include <string_view>
#include <utility>

#include "log/log.h"
#include "metrics/registry.h"
#include "runtime/clock.h"

namespace plantainfork::batch
{

/** All members are used on one thread. */
class OpenCalls
{
public:
    struct Call {
        std::string_view kind;
        std::string requestId;
        std::string path;
        runtime::Instant begin;
        /** Time at which the caller stops waiting. */
        runtime::Instant deadline;
    };

    /** Counts a call as open during its lifetime. */
    class Guard
    {
    public:
        Guard(OpenCalls &calls, Call call)
            : m_calls(calls)
            , m_place(calls.m_calls.insert(calls.m_calls.end(), std::move(call)))
        {
            m_calls.m_count.add(1);
        }
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;
        ~Guard()
        {
            m_calls.m_calls.erase(m_place);
            m_calls.m_count.add(-1);
        }

    private:
        OpenCalls &m_calls;
        std::list<Call>::iterator m_place;
    };

    explicit OpenCalls(metrics::Registry &metrics)
        : m_count(metrics.gauge("plantainfork_batch_open_calls"))
    {
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_calls.size();
    }

    /** Writes a line for each open call. */
    void log(const char *event, runtime::Instant now) const
    {
        const auto milliseconds = [](runtime::Clock::duration duration) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
        };
        for (const auto &call : m_calls) {
            log::write(log::Severity::Warning,
                       event,
                       {{"request", call.requestId},
                        {"call", std::string(call.kind)},
                        {"path", call.path},
                        {"age_ms", milliseconds(now - call.begin)},
                        {"left_ms", milliseconds(call.deadline - now)}});
        }
    }

private:
    std::list<Call> m_calls;
    metrics::Gauge &m_count;
};

} // namespace plantainfork::batch
