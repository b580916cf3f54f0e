#include "batch/crash_blame.h"

#include <algorithm>
#include <set>

namespace plantainfork::batch
{

std::string_view crashBlameText(CrashBlame blame)
{
    switch (blame) {
    case CrashBlame::Sole:
        return "sole";
    case CrashBlame::Shared:
        return "shared";
    case CrashBlame::Bystander:
        return "bystander";
    case CrashBlame::Unrelated:
        return "unrelated";
    }
    return "unknown";
}

std::string_view runBeginText(RunBegin begin)
{
    switch (begin) {
    case RunBegin::Possible:
        return "possible";
    case RunBegin::Certain:
        return "certain";
    }
    return "unknown";
}

RunBegin beginOf(const CrashedRun &run)
{
    return run.listedFor.count() > 0 ? RunBegin::Certain : run.begin;
}

CrashBlame blameFor(const CrashedUnit &run, const std::vector<CrashedUnit> &runs)
{
    if (run.isLongRunning && run.listedFor >= CrashTiming::LastingSettleTime) {
        return CrashBlame::Unrelated;
    }
    if (run.hadSettled()) {
        return CrashBlame::Bystander;
    }
    const bool isSole = std::all_of(runs.begin(), runs.end(), [&](const CrashedUnit &other) {
        return other.hadSettled() || other.unit == run.unit;
    });
    return isSole ? CrashBlame::Sole : CrashBlame::Shared;
}

bool addCrash(Crashes &crashes, const Crash &crash)
{
    if (crash.blame == CrashBlame::Unrelated) {
        return false;
    }
    const bool isKnown = std::any_of(crashes.begin(), crashes.end(), [&](const Crash &known) {
        return known.attempt == crash.attempt && known.task == crash.task;
    });
    if (isKnown) {
        return false;
    }
    // A large gang may lose most of its tasks at once, time and again. What says least about its tasks goes first.
    if (crashes.size() >= CrashLimits::Kept) {
        const auto bystander = std::find_if(crashes.begin(), crashes.end(), [](const Crash &known) {
            return known.blame == CrashBlame::Bystander;
        });
        if (bystander == crashes.end() && crash.blame == CrashBlame::Bystander) {
            return false;
        }
        crashes.erase(bystander != crashes.end() ? bystander : crashes.begin());
    }
    crashes.push_back(crash);
    return true;
}

std::size_t countCrashes(const Crashes &crashes, std::uint32_t task)
{
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [task](const Crash &crash) {
        return crash.task == task;
    }));
}

bool isSuspect(const Crashes &crashes)
{
    return std::any_of(crashes.begin(), crashes.end(), [](const Crash &crash) {
        return crash.blame != CrashBlame::Bystander;
    });
}

bool isGivenUp(const Crashes &crashes, std::uint32_t task)
{
    std::set<HostId> hosts;
    std::size_t blamed = 0;
    std::size_t certain = 0;
    bool wasSole = false;
    for (const auto &crash : crashes) {
        if (crash.task != task) {
            continue;
        }
        if (crash.blame != CrashBlame::Bystander) {
            hosts.insert(crash.host);
            ++blamed;
        }
        certain += crash.begin == RunBegin::Certain ? 1 : 0;
        wasSole = wasSole || crash.blame == CrashBlame::Sole;
    }
    const bool isLikelyCause = (wasSole && hosts.size() >= CrashLimits::Hosts) || blamed >= CrashLimits::Blamed;
    return (isLikelyCause && certain >= CrashLimits::Certain) || countCrashes(crashes, task) >= CrashLimits::All;
}

} // namespace plantainfork::batch
