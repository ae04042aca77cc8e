"""Load and speed of the targets of one service, as known to one instance."""

from collections import deque
from dataclasses import dataclass, field

from ._ejection import OutlierDetector
from ._types import LIVE, Choice, LoadReport, RoutingRequest, TargetView

# Age of a load report on arrival: delay of the engine's sampling and of the poll.
REPORT_LAG_MS = 200
DEFAULT_PREFILL_MS_PER_TOKEN = 0.05
MAX_SPEED_SAMPLES = 32
MIN_SPEED_SAMPLE_TOKENS = 1_024


@dataclass(slots=True)
class Attempt:
    """A request that this instance has sent and that is still in flight.

    Attributes
    ----------
    prefill_tokens : int
        Prompt tokens that the target is expected to compute.
    queue_tokens : float
        Expected queue of the target in prompt tokens at the time of sending.
    new_blocks : tuple of int
        Blocks that were added to the index at the time of sending.
    """

    request: RoutingRequest
    choice: Choice
    sent_ms: int
    prefill_tokens: int
    queue_tokens: float
    new_blocks: tuple[int, ...] = ()
    incarnation: int = 0
    has_first_token: bool = False


@dataclass(slots=True)
class TargetState:
    """A target, its last load report and the requests this instance has sent to it.

    Attributes
    ----------
    unreported_tokens, unreported_requests : int
        Prompt tokens and requests sent since the last report was sampled.
    """

    view: TargetView
    report: LoadReport | None = None
    reported_ms: int = 0
    unreported_tokens: int = 0
    unreported_requests: int = 0
    attempts: dict[str, Attempt] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.view.name

    @property
    def is_available(self) -> bool:
        """Whether the target is live and has loaded the required weights."""
        if self.view.state != LIVE:
            return False
        if self.report is None or not self.view.weights_version:
            return True
        return self.report.weights_version == self.view.weights_version

    def queue_tokens(self, now_ms: int, ms_per_token: float) -> float:
        """Return the expected number of queued prompt tokens."""
        if self.report is None:
            return self.unreported_tokens
        computed = (now_ms - self.reported_ms + REPORT_LAG_MS) / ms_per_token
        remaining = max(0.0, self.report.queued_prefill_tokens - computed)
        return remaining + self.unreported_tokens

    def load(self) -> int:
        """Return the expected number of requests on the target."""
        if self.report is None:
            return len(self.attempts)
        return self.report.running + self.report.waiting + self.unreported_requests

    def observe(self, report: LoadReport, now_ms: int) -> None:
        """Record a report; requests sent before it was sampled are included in it."""
        self.report = report
        self.reported_ms = now_ms
        sampled_ms = now_ms - REPORT_LAG_MS
        recent = [a for a in self.attempts.values() if a.sent_ms > sampled_ms]
        self.unreported_requests = len(recent)
        self.unreported_tokens = sum(
            a.prefill_tokens for a in recent if not a.has_first_token
        )

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that was just sent."""
        self.attempts[attempt.request.request_id] = attempt
        self.unreported_requests += 1
        self.unreported_tokens += attempt.prefill_tokens

    def mark_first_token(self, attempt: Attempt) -> None:
        """Subtract the prefill of an attempt from the unreported tokens."""
        if not attempt.has_first_token:
            attempt.has_first_token = True
            self._subtract_prefill(attempt)

    def discard(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended."""
        self.attempts.pop(attempt.request.request_id, None)
        if not attempt.has_first_token:
            self._subtract_prefill(attempt)
        if attempt.sent_ms > self.reported_ms - REPORT_LAG_MS:
            self.unreported_requests = max(0, self.unreported_requests - 1)

    def _subtract_prefill(self, attempt: Attempt) -> None:
        if attempt.sent_ms > self.reported_ms - REPORT_LAG_MS:
            remaining = self.unreported_tokens - attempt.prefill_tokens
            self.unreported_tokens = max(0, remaining)


class TargetTable:
    """The targets of one service and their estimated prefill speed.

    Attributes
    ----------
    prefill_ms_per_token_ : float
        Estimated prefill time per prompt token in milliseconds.
    """

    def __init__(self):
        self.states: dict[str, TargetState] = {}
        self.outlier_detector = OutlierDetector()
        self.prefill_ms_per_token_ = DEFAULT_PREFILL_MS_PER_TOKEN
        self._ms_per_token_samples: deque[float] = deque(maxlen=MAX_SPEED_SAMPLES)
        self._available: list[TargetState] | None = None
        self._by_domain: dict[str, list[TargetState]] = {}

    @property
    def available_targets(self) -> list[TargetState]:
        """Targets that may receive new requests, including ejected ones."""
        if self._available is None:
            self._available = [s for s in self.states.values() if s.is_available]
            self._by_domain = {}
            for state in self._available:
                domain = self._by_domain.setdefault(state.view.failure_domain, [])
                domain.append(state)
        return self._available

    def available_in_domain(self, failure_domain: str) -> list[TargetState]:
        """Return the available targets of one failure domain."""
        return self._by_domain.get(failure_domain, []) if self.available_targets else []

    def update(self, views: list[TargetView]) -> list[str]:
        """Replace the list of targets and return the names of the removed ones."""
        names = {view.name for view in views}
        removed = [name for name in self.states if name not in names]
        for name in removed:
            del self.states[name]
            self.outlier_detector.remove_target(name)
        for view in views:
            state = self.states.setdefault(view.name, TargetState(view))
            state.view = view
        self._available = None
        return removed

    def observe(self, target: str, report: LoadReport, now_ms: int) -> None:
        """Record a load report of a known target."""
        state = self.states[target]
        was_available = state.is_available
        state.observe(report, now_ms)
        if state.is_available != was_available:
            self._available = None

    def update_prefill_speed(self, attempt: Attempt, ttft_ms: float) -> None:
        """Update the prefill time per token from an observed time to first token.

        The estimate is the lower quartile of the samples, because unreported requests
        of other instances make some samples too long.
        """
        tokens = attempt.prefill_tokens
        if attempt.choice.kv_source is not None:
            return
        if tokens < MIN_SPEED_SAMPLE_TOKENS or attempt.queue_tokens > tokens:
            return
        self._ms_per_token_samples.append(ttft_ms / (tokens + attempt.queue_tokens))
        ordered = sorted(self._ms_per_token_samples)
        self.prefill_ms_per_token_ = ordered[len(ordered) // 4]
