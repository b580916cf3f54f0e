/**
 * Writes log lines through Boost.Log: a text sink on standard output, filtered by severity before a record is made. Never waits: lines
 * beyond a kind's budget, or while nobody reads the output, are left out and counted.
 */
#include "log/log.h"

#include <cstdint>
#include <iostream>
#include <mutex>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include "log/budget.h"
#include "log/line.h"
#include "runtime/clock.h"

namespace plantainfork::log
{

namespace
{

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::synchronous_sink<Backend>;
using Logger = boost::log::sources::severity_logger_mt<Severity>;

/** "2026-01-31T12:00:00.123456Z". Wall-clock time: only people read it, nothing compares it. */
void formatRecord(const boost::log::record_view &record, boost::log::formatting_ostream &stream)
{
    const auto time = boost::log::extract<boost::posix_time::ptime>("TimeStamp", record);
    if (time) {
        stream << "time=" << boost::posix_time::to_iso_extended_string(*time) << "Z ";
    }
    stream << record[boost::log::expressions::smessage];
}

/** Whether a line can be written to standard output without waiting for its reader. Files always can. */
bool canWrite()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) != 0;
}

/** The sink and the fields common to all lines. Built on first use, so that lines written before configure() appear too. */
class Writer
{
public:
    static Writer &instance()
    {
        static Writer writer;
        return writer;
    }

    void configure(Severity lowest, std::vector<Field> common)
    {
        m_sink->set_filter(boost::log::expressions::attr<Severity>("Severity") >= lowest);
        m_common = std::move(common);
    }

    void write(Severity severity, std::string_view event, const std::vector<Field> &fields)
    {
        if (auto record = m_logger.open_record(boost::log::keywords::severity = severity)) {
            const std::scoped_lock lock(m_writing);
            const auto now = runtime::Clock::now();
            if (!m_budget.take(event, now)) {
                return;
            }
            if (!canWrite()) {
                ++m_unread;
                return;
            }
            tellLeftOut(now);
            push(std::move(record), formatLine(severity, event, m_common, fields));
        }
    }

private:
    void push(boost::log::record record, const std::string &line)
    {
        boost::log::record_ostream stream(record);
        stream << line;
        stream.flush();
        m_logger.push_record(std::move(record));
    }

    void tellLeftOut(runtime::Instant now)
    {
        auto leftOut = m_budget.takeLeftOut(now);
        if (const auto unread = std::exchange(m_unread, 0); unread > 0) {
            leftOut.push_back({"any, as the output was full", unread});
        }
        for (const auto &[kind, count] : leftOut) {
            if (auto record = m_logger.open_record(boost::log::keywords::severity = Severity::Warning)) {
                push(std::move(record), formatLine(Severity::Warning, "lines left out", m_common, {{"kind", kind}, {"count", std::to_string(count)}}));
            }
        }
    }

    Writer()
        : m_sink(boost::make_shared<Sink>())
    {
        auto backend = m_sink->locked_backend();
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
        backend->auto_flush(true);
        m_sink->set_formatter(&formatRecord);
        m_sink->set_filter(boost::log::expressions::attr<Severity>("Severity") >= Severity::Info);
        boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
        boost::log::core::get()->add_sink(m_sink);
    }

    boost::shared_ptr<Sink> m_sink;
    Logger m_logger;
    std::mutex m_writing;
    Budget m_budget;
    /** Lines that could not be written without waiting. */
    std::uint64_t m_unread = 0;
    /** Set once by configure(), before other threads write. */
    std::vector<Field> m_common;
};

} // namespace

void configure(Severity lowest, std::vector<Field> common)
{
    Writer::instance().configure(lowest, std::move(common));
}

void write(Severity severity, std::string_view event, const std::vector<Field> &fields)
{
    Writer::instance().write(severity, event, fields);
}

} // namespace plantainfork::log
