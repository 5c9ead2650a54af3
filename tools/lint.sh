#!/usr/bin/env bash
# Runs clang-tidy on the library and program sources, or on the named files. The
# result depends only on the source, its preprocessed text, the checks and the
# clang-tidy version. Files without findings are cached under the hash of these
# and skipped next time.
set -euo pipefail
cd "$(dirname "$0")/.."
cache="${GCW_LINT_CACHE:-$HOME/.cache/gcw-lint}"
mkdir -p "$cache"
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files -co --exclude-standard -- 'src/*.cc' 'platform/*.cc' 'tools/*.cc' 'examples/*.cc' | sort -u)
fi
export cache
config_hash=$( (clang-tidy --version; cat .clang-tidy) | sha256sum | cut -c1-16)
export config_hash

lint_one() {
  local file="$1" key
  key=$( (echo "$config_hash $file"; g++ -std=c++20 -I include -I . -E -P "$file"; cat "$file") | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy --quiet -p build/release "$file" 2>/dev/null; then
    touch "$cache/$key"
  else
    echo "lint: $file has findings" >&2
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
