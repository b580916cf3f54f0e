/** Benchmark of the daemons' overhead, with an executor that answers without delay. */
#pragma once

#include <chrono>

namespace plantainfork::bench
{

void benchPath(std::chrono::milliseconds duration, unsigned threadsPerRole);

} // namespace plantainfork::bench
