"""Cost of permits and largest sum of all instances, for several fleet sizes.

Prints one JSON object a line. ``python benchmarks/permits.py``
"""

import json
import logging
import time

import msgspec
import structlog

from papayacrank.messages import PermitReply, PermitRequest, RateObservation
from papayacrank.permits import PermitAllocator
from papayacrank.permits.tests.fleet import SimulatedFleet

SIZES = (9, 87, 200)
REQUESTS_PER_S_AND_INSTANCE = 1.5
TARGETS = 20
LIMITED_TARGETS = (2, 20)
PER_S = 1.2
DURATION_MS = 60_000
SETTLING_MS = 3_000
WINDOW_MS = 4_000
FAULT_INTERVAL_MS = 1_500
SEEDS = 10
PERMITS = 20_000


def run_fleet(instances, limited, seed, with_faults):
    """Return a simulated fleet after its run."""
    rate = REQUESTS_PER_S_AND_INSTANCE * instances
    fleet = SimulatedFleet(instances, TARGETS, rate, seed, loss=0.01 * with_faults)
    for target in fleet.targets[:limited]:
        target.per_s = PER_S
    fleet.run(SETTLING_MS)
    if with_faults:
        for at_ms in range(SETTLING_MS, DURATION_MS, FAULT_INTERVAL_MS):
            fleet.at(at_ms, fleet.cause_fault)
    fleet.run(DURATION_MS)
    return fleet


def measure_traffic(instances, limited):
    """Return messages and bytes per second by type, without faults."""
    fleet = run_fleet(instances, limited, 1, False)
    seconds = DURATION_MS / 1_000
    return {
        "instances": instances,
        "limited_targets": limited,
        "requests_per_s": REQUESTS_PER_S_AND_INSTANCE * instances,
        "messages_per_s": {k: round(v / seconds, 1) for k, v in fleet.messages.items()},
        "bytes_per_s": round(sum(fleet.message_bytes.values()) / seconds),
    }


def measure_sum(instances):
    """Return the largest number of requests in a window over seeds with faults."""
    runs = [run_fleet(instances, 1, seed, True) for seed in range(SEEDS)]
    most = [f.targets[0].max_in_a_window(WINDOW_MS, SETTLING_MS) for f in runs]
    return {
        "instances": instances,
        "seeds": SEEDS,
        "max_in_4_s": max(most),
        "stated_in_4_s": PER_S * WINDOW_MS / 1_000,
    }


def measure_leader():
    """Return the processor time of one permit at the leader, in microseconds."""
    allocator = PermitAllocator()
    allocator.reset(1)
    known = RateObservation("t", 0, 1_000.0, 1, 1)
    encoded = msgspec.msgpack.encode(PermitRequest("front-1@1", 1, 0, 100, known))
    decode = msgspec.msgpack.Decoder(PermitRequest).decode
    started = time.process_time()
    for number in range(PERMITS):
        reply = allocator.request(decode(encoded), number)
        msgspec.msgpack.Decoder(PermitReply).decode(msgspec.msgpack.encode(reply))
    spent_s = time.process_time() - started
    return {"leader_us_per_permit": round(spent_s / PERMITS * 1e6, 1)}


def main():
    """Run all measurements."""
    silent = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=silent)
    print(json.dumps(measure_leader()))
    for instances in SIZES:
        for limited in LIMITED_TARGETS:
            print(json.dumps(measure_traffic(instances, limited)), flush=True)
        print(json.dumps(measure_sum(instances)), flush=True)


if __name__ == "__main__":
    main()
