"""Metrics of the entry process in Prometheus format."""

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

TTFT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
MS_PER_SECOND = 1000


class EntryMetrics:
    """Counters, gauges and histograms of one process.

    Labels have a small number of values, which limits the number of time series.
    """

    content_type = CONTENT_TYPE_LATEST

    def __init__(self):
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "papayacrank_requests",
            "Requests that have ended, by service and outcome",
            ["service", "outcome"],
            registry=self._registry,
        )
        self._ttft = Histogram(
            "papayacrank_ttft_seconds",
            "Time from the arrival of a request to its first token",
            ["service"],
            buckets=TTFT_BUCKETS_S,
            registry=self._registry,
        )
        self._permits = Counter(
            "papayacrank_permits",
            "Permits for targets with a request rate limit, by outcome",
            ["outcome"],
            registry=self._registry,
        )
        self._quarantine = Counter(
            "papayacrank_quarantine",
            "Requests and reports on prompt parts that crash targets, by outcome",
            ["outcome"],
            registry=self._registry,
        )
        self._tokens = Counter(
            "papayacrank_tokens",
            "Tokens, by service and kind (prompt, cached, output)",
            ["service", "kind"],
            registry=self._registry,
        )
        self._retries = Counter(
            "papayacrank_attempts_repeated",
            "Attempts after the first one, by service and kind",
            ["service", "kind"],
            registry=self._registry,
        )
        self._gauges: dict[str, Gauge] = {}

    def on_permit(self, outcome: str) -> None:
        """Count a decision on a permit, or a returned permit."""
        self._permits.labels(outcome).inc()

    def on_quarantine(self, outcome: str) -> None:
        """Count a refusal, a decision on a trial, a crash report or a clearing."""
        self._quarantine.labels(outcome).inc()

    def add_gauge(self, name: str, text: str, read) -> None:
        """Add a gauge whose value is read when the metrics are rendered."""
        gauge = Gauge(f"papayacrank_{name}", text, registry=self._registry)
        gauge.set_function(read)
        self._gauges[name] = gauge

    def on_ended(self, service: str, outcome: str) -> None:
        """Count a request by its outcome, such as ``"served"`` or a failure code."""
        self._requests.labels(service, outcome).inc()

    def on_first_token(self, service: str, ttft_ms: int) -> None:
        """Record the time to first token."""
        self._ttft.labels(service).observe(ttft_ms / MS_PER_SECOND)

    def on_tokens(self, service: str, prompt: int, cached: int, output: int) -> None:
        """Count prompt, cached and output tokens."""
        self._tokens.labels(service, "prompt").inc(prompt)
        self._tokens.labels(service, "cached").inc(cached)
        self._tokens.labels(service, "output").inc(output)

    def on_repeated(self, service: str, kind: str) -> None:
        """Count a further attempt of kind ``"retry"``, ``"resume"`` or ``"move"``."""
        self._retries.labels(service, kind).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
