/** Benchmarks of overload, faulty executors and bursts. Each compares the daemons' policy with round robin without limits. */
#pragma once

#include <chrono>

namespace plantainfork::bench
{

void benchOverload(std::chrono::milliseconds duration);
void benchFaults(std::chrono::milliseconds duration);
void benchBurst(std::chrono::milliseconds duration);

} // namespace plantainfork::bench
