/** The platform's store as PROTOCOL.md tells it. It keeps its whole history, and answers at once. */
#pragma once

#include <algorithm>

#include <boost/beast/core/detail/base64.hpp>

#include "net.h"

namespace world
{

inline std::string toBase64(const std::string &bytes)
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

class Store
{
public:
    explicit Store(asio::any_io_executor executor)
        : m_changed(executor)
    {
        m_changed.expires_at(Clock::time_point::max());
        asio::co_spawn(executor, expireLeases(), asio::detached);
    }

    /** The operator writes. */
    void put(const std::string &key, const std::string &value)
    {
        ++m_revision;
        write(key, toBase64(value), 0);
        notify();
    }
    void remove(const std::string &key)
    {
        ++m_revision;
        erase(key);
        notify();
    }

    asio::awaitable<Reply> answer(Request request)
    {
        if (request.path == "/plantainfork/kv-watch") {
            co_return co_await watch(std::move(request));
        }
        co_return answerNow(request);
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds ttl{0};
        Clock::time_point until;
    };

    static Json shown(const std::string &key, const Item &item)
    {
        return {{"Key", key}, {"Value", item.value}, {"Revision", item.revision}, {"Created", item.created}, {"Lease", item.lease}};
    }
    static Reply reply(unsigned status, const Json &body)
    {
        return {status, body.dump()};
    }

    void notify()
    {
        m_changed.cancel();
    }
    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &item = m_items[key];
        item.created = item.created == 0 ? m_revision : item.created;
        item.revision = m_revision;
        item.value = value;
        item.lease = lease;
        m_history.emplace_back(m_revision, shown(key, item));
    }
    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            m_history.emplace_back(m_revision, Json{{"Key", key}, {"Revision", m_revision}, {"Deleted", true}});
        }
    }
    void endLease(std::uint64_t lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        if (!keys.empty()) {
            ++m_revision;
            for (const auto &key : keys) {
                erase(key);
            }
            notify();
        }
    }
    Task expireLeases()
    {
        while (true) {
            co_await pause(10ms);
            std::vector<std::uint64_t> ended;
            for (const auto &[lease, state] : m_leases) {
                if (Clock::now() >= state.until) {
                    ended.push_back(lease);
                }
            }
            for (const auto lease : ended) {
                endLease(lease);
            }
        }
    }

    [[nodiscard]] Reply changes(Json events) const
    {
        return reply(200, {{"events", std::move(events)}, {"AtRev", m_revision}});
    }

    asio::awaitable<Reply> watch(Request request)
    {
        const std::string prefix = request.query["Prefix"];
        const std::uint64_t after = std::stoull(request.query["After"]);
        const auto until = Clock::now() + std::chrono::milliseconds(std::stoll(request.query["WaitMs"]));
        while (true) {
            Json events = Json::array();
            const auto first = std::upper_bound(m_history.begin(), m_history.end(), after, [](std::uint64_t revision, const auto &event) {
                return revision < event.first;
            });
            for (auto event = first; event != m_history.end(); ++event) {
                if (event->second.at("Key").get_ref<const std::string &>().starts_with(prefix)) {
                    events.push_back(event->second);
                }
            }
            if (!events.empty() || Clock::now() >= until) {
                co_return changes(std::move(events));
            }
            asio::steady_timer timer(m_changed.get_executor(), std::min(until, Clock::now() + 5ms));
            boost::system::error_code error;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }

    Reply answerNow(Request &request)
    {
        const std::string &path = request.path;
        if (path == "/plantainfork/kv-key") {
            const auto found = m_items.find(request.query["Key"]);
            Json body = found == m_items.end() ? Json::object() : shown(found->first, found->second);
            body["AtRev"] = m_revision;
            return reply(found == m_items.end() ? 404 : 200, body);
        }
        if (path == "/plantainfork/kv-range") {
            return range(request);
        }
        if (path == "/plantainfork/kv-txn") {
            return transact(Json::parse(request.body));
        }
        if (path == "/plantainfork/kv-lease") {
            const std::chrono::milliseconds ttl(std::clamp<std::int64_t>(Json::parse(request.body).at("TtlMs").get<std::int64_t>(), 1000, 600'000));
            m_leases[++m_lastLease] = {ttl, Clock::now() + ttl};
            return reply(200, {{"Lease", m_lastLease}, {"TtlMs", ttl.count()}});
        }
        const std::uint64_t lease = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto found = m_leases.find(lease);
        if (found == m_leases.end()) {
            return reply(404, Json::object());
        }
        if (path.starts_with("/plantainfork/kv-keep/")) {
            found->second.until = Clock::now() + found->second.ttl;
            return reply(200, {{"TtlMs", found->second.ttl.count()}});
        }
        endLease(lease);
        return reply(200, Json::object());
    }

    Reply range(Request &request)
    {
        constexpr std::size_t PageItems = 500;
        constexpr std::size_t PageBytes = 1'000'000;
        const std::string prefix = request.query["Prefix"];
        const std::string after = request.query["After"];
        Json items = Json::array();
        std::size_t bytes = 0;
        bool hasMore = false;
        for (auto item = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); item != m_items.end(); ++item) {
            if (!item->first.starts_with(prefix)) {
                break;
            }
            if (items.size() >= PageItems || bytes >= PageBytes) {
                hasMore = true;
                break;
            }
            bytes += item->second.value.size();
            items.push_back(shown(item->first, item->second));
        }
        return reply(200, {{"items", std::move(items)}, {"HasMore", hasMore}, {"AtRev", m_revision}});
    }

    Reply transact(const Json &wanted)
    {
        Json current = Json::array();
        bool holds = true;
        for (const auto &condition : wanted.at("ExpectedRev")) {
            const auto key = condition.at("Key").get<std::string>();
            const auto found = m_items.find(key);
            holds = holds && (found == m_items.end() ? 0 : found->second.revision) == condition.at("Revision").get<std::uint64_t>();
            if (found != m_items.end()) {
                current.push_back(shown(key, found->second));
            }
        }
        if (wanted.at("ExpectedRev").size() + wanted.at("Write").size() + wanted.at("Remove").size() > 32) {
            return reply(400, Json::object());
        }
        if (!holds) {
            return reply(412, {{"items", std::move(current)}});
        }
        for (const auto &put : wanted.at("Write")) {
            const auto key = put.at("Key").get<std::string>();
            const auto lease = put.value("Lease", std::uint64_t{0});
            if (key.starts_with("op/") || key.starts_with("servers/")) {
                return reply(403, Json::object());
            }
            if (lease != 0 && !m_leases.contains(lease)) {
                return reply(404, Json::object());
            }
        }
        ++m_revision;
        for (const auto &put : wanted.at("Write")) {
            write(put.at("Key").get<std::string>(), put.at("Value").get<std::string>(), put.value("Lease", std::uint64_t{0}));
        }
        for (const auto &key : wanted.at("Remove")) {
            erase(key.get<std::string>());
        }
        notify();
        return reply(200, {{"Revision", m_revision}});
    }

    asio::steady_timer m_changed;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 76'000;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<std::pair<std::uint64_t, Json>> m_history;
};

} // namespace world
