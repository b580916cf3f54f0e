/** Messages between entries about jobs. Only the leader of a job's region, the entry that holds its scheduler lease, accepts them. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "base/ids.h"

namespace plantainfork::wire
{

struct JobNoticeReply {
    /** False when the receiver isn't the region's leader, or could not read the job's record. */
    bool accepted = false;

    MSGPACK_DEFINE_MAP(accepted);
};

/** The record of this job has changed in the store (submitted, or to be cancelled). */
struct JobNoticeCall {
    static constexpr std::string_view Method = "/job/notice";
    using Reply = JobNoticeReply;

    base::RegionId region;
    base::JobId job;

    MSGPACK_DEFINE_MAP(region, job);
};

enum class JobQuestion : std::uint8_t {
    Explain,
    Capacity,
};

struct JobQueryReply {
    bool accepted = false;
    /** JSON, as the entry's HTTP API shows it. */
    std::string answer;

    MSGPACK_DEFINE_MAP(accepted, answer);
};

struct JobQueryCall {
    static constexpr std::string_view Method = "/job/query";
    using Reply = JobQueryReply;

    base::RegionId region;
    JobQuestion question = JobQuestion::Explain;
    base::JobId job;

    MSGPACK_DEFINE_MAP(region, question, job);
};

} // namespace plantainfork::wire

MSGPACK_ADD_ENUM(plantainfork::wire::JobQuestion);
