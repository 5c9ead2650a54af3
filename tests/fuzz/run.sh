#!/usr/bin/env bash
# Builds the fuzz targets and runs each from a fixed seed: run.sh [RUNS].
set -euo pipefail
cd "$(dirname "$0")/../.."
runs="${1:-20000}"
cmake -S tests/fuzz -B build/fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ > build/fuzz.log
cmake --build build/fuzz >> build/fuzz.log
for target in tests/fuzz/*_fuzz.cc; do
  name="$(basename "$target" .cc)"
  echo "fuzz: $name, $runs runs"
  "build/fuzz/bin/$name" -seed=1 -runs="$runs" -max_len=1400 \
    -verbosity=0 -print_funcs=0
done
