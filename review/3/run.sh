#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/ebony-vmd ] || { echo "target/bin/ebony-vmd is missing: run the build of deploy/system.toml"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
timeout --signal=TERM --kill-after=5 110 python3 review/3/case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
