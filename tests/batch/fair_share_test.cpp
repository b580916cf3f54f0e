/** Tests of the shares of service: the record itself, and a replay of a large workspace that competes with a small one. */
#include <catch2/catch.hpp>

#include <algorithm>

#include "batch/fair_share.h"
#include "batch/workload_fixture.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using tests::WorkloadFixture;

namespace
{

const base::WorkspaceId Large("large");
const base::WorkspaceId Small("small");

/** Adds service in rounds of 200 ms. */
void addFor(batch::FairShare &shares, const batch::ServiceUse &use, runtime::Instant &now, std::chrono::milliseconds time)
{
    for (const auto until = now + time; now < until;) {
        now += 200ms;
        shares.add(use, now);
    }
}

/**
 * Runs jobs whose tasks take as long as estimated on two hosts. A large workspace submits ten short urgent tasks a second, more than there is
 * room for, and a small one a somewhat longer task every two seconds.
 */
class CompetingWorkspaces
{
public:
    explicit CompetingWorkspaces(std::chrono::seconds memory)
        : fixture(boundsWith(memory))
    {
        fixture.addHost("a", "r1-1");
        fixture.addHost("b", "r1-1");
    }

    void run(std::chrono::milliseconds time)
    {
        for (const auto until = fixture.now + time; fixture.now < until;) {
            submit();
            fixture.advanceClock(Tick);
            endRuns();
            passedOver += fixture.runRound().passedOver.size();
            for (const auto *host : {"a", "b"}) {
                fixture.reportOrdersRunning(host, 1);
            }
        }
    }

    /** The longest time that a job of the workspace has waited, or still waits, to start. */
    [[nodiscard]] std::chrono::milliseconds longestWait(const std::string &workspace)
    {
        std::chrono::milliseconds longest{0};
        for (const auto &[id, job] : fixture.workload.jobs()) {
            if (job.spec.workspace.value() == workspace) {
                const auto start = job.waitingUnits > 0 ? fixture.now : m_starts.at(id);
                longest = std::max(longest, std::chrono::duration_cast<std::chrono::milliseconds>(start - job.acceptedAt));
            }
        }
        return longest;
    }

    WorkloadFixture fixture;
    /** Units that others went ahead of because of their shares. */
    std::size_t passedOver = 0;

private:
    static constexpr std::chrono::milliseconds Tick{100};
    static constexpr std::chrono::milliseconds SmallPeriod{2000};

    static batch::WorkloadBounds boundsWith(std::chrono::seconds memory)
    {
        batch::WorkloadBounds bounds;
        bounds.fairShareMemory = memory;
        return bounds;
    }

    void submit()
    {
        fixture.addJob("large-" + std::to_string(m_submitted), "urgent", "large", {WorkloadFixture::step(1, 1, 1800ms)});
        if (m_submitted % (SmallPeriod / Tick) == 0) {
            fixture.addJob("small-" + std::to_string(m_submitted), "urgent", "small", {WorkloadFixture::step(1, 1, 2000ms)});
        }
        ++m_submitted;
    }

    void endRuns()
    {
        for (auto &[id, job] : fixture.workload.jobs()) {
            const auto &unit = job.units.at(0);
            if (unit.phase == batch::UnitPhase::Placed) {
                const auto start = m_starts.try_emplace(id, unit.members.front().orderedAt).first->second;
                if (fixture.now - start >= job.spec.steps.front().estimate) {
                    fixture.reportEnd(unit.members.front().host.value(), WorkloadFixture::run(id.value(), 0, 0, 1), batch::EndKind::Done);
                }
            }
        }
    }

    std::size_t m_submitted = 0;
    std::map<base::JobId, batch::Instant> m_starts;
};

} // namespace

TEST_CASE("The level of a workspace follows its share among the workspaces that compete")
{
    batch::FairShare shares(10s);
    runtime::Instant now(1000s);
    addFor(shares, {{Large, 64.0}}, now, 2s);
    CHECK(shares.level(Large) == 0);
    CHECK(shares.share(Large) == Approx(1.0));
    shares.add({{Large, 64.0}, {Small, 0.0}}, now);
    CHECK(shares.level(Large) == 1);
    CHECK(shares.level(Small) == 0);
    shares.add({{Large, 64.0}, {Small, 0.0}, {base::WorkspaceId("third"), 0.0}}, now);
    CHECK(shares.level(Large) == 2);
    CHECK(shares.level(base::WorkspaceId("unknown")) == 0);
}

TEST_CASE("Received service counts half after the half-life and is forgotten in the end")
{
    batch::FairShare shares(10s);
    runtime::Instant now(1000s);
    shares.add({}, now);
    addFor(shares, {{Large, 64.0}}, now, 1s);
    addFor(shares, {}, now, 10s);
    addFor(shares, {{Small, 32.0}}, now, 1s);
    // Both have half of 64 core-equivalent seconds left; those of the large workspace are a little older.
    CHECK(shares.share(Large) == Approx(0.49).margin(0.01));
    addFor(shares, {}, now, 200s);
    CHECK(shares.share(Large) == 0.0);
    CHECK(shares.share(Small) == 0.0);
}

TEST_CASE("A workspace that has just not competed keeps the level of its service")
{
    batch::FairShare shares(10s);
    runtime::Instant now(1000s);
    addFor(shares, {{Large, 64.0}, {Small, 8.0}}, now, 5s);
    REQUIRE(shares.level(Large) == 1);
    addFor(shares, {{Small, 8.0}}, now, 1s);
    CHECK(shares.level(Large) == 1);
    CHECK(shares.level(Small) == 0);
}

TEST_CASE("A level changes only once the share is clearly beyond its bound")
{
    // Otherwise workspaces with about the same share swap their places in the order with every round.
    batch::FairShare shares(1s);
    runtime::Instant now(1000s);
    const auto levelAfter = [&](double cores) {
        addFor(shares, {{Large, cores}, {Small, 100.0 - cores}}, now, 10s);
        return shares.level(Large);
    };
    CHECK(levelAfter(53) == 0);
    CHECK(levelAfter(57) == 1);
    CHECK(levelAfter(47) == 1);
    CHECK(levelAfter(43) == 0);
}

TEST_CASE("Without a half-life nothing is recorded")
{
    batch::FairShare shares(0s);
    runtime::Instant now(1000s);
    addFor(shares, {{Large, 64.0}, {Small, 0.0}}, now, 5s);
    CHECK_FALSE(shares.isOn());
    CHECK(shares.level(Large) == 0);
    CHECK(shares.share(Large) == 0.0);
}

TEST_CASE("Small urgent jobs of a large workspace don't hold up those of a small workspace")
{
    CompetingWorkspaces off(0s);
    off.run(20s);
    REQUIRE(off.passedOver == 0);
    CompetingWorkspaces on(10s);
    on.run(20s);
    INFO("off " << off.longestWait("small").count() << " ms, on " << on.longestWait("small").count() << " ms");
    CHECK(off.longestWait("small") >= 5s);
    CHECK(on.longestWait("small") <= 500ms);
    CHECK(on.passedOver > 0);
    // The large workspace still has nearly all of the room.
    CHECK(on.fixture.workload.fairShare().share(Large) >= 0.85);
}

TEST_CASE("A new leader learns the shares again within seconds")
{
    CompetingWorkspaces first(10s);
    first.run(10s);
    CompetingWorkspaces second(10s);
    REQUIRE(second.fixture.workload.fairShare().level(Large) == 0);
    second.run(3s);
    CHECK(second.fixture.workload.fairShare().level(Large) == 1);
}

TEST_CASE("Service within a workspace's guarantee doesn't count, and guaranteed jobs come first whatever the share")
{
    batch::WorkloadBounds bounds;
    bounds.fairShareMemory = 10s;
    WorkloadFixture fixture(bounds);
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    const auto runFor = [&](int rounds) {
        for (int i = 0; i < rounds; ++i) {
            fixture.advanceClock(200ms);
            fixture.runRound();
        }
    };
    // The workspace's guarantee is 8 accelerators.
    fixture.addJob("guaranteed", "urgent", "atlas", {WorkloadFixture::step(1, 8, 60s)});
    runFor(10);
    CHECK(fixture.workload.fairShare().share(base::WorkspaceId("atlas")) == 0.0);
    fixture.addJob("beyond", "long", "atlas", {WorkloadFixture::step(1, 8, 60s)});
    fixture.addJob("other", "long", "rif", {WorkloadFixture::step(1, 8, 60s)});
    runFor(10);
    CHECK(fixture.workload.fairShare().share(base::WorkspaceId("atlas")) == Approx(1.0));
    CHECK(fixture.workload.fairShare().level(base::WorkspaceId("atlas")) == 1);
    fixture.workload.cancelJob(base::JobId("guaranteed"), fixture.wallNow());
    fixture.reportEnd("a", WorkloadFixture::run("guaranteed", 0, 0, 1), batch::EndKind::Stopped);
    fixture.addJob("urgent-other", "urgent", "rif", {WorkloadFixture::step(1, 8, 1s)});
    fixture.addJob("urgent-guaranteed", "urgent", "atlas", {WorkloadFixture::step(1, 8, 60s)});
    const auto plan = fixture.runRound();
    REQUIRE_FALSE(plan.placements.empty());
    CHECK(plan.placements.front().unit.job->spec.id.value() == "urgent-guaranteed");
}

TEST_CASE("Running work is not stopped because of its workspace's share, and no job is left out")
{
    CompetingWorkspaces load(1s);
    load.run(20s);
    for (const auto &event : load.fixture.workload.takeEvents()) {
        CHECK(event.name != "unit stopping");
    }
    // The larger share comes later, but is served.
    CHECK(std::count_if(load.fixture.workload.jobs().begin(),
                        load.fixture.workload.jobs().end(),
                        [](const auto &entry) {
                            return entry.second.spec.workspace == Large && entry.second.status == batch::JobStatus::Complete;
                        })
          > 100);
}
