#!/usr/bin/env bash
# run-case-2.sh NUMBER: plays a case from 6 on in a temporary folder. Exits with
# 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
number="$1"
cd "$(dirname "$0")/.." || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --signal=KILL 110 "target/review-2/case-$number" "$folder" \
  "review/$number/record.txt"
code=$?
case "$code" in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
