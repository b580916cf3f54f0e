#include "platform/soak/executor.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "runtime/timer.h"

namespace plantainfork::soak
{

namespace
{

constexpr std::chrono::milliseconds AnnounceInterval{1000};
constexpr std::chrono::milliseconds WorkTick{20};
constexpr std::chrono::milliseconds LateBy{1200};
constexpr std::chrono::milliseconds CheckpointEvery{500};
constexpr std::chrono::milliseconds DeadlyAfter{10};
constexpr std::chrono::milliseconds ShortestAway{2000};
constexpr std::chrono::milliseconds LongestAway{4000};
constexpr std::chrono::milliseconds LaterBy{1500};
/** The largest whole number that every reader of JSON keeps. */
constexpr std::uint64_t LargestSequence = (std::uint64_t{1} << 53) - 1;
/** The share of its work after which a run that is to fail does so. */
constexpr double FailsAt = 0.4;
constexpr double WholePercent = 100.0;

http::Response noAnswer()
{
    http::Response none;
    none.status = http::NoAnswer;
    return none;
}

TaskName gangOf(TaskName member)
{
    member.index = 0;
    return member;
}

} // namespace

unsigned Floor::present(const TaskName &member, std::uint64_t attempt) const
{
    unsigned members = 0;
    for (const auto *executor : m_executors) {
        members += executor->membersOf(gangOf(member), attempt);
    }
    return members;
}

void Floor::endGang(const TaskName &member, std::uint64_t attempt, const std::string &how)
{
    for (auto *executor : m_executors) {
        executor->endMembers(gangOf(member), attempt, how);
    }
}

Executor::Executor(asio::any_io_executor runner, Floor &floor, std::string name, std::string rack, ExecutorBounds bounds)
    : m_runner(runner)
    , m_floor(floor)
    , m_name(std::move(name))
    , m_id(m_name)
    , m_rack(std::move(rack))
    , m_bounds(bounds)
    , m_accelerators(bounds.accelerators)
    , m_changed(runner)
{
    floor.add(this);
}

void Executor::start(standins::Endpoint agent)
{
    m_agent = std::move(agent);
    auto server = http::Server::create(m_runner, "127.0.0.1", 0, {}, [this](http::Request request) {
        return answer(std::move(request));
    });
    m_server = std::move(*server);
    beginLife();
    setAccelerators(std::nullopt);
    asio::co_spawn(m_runner, announce(), asio::detached);
    asio::co_spawn(m_runner, work(), asio::detached);
}

void Executor::crash()
{
    if (!m_isDown) {
        forgetAll();
        beginLife();
    }
}

asio::awaitable<void> Executor::die(std::uint64_t life)
{
    co_await runtime::sleepFor(DeadlyAfter);
    if (life != m_life) {
        co_return;
    }
    stop(false);
    const auto stopped = m_life;
    const bool isOdd = m_life % 2 == 1;
    co_await runtime::sleepFor(isOdd ? LongestAway : ShortestAway);
    if (stopped != m_life) {
        co_return;
    }
    m_id = isOdd ? m_name + "-" + std::to_string(m_life) : m_id;
    beginLife();
}

void Executor::stop(bool isPlanned)
{
    if (isPlanned) {
        m_floor.ledger().left(m_name);
    }
    forgetAll();
    m_isDown = true;
}

void Executor::restart()
{
    m_id = m_name + "-" + std::to_string(m_life);
    beginLife();
}

void Executor::beginLife()
{
    m_isDown = false;
    m_bornAt = runtime::Clock::now();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
}

void Executor::forgetAll()
{
    m_earlierId = m_id;
    m_earlierReport = report();
    m_isPaused = false;
    m_drainsFor.reset();
    const auto lost = std::move(m_runs);
    m_floor.ledger().crashed(m_name);
    m_floor.ledger().troubleBegan();
    m_floor.ledger().troubleEnded(runtime::Clock::now());
    ++m_life;
    m_runs.clear();
    m_ends.clear();
    m_oldAttempts.clear();
    m_sequence = 0;
    m_token = 0;
    m_lastEnd = 0;
    m_leaseUntil = Instant::max();
    for (const auto &[task, run] : lost) {
        if (run.plan.isGang) {
            m_floor.endGang(task, run.attempt, "broken");
        }
    }
    m_changed.notify();
}

void Executor::setAccelerators(std::optional<unsigned> accelerators)
{
    m_accelerators = accelerators.value_or(m_bounds.accelerators);
    m_floor.ledger().roomChanged(m_name, m_accelerators, runtime::Clock::now());
}

std::int64_t Executor::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>((runtime::Clock::now() - m_bornAt) * m_bounds.clockRate).count();
}

http::Response Executor::reply(unsigned status, Json body) const
{
    body["ClockMs"] = clockMs();
    body["born"] = m_born;
    return http::Response::json(status, body.dump());
}

asio::awaitable<void> Executor::announce()
{
    while (true) {
        if (m_isDown || m_isPaused) {
            co_await runtime::sleepFor(WorkTick);
            continue;
        }
        ++m_sequence;
        co_await standins::post(m_agent, "/plantainfork/instances/" + m_id + "/heartbeat", report());
        co_await runtime::sleepFor(AnnounceInterval);
    }
}

Json Executor::report() const
{
    Json report{{"Service", "kit-studio"},
                {"Addr", "127.0.0.1:" + std::to_string(port())},
                {"Zone", "lima-a"},
                {"Version", "v1"},
                {"Slots", 8},
                {"State", m_drainsFor ? "draining" : "ready"},
                {"ColdLeftMs", 0},
                {"Capacity", {{"Cpu", 64'000}, {"MemMb", 262'144}, {"Gpu", m_accelerators}}},
                {"Labels", {"a", m_rack}},
                {"ClockMs", clockMs()},
                {"born", m_born},
                {"Seq", m_sequence}};
    if (m_drainsFor) {
        report["RemainingMs"] = m_drainsFor->count();
    }
    return report;
}

asio::awaitable<void> Executor::deliver(std::string id, std::string body)
{
    const auto until = runtime::Clock::now() + AnnounceInterval;
    const auto target = "/plantainfork/instances/" + id + "/heartbeat";
    while (co_await standins::postText(m_agent, target, body) == 0 && runtime::Clock::now() < until) {
        co_await runtime::sleepFor(WorkTick);
    }
}

asio::awaitable<void> Executor::sayGoodbye()
{
    co_await standins::postText(m_agent, "/plantainfork/instances/" + m_id + "/deregister", "");
}

std::string Executor::foreignReport(FaultKind kind, unsigned variant) const
{
    Json foreign = report();
    foreign["Seq"] = m_sequence + 1;
    if (kind == FaultKind::HeartbeatOfLaterBirth) {
        foreign["born"] = m_born + LaterBy.count();
    } else if (kind == FaultKind::HeartbeatOfOtherService) {
        foreign["Service"] = "kit-atelier";
        foreign["Addr"] = "127.0.0.1:9";
        foreign["Seq"] = LargestSequence;
    } else if (kind == FaultKind::OddHeartbeat) {
        constexpr std::array Fields{"Service", "Addr", "Zone", "State", "Capacity", "Labels", "born", "Seq"};
        const std::string field = Fields.at(variant % Fields.size());
        foreign["Seq"] = LargestSequence;
        foreign[field] = Json::array({field, -1});
        if (variant % 3 == 0) {
            foreign.erase(field);
        } else if (variant % 3 == 1) {
            return "\xff\xfe{\"born\":";
        }
    }
    return foreign.dump();
}

asio::awaitable<void> Executor::sendForeign(FaultKind kind, unsigned variant)
{
    std::string id = m_id;
    if (kind == FaultKind::HeartbeatOfOtherId) {
        id += "-other";
    }
    co_await deliver(std::move(id), foreignReport(kind, variant));
}

asio::awaitable<void> Executor::sendEarlier()
{
    co_await deliver(m_earlierId, m_earlierReport.dump());
}

void Executor::setPaused(bool isPaused)
{
    m_isPaused = isPaused && !m_isDown;
    m_changed.notify();
}

asio::awaitable<void> Executor::awake() const
{
    while (m_isPaused) {
        co_await runtime::sleepFor(WorkTick);
    }
}

asio::awaitable<http::Response> Executor::answer(http::Request request)
{
    const auto life = m_life;
    co_await awake();
    if (m_isDown || life != m_life) {
        co_return noAnswer();
    }
    const Json wanted = Json::parse(request.body, nullptr, false);
    const std::string path(request.path());
    const bool isOther = request.header("X-Plantainfork-Expected-Instance").value_or(m_id) != m_id;
    if (isOther) {
        co_return reply(421, Json::object());
    }
    if (path == "/plantainfork/hold") {
        co_return co_await hold(wanted);
    }
    if (path == "/plantainfork/run-stop") {
        co_return stopRun(wanted);
    }
    if (path != "/plantainfork/run-start") {
        co_return reply(404, Json::object());
    }
    if (m_lateOrders > 0) {
        --m_lateOrders;
        asio::co_spawn(m_runner, startLate(wanted, m_life), asio::detached);
        co_return noAnswer();
    }
    co_return startRun(wanted, false);
}

asio::awaitable<void> Executor::startLate(Json wanted, std::uint64_t life)
{
    co_await runtime::sleepFor(LateBy);
    co_await awake();
    if (life == m_life) {
        startRun(wanted, true);
    }
}

bool Executor::obeys(const Json &wanted)
{
    const auto token = wanted.value("FencingToken", std::uint64_t{0});
    if (token < m_token) {
        return false;
    }
    m_token = token;
    return true;
}

void Executor::prolong(const Json &wanted)
{
    if (!wanted.contains("DeadlineMs")) {
        return;
    }
    const auto now = runtime::Clock::now();
    const auto onClock = [this](std::chrono::milliseconds time) {
        return std::chrono::duration_cast<runtime::Clock::duration>(time / m_bounds.clockRate);
    };
    const std::chrono::milliseconds deadline(wanted.at("DeadlineMs").get<std::int64_t>());
    const auto until = std::min(m_bornAt + onClock(deadline), now + onClock(m_bounds.longestHold));
    m_leaseUntil = m_leaseUntil == Instant::max() ? until : std::max(m_leaseUntil, until);
}

unsigned Executor::freeAccelerators() const
{
    unsigned used = 0;
    for (const auto &[task, run] : m_runs) {
        used += run.plan.accelerators;
    }
    return m_accelerators - std::min(used, m_accelerators);
}

http::Response Executor::startRun(const Json &wanted, bool isLate)
{
    if (!obeys(wanted)) {
        return reply(409, {{"Reason", "fence"}});
    }
    const auto task = TaskName::parse(wanted.value("Task", std::string()));
    const auto attempt = wanted.value("Attempt", std::uint64_t{0});
    if (!task || attempt == 0) {
        return reply(400, Json::object());
    }
    if (wanted.value("DeadlineMs", std::int64_t{0}) <= clockMs()) {
        return reply(409, {{"Reason", "late"}});
    }
    prolong(wanted);
    if (const auto run = m_runs.find(*task); run != m_runs.end() && run->second.attempt == attempt) {
        return reply(200, Json::object());
    }
    const auto old = m_oldAttempts.find(*task);
    if (m_runs.contains(*task) || (old != m_oldAttempts.end() && old->second >= attempt)) {
        return reply(409, {{"Reason", "old"}});
    }
    const JobPlan *job = m_floor.ledger().plan(task->job);
    Run run;
    run.attempt = attempt;
    run.plan = job != nullptr && task->step < job->steps.size() ? job->steps[task->step] : StepPlan();
    if (m_bounds.isGuarding && run.plan.accelerators > freeAccelerators()) {
        return reply(409, {{"Reason", "room"}});
    }
    run.startedAt = runtime::Clock::now();
    const std::string checkpoint = wanted.value("Checkpoint", std::string());
    run.done = run.firstDone = checkpoint.empty() ? 0 : std::stod(checkpoint);
    run.isFailing = m_isFailing || run.plan.alwaysFails;
    m_runs[*task] = run;
    const auto payload = wanted.value("Spec", std::string());
    m_floor.ledger().started(*task, attempt, payload, m_name, isLate, run.startedAt);
    if (payload.starts_with(DeadlyMark)) {
        asio::co_spawn(m_runner, die(m_life), asio::detached);
    }
    m_changed.notify();
    return reply(200, Json::object());
}

http::Response Executor::stopRun(const Json &wanted)
{
    if (!obeys(wanted)) {
        return reply(409, {{"Reason", "fence"}});
    }
    const auto task = TaskName::parse(wanted.value("Task", std::string()));
    if (!task) {
        return reply(400, Json::object());
    }
    const auto attempt = wanted.value("Attempt", std::uint64_t{0});
    auto &old = m_oldAttempts[*task];
    old = std::max(old, attempt);
    if (const auto run = m_runs.find(*task); run != m_runs.end() && run->second.attempt <= attempt) {
        run->second.stopsAt = std::min(run->second.stopsAt, runtime::Clock::now() + m_bounds.killGrace);
    }
    return reply(200, Json::object());
}

std::string Executor::saved(const Run &run)
{
    const double every = static_cast<double>(CheckpointEvery.count()) / static_cast<double>(std::max<std::int64_t>(run.plan.work.count(), 1));
    const double kept = run.stopsAt != Instant::max() ? run.done : run.done - std::fmod(run.done, every);
    return run.plan.hasCheckpoints && kept > 0 ? std::to_string(kept) : std::string();
}

asio::awaitable<http::Response> Executor::hold(Json wanted)
{
    if (!obeys(wanted)) {
        co_return reply(409, {{"Reason", "fence"}});
    }
    prolong(wanted);
    const auto lastSeen = wanted.value("LastSeen", std::uint64_t{0});
    while (!m_ends.empty() && m_ends.front().number <= lastSeen) {
        const End &end = m_ends.front();
        m_floor.ledger().noted(end.task, end.attempt, end.how, m_name);
        m_ends.pop_front();
    }
    const auto until = runtime::Clock::now() + std::chrono::milliseconds(wanted.value("WaitMs", std::int64_t{0}));
    const auto life = m_life;
    while (m_ends.empty() && life == m_life && runtime::Clock::now() < until) {
        co_await m_changed.waitUntil(until);
    }
    co_await awake();
    if (m_isDown || life != m_life) {
        co_return noAnswer();
    }
    Json running = Json::array();
    for (const auto &[task, run] : m_runs) {
        running.push_back({task.text(), run.attempt, saved(run), static_cast<unsigned>(run.done * WholePercent)});
    }
    Json ended = Json::array();
    for (const auto &end : m_ends) {
        ended.push_back({end.number, end.task.text(), end.attempt, end.how, end.saved});
    }
    co_return reply(200, {{"Running", std::move(running)}, {"Finished", std::move(ended)}});
}

asio::awaitable<void> Executor::work()
{
    while (true) {
        co_await runtime::sleepFor(WorkTick);
        if (runtime::Clock::now() >= m_leaseUntil) {
            // Nobody may rely on its right to run any longer, and while it is paused nothing goes on.
            lapse();
        }
        if (!m_isPaused) {
            advance(WorkTick);
        }
    }
}

void Executor::lapse()
{
    m_floor.ledger().lapsed(m_name);
    while (!m_runs.empty()) {
        end(m_runs.begin()->first, "lapsed");
    }
    m_leaseUntil = Instant::max();
}

void Executor::advance(std::chrono::milliseconds step)
{
    const auto now = runtime::Clock::now();
    std::vector<std::pair<TaskName, std::string>> ends;
    for (auto &[task, run] : m_runs) {
        run.isAssembled = run.isAssembled || !run.plan.isGang || m_floor.present(task, run.attempt) == run.plan.tasks;
        if (now >= run.stopsAt) {
            ends.emplace_back(task, "stopped");
        } else if (!run.isAssembled) {
            if (now - run.startedAt > m_bounds.gangTimeout) {
                ends.emplace_back(task, "alone");
            }
        } else {
            run.done = std::min(1.0, run.done + static_cast<double>(step.count()) / static_cast<double>(run.plan.work.count()));
            if (run.isFailing && run.done >= std::min(1.0, run.firstDone + FailsAt)) {
                ends.emplace_back(task, "failed");
            } else if (run.done >= 1.0) {
                ends.emplace_back(task, "done");
            }
        }
    }
    for (const auto &[task, how] : ends) {
        end(task, how);
    }
}

void Executor::end(TaskName task, const std::string &how)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end()) {
        return;
    }
    const Run run = found->second;
    m_runs.erase(found);
    auto &old = m_oldAttempts[task];
    old = std::max(old, run.attempt);
    m_ends.push_back({++m_lastEnd, task, run.attempt, how, saved(run)});
    m_floor.ledger().ended(task, run.attempt, how, m_name);
    m_changed.notify();
    if (run.plan.isGang) {
        m_floor.endGang(task, run.attempt, how == "done" ? "done" : "broken");
    }
}

unsigned Executor::membersOf(const TaskName &gang, std::uint64_t attempt) const
{
    return static_cast<unsigned>(std::count_if(m_runs.begin(), m_runs.end(), [&](const auto &entry) {
        return gangOf(entry.first) == gang && entry.second.attempt == attempt;
    }));
}

void Executor::endMembers(const TaskName &gang, std::uint64_t attempt, const std::string &how)
{
    std::vector<TaskName> members;
    for (const auto &[task, run] : m_runs) {
        if (gangOf(task) == gang && run.attempt == attempt && run.isAssembled) {
            members.push_back(task);
        }
    }
    for (const auto &member : members) {
        end(member, how);
    }
}

} // namespace plantainfork::soak
