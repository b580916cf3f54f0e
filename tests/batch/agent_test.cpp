/** Acknowledgement of ended runs to the executor. */
#include <catch2/catch.hpp>

#include "batch/executor_port.h"

using namespace plantainfork;

TEST_CASE("Ended runs are acknowledged only while they are listed, so that a restarted executor drops no unreported ones")
{
    batch::Ended first;
    first.number = 11;
    batch::Ended second;
    second.number = 12;
    REQUIRE(batch::acknowledgement({first, second}, 11) == 11);
    REQUIRE(batch::acknowledgement({second}, 11) == 0);
    REQUIRE(batch::acknowledgement({}, 12) == 0);
}
