/**
 * Records in the store and their keys:
 *
 *   plantainfork/batch/jobs/ID/spec     the JobSpec, written once at acceptance
 *   plantainfork/batch/jobs/ID/cancel   present once a caller has cancelled the job
 *   plantainfork/batch/states/ID        the JobState, written by the leader only; under a prefix of its own, so that a watch on the
 *                                       jobs doesn't return every change of state
 *   plantainfork/batch/leader           the leader; released when its lease ends
 *   plantainfork/batch/entries/ID       the address of an entry
 *   plantainfork/batch/admission/WORKSPACE
 *                                       the AdmissionRecord of a workspace that has ever been closed, written by the leader only
 *   plantainfork/batch/speeds           the HostSpeedsRecord, written by the leader only
 */
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "batch/crash_blame.h"
#include "batch/model.h"
#include "wire/member_messages.h"

namespace plantainfork::batch
{

/** Host of a member of a gang; written before its start is ordered, so that the next leader knows where it may be running. */
struct MemberRecord {
    HostId host;
    HostIncarnation incarnation;

    MSGPACK_DEFINE(host, incarnation);
};

/** State of a unit: a gang or a single task. Units that were never placed have no record. */
struct UnitRecord {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    /** Index of the task in its step; 0 for a gang. */
    std::uint32_t index = 0;
    bool isDone = false;
    Attempt attempt;
    /** Failed attempts; a set, since the end of an attempt may be reported several times. */
    std::set<Attempt> failures;
    std::string checkpoint;
    /** Hosts on which the attempt may be running, in the order of the gang's tasks; empty while the unit waits. */
    std::vector<MemberRecord> members;
    /** Unit::crashes; a record of an earlier version doesn't have it. */
    Crashes crashes;

    MSGPACK_DEFINE(occurrence, step, index, isDone, attempt, failures, checkpoint, members, crashes);
};

/** Consecutive units of one step that are done and need no record of their own. */
struct DoneRange {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t first = 0;
    std::uint32_t count = 0;

    MSGPACK_DEFINE(occurrence, step, first, count);
};

struct JobState {
    JobStatus status = JobStatus::Queued;
    std::vector<UnitRecord> units;
    /** End time of the job in Unix milliseconds; 0 while it has not ended. */
    std::int64_t endedMs = 0;
    /** Of a job with many units, by occurrence, step and first unit. A record of an earlier version has a UnitRecord for each unit that is done. */
    std::vector<DoneRange> doneRanges;

    MSGPACK_DEFINE(status, units, endedMs, doneRanges);
};

struct LeaderRecord {
    base::MemberId member;
    wire::Address rpc;

    MSGPACK_DEFINE(member, rpc);
};

struct EntryRecord {
    base::MemberId member;
    wire::Address rpc;
    /** Settings::processorShare of the entry; an entry of an earlier version doesn't tell it. */
    double processorShare = 0;

    MSGPACK_DEFINE(member, rpc, processorShare);
};

/** Whether a workspace may hand in further jobs. */
struct AdmissionRecord {
    base::WorkspaceId workspace;
    bool isClosed = false;

    MSGPACK_DEFINE(workspace, isClosed);
};

/** What the leader knows of a host's speed. */
struct HostSpeedRecord {
    HostId host;
    /** HostSpeeds::factor in hundredths. */
    std::uint32_t factorPercent = 100;
    /** HostSpeeds::Known::evidence in hundredths. */
    std::uint32_t evidencePercent = 0;

    MSGPACK_DEFINE(host, factorPercent, evidencePercent);
};

/** Lets a new leader go on with what the last one had learned. Nothing depends on it: without it, the speeds are learned again. */
struct HostSpeedsRecord {
    /** Sorted by host. */
    std::vector<HostSpeedRecord> hosts;

    MSGPACK_DEFINE(hosts);
};

namespace keys
{

inline constexpr std::string_view Jobs = "plantainfork/batch/jobs/";
inline constexpr std::string_view States = "plantainfork/batch/states/";
inline constexpr std::string_view Leader = "plantainfork/batch/leader";
inline constexpr std::string_view Speeds = "plantainfork/batch/speeds";
inline constexpr std::string_view Entries = "plantainfork/batch/entries/";
inline constexpr std::string_view Admission = "plantainfork/batch/admission/";

enum class JobPart {
    Spec,
    Cancel,
};

inline std::string state(const base::JobId &id)
{
    return std::string(States) + id.value();
}

/** A name that is too long for a key is replaced by its digest (FNV-1a, 64 bits). */
inline std::string admission(const base::WorkspaceId &workspace)
{
    constexpr std::size_t LongestName = 120;
    constexpr std::uint64_t OffsetBasis = 14'695'981'039'346'656'037U;
    constexpr std::uint64_t Prime = 1'099'511'628'211U;
    if (workspace.value().size() <= LongestName) {
        return std::string(Admission) + workspace.value();
    }
    std::uint64_t digest = OffsetBasis;
    for (const char character : workspace.value()) {
        digest = (digest ^ static_cast<unsigned char>(character)) * Prime;
    }
    return std::string(Admission) + "digest/" + std::to_string(digest);
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

/** Parses a key of a job; nothing for any other key. */
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
