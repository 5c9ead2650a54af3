#!/usr/bin/env bash
# Plays the regression runs on the users' bench: regression.sh score|hunt [JOBS]
#   score   the standard days of each site
#   hunt    days with other seeds: 40 on each site, 8 on the large one
# GCW_BENCH names the bench program, GCW_SITES the folder of the site files. Run
# it in a checkout without uncommitted changes; it leaves entries in journal/.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${GCW_BENCH:?is not set: the path of the bench program}"
: "${GCW_SITES:?is not set: the folder of the site files}"
verb="${1:-}"
jobs="${2:-$(( ($(nproc) + 1) / 2 ))}"
sites=(further/bwa-bores further-grown/bwa-bores-grown large/gsv-valli-large
       grown/gsv-valli-grown grown/tayside-orders-grown)
case "$verb" in
  score|hunt) ;;
  *) echo "usage: regression.sh score|hunt [JOBS]" >&2; exit 2 ;;
esac
failed=0
for site in "${sites[@]}"; do
  options=(--jobs "$jobs" --why "regression: $verb")
  if [ "$verb" = hunt ]; then
    days=40
    case "$site" in large/*) days=8 ;; esac
    options+=(--days "$days")
  fi
  "$GCW_BENCH" "$verb" "$GCW_SITES/$site.toml" "${options[@]}" || failed=1
done
exit $failed
