#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review. The daemon is
# that of the deploy file's build, target/greengagehubd.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review -DCMAKE_BUILD_TYPE=Release \
  -DGREENGAGEHUB_BUILD_TESTS=ON -DGREENGAGEHUB_BUILD_BENCHMARKS=OFF
cmake --build target/review --target platform_store platform_worker -j4
g++ -std=c++20 -O2 -Wall -Wextra -pthread \
  review/faulty_worker.cpp \
  -o target/review/standins/faulty_worker
