#include <catch2/catch.hpp>

#include "jobs/gang_monitor.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using wire::TaskState;

namespace
{

constexpr std::chrono::milliseconds Lease{3000};
const runtime::Instant Start(1h);

} // namespace

TEST_CASE("The barrier opens only when every rank is ready")
{
    jobs::GangMonitor monitor(3, Lease, Start);
    REQUIRE_FALSE(monitor.handleHeartbeat(0, TaskState::Prepared, Start).barrierOpen);
    REQUIRE_FALSE(monitor.handleHeartbeat(1, TaskState::Prepared, Start).barrierOpen);
    REQUIRE_FALSE(monitor.handleHeartbeat(2, TaskState::Absent, Start).barrierOpen);
    REQUIRE(monitor.handleHeartbeat(2, TaskState::Prepared, Start + 1s).barrierOpen);
    REQUIRE(monitor.handleHeartbeat(0, TaskState::Prepared, Start + 1s).barrierOpen);
}

TEST_CASE("A ready rank whose lease has expired does not count towards the barrier")
{
    jobs::GangMonitor monitor(2, Lease, Start);
    monitor.handleHeartbeat(0, TaskState::Prepared, Start);
    const auto reply = monitor.handleHeartbeat(1, TaskState::Prepared, Start + Lease + 1ms);
    REQUIRE_FALSE(reply.barrierOpen);
    REQUIRE(reply.mustStop);
}

TEST_CASE("A rank without a heartbeat for its lease breaks a running gang")
{
    jobs::GangMonitor monitor(2, Lease, Start);
    monitor.handleHeartbeat(0, TaskState::Prepared, Start);
    REQUIRE(monitor.handleHeartbeat(1, TaskState::Prepared, Start).barrierOpen);
    REQUIRE_FALSE(monitor.handleHeartbeat(0, TaskState::Running, Start + Lease).mustStop);
    REQUIRE(monitor.handleHeartbeat(0, TaskState::Running, Start + Lease + 1ms).mustStop);
}

TEST_CASE("A finished rank needs no more heartbeats")
{
    jobs::GangMonitor monitor(2, Lease, Start);
    monitor.handleHeartbeat(0, TaskState::Prepared, Start);
    monitor.handleHeartbeat(1, TaskState::Prepared, Start);
    monitor.handleHeartbeat(1, TaskState::Finished, Start + 1s);
    REQUIRE_FALSE(monitor.handleHeartbeat(0, TaskState::Running, Start + 1h).mustStop);
}

TEST_CASE("A failed, stopped or unready rank breaks the gang for good")
{
    for (const TaskState state : {TaskState::Failed, TaskState::Stopped, TaskState::Stopping, TaskState::Absent}) {
        jobs::GangMonitor monitor(2, Lease, Start);
        monitor.handleHeartbeat(0, TaskState::Prepared, Start);
        monitor.handleHeartbeat(1, TaskState::Prepared, Start);
        REQUIRE(monitor.handleHeartbeat(1, state, Start + 1s).mustStop);
        REQUIRE(monitor.handleHeartbeat(0, TaskState::Running, Start + 1s).mustStop);
        REQUIRE_FALSE(monitor.handleHeartbeat(0, TaskState::Running, Start + 1s).barrierOpen);
    }
}

TEST_CASE("A rank outside the gang is told to stop and changes nothing")
{
    jobs::GangMonitor monitor(1, Lease, Start);
    REQUIRE(monitor.handleHeartbeat(1, TaskState::Prepared, Start).mustStop);
    REQUIRE(monitor.handleHeartbeat(0, TaskState::Prepared, Start).barrierOpen);
}
