#!/usr/bin/env bash
# Builds and runs all tests: ./test.sh [BUILD_DIR]
# Test cases named in KNOWN-RED.txt are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")"
build=${1:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja
cmake --build "$build"
if [ -s KNOWN-RED.txt ]; then
  echo "known to fail, not run:"
  cat KNOWN-RED.txt
  export GREENGAGEHUB_KNOWN_RED="$PWD/KNOWN-RED.txt"
fi
ctest --test-dir "$build" --output-on-failure
