/** Benchmark of the claims per second at a limited rate of store writes, with one claim per write and with many. */
#pragma once

#include <chrono>

namespace plantainfork::bench
{

void benchClaims(std::chrono::milliseconds duration);

} // namespace plantainfork::bench
