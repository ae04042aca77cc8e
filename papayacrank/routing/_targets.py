"""What an instance knows about the targets of one service."""

from collections import deque
from dataclasses import dataclass, field

from ._ejection import Ejector
from ._types import LIVE, Choice, LoadReport, RoutingRequest, TargetView

# Age of a load report when it arrives: engine sampling plus the poll itself.
REPORT_LAG_MS = 200
DEFAULT_PREFILL_MS_PER_TOKEN = 0.05
SPEED_SAMPLES = 32
MIN_SPEED_SAMPLE_TOKENS = 1_024


@dataclass(slots=True)
class Attempt:
    """A request that this instance has sent and that has not ended.

    Attributes
    ----------
    work_tokens : int
        Prompt tokens that the target was expected to compute.
    queue_tokens : float
        Expected queue of the target at the time of sending.
    new_blocks : tuple of int
        Blocks that the index was told of at the time of sending.
    """

    request: RoutingRequest
    choice: Choice
    sent_ms: int
    work_tokens: int
    queue_tokens: float
    new_blocks: tuple[int, ...] = ()
    incarnation: int = 0
    has_first_token: bool = False


@dataclass(slots=True)
class TargetState:
    """A target, its last load report and the instance's own work on it."""

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
    def is_current(self) -> bool:
        """Whether the target is live and runs the weights that answers need."""
        if self.view.state != LIVE:
            return False
        if self.report is None or not self.view.weights_version:
            return True
        return self.report.weights_version == self.view.weights_version

    def queue_tokens(self, now_ms: int, ms_per_token: float) -> float:
        """Return the expected number of queued prompt tokens."""
        if self.report is None:
            return self.unreported_tokens
        drained = (now_ms - self.reported_ms + REPORT_LAG_MS) / ms_per_token
        left = max(0.0, self.report.queued_prefill_tokens - drained)
        return left + self.unreported_tokens

    def load(self) -> int:
        """Return the expected number of requests on the target."""
        if self.report is None:
            return len(self.attempts)
        return self.report.running + self.report.waiting + self.unreported_requests

    def observe(self, report: LoadReport, now_ms: int) -> None:
        """Take a report; own work sent before its sampling is part of it."""
        self.report = report
        self.reported_ms = now_ms
        sampled_ms = now_ms - REPORT_LAG_MS
        recent = [a for a in self.attempts.values() if a.sent_ms > sampled_ms]
        self.unreported_requests = len(recent)
        self.unreported_tokens = sum(
            a.work_tokens for a in recent if not a.has_first_token
        )

    def add(self, attempt: Attempt) -> None:
        """Count an attempt that was just sent."""
        self.attempts[attempt.request.request_id] = attempt
        self.unreported_requests += 1
        self.unreported_tokens += attempt.work_tokens

    def mark_first_token(self, attempt: Attempt) -> None:
        """Stop counting the prefill of an attempt."""
        if not attempt.has_first_token:
            attempt.has_first_token = True
            self._discount(attempt)

    def discard(self, attempt: Attempt) -> None:
        """Stop counting an attempt that has ended."""
        self.attempts.pop(attempt.request.request_id, None)
        if not attempt.has_first_token:
            self._discount(attempt)
        if attempt.sent_ms > self.reported_ms - REPORT_LAG_MS:
            self.unreported_requests = max(0, self.unreported_requests - 1)

    def _discount(self, attempt: Attempt) -> None:
        if attempt.sent_ms > self.reported_ms - REPORT_LAG_MS:
            left = self.unreported_tokens - attempt.work_tokens
            self.unreported_tokens = max(0, left)


class TargetTable:
    """The targets of one service and the speed learned from them."""

    def __init__(self):
        self.states: dict[str, TargetState] = {}
        self.ejector = Ejector()
        self.ms_per_token_ = DEFAULT_PREFILL_MS_PER_TOKEN
        self._speeds: deque[float] = deque(maxlen=SPEED_SAMPLES)
        self._current: list[TargetState] | None = None
        self._by_domain: dict[str, list[TargetState]] = {}

    @property
    def current(self) -> list[TargetState]:
        """Targets that may receive new work, before ejection."""
        if self._current is None:
            self._current = [s for s in self.states.values() if s.is_current]
            self._by_domain = {}
            for state in self._current:
                domain = self._by_domain.setdefault(state.view.failure_domain, [])
                domain.append(state)
        return self._current

    def current_in_domain(self, failure_domain: str) -> list[TargetState]:
        """Return the targets of one failure domain that may receive new work."""
        return self._by_domain.get(failure_domain, []) if self.current else []

    def update(self, views: list[TargetView]) -> list[str]:
        """Take the list of targets and return the names of those that are gone."""
        names = {view.name for view in views}
        gone = [name for name in self.states if name not in names]
        for name in gone:
            del self.states[name]
            self.ejector.forget(name)
        for view in views:
            state = self.states.setdefault(view.name, TargetState(view))
            state.view = view
        self._current = None
        return gone

    def observe(self, target: str, report: LoadReport, now_ms: int) -> None:
        """Take a load report of a known target."""
        state = self.states[target]
        was_current = state.is_current
        state.observe(report, now_ms)
        if state.is_current != was_current:
            self._current = None

    def learn_speed(self, attempt: Attempt, ttft_ms: float) -> None:
        """Adjust the prefill time per token to an observed time to first token.

        The lower quartile is used, because work of other instances that was not
        reported yet makes some samples too long.
        """
        tokens = attempt.work_tokens
        if attempt.choice.kv_source is not None:
            return
        if tokens < MIN_SPEED_SAMPLE_TOKENS or attempt.queue_tokens > tokens:
            return
        self._speeds.append(ttft_ms / (tokens + attempt.queue_tokens))
        ordered = sorted(self._speeds)
        self.ms_per_token_ = ordered[len(ordered) // 4]
