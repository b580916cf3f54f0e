#include "targets/target_hub.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "log/log.h"
#include "runtime/timer.h"
#include "targets/announcement.h"

namespace plantainfork::targets
{

namespace
{

/** Announcements that fit into the timeout, so that two lost ones don't make a target Absent. */
constexpr int AnnouncementsPerTimeout = 4;

std::string nameOf(TargetState state)
{
    switch (state) {
    case TargetState::Absent:
        return "absent";
    case TargetState::Present:
        return "present";
    case TargetState::Leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace

TargetHub::TargetHub(Options options, metrics::Registry &registry)
    : m_options(std::move(options))
    , m_target(std::make_shared<const Target>())
    , m_announcements(registry.counter("plantainfork_target_announcements_total"))
    , m_refused(registry.counter("plantainfork_target_input_refused_total"))
    , m_silences(registry.counter("plantainfork_target_silences_total"))
{
}

void TargetHub::setChangeHandler(ChangeHandler handler)
{
    m_onChange = std::move(handler);
}

void TargetHub::setReportHandler(ReportHandler handler)
{
    m_onReport = std::move(handler);
}

boost::asio::awaitable<http::Response> TargetHub::handle(http::Request request)
{
    if (request.method == "POST" && request.path() == "/v1/announce") {
        co_return announce(request);
    }
    if (request.method == "POST" && request.path() == "/v1/leave") {
        co_return leave();
    }
    if (request.method == "POST" && request.path() == "/v1/tasks/report") {
        co_return co_await report(std::move(request));
    }
    co_return http::Response::text(404, "no such path: " + request.target + "\n");
}

boost::asio::awaitable<void> TargetHub::watchSilence()
{
    while (true) {
        co_await runtime::sleepFor(m_options.announceTimeout / AnnouncementsPerTimeout);
        const auto current = m_target.load();
        const bool isSilent = current->state != TargetState::Absent && runtime::Clock::now() - current->lastAnnounced > m_options.announceTimeout;
        if (isSilent) {
            m_silences.add();
            update([](Target &target) {
                target.state = TargetState::Absent;
            });
        }
    }
}

const runtime::Published<Target> &TargetHub::target() const
{
    return m_target;
}

http::Response TargetHub::announce(const http::Request &request)
{
    auto parsed = parseAnnouncement(request.body);
    if (const auto *findings = std::get_if<base::Findings>(&parsed)) {
        return refuse(*findings);
    }
    m_announcements.add();
    const Target &announced = std::get<Target>(parsed);
    update([&announced](Target &target) {
        // A target that has said it is leaving goes on announcing itself until its work has ended.
        const bool isLeaving = target.state == TargetState::Leaving && target.http == announced.http;
        target = announced;
        target.state = isLeaving ? TargetState::Leaving : TargetState::Present;
        target.lastAnnounced = runtime::Clock::now();
    });
    const nlohmann::json answer{
        {"agent", m_options.agent.value()},
        {"incarnation", m_options.incarnation.value()},
        {"nextMs", (m_options.announceTimeout / AnnouncementsPerTimeout).count()},
    };
    return http::Response::json(200, answer.dump());
}

http::Response TargetHub::leave()
{
    update([](Target &target) {
        target.state = target.state == TargetState::Absent ? TargetState::Absent : TargetState::Leaving;
    });
    return http::Response::json(200, "{}");
}

boost::asio::awaitable<http::Response> TargetHub::report(http::Request request)
{
    auto parsed = parseTaskReport(request.body);
    if (const auto *findings = std::get_if<base::Findings>(&parsed)) {
        co_return refuse(*findings);
    }
    bool isTaken = false;
    if (m_onReport) {
        isTaken = co_await m_onReport(std::get<wire::TaskStatus>(std::move(parsed)));
    }
    co_return http::Response::json(isTaken ? 200 : 503, "{}");
}

void TargetHub::update(const std::function<void(Target &)> &change)
{
    const std::scoped_lock lock(m_mutex);
    const auto previous = m_target.load();
    Target next = *previous;
    change(next);
    const auto published = std::make_shared<const Target>(std::move(next));
    m_target.publish(published);
    if (previous->state != published->state) {
        log::write(log::Severity::Info, "target changed", {{"from", nameOf(previous->state)}, {"to", nameOf(published->state)}});
    }
    if (m_onChange && (previous->state != published->state || !(previous->offer == published->offer))) {
        m_onChange(*published);
    }
}

http::Response TargetHub::refuse(const base::Findings &findings)
{
    m_refused.add();
    nlohmann::json list = nlohmann::json::array();
    for (const auto &finding : findings.all()) {
        list.push_back({{"place", finding.place.text()}, {"message", finding.message}});
    }
    return http::Response::json(400, nlohmann::json{{"findings", list}}.dump());
}

} // namespace plantainfork::targets
