#!/usr/bin/env bash
# Installs what is needed (Debian 12), builds, and runs the example end to end.
set -euo pipefail
cd "$(dirname "$0")"
[ "$(id -u)" -ne 0 ] || .ci/install > /dev/null
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja
cmake --build build
exec build/tools/local_fleet
