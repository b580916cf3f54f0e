/** Fixture for tests of the agent: an executor and a leader that are scripted by the test; the agent and its calls are real. */
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "batch/agent.h"
#include "rpc/server.h"
#include "support/run.h"

namespace plantainfork::tests
{

using namespace std::chrono_literals;

/** An executor that records its calls and runs what it is told to start. */
class FakeExecutor
{
public:
    struct Start {
        batch::RunId run;
        base::FencingToken token;
        batch::ExecutorTime until{0};
        /** The executor's clock at the call. */
        batch::ExecutorTime at{0};
    };

    boost::asio::awaitable<batch::StartResult>
    start(batch::RunOrder order, batch::HostIncarnation, base::FencingToken token, batch::ExecutorTime until, runtime::Instant)
    {
        starts.push_back({order.run, token, until, clock()});
        if (std::exchange(isNextStartFailing, false)) {
            throw std::runtime_error("executor's answer not understood");
        }
        if (std::exchange(isNextAnswerLost, false)) {
            listing.running.push_back({order.run, "", 0});
            co_return batch::StartResult{batch::StartOutcome::Unknown, "answer lost"};
        }
        if (!isStartIgnored) {
            listing.running.push_back({order.run, "", 0});
        }
        if (startAnswerDelay.count() > 0) {
            co_await runtime::sleepFor(startAnswerDelay);
        }
        co_return startResult;
    }

    boost::asio::awaitable<absl::Status> stop(batch::RunId run, batch::HostIncarnation, base::FencingToken, runtime::Instant)
    {
        stops.push_back(run);
        co_return absl::OkStatus();
    }

    boost::asio::awaitable<absl::StatusOr<batch::Listing>> hold(batch::HoldRequest request, runtime::Instant)
    {
        holds.push_back(request);
        holdClocks.push_back(clock());
        if (std::exchange(isNextHoldFailing, false)) {
            throw std::runtime_error("executor's answer not understood");
        }
        if (nextAnswerDelay.count() > 0) {
            batch::Listing late = listing;
            late.clock = clock();
            const auto delay = std::exchange(nextAnswerDelay, 0ms);
            co_await runtime::sleepFor(delay);
            co_return late;
        }
        co_await runtime::sleepFor(holds.size() == 1 ? firstAnswerDelay : std::min<std::chrono::milliseconds>(request.wait, 50ms));
        if (isAway) {
            co_return absl::UnavailableError("end of stream");
        }
        listing.clock = clock();
        std::erase_if(listing.ended, [&](const batch::Ended &ended) {
            return ended.number <= request.acknowledged;
        });
        batch::Listing answer = listing;
        if (answer.ended.size() >= mostEnds) {
            answer.ended.resize(mostEnds);
            answer.isWhole = false;
        }
        if (isListingOld) {
            answer.running.clear();
        }
        co_return answer;
    }

    [[nodiscard]] batch::ExecutorTime clock() const
    {
        return std::chrono::duration_cast<batch::ExecutorTime>(runtime::Clock::now() - m_begin) + m_clockAtBegin;
    }

    /** A new process under the same id: its clock begins anew, and it runs nothing. */
    void restart(std::uint64_t born)
    {
        m_begin = runtime::Clock::now();
        m_clockAtBegin = 0ms;
        listing = {};
        listing.born = born;
    }

    std::vector<Start> starts;
    std::vector<batch::RunId> stops;
    std::vector<batch::HoldRequest> holds;
    /** The executor's clock at each call for its runs. */
    std::vector<batch::ExecutorTime> holdClocks;
    batch::Listing listing;
    bool isNextAnswerLost = false;
    /** Ends that are returned at a time. */
    std::size_t mostEnds = 500;
    /** Runs aren't listed, as by answers that were under way when they started. */
    bool isListingOld = false;
    /** The next call throws what nobody expects of it. */
    bool isNextHoldFailing = false;
    bool isNextStartFailing = false;
    /** As if the agent's process were paused between its first call and the answer. */
    std::chrono::milliseconds firstAnswerDelay{0};
    /** The next list of runs is under way for this long. */
    std::chrono::milliseconds nextAnswerDelay{0};
    /** Time between the beginning of a run and the answer to its start. */
    std::chrono::milliseconds startAnswerDelay{0};
    /** The answer to a start. */
    batch::StartResult startResult{batch::StartOutcome::Started, ""};
    /** Calls for lists of runs get no answer. */
    bool isAway = false;
    /** Starts begin nothing. */
    bool isStartIgnored = false;

private:
    runtime::Instant m_begin = runtime::Clock::now();
    batch::ExecutorTime m_clockAtBegin = 1h;
};

/** An agent with its executor, and a leader whose replies the test gives. */
class AgentFixture
{
public:
    using Leader = std::function<absl::StatusOr<batch::SyncReply>(const batch::SyncCall &)>;

    explicit AgentFixture(Leader leader)
        : m_leader(std::move(leader))
    {
        auto created = rpc::Server::create(context.get_executor(), "127.0.0.1", 0, {});
        REQUIRE(created.ok());
        m_server = std::move(*created);
        rpc::handleCall<batch::SyncCall>(*m_server, [this](batch::SyncCall call) -> boost::asio::awaitable<absl::StatusOr<batch::SyncReply>> {
            calls.push_back(call);
            // The leader holds calls; without a delay the agent would call without a pause.
            co_await runtime::sleepFor(5ms);
            co_return m_leader(call);
        });
        m_server->start();
        m_settings.id = base::MemberId("side-1");
        m_settings.entries = {{"127.0.0.1", m_server->port()}};
        m_agent = std::make_shared<batch::Agent<FakeExecutor>>(
            context.get_executor(),
            m_settings,
            executor,
            m_channels,
            []() -> boost::asio::awaitable<wire::Address> {
                co_return wire::Address();
            },
            m_metrics);
        announce({"i-1", 1});
        m_agent->start();
    }

    /** The executor reports itself; a new incarnation runs nothing. */
    void announce(batch::HostIncarnation incarnation, bool isDraining = false)
    {
        batch::HostReport report;
        report.incarnation = std::move(incarnation);
        report.capacity = {64'000, 256'000, 8};
        report.isDraining = isDraining;
        m_agent->handleHostReport(std::move(report));
    }

    /** The executor announces that it leaves. */
    void announceLeave(const std::string &instance)
    {
        m_agent->handleGoodbye(instance);
    }

    void runFor(std::chrono::milliseconds time)
    {
        runOn(context, runtime::sleepFor(time));
    }

    /** Runs until the condition holds; fails after a time that is ample on a busy machine. */
    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto deadline = runtime::Clock::now() + 30s;
        while (!condition()) {
            REQUIRE(runtime::Clock::now() < deadline);
            runFor(2ms);
        }
    }

    /** A leader's reply with one run to execute. */
    static batch::SyncReply order(const batch::RunId &run, std::uint64_t token, std::uint64_t version, std::chrono::milliseconds grant)
    {
        batch::SyncReply reply;
        reply.isLeader = true;
        reply.token = base::FencingToken(token);
        reply.grant = grant;
        reply.orders.version = version;
        reply.orders.incarnation = {"i-1", 1};
        reply.orders.runs.push_back({run, "payload", ""});
        return reply;
    }

    static batch::RunId run(const std::string &job, std::uint64_t attempt)
    {
        return {{base::JobId(job), 0, 0, 0}, batch::Attempt(attempt)};
    }

    boost::asio::io_context context;
    FakeExecutor executor;
    std::vector<batch::SyncCall> calls;

private:
    Leader m_leader;
    batch::Settings m_settings;
    metrics::Registry m_metrics;
    rpc::ChannelPool m_channels{context.get_executor(), {}};
    std::unique_ptr<rpc::Server> m_server;
    std::shared_ptr<batch::Agent<FakeExecutor>> m_agent;
};

} // namespace plantainfork::tests
