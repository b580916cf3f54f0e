#include <catch2/catch.hpp>

#include <variant>

#include "jobs/job_record.h"

using namespace plantainfork;
using namespace std::chrono_literals;

namespace
{

jobs::JobRecord sampleRecord()
{
    jobs::JobRecord record;
    record.spec.id = base::JobId("season-close");
    record.spec.workspace = base::WorkspaceId("atlas");
    record.spec.templateId = base::TemplateId("reconcile");
    record.spec.shape = {4, 8, 16, 4096, wire::Adjacency::Rack};
    record.spec.checkpointable = true;
    record.spec.urgency = wire::Urgency::Patient;
    record.spec.runTime = 90min;
    record.spec.checkpointed = 12min;
    record.spec.attempt = 3;
    record.region = base::RegionId("atlas-north");
    record.state = jobs::JobState::Running;
    record.members = {{base::MemberId("w1"), base::Incarnation(7), {"127.0.0.1", 9}, 0}};
    record.reason = std::string(1000, 'x');
    record.placementReason = "fits the rack";
    record.submittedAt = jobs::wallClockNow();
    record.deadline = 3h;
    return record;
}

} // namespace

TEST_CASE("A record is unchanged after a round trip through JSON")
{
    const auto record = sampleRecord();
    const auto read = jobs::recordFromJson(jobs::toJson(record), jobs::wallClockNow());
    REQUIRE(std::holds_alternative<jobs::JobRecord>(read));
    const auto &restored = std::get<jobs::JobRecord>(read);
    REQUIRE(jobs::toJson(restored) == jobs::toJson(record));
    REQUIRE(restored.spec.shape == record.spec.shape);
    REQUIRE(restored.spec.deadline.has_value());
}

TEST_CASE("All errors of a submission are reported")
{
    const auto parsed = jobs::submissionFromJson(R"({"id":"a/b","template":5,"shape":{"members":0,"adjacency":"planet"},"runTimeMs":-4})");
    const std::string text = std::get<base::Findings>(parsed).text();
    for (const std::string place : {"id", "workspace", "template", "shape.members", "shape.adjacency", "runTimeMs"}) {
        INFO(text);
        REQUIRE(text.find(place + ": ") != std::string::npos);
    }
}
