/**
 * What happened in a run, as seen at the outer interfaces only: by callers, by operators, and by the
 * stand-ins that ran the work. All times are milliseconds on the clock that the processes of one machine share.
 */
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainfork::scenario
{

using TimeMs = std::int64_t;
constexpr TimeMs Never = std::numeric_limits<TimeMs>::max();

enum class Outcome {
    Answered,
    NotRun,
    Unknown,
    /** The caller's connection broke after the request had been sent. */
    NoAnswer,
    /** No byte of the request left the caller. */
    NotSent,
};

/** One request as its caller saw it. A repeat under the same id is a call of its own. */
struct Call {
    std::string id;
    std::string entry;
    bool isIdempotent = true;
    std::string body;
    std::size_t padding = 0;
    TimeMs start = 0;
    TimeMs end = Never;
    TimeMs deadline = Never;
    Outcome outcome = Outcome::NotSent;
    unsigned status = 0;
    std::string answer;
};

/** One request as an executor ran it. */
struct Run {
    std::string executor;
    std::string id;
    TimeMs start = 0;
    TimeMs end = Never;
};

/** One task as a worker ran it. */
struct TaskRun {
    std::string worker;
    std::string dataCentre;
    std::string job;
    std::uint32_t attempt = 0;
    std::uint32_t rank = 0;
    TimeMs start = 0;
    /** When it ended or its worker was killed. */
    TimeMs end = Never;
    /** "finished", "failed", "stopped", or empty while it runs. */
    std::string state;
};

/** A data centre out of service, from the operator's answer to the moment the way back was asked for. */
struct OutOfService {
    std::string dataCentre;
    TimeMs accepted = 0;
    TimeMs broughtBack = Never;
};

/** Revision that one process said was in force at it. */
struct RevisionSeen {
    std::string process;
    /** Grows with each restart of the process. */
    std::uint32_t life = 0;
    std::uint64_t revision = 0;
    TimeMs time = 0;
};

/** A change that an operator was told is accepted. */
struct AcceptedChange {
    std::string place;
    std::uint64_t revision = 0;
    std::string value;
    TimeMs time = 0;
};

/** A target that said it leaves, or whose planned stop began. */
struct Leaving {
    std::string target;
    TimeMs time = 0;
    /** When it was started anew. */
    TimeMs returned = Never;
};

/** A planned stop of a process. */
struct PlannedStop {
    std::string process;
    TimeMs start = 0;
    int exitCode = 0;
};

/** A process that was stopped by a signal, and when it went on. */
struct Frozen {
    std::string process;
    TimeMs start = 0;
    TimeMs end = Never;
};

struct History {
    std::vector<Call> calls;
    std::vector<Run> runs;
    std::vector<TaskRun> taskRuns;
    /** Number of members of each job that was submitted. */
    std::map<std::string, std::uint32_t> jobMembers;
    std::vector<OutOfService> outages;
    std::vector<RevisionSeen> revisions;
    std::vector<AcceptedChange> accepted;
    /** Value of each changed place at the end, with its revision, 0 where an entry answers that there is none; places that weren't read are absent. */
    std::map<std::string, AcceptedChange> final;
    std::vector<Leaving> leaving;
    std::vector<PlannedStop> stops;
    std::vector<Frozen> frozen;
    /** Nothing but planned stops happened, so that no call may be cut or unknown. */
    bool hasOnlyPlannedStops = true;
    /** "A few seconds" of the properties, as the scenario states it. */
    TimeMs bound = 4000;
};

} // namespace plantainfork::scenario
