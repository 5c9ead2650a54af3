#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libabsl-dev libnghttp2-dev libboost-dev catch2 libcli11-dev libfmt-dev
  nlohmann-json3-dev libssl-dev libcpp-httplib-dev libbenchmark-dev
  libxxhash-dev zlib1g-dev libclang-rt-14-dev
)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
if [ "$(id -u)" -ne 0 ]; then run=(sudo); fi
"${run[@]}" apt-get update -qq
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
