/**
 * Decides which tasks are the likely cause when executors crash, and when a task is given up for it. Pure.
 *
 * Designed for tasks that crash each executor right after their start, among harmless ones that are lost with them time and again, and for
 * executors that crash by themselves. A run that had just begun is blamed rather than those that had been running for a while.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "batch/model.h"
#include "wire/chrono.h"

namespace plantainfork::batch
{

/** What a crash says about a task that the executor ran. */
enum class CrashBlame : std::uint8_t {
    /** Its unit was the only one that had begun just before. */
    Sole,
    /** Its unit was one of several that had begun just before. */
    Shared,
    /** It had been running for a while. */
    Bystander,
    /** It lasts until it is cancelled, and had been running for so long that its start can't be the cause. Such crashes aren't counted. */
    Unrelated,
};

/** Whether a run had begun on an executor that crashed. */
enum class RunBegin : std::uint8_t {
    /** Not known: its start was left unanswered, or nobody told. */
    Possible,
    /** Its start was answered, or the executor listed it. */
    Certain,
};

/** A crash of an executor under a task of a unit. */
struct Crash {
    Attempt attempt;
    /** Index of the task in its step. */
    std::uint32_t task = 0;
    HostId host;
    CrashBlame blame = CrashBlame::Shared;
    /** A record of an earlier version doesn't have it. */
    RunBegin begin = RunBegin::Possible;

    auto operator<=>(const Crash &) const = default;
    MSGPACK_DEFINE(attempt, task, host, blame, begin);
};

/** The crashes under the tasks of a unit, one for each attempt of a task. */
using Crashes = std::vector<Crash>;

/** A run that an executor had, or may have had, when it crashed. */
struct CrashedRun {
    RunId run;
    /** Time from its start until the executor last listed it; 0 if it was never listed. */
    std::chrono::milliseconds listedFor{0};
    /** An agent of an earlier version doesn't tell it. */
    RunBegin begin = RunBegin::Possible;

    auto operator<=>(const CrashedRun &) const = default;
    MSGPACK_DEFINE(run, listedFor, begin);
};

/** Time after which a run isn't one that crashes its executor when it starts. */
struct CrashTiming {
    /** For its share in the blame for a crash. */
    static constexpr std::chrono::milliseconds SettleTime{500};
    /** For tasks that last: these are on many executors in their life, of which some crash. */
    static constexpr std::chrono::milliseconds LastingSettleTime{60'000};
};

/** Crashes after which a task is given up. The platform allows it from two on, and allows at most two starts after the third. */
struct CrashLimits {
    /** Hosts with a crash for which the task may be to blame, if its unit was the only one for one of them. */
    static constexpr std::size_t Hosts = 2;
    /** Crashes for which it may be to blame, in whatever company and on whatever hosts. */
    static constexpr std::size_t Blamed = 3;
    /** Crashes under runs that had certainly begun, before the task is taken for the cause: a start without an answer may have begun nothing. */
    static constexpr std::size_t Certain = 2;
    /** Crashes of any kind, also under runs that may not have begun: a task may crash each executor before that answers its start. */
    static constexpr std::size_t All = 4;
    /** Crashes of a unit that are kept in its job's record. */
    static constexpr std::size_t Kept = 1024;
};

/** A run on a crashed executor. */
struct CrashedUnit {
    /** An opaque number, the same for the runs of a unit. */
    std::size_t unit = 0;
    std::chrono::milliseconds listedFor{0};
    bool isLongRunning = false;

    [[nodiscard]] bool hadSettled() const
    {
        return listedFor >= CrashTiming::SettleTime;
    }
};

[[nodiscard]] std::string_view crashBlameText(CrashBlame blame);
[[nodiscard]] std::string_view runBeginText(RunBegin begin);

/** Whether the run had begun, also where an agent of an earlier version told of it. */
[[nodiscard]] RunBegin beginOf(const CrashedRun &run);

/** The blame of one of these runs for the crash of the executor that had them all. */
[[nodiscard]] CrashBlame blameFor(const CrashedUnit &run, const std::vector<CrashedUnit> &runs);

/** Adds the crash; returns false if it doesn't count, or one of this attempt of the task is known already. */
bool addCrash(Crashes &crashes, const Crash &crash);

/** Number of crashes under the task. */
[[nodiscard]] std::size_t countCrashes(const Crashes &crashes, std::uint32_t task);

/** Whether the unit may be what makes executors crash, rather than what was lost with it. */
[[nodiscard]] bool isSuspect(const Crashes &crashes);

/** Whether the task is given up. Two crashes of a single host may be the host's fault. */
[[nodiscard]] bool isGivenUp(const Crashes &crashes, std::uint32_t task);

} // namespace plantainfork::batch

MSGPACK_ADD_ENUM(plantainfork::batch::CrashBlame);
MSGPACK_ADD_ENUM(plantainfork::batch::RunBegin);
