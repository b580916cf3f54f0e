/** Reading of what targets say to their agent. Every fault in it is collected and told back. */
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/findings.h"
#include "base/ids.h"
#include "targets/target.h"
#include "wire/gang_messages.h"

namespace plantainfork::targets
{

/** Most tasks that one announcement may list. */
constexpr std::size_t MaxTasksPerAnnouncement = 1024;
/** Most slots, connections, accelerators or cores that one target may offer. */
constexpr std::uint32_t MaxOfferedUnits = 65'536;
constexpr std::uint64_t MaxOfferedMemoryMiB = 64ULL * 1024 * 1024;

/** A Target in state Present, without lastAnnounced; or all that is wrong with the text. */
std::variant<Target, base::Findings> parseAnnouncement(const std::string &json);

/** One task's status as a worker reports it. */
std::variant<wire::TaskStatus, base::Findings> parseTaskReport(const std::string &json);

/** Lower-case names of task states as they stand in JSON. */
std::string_view nameOf(wire::TaskState state);

} // namespace plantainfork::targets
