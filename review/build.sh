#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Needs the packages of
# the deploy file and no network. Works from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2046
  g++ -std=c++20 -O1 -pthread $(pkg-config --cflags cpp-httplib) \
    -I review "$source" -o "target/review/case-$name" \
    $(pkg-config --libs cpp-httplib) -lssl -lcrypto -lz &
done
wait
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  test -x "target/review/case-$name"
done
