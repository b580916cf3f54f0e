/** The operators' HTTP API for configuration: reads from the view in force, changes through the store. Entries only. */
#pragma once

#include <charconv>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "config/config_writer.h"
#include "config/service_json.h"
#include "http/message.h"

namespace plantainfork::config
{

template<store::KeyValueStore Store>
class ConfigService
{
public:
    ConfigService(Store &store, const ConfigHolder &holder, std::string entryName)
        : m_holder(holder)
        , m_writer(store, holder)
        , m_entryName(std::move(entryName))
    {
    }

    void setCheck(typename ConfigWriter<Store>::Check check)
    {
        m_writer.setCheck(std::move(check));
    }

    /** Answers /v1/{templates,workspaces,datacentres}[/{name}], /v1/config and /v1/config/history; 404 for anything else. */
    boost::asio::awaitable<http::Response> handle(http::Request request)
    {
        const std::string path(request.path());
        if (path == "/v1/config" && request.method == "GET") {
            co_return http::Response::json(200, toJson(*m_holder.config().load()));
        }
        if (path == "/v1/config/history" && request.method == "GET") {
            co_return co_await answerHistory();
        }
        constexpr std::string_view Root = "/v1/";
        const std::size_t slash = path.find('/', Root.size());
        const std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        const auto collection = path.starts_with(Root) ? collectionFromName(path.substr(Root.size(), slash - Root.size())) : std::nullopt;
        if (!collection) {
            co_return http::Response::json(404, errorJson("no such path"));
        }
        if (request.method == "GET") {
            co_return answerRead(*collection, name);
        }
        const bool isChange = request.method == "PUT" || request.method == "DELETE";
        if (!isChange || name.empty()) {
            co_return http::Response::json(405, errorJson("method not allowed here"));
        }
        co_return co_await answerChange(*collection, name, std::move(request));
    }

private:
    boost::asio::awaitable<http::Response> answerHistory()
    {
        const auto changes = co_await m_writer.history();
        if (!changes.ok()) {
            co_return http::Response::json(503, errorJson(std::string(changes.status().message())));
        }
        co_return http::Response::json(200, historyJson(*changes));
    }

    [[nodiscard]] http::Response answerRead(Collection collection, const std::string &name) const
    {
        const auto config = m_holder.config().load();
        if (name.empty()) {
            return http::Response::json(200, itemsJson(*config, collection));
        }
        const auto item = itemJson(*config, collection, name);
        return item ? http::Response::json(200, *item) : http::Response::json(404, errorJson("no such value"));
    }

    boost::asio::awaitable<http::Response> answerChange(Collection collection, std::string name, http::Request request)
    {
        ChangeRequest wanted;
        wanted.change.collection = collection;
        wanted.change.name = name;
        wanted.change.removed = request.method == "DELETE";
        if (!wanted.change.removed) {
            auto value = canonicalValue(collection, name, request.body);
            if (std::holds_alternative<base::Findings>(value)) {
                co_return http::Response::json(422, findingsJson(std::get<base::Findings>(value)));
            }
            wanted.change.value = std::get<std::string>(std::move(value));
        }
        wanted.change.id = base::ChangeId(request.header("Plantainfork-Change-Id").value_or(freshId()));
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        wanted.change.wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(now);
        if (const auto header = request.header("If-Match")) {
            const auto revision = parseRevision(*header);
            if (!revision) {
                base::Findings findings;
                findings.add("If-Match", "must be a revision");
                co_return http::Response::json(422, findingsJson(findings));
            }
            wanted.ifMatch = revision;
        }
        const ChangeResult result = co_await m_writer.make(std::move(wanted));
        co_return answer(result);
    }

    static http::Response answer(const ChangeResult &result)
    {
        switch (result.outcome) {
        case ChangeOutcome::Accepted:
            return http::Response::json(200, acceptedJson(*result.change));
        case ChangeOutcome::Conflict:
            return http::Response::json(409, conflictJson(result.change));
        case ChangeOutcome::Rejected:
            return http::Response::json(422, findingsJson(result.findings));
        case ChangeOutcome::NotAccepted:
            return http::Response::json(503, errorJson("not accepted: " + result.reason));
        case ChangeOutcome::Unknown:
            break;
        }
        return http::Response::json(504, errorJson("not known whether it was accepted; repeat with the same change id: " + result.reason));
    }

    static std::optional<base::Revision> parseRevision(const std::string &text)
    {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isWhole = error == std::errc() && end == text.data() + text.size();
        return isWhole ? std::optional(base::Revision(value)) : std::nullopt;
    }

    /** Unique among entries: the entry's name, the clock and a count. */
    std::string freshId()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch().count();
        return m_entryName + "-" + std::to_string(now) + "-" + std::to_string(m_changeCount++);
    }

    const ConfigHolder &m_holder;
    ConfigWriter<Store> m_writer;
    const std::string m_entryName;
    std::atomic<std::uint64_t> m_changeCount{0};
};

} // namespace plantainfork::config
