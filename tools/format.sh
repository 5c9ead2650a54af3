#!/usr/bin/env bash
# Formats all C++ sources; with --check only verifies them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find include src tests bench tools examples -name '*.h' -o -name '*.cc' | sort)
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
