/**
 * Executors as the platform's hosts have them: they announce themselves to the agent beside them, start and stop runs under fencing
 * tokens and leases, and list what runs and what has ended. The gangs of all executors of one floor come together here.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "http/message.h"
#include "http/server.h"
#include "platform/soak/faults.h"
#include "platform/soak/ledger.h"
#include "runtime/signal.h"
#include "standins/program.h"

namespace plantainfork::soak
{

namespace asio = boost::asio;
using Json = nlohmann::json;

struct ExecutorBounds {
    std::chrono::milliseconds longestHold{4000};
    std::chrono::milliseconds killGrace{400};
    std::chrono::milliseconds gangTimeout{3000};
    unsigned accelerators = 8;
    /** Turns away starts for which it has no room; otherwise it carries out any start. */
    bool isGuarding = true;
    /** How fast its clock runs, by which its lease ends. */
    double clockRate = 1.0;
};

class Executor;

/** All executors, for what concerns several of them. */
class Floor
{
public:
    explicit Floor(Ledger &ledger)
        : m_ledger(ledger)
    {
    }
    void add(Executor *executor)
    {
        m_executors.push_back(executor);
    }
    [[nodiscard]] Ledger &ledger()
    {
        return m_ledger;
    }
    [[nodiscard]] unsigned present(const TaskName &member, std::uint64_t attempt) const;
    /** Ends all members of a gang's run as they are when one of them has. */
    void endGang(const TaskName &member, std::uint64_t attempt, const std::string &how);

private:
    Ledger &m_ledger;
    std::vector<Executor *> m_executors;
};

class Executor
{
public:
    Executor(asio::any_io_executor runner, Floor &floor, std::string name, std::string rack, ExecutorBounds bounds);

    /** Listens; the agent's address is where it announces itself from then on. */
    void start(standins::Endpoint agent);
    [[nodiscard]] std::uint16_t port() const
    {
        return m_server->port();
    }
    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }

    /** Its process is gone and starts anew under the same id, at once. */
    void crash();
    /** Its process is gone until it is restarted. Planned: it has given notice. */
    void stop(bool isPlanned);
    /** A process that was stopped starts anew, under another id. */
    void restart();
    /** Counts its lives and the ends between them. */
    [[nodiscard]] std::uint64_t life() const
    {
        return m_life;
    }
    [[nodiscard]] bool isDown() const
    {
        return m_isDown;
    }
    /** It answers nothing, and nothing goes on, until the same life of it is resumed; its clock and its lease run on. */
    void setPaused(bool isPaused);
    void setDraining(std::chrono::milliseconds remaining)
    {
        m_drainsFor = remaining;
    }
    asio::awaitable<void> sayGoodbye();
    /** A heartbeat of another writer arrives, of this kind. */
    asio::awaitable<void> sendForeign(FaultKind kind, unsigned variant);
    /** The last heartbeat of its earlier life arrives. */
    asio::awaitable<void> sendEarlier();
    /** The next orders get no answer and are carried out late. */
    void answerLate(unsigned count)
    {
        m_lateOrders = count;
    }
    /** What it reports of itself from then on; what runs goes on. Nothing: as many as at its start. */
    void setAccelerators(std::optional<unsigned> accelerators);
    /** Fails all that it starts while on. */
    void setFailing(bool isFailing)
    {
        m_isFailing = isFailing;
    }

    /** How many members of the gang run here; a gang goes by the name of its first member. */
    [[nodiscard]] unsigned membersOf(const TaskName &gang, std::uint64_t attempt) const;
    void endMembers(const TaskName &gang, std::uint64_t attempt, const std::string &how);

private:
    struct Run {
        std::uint64_t attempt = 0;
        StepPlan plan;
        Instant startedAt;
        double done = 0;
        double firstDone = 0;
        bool isAssembled = false;
        bool isFailing = false;
        /** A stop takes effect then. */
        Instant stopsAt = Instant::max();
    };
    struct End {
        std::uint64_t number = 0;
        TaskName task;
        std::uint64_t attempt = 0;
        std::string how;
        std::string saved;
    };

    asio::awaitable<http::Response> answer(http::Request request);
    asio::awaitable<http::Response> hold(Json wanted);
    /** A deadly task has started: the process crashes in a moment and is back, under this id or another, some seconds later. */
    asio::awaitable<void> die(std::uint64_t life);
    void forgetAll();
    void beginLife();
    asio::awaitable<void> startLate(Json wanted, std::uint64_t life);
    http::Response startRun(const Json &wanted, bool isLate);
    http::Response stopRun(const Json &wanted);
    asio::awaitable<void> announce();
    [[nodiscard]] Json report() const;
    [[nodiscard]] std::string foreignReport(FaultKind kind, unsigned variant) const;
    /** Sends a heartbeat once the agent takes calls. */
    asio::awaitable<void> deliver(std::string id, std::string body);
    /** Returns once it isn't paused. */
    [[nodiscard]] asio::awaitable<void> awake() const;
    asio::awaitable<void> work();
    void advance(std::chrono::milliseconds step);
    void end(TaskName task, const std::string &how);
    void lapse();
    void prolong(const Json &wanted);
    [[nodiscard]] bool obeys(const Json &wanted);
    [[nodiscard]] std::int64_t clockMs() const;
    [[nodiscard]] http::Response reply(unsigned status, Json body) const;
    [[nodiscard]] unsigned freeAccelerators() const;
    static std::string saved(const Run &run);

    asio::any_io_executor m_runner;
    Floor &m_floor;
    /** Names its place, which keeps its address; what is at that place goes by m_id. */
    std::string m_name;
    std::string m_id;
    std::string m_rack;
    ExecutorBounds m_bounds;
    unsigned m_accelerators;
    std::unique_ptr<http::Server> m_server;
    standins::Endpoint m_agent;
    /** Counts its lives; what belongs to an earlier one has no effect. */
    std::uint64_t m_life = 0;
    /** Its process is gone, and not back yet. */
    bool m_isDown = false;
    bool m_isPaused = false;
    /** What it says is left of its time while it drains. */
    std::optional<std::chrono::milliseconds> m_drainsFor;
    std::string m_earlierId;
    Json m_earlierReport;
    std::int64_t m_born = 0;
    Instant m_bornAt;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastEnd = 0;
    Instant m_leaseUntil;
    std::map<TaskName, Run> m_runs;
    std::deque<End> m_ends;
    /** Highest attempt that was stopped or has ended here. */
    std::map<TaskName, std::uint64_t> m_oldAttempts;
    unsigned m_lateOrders = 0;
    bool m_isFailing = false;
    runtime::Signal m_changed;
};

} // namespace plantainfork::soak
