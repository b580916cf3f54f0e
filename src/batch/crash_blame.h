/**
 * Decides which units are the likely cause when executors crash, and when a unit is given up for it. Pure.
 *
 * Designed for tasks that crash each executor right after their start, among harmless ones that are lost with them time and again. A run
 * that its executor had never listed began just before the crash, so it is blamed rather than those that had been running for a while.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "batch/model.h"

namespace plantainfork::batch
{

/** What a crash says about a unit that had a run on the executor. */
enum class CrashBlame : std::uint8_t {
    /** It was the only one that had begun just before. */
    Sole,
    /** It was one of several that had begun just before, or nothing had. */
    Shared,
    /** Others had begun just before, it had not. */
    Bystander,
};

/** A crash of an executor during an attempt of a unit. */
struct Crash {
    HostId host;
    CrashBlame blame = CrashBlame::Shared;

    auto operator<=>(const Crash &) const = default;
    MSGPACK_DEFINE(host, blame);
};

/** The crashes of a unit, by attempt: a member of a gang that crashes more than one executor counts once. */
using Crashes = std::map<Attempt, Crash>;

/** A run that an executor had, or may have had, when it crashed. */
struct CrashedRun {
    RunId run;
    /** Whether the executor had listed it before. */
    bool wasListed = false;

    auto operator<=>(const CrashedRun &) const = default;
    MSGPACK_DEFINE(run, wasListed);
};

struct CrashLimits {
    /** Hosts with a crash for which a unit may be to blame, if it was the only one for one of them. The platform allows to give up after two. */
    static constexpr std::size_t Hosts = 2;
    /** Crashes for which it may be to blame, in whatever company and on whatever hosts. */
    static constexpr std::size_t Blamed = 3;
    /** Crashes of any kind. The platform allows at most two starts after the third crash. */
    static constexpr std::size_t All = 4;
};

/** A unit on a crashed executor, as an opaque number, and whether the executor had listed its run. */
struct CrashedUnit {
    std::size_t unit = 0;
    bool wasListed = false;
};

[[nodiscard]] std::string_view crashBlameText(CrashBlame blame);

/** The blame of `unit` for the crash of an executor that had the runs of these units, its own among them. */
[[nodiscard]] CrashBlame blameFor(std::size_t unit, const std::vector<CrashedUnit> &units);

/** Whether a unit with these crashes is given up. Two crashes of a single host may be the host's fault. */
[[nodiscard]] bool isGivenUp(const Crashes &crashes);

} // namespace plantainfork::batch

MSGPACK_ADD_ENUM(plantainfork::batch::CrashBlame);
