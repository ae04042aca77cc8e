"""Measures how far one workspace at several times its rate slows the others down.

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


def find_heavy(trace: Trace) -> str:
    """Return the workspace that offers most tokens relative to its rate."""
    offered: Counter = Counter()
    for arrival in trace.arrivals:
        offered[arrival.workspace] += arrival.prompt_tokens + arrival.output_tokens
    rates = {w.name: w.rate_tokens_per_s for w in trace.header.workspaces}
    return max(offered, key=lambda name: offered[name] / rates[name])


def offered_factor(trace: Trace, workspace: str) -> float:
    """Return the offered tokens of a workspace relative to its rate."""
    tokens = sum(
        arrival.prompt_tokens + arrival.output_tokens
        for arrival in trace.arrivals
        if arrival.workspace == workspace
    )
    rate = next(w for w in trace.header.workspaces if w.name == workspace)
    seconds = trace.header.duration_ms / MS_PER_SECOND
    return tokens / (rate.rate_tokens_per_s * seconds)


def scale(trace: Trace, workspace: str, copies: int) -> Trace:
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


def percentile_of_others(run: Run, workspace: str) -> tuple[float, int]:
    """Return the others' 99th percentile in ms, and how many were refused."""
    others = [r for r in run.records if r.arrival.workspace != workspace]
    times = sorted(r.ttft_ms for r in others if r.ttft_ms is not None)
    refused = sum(r.refusal is not None for r in others)
    return times[int(0.99 * (len(times) - 1))], refused


def main() -> None:
    """Replay all variants with all seeds."""
    configure_logging("replay_isolation", "error")
    trace = load_trace(TRACE)
    heavy = find_heavy(trace)
    recorded = offered_factor(trace, heavy)
    copies = max(1, round(OFFERED_RATE_FACTOR / recorded))
    variants = {"without": 0, "recorded": 1, "five times": copies}
    for name, count in variants.items():
        varied = scale(trace, heavy, count)
        for seed in SEEDS:
            p99_ms, refused = percentile_of_others(
                Runner(varied, POLICY, seed).run(), heavy
            )
            line = {"variant": name, "seed": seed, "others_ttft_p99_ms": p99_ms}
            line |= {"others_refused": refused}
            line["offered_factor"] = round(offered_factor(varied, heavy), 2)
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
