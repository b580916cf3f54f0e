#include "runtime/jitter.h"

#include <random>

namespace plantainfork::runtime
{

Clock::duration uniformDelay(Clock::duration bound)
{
    thread_local std::minstd_rand generator{std::random_device{}()};
    return Clock::duration(std::uniform_int_distribution<Clock::rep>(0, std::max<Clock::rep>(bound.count(), 0))(generator));
}

} // namespace plantainfork::runtime
