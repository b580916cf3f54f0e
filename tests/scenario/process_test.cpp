#include <array>

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include "scenario/process.h"

using namespace plantainfork;

TEST_CASE("A started process doesn't keep open what the process that started it closes")
{
    std::array<int, 2> pipe{};
    REQUIRE(::pipe(pipe.data()) == 0);
    REQUIRE(::fcntl(pipe[0], F_SETFL, O_NONBLOCK) == 0);
    scenario::Process process;
    scenario::Command command;
    command.arguments = {"/bin/sleep", "20"};
    command.logFile = "/dev/null";
    REQUIRE(process.start(command).ok());
    ::close(pipe[1]);
    // The other process closes its copy when it begins its program.
    char byte = 0;
    ssize_t end = -1;
    for (unsigned tries = 0; tries < 200 && end != 0; ++tries) {
        end = ::read(pipe[0], &byte, 1);
        ::usleep(10'000);
    }
    CHECK(end == 0);
    REQUIRE(process.isRunning());
    REQUIRE(process.signal(SIGKILL).ok());
    ::close(pipe[0]);
}
