#!/usr/bin/env bash
# Builds what the scripts 5 to 8 start beside the daemon of the deploy file: the
# project's stand-in of the store, and the scripts' own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
cmake -S . -B "$out/tree" -DCMAKE_BUILD_TYPE=Release \
  -DGREENGAGEHUB_BUILD_TESTS=ON -DGREENGAGEHUB_BUILD_BENCHMARKS=OFF > /dev/null
cmake --build "$out/tree" --target platform_store -j8
cp "$out/tree/standins/platform_store" "$out/platform_store"
for each in 5 6 7 8; do
  if [ -f "review/$each/case.cpp" ]; then
    g++ -std=c++20 -O2 -Wall -Wextra -pthread \
      -o "$out/case-$each" "review/$each/case.cpp"
  fi
done
