"""Metrics of a replay and the weighted score of its deployment."""

from collections import Counter
from dataclasses import asdict, dataclass

from hdrh.histogram import HdrHistogram

from ._entry import RequestRecord
from ._runner import Run
from ._trace import Arrival, Header, Trace

MAX_TTFT_MS = 600_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class ReplayMetrics:
    """Metrics of one replay.

    Attributes
    ----------
    hit_rate : float
        Share of the prompt tokens found in the serving engine's cache.
    imported_rate : float
        Share of the prompt tokens imported from another engine; not part of
        `hit_rate`.
    wasted_recompute : float
        Share of the prompt tokens that were computed although a live engine had
        them in its cache.
    worst_workspace : float
        Smallest ratio, over workspaces, of the requests that got their first token
        within the objective to the requests within the rate; at most 1.
    refused_within_rate : float
        Share of the requests within the rate, counted by volume, that were refused
        or failed before their first token.
    score : float
        The deployment's weighted score, between 0 and 1.
    """

    trace: str
    policy: str
    hit_rate: float
    ttft_p99_ms: float
    wasted_recompute: float
    worst_workspace: float
    refused_within_rate: float
    ttft_p50_ms: float
    ttft_p95_ms: float
    imported_rate: float
    served: int
    refusals: dict[str, int]
    score: float

    def to_dict(self) -> dict:
        """Return the fields with rounded numbers."""
        return {
            key: round(value, 4) if isinstance(value, float) else value
            for key, value in asdict(self).items()
        }


def compute_metrics(run: Run) -> ReplayMetrics:
    """Compute the metrics of a replay."""
    header = run.trace.header
    served = [r for r in run.records if r.ttft_ms is not None]
    histogram = HdrHistogram(1, MAX_TTFT_MS, SIGNIFICANT_DIGITS)
    for record in served:
        histogram.record_value(max(1, int(record.ttft_ms)))
    block = header.block_tokens
    total = sum(r.arrival.prompt_tokens * max(1, r.tries) for r in served) or 1
    hit_rate = sum(r.cached_blocks for r in served) * block / total
    wasted = sum(r.wasted_blocks for r in served) * block / total
    within_rate = count_within_rate(run.trace)
    refused_rate = _compute_refused_rate(served, within_rate)
    p99 = histogram.get_value_at_percentile(99)
    worst = _compute_worst_workspace(served, within_rate, header.ttft_objective_ms)
    return ReplayMetrics(
        trace=header.name,
        policy=run.policy,
        hit_rate=hit_rate,
        ttft_p99_ms=float(p99),
        wasted_recompute=wasted,
        worst_workspace=worst,
        refused_within_rate=refused_rate,
        ttft_p50_ms=float(histogram.get_value_at_percentile(50)),
        ttft_p95_ms=float(histogram.get_value_at_percentile(95)),
        imported_rate=sum(r.imported_blocks for r in served) * block / total,
        served=len(served),
        refusals=dict(Counter(r.refusal for r in run.records if r.refusal)),
        score=compute_score(header, hit_rate, wasted, p99, worst, refused_rate),
    )


def compute_score(
    header: Header,
    hit_rate: float,
    wasted_recompute: float,
    ttft_p99_ms: float,
    worst_workspace: float,
    refused_within_rate: float,
) -> float:
    """Return the deployment's weighted score.

    The tail term is ``1 / (1 + p99 / objective)``, which stays between 0 and 1 and
    decreases strictly with the latency.
    """
    weights = header.score
    tail = 1 / (1 + ttft_p99_ms / header.ttft_objective_ms)
    return (
        weights.hit_rate * hit_rate
        + weights.recompute * (1 - wasted_recompute)
        + weights.tail * tail
        + weights.worst_workspace * worst_workspace
        + weights.refused * (1 - refused_within_rate)
    )


def count_within_rate(trace: Trace) -> Counter[str]:
    """Return how many requests an ideal token bucket admits for each workspace.

    Which requests of a workspace above its rate are refused depends on timing, so
    service within the rate is counted by volume.
    """
    header = trace.header
    limits = {w.name: w for w in header.workspaces}
    levels = {w.name: (float(w.burst_tokens), 0) for w in header.workspaces}
    within_rate: Counter[str] = Counter()
    for arrival in trace.arrivals:
        limit = limits[arrival.workspace]
        level, at_ms = levels[arrival.workspace]
        level += (arrival.at_ms - at_ms) * limit.rate_tokens_per_s / 1_000
        level = min(level, limit.burst_tokens)
        tokens = _count_tokens(arrival)
        if level >= tokens:
            level -= tokens
            within_rate[arrival.workspace] += 1
        levels[arrival.workspace] = (level, arrival.at_ms)
    return within_rate


def _compute_refused_rate(
    served: list[RequestRecord], within_rate: Counter[str]
) -> float:
    counts = Counter(record.arrival.workspace for record in served)
    missing = sum(max(0, within_rate[name] - counts[name]) for name in within_rate)
    return missing / max(1, within_rate.total())


def _compute_worst_workspace(
    served: list[RequestRecord], within_rate: Counter[str], objective_ms: int
) -> float:
    good = Counter(r.arrival.workspace for r in served if r.ttft_ms <= objective_ms)
    return min(min(1.0, good[name] / within_rate[name]) for name in within_rate)


def _count_tokens(arrival: Arrival) -> int:
    return arrival.prompt_tokens + arrival.output_tokens
