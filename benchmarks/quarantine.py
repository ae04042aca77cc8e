"""Crashes, late requests and false verdicts of simulated fleets.

Parts of prompts or whole requests crash targets.

Prints one JSON object a line.
``python benchmarks/quarantine.py [--instances 9] [--seeds 50] [--cases NAME ...]``
"""

import argparse
import json
import logging
import statistics

import structlog

from papayacrank.quarantine.tests.fleet import Mix, SimulatedFleet

TARGETS = {9: 12, 87: 40, 200: 90}
DURATION_MS = 40_000
FIRST_FAULT_MS = 3_000
FAULT_INTERVAL_MS = 1_500
SINGLE_CRASHES_MS = range(2_000, DURATION_MS, 2_500)
DOMAIN_CRASHES_MS = range(4_000, DURATION_MS, 12_000)
PART = {"x": 0.03}
REQUEST = {"request:d": 0.03}
TWO_REQUESTS = REQUEST | {"request:e": 0.03}
# Requests, number of targets if not the usual one, crashes of another cause.
CASES = {
    "one": (Mix(PART), None, None),
    "many": (Mix({"x": 0.1}), None, None),
    "few": (Mix({"x": 0.002}), None, None),
    "two": (Mix({"x": 0.03, "y": 0.03}), None, None),
    "single": (Mix(PART), None, "single"),
    "domain": (Mix(PART), None, "domain"),
    "only-single": (Mix(), None, "single"),
    "only-domain": (Mix(), None, "domain"),
    "3-targets": (Mix(PART), 3, None),
    "3-targets-two": (Mix({"x": 0.03, "y": 0.02}), 3, None),
    "request": (Mix(deadly_requests=REQUEST), None, None),
    "request-without-parts": (
        Mix(deadly_requests=REQUEST, deadly_request_parts=()),
        None,
        None,
    ),
    "request-single": (Mix(deadly_requests=REQUEST), None, "single"),
    "two-requests": (Mix(deadly_requests=TWO_REQUESTS), None, None),
    "request-and-part": (Mix(PART, REQUEST), None, None),
    "5-targets-two-requests": (Mix(deadly_requests=TWO_REQUESTS), 5, None),
    "hot-single": (Mix(hot_requests=8), 5, "single"),
    "hot-domain": (Mix(hot_requests=8), 5, "domain"),
}


def run_fleet(instances, case, seed):
    """Return a simulated fleet after its run."""
    mix, targets, other = CASES[case]
    targets = targets or TARGETS[instances]
    rate = max(30, 2 * instances)
    fleet = SimulatedFleet(instances, targets, rate, mix, seed, 0.01)
    for at_ms in range(FIRST_FAULT_MS, DURATION_MS, FAULT_INTERVAL_MS):
        fleet.at(at_ms, fleet.cause_fault)
    if other == "single":
        for at_ms in SINGLE_CRASHES_MS:
            fleet.at(at_ms, fleet.crash_one)
    elif other == "domain":
        for at_ms in DOMAIN_CRASHES_MS:
            fleet.at(at_ms, fleet.crash_domain)
    fleet.run(DURATION_MS)
    return fleet


def measure(instances, case, seeds):
    """Return the figures of a case over seeds."""
    fleets = [run_fleet(instances, case, seed) for seed in range(seeds)]
    until = [n for f in fleets for n in f.crashes_until_verdict.values()]
    late = [f.late_arrivals(name) for f in fleets for name in f.crashes]
    names = sum(len(f.crashes) for f in fleets)
    messages = [sum(f.messages.values()) * 1_000 / DURATION_MS for f in fleets]
    return {
        "instances": instances,
        "case": case,
        "seeds": seeds,
        "crashes_until_verdict_median": statistics.median(until) if until else None,
        "crashes_until_verdict_max": max(until, default=None),
        "names_without_verdict": names - len(until),
        "late_max": max(late, default=0),
        "false_verdicts": sum(len(f.false_verdicts()) for f in fleets),
        "sound_share_mean": round(statistics.mean(f.sound_share(0) for f in fleets), 3),
        "messages_per_s": round(statistics.mean(messages)),
        "suspicions_max": max(f.max_suspicions for f in fleets),
    }


def main():
    """Print the figures of the chosen cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, choices=TARGETS, default=9)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--cases", nargs="+", choices=CASES, default=list(CASES))
    arguments = parser.parse_args()
    level = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=level)
    for case in arguments.cases:
        figures = measure(arguments.instances, case, arguments.seeds)
        print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
