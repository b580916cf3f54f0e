/**
 * What is kept in the store for each job, and under which keys:
 *
 *   plantainfork/batch/jobs/ID/spec     the JobSpec, written once at acceptance
 *   plantainfork/batch/jobs/ID/cancel   present once a caller has cancelled the job
 *   plantainfork/batch/states/ID        the JobState, written by the scheduler in office only; apart from the others, so that
 *                                       whoever follows the jobs doesn't get each change of state back
 *   plantainfork/batch/leader           the scheduler in office; goes with its lease
 *   plantainfork/batch/entries/ID       where an entry is reached
 */
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "batch/model.h"
#include "wire/member_messages.h"

namespace plantainfork::batch
{

/** A member's place: written before the start is ordered, so that a later scheduler knows where it may run. */
struct MemberRecord {
    HostId host;
    HostIncarnation incarnation;

    MSGPACK_DEFINE(host, incarnation);
};

/** What is known of a unit: a gang, or a single task. Units that were never placed have no record. */
struct UnitRecord {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    /** Task of the step; 0 for a gang. */
    std::uint32_t index = 0;
    bool isDone = false;
    Attempt attempt;
    /** Attempts that ended as failed, each once however often its end is heard. */
    std::set<Attempt> failures;
    std::string checkpoint;
    /** Where the attempt may run; empty while it waits. In the order of the gang's tasks. */
    std::vector<MemberRecord> members;

    MSGPACK_DEFINE(occurrence, step, index, isDone, attempt, failures, checkpoint, members);
};

struct JobState {
    JobStatus status = JobStatus::Queued;
    std::vector<UnitRecord> units;
    /** Unix milliseconds at which the job ended; 0 while it has not. */
    std::int64_t endedMs = 0;

    MSGPACK_DEFINE(status, units, endedMs);
};

struct LeaderRecord {
    base::MemberId member;
    wire::Address rpc;

    MSGPACK_DEFINE(member, rpc);
};

struct EntryRecord {
    base::MemberId member;
    wire::Address rpc;

    MSGPACK_DEFINE(member, rpc);
};

namespace keys
{

inline constexpr std::string_view Jobs = "plantainfork/batch/jobs/";
inline constexpr std::string_view States = "plantainfork/batch/states/";
inline constexpr std::string_view Leader = "plantainfork/batch/leader";
inline constexpr std::string_view Entries = "plantainfork/batch/entries/";

enum class JobPart {
    Spec,
    Cancel,
};

inline std::string state(const base::JobId &id)
{
    return std::string(States) + id.value();
}

inline std::string jobPrefix(const base::JobId &id)
{
    return std::string(Jobs) + id.value() + "/";
}

inline std::string job(const base::JobId &id, JobPart part)
{
    switch (part) {
    case JobPart::Spec:
        return jobPrefix(id) + "spec";
    case JobPart::Cancel:
        return jobPrefix(id) + "cancel";
    }
    return jobPrefix(id);
}

struct JobKey {
    base::JobId id;
    JobPart part = JobPart::Spec;
};

/** Nothing for a key that isn't one of a job's. */
inline std::optional<JobKey> parseJob(std::string_view key)
{
    if (key.substr(0, Jobs.size()) != Jobs) {
        return std::nullopt;
    }
    key.remove_prefix(Jobs.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const base::JobId id{std::string(key.substr(0, slash))};
    const auto part = key.substr(slash + 1);
    if (part == "spec") {
        return JobKey{id, JobPart::Spec};
    }
    if (part == "cancel") {
        return JobKey{id, JobPart::Cancel};
    }
    return std::nullopt;
}

} // namespace keys

} // namespace plantainfork::batch
