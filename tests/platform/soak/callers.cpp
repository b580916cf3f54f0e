#include "platform/soak/callers.h"

#include <array>
#include <cstdio>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "runtime/timer.h"

namespace plantainfork::soak
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds Patience{3000};
constexpr std::chrono::milliseconds AskInterval{400};
constexpr unsigned MostTries = 5;
constexpr std::size_t Connections = 64;
constexpr unsigned Percent = 100;
constexpr unsigned CancelPercent = 12;
constexpr unsigned RepeatPercent = 10;
constexpr unsigned HopelessPercent = 5;
constexpr unsigned DeadlyPercent = 5;

struct Queue {
    const char *name;
    unsigned priority;
    double slack;
};
constexpr std::array<Queue, 3> Queues{{{"proof", 0, 1.5}, {"nest", 1, 3.0}, {"size", 2, 3.0}}};

std::string hostOf(const Queue &queue)
{
    return std::string(queue.name) + ".example";
}

Json describe(const JobPlan &plan)
{
    Json steps = Json::array();
    for (const auto &step : plan.steps) {
        Json json{{"Count", step.tasks}, {"Cpu", 1000}, {"MemMb", 1024}, {"Gpu", step.accelerators}, {"EstimateMs", step.work.count()}};
        if (step.isGang) {
            json["Gang"] = true;
        }
        if (step.hasCheckpoints) {
            json["Checkpointing"] = true;
        }
        if (!step.dependsOn.empty()) {
            json["After"] = step.dependsOn;
        }
        steps.push_back(std::move(json));
    }
    return {{"Spec", plan.payload}, {"Steps", std::move(steps)}};
}

} // namespace

Callers::Callers(asio::any_io_executor executor, Ledger &ledger, std::vector<standins::Endpoint> entries, std::uint64_t seed)
    : m_executor(executor)
    , m_ledger(ledger)
    , m_random(seed)
{
    for (const auto &entry : entries) {
        m_entries.push_back(std::make_unique<http::Client>(executor, entry.host, entry.port, Connections));
    }
}

std::string Callers::policy(std::uint64_t version, unsigned moreRoutes)
{
    Json routes = Json::array();
    for (const auto &queue : Queues) {
        routes.push_back({{"Name", queue.name},
                          {"Host", hostOf(queue)},
                          {"Prefix", std::string("/") + queue.name + "/"},
                          {"Service", "kit-studio"},
                          {"Priority", queue.priority},
                          {"MaxAttempts", MostFailures},
                          {"SlackFactor", queue.slack},
                          {"TargetDurationMs", 1000}});
    }
    for (unsigned i = 0; i < moreRoutes; ++i) {
        const std::string name = "more-" + std::to_string(i);
        routes.push_back({{"Name", name}, {"Host", name + ".example"}, {"Prefix", "/" + name + "/"}, {"Service", "kit-studio"}});
    }
    const Json tenants = Json::array({{{"Name", "club"}, {"ApiKeys", {"club-key"}}, {"Guaranteed", {{"Gpu", 8}}}}});
    return Json{{"Version", version}, {"Routes", std::move(routes)}, {"Services", {{{"Name", "kit-studio"}, {"Preconditions", true}}}}, {"Tenants", tenants}}
        .dump();
}

unsigned Callers::below(unsigned bound)
{
    return static_cast<unsigned>(m_random() % bound);
}

Callers::Sent Callers::draw(const std::string &job, std::mt19937_64 &random)
{
    const auto below = [&random](unsigned bound) {
        return static_cast<unsigned>(random() % bound);
    };
    const Queue &queue = Queues.at(below(Queues.size()));
    JobPlan plan;
    plan.payload = (below(Percent) < DeadlyPercent && !m_isCalm ? std::string(DeadlyMark) : std::string()) + "payload of " + job;
    StepPlan first;
    first.tasks = 1 + below(4);
    first.isGang = first.tasks > 1 && queue.priority < 2 && below(2) == 0;
    first.accelerators = queue.priority == 2 ? 1 : 1 + below(4);
    first.work = std::chrono::milliseconds(300 + below(1200) + queue.priority * 400);
    first.hasCheckpoints = below(2) == 0;
    first.alwaysFails = below(Percent) < HopelessPercent;
    plan.steps.push_back(first);
    if (below(4) == 0) {
        StepPlan second;
        second.accelerators = 1;
        second.work = std::chrono::milliseconds(300);
        second.dependsOn = {0};
        plan.steps.push_back(second);
    }
    const Sent sent{std::string("/") + queue.name + "/" + job, hostOf(queue), describe(plan).dump()};
    m_ledger.submitted(job, std::move(plan));
    return sent;
}

std::pair<std::string, Callers::Sent> Callers::newJob(std::mt19937_64 &random)
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(++m_lastJob));
    const std::string job(id.data());
    m_sent[job] = draw(job, random);
    return {job, m_sent[job]};
}

asio::awaitable<http::Exchange> Callers::call(std::string method, const Sent &sent)
{
    const auto entry = below(static_cast<unsigned>(m_entries.size()));
    co_return co_await callAt(*m_entries[entry], std::move(method), sent);
}

asio::awaitable<http::Exchange> Callers::callAt(http::Client &entry, std::string method, const Sent &sent)
{
    http::Request request;
    request.method = std::move(method);
    request.target = sent.path;
    request.headers = {{"Host", sent.host},
                       {"X-Api-Key", "club-key"},
                       {"X-Plantainfork-Deadline-Ms", std::to_string(Patience.count())},
                       {"Content-Type", "application/json"}};
    request.body = request.method == "POST" ? sent.body : "";
    co_return co_await entry.send(std::move(request), runtime::Clock::now() + Patience);
}

asio::awaitable<void> Callers::submitFor(std::chrono::milliseconds length, std::chrono::milliseconds interval)
{
    const auto until = runtime::Clock::now() + length;
    while (runtime::Clock::now() < until) {
        auto [job, sent] = newJob(m_random);
        asio::co_spawn(m_executor, follow(std::move(job), std::move(sent)), asio::detached);
        co_await runtime::sleepFor(interval);
    }
}

asio::awaitable<void> Callers::follow(std::string job, Sent sent)
{
    const bool isRepeated = below(Percent) < RepeatPercent;
    const bool isCancelled = below(Percent) < CancelPercent;
    const std::chrono::milliseconds cancelAfter(below(2500));
    Told told = Told::Unclear;
    for (unsigned tries = 0; tries < MostTries && told != Told::Accepted; ++tries) {
        told = co_await submit(job, sent);
        if (told != Told::Accepted) {
            co_await runtime::sleepFor(AskInterval);
        }
    }
    if (isRepeated) {
        co_await runtime::sleepFor(AskInterval * 3);
        co_await submit(job, sent);
    }
    if (isCancelled && told == Told::Accepted) {
        co_await runtime::sleepFor(cancelAfter);
        co_await cancel(job, sent);
    }
}

asio::awaitable<Told> Callers::submit(const std::string &job, const Sent &sent)
{
    const auto exchange = co_await call("POST", sent);
    const auto status = exchange.response.ok() ? std::optional<unsigned>(exchange.response->status) : std::nullopt;
    co_return submitAnswered(job, status, exchange.delivery != http::Delivery::NotSent);
}

Told Callers::submitAnswered(const std::string &job, std::optional<unsigned> status, bool isSent)
{
    Told told = isSent ? Told::Unclear : Told::Refused;
    if (status) {
        told = status == 200 ? Told::Accepted : status == 503 || status == 429 ? Told::Refused : Told::Unclear;
    }
    m_ledger.told(job, told, runtime::Clock::now());
    return told;
}

asio::awaitable<void> Callers::cancel(std::string job, Sent sent)
{
    m_ledger.cancelSent(job);
    bool isDone = false;
    for (unsigned tries = 0; tries < MostTries && !isDone; ++tries) {
        const auto exchange = co_await call("DELETE", sent);
        isDone = exchange.response.ok() && exchange.response->status == 200;
        if (!isDone) {
            co_await runtime::sleepFor(AskInterval);
        }
    }
    if (isDone) {
        m_ledger.cancelAcknowledged(job, runtime::Clock::now());
    }
}

asio::awaitable<std::string> Callers::ask(const std::string &job, const Sent &sent)
{
    const auto exchange = co_await call("GET", sent);
    if (!exchange.response.ok() || (exchange.response->status != 200 && exchange.response->status != 410)) {
        co_return "";
    }
    co_return shown(job, exchange.response->status, exchange.response->body);
}

std::string Callers::shown(const std::string &job, unsigned status, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const std::string state = status == 200 && json.is_object() ? json.value("State", std::string()) : std::string();
    m_ledger.shown(job, state, runtime::Clock::now());
    return state;
}

asio::awaitable<void> Callers::awaitEnds(std::chrono::milliseconds limit)
{
    const auto until = runtime::Clock::now() + limit;
    auto open = m_ledger.open();
    while (!open.empty() && runtime::Clock::now() < until) {
        for (const auto &job : open) {
            co_await ask(job, m_sent.at(job));
        }
        co_await runtime::sleepFor(AskInterval);
        open = m_ledger.open();
    }
}

asio::awaitable<void> Callers::askEach(std::chrono::milliseconds limit)
{
    const auto job = m_ledger.anyAccepted();
    const auto until = runtime::Clock::now() + limit;
    for (std::size_t entry = 0; job && entry < m_entries.size(); ++entry) {
        bool isAnswered = false;
        do {
            const auto exchange = co_await callAt(*m_entries[entry], "GET", m_sent.at(*job));
            isAnswered = exchange.response.ok() && (exchange.response->status == 200 || exchange.response->status == 410);
            if (!isAnswered) {
                co_await runtime::sleepFor(AskInterval);
            }
        } while (!isAnswered && runtime::Clock::now() < until);
        m_ledger.asked("entry " + std::to_string(entry), *job, isAnswered);
    }
}

} // namespace plantainfork::soak
