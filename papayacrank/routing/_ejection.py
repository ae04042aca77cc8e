"""Ejection of slow targets by comparison with their peers."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

from papayacrank.kernel import log_event

from ._events import TARGET_EJECTED, TARGET_READMITTED

SAMPLES = 6
MIN_SAMPLES = 3
SAMPLE_AGE_MS = 15_000
# Short waits say little about speed: both sides of a ratio are raised by this.
RATIO_FLOOR_MS = 100.0
FAILURE_RATIO = 20.0
EJECTION_RATIO = 2.5
FIRST_EJECTION_MS = 3_000
MAX_EJECTION_MS = 30_000
MAX_EJECTED_SHARE = 1 / 3


@dataclass(slots=True)
class _Health:
    samples: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=SAMPLES)
    )
    ejected_until_ms: int | None = None
    ejection_ms: int = FIRST_EJECTION_MS
    trial_request: str | None = None


class Ejector:
    """Keeps slow or failing targets of one service from receiving requests.

    A sample is the ratio of an observed to an expected time to first token. A target
    whose median ratio exceeds that of its peers by a factor is ejected, unless a
    third of the service is ejected already: if everything is slow, nothing is gained.
    After a while it gets one trial request at a time. A good one readmits it; a bad
    one doubles the time of the ejection.
    """

    def __init__(self):
        self._health: dict[str, _Health] = {}

    @property
    def ejected(self) -> list[str]:
        """Names of the ejected targets, those on trial included."""
        return [n for n, h in self._health.items() if h.ejected_until_ms is not None]

    def may_receive(self, target: str, now_ms: int) -> bool:
        """Return whether a target may receive a request, be it a trial."""
        health = self._health.get(target)
        if health is None or health.ejected_until_ms is None:
            return True
        return now_ms >= health.ejected_until_ms and health.trial_request is None

    def is_on_trial(self, target: str) -> bool:
        """Return whether a request to the target is a trial."""
        health = self._health.get(target)
        return health is not None and health.ejected_until_ms is not None

    def on_sent(self, target: str, request_id: str) -> None:
        """Note the trial request of an ejected target."""
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
        """Take an observed time to first token.

        Parameters
        ----------
        expected_ms, observed_ms : float
            Time expected when the request was sent, and the real one.
        total : int
            Number of targets of the service.
        """
        ratio = (observed_ms + RATIO_FLOOR_MS) / (expected_ms + RATIO_FLOOR_MS)
        self._take(target, request_id, ratio, total, now_ms)

    def observe_failure(
        self, target: str, request_id: str, total: int, now_ms: int
    ) -> None:
        """Take a failure before the first token."""
        self._take(target, request_id, FAILURE_RATIO, total, now_ms)

    def on_ended(self, target: str, request_id: str) -> None:
        """Note that a request ended without a sample, for example cancelled."""
        health = self._health.get(target)
        if health is not None and health.trial_request == request_id:
            health.trial_request = None

    def on_new_incarnation(self, target: str, now_ms: int) -> None:
        """Let a restarted target have its trial at once."""
        health = self._health.get(target)
        if health is not None and health.ejected_until_ms is not None:
            health.ejected_until_ms = now_ms
            health.trial_request = None
            health.samples.clear()

    def forget(self, target: str) -> None:
        """Drop what is known about a target that left the service."""
        self._health.pop(target, None)

    def _take(
        self, target: str, request_id: str, ratio: float, total: int, now_ms: int
    ) -> None:
        health = self._health.setdefault(target, _Health())
        if health.ejected_until_ms is not None:
            if health.trial_request == request_id:
                self._end_trial(target, health, ratio, now_ms)
            return
        health.samples.append((now_ms, ratio))
        recent = self._recent(health, now_ms)
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
        self, target: str, health: _Health, ratio: float, now_ms: int
    ) -> None:
        health.trial_request = None
        if ratio <= EJECTION_RATIO * self._peer_ratio(target, now_ms):
            health.ejected_until_ms = None
            health.ejection_ms = FIRST_EJECTION_MS
            health.samples.clear()
            log_event(TARGET_READMITTED, target=target)
            return
        health.ejection_ms = min(MAX_EJECTION_MS, 2 * health.ejection_ms)
        health.ejected_until_ms = now_ms + health.ejection_ms

    def _peer_ratio(self, target: str, now_ms: int) -> float:
        """Return the lower quartile of the peers' medians, at least 1.

        With a median, targets that fail together in a majority would not stand out.
        """
        ratios = sorted(
            median(recent)
            for name, health in self._health.items()
            if name != target
            and health.ejected_until_ms is None
            and (recent := self._recent(health, now_ms))
        )
        return max(1.0, ratios[len(ratios) // 4]) if ratios else 1.0

    @staticmethod
    def _recent(health: _Health, now_ms: int) -> list[float]:
        oldest_ms = now_ms - SAMPLE_AGE_MS
        return [ratio for at_ms, ratio in health.samples if at_ms >= oldest_ms]
