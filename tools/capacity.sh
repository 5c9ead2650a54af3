#!/usr/bin/env bash
# Computes the table of docs/CAPACITY.md: the cost per daemon at the fleet size
# that the project is designed for (the constants in END below), from the
# measured costs per unit in docs/measurements/slopes.tsv. Usage:
# tools/capacity.sh [SLOPES]
set -euo pipefail
cd "$(dirname "$0")/.."
awk -F'\t' '
  /^#/ || NF < 2 { next }
  { v[$1] = $2 }
  END {
    daemons = 870; regions = 3; zones = 9; servers = 6500; services = 1900
    flows = 6.8e6; new_flows = 83000; changes_per_s = 4600 / 86400
    in_zone = daemons / zones; in_region = daemons / regions
    budget_bytes = 4096; budget_cpu = 0.021; budget_mb = 256

    printf "| what | per daemon at size | budget |\n|---|---|---|\n"
    member = v["membership_bytes_per_s"]
    printf "| membership, bytes/s | %.0f | |\n", member
    hello_region = (in_region - 1) * v["hello_per_s"] * v["hello_bytes"]
    hello_zone = (in_zone - 1) * v["hello_per_s"] * v["hello_bytes"]
    printf "| routing hellos to every daemon of the region, bytes/s | %.0f | **over** |\n", hello_region
    printf "| routing hellos to every daemon of the zone, bytes/s | %.0f | **over** |\n", hello_zone
    hello_tree = v["hello_tree_peers"] * v["hello_per_s"] * v["hello_bytes"]
    printf "| routing hellos along a tree of %d peers, bytes/s (not built) | %.0f | |\n", v["hello_tree_peers"], hello_tree
    relay = v["relay_idle_bytes_per_s"] + changes_per_s * v["relay_bytes_per_change"]
    printf "| configuration relay, bytes/s | %.0f | |\n", relay
    printf "| control with the tree, bytes/s | %.0f | %d |\n", member + hello_tree + relay, budget_bytes

    snapshot = changes_per_s * v["snapshot_ms_per_change"] / 1000
    walk = changes_per_s * v["relay_ms_per_change"] / 1000
    tables = changes_per_s * v["table_ms_per_change"] / 1000
    probes = v["membership_messages_per_s"] * v["membership_us_per_message"] / 1e6
    hello_cpu = v["hello_tree_peers"] * v["hello_per_s"] * 2 * v["signed_message_us"] / 1e6
    cpu = snapshot + walk + tables + probes + hello_cpu
    printf "| CPU for control: snapshots %.3f%%, relay %.3f%%, tables %.3f%%, membership %.3f%%, hellos %.3f%% | %.2f%% | %.1f%% |\n", 100 * snapshot, 100 * walk, 100 * tables, 100 * probes, 100 * hello_cpu, 100 * cpu, 100 * budget_cpu

    table_mb = v["tables_mb_at_size"] * v["tables_kept"]
    config_mb = (servers + services) * v["config_bytes_per_object"] / 1e6
    flow_own = flows / daemons * v["flow_bytes"] / 1e6
    flow_region = flows / regions * v["flow_bytes_packed"] / 1e6
    printf "| memory: flows if each daemon sees its share only, MB | %.1f | |\n", flow_own
    printf "| memory: flows if the fabric sprays over a region, MB | %.0f | see below |\n", flow_region
    printf "| memory: tables (%d kept), MB | %.0f | |\n", v["tables_kept"], table_mb
    printf "| memory: configuration, MB | %.1f | |\n", config_mb
    base = v["daemon_rss_mb"]
    printf "| memory: process at the size of today, MB | %.0f | |\n", base
    printf "| memory, all, sprayed over a region, MB | %.0f | %d |\n", base + flow_region + table_mb + config_mb, budget_mb

    watch = zones * 2
    printf "| platform: watch calls/s of the whole fleet | %.0f | 2,000 reads |\n", watch
    printf "| platform: status and lease writes/s of the whole fleet | %.1f | several hundred |\n", zones * (1 / 5 + 1 / 3)
    printf "| new flows/s per daemon | %.0f | |\n", new_flows / daemons
  }' "${1:-docs/measurements/slopes.tsv}"
