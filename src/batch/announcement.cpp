#include "batch/announcement.h"

namespace plantainfork::batch
{

AnnouncementVerdict judgeAnnouncement(const std::optional<Announcement> &known, const Announcement &next)
{
    if (!known || known->report.incarnation != next.report.incarnation) {
        return AnnouncementVerdict::Unconfirmed;
    }
    // An incarnation keeps its address, its service and its data centre.
    const bool isSameExecutor =
        known->address == next.address && known->report.service == next.report.service && known->report.dataCentre == next.report.dataCentre;
    if (!isSameExecutor) {
        return AnnouncementVerdict::Foreign;
    }
    return next.sequence > known->sequence ? AnnouncementVerdict::Update : AnnouncementVerdict::Outdated;
}

Confirmation judgeConfirmation(const HostIncarnation &announced, const absl::StatusOr<Listing> &answer)
{
    if (answer.ok()) {
        const bool isSame = answer->born == 0 || answer->born == announced.born;
        return isSame ? Confirmation::Confirmed : Confirmation::Denied;
    }
    if (absl::IsNotFound(answer.status())) {
        return Confirmation::Denied;
    }
    return absl::IsAborted(answer.status()) ? Confirmation::Fenced : Confirmation::Unknown;
}

std::string_view confirmationText(Confirmation confirmation)
{
    switch (confirmation) {
    case Confirmation::Confirmed:
        return "confirmed";
    case Confirmation::Denied:
        return "denied";
    case Confirmation::Fenced:
        return "fenced";
    case Confirmation::Unknown:
        return "unknown";
    }
    return "unknown";
}

GoodbyeVerdict judgeGoodbye(std::chrono::milliseconds age, const absl::Status &answer, bool isConfirmed)
{
    if (answer.ok()) {
        return isConfirmed || age > GoodbyeLife ? GoodbyeVerdict::Rejected : GoodbyeVerdict::Open;
    }
    // Silence proves nothing: what runs goes on until the executor's lease ends.
    return absl::IsFailedPrecondition(answer) && !isConfirmed ? GoodbyeVerdict::Confirmed : GoodbyeVerdict::Open;
}

} // namespace plantainfork::batch
