#!/usr/bin/env bash
# Runs the case of the folder "$1" with the programs that the deploy build and
# review/build.sh have made. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
case=$(basename "$1")
program="target/review/case-$case"
if [ ! -x target/bin/gcw-direct ] || [ ! -x "$program" ]; then
  echo "build target/bin/gcw-direct and run review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
timeout --kill-after=2 115 "$program" "review/$case/record.txt" "$folder"
status=$?
if [ "${KEEP:-0}" != 0 ]; then
  echo "logs in $folder"
else
  rm -rf "$folder"
fi
[ "$status" -le 2 ] || status=2
exit "$status"
