/** Benchmarks of request handling. Results: docs/measurements/requests.md. */
#include <cstdlib>
#include <iostream>
#include <string>

#include "claims_bench.h"
#include "path_bench.h"
#include "policy_bench.h"

namespace
{

constexpr const char *Usage = "usage: requests_bench path|overload|faults|burst|claims [MILLISECONDS [THREADS]]\n";

} // namespace

int main(int argc, char **argv)
{
    using namespace plantainfork::bench;
    const std::string benchmark = argc > 1 ? argv[1] : "";
    const std::chrono::milliseconds duration(argc > 2 ? std::atoi(argv[2]) : 1000);
    const auto threads = static_cast<unsigned>(argc > 3 ? std::atoi(argv[3]) : 2);
    if (benchmark == "path") {
        benchPath(duration, threads);
        return EXIT_SUCCESS;
    }
    if (benchmark == "overload") {
        benchOverload(duration);
        return EXIT_SUCCESS;
    }
    if (benchmark == "faults") {
        benchFaults(duration);
        return EXIT_SUCCESS;
    }
    if (benchmark == "claims") {
        benchClaims(duration);
        return EXIT_SUCCESS;
    }
    if (benchmark == "burst") {
        benchBurst(duration);
        return EXIT_SUCCESS;
    }
    std::cerr << Usage;
    return EXIT_FAILURE;
}
