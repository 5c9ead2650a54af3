#!/usr/bin/env bash
# Runs the tests and ten seeds of the soak under AddressSanitizer with
# UndefinedBehaviorSanitizer, then under ThreadSanitizer: sanitize.sh [PRESET...]
set -euo pipefail
cd "$(dirname "$0")/.."
export TSAN_OPTIONS="halt_on_error=1 second_deadlock_stack=1 suppressions=$PWD/tests/support/tsan.supp"
export ASAN_OPTIONS="detect_stack_use_after_return=1"
jobs="${GCW_JOBS:-$(nproc)}"
presets=("$@")
[ ${#presets[@]} -eq 0 ] && presets=(asan tsan)
for preset in "${presets[@]}"; do
  cmake --preset "$preset" >/dev/null
  cmake --build --preset "$preset" -j "$jobs"
  ctest --test-dir "build/$preset" --output-on-failure -j 2 --timeout 900
  "build/$preset/bin/gcw-soak" --seeds 1-10 --length 15
done
