#!/bin/sh
# Builds what the scripts of the cases 4 to 7 start, after the `build` line of deploy/system.toml: all is Python,
# so the stand-ins and the project's programs are compiled, and imported once with the libraries of target/deps.
cd "$(dirname "$0")/.." || exit 2
set -e
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q flintreach review/harness2.py review/[4-7]
python3 -c "import sys; sys.path.insert(0, 'review'); import harness2; harness2.deployed_commands()"
python3 -c "import flintreach.proxy.program, flintreach.controller.program"
