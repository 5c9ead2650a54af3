#!/usr/bin/env python3
"""Prints the log lines of one flow and of the backend servers it was sent to.

usage: trace_flow.py LOG FLOW [SECONDS]

LOG contains the log lines of all daemons. Any text may precede the JSON object
of a line, for example the name of the VM. FLOW is CALLER>SERVICE or a prefix of
it, such as 100.64.0.7:1061. State changes of the flow's servers and of the
daemons are printed if they are at most SECONDS before or after the last line of
the flow (default 3).
"""

import json
import sys

# Events that report a state change of a server, zone or daemon.
STATE_EVENTS = {
    "server_changed", "server_reach_changed", "zone_changed", "feed_changed",
    "ready_changed", "process_started", "process_stopping", "process_stopped",
    "configuration_applied", "pause_noticed", "watcher_not_served",
}


def read(path):
    """Yields (prefix, event) for each line that contains a JSON object."""
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            start = line.find('{"time_us"')
            if start < 0:
                continue
            try:
                yield line[:start].strip(), json.loads(line[start:])
            except ValueError:
                continue  # The log collector truncated the line.


def show(prefix, event):
    fields = {k: v for k, v in event.items() if k not in ("time_us", "level")}
    print(f"{event['time_us'] / 1e6:.3f} {prefix} {json.dumps(fields)}")


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    path, flow = sys.argv[1], sys.argv[2]
    around_us = float(sys.argv[3] if len(sys.argv) > 3 else 3) * 1e6
    events = list(read(path))
    own = [(p, e) for p, e in events if str(e.get("flow", "")).startswith(flow)]
    if not own:
        sys.exit(f"no log line of flow {flow}; perhaps no daemon received it")
    print("-- the flow")
    for prefix, event in own:
        show(prefix, event)
    servers = {e["server"] for _, e in own if e.get("server")}
    last = own[-1][1]["time_us"]
    print(f"-- state of its servers {sorted(servers)} and of the daemons within "
          f"{around_us / 1e6:g} s of the last line")
    for prefix, event in events:
        near = abs(event["time_us"] - last) <= around_us
        if near and event["event"] in STATE_EVENTS and (
                "server" not in event or event["server"] in servers):
            show(prefix, event)


if __name__ == "__main__":
    main()
