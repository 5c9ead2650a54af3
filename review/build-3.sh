#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/stand-ins-3/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -I . "$source" \
    -o "build/review-3/$(basename "$source" .cc)"
done
