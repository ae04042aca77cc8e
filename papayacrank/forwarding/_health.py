"""Avoidance of targets that fail, by evidence from the requests themselves."""

from dataclasses import dataclass

from papayacrank.kernel import log_event

from ._events import TARGET_AVOIDED

FIRST_AVOIDANCE_MS = 400
MAX_AVOIDANCE_MS = 4_000
# Weight of one outcome in the moving failure rate.
FAILURE_WEIGHT = 0.25
# A target is avoided if its failure rate exceeds that of its peers by this much.
FAILURE_EXCESS = 0.4
MAX_AVOIDED_PART = 1 / 2


@dataclass(slots=True)
class _Health:
    failure_rate: float = 0.0
    avoided_until_ms: int = 0
    avoidance_ms: int = FIRST_AVOIDANCE_MS


class TargetHealth:
    """Failures of targets as this process sees them.

    A failed connection makes a target avoided at once, because every request would
    meet the same. Failed answers count in a moving rate that is compared with the
    peers', because some services fail a part of all requests by nature.
    """

    def __init__(self):
        self._targets: dict[str, _Health] = {}

    def is_avoided(self, name: str, now_ms: int) -> bool:
        """Whether a target should not get a request now."""
        health = self._targets.get(name)
        return health is not None and now_ms < health.avoided_until_ms

    def on_success(self, name: str) -> None:
        """Note an answer."""
        health = self._targets.get(name)
        if health is None:
            return
        self._note(health, 0.0)
        health.avoidance_ms = FIRST_AVOIDANCE_MS
        if health.failure_rate < FAILURE_EXCESS:
            health.avoided_until_ms = 0

    def on_unreachable(self, name: str, now_ms: int) -> None:
        """Note a failed connection."""
        health = self._targets.setdefault(name, _Health())
        self._avoid(name, health, "unreachable", now_ms)

    def on_failure(self, name: str, peers: list[str], now_ms: int) -> None:
        """Note a failed answer.

        Parameters
        ----------
        peers : list of str
            All targets of the service.
        """
        health = self._targets.setdefault(name, _Health())
        self._note(health, 1.0)
        others = [
            self._targets[peer].failure_rate if peer in self._targets else 0.0
            for peer in peers
            if peer != name
        ]
        usual = sum(others) / len(others) if others else 1.0
        avoided = sum(self.is_avoided(peer, now_ms) for peer in peers)
        crowded = avoided + 1 > len(peers) * MAX_AVOIDED_PART
        if health.failure_rate - usual > FAILURE_EXCESS and not crowded:
            self._avoid(name, health, "failures", now_ms)

    def forget(self, name: str) -> None:
        """Drop what is known about a target that is gone."""
        self._targets.pop(name, None)

    @staticmethod
    def _note(health: _Health, outcome: float) -> None:
        health.failure_rate += FAILURE_WEIGHT * (outcome - health.failure_rate)

    def _avoid(self, name: str, health: _Health, reason: str, now_ms: int) -> None:
        if self.is_avoided(name, now_ms):
            # Requests that fail together, as in a crash, are one piece of evidence.
            return
        health.avoided_until_ms = now_ms + health.avoidance_ms
        health.avoidance_ms = min(2 * health.avoidance_ms, MAX_AVOIDANCE_MS)
        log_event(
            TARGET_AVOIDED,
            target=name,
            reason=reason,
            for_ms=health.avoided_until_ms - now_ms,
            failure_rate=round(health.failure_rate, 2),
        )
