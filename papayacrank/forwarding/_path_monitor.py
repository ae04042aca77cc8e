"""Tells a lost path to all targets from targets that are down, without I/O."""

import random
from collections.abc import Iterable

from papayacrank.messages import FleetTarget

# An instance is isolated once connections to this many different targets, or to all if
# there are fewer, have failed without a new connection in between.
MIN_UNREACHED_TARGETS = 5
# Failures count for this long. A failed connection takes up to 300 ms, and the targets
# are tried in two rounds.
FAILURE_LIFETIME_MS = 3_000
# Number of targets that are tried after the first failure, and after the next ones.
FIRST_PROBES = 1
FURTHER_PROBES = 4
# Interval between the connections by which an isolated instance notices its path.
ISOLATED_PROBE_INTERVAL_MS = 250


class PathMonitor:
    """Concludes from connections to targets whether this instance has a path to them.

    Only new connections count: those that are open may live on while new ones fail.
    After a failed connection, targets in other failure domains are probed. If none of
    them can be reached either, the path is lost, and nothing is known about the
    targets. As soon as one is reached, the others are down as seen from here.

    Parameters
    ----------
    random_state : random.Random
        Source of random choices.
    """

    def __init__(self, random_state: random.Random):
        self._random = random_state
        self._targets: dict[str, FleetTarget] = {}
        # Time of the first failed connection to each target since one was reached.
        self._unreached: dict[str, int] = {}
        # Targets of `_unreached` that did not respond at all.
        self._silent: set[str] = set()
        self._probing: set[str] = set()
        self._next_probe_ms = 0
        self._is_isolated = False
        self._regained_ms = 0

    @property
    def is_isolated(self) -> bool:
        """Whether this instance has no path to any target."""
        return self._is_isolated

    @property
    def unreached(self) -> int:
        """Number of targets that could not be reached since one was reached."""
        return len(self._unreached)

    def set_targets(self, targets: Iterable[FleetTarget]) -> None:
        """Replace the targets of the fleet."""
        self._targets = {target.name: target for target in targets}
        for name in self._unreached.keys() - self._targets.keys():
            del self._unreached[name]
        self._silent &= self._targets.keys()
        self._probing &= self._targets.keys()

    def on_reached(self, name: str, now_ms: int) -> list[str]:
        """Record a new connection to a target.

        Returns
        -------
        list of str
            Targets that are down rather than this instance's path.
        """
        silent = [] if self._is_isolated else sorted(self._silent - {name})
        if self._is_isolated:
            self._regained_ms = now_ms
        self._unreached.clear()
        self._silent.clear()
        self._is_isolated = False
        return silent

    def on_unreached(
        self, name: str, is_silent: bool, started_ms: int, now_ms: int
    ) -> None:
        """Record a failed connection to a target.

        Parameters
        ----------
        name : str
            Name of the target.
        is_silent : bool
            Whether there was no response, rather than a refusal.
        started_ms : int
            Time at which the connection was attempted. Attempts from before the path
            was regained say nothing about it.
        now_ms : int
            Current time in milliseconds.
        """
        if name not in self._targets or started_ms < self._regained_ms:
            return
        if not self._is_isolated:
            self._expire(now_ms)
        self._unreached.setdefault(name, now_ms)
        if is_silent:
            self._silent.add(name)
        needed = min(MIN_UNREACHED_TARGETS, len(self._targets))
        self._is_isolated |= len(self._unreached) >= needed

    def choose_probes(self, now_ms: int) -> list[FleetTarget]:
        """Return the targets to connect to now; each call must report the outcome."""
        in_doubt = self._is_isolated or self._unreached
        if not in_doubt or self._probing:
            return []
        if self._is_isolated:
            if now_ms < self._next_probe_ms:
                return []
            self._next_probe_ms = now_ms + ISOLATED_PROBE_INTERVAL_MS
            chosen = self._choose(1, set())
        else:
            count = FIRST_PROBES if len(self._unreached) == 1 else FURTHER_PROBES
            chosen = self._choose(count, set(self._unreached))
        self._probing |= {target.name for target in chosen}
        return chosen

    def on_probe_ended(self, name: str) -> None:
        """Record that the outcome of a probe was reported."""
        self._probing.discard(name)

    def _choose(self, count: int, excluded: set[str]) -> list[FleetTarget]:
        """Return targets, those of untried services and failure domains first."""
        tried = [self._targets[name] for name in excluded]
        services = {target.service for target in tried}
        domains = {target.failure_domain for target in tried}
        candidates = [t for n, t in self._targets.items() if n not in excluded]
        self._random.shuffle(candidates)
        candidates.sort(
            key=lambda t: (t.service in services) + (t.failure_domain in domains)
        )
        return candidates[:count]

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - FAILURE_LIFETIME_MS
        for name in [n for n, at_ms in self._unreached.items() if at_ms < oldest_ms]:
            del self._unreached[name]
            self._silent.discard(name)
