#include "scenario/runner.h"

#include <csignal>
#include <fstream>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>

#include "base/try.h"
#include "runtime/timer.h"
#include "scenario/conditions.h"
#include "scenario/records.h"

namespace plantainfork::scenario
{

namespace asio = boost::asio;
using Json = nlohmann::json;
using Step = asio::awaitable<absl::Status>;

namespace
{

constexpr std::chrono::milliseconds PollInterval{25};
constexpr std::chrono::seconds StopLimit{40};
/** Default of `eventually`: long enough for a busy machine, as what must be fast is checked by the history. */
constexpr std::chrono::seconds EventuallyLimit{20};
constexpr std::chrono::seconds LoadLimit{120};

absl::Status failed(const std::string &reason)
{
    return absl::FailedPreconditionError(reason);
}

class Runner
{
public:
    Runner(const Topology &topology, const FleetOptions &options)
        : m_state(topology, options)
    {
        m_history.bound = topology.bound.count();
    }

    asio::awaitable<std::string> run(Script script)
    {
        std::string failure;
        for (const auto &statement : script) {
            const auto status = co_await execute(statement);
            if (!status.ok()) {
                failure = statement.place.text() + ": " + statement.keyword + ": " + std::string(status.message());
                break;
            }
        }
        // Also after a failed step, which may have failed for the very loss that this shows.
        co_await m_client.readFinalConfiguration();
        co_return failure;
    }

    /** The history, once all processes have ended. */
    const History &history()
    {
        readRecords(m_fleet, m_history, m_killed);
        return m_history;
    }

private:
    Step execute(Statement statement)
    {
        const std::string &keyword = statement.keyword;
        if (keyword.rfind("expect ", 0) == 0) {
            co_return co_await holds(m_state, statement, keyword.substr(7));
        }
        if (keyword.rfind("eventually ", 0) == 0) {
            co_return co_await eventually(statement, keyword.substr(11));
        }
        const std::map<std::string, Step (Runner::*)(Statement)> actions = {
            {"start", &Runner::start},
            {"stop", &Runner::stop},
            {"kill", &Runner::signal},
            {"freeze", &Runner::signal},
            {"resume", &Runner::signal},
            {"leave", &Runner::controlTarget},
            {"fail", &Runner::controlTarget},
            {"heal", &Runner::controlTarget},
            {"slow", &Runner::controlTarget},
            {"cut", &Runner::controlLink},
            {"mend", &Runner::controlLink},
            {"swallow", &Runner::controlLink},
            {"delay", &Runner::controlLink},
            {"store-down", &Runner::controlStore},
            {"store-up", &Runner::controlStore},
            {"store-slow", &Runner::controlStore},
            {"store-lose", &Runner::controlStore},
            {"template", &Runner::define},
            {"workspace", &Runner::define},
            {"take-out", &Runner::changeMode},
            {"bring-in", &Runner::changeMode},
            {"race", &Runner::race},
            {"call", &Runner::call},
            {"load", &Runner::load},
            {"submit", &Runner::submit},
            {"tool", &Runner::tool},
            {"cancel", &Runner::cancel},
            {"wait", &Runner::wait},
            {"await", &Runner::await},
        };
        const auto action = actions.find(keyword);
        if (action == actions.end()) {
            co_return absl::OkStatus();
        }
        co_return co_await (this->*action->second)(statement);
    }

    static std::vector<std::string> processes(const Statement &statement)
    {
        std::vector<std::string> names;
        for (const auto &[label, argument] : statement.arguments) {
            if (label.rfind("process", 0) == 0) {
                names.push_back(argument.text);
            }
        }
        return names;
    }

    Step start(Statement statement)
    {
        if (statement.text("process") == "all") {
            CO_TRY(co_await m_fleet.startLinks());
            for (const auto &node : m_fleet.topology().nodes) {
                CO_TRY(co_await m_fleet.start(node.name));
            }
            co_await m_client.watch();
            co_return absl::OkStatus();
        }
        for (const auto &name : processes(statement)) {
            CO_TRY(co_await m_fleet.start(name));
            for (auto &leaving : m_history.leaving) {
                const bool isOpen = leaving.target == name && leaving.returned == Never;
                leaving.returned = isOpen ? nowMs() : leaving.returned;
            }
        }
        co_return absl::OkStatus();
    }

    Step stop(Statement statement)
    {
        for (const auto &name : processes(statement)) {
            PlannedStop planned{name, nowMs(), 0};
            if (m_fleet.topology().find(name)->isTarget()) {
                m_history.leaving.push_back({name, nowMs(), Never});
            }
            CO_TRY(m_fleet.process(name).signal(SIGTERM));
            const auto exitCode = co_await m_fleet.process(name).end(StopLimit);
            if (!exitCode.ok()) {
                co_return exitCode.status();
            }
            planned.exitCode = *exitCode;
            m_history.stops.push_back(planned);
        }
        co_return absl::OkStatus();
    }

    Step signal(Statement statement)
    {
        static const std::map<std::string, int> Numbers = {{"kill", SIGKILL}, {"freeze", SIGSTOP}, {"resume", SIGCONT}};
        m_history.hasOnlyPlannedStops = false;
        for (const auto &name : processes(statement)) {
            CO_TRY(m_fleet.process(name).signal(Numbers.at(statement.keyword)));
            if (statement.keyword == "freeze") {
                m_history.frozen.push_back({name, nowMs(), Never});
            }
            for (auto &frozen : m_history.frozen) {
                const bool isOver = frozen.process == name && frozen.end == Never && statement.keyword != "freeze";
                frozen.end = isOver ? nowMs() : frozen.end;
            }
            if (statement.keyword == "kill") {
                m_killed.push_back({name, m_fleet.lives(name), nowMs()});
                CO_TRY((co_await m_fleet.process(name).end(StopLimit)).status());
            }
        }
        co_return absl::OkStatus();
    }

    Step controlTarget(Statement statement)
    {
        Json body = Json::object();
        if (statement.keyword == "slow") {
            body["delayMs"] = statement.duration("delay", {}).count();
        } else if (statement.keyword == "leave") {
            body["leave"] = true;
        } else {
            body["failAll"] = statement.keyword == "fail";
            m_history.hasOnlyPlannedStops = false;
        }
        for (const auto &name : processes(statement)) {
            CO_TRY(co_await m_fleet.control(name, body));
            if (statement.keyword == "leave") {
                m_history.leaving.push_back({name, nowMs(), Never});
            }
        }
        co_return absl::OkStatus();
    }

    Step controlLink(Statement statement)
    {
        m_history.hasOnlyPlannedStops = false;
        const std::string &keyword = statement.keyword;
        Json body = Json::object();
        if (keyword == "swallow") {
            body["swallow"] = true;
        } else if (keyword == "delay") {
            body["delayMs"] = statement.duration("delay", {}).count();
        } else {
            body["cut"] = keyword == "cut";
        }
        co_return co_await m_fleet.controlLink(statement.text("link"), body);
    }

    Step controlStore(Statement statement)
    {
        m_history.hasOnlyPlannedStops = false;
        const std::string &keyword = statement.keyword;
        Json body = Json::object();
        if (keyword == "store-slow") {
            body["delayMs"] = statement.duration("delay", {}).count();
        } else if (keyword == "store-lose") {
            body["loseAnswers"] = statement.count("answers", 1);
        } else {
            body["down"] = keyword == "store-down";
        }
        co_return co_await m_fleet.control("store", body);
    }

    Step define(Statement statement)
    {
        const auto outcome = co_await m_client.changeUntilKnown(statement.keyword + "s", statement.text("name"), Json::parse(statement.text("value")), "", 0);
        co_return outcome == ChangeOutcome::Accepted ? absl::OkStatus() : failed(statement.text("name") + " was not accepted: " + word(outcome));
    }

    Step changeMode(Statement statement)
    {
        const std::string name = statement.text("datacentre");
        const Json value = {{"region", m_fleet.topology().dataCentres.at(name)}, {"mode", statement.keyword == "take-out" ? "out" : "in"}};
        if (statement.has("id")) {
            const std::string id = statement.text("id");
            m_state.changes[id] = co_await m_client.change("datacentres", name, value, id, statement.text("entry"), 0);
            co_return absl::OkStatus();
        }
        const auto outcome = co_await m_client.changeUntilKnown("datacentres", name, value, statement.text("entry"), 0);
        co_return outcome == ChangeOutcome::Accepted ? absl::OkStatus() : failed(name + " was not changed: " + word(outcome));
    }

    /** Several operators change one data centre from the same revision at once: exactly one may win. */
    Step race(Statement statement)
    {
        const std::string name = statement.text("datacentre");
        const auto before = co_await m_client.read("/v1/datacentres/" + name, "");
        if (!before.ok()) {
            co_return before.status();
        }
        const Json value = {{"region", m_fleet.topology().dataCentres.at(name)}, {"mode", "in"}};
        const auto operators = statement.count("operators", 2);
        const auto outcomes = std::make_shared<std::vector<ChangeOutcome>>();
        const auto executor = co_await asio::this_coro::executor;
        const std::uint64_t revision = before->at("revision");
        for (std::uint64_t i = 0; i < operators; ++i) {
            asio::co_spawn(executor,
                           m_client.changeUntilKnown("datacentres", name, value, "", revision),
                           [outcomes](const std::exception_ptr &, ChangeOutcome outcome) {
                               outcomes->push_back(outcome);
                           });
        }
        while (outcomes->size() < operators) {
            co_await runtime::sleepFor(PollInterval);
        }
        const auto winners = std::count(outcomes->begin(), outcomes->end(), ChangeOutcome::Accepted);
        const auto losers = std::count(outcomes->begin(), outcomes->end(), ChangeOutcome::Conflict);
        const bool isSound = winners == 1 && winners + losers == static_cast<std::ptrdiff_t>(operators);
        co_return isSound ? absl::OkStatus() : failed(std::to_string(winners) + " operators won and " + std::to_string(losers) + " heard of a conflict");
    }

    static CallPlan callPlan(const Statement &statement, std::string id)
    {
        CallPlan plan;
        plan.id = std::move(id);
        plan.templateName = statement.text("template");
        plan.workspace = statement.text("workspace");
        plan.entry = statement.text("entry");
        plan.deadline = statement.duration("deadline", plan.deadline);
        plan.padding = statement.count("padding", 0);
        return plan;
    }

    /** Calls run in the background; `expect call` and `await` wait for them. */
    Step call(Statement statement)
    {
        ++m_state.openCalls[statement.text("id")];
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, callOnce(callPlan(statement, statement.text("id")), statement.text("id")), asio::detached);
        co_return absl::OkStatus();
    }

    asio::awaitable<void> callOnce(CallPlan plan, std::string name)
    {
        co_await m_client.call(std::move(plan));
        --m_state.openCalls[name];
    }

    Step load(Statement statement)
    {
        ++m_state.openCalls[statement.text("name")];
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, loadFor(statement), asio::detached);
        co_return absl::OkStatus();
    }

    /** Starts calls at the rate, whatever becomes of earlier ones. */
    asio::awaitable<void> loadFor(Statement statement)
    {
        const std::string name = statement.text("name");
        const auto interval = std::chrono::nanoseconds(1'000'000'000 / std::max<std::uint64_t>(1, statement.count("rate", 1)));
        const auto executor = co_await asio::this_coro::executor;
        const auto start = runtime::Clock::now();
        const auto length = statement.duration("length", {});
        for (std::uint64_t i = 0; interval * i < length; ++i) {
            co_await runtime::sleepUntil(start + interval * i);
            ++m_state.openCalls[name];
            const std::string id = name + "-" + std::to_string(i);
            asio::co_spawn(executor, callOnce(callPlan(statement, id), name), asio::detached);
        }
        --m_state.openCalls[name];
    }

    Step await(Statement statement)
    {
        const auto deadline = runtime::Clock::now() + LoadLimit;
        while (m_state.openCalls[statement.text("name")] > 0) {
            if (runtime::Clock::now() > deadline) {
                co_return failed("calls of " + statement.text("name") + " are still open");
            }
            co_await runtime::sleepFor(PollInterval);
        }
        co_return absl::OkStatus();
    }

    Step submit(Statement statement)
    {
        JobPlan plan;
        plan.id = statement.text("id");
        plan.templateName = statement.text("template");
        plan.workspace = statement.text("workspace");
        plan.entry = statement.text("entry");
        plan.runTime = statement.duration("runtime", plan.runTime);
        plan.members = static_cast<std::uint32_t>(statement.count("members", 0));
        plan.accelerators = static_cast<std::uint32_t>(statement.count("accelerators", 0));
        co_return co_await m_client.submit(plan);
    }

    Step cancel(Statement statement)
    {
        co_return co_await m_client.cancel(statement.text("id"), statement.text("entry"));
    }

    Step tool(Statement statement)
    {
        const auto arguments = Json::parse(statement.text("arguments")).get<std::vector<std::string>>();
        const auto exitCode = co_await m_fleet.runTool(arguments);
        if (!exitCode.ok()) {
            co_return exitCode.status();
        }
        co_return *exitCode == 0 ? absl::OkStatus() : failed("the tool ended with " + std::to_string(*exitCode));
    }

    Step wait(Statement statement)
    {
        co_await runtime::sleepFor(statement.duration("length", {}));
        co_return absl::OkStatus();
    }

    Step eventually(Statement statement, std::string condition)
    {
        const auto deadline = runtime::Clock::now() + statement.duration("within", EventuallyLimit);
        absl::Status status;
        do {
            status = co_await holds(m_state, statement, condition);
            if (status.ok()) {
                co_return status;
            }
            co_await runtime::sleepFor(PollInterval);
        } while (runtime::Clock::now() < deadline);
        co_return status;
    }

    RunState m_state;
    History &m_history = m_state.history;
    Fleet &m_fleet = m_state.fleet;
    Client &m_client = m_state.client;
    std::vector<Killed> m_killed;
};

std::string summarize(const History &history)
{
    std::map<std::string, unsigned> counts;
    for (const auto &call : history.calls) {
        ++counts["calls " + word(call.outcome)];
    }
    for (const auto &task : history.taskRuns) {
        ++counts["tasks " + (task.state.empty() ? "lost" : task.state)];
    }
    counts["runs"] = static_cast<unsigned>(history.runs.size());
    counts["changes"] = static_cast<unsigned>(history.accepted.size());
    counts["revisions seen"] = static_cast<unsigned>(history.revisions.size());
    std::string text;
    for (const auto &[name, count] : counts) {
        text += (text.empty() ? "" : ", ") + name + " " + std::to_string(count);
    }
    return text;
}

} // namespace

bool Report::isClean() const
{
    return failure.empty() && violations.empty();
}

Report run(const Script &script, const FleetOptions &options)
{
    const auto topology = Topology::build(script);
    if (const auto *findings = std::get_if<base::Findings>(&topology)) {
        return {findings->text(), {}, {}};
    }
    Report report;
    asio::io_context context(1);
    Runner runner(std::get<Topology>(topology), options);
    asio::co_spawn(context, runner.run(script), [&](const std::exception_ptr &thrown, std::string failure) {
        report.failure = thrown ? "the runner failed" : std::move(failure);
        context.stop();
    });
    context.run();
    const auto &history = runner.history();
    report.violations = check(history);
    report.summary = summarize(history);
    return report;
}

} // namespace plantainfork::scenario
