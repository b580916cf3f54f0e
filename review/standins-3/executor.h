/** An executor as PROTOCOL.md tells it. A task's work stands in its job's Spec, as "work=MS" with further words; see Plan. */
#pragma once

#include <optional>
#include <sstream>

#include "net.h"

namespace world
{

struct Bounds {
    std::chrono::milliseconds longestHold{10'000};
    std::chrono::milliseconds killGrace{900};
    std::chrono::milliseconds gangTimeout{3000};
    std::chrono::milliseconds heartbeat{1500};
};

struct Room {
    std::int64_t cpu = 64'000;
    std::int64_t memory = 262'144;
    std::int64_t gpu = 8;
};

/** What a task of a step does, as its job's Spec tells: "work=2500 gpu=1 lasts gang=3", one part for each step, divided by ";". */
struct Plan {
    std::chrono::milliseconds work{1000};
    Room need{1000, 1000, 1};
    bool lasts = false;
    unsigned gang = 0;

    static Plan of(const std::string &spec, unsigned step)
    {
        std::istringstream parts(spec);
        std::string part;
        for (unsigned i = 0; i <= step; ++i) {
            std::getline(parts, part, ';');
        }
        Plan plan;
        std::istringstream words(part);
        for (std::string word; words >> word;) {
            const auto equals = word.find('=');
            const std::string name = word.substr(0, equals);
            const std::int64_t value = equals == std::string::npos ? 0 : std::stoll(word.substr(equals + 1));
            if (name == "work") {
                plan.work = std::chrono::milliseconds(value);
            } else if (name == "cpu") {
                plan.need.cpu = value;
            } else if (name == "mem") {
                plan.need.memory = value;
            } else if (name == "gpu") {
                plan.need.gpu = value;
            } else if (name == "lasts") {
                plan.lasts = true;
            } else if (name == "gang") {
                plan.gang = static_cast<unsigned>(value);
            }
        }
        return plan;
    }
};

/** Tells of starts and ends as they happen. */
using Tell = std::function<void(const std::string &event, const std::string &task, std::uint64_t attempt, const std::string &executor)>;

class Executor
{
public:
    Executor(asio::any_io_executor runner,
             std::string id,
             Address app,
             Address control,
             std::string zone,
             std::vector<std::string> labels,
             Room room,
             Bounds bounds,
             Tell tell)
        : m_runner(std::move(runner))
        , m_id(std::move(id))
        , m_app(std::move(app))
        , m_control(std::move(control))
        , m_zone(std::move(zone))
        , m_labels(std::move(labels))
        , m_room(room)
        , m_bounds(bounds)
        , m_tell(std::move(tell))
    {
        asio::co_spawn(m_runner, announce(), asio::detached);
        asio::co_spawn(m_runner, work(), asio::detached);
        begin();
    }

    void begin()
    {
        ++m_life;
        m_bornAt = Clock::now();
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_server = std::make_unique<Server>(m_runner, m_app, [this](Request request) {
            return answer(std::move(request));
        });
        m_isUp = true;
    }
    /** Its process is gone, with all that it knew. */
    void crash()
    {
        m_isUp = false;
        m_server.reset();
        for (const auto &[task, run] : m_runs) {
            m_tell("crashed", task, run.attempt, m_id);
        }
        m_runs.clear();
        m_ends.clear();
        m_old.clear();
        m_lastEnd = 0;
        m_token = 0;
        m_sequence = 0;
        m_leaseUntil.reset();
        m_isDraining = false;
    }
    void setDraining(std::chrono::milliseconds remaining)
    {
        m_isDraining = true;
        m_leavesAt = Clock::now() + remaining;
    }
    asio::awaitable<void> sayGoodbye()
    {
        Call call = callOf("deregister", "");
        co_await send(std::move(call));
    }
    /** Unhealthy: it answers each start with 503, and does nothing. */
    void setBusy(bool isBusy)
    {
        m_isBusy = isBusy;
    }
    /** Fails all that it starts. */
    void setFailing(bool isFailing)
    {
        m_isFailing = isFailing;
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] bool isUp() const
    {
        return m_isUp;
    }
    /** Its agent has asked for its runs under a scheduler's token. */
    [[nodiscard]] bool isHeld() const
    {
        return m_token > 0;
    }
    [[nodiscard]] bool isRunning(const std::string &task) const
    {
        return m_runs.contains(task);
    }
    [[nodiscard]] std::size_t runs() const
    {
        return m_runs.size();
    }
    [[nodiscard]] Room free() const
    {
        Room left = m_room;
        for (const auto &[task, run] : m_runs) {
            left.cpu -= run.plan.need.cpu;
            left.memory -= run.plan.need.memory;
            left.gpu -= run.plan.need.gpu;
        }
        return left;
    }
    [[nodiscard]] const Room &room() const
    {
        return m_room;
    }
    /** The last heartbeat that said that it drains was acknowledged then. */
    [[nodiscard]] std::optional<Clock::time_point> drainHeardAt() const
    {
        return m_drainHeardAt;
    }

private:
    struct Run {
        std::uint64_t attempt = 0;
        Plan plan;
        Clock::time_point startedAt;
        bool isFailing = false;
        std::optional<Clock::time_point> stopsAt;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t attempt = 0;
        std::string how;
    };

    [[nodiscard]] std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_bornAt).count();
    }
    [[nodiscard]] Reply reply(unsigned status, Json body = Json::object()) const
    {
        body["ClockMs"] = clockMs();
        body["born"] = m_born;
        return {status, body.dump()};
    }
    [[nodiscard]] Call callOf(const std::string &what, std::string body) const
    {
        return {m_control, "POST", "/plantainfork/instances/" + m_id + "/" + what, {{"Content-Type", "application/json"}}, std::move(body), 1000ms};
    }
    [[nodiscard]] Json report() const
    {
        Json report{{"Service", "huvo11a"},
                    {"Addr", m_app.text()},
                    {"Zone", m_zone},
                    {"Version", "v1"},
                    {"Slots", 8},
                    {"State", m_isDraining ? "draining" : "ready"},
                    {"ColdLeftMs", 0},
                    {"Capacity", {{"Cpu", m_room.cpu}, {"MemMb", m_room.memory}, {"Gpu", m_room.gpu}}},
                    {"Labels", m_labels},
                    {"ClockMs", clockMs()},
                    {"Seq", m_sequence},
                    {"born", m_born}};
        if (m_isDraining) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_leavesAt - Clock::now()).count();
            report["RemainingMs"] = std::max<std::int64_t>(left, 0);
        }
        return report;
    }

    [[nodiscard]] Reply reason(const std::string &text) const
    {
        return reply(409, {{"Reason", text}});
    }
    [[nodiscard]] Reply lists() const
    {
        Json running = Json::array();
        for (const auto &[task, run] : m_runs) {
            running.push_back({task, run.attempt, "", percentOf(run), run.plan.need.cpu});
        }
        Json finished = Json::array();
        for (const auto &end : m_ends) {
            finished.push_back({end.number, end.task, end.attempt, end.how, ""});
        }
        return reply(200, {{"Running", std::move(running)}, {"Finished", std::move(finished)}});
    }

    Task announce()
    {
        while (true) {
            if (m_isUp) {
                ++m_sequence;
                const auto life = m_life;
                const bool isDraining = m_isDraining;
                Call call = callOf("heartbeat", report().dump());
                const Reply heard = co_await send(std::move(call));
                if (heard.status == 200 && isDraining && life == m_life && !m_drainHeardAt) {
                    m_drainHeardAt = Clock::now();
                }
            }
            // What changes is said at once.
            const bool wasDraining = m_isDraining;
            const auto life = m_life;
            const auto until = Clock::now() + m_bounds.heartbeat;
            while (Clock::now() < until && wasDraining == m_isDraining && life == m_life) {
                co_await pause(10ms);
            }
        }
    }

    asio::awaitable<Reply> answer(Request request)
    {
        if (!request.expectedInstance.empty() && request.expectedInstance != m_id) {
            co_return reply(421);
        }
        const Json wanted = Json::parse(request.body, nullptr, false);
        if (wanted.is_discarded()) {
            co_return reply(400);
        }
        if (request.path == "/plantainfork/run-start") {
            co_return start(wanted);
        }
        const auto token = wanted.value("FencingToken", std::uint64_t{0});
        if (token < m_token) {
            co_return reason("fence");
        }
        m_token = token;
        if (request.path == "/plantainfork/run-stop") {
            co_return stop(wanted);
        }
        if (request.path == "/plantainfork/hold") {
            co_return co_await hold(wanted);
        }
        co_return reply(404);
    }

    void prolong(const Json &wanted)
    {
        if (!wanted.contains("DeadlineMs")) {
            return;
        }
        const auto wantedUntil = m_bornAt + std::chrono::milliseconds(wanted.at("DeadlineMs").get<std::int64_t>());
        const auto until = std::min<Clock::time_point>(wantedUntil, Clock::now() + m_bounds.longestHold);
        m_leaseUntil = m_leaseUntil ? std::max(*m_leaseUntil, until) : until;
    }

    Reply start(const Json &wanted)
    {
        if (m_isBusy) {
            return reply(503);
        }
        const auto token = wanted.value("FencingToken", std::uint64_t{0});
        if (token < m_token) {
            return reason("fence");
        }
        m_token = token;
        if (wanted.value("DeadlineMs", std::int64_t{0}) <= clockMs()) {
            return reason("late");
        }
        const auto task = wanted.at("Task").get<std::string>();
        const auto attempt = wanted.at("Attempt").get<std::uint64_t>();
        prolong(wanted);
        const auto running = m_runs.find(task);
        if (running != m_runs.end() && running->second.attempt == attempt) {
            return reply(200);
        }
        const auto old = m_old.find(task);
        if (running != m_runs.end() || (old != m_old.end() && old->second >= attempt)) {
            return reason("old");
        }
        const std::string rest = task.substr(task.find('.') + 1);
        const unsigned step = static_cast<unsigned>(std::stoul(rest.substr(rest.find('.') + 1)));
        Run run;
        run.attempt = attempt;
        run.plan = Plan::of(wanted.at("Spec").get<std::string>(), step);
        const Room left = free();
        if (left.cpu < run.plan.need.cpu || left.memory < run.plan.need.memory || left.gpu < run.plan.need.gpu) {
            return reason("room");
        }
        run.startedAt = Clock::now();
        run.isFailing = m_isFailing;
        m_runs[task] = run;
        m_tell("started", task, attempt, m_id);
        return reply(200);
    }

    Reply stop(const Json &wanted)
    {
        const auto task = wanted.at("Task").get<std::string>();
        const auto attempt = wanted.at("Attempt").get<std::uint64_t>();
        auto &old = m_old[task];
        old = std::max(old, attempt);
        const auto running = m_runs.find(task);
        if (running != m_runs.end() && running->second.attempt <= attempt && !running->second.stopsAt) {
            running->second.stopsAt = Clock::now() + m_bounds.killGrace;
        }
        return reply(200);
    }

    asio::awaitable<Reply> hold(Json wanted)
    {
        prolong(wanted);
        const auto lastSeen = wanted.value("LastSeen", std::uint64_t{0});
        std::erase_if(m_ends, [lastSeen](const End &end) {
            return end.number <= lastSeen;
        });
        const auto until = Clock::now() + std::chrono::milliseconds(wanted.value("WaitMs", std::int64_t{0}));
        const auto life = m_life;
        while (m_ends.empty() && life == m_life && m_isUp && Clock::now() < until) {
            co_await pause(5ms);
        }
        if (life != m_life || !m_isUp) {
            co_return Reply{};
        }
        co_return lists();
    }

    /** One that lasts is at work, at 100, after a startup of 1.5 s. */
    [[nodiscard]] static unsigned percentOf(const Run &run)
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - run.startedAt);
        const auto whole = run.plan.lasts ? std::chrono::milliseconds(1500) : run.plan.work;
        return static_cast<unsigned>(std::min<std::int64_t>(100, 100 * elapsed.count() / std::max<std::int64_t>(whole.count(), 1)));
    }

    Task work()
    {
        while (true) {
            co_await pause(10ms);
            const auto now = Clock::now();
            std::vector<std::pair<std::string, std::string>> ends;
            const bool hasLapsed = m_leaseUntil && now >= *m_leaseUntil;
            for (const auto &[task, run] : m_runs) {
                if (hasLapsed) {
                    ends.emplace_back(task, "lapsed");
                } else if (run.stopsAt && now >= *run.stopsAt) {
                    ends.emplace_back(task, "stopped");
                } else if (run.isFailing && now - run.startedAt >= run.plan.work / 2) {
                    ends.emplace_back(task, "failed");
                } else if (!run.plan.lasts && now - run.startedAt >= run.plan.work) {
                    ends.emplace_back(task, "done");
                }
            }
            if (hasLapsed) {
                m_leaseUntil.reset();
            }
            for (const auto &[task, how] : ends) {
                const auto attempt = m_runs.at(task).attempt;
                m_runs.erase(task);
                auto &old = m_old[task];
                old = std::max(old, attempt);
                m_ends.push_back({++m_lastEnd, task, attempt, how});
                m_tell(how, task, attempt, m_id);
            }
        }
    }

    asio::any_io_executor m_runner;
    std::string m_id;
    Address m_app;
    Address m_control;
    std::string m_zone;
    std::vector<std::string> m_labels;
    Room m_room;
    Bounds m_bounds;
    Tell m_tell;
    std::unique_ptr<Server> m_server;
    bool m_isUp = false;
    unsigned m_life = 0;
    Clock::time_point m_bornAt;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastEnd = 0;
    std::optional<Clock::time_point> m_leaseUntil;
    std::map<std::string, Run> m_runs;
    std::vector<End> m_ends;
    std::map<std::string, std::uint64_t> m_old;
    bool m_isDraining = false;
    Clock::time_point m_leavesAt;
    std::optional<Clock::time_point> m_drainHeardAt;
    bool m_isBusy = false;
    bool m_isFailing = false;
};

} // namespace world
