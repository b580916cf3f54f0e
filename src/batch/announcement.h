/**
 * Decides which announcements and goodbyes an agent takes for those of its executor. Pure functions: no I/O and no clock.
 *
 * The load that they answer: an executor announces itself every second or two; another writer may announce anything beside it, also under
 * the executor's id; and an announcement that was delayed may arrive after its sender has crashed and another incarnation has started.
 * A goodbye, which names an id alone, may come late or from another writer as well.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include <absl/status/statusor.h>

#include "batch/executor_port.h"
#include "batch/model.h"
#include "wire/member_messages.h"

namespace plantainfork::batch
{

/** What an executor, or whoever claims to be one, says of itself. */
struct Announcement {
    HostReport report;
    /** Where it says that it takes orders; an agent may reach it by another address. */
    wire::Address address;
    /** Orders the announcements of one incarnation. */
    std::uint64_t sequence = 0;
};

enum class AnnouncementVerdict {
    /** A newer report of the known incarnation. */
    Update,
    /** A report of the known incarnation that is not newer than the last one. */
    Outdated,
    /** It may be the executor's next incarnation, or not: only the executor itself can tell. */
    Unconfirmed,
    /** Another writer's: it is not about this executor. */
    Foreign,
};

/** `known`: the last announcement that was taken, if any. */
[[nodiscard]] AnnouncementVerdict judgeAnnouncement(const std::optional<Announcement> &known, const Announcement &next);

enum class Confirmation {
    Confirmed,
    /** The executor is another incarnation. */
    Denied,
    /** The executor has seen a higher fencing token, and says nothing to lower ones. */
    Fenced,
    /** No answer, or none that tells. */
    Unknown,
};

/** What the executor's answer to a call that was addressed to the incarnation says about it. */
[[nodiscard]] Confirmation judgeConfirmation(const HostIncarnation &announced, const absl::StatusOr<Listing> &answer);

[[nodiscard]] std::string_view confirmationText(Confirmation confirmation);

enum class GoodbyeVerdict {
    Open,
    /** The executor's process has ended. */
    Confirmed,
    /** The executor lives on: it didn't send the goodbye. */
    Rejected,
};

/** How long an executor that has said goodbye may go on answering: it ends right after. */
constexpr std::chrono::milliseconds GoodbyeLife{4000};

/**
 * What the answer to a call for the executor's runs that was sent after the goodbye says about it. `age`: time since the goodbye;
 * `isConfirmed`: an earlier answer has confirmed it.
 */
[[nodiscard]] GoodbyeVerdict judgeGoodbye(std::chrono::milliseconds age, const absl::Status &answer, bool isConfirmed);

} // namespace plantainfork::batch
