/**
 * The platform's store in memory, spoken to over HTTP, with the troubles it may have: down, turning calls away, slow, answers lost,
 * changes carried out late, history forgotten.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "http/message.h"
#include "runtime/signal.h"

namespace plantainfork::soak
{

namespace asio = boost::asio;
using Json = nlohmann::json;

enum class StoreMode {
    Serving,
    /** 503 to every call; nothing is done. */
    TurningAway,
    /** Calls get no answer until it serves again. */
    Silent,
};

class Store
{
public:
    explicit Store(asio::any_io_executor executor);

    asio::awaitable<http::Response> answer(http::Request request);
    /** Ends leases that weren't renewed; runs forever. Leases pause while the store doesn't serve. */
    asio::awaitable<void> expireLeases();

    /** A write or a removal of the operator's, which no trouble reaches. */
    void put(const std::string &key, const std::string &value);
    void erase(const std::string &key);

    void setMode(StoreMode mode);
    void setDelay(std::chrono::milliseconds delay);
    /** The next changes get no answer; every second one of them is carried out late, if its condition still holds. */
    void loseAnswers(unsigned count);
    void forgetHistory();

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
        /** Empty: removed. */
        std::optional<Item> item;
    };
    struct Lease {
        std::chrono::milliseconds life{0};
        runtime::Instant until;
    };

    http::Response serve(const http::Request &request);
    [[nodiscard]] http::Response readKey(const http::Request &request) const;
    [[nodiscard]] http::Response readRange(const http::Request &request) const;
    asio::awaitable<http::Response> watch(http::Request request);
    http::Response transact(const std::string &body);
    http::Response createLease(const std::string &body);
    http::Response keepLease(std::uint64_t id);
    void endLease(std::uint64_t id);
    asio::awaitable<void> applyLate(http::Request request);

    [[nodiscard]] bool holds(const Json &expected) const;
    [[nodiscard]] Json conflict(const Json &expected) const;
    static Json show(const std::string &key, const Item &item);
    void write(const std::string &key, Item item);
    void remove(const std::string &key);

    asio::any_io_executor m_executor;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    std::deque<Change> m_history;
    /** Changes up to this revision are forgotten. */
    std::uint64_t m_forgottenUntil = 0;
    StoreMode m_mode = StoreMode::Serving;
    std::chrono::milliseconds m_delay{0};
    unsigned m_answersToLose = 0;
    runtime::Signal m_changed;
};

} // namespace plantainfork::soak
