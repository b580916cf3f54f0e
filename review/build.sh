#!/usr/bin/env bash
# The stand-ins are Python scripts that need nothing but its standard library, so there is nothing to compile: checks that they can run.
set -eu
cd "$(dirname "$0")"
for script in standins/standins.py [1-5]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$script"
done
test -x ../target/bin/plantainfork-batchd || { echo "build the deploy file first"; exit 1; }
