#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3. They need Boost and nlohmann-json, as the deploy build does.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
# Boost 1.74 uses std::exchange without its header, which g++ 12 needs.
g++ -std=c++20 -O1 -include utility -Wall -Wextra -o target/review-3/world review/standins-3/world.cpp -pthread
