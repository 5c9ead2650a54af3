#!/usr/bin/env bash
# Prints the lines of C++ per part, without blank and comment lines, and the
# shares that the project has targets for: decisions (routing, limits, retries,
# membership, state, recovery) at least a quarter, tests under a third.
set -euo pipefail
cd "$(dirname "$0")/.."
count() {
  local total=0
  for path in "$@"; do
    [ -e "$path" ] || continue
    n=$(find "$path" \( -name '*.h' -o -name '*.cc' \) -print0 |
      xargs -0 -r cat | grep -vcE '^\s*(//.*)?$' || true)
    total=$((total + n))
  done
  echo "$total"
}
row() {
  printf '%-34s %7d\n' "$1" "$2"
}
decisions=0
for part in routing dispatch membership lease relay direct; do
  n=$(count "include/gcw/$part" "src/$part")
  decisions=$((decisions + n))
  row "decisions: $part" "$n"
done
product=$(count include src platform)
lab=$(count src/lab src/fake_platform tools/gcw-lab)
programs=$(count tools examples)
benches=$(count bench)
tests=$(count tests)
all=$((product + programs + benches + tests))
row "decisions, all" "$decisions"
row "libraries and daemons, all" "$product"
row "of these, lab and fake platform" "$lab"
row "programs and examples" "$programs"
row "benchmarks" "$benches"
row "tests" "$tests"
row "everything" "$all"
printf '%-34s %6d%%\n' "share of decisions" $((100 * decisions / all))
printf '%-34s %6d%%\n' "share of tests" $((100 * tests / all))
