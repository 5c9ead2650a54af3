#!/usr/bin/env bash
# Starts a daemon of one of two builds, for fleets in which both run side by
# side, as during a rolling upgrade. Each start of a daemon takes the other
# build than its last start; the first one is picked by the name of its
# settings file.
#
# usage: GCW_BUILDS=OLD_BIN:NEW_BIN gcw-soak --program DIR/gcw-direct ...
#        GCW_BUILDS=OLD_BIN:NEW_BIN gcw-lab run ... --bin DIR
# DIR holds symbolic links gcw-direct and gcw-balancer to this script; OLD_BIN
# and NEW_BIN are the folders of the two builds' programs. With GCW_STARTS=FILE
# each start adds a line to FILE: program, settings file, build.
set -euo pipefail
program=$(basename "$0")
IFS=: read -r old new <<<"$GCW_BUILDS"
settings=
for ((i = 1; i < $#; i++)); do
  [ "${!i}" = --settings ] && next=$((i + 1)) && settings="${!next}"
done
starts="$settings.starts"
name_sum=$(basename "$settings" | cksum | cut -d' ' -f1)
count=$(wc -l <"$starts" 2>/dev/null || echo 0)
build="$old"
(((name_sum + count) % 2)) && build="$new"
echo "$build" >>"$starts"
[ -n "${GCW_STARTS:-}" ] && echo "$program $settings $build" >>"$GCW_STARTS"
exec "$build/$program" "$@"
