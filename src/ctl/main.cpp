/** The command-line tool of operators and callers. */
#include <cstdlib>
#include <exception>
#include <iostream>

#include "ctl/run.h"

int main(int argumentCount, char **arguments)
{
    const char *entries = std::getenv("PLANTAINFORK_ENTRIES");
    try {
        const auto code = plantainfork::ctl::run({arguments + 1, arguments + argumentCount}, entries == nullptr ? "" : entries, std::cout, std::cerr);
        return static_cast<int>(code);
    } catch (const std::exception &error) {
        std::cerr << "plantainfork: " << error.what() << '\n';
        return static_cast<int>(plantainfork::ctl::ExitCode::Unknown);
    }
}
