/** Second filter: resolves a request against the configuration in force. */
#pragma once

#include <absl/status/statusor.h>

#include "requests/request.h"
#include "wire/config_messages.h"

namespace plantainfork::requests
{

/** Deadline of a request if neither the caller nor the template sets one. */
constexpr std::chrono::milliseconds DefaultDeadline{30'000};

/**
 * Fails with NotFound if the template or workspace is unknown, with PermissionDenied if the workspace has no grant
 * of the template, and with InvalidArgument if the template is not for requests to this service or a
 * non-idempotent request has no id.
 */
absl::StatusOr<ClassifiedRequest> classify(AcceptedRequest request, const wire::Config &config);

} // namespace plantainfork::requests
