/** The platform's JSON, whole and damaged. */
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "platform/json.h"

using namespace plantainfork;
using namespace std::chrono_literals;

TEST_CASE("A desired state is decoded into queues, workspaces and keys")
{
    const auto policy = platform::decodePolicy(
        R"({"Version":7,"Routes":[{"Name":"r-1","Host":"h.example","Prefix":"/p/","Kind":"non_idempotent","TargetDurationMs":600,"Priority":0,)"
        R"("Service":"s","MaxAttempts":3,"SlackFactor":1.5,"Public":false}],"Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Guaranteed":{"Gpu":16}}]})");
    REQUIRE(policy.ok());
    REQUIRE(policy->version == 7);
    REQUIRE(policy->queues.at(batch::QueueId("r-1")).latencyTarget == 600ms);
    REQUIRE(policy->workspaces.at(base::WorkspaceId("t")).guaranteedAccelerators == 16);
    REQUIRE(policy->keys.size() == 2);
    REQUIRE_FALSE(platform::decodePolicy("{").ok());
}

TEST_CASE("A job's steps keep their order, needs and wishes")
{
    const auto job = platform::decodeSubmission(
        R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"Gpu":2,"EstimateMs":900,"Affinity":"r1-3","Gang":true,"SameRack":true},)"
        R"({"Count":20,"After":[0],"Checkpointing":true,"AntiAffinity":2,"Requirements":"b"}],"RepeatCount":3,"StartAtMs":5,"PeriodMs":7})");
    REQUIRE(job.ok());
    REQUIRE(job->steps[0].need == batch::Resources{500, 256, 2});
    REQUIRE(job->steps[0].isGang);
    REQUIRE(job->steps[0].dataRack == "r1-3");
    REQUIRE(job->steps[1].dependsOn == std::vector<std::uint32_t>{0});
    REQUIRE(job->steps[1].maxTasksPerHost == 2);
    REQUIRE(job->steps[1].requiredLabel == "b");
    REQUIRE(job->period == 7ms);
    REQUIRE_FALSE(platform::decodeSubmission("[]").ok());
    REQUIRE_FALSE(platform::decodeSubmission(R"({"Spec":"x"})").ok());
}

TEST_CASE("A list of runs leaves out rows that can't be read, and counts them")
{
    const auto decoded = platform::decodeListing(R"({"ClockMs":482113,"born":9,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"abc",41,3],["broken",1,"",1],7],)"
                                                 R"("Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})");
    REQUIRE(decoded.ok());
    REQUIRE(decoded->unreadable == 3);
    REQUIRE(decoded->listing.running.size() == 1);
    REQUIRE(decoded->listing.running[0].run.task.index == 17);
    REQUIRE(decoded->listing.ended[0].kind == batch::EndKind::Done);
    REQUIRE(decoded->listing.born == 9);
}

TEST_CASE("An announcement of another writer names no executor to use")
{
    const std::string valid = R"({"Service":"s","Addr":"10.0.0.1:8080","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2,"Gpu":3},"Labels":["a","r1-3"],"Seq":4,"born":5})";
    const auto announcement = platform::decodeAnnouncement("i-1", valid);
    REQUIRE(announcement.ok());
    REQUIRE(announcement->report.capacity == batch::Resources{1, 2, 3});
    REQUIRE(announcement->report.incarnation == batch::HostIncarnation{"i-1", 5});
    REQUIRE(announcement->address == wire::Address{"10.0.0.1", 8080});
    REQUIRE_FALSE(platform::decodeAnnouncement("i-1", R"({"Service":"s","Zone":"z","State":"dreaming","Capacity":{}})").ok());
    REQUIRE_FALSE(platform::decodeAnnouncement("i-1", "\xff\xfe").ok());
}

TEST_CASE("Orders carry the run's name, attempt and token")
{
    const batch::RunId run{{base::JobId("5c0e7a21d94b36f8"), 0, 1, 17}, batch::Attempt(2)};
    const auto start = nlohmann::json::parse(platform::encodeStart({run, "text", ""}, base::FencingToken(7), 486'000ms));
    REQUIRE(start["Task"] == "5c0e7a21d94b36f8.0.1.17");
    REQUIRE(start["Attempt"] == 2);
    REQUIRE(start["DeadlineMs"] == 486'000);
    REQUIRE_FALSE(start.contains("Checkpoint"));
    batch::HoldRequest hold;
    hold.token = base::FencingToken(7);
    hold.acknowledged = 57;
    const auto held = nlohmann::json::parse(platform::encodeHold(hold));
    REQUIRE(held["LastSeen"] == 57);
    REQUIRE_FALSE(held.contains("DeadlineMs"));
}
