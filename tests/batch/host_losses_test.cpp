/** Tests of the losses of hosts: the record itself, and replays of hosts that go down and come back up beside others that don't. */
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

#include "batch/host_losses.h"
#include "batch/workload_fixture.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using batch::HostId;
using batch::HostLosses;
using runtime::Instant;
using tests::WorkloadFixture;

namespace
{

constexpr std::size_t Hosts = 20;
const HostId Bad("bad");
const HostId Good("good");
const Instant Start(1000s);

batch::TaskId unit(const std::string &job)
{
    return {base::JobId(job), 0, 0, 0};
}

HostId numbered(std::size_t number)
{
    return HostId("h" + std::to_string(number));
}

batch::WorkloadBounds boundsWith(std::chrono::seconds memory)
{
    batch::WorkloadBounds bounds;
    bounds.hostLossMemory = memory;
    return bounds;
}

/** Hosts a to h, of which a loses its executor every 3.5 s, and every second an urgent gang that takes two whole hosts for 1.5 s. */
class RestartingHost
{
public:
    explicit RestartingHost(std::chrono::seconds memory)
        : fixture(boundsWith(memory))
    {
        for (const auto *host : HostNames) {
            fixture.addHost(host, "r1-1");
        }
    }

    /** The executor of the host is gone, and another one is there at once. */
    void restart(const std::string &host)
    {
        auto &call = fixture.call(host);
        call.running.clear();
        call.ended.clear();
        call.report.incarnation = {"i-" + host + "-" + std::to_string(++m_restarts), m_restarts + 1};
        fixture.sendReport(host);
    }

    void run(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            const std::string id = "gang-" + std::to_string(second);
            fixture.addJob(id, "urgent", "rif", {WorkloadFixture::gang(2, 8, 1500ms)});
            for (int part = 0; part < 2; ++part) {
                if ((2 * second + part) % 7 == 3) {
                    restart("a");
                }
                fixture.advanceClock(500ms);
                endRuns();
                for (const auto &placement : fixture.runRound().placements) {
                    placementsOnA += std::count(placement.hosts.begin(), placement.hosts.end(), HostId("a")) > 0 ? 1 : 0;
                }
                for (const auto *host : HostNames) {
                    fixture.reportOrdersRunning(host, 1);
                }
            }
        }
    }

    [[nodiscard]] std::size_t lostRuns()
    {
        const auto events = fixture.workload.takeEvents();
        return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [](const auto &event) {
            return event.name == "run lost";
        }));
    }

    static constexpr std::array HostNames{"a", "b", "c", "d", "e", "f", "g", "h"};
    WorkloadFixture fixture;
    int placementsOnA = 0;

private:
    void endRuns()
    {
        for (auto &[id, job] : fixture.workload.jobs()) {
            const auto &gang = job.units.at(0);
            const bool isStopped = gang.stopReason != batch::StopReason::None;
            if (gang.phase != batch::UnitPhase::Placed || (!isStopped && fixture.now - gang.members.front().orderedAt < 1500ms)) {
                continue;
            }
            const auto attempt = gang.attempt.value();
            const auto members = gang.members;
            for (std::uint32_t i = 0; i < members.size(); ++i) {
                if (members[i].phase != batch::MemberPhase::Ended) {
                    fixture.reportEnd(members[i].host.value(),
                                      WorkloadFixture::run(id.value(), 0, i, attempt),
                                      isStopped ? batch::EndKind::Broken : batch::EndKind::Done);
                }
            }
        }
    }

    std::uint64_t m_restarts = 0;
};

} // namespace

TEST_CASE("The probability of a loss grows with the losses of a host and the length of a run, and falls with time")
{
    HostLosses losses(15s);
    CHECK(losses.probability(Bad, 10s, Start) == 0.0);
    losses.noteLoss(Bad, {}, Hosts, Start);
    const double once = losses.probability(Bad, 10s, Start);
    CHECK(once == Approx(0.37).margin(0.01));
    CHECK(losses.probability(Bad, 2s, Start) == Approx(0.088).margin(0.001));
    CHECK(losses.probability(Bad, 10s, Start + 15s) == Approx(0.206).margin(0.001));
    CHECK(losses.probability(Good, 10s, Start) == 0.0);
    for (int i = 1; i < 100; ++i) {
        losses.noteLoss(Bad, {}, Hosts, Start + i * 2s);
    }
    CHECK(losses.probability(Bad, 10s, Start + 200s) > 0.8);
    CHECK(losses.probability(Bad, 3600s, Start + 200s) == 0.9);
}

TEST_CASE("Several accounts of one loss count once")
{
    HostLosses losses(15s);
    losses.noteLoss(Bad, {}, Hosts, Start);
    const double once = losses.probability(Bad, 10s, Start);
    losses.noteLoss(Bad, {}, Hosts, Start + 300ms);
    CHECK(losses.probability(Bad, 10s, Start) == once);
    losses.noteLoss(Bad, {}, Hosts, Start + 2s);
    CHECK(losses.probability(Bad, 10s, Start + 2s) > once);
}

TEST_CASE("What happens to more than a quarter of the hosts within a second counts against none of them")
{
    HostLosses losses(15s);
    losses.noteLoss(Bad, {}, Hosts, Start - 5s);
    for (std::size_t i = 0; i < Hosts / 4; ++i) {
        losses.noteLoss(numbered(i), {}, Hosts, Start + i * 100ms);
    }
    REQUIRE(losses.probability(numbered(0), 10s, Start + 1s) > 0);
    SECTION("and the losses that came first are taken back")
    {
        losses.noteLoss(numbered(Hosts), {}, Hosts, Start + 900ms);
        for (std::size_t i = 0; i <= Hosts; ++i) {
            CHECK(losses.probability(numbered(i), 10s, Start + 1s) == 0.0);
        }
    }
    SECTION("in whatever order they are heard of")
    {
        losses.noteLoss(numbered(Hosts), {}, Hosts, Start - 100ms);
        CHECK(losses.probability(numbered(0), 10s, Start + 1s) == 0.0);
    }
    SECTION("but one after the second is not part of it")
    {
        losses.noteLoss(numbered(Hosts), {}, Hosts, Start + 1100ms);
        CHECK(losses.probability(numbered(0), 10s, Start + 2s) > 0.0);
        CHECK(losses.probability(numbered(Hosts), 10s, Start + 2s) > 0.0);
    }
    CHECK(losses.probability(Bad, 10s, Start + 1s) > 0);
}

TEST_CASE("In a small fleet, the loss of one host is still its own")
{
    HostLosses losses(15s);
    losses.noteLoss(Bad, {}, 2, Start);
    CHECK(losses.probability(Bad, 10s, Start) > 0);
    losses.noteLoss(Good, {}, 2, Start + 200ms);
    CHECK(losses.probability(Bad, 10s, Start) == 0.0);
}

TEST_CASE("A unit that fails on two hosts counts against neither")
{
    HostLosses losses(15s);
    losses.noteSuccess(Good, Start);
    losses.noteSuccess(Good, Start);
    losses.noteLoss(Bad, {unit("crashing")}, Hosts, Start);
    losses.noteFailure(Bad, unit("one"), Hosts, Start + 2s);
    losses.noteFailure(Bad, unit("two"), Hosts, Start + 2s);
    const double before = losses.probability(Bad, 10s, Start + 2s);
    REQUIRE(before > 0);
    losses.noteLoss(Good, {unit("crashing")}, Hosts, Start + 4s);
    CHECK(losses.probability(Good, 10s, Start + 4s) == 0.0);
    CHECK(losses.probability(Bad, 10s, Start + 2s) < before);
    losses.noteFailure(Good, unit("two"), Hosts, Start + 4s);
    CHECK(losses.probability(Bad, 10s, Start + 4s) == 0.0);
    CHECK(losses.probability(Good, 10s, Start + 4s) == 0.0);
}

TEST_CASE("Failed runs count once several units fail on a host while others succeed elsewhere")
{
    HostLosses losses(15s);
    losses.noteFailure(Bad, unit("one"), Hosts, Start);
    losses.noteFailure(Bad, unit("one"), Hosts, Start + 1s);
    losses.noteSuccess(Good, Start + 1s);
    losses.noteSuccess(Good, Start + 1s);
    CHECK(losses.probability(Bad, 10s, Start + 1s) == 0.0);
    losses.noteFailure(Bad, unit("two"), Hosts, Start + 1s);
    const double before = losses.probability(Bad, 10s, Start + 1s);
    CHECK(before > 0);
    losses.noteSuccess(Bad, Start + 1s);
    CHECK(losses.probability(Bad, 10s, Start + 1s) < before);

    HostLosses nothingSucceeds(15s);
    nothingSucceeds.noteFailure(Bad, unit("one"), Hosts, Start);
    nothingSucceeds.noteFailure(Bad, unit("two"), Hosts, Start);
    nothingSucceeds.noteSuccess(Bad, Start);
    CHECK(nothingSucceeds.probability(Bad, 10s, Start) == 0.0);
}

TEST_CASE("A host becomes doubtful once, and is trusted again when its losses are old")
{
    HostLosses losses(15s);
    losses.noteLoss(Bad, {}, Hosts, Start);
    REQUIRE(losses.update(Start).empty());
    const auto changes = losses.update(Start + 1s);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].host == Bad);
    CHECK(changes[0].isDoubtful);
    CHECK(losses.doubtfulHosts() == 1);
    CHECK(losses.update(Start + 25s).empty());
    const auto later = losses.update(Start + 31s);
    REQUIRE(later.size() == 1);
    CHECK_FALSE(later[0].isDoubtful);
    CHECK(losses.doubtfulHosts() == 0);
    CHECK(losses.update(Start + 200s).empty());
    CHECK(losses.lossRates(Start + 200s).empty());
}

TEST_CASE("A power loss makes no host doubtful, not even for a moment")
{
    HostLosses losses(15s);
    for (std::size_t i = 0; i < Hosts; ++i) {
        losses.noteLoss(numbered(i), {}, Hosts, Start + i * 40ms);
        CHECK(losses.update(Start + i * 40ms).empty());
    }
    for (int second = 1; second < 30; ++second) {
        CHECK(losses.update(Start + second * 1s).empty());
    }
    // A host that is back only now tells of the same event.
    losses.noteLoss(numbered(3), {}, Hosts, Start + 120ms);
    CHECK(losses.lossRates(Start + 30s).empty());
}

TEST_CASE("Without a half-life no loss is recorded")
{
    HostLosses losses(0s);
    losses.noteLoss(Bad, {}, Hosts, Start);
    losses.noteFailure(Bad, unit("one"), Hosts, Start);
    losses.noteSuccess(Good, Start);
    CHECK(losses.lossRates(Start).empty());
    CHECK(losses.update(Start + 2s).empty());
    CHECK_FALSE(losses.isOn());
}

TEST_CASE("A host that goes down and comes back up gets no urgent gang while others are free")
{
    RestartingHost off(0s);
    off.run(30);
    RestartingHost on(15s);
    on.run(30);
    const auto lostOff = off.lostRuns();
    const auto lostOn = on.lostRuns();
    INFO("lost runs off " << lostOff << ", on " << lostOn << "; gangs on the host off " << off.placementsOnA << ", on " << on.placementsOnA);
    CHECK(off.placementsOnA >= 10);
    CHECK(lostOff >= 5);
    CHECK(on.placementsOnA <= 1);
    CHECK(lostOn <= 1);
}

TEST_CASE("A doubtful host is used where no other is free")
{
    WorkloadFixture fixture(boundsWith(15s));
    fixture.addHost("a", "r1-1");
    fixture.addHost("b", "r1-1");
    for (std::uint64_t born = 2; born < 6; ++born) {
        fixture.advanceClock(2s);
        fixture.call("a").report.incarnation = {"i-" + std::to_string(born), born};
        fixture.sendReport("a");
    }
    REQUIRE(fixture.workload.hostLosses().probability(HostId("a"), 10s, fixture.now) > 0.5);
    fixture.addJob("first", "urgent", "rif", {WorkloadFixture::step(1, 8, 2s)});
    const auto plan = fixture.runRound();
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements[0].hosts.front() == HostId("b"));
    fixture.addJob("gang", "urgent", "rif", {WorkloadFixture::gang(2, 4, 2s)});
    const auto next = fixture.runRound();
    REQUIRE(next.placements.size() == 1);
    CHECK(next.placements[0].hosts == std::vector<HostId>{HostId("a"), HostId("a")});
}

TEST_CASE("After a power loss of all hosts units are placed as before")
{
    RestartingHost off(0s);
    RestartingHost on(15s);
    for (auto *load : {&off, &on}) {
        for (const auto *host : RestartingHost::HostNames) {
            load->restart(host);
        }
        load->fixture.advanceClock(500ms);
        load->fixture.addJob("gang", "urgent", "rif", {WorkloadFixture::gang(2, 8, 2s)});
    }
    CHECK(on.fixture.workload.hostLosses().lossRates(on.fixture.now).empty());
    const auto plan = on.fixture.runRound();
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements[0].hosts == off.fixture.runRound().placements.at(0).hosts);
}

TEST_CASE("A host counts as having lost its runs when it falls silent or leaves with them, not when it restarts after notice")
{
    WorkloadFixture fixture(boundsWith(15s));
    for (const auto *host : {"a", "b", "c", "d"}) {
        fixture.addHost(host, "r1-1");
    }
    fixture.addJob("j", "long", "rif", {WorkloadFixture::step(1, 8, 60s)});
    fixture.runRound();
    fixture.reportOrdersRunning("a", 1);
    const auto hasLosses = [&](const std::string &host) {
        return fixture.workload.hostLosses().lossRates(fixture.now).contains(HostId(host));
    };
    SECTION("silent")
    {
        fixture.silentHosts = {"a", "b"};
        for (int second = 0; second < 12; ++second) {
            fixture.advanceClock(1s);
        }
        CHECK(hasLosses("a"));
        // It had no runs to lose.
        CHECK_FALSE(hasLosses("b"));
        // Back under another incarnation: still the same loss.
        const auto rate = fixture.workload.hostLosses().lossRates(fixture.now).at(HostId("a"));
        fixture.silentHosts.clear();
        fixture.call("a").running.clear();
        fixture.call("a").report.incarnation = {"i-new", 2};
        fixture.sendReport("a");
        CHECK(fixture.workload.hostLosses().lossRates(fixture.now).at(HostId("a")) == Approx(rate));
    }
    SECTION("left")
    {
        fixture.call("a").report.isLeaving = true;
        fixture.call("a").report.hasLeft = true;
        fixture.sendReport("a");
        fixture.advanceClock(1s);
        CHECK(hasLosses("a"));
    }
    SECTION("restarted after notice")
    {
        fixture.call("b").report.isDraining = true;
        fixture.call("b").report.remaining = 4s;
        fixture.sendReport("b");
        fixture.advanceClock(1s);
        fixture.call("b").report.isDraining = false;
        fixture.call("b").report.incarnation = {"i-new", 2};
        fixture.sendReport("b");
        CHECK_FALSE(hasLosses("b"));
    }
}

TEST_CASE("A new leader knows of no losses, and a host's first report in its term is none")
{
    RestartingHost load(15s);
    load.run(10);
    REQUIRE_FALSE(load.fixture.workload.hostLosses().lossRates(load.fixture.now).empty());
    batch::Workload next(base::FencingToken(WorkloadFixture::Token), boundsWith(15s), load.fixture.now);
    next.applySync(load.fixture.call("a"), load.fixture.now, load.fixture.wallNow());
    CHECK(next.hostLosses().lossRates(load.fixture.now).empty());
}

TEST_CASE("A host on which several units fail while others succeed elsewhere gets no urgent gang")
{
    const auto firstHostAfterFailures = [](std::chrono::seconds memory) {
        WorkloadFixture fixture(boundsWith(memory));
        for (const auto *host : {"a", "b", "c", "d"}) {
            fixture.addHost(host, "r1-1");
        }
        for (const std::string job : {"one", "two", "three", "four"}) {
            fixture.addJob(job, "long", "rif", {WorkloadFixture::step(1, 8, 2s)});
            fixture.runRound();
        }
        fixture.advanceClock(1s);
        for (const std::string job : {"one", "two", "three", "four"}) {
            const auto host = tests::unitOf(fixture, job).members.front().host.value();
            const bool isBad = host == "a";
            fixture.reportEnd(host, WorkloadFixture::run(job, 0, 0, 1), isBad ? batch::EndKind::Failed : batch::EndKind::Done);
        }
        fixture.workload.cancelJob(base::JobId("one"), fixture.wallNow());
        fixture.addJob("five", "long", "rif", {WorkloadFixture::step(1, 8, 2s)});
        auto &job = fixture.workload.jobs().at(base::JobId("five"));
        fixture.workload.place({&job, &job.units.at(0)}, {HostId("a")}, fixture.now);
        fixture.reportEnd("a", WorkloadFixture::run("five", 0, 0, 1), batch::EndKind::Failed);
        fixture.workload.cancelJob(base::JobId("five"), fixture.wallNow());
        // Longer than a suspension of the host.
        for (int second = 0; second < 7; ++second) {
            fixture.advanceClock(1s);
        }
        fixture.addJob("urgent", "urgent", "rif", {WorkloadFixture::step(1, 8, 2s)});
        return fixture.runRound().placements.at(0).hosts.front().value();
    };
    CHECK(firstHostAfterFailures(0s) == "a");
    CHECK(firstHostAfterFailures(15s) != "a");
}
