#!/bin/sh
# Builds the stand-ins that the cases start; run it after the build line of deploy/system.toml.
# They are Python files that need the standard library alone, so building them is compiling them.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q harness.py [0-9]
