/** The data passed along an entry's chain of filters; each filter extends the result of the previous one. */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "runtime/clock.h"
#include "wire/request_messages.h"
#include "wire/resources.h"

namespace plantainfork::requests
{

/** A caller's request, validated in form only. */
struct AcceptedRequest {
    base::ServiceId service;
    base::WorkspaceId workspace;
    base::TemplateId templateId;
    /** Empty if the caller gave none. */
    base::RequestId id;
    /** Requested by the caller, relative to arrival. */
    std::optional<std::chrono::milliseconds> deadline;
    runtime::Instant arrived;
    /** Path and query at the executor, beginning with a slash. */
    std::string path;
    std::string contentType;
    std::string body;
};

/** A request with its properties from the configuration in force. */
struct ClassifiedRequest {
    AcceptedRequest request;
    wire::Urgency urgency = wire::Urgency::Normal;
    bool isIdempotent = true;
    /** Guaranteed share of the workspace in the service's slots, in thousandths. */
    std::uint32_t guaranteedShare = 0;
    runtime::Instant deadline;
};

/** The outcome reported to the caller. */
struct Result {
    wire::Outcome outcome = wire::Outcome::Unknown;
    /** HTTP status; the executor's if Answered. */
    unsigned status = 504;
    std::string contentType;
    std::string body;
    /** Why the request was not run, or why its outcome is unknown. */
    std::string reason;
};

} // namespace plantainfork::requests
