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

TEST_CASE("A list of runs is whole only if it can't leave anything out")
{
    const auto isWhole = [](std::size_t ends, const std::string &running) {
        std::string rows;
        for (std::size_t number = 1; number <= ends; ++number) {
            rows += (rows.empty() ? "" : ",") + ("[" + std::to_string(number) + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])");
        }
        const auto decoded = platform::decodeListing(R"({"ClockMs":1,"Running":[)" + running + R"(],"Finished":[)" + rows + "]}");
        REQUIRE(decoded.ok());
        return decoded->listing.isWhole;
    };
    REQUIRE(isWhole(0, ""));
    REQUIRE(isWhole(499, ""));
    REQUIRE_FALSE(isWhole(500, ""));
    REQUIRE_FALSE(isWhole(1, R"(["broken",1,"",1])"));
}

TEST_CASE("An announcement of another writer names no executor to use")
{
    const std::string valid =
        R"({"Service":"s","Addr":"10.0.0.1:8080","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2,"Gpu":3},"Labels":["a","r1-3"],"Seq":4,"born":5})";
    const auto announcement = platform::decodeAnnouncement("i-1", valid);
    REQUIRE(announcement.ok());
    REQUIRE(announcement->report.capacity == batch::Resources{1, 2, 3});
    REQUIRE(announcement->report.incarnation == batch::HostIncarnation{"i-1", 5});
    REQUIRE(announcement->address == wire::Address{"10.0.0.1", 8080});
    REQUIRE_FALSE(platform::decodeAnnouncement("i-1", R"({"Service":"s","Zone":"z","State":"dreaming","Capacity":{}})").ok());
    REQUIRE_FALSE(platform::decodeAnnouncement("i-1", "\xff\xfe").ok());
}

// Guards against numbers that were narrowed, or taken for 0: room that a host doesn't have, and reports that shut out all later ones.
TEST_CASE("An announcement with an odd value is refused as a whole")
{
    const auto valid = nlohmann::json::parse(
        R"({"Service":"s","Addr":"10.0.0.1:8080","Zone":"z","State":"draining","Capacity":{"Cpu":1,"MemMb":2,"Gpu":3},"Labels":["a"],"RemainingMs":9,"Seq":4,"born":5})");
    const auto isTaken = [](const nlohmann::json &json) {
        return platform::decodeAnnouncement("i-1", json.dump()).ok();
    };
    REQUIRE(isTaken(valid));
    for (const char *name : {"Service", "Addr", "Zone", "State", "Capacity", "Labels", "Seq"}) {
        INFO(name);
        auto json = valid;
        json.erase(name);
        REQUIRE_FALSE(isTaken(json));
    }
    for (const auto &[name, value] : valid.items()) {
        for (const auto &odd : {nlohmann::json(1e300), nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json::object(), nlohmann::json({7})}) {
            INFO(name << " " << odd.dump());
            auto json = valid;
            json[name] = odd;
            REQUIRE_FALSE(isTaken(json));
        }
    }
    for (const char *name : {"Cpu", "MemMb", "Gpu"}) {
        for (const auto &odd : {nlohmann::json(1e300), nlohmann::json(-1), nlohmann::json(std::uint64_t{1} << 63), nlohmann::json("8"), nlohmann::json()}) {
            INFO(name << " " << odd.dump());
            auto json = valid;
            json["Capacity"][name] = odd;
            REQUIRE_FALSE(isTaken(json));
        }
    }
    for (const char *address : {"10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1", "host:80", ""}) {
        INFO(address);
        auto json = valid;
        json["Addr"] = address;
        REQUIRE_FALSE(isTaken(json));
    }
    const std::string tooLarge =
        R"({"Service":"s","Addr":"10.0.0.1:8080","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2,"Gpu":3},"Labels":["a"],"Seq":1)"
        + std::string(400, '0') + "}";
    REQUIRE_FALSE(platform::decodeAnnouncement("i-1", tooLarge).ok());
}

TEST_CASE("A text of a megabyte of nested lists or objects ends nothing")
{
    constexpr std::size_t Depth = 500'000;
    const std::string lists = std::string(Depth, '[') + std::string(Depth, ']');
    std::string objects;
    for (std::size_t i = 0; i < Depth / 5; ++i) {
        objects += R"({"a":)";
    }
    for (const auto &nested : {lists, objects + "1" + std::string(Depth / 5, '}'), std::string(2 * Depth, '['), objects}) {
        REQUIRE_FALSE(platform::decodeAnnouncement("i-1", nested).ok());
        REQUIRE_FALSE(platform::decodeAnnouncement("i-1", R"({"Service":"s","Labels":)" + nested + "}").ok());
        REQUIRE_FALSE(platform::decodeSubmission(R"({"Spec":"x","Steps":)" + nested + "}").ok());
        REQUIRE_FALSE(platform::decodeListing(R"({"ClockMs":1,"Running":)" + nested + "}").ok());
        REQUIRE_FALSE(platform::decodePolicy(nested).ok());
        REQUIRE_FALSE(platform::decodeReason(nested) == "fence");
    }
}

// Guards against a job that is accepted as another one: 4,294,967,297 tasks were taken for one, and a need of 1e300 for none or for any.
TEST_CASE("A job with a number out of range is refused")
{
    const auto isTaken = [](const std::string &field) {
        return platform::decodeSubmission(R"({"Spec":"x","Steps":[{)" + field + "}]}").ok();
    };
    REQUIRE(isTaken(R"("Count":4294967295)"));
    for (const char *field : {R"("Count":4294967297)",
                              R"("Count":1e300)",
                              R"("Count":-1)",
                              R"("Count":1.5)",
                              R"("Count":"1")",
                              R"("Cpu":1e300)",
                              R"("Cpu":-1)",
                              R"("MemMb":18446744073709551615)",
                              R"("Gpu":"8")",
                              R"("EstimateMs":9223372036854775807)",
                              R"("After":[4294967296])",
                              R"("After":[-1])",
                              R"("AntiAffinity":4294967297)"}) {
        INFO(field);
        REQUIRE_FALSE(isTaken(field));
    }
    for (const char *field : {R"("RepeatCount":4294967297)", R"("StartAtMs":1e18)", R"("PeriodMs":9223372036854775807)"}) {
        INFO(field);
        REQUIRE_FALSE(platform::decodeSubmission(R"({"Spec":"x","Steps":[{}],)" + std::string(field) + "}").ok());
    }
}

TEST_CASE("Rows of runs with numbers out of range are left out, and progress stays between 0 and 100")
{
    const auto decoded = platform::decodeListing(
        R"({"ClockMs":1,"Running":[["5c0e7a21d94b36f8.0.1.17",-2,"",1],["5c0e7a21d94b36f8.0.1.17",1e300,"",1],["5c0e7a21d94b36f8.0.1.17",2,"",1e300],)"
        R"(["5c0e7a21d94b36f8.0.1.17",2,"",-5]],"Finished":[[-1,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[1e300,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
    REQUIRE(decoded.ok());
    REQUIRE(decoded->unreadable == 4);
    REQUIRE(decoded->listing.running.size() == 2);
    REQUIRE(decoded->listing.running[0].percent == 100);
    REQUIRE(decoded->listing.running[1].percent == 0);
    REQUIRE_FALSE(platform::decodeListing(R"({"ClockMs":1e300,"Running":[],"Finished":[]})").ok());
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
