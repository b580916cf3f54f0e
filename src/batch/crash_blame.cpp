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
    }
    return "unknown";
}

CrashBlame blameFor(std::size_t unit, const std::vector<CrashedUnit> &units)
{
    std::set<std::size_t> justBegun;
    for (const auto &crashed : units) {
        if (!crashed.wasListed) {
            justBegun.insert(crashed.unit);
        }
    }
    if (justBegun.empty()) {
        return CrashBlame::Shared;
    }
    if (!justBegun.contains(unit)) {
        return CrashBlame::Bystander;
    }
    return justBegun.size() == 1 ? CrashBlame::Sole : CrashBlame::Shared;
}

bool isGivenUp(const Crashes &crashes)
{
    std::set<HostId> hosts;
    std::size_t blamed = 0;
    bool wasSole = false;
    for (const auto &[attempt, crash] : crashes) {
        if (crash.blame != CrashBlame::Bystander) {
            hosts.insert(crash.host);
            ++blamed;
        }
        wasSole = wasSole || crash.blame == CrashBlame::Sole;
    }
    return (wasSole && hosts.size() >= CrashLimits::Hosts) || blamed >= CrashLimits::Blamed || crashes.size() >= CrashLimits::All;
}

} // namespace plantainfork::batch
