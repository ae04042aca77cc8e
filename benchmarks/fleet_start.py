"""Start of a whole fleet over limited links, for several sizes and lists of routes.

Prints one JSON object a line. ``python benchmarks/fleet_start.py``
"""

import json

from papayacrank.control.tests.start_simulation import FleetStart

SIZES = (9, 30, 87, 200, 300)
ROUTES = (44, 1_444)
DURATION_MS = 15_000


def measure_start(instances, routes):
    """Return when instances are ready, and what the leader has sent."""
    fleet = FleetStart(instances, routes, seed=instances)
    fleet.run(DURATION_MS)
    ready_ms = sorted(entry.ready_ms for entry in fleet.ready)
    return {
        "instances": instances,
        "routes": routes,
        "ready": len(ready_ms),
        "quarter_ready_ms": ready_ms[len(ready_ms) // 4],
        "last_ready_ms": ready_ms[-1],
        "longest_heartbeat_wait_ms": round(max(fleet.probe_delays_ms)),
        "sent_bytes": dict(fleet.bytes_by_type),
    }


def main():
    """Print the results."""
    for routes in ROUTES:
        for instances in SIZES:
            print(json.dumps(measure_start(instances, routes)), flush=True)


if __name__ == "__main__":
    main()
