/**
 * The agent's door for its own target: announcements, leaving and task reports over local HTTP. Publishes
 * the target as last heard of and notices when it falls silent.
 */
#pragma once

#include <functional>
#include <memory>
#include <mutex>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/findings.h"
#include "base/ids.h"
#include "http/message.h"
#include "metrics/registry.h"
#include "runtime/published.h"
#include "targets/target.h"

namespace plantainfork::targets
{

class TargetHub
{
public:
    struct Options {
        base::MemberId agent;
        base::Incarnation incarnation;
        /** Silence after which the target is Absent. */
        std::chrono::milliseconds announceTimeout{3000};
    };
    /** Called after each change of the offer or the state, on the caller's thread. */
    using ChangeHandler = std::function<void(const Target &)>;
    /** Called for each reported task; true once the report is taken over. */
    using ReportHandler = std::function<boost::asio::awaitable<bool>(wire::TaskStatus)>;

    TargetHub(Options options, metrics::Registry &registry);

    void setChangeHandler(ChangeHandler handler);
    void setReportHandler(ReportHandler handler);

    /** Serves POST /v1/announce, /v1/leave and /v1/tasks/report; other paths get 404. */
    boost::asio::awaitable<http::Response> handle(http::Request request);

    /** Runs until cancelled; marks a silent target as Absent. */
    boost::asio::awaitable<void> watchSilence();

    [[nodiscard]] const runtime::Published<Target> &target() const;

private:
    http::Response announce(const http::Request &request);
    http::Response leave();
    boost::asio::awaitable<http::Response> report(http::Request request);
    /** Publishes what `change` makes of the present target; changes follow one another. */
    void update(const std::function<void(Target &)> &change);
    http::Response refuse(const base::Findings &findings);

    const Options m_options;
    ChangeHandler m_onChange;
    ReportHandler m_onReport;
    runtime::Published<Target> m_target;
    /** Serialises changes of the target; readers use m_target without it. */
    std::mutex m_mutex;
    metrics::Counter &m_announcements;
    metrics::Counter &m_refused;
    metrics::Counter &m_silences;
};

} // namespace plantainfork::targets
