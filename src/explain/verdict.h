/** What decided the fate of a job or a request, in a sentence or two, from its timeline. */
#pragma once

#include <string>

#include "explain/timeline.h"

namespace plantainfork::explain
{

/** Always says something: also that the logs don't tell. */
[[nodiscard]] std::string verdict(const Timeline &timeline);

} // namespace plantainfork::explain
