#include "scenario/client.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "base/try.h"
#include "runtime/timer.h"

namespace plantainfork::scenario
{

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds WatchInterval{50};
constexpr std::chrono::milliseconds WatchLimit{1000};
constexpr std::chrono::milliseconds RetryInterval{100};
constexpr std::chrono::seconds OperatorLimit{8};
constexpr std::chrono::seconds ChangeLimit{30};
/** The caller listens for this long after its deadline, so that a late answer is seen as late. */
constexpr std::chrono::seconds Patience{10};

Outcome outcomeOf(const http::Exchange &exchange)
{
    if (!exchange.response.ok()) {
        return exchange.delivery == http::Delivery::NotSent ? Outcome::NotSent : Outcome::NoAnswer;
    }
    const auto word = exchange.response->header("Plantainfork-Outcome").value_or("");
    if (word == "answered") {
        return Outcome::Answered;
    }
    return word == "not-run" ? Outcome::NotRun : Outcome::Unknown;
}

/** Whether all that `part` says stands in `whole`, which may say more. */
bool contains(const Json &whole, const Json &part)
{
    if (part.is_object()) {
        return whole.is_object() && std::all_of(part.items().begin(), part.items().end(), [&whole](const auto &item) {
                   return whole.contains(item.key()) && contains(whole.at(item.key()), item.value());
               });
    }
    if (part.is_array()) {
        return whole.is_array() && std::equal(whole.begin(), whole.end(), part.begin(), part.end(), contains);
    }
    return whole == part;
}

} // namespace

TimeMs nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(runtime::Clock::now().time_since_epoch()).count();
}

Client::Client(Fleet &fleet, History &history)
    : m_fleet(fleet)
    , m_history(history)
{
}

std::string Client::pickEntry(const std::set<std::string> &tried)
{
    const auto entries = m_fleet.topology().ofKind(NodeKind::Entry);
    for (const bool mustBeReady : {true, false}) {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto &name = entries[++m_lastEntry % entries.size()]->name;
            if (tried.count(name) == 0 && (isReady(name) || !mustBeReady)) {
                return name;
            }
        }
    }
    return entries.at(0)->name;
}

asio::awaitable<http::Exchange> Client::send(std::string entry, http::Request request, std::chrono::milliseconds limit)
{
    const std::string chosen = entry.empty() ? pickEntry({}) : entry;
    co_return co_await m_fleet.call(chosen, std::move(request), limit);
}

asio::awaitable<void> Client::call(CallPlan plan)
{
    const Json definition = m_templates[plan.templateName];
    Call record;
    record.id = plan.id;
    record.isIdempotent = definition.value("idempotent", true);
    record.body = "body of " + plan.id;
    record.padding = plan.padding;
    record.start = nowMs();
    record.deadline = record.start + plan.deadline.count();
    const std::size_t place = m_history.calls.size();
    m_history.calls.push_back(record);

    http::Request request;
    request.method = "POST";
    request.target = "/v1/services/" + definition.value("service", "none") + "/work?padding=" + std::to_string(plan.padding);
    request.headers = {{"Plantainfork-Workspace", plan.workspace},
                       {"Plantainfork-Template", plan.templateName},
                       {"Plantainfork-Request-Id", plan.id},
                       {"Plantainfork-Deadline-Ms", std::to_string(plan.deadline.count())},
                       {"Content-Type", "text/plain"}};
    request.body = record.body;
    std::set<std::string> tried;
    const std::size_t entries = m_fleet.topology().ofKind(NodeKind::Entry).size();
    do {
        record.entry = plan.entry.empty() ? pickEntry(tried) : plan.entry;
        tried.insert(record.entry);
        const auto exchange = co_await m_fleet.call(record.entry, request, plan.deadline + Patience);
        record.outcome = outcomeOf(exchange);
        record.status = exchange.response.ok() ? exchange.response->status : 0;
        record.answer = exchange.response.ok() ? exchange.response->body : std::string(exchange.response.status().message());
    } while (record.outcome == Outcome::NotSent && plan.entry.empty() && tried.size() < entries);
    record.end = nowMs();
    m_history.calls[place] = record;
}

asio::awaitable<ChangeOutcome>
Client::change(std::string collection, std::string name, Json value, std::string changeId, std::string entry, std::uint64_t onlyIf)
{
    http::Request request;
    request.method = "PUT";
    request.target = "/v1/" + collection + "/" + name;
    request.headers = {{"Content-Type", "application/json"}, {"Plantainfork-Change-Id", changeId}};
    if (onlyIf > 0) {
        request.headers.push_back({"If-Match", std::to_string(onlyIf)});
    }
    request.body = value.dump();
    const TimeMs asked = nowMs();
    const auto exchange = co_await send(entry, std::move(request), OperatorLimit);
    if (!exchange.response.ok()) {
        co_return exchange.delivery == http::Delivery::NotSent ? ChangeOutcome::Refused : ChangeOutcome::Unknown;
    }
    const Json answer = Json::parse(exchange.response->body, nullptr, false);
    if (exchange.response->status != 200) {
        const bool isUnknown = exchange.response->status == 504;
        const auto refused = exchange.response->status == 409 ? ChangeOutcome::Conflict : ChangeOutcome::Refused;
        co_return isUnknown ? ChangeOutcome::Unknown : refused;
    }
    const std::uint64_t revision = answer.is_object() ? answer.value("revision", std::uint64_t{0}) : 0;
    m_history.accepted.push_back({collection + "/" + name, revision, value.dump(), nowMs()});
    if (collection == "templates") {
        m_templates[name] = value;
    }
    if (collection == "datacentres" && value.value("mode", "") == "out") {
        m_history.outages.push_back({name, nowMs(), Never});
    } else if (collection == "datacentres") {
        for (auto &outage : m_history.outages) {
            const bool isOpen = outage.dataCentre == name && outage.broughtBack == Never;
            outage.broughtBack = isOpen ? std::max(asked, outage.accepted) : outage.broughtBack;
        }
    }
    co_return ChangeOutcome::Accepted;
}

asio::awaitable<ChangeOutcome> Client::changeUntilKnown(std::string collection, std::string name, Json value, std::string entry, std::uint64_t onlyIf)
{
    const std::string changeId = "change-" + std::to_string(++m_lastChange) + "-" + std::to_string(nowMs());
    const auto deadline = runtime::Clock::now() + ChangeLimit;
    while (true) {
        const auto outcome = co_await change(collection, name, value, changeId, entry, onlyIf);
        const bool isKnown = outcome == ChangeOutcome::Accepted || outcome == ChangeOutcome::Conflict;
        if (isKnown || runtime::Clock::now() > deadline) {
            co_return outcome;
        }
        co_await runtime::sleepFor(RetryInterval);
    }
}

asio::awaitable<absl::Status> Client::submit(JobPlan plan)
{
    const Json definition = m_templates[plan.templateName];
    Json body = {{"workspace", plan.workspace}, {"template", plan.templateName}, {"id", plan.id}, {"runTimeMs", plan.runTime.count()}};
    Json shape = definition.value("shape", Json::object());
    if (plan.members > 0) {
        shape["members"] = plan.members;
    }
    if (plan.accelerators > 0) {
        shape["acceleratorsPerMember"] = plan.accelerators;
    }
    body["shape"] = shape;
    m_history.jobMembers[plan.id] = shape.value("members", 1U);
    const auto deadline = runtime::Clock::now() + ChangeLimit;
    std::string last;
    while (runtime::Clock::now() < deadline) {
        http::Request request;
        request.method = "POST";
        request.target = "/v1/jobs";
        request.headers = {{"Content-Type", "application/json"}};
        request.body = body.dump();
        const auto exchange = co_await send(plan.entry, std::move(request), OperatorLimit);
        if (exchange.response.ok() && exchange.response->status == 202) {
            co_return absl::OkStatus();
        }
        last = exchange.response.ok() ? std::to_string(exchange.response->status) + " " + exchange.response->body : exchange.response.status().ToString();
        if (exchange.response.ok() && (exchange.response->status == 409 || exchange.response->status == 422)) {
            break;
        }
        co_await runtime::sleepFor(RetryInterval);
    }
    co_return absl::UnavailableError("job " + plan.id + " was not accepted: " + last);
}

asio::awaitable<absl::Status> Client::cancel(std::string id, std::string entry)
{
    const auto deadline = runtime::Clock::now() + ChangeLimit;
    while (runtime::Clock::now() < deadline) {
        http::Request request;
        request.method = "DELETE";
        request.target = "/v1/jobs/" + id;
        const auto exchange = co_await send(entry, std::move(request), OperatorLimit);
        if (exchange.response.ok() && exchange.response->status < 300) {
            co_return absl::OkStatus();
        }
        co_await runtime::sleepFor(RetryInterval);
    }
    co_return absl::UnavailableError("the cancellation of " + id + " was not accepted");
}

asio::awaitable<absl::StatusOr<Json>> Client::read(std::string target, std::string entry)
{
    http::Request request;
    request.target = target;
    const auto exchange = co_await send(entry, std::move(request), OperatorLimit);
    if (!exchange.response.ok()) {
        co_return exchange.response.status();
    }
    if (exchange.response->status != 200) {
        const std::string message = target + ": " + std::to_string(exchange.response->status) + " " + exchange.response->body;
        co_return exchange.response->status == 404 ? absl::NotFoundError(message) : absl::UnavailableError(message);
    }
    co_return Json::parse(exchange.response->body, nullptr, false);
}

asio::awaitable<void> Client::watch()
{
    const auto executor = co_await asio::this_coro::executor;
    for (const auto &node : m_fleet.topology().nodes) {
        if (node.isDaemon()) {
            asio::co_spawn(executor, watchOnce(node.name), asio::detached);
        }
    }
}

asio::awaitable<void> Client::watchOnce(std::string daemon)
{
    while (true) {
        if (m_fleet.process(daemon).isRunning()) {
            const std::uint32_t life = m_fleet.lives(daemon);
            http::Request ready;
            ready.target = "/ready";
            const auto answer = co_await m_fleet.call(daemon, ready, WatchLimit);
            m_ready[daemon] = answer.response.ok() && answer.response->status == 200;
            http::Request status;
            status.target = "/v1/status";
            const auto shown = co_await m_fleet.call(daemon, status, WatchLimit);
            const Json body = shown.response.ok() ? Json::parse(shown.response->body, nullptr, false) : Json();
            if (body.is_object() && body.contains("revision") && life == m_fleet.lives(daemon)) {
                m_history.revisions.push_back({daemon, life, body.at("revision").get<std::uint64_t>(), nowMs()});
            }
        } else {
            m_ready[daemon] = false;
        }
        co_await runtime::sleepFor(WatchInterval);
    }
}

bool Client::isReady(const std::string &daemon) const
{
    const auto found = m_ready.find(daemon);
    return found != m_ready.end() && found->second;
}

/** An entry may lag behind an accepted change by the scenario's bound; whoever still knows nothing of it then has lost it. */
asio::awaitable<absl::StatusOr<Json>> Client::readUntilThere(std::string target)
{
    const auto deadline = runtime::Clock::now() + std::chrono::milliseconds(m_history.bound);
    auto found = co_await read(target, "");
    while (absl::IsNotFound(found.status()) && runtime::Clock::now() < deadline) {
        co_await runtime::sleepFor(RetryInterval);
        found = co_await read(target, "");
    }
    co_return found;
}

asio::awaitable<void> Client::readFinalConfiguration()
{
    for (const auto &change : m_history.accepted) {
        if (m_history.final.count(change.place) > 0) {
            continue;
        }
        const auto found = co_await readUntilThere("/v1/" + change.place);
        if (absl::IsNotFound(found.status())) {
            m_history.final[change.place] = {change.place, 0, "no value", nowMs()};
        } else if (found.ok() && found->is_object()) {
            m_history.final[change.place] = {change.place, found->value("revision", std::uint64_t{0}), found->value("value", Json()).dump(), nowMs()};
        }
    }
    // What operators sent may leave out what the entry fills in; it is unchanged when all of it still stands.
    for (auto &change : m_history.accepted) {
        const auto final = m_history.final.find(change.place);
        if (final != m_history.final.end() && final->second.revision == change.revision
            && contains(Json::parse(final->second.value), Json::parse(change.value))) {
            change.value = final->second.value;
        }
    }
}

std::uint64_t Client::lastAcceptedRevision() const
{
    std::uint64_t last = 0;
    for (const auto &change : m_history.accepted) {
        last = std::max(last, change.revision);
    }
    return last;
}

} // namespace plantainfork::scenario
