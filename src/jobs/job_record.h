/** The record of a job in the platform's store, and its JSON form. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/findings.h"
#include "base/ids.h"
#include "scheduling/model.h"
#include "wire/gang_messages.h"

namespace plantainfork::jobs
{

enum class JobState : std::uint8_t {
    Queued,
    /** The current attempt is prepared on all members and may run. */
    Running,
    Finished,
    Failed,
    Cancelled,
    Impossible,
};

struct JobRecord {
    scheduling::JobSpec spec;
    base::RegionId region;
    JobState state = JobState::Queued;
    /** Members of attempt `spec.attempt`, in order of rank. After the attempt has ended they stay until the next one. */
    std::vector<wire::GangMember> members;
    std::string reason;
    /** Why the last attempt was placed where it was; kept after the job has ended. */
    std::string placementReason;
    bool isCancelRequested = false;
    /** Wall-clock time of the submission, since the epoch. A monotonic time would mean nothing on another host. */
    std::chrono::milliseconds submittedAt{0};
    /** Deadline relative to the submission; 0 means none. */
    std::chrono::milliseconds deadline{0};
};

/** True when the job has ended and its record no longer changes. Until then the job is live. */
[[nodiscard]] bool isClosed(JobState state);
[[nodiscard]] std::string nameOf(JobState state);

/** The JSON that is stored and shown to callers. */
[[nodiscard]] std::string toJson(const JobRecord &record);

/** Parses a stored record. Its Instants are computed from `wallNow` and the runtime clock. */
std::variant<JobRecord, base::Findings> recordFromJson(const std::string &json, std::chrono::milliseconds wallNow);

/** A submission as the caller sent it. Defaults of its template and grant are applied later, from the configuration. */
struct Submission {
    base::JobId id;
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    /** `members` is 0 when the caller gave no shape. */
    wire::Shape shape{0};
    std::chrono::milliseconds runTime{0};
    std::chrono::milliseconds deadline{0};
};
std::variant<Submission, base::Findings> submissionFromJson(const std::string &json);

/** Random id for a submission without one. */
[[nodiscard]] base::JobId newJobId();

/** Wall-clock time since the epoch. */
[[nodiscard]] std::chrono::milliseconds wallClockNow();

} // namespace plantainfork::jobs
