/** Which announcements an agent takes for its executor's, and what confirms a new incarnation. */
#include <catch2/catch.hpp>

#include "batch/announcement.h"

using namespace plantainfork;
using namespace std::chrono_literals;
using batch::AnnouncementVerdict;
using batch::Confirmation;

namespace
{

const wire::Address ExecutorAddress{"10.0.0.1", 8080};

batch::Announcement announcement(const std::string &instance, std::uint64_t born, std::uint64_t sequence)
{
    batch::Announcement result;
    result.report.incarnation = {instance, born};
    result.report.service = base::ServiceId("ledger");
    result.address = ExecutorAddress;
    result.sequence = sequence;
    return result;
}

} // namespace

TEST_CASE("Announcements of a known incarnation count in their order")
{
    const std::optional known(announcement("i-1", 5, 4));
    REQUIRE(judgeAnnouncement(known, announcement("i-1", 5, 5)) == AnnouncementVerdict::Update);
    REQUIRE(judgeAnnouncement(known, announcement("i-1", 5, 4)) == AnnouncementVerdict::Outdated);
    REQUIRE(judgeAnnouncement(known, announcement("i-1", 5, 3)) == AnnouncementVerdict::Outdated);
}

TEST_CASE("Any other incarnation has to be confirmed, whatever its birth says")
{
    const std::optional known(announcement("i-1", 5, 4));
    REQUIRE(judgeAnnouncement(known, announcement("i-1", 6, 1)) == AnnouncementVerdict::Unconfirmed);
    REQUIRE(judgeAnnouncement(known, announcement("i-1", 4, 1)) == AnnouncementVerdict::Unconfirmed);
    REQUIRE(judgeAnnouncement(known, announcement("i-2", 6, 1)) == AnnouncementVerdict::Unconfirmed);
    REQUIRE(judgeAnnouncement(std::nullopt, announcement("i-1", 5, 4)) == AnnouncementVerdict::Unconfirmed);
}

TEST_CASE("An announcement for the known incarnation, but of another address, service or data centre, is another writer's")
{
    const std::optional known(announcement("i-1", 5, 4));
    auto elsewhere = announcement("i-1", 5, 9);
    elsewhere.address.port = 9;
    REQUIRE(judgeAnnouncement(known, elsewhere) == AnnouncementVerdict::Foreign);
    auto otherService = announcement("i-1", 5, 9);
    otherService.report.service = base::ServiceId("other");
    REQUIRE(judgeAnnouncement(known, otherService) == AnnouncementVerdict::Foreign);
    auto otherDataCentre = announcement("i-1", 5, 9);
    otherDataCentre.report.dataCentre = base::DataCentreId("fold");
    REQUIRE(judgeAnnouncement(known, otherDataCentre) == AnnouncementVerdict::Foreign);
    // The next incarnation may have moved; the executor tells.
    elsewhere.report.incarnation = {"i-2", 6};
    REQUIRE(judgeAnnouncement(known, elsewhere) == AnnouncementVerdict::Unconfirmed);
}

TEST_CASE("Only an executor that answers as the announced incarnation confirms it")
{
    const batch::HostIncarnation announced{"i-1", 5};
    batch::Listing listing;
    listing.born = 5;
    REQUIRE(judgeConfirmation(announced, listing) == Confirmation::Confirmed);
    listing.born = 0;
    REQUIRE(judgeConfirmation(announced, listing) == Confirmation::Confirmed);
    listing.born = 6;
    REQUIRE(judgeConfirmation(announced, listing) == Confirmation::Denied);
    REQUIRE(judgeConfirmation(announced, absl::NotFoundError("421")) == Confirmation::Denied);
    REQUIRE(judgeConfirmation(announced, absl::AbortedError("409 fence")) == Confirmation::Fenced);
    REQUIRE(judgeConfirmation(announced, absl::UnavailableError("503")) == Confirmation::Unknown);
    REQUIRE(judgeConfirmation(announced, absl::DeadlineExceededError("no reply")) == Confirmation::Unknown);
}

TEST_CASE("A goodbye is confirmed by a refused connection alone, and rejected by an executor that lives on")
{
    const std::chrono::milliseconds soon(10);
    const std::chrono::milliseconds late = batch::GoodbyeLife + 1ms;
    const auto refused = absl::FailedPreconditionError("connect: Connection refused");
    REQUIRE(batch::judgeGoodbye(soon, refused, false) == batch::GoodbyeVerdict::Confirmed);
    REQUIRE(batch::judgeGoodbye(soon, refused, true) == batch::GoodbyeVerdict::Open);
    REQUIRE(batch::judgeGoodbye(late, absl::UnavailableError("receive: end of stream"), false) == batch::GoodbyeVerdict::Open);
    REQUIRE(batch::judgeGoodbye(late, absl::DeadlineExceededError("no answer"), false) == batch::GoodbyeVerdict::Open);
    REQUIRE(batch::judgeGoodbye(soon, absl::OkStatus(), false) == batch::GoodbyeVerdict::Open);
    REQUIRE(batch::judgeGoodbye(late, absl::OkStatus(), false) == batch::GoodbyeVerdict::Rejected);
    REQUIRE(batch::judgeGoodbye(soon, absl::OkStatus(), true) == batch::GoodbyeVerdict::Rejected);
}
