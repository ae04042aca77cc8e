"""Measures how much a workspace above its rate limit delays the other workspaces.

Run ``python benchmarks/replay_isolation.py``. The trace `inspection` has one workspace
that sends more than its rate in bursts. It is replayed as recorded, with the requests
of that workspace repeated until it offers five times its rate, and without it. Each
line is one JSON object with the 99th percentile of the others' time to first token.
"""

import json
from collections import Counter

import msgspec

from papayacrank.kernel import configure_logging
from papayacrank.replay import Run, Runner, Trace, load_trace

TRACE = "inspection"
POLICY = "papayacrank"
SEEDS = (1, 2, 3)
OFFERED_RATE_FACTOR = 5.0
MS_PER_SECOND = 1000


def find_most_loaded(trace: Trace) -> str:
    """Return the workspace with the highest offered load relative to its rate."""
    offered: Counter = Counter()
    for arrival in trace.arrivals:
        offered[arrival.workspace] += arrival.prompt_tokens + arrival.output_tokens
    rates = {w.name: w.rate_tokens_per_s for w in trace.header.workspaces}
    return max(offered, key=lambda name: offered[name] / rates[name])


def compute_load_factor(trace: Trace, workspace: str) -> float:
    """Return the offered tokens of a workspace relative to its rate."""
    tokens = sum(
        arrival.prompt_tokens + arrival.output_tokens
        for arrival in trace.arrivals
        if arrival.workspace == workspace
    )
    rate = next(w for w in trace.header.workspaces if w.name == workspace)
    seconds = trace.header.duration_ms / MS_PER_SECOND
    return tokens / (rate.rate_tokens_per_s * seconds)


def repeat_requests(trace: Trace, workspace: str, copies: int) -> Trace:
    """Return the trace with each request of a workspace sent `copies` times."""
    arrivals = []
    for arrival in trace.arrivals:
        if arrival.workspace != workspace:
            arrivals.append(arrival)
            continue
        for copy in range(copies):
            request_id = f"{arrival.request_id}-{copy}"
            arrivals.append(msgspec.structs.replace(arrival, request_id=request_id))
    return Trace(trace.header, arrivals, trace.faults)


def measure_others(run: Run, workspace: str) -> tuple[float, int]:
    """Return the others' 99th percentile of the time to first token, and refusals.

    The percentile is in milliseconds; the refusals are a number of requests.
    """
    others = [r for r in run.records if r.arrival.workspace != workspace]
    times = sorted(r.ttft_ms for r in others if r.ttft_ms is not None)
    refused = sum(r.refusal is not None for r in others)
    return times[int(0.99 * (len(times) - 1))], refused


def main() -> None:
    """Replay each variant of the trace with each seed."""
    configure_logging("replay_isolation", "error")
    trace = load_trace(TRACE)
    most_loaded = find_most_loaded(trace)
    recorded = compute_load_factor(trace, most_loaded)
    copies = max(1, round(OFFERED_RATE_FACTOR / recorded))
    variants = {"without": 0, "recorded": 1, "five times": copies}
    for name, count in variants.items():
        variant = repeat_requests(trace, most_loaded, count)
        for seed in SEEDS:
            p99_ms, refused = measure_others(
                Runner(variant, POLICY, seed).run(), most_loaded
            )
            line = {"variant": name, "seed": seed, "others_ttft_p99_ms": p99_ms}
            line |= {"others_refused": refused}
            line["offered_factor"] = round(compute_load_factor(variant, most_loaded), 2)
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
