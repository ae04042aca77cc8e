"""Outlier detection: ejection of targets that are slower than their peers."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

from papayacrank.kernel import log_event

from ._events import TARGET_EJECTED, TARGET_READMITTED

MAX_SAMPLES = 6
MIN_SAMPLES = 3
MAX_SAMPLE_AGE_MS = 15_000
# Added to both times of a ratio, because short times say little about speed.
RATIO_OFFSET_MS = 100.0
FAILURE_RATIO = 20.0
EJECTION_RATIO = 2.5
BASE_EJECTION_MS = 3_000
MAX_EJECTION_MS = 30_000
MAX_EJECTED_SHARE = 1 / 3


@dataclass(slots=True)
class _TargetHealth:
    samples: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    ejected_until_ms: int | None = None
    ejection_ms: int = BASE_EJECTION_MS
    trial_request: str | None = None


class OutlierDetector:
    """Ejects slow or failing targets of one service.

    A sample is the ratio of the observed to the expected time to first token. A target
    is ejected when its median ratio exceeds `EJECTION_RATIO` times that of its peers,
    unless more than a third of the service would be ejected: when all targets are
    slow, ejection does not help. After the ejection time, the target receives one trial
    request at a time. A successful trial readmits it; a failed one doubles the
    ejection time up to `MAX_EJECTION_MS`.
    """

    def __init__(self):
        self._health: dict[str, _TargetHealth] = {}

    @property
    def ejected(self) -> list[str]:
        """Names of the ejected targets, including those on trial."""
        return [n for n, h in self._health.items() if h.ejected_until_ms is not None]

    def may_receive(self, target: str, now_ms: int) -> bool:
        """Return whether a target may receive a request, including a trial request."""
        health = self._health.get(target)
        if health is None or health.ejected_until_ms is None:
            return True
        return now_ms >= health.ejected_until_ms and health.trial_request is None

    def is_on_trial(self, target: str) -> bool:
        """Return whether the next request to the target is a trial."""
        health = self._health.get(target)
        return health is not None and health.ejected_until_ms is not None

    def on_sent(self, target: str, request_id: str) -> None:
        """Record the trial request of an ejected target."""
        if self.is_on_trial(target):
            self._health[target].trial_request = request_id

    def observe(
        self,
        target: str,
        request_id: str,
        expected_ms: float,
        observed_ms: float,
        total: int,
        now_ms: int,
    ) -> None:
        """Record an observed time to first token.

        Parameters
        ----------
        target : str
            Name of the target.
        request_id : str
            Request that the time belongs to.
        expected_ms, observed_ms : float
            Time to first token expected at sending, and the observed one.
        total : int
            Number of targets of the service.
        now_ms : int
            Current time in milliseconds.
        """
        ratio = (observed_ms + RATIO_OFFSET_MS) / (expected_ms + RATIO_OFFSET_MS)
        self._record_sample(target, request_id, ratio, total, now_ms)

    def observe_failure(
        self, target: str, request_id: str, total: int, now_ms: int
    ) -> None:
        """Record a target failure as a sample with `FAILURE_RATIO`."""
        self._record_sample(target, request_id, FAILURE_RATIO, total, now_ms)

    def on_ended(self, target: str, request_id: str) -> None:
        """End the trial of a request without a sample, for example a cancelled one."""
        health = self._health.get(target)
        if health is not None and health.trial_request == request_id:
            health.trial_request = None

    def on_new_incarnation(self, target: str, now_ms: int) -> None:
        """Make an ejected target eligible for a trial at once after a restart."""
        health = self._health.get(target)
        if health is not None and health.ejected_until_ms is not None:
            health.ejected_until_ms = now_ms
            health.trial_request = None
            health.samples.clear()

    def remove_target(self, target: str) -> None:
        """Remove the state of a target that has left the service."""
        self._health.pop(target, None)

    def _record_sample(
        self, target: str, request_id: str, ratio: float, total: int, now_ms: int
    ) -> None:
        health = self._health.setdefault(target, _TargetHealth())
        if health.ejected_until_ms is not None:
            if health.trial_request == request_id:
                self._end_trial(target, health, ratio, now_ms)
            return
        health.samples.append((now_ms, ratio))
        recent = self._recent_ratios(health, now_ms)
        if len(recent) < MIN_SAMPLES:
            return
        limit = EJECTION_RATIO * self._peer_ratio(target, now_ms)
        if median(recent) <= limit:
            return
        if len(self.ejected) + 1 > total * MAX_EJECTED_SHARE:
            return
        health.ejected_until_ms = now_ms + health.ejection_ms
        log_event(TARGET_EJECTED, target=target, ratio=round(median(recent), 2))

    def _end_trial(
        self, target: str, health: _TargetHealth, ratio: float, now_ms: int
    ) -> None:
        health.trial_request = None
        if ratio <= EJECTION_RATIO * self._peer_ratio(target, now_ms):
            health.ejected_until_ms = None
            health.ejection_ms = BASE_EJECTION_MS
            health.samples.clear()
            log_event(TARGET_READMITTED, target=target)
            return
        health.ejection_ms = min(MAX_EJECTION_MS, 2 * health.ejection_ms)
        health.ejected_until_ms = now_ms + health.ejection_ms

    def _peer_ratio(self, target: str, now_ms: int) -> float:
        """Return the lower quartile of the peers' medians, at least 1.

        A median would hide the outliers when the majority of targets fails together.
        """
        ratios = sorted(
            median(recent)
            for name, health in self._health.items()
            if name != target
            and health.ejected_until_ms is None
            and (recent := self._recent_ratios(health, now_ms))
        )
        return max(1.0, ratios[len(ratios) // 4]) if ratios else 1.0

    @staticmethod
    def _recent_ratios(health: _TargetHealth, now_ms: int) -> list[float]:
        oldest_ms = now_ms - MAX_SAMPLE_AGE_MS
        return [ratio for at_ms, ratio in health.samples if at_ms >= oldest_ms]
