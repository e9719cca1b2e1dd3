#!/bin/sh
# Builds the stand-ins that the scripts start; run it after the build of the deploy file.
# All of them are Python, and run on the libraries of that build and the standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/[1-9]
PYTHONPATH=target/deps python3 -c "import standins._table_store"
