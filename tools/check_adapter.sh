#!/usr/bin/env bash
# The adapter in platform/ contains only names, formats and calls of the users'
# platform. Checks that these names occur nowhere else, and that the adapter
# makes no decisions and keeps no state.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0

# Field names and paths of the users' platform that this project does not use
# itself. Generic words (name, zone, state) are not listed.
words='path_prefix|traffic_split|warmup_left_ms|warmup_per_s|idle_timeout_ms|store_revision|has_more|allow_stale|/objects/|evacuations/|max_conns|datagram_addr'
if grep -rnE "$words" include src tools examples --include='*.h' --include='*.cc'; then
  echo "check_adapter: names of the users' platform used outside platform/" >&2
  status=1
fi

# No clock, randomness, threads, sockets, logs or state in the adapter.
if grep -nE 'MonotonicNow|absl::Now|<random>|<thread>|<mutex>|socket\(|Logger|EventLog|static [a-z].* = ' platform/*.cc platform/*.h; then
  echo "check_adapter: platform/ uses clocks, randomness, threads, sockets, logs or state" >&2
  status=1
fi

# Limits the size of the adapter. Files of the stand-in platform, which no
# daemon links, are not counted.
lines=$(find platform -name '*.cc' -o -name '*.h' | grep -v stand_in | xargs cat | wc -l)
limit=700
if [ "$lines" -gt "$limit" ]; then
  echo "check_adapter: platform/ has $lines lines, over $limit" >&2
  status=1
fi
[ "$status" -eq 0 ] && echo "adapter: $lines lines, all checks passed"
exit $status
