#!/usr/bin/env bash
# Builds and runs all tests: ./test.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")"
build=${1:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja
cmake --build "$build"
ctest --test-dir "$build" --output-on-failure
