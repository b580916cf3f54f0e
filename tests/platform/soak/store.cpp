#include "platform/soak/store.h"

#include <algorithm>
#include <set>
#include <utility>

#include <absl/strings/escaping.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "runtime/timer.h"

namespace plantainfork::soak
{

namespace
{

/** The store takes this many conditions, writes and removals together. */
constexpr std::size_t MostRows = 32;
/** Pages are kept small, so that readers meet several. */
constexpr std::size_t PageItems = 50;
constexpr std::chrono::milliseconds LongestWatch{30'000};
constexpr std::chrono::milliseconds LateBy{1500};
constexpr std::chrono::milliseconds LeaseTick{50};
/** A call to a silent store hangs at most this long. */
constexpr std::chrono::seconds LongestSilence{30};

http::Response answered(unsigned status, const Json &body)
{
    return http::Response::json(status, body.dump());
}

http::Response noAnswer()
{
    http::Response response;
    response.status = http::NoAnswer;
    return response;
}

std::uint64_t numberAfter(const std::string &path, const std::string &start)
{
    return std::stoull(path.substr(start.size()));
}

const std::string KeepPath = "/plantainfork/kv-keep/";
const std::string EndPath = "/plantainfork/kv-lease-end/";

} // namespace

Store::Store(asio::any_io_executor executor)
    : m_executor(executor)
    , m_changed(executor)
{
}

void Store::setMode(StoreMode mode)
{
    m_mode = mode;
    m_changed.notify();
}

void Store::setDelay(std::chrono::milliseconds delay)
{
    m_delay = delay;
}

void Store::loseAnswers(unsigned count)
{
    m_answersToLose = count;
}

void Store::forgetHistory()
{
    m_history.clear();
    m_forgottenUntil = m_revision;
    m_changed.notify();
}

void Store::put(const std::string &key, const std::string &value)
{
    ++m_revision;
    write(key, {absl::Base64Escape(value), 0, 0, 0});
    m_changed.notify();
}

void Store::erase(const std::string &key)
{
    ++m_revision;
    remove(key);
    m_changed.notify();
}

asio::awaitable<http::Response> Store::answer(http::Request request)
{
    if (m_delay.count() > 0) {
        co_await runtime::sleepFor(m_delay);
    }
    const auto giveUp = runtime::Clock::now() + LongestSilence;
    if (m_mode == StoreMode::Silent) {
        while (m_mode == StoreMode::Silent && runtime::Clock::now() < giveUp) {
            co_await m_changed.waitUntil(giveUp);
        }
        co_return noAnswer();
    }
    if (m_mode == StoreMode::TurningAway) {
        co_return answered(503, Json::object());
    }
    const std::string path(request.path());
    if (path == "/plantainfork/kv-watch") {
        co_return co_await watch(std::move(request));
    }
    const bool isChange = path == "/plantainfork/kv-txn" || path == "/plantainfork/kv-lease";
    if (isChange && m_answersToLose > 0) {
        const bool isLate = --m_answersToLose % 2 == 0;
        if (isLate) {
            asio::co_spawn(m_executor, applyLate(std::move(request)), asio::detached);
        } else {
            serve(request);
        }
        co_return noAnswer();
    }
    co_return serve(request);
}

asio::awaitable<void> Store::applyLate(http::Request request)
{
    co_await runtime::sleepFor(LateBy);
    serve(request);
}

http::Response Store::serve(const http::Request &request)
{
    const std::string path(request.path());
    if (path == "/plantainfork/kv-key") {
        return readKey(request);
    }
    if (path == "/plantainfork/kv-range") {
        return readRange(request);
    }
    if (path == "/plantainfork/kv-txn") {
        return transact(request.body);
    }
    if (path == "/plantainfork/kv-lease") {
        return createLease(request.body);
    }
    if (path.starts_with(KeepPath)) {
        return keepLease(numberAfter(path, KeepPath));
    }
    if (path.starts_with(EndPath)) {
        endLease(numberAfter(path, EndPath));
        return answered(200, Json::object());
    }
    return answered(404, Json::object());
}

Json Store::show(const std::string &key, const Item &item)
{
    return {{"Key", key}, {"Value", item.value}, {"Revision", item.revision}, {"Created", item.created}, {"Lease", item.lease}};
}

http::Response Store::readKey(const http::Request &request) const
{
    const auto found = m_items.find(request.query("Key").value_or(""));
    Json body = found == m_items.end() ? Json::object() : show(found->first, found->second);
    body["AtRev"] = m_revision;
    return answered(found == m_items.end() ? 404 : 200, body);
}

http::Response Store::readRange(const http::Request &request) const
{
    const std::string prefix = request.query("Prefix").value_or("");
    const std::string after = request.query("After").value_or("");
    Json items = Json::array();
    bool hasMore = false;
    for (auto item = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); item != m_items.end() && item->first.starts_with(prefix);
         ++item) {
        hasMore = items.size() == PageItems;
        if (hasMore) {
            break;
        }
        items.push_back(show(item->first, item->second));
    }
    return answered(200, {{"items", std::move(items)}, {"HasMore", hasMore}, {"AtRev", m_revision}});
}

asio::awaitable<http::Response> Store::watch(http::Request request)
{
    const std::string prefix = request.query("Prefix").value_or("");
    const std::uint64_t after = std::stoull(request.query("After").value_or("0"));
    const auto wait = std::min(LongestWatch, std::chrono::milliseconds(std::stoll(request.query("WaitMs").value_or("0"))));
    const auto until = runtime::Clock::now() + wait;
    while (true) {
        if (after < m_forgottenUntil) {
            co_return answered(410, Json::object());
        }
        Json events = Json::array();
        for (const auto &change : m_history) {
            if (change.revision > after && change.key.starts_with(prefix)) {
                events.push_back(change.item ? show(change.key, *change.item) : Json{{"Key", change.key}, {"Revision", change.revision}, {"Deleted", true}});
            }
        }
        if (m_mode != StoreMode::Serving) {
            co_return noAnswer();
        }
        if (!events.empty() || runtime::Clock::now() >= until) {
            co_return answered(200, {{"events", std::move(events)}, {"AtRev", m_revision}});
        }
        co_await m_changed.waitUntil(until);
    }
}

bool Store::holds(const Json &expected) const
{
    return std::all_of(expected.begin(), expected.end(), [this](const Json &row) {
        const auto found = m_items.find(row.at("Key").get<std::string>());
        return (found == m_items.end() ? 0 : found->second.revision) == row.at("Revision").get<std::uint64_t>();
    });
}

Json Store::conflict(const Json &expected) const
{
    Json items = Json::array();
    for (const auto &row : expected) {
        if (const auto found = m_items.find(row.at("Key").get<std::string>()); found != m_items.end()) {
            items.push_back(show(found->first, found->second));
        }
    }
    return {{"items", std::move(items)}, {"AtRev", m_revision}};
}

http::Response Store::transact(const std::string &body)
{
    const Json wanted = Json::parse(body);
    const Json expected = wanted.value("ExpectedRev", Json::array());
    const Json writes = wanted.value("Write", Json::array());
    const Json removals = wanted.value("Remove", Json::array());
    if (expected.size() + writes.size() + removals.size() > MostRows) {
        return answered(400, Json::object());
    }
    if (!holds(expected)) {
        return answered(412, conflict(expected));
    }
    const bool hasLeases = std::all_of(writes.begin(), writes.end(), [this](const Json &row) {
        const auto lease = row.value("Lease", std::uint64_t{0});
        return lease == 0 || m_leases.contains(lease);
    });
    if (!hasLeases) {
        return answered(404, Json::object());
    }
    ++m_revision;
    for (const auto &row : writes) {
        write(row.at("Key").get<std::string>(), {row.at("Value").get<std::string>(), 0, 0, row.value("Lease", std::uint64_t{0})});
    }
    for (const auto &key : removals) {
        remove(key.get<std::string>());
    }
    m_changed.notify();
    return answered(200, {{"Revision", m_revision}});
}

void Store::write(const std::string &key, Item item)
{
    const auto known = m_items.find(key);
    item.revision = m_revision;
    item.created = known == m_items.end() ? m_revision : known->second.created;
    m_history.push_back({m_revision, key, item});
    m_items[key] = std::move(item);
}

void Store::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({m_revision, key, std::nullopt});
    }
}

http::Response Store::createLease(const std::string &body)
{
    const std::chrono::milliseconds life(Json::parse(body).at("TtlMs").get<std::int64_t>());
    m_leases[++m_lastLease] = {life, runtime::Clock::now() + life};
    return answered(200, {{"Lease", m_lastLease}, {"TtlMs", life.count()}});
}

http::Response Store::keepLease(std::uint64_t id)
{
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
        return answered(404, Json::object());
    }
    lease->second.until = runtime::Clock::now() + lease->second.life;
    return answered(200, {{"TtlMs", lease->second.life.count()}});
}

void Store::endLease(std::uint64_t id)
{
    if (m_leases.erase(id) == 0) {
        return;
    }
    ++m_revision;
    std::set<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == id) {
            keys.insert(key);
        }
    }
    for (const auto &key : keys) {
        remove(key);
    }
    m_changed.notify();
}

asio::awaitable<void> Store::expireLeases()
{
    while (true) {
        co_await runtime::sleepFor(LeaseTick);
        std::set<std::uint64_t> ended;
        for (auto &[id, lease] : m_leases) {
            if (m_mode != StoreMode::Serving) {
                lease.until += LeaseTick;
            } else if (lease.until <= runtime::Clock::now()) {
                ended.insert(id);
            }
        }
        for (const auto id : ended) {
            endLease(id);
        }
    }
}

} // namespace plantainfork::soak
