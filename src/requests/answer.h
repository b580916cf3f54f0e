/** Last filter: converts a result into the HTTP response that reports its outcome to the caller. */
#pragma once

#include <absl/status/status.h>

#include "http/message.h"
#include "requests/request.h"

namespace plantainfork::requests
{

/** Result of a request that a filter rejected: it was not run and will not be. The HTTP status follows from `status`. */
Result notRunResult(const absl::Status &status);
Result unknownResult(std::string reason);
Result toResult(wire::ExecuteReply reply);

http::Response toResponse(Result result);

} // namespace plantainfork::requests
