/** First filter: validates the form of a caller's HTTP request. */
#pragma once

#include <absl/status/statusor.h>

#include "http/message.h"
#include "requests/request.h"

namespace plantainfork::requests
{

/** Fails with InvalidArgument, listing every invalid part, or with NotFound if the path does not name a service. */
absl::StatusOr<AcceptedRequest> accept(http::Request request, runtime::Instant now);

} // namespace plantainfork::requests
