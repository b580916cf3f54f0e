/** Who is to blame when executors crash, and who is given up. */
#include <algorithm>
#include <array>

#include <catch2/catch.hpp>

#include "batch/crash_blame.h"
#include "wire/codec.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using batch::CrashBlame;
using batch::RunBegin;

namespace
{

/** Crashes under a task whose runs had certainly begun. */
batch::Crashes crashes(const std::vector<std::pair<std::string, CrashBlame>> &list)
{
    batch::Crashes result;
    for (const auto &[host, blame] : list) {
        result.push_back({batch::Attempt(result.size() + 1), 0, batch::HostId(host), blame, RunBegin::Certain});
    }
    return result;
}

/** What `crash` stands for among all kinds of crashes that may be counted under a task on two hosts. */
constexpr unsigned KindsOfCrash = 12;
batch::Crash crashOfKind(unsigned kind, std::uint64_t attempt)
{
    constexpr std::array Blames{CrashBlame::Sole, CrashBlame::Shared, CrashBlame::Bystander};
    return {batch::Attempt(attempt),
            0,
            batch::HostId(kind % 2 == 0 ? "a" : "b"),
            Blames.at(kind / 2 % 3),
            kind / 6 == 0 ? RunBegin::Possible : RunBegin::Certain};
}

/** Calls `check` with each series of so many crashes. */
template<typename Check>
void forEachSeries(unsigned length, const Check &check)
{
    unsigned series = 1;
    for (unsigned i = 0; i < length; ++i) {
        series *= KindsOfCrash;
    }
    for (unsigned number = 0; number < series; ++number) {
        batch::Crashes list;
        unsigned rest = number;
        for (unsigned i = 0; i < length; ++i) {
            list.push_back(crashOfKind(rest % KindsOfCrash, i + 1));
            rest /= KindsOfCrash;
        }
        check(list);
    }
}

std::size_t countCertain(const batch::Crashes &list)
{
    return static_cast<std::size_t>(std::count_if(list.begin(), list.end(), [](const auto &crash) {
        return crash.begin == RunBegin::Certain;
    }));
}

} // namespace

TEST_CASE("What had just begun on an executor is blamed for its crash before what had been running")
{
    const batch::CrashedUnit begun{1, 0ms};
    const batch::CrashedUnit running{2, 500ms};
    const batch::CrashedUnit alsoBegun{3, 20ms};
    REQUIRE(batch::blameFor(begun, {begun, running}) == CrashBlame::Sole);
    REQUIRE(batch::blameFor(running, {begun, running}) == CrashBlame::Bystander);
    REQUIRE(batch::blameFor(begun, {begun, alsoBegun, running}) == CrashBlame::Shared);
    // Two members of one gang.
    REQUIRE(batch::blameFor(begun, {begun, begun}) == CrashBlame::Sole);
}

TEST_CASE("An executor that crashes while nothing has just begun there makes nothing a suspect")
{
    const batch::CrashedUnit running{2, 1h};
    REQUIRE(batch::blameFor(running, {running, running}) == CrashBlame::Bystander);
    REQUIRE_FALSE(batch::isSuspect(crashes({{"a", CrashBlame::Bystander}})));
    REQUIRE(batch::isSuspect(crashes({{"a", CrashBlame::Bystander}, {"b", CrashBlame::Shared}})));
}

TEST_CASE("Each task of a gang counts its own crashes, and each attempt once")
{
    batch::Crashes gang;
    for (std::uint32_t task = 0; task < 5; ++task) {
        REQUIRE(batch::addCrash(gang, {batch::Attempt(1), task, batch::HostId("h" + std::to_string(task)), CrashBlame::Sole, RunBegin::Certain}));
        REQUIRE_FALSE(batch::addCrash(gang, {batch::Attempt(1), task, batch::HostId("other"), CrashBlame::Sole, RunBegin::Certain}));
        REQUIRE_FALSE(batch::isGivenUp(gang, task));
    }
    REQUIRE(batch::addCrash(gang, {batch::Attempt(2), 3, batch::HostId("h4"), CrashBlame::Sole, RunBegin::Certain}));
    REQUIRE(batch::isGivenUp(gang, 3));
    REQUIRE_FALSE(batch::isGivenUp(gang, 4));
}

TEST_CASE("A task is given up after crashes on two hosts if one was its own, and otherwise later")
{
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", CrashBlame::Sole}}), 0));
    REQUIRE(batch::isGivenUp(crashes({{"a", CrashBlame::Sole}, {"b", CrashBlame::Sole}}), 0));
    REQUIRE(batch::isGivenUp(crashes({{"a", CrashBlame::Shared}, {"b", CrashBlame::Sole}}), 0));
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", CrashBlame::Sole}, {"a", CrashBlame::Sole}}), 0));
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", CrashBlame::Shared}, {"b", CrashBlame::Shared}}), 0));
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", CrashBlame::Sole}, {"b", CrashBlame::Bystander}}), 0));
    REQUIRE(batch::isGivenUp(crashes({{"a", CrashBlame::Shared}, {"a", CrashBlame::Shared}, {"a", CrashBlame::Shared}}), 0));
}

TEST_CASE("A task whose crashes always look like those of others is given up within what the platform allows")
{
    using enum CrashBlame;
    REQUIRE_FALSE(batch::isGivenUp(crashes({{"a", Bystander}, {"b", Bystander}, {"c", Bystander}}), 0));
    REQUIRE(batch::isGivenUp(crashes({{"a", Bystander}, {"b", Bystander}, {"c", Bystander}, {"d", Bystander}}), 0));
}

TEST_CASE("A task that lasts isn't given up for the crashes of executors that it was on for long")
{
    const batch::CrashedUnit lasting{1, 1min, true};
    REQUIRE(batch::blameFor(lasting, {lasting}) == CrashBlame::Unrelated);
    const batch::CrashedUnit justSettled{1, 59s, true};
    REQUIRE(batch::blameFor(justSettled, {justSettled}) == CrashBlame::Bystander);
    const batch::CrashedUnit ending{1, 1h, false};
    REQUIRE(batch::blameFor(ending, {ending}) == CrashBlame::Bystander);
    batch::Crashes none;
    REQUIRE_FALSE(batch::addCrash(none, {batch::Attempt(1), 0, batch::HostId("a"), CrashBlame::Unrelated}));
    REQUIRE(none.empty());
}

TEST_CASE("A task is not given up as the cause of crashes before two of its runs had certainly begun")
{
    const batch::Crash possible{batch::Attempt(1), 0, batch::HostId("a"), CrashBlame::Sole};
    const batch::Crash certain{batch::Attempt(2), 0, batch::HostId("b"), CrashBlame::Sole, RunBegin::Certain};
    const batch::Crash third{batch::Attempt(3), 0, batch::HostId("c"), CrashBlame::Sole, RunBegin::Certain};
    REQUIRE(batch::isSuspect({possible}));
    REQUIRE_FALSE(batch::isGivenUp({possible, certain}, 0));
    REQUIRE(batch::isGivenUp({possible, certain, third}, 0));
    for (unsigned length = 1; length <= 3; ++length) {
        forEachSeries(length, [](const batch::Crashes &list) {
            if (countCertain(list) < 2) {
                REQUIRE_FALSE(batch::isGivenUp(list, 0));
            }
        });
    }
}

TEST_CASE("Whether runs had certainly begun or not, no task goes on after its fourth crash")
{
    // The platform allows two starts after the third crash. A start that crashes its executor before it is answered never counts as certain.
    forEachSeries(4, [](const batch::Crashes &list) {
        REQUIRE(batch::isGivenUp(list, 0));
    });
}

TEST_CASE("A crash that an earlier version recorded or told can be read, and says no more than it did")
{
    using OldCrash = msgpack::type::tuple<batch::Attempt, std::uint32_t, batch::HostId, CrashBlame>;
    using OldRun = msgpack::type::tuple<batch::RunId, std::chrono::milliseconds>;
    const batch::Crash crash{batch::Attempt(1), 2, batch::HostId("a"), CrashBlame::Sole, RunBegin::Certain};
    const OldCrash oldCrash(crash.attempt, crash.task, crash.host, crash.blame);
    const auto read = wire::decode<batch::Crash>(wire::encode(oldCrash)).value();
    REQUIRE(read == batch::Crash{crash.attempt, crash.task, crash.host, crash.blame, RunBegin::Possible});
    REQUIRE(wire::decode<OldCrash>(wire::encode(crash)).value() == oldCrash);
    const batch::RunId run;
    REQUIRE(batch::beginOf(wire::decode<batch::CrashedRun>(wire::encode(OldRun(run, 0ms))).value()) == RunBegin::Possible);
    REQUIRE(batch::beginOf(wire::decode<batch::CrashedRun>(wire::encode(OldRun(run, 3ms))).value()) == RunBegin::Certain);
    REQUIRE(wire::decode<OldRun>(wire::encode(batch::CrashedRun{run, 3ms, RunBegin::Certain})).value() == OldRun(run, 3ms));
}
