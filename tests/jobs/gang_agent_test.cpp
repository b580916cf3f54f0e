/** The agent's checks before a start: fencing, incarnation, barrier and start permit, with a worker reached over HTTP. */
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "http/server.h"
#include "jobs/gang_agent.h"
#include "support/run.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

/** One agent with a worker that accepts every call. The clock is paused. */
class AgentFixture
{
public:
    explicit AgentFixture(jobs::Safeguards safeguards = {})
        : target(std::make_shared<const targets::Target>())
        , channels(context.get_executor())
    {
        runtime::Clock::pause();
        auto created = http::Server::create(context.get_executor(), "127.0.0.1", 0, {}, [this](http::Request request) {
            return serve(std::move(request));
        });
        REQUIRE(created.ok());
        worker = std::move(*created);
        targets::Target currentTarget;
        currentTarget.state = targets::TargetState::Present;
        currentTarget.offer.kind = wire::TargetKind::Worker;
        currentTarget.offer.accelerators = 8;
        currentTarget.http = {"127.0.0.1", worker->port()};
        target.publish(std::make_shared<const targets::Target>(currentTarget));
        jobs::GangAgent::Options options;
        options.self = base::MemberId("w1");
        options.incarnation = base::Incarnation(5);
        options.safeguards = safeguards;
        agent = std::make_unique<jobs::GangAgent>(context.get_executor(), options, target, gate, channels, registry);
    }
    ~AgentFixture()
    {
        runtime::Clock::resume();
    }

    boost::asio::awaitable<http::Response> serve(http::Request request)
    {
        calls.push_back(request.target);
        co_return http::Response::json(200, R"({"checkpointedMs":60000})");
    }

    [[nodiscard]] wire::PrepareCall plan(std::uint64_t token, std::uint32_t members = 1) const
    {
        wire::PrepareCall call;
        call.token = base::FencingToken(token);
        call.attempt = {base::JobId("job"), 1};
        call.agentIncarnation = base::Incarnation(5);
        call.shape.acceleratorsPerMember = 4;
        call.checkpointable = true;
        call.lease = 3s;
        for (std::uint32_t rank = 0; rank < members; ++rank) {
            call.members.push_back({base::MemberId("w1"), base::Incarnation(5), {"127.0.0.1", 1}, rank});
        }
        return call;
    }

    wire::GangReply prepare(const wire::PrepareCall &call)
    {
        return *tests::runOn(context, agent->prepare(call));
    }
    wire::GangReply commit(std::uint64_t token)
    {
        return *tests::runOn(context, agent->commit({base::FencingToken(token), {}, {base::JobId("job"), 1}}));
    }
    wire::GangReply stop(std::uint64_t token, wire::StopMode mode = wire::StopMode::Stop)
    {
        return *tests::runOn(context, agent->stop({base::FencingToken(token), {}, {base::JobId("job"), 1}, mode, "test"}));
    }
    void grantPermit()
    {
        gate.accept(base::Revision(1), runtime::Clock::now(), 1h);
    }
    /** Advances the paused clock in 50 ms steps and runs the handlers that are due. */
    void advance(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration; passed += 50ms) {
            runtime::Clock::advance(50ms);
            context.restart();
            context.run_for(4ms);
        }
    }
    /** Advances the clock until the worker has been called at `path`. False when it hasn't within the limit. */
    bool waitForCall(const std::string &path, std::chrono::milliseconds limit = 10s)
    {
        for (std::chrono::milliseconds passed{0}; passed < limit; passed += 50ms) {
            if (std::find(calls.begin(), calls.end(), path) != calls.end()) {
                return true;
            }
            advance(50ms);
        }
        return false;
    }

    boost::asio::io_context context;
    runtime::Published<targets::Target> target;
    permits::PermitGate gate;
    rpc::ChannelPool channels;
    metrics::Registry registry;
    std::unique_ptr<http::Server> worker;
    std::unique_ptr<jobs::GangAgent> agent;
    std::vector<std::string> calls;
};

} // namespace

TEST_CASE("A committed gang with a permit starts")
{
    AgentFixture fixture;
    fixture.grantPermit();
    REQUIRE(fixture.prepare(fixture.plan(1)).accepted);
    REQUIRE(fixture.commit(1).accepted);
    REQUIRE(fixture.waitForCall("/tasks"));
}

TEST_CASE("A member that is prepared but not committed does not start, and its reservation expires")
{
    AgentFixture fixture;
    fixture.grantPermit();
    REQUIRE(fixture.prepare(fixture.plan(1)).accepted);
    REQUIRE_FALSE(fixture.waitForCall("/tasks", 4s));
    REQUIRE_FALSE(fixture.commit(1).accepted);
}

TEST_CASE("A superseded scheduler is refused, and would not be without fencing")
{
    {
        AgentFixture fixture;
        REQUIRE(fixture.prepare(fixture.plan(7)).accepted);
        REQUIRE_FALSE(fixture.commit(6).accepted);
        REQUIRE_FALSE(fixture.stop(6).accepted);
        REQUIRE(fixture.commit(7).accepted);
    }
    jobs::Safeguards off;
    off.fencing = jobs::Safeguard::Off;
    AgentFixture fixture(off);
    REQUIRE(fixture.prepare(fixture.plan(7)).accepted);
    REQUIRE(fixture.commit(6).accepted);
}

TEST_CASE("A command meant for an earlier incarnation of the agent is refused")
{
    AgentFixture fixture;
    auto call = fixture.plan(1);
    call.agentIncarnation = base::Incarnation(4);
    REQUIRE_FALSE(fixture.prepare(call).accepted);
}

TEST_CASE("More accelerators than are free are refused")
{
    AgentFixture fixture;
    REQUIRE(fixture.prepare(fixture.plan(1)).accepted);
    auto second = fixture.plan(1);
    second.attempt.job = base::JobId("second");
    second.shape.acceleratorsPerMember = 5;
    REQUIRE_FALSE(fixture.prepare(second).accepted);
}

TEST_CASE("No member starts before all are committed, and would without the barrier")
{
    {
        AgentFixture fixture;
        fixture.grantPermit();
        REQUIRE(fixture.prepare(fixture.plan(1, 2)).accepted);
        REQUIRE(fixture.commit(1).accepted);
        REQUIRE_FALSE(fixture.waitForCall("/tasks", 15s));
    }
    jobs::Safeguards off;
    off.barrier = jobs::Safeguard::Off;
    AgentFixture fixture(off);
    fixture.grantPermit();
    REQUIRE(fixture.prepare(fixture.plan(1, 2)).accepted);
    REQUIRE(fixture.commit(1).accepted);
    REQUIRE(fixture.waitForCall("/tasks"));
}

TEST_CASE("Nothing starts without a live permit, and would with the check off")
{
    {
        AgentFixture fixture;
        fixture.gate.accept(base::Revision(1), runtime::Clock::now(), 1s);
        runtime::Clock::advance(2s);
        REQUIRE(fixture.prepare(fixture.plan(1)).accepted);
        REQUIRE(fixture.commit(1).accepted);
        REQUIRE_FALSE(fixture.waitForCall("/tasks", 15s));
    }
    jobs::Safeguards off;
    off.startPermit = jobs::Safeguard::Off;
    AgentFixture fixture(off);
    REQUIRE(fixture.prepare(fixture.plan(1)).accepted);
    REQUIRE(fixture.commit(1).accepted);
    REQUIRE(fixture.waitForCall("/tasks"));
}

TEST_CASE("A task that is to be stopped is checkpointed first, and its progress kept")
{
    AgentFixture fixture;
    fixture.grantPermit();
    fixture.prepare(fixture.plan(1));
    fixture.commit(1);
    REQUIRE(fixture.waitForCall("/tasks"));
    fixture.advance(100ms);
    fixture.stop(1, wire::StopMode::Checkpoint);
    REQUIRE(fixture.waitForCall("/tasks/job/1/0/checkpoint"));
    REQUIRE(fixture.waitForCall("/tasks/job/1/0/stop"));
}

TEST_CASE("An attempt that has ended is never prepared again")
{
    AgentFixture fixture;
    REQUIRE(fixture.prepare(fixture.plan(1)).accepted);
    fixture.stop(1);
    fixture.advance(200ms);
    REQUIRE_FALSE(fixture.prepare(fixture.plan(1)).accepted);
}

TEST_CASE("A task that this agent did not start is stopped")
{
    AgentFixture fixture;
    targets::Target currentTarget = *fixture.target.load();
    currentTarget.tasks.push_back({{base::JobId("orphan"), 2}, 1, wire::TaskState::Running, 4, 0ms, ""});
    fixture.target.publish(std::make_shared<const targets::Target>(currentTarget));
    tests::runOn(fixture.context, fixture.agent->reconcile());
    REQUIRE(fixture.calls == std::vector<std::string>{"/tasks/orphan/2/1/stop"});
}
