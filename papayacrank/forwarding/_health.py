"""Passive health checking: ejection of targets whose requests fail."""

from dataclasses import dataclass

from papayacrank.kernel import log_event

from ._events import TARGET_AVOIDED

INITIAL_EJECTION_MS = 400
MAX_EJECTION_MS = 4_000
# Weight of the latest outcome in the exponential moving average of failures.
FAILURE_RATE_SMOOTHING = 0.25
# A target is ejected if its failure rate exceeds the mean of its peers by this much.
EJECTION_MARGIN = 0.4
MAX_EJECTED_FRACTION = 1 / 2


@dataclass(slots=True)
class _Health:
    failure_rate: float = 0.0
    ejected_until_ms: int = 0
    ejection_ms: int = INITIAL_EJECTION_MS


class TargetHealth:
    """Failure statistics of targets, as observed by this process.

    A failed connection ejects a target at once, because every request would fail the
    same way. Failed responses update a moving failure rate that is compared with the
    rate of the peers, because some services normally fail a fraction of requests.
    """

    def __init__(self):
        self._targets: dict[str, _Health] = {}

    def is_ejected(self, name: str, now_ms: int) -> bool:
        """Whether a target should get no request now."""
        health = self._targets.get(name)
        return health is not None and now_ms < health.ejected_until_ms

    def on_success(self, name: str) -> None:
        """Record a successful response; it resets the backoff of ejections."""
        health = self._targets.get(name)
        if health is None:
            return
        self._update_rate(health, 0.0)
        health.ejection_ms = INITIAL_EJECTION_MS
        if health.failure_rate < EJECTION_MARGIN:
            health.ejected_until_ms = 0

    def on_unreachable(self, name: str, now_ms: int) -> None:
        """Record a failed connection and eject the target."""
        health = self._targets.setdefault(name, _Health())
        self._eject(name, health, "unreachable", now_ms)

    def on_failure(self, name: str, peers: list[str], now_ms: int) -> None:
        """Record a failed response; eject the target if it fails more than its peers.

        Parameters
        ----------
        name : str
            Target that failed.
        peers : list of str
            All targets of the service, including `name`.
        now_ms : int
            Current time in milliseconds.
        """
        health = self._targets.setdefault(name, _Health())
        self._update_rate(health, 1.0)
        peer_rates = [
            self._targets[peer].failure_rate if peer in self._targets else 0.0
            for peer in peers
            if peer != name
        ]
        mean_peer_rate = sum(peer_rates) / len(peer_rates) if peer_rates else 1.0
        ejected_count = sum(self.is_ejected(peer, now_ms) for peer in peers)
        is_limit_reached = ejected_count + 1 > len(peers) * MAX_EJECTED_FRACTION
        if (
            health.failure_rate - mean_peer_rate > EJECTION_MARGIN
            and not is_limit_reached
        ):
            self._eject(name, health, "failures", now_ms)

    def readmit_all(self) -> None:
        """End all ejections and reset their backoff."""
        for health in self._targets.values():
            health.ejected_until_ms = 0
            health.ejection_ms = INITIAL_EJECTION_MS

    def forget(self, name: str) -> None:
        """Remove the statistics of a target that was removed."""
        self._targets.pop(name, None)

    @staticmethod
    def _update_rate(health: _Health, outcome: float) -> None:
        health.failure_rate += FAILURE_RATE_SMOOTHING * (outcome - health.failure_rate)

    def _eject(self, name: str, health: _Health, reason: str, now_ms: int) -> None:
        if self.is_ejected(name, now_ms):
            # Requests that fail together, as in a crash, cause only one ejection.
            return
        health.ejected_until_ms = now_ms + health.ejection_ms
        health.ejection_ms = min(2 * health.ejection_ms, MAX_EJECTION_MS)
        log_event(
            TARGET_AVOIDED,
            target=name,
            reason=reason,
            for_ms=health.ejected_until_ms - now_ms,
            failure_rate=round(health.failure_rate, 2),
        )
