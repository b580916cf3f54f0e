#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs of the standard library: checks that they compile, here and in each case.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in ["standins-2/standins.py", *(f"{n}/case.py" for n in range(6, 11))]:
    ast.parse(open(path).read(), path)
PY
test -x ../target/bin/plantainfork-batchd
