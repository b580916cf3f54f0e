#!/usr/bin/env bash
# Runs the case once and writes record.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONDONTWRITEBYTECODE=1 exec timeout --signal=INT --kill-after=5 118 python3 case.py
