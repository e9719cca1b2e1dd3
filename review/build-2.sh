#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: the project's store (`standins`) and worker.py, which
# need no more than `target/deps` of the deploy file's build. Compiles them, and fails if one cannot
# be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
for case in review/6 review/7 review/8 review/9 review/10; do
  [ ! -d "$case" ] || python3 -m py_compile "$case/harness.py" "$case/worker.py" "$case/case.py"
done
python3 -m compileall -q standins
python3 -m standins tables --help > /dev/null
