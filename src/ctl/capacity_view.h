/** Draws in the terminal which accelerators are in use, and which guarantees are met. */
#pragma once

#include <ostream>

#include "ctl/answer.h"

namespace plantainfork::ctl
{

/** `capacity` is the answer of GET /v1/capacity. */
void writeCapacity(std::ostream &stream, const Json &capacity);

} // namespace plantainfork::ctl
