"""Prometheus counters and latency histograms of request forwarding."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0)
# Ratios; the expectation is met within 20% between the two about 1.
EXPECTATION_BUCKETS = (0.25, 0.5, 0.67, 0.8, 1.0, 1.25, 1.5, 2.0, 4.0)
MS_PER_SECOND = 1_000
# Further workspaces are counted together.
MAX_LABELLED_WORKSPACES = 64
OTHER_WORKSPACES = "other"


class ForwardingMetrics:
    """Metrics of one entry process.

    Label values come from services and failure codes, which keeps cardinality low.
    """

    def __init__(self):
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "papayacrank_forwarded",
            "Requests that have ended, by service and outcome",
            ["service", "outcome"],
            registry=self._registry,
        )
        self._refused = Counter(
            "papayacrank_forwarding_refused",
            "Requests refused before they had a service, by code",
            ["code"],
            registry=self._registry,
        )
        self._over_rate = Counter(
            "papayacrank_forwarding_over_rate",
            "Requests over the rate of their workspace, by workspace and reason",
            ["workspace", "reason"],
            registry=self._registry,
        )
        self._overloaded = Counter(
            "papayacrank_forwarding_overloaded",
            "Requests refused because targets are behind, by service and reason",
            ["service", "reason"],
            registry=self._registry,
        )
        self._labelled_workspaces: set[str] = set()
        self._attempts = Counter(
            "papayacrank_forwarding_attempts_failed",
            "Failed attempts, by service and code",
            ["service", "code"],
            registry=self._registry,
        )
        self._sent_to_limited = Counter(
            "papayacrank_forwarding_sent_to_limited",
            "Requests sent to targets that state a request rate limit, by service",
            ["service"],
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
            "Decisions on requests with prompt parts that are suspected to crash"
            " targets, by outcome",
            ["outcome"],
            registry=self._registry,
        )
        self._rollout_sent = Counter(
            "papayacrank_rollout_sent",
            "Requests sent while a rollout of their service runs, by service and by"
            " whether the target has the new release or an old one",
            ["service", "release"],
            registry=self._registry,
        )
        self._releases = Counter(
            "papayacrank_releases",
            "Requests that take up streams by whether the release that began them is"
            " known, and reports of begun streams",
            ["outcome"],
            registry=self._registry,
        )
        self._ttft = Histogram(
            "papayacrank_forwarding_ttft_seconds",
            "Time from the arrival of a request to its first event",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._expectation_error = Histogram(
            "papayacrank_forwarding_expectation_ratio",
            "Observed over expected time to the first event or response",
            ["service"],
            buckets=EXPECTATION_BUCKETS,
            registry=self._registry,
        )
        self._duration = Histogram(
            "papayacrank_forwarding_duration_seconds",
            "Time from the arrival of a request to its final answer",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )

    def add_gauge(self, name: str, documentation: str, read_value) -> None:
        """Add a gauge whose value is read at each scrape.

        Parameters
        ----------
        name : str
            Metric name without the common prefix.
        documentation : str
            Help text.
        read_value : callable
            Function without arguments that returns the value.
        """
        gauge = Gauge(f"papayacrank_{name}", documentation, registry=self._registry)
        gauge.set_function(read_value)

    def on_ended(self, service: str, outcome: str, took_ms: int) -> None:
        """Count a request with its outcome and observe its duration.

        Parameters
        ----------
        service : str
            Service of the request.
        outcome : str
            ``"served"`` or the failure code.
        took_ms : int
            Time since arrival in milliseconds.
        """
        self._requests.labels(service, outcome).inc()
        self._duration.labels(service).observe(took_ms / MS_PER_SECOND)

    def on_refused(self, code: str) -> None:
        """Count a request that was refused before a service was chosen."""
        self._refused.labels(code).inc()

    def on_over_rate(self, workspace: str, reason: str) -> None:
        """Count a request that was refused over the rate of its workspace."""
        self._over_rate.labels(self._label_of(workspace), reason).inc()

    def on_overloaded(self, service: str, reason: str) -> None:
        """Count a request that was refused because targets are behind."""
        self._overloaded.labels(service, reason).inc()

    def _label_of(self, workspace: str) -> str:
        known = self._labelled_workspaces
        if workspace not in known and len(known) >= MAX_LABELLED_WORKSPACES:
            return OTHER_WORKSPACES
        known.add(workspace)
        return workspace

    def on_attempt_failed(self, service: str, code: str) -> None:
        """Count a failed attempt."""
        self._attempts.labels(service, code).inc()

    def on_sent_to_limited(self, service: str) -> None:
        """Count a request sent to a target that states a request rate limit."""
        self._sent_to_limited.labels(service).inc()

    def on_permit(self, outcome: str) -> None:
        """Count a decision on a permit, or a returned permit."""
        self._permits.labels(outcome).inc()

    def on_quarantine(self, outcome: str) -> None:
        """Count a decision on suspected parts, a reported crash or cleared parts."""
        self._quarantine.labels(outcome).inc()

    def on_rollout_sent(self, service: str, is_new: bool) -> None:
        """Count a request that is sent while a rollout of its service runs."""
        self._rollout_sent.labels(service, "new" if is_new else "old").inc()

    def on_release(self, outcome: str) -> None:
        """Count a decision on a stream that is taken up, or a report of streams."""
        self._releases.labels(outcome).inc()

    def on_first_event(self, service: str, ttft_ms: int) -> None:
        """Observe the time to the first event of a stream."""
        self._ttft.labels(service).observe(ttft_ms / MS_PER_SECOND)

    def on_expectation(
        self, service: str, expected_ms: float, observed_ms: float
    ) -> None:
        """Observe how far a time was from the expected one.

        Parameters
        ----------
        service : str
            Service of the request.
        expected_ms, observed_ms : float
            Times from sending to the first event or response, in milliseconds.
        """
        ratio = observed_ms / max(1.0, expected_ms)
        self._expectation_error.labels(service).observe(ratio)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
