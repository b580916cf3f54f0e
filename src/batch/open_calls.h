/** The callers' requests that an entry has read and not answered yet, so that a stop can tell what it leaves unanswered. */
#pragma once

#include <chrono>
#include <list>
#include <memory>
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

private:
    struct Calls {
        std::list<Call> list;
        metrics::Gauge &count;
    };

public:
    /** Counts a call as open during its lifetime. */
    class Guard
    {
    public:
        Guard(OpenCalls &calls, Call call)
            : m_calls(calls.m_calls)
            , m_place(calls.m_calls->list.insert(calls.m_calls->list.end(), std::move(call)))
        {
            calls.m_calls->count.add(1);
        }
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;
        ~Guard()
        {
            if (const auto calls = m_calls.lock()) {
                calls->list.erase(m_place);
                calls->count.add(-1);
            }
        }

    private:
        /** Expired if the process ends with the call open: its coroutine is destroyed after the entry. */
        std::weak_ptr<Calls> m_calls;
        std::list<Call>::iterator m_place;
    };

    explicit OpenCalls(metrics::Registry &metrics)
        : m_calls(std::make_shared<Calls>(Calls{{}, metrics.gauge("plantainfork_batch_open_calls")}))
    {
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_calls->list.size();
    }

    /** Writes a line for each open call. */
    void log(const char *event, runtime::Instant now) const
    {
        const auto milliseconds = [](runtime::Clock::duration duration) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
        };
        for (const auto &call : m_calls->list) {
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
    std::shared_ptr<Calls> m_calls;
};

} // namespace plantainfork::batch
