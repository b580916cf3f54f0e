/** Callers and operators: they speak to the entries as the outside does, and record what they were told. */
#pragma once

#include <map>
#include <set>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "scenario/fleet.h"
#include "scenario/history.h"

namespace plantainfork::scenario
{

TimeMs nowMs();

/** One request to make. */
struct CallPlan {
    std::string id;
    std::string templateName;
    std::string workspace;
    /** Empty: any entry that is ready, as the balancer would choose. */
    std::string entry;
    std::chrono::milliseconds deadline{5000};
    std::size_t padding = 0;
};

struct JobPlan {
    std::string id;
    std::string templateName;
    std::string workspace;
    std::string entry;
    std::chrono::milliseconds runTime{1000};
    /** 0: as the template says. */
    std::uint32_t members = 0;
    std::uint32_t accelerators = 0;
};

enum class ChangeOutcome {
    Accepted,
    Conflict,
    /** Known not to have been accepted. */
    Refused,
    Unknown,
};

class Client
{
public:
    Client(Fleet &fleet, History &history);

    /** Makes one request and records it. Only a request of which nothing was sent goes to another entry. */
    boost::asio::awaitable<void> call(CallPlan plan);

    /** One attempt at a change. With a revision of 0 the change is unconditional. */
    boost::asio::awaitable<ChangeOutcome>
    change(std::string collection, std::string name, nlohmann::json value, std::string changeId, std::string entry, std::uint64_t onlyIf);
    /** Repeats a change under one id until it is known, or for ChangeLimit. */
    boost::asio::awaitable<ChangeOutcome>
    changeUntilKnown(std::string collection, std::string name, nlohmann::json value, std::string entry, std::uint64_t onlyIf);

    /** Submits until the outcome is known. */
    boost::asio::awaitable<absl::Status> submit(JobPlan plan);
    boost::asio::awaitable<absl::Status> cancel(std::string id, std::string entry);

    /** Reads JSON from an entry; from any ready one when none is named. */
    boost::asio::awaitable<absl::StatusOr<nlohmann::json>> read(std::string target, std::string entry);

    /** Asks each daemon for its readiness and the revision in force, over and over. */
    boost::asio::awaitable<void> watch();
    [[nodiscard]] bool isReady(const std::string &daemon) const;

    /** Reads what became of each accepted change. */
    boost::asio::awaitable<void> readFinalConfiguration();

    [[nodiscard]] std::uint64_t lastAcceptedRevision() const;

private:
    boost::asio::awaitable<void> watchOnce(std::string daemon);
    boost::asio::awaitable<absl::StatusOr<nlohmann::json>> readUntilThere(std::string target);
    /** Any ready entry other than the ones tried; any entry when none is ready. */
    std::string pickEntry(const std::set<std::string> &tried);
    boost::asio::awaitable<http::Exchange> send(std::string entry, http::Request request, std::chrono::milliseconds limit);

    Fleet &m_fleet;
    History &m_history;
    std::map<std::string, bool> m_ready;
    /** Templates as accepted, for their service and whether they are idempotent. */
    std::map<std::string, nlohmann::json> m_templates;
    std::uint64_t m_lastEntry = 0;
    std::uint64_t m_lastChange = 0;
};

} // namespace plantainfork::scenario
