/** Messages between an entry and the agent beside an executor. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "base/ids.h"
#include "wire/chrono.h"
#include "wire/resources.h"

namespace plantainfork::wire
{

/** All that a caller is ever told. */
enum class Outcome : std::uint8_t {
    /** The whole answer of the executor follows, whatever its status. */
    Answered,
    /** Proven: no executor was or will be given this request. */
    NotRun,
    /** It may have run. */
    Unknown,
};

/** What a NotRun says about the agent that answered so. */
enum class Refusal : std::uint8_t {
    None,
    /** All slots are taken; others may be served later. */
    Busy,
    /** Nothing is taken here for now: leaving, no executor, or another incarnation. */
    Unavailable,
    /** This request is barred here: a repeat of it has been told that it may go elsewhere. */
    Barred,
};

struct ExecuteReply {
    Outcome outcome = Outcome::Unknown;
    /** Status, content type and body of the executor's answer when Answered. */
    unsigned status = 0;
    std::string contentType;
    std::string body;
    /** Why it was not run, or why that isn't known. */
    std::string reason;
    Refusal refusal = Refusal::None;
    std::uint32_t freeSlots = 0;
    /** From the request's first byte to the executor until its answer was whole. */
    std::chrono::microseconds executorTime{0};

    MSGPACK_DEFINE_MAP(outcome, status, contentType, body, reason, refusal, freeSlots, executorTime);
};

struct ExecuteCall {
    static constexpr std::string_view Method = "/execute";
    using Reply = ExecuteReply;

    /** Incarnation of the agent that the attempt is meant for; any other refuses it. */
    base::Incarnation agentIncarnation;
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    base::ServiceId service;
    base::RequestId requestId;
    bool idempotent = true;
    Urgency urgency = Urgency::Normal;
    /** Time left to the caller's deadline when the call was made. */
    std::chrono::milliseconds remaining{0};
    std::string path;
    std::string contentType;
    std::string body;

    MSGPACK_DEFINE_MAP(agentIncarnation, workspace, templateId, service, requestId, idempotent, urgency, remaining, path, contentType, body);
};

enum class AttemptState : std::uint8_t {
    /** Never given to the executor; barred for good by this very call. */
    Barred,
    Running,
    Done,
    /** The agent is another incarnation than the claim names, so it can't know. */
    Forgotten,
};

struct SettleReply {
    AttemptState state = AttemptState::Forgotten;
    /** When Done: what the executor answered. */
    ExecuteReply answer;

    MSGPACK_DEFINE_MAP(state, answer);
};

/** Asks the agent that a claim names what became of a non-idempotent request, and bars it when it never started. */
struct SettleCall {
    static constexpr std::string_view Method = "/settle";
    using Reply = SettleReply;

    base::Incarnation agentIncarnation;
    base::WorkspaceId workspace;
    base::RequestId requestId;
    /** Wait this long for a running attempt to end before answering Running. */
    std::chrono::milliseconds waitFor{0};

    MSGPACK_DEFINE_MAP(agentIncarnation, workspace, requestId, waitFor);
};

} // namespace plantainfork::wire

MSGPACK_ADD_ENUM(plantainfork::wire::Outcome);
MSGPACK_ADD_ENUM(plantainfork::wire::Refusal);
MSGPACK_ADD_ENUM(plantainfork::wire::AttemptState);
