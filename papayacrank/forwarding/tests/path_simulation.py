"""Simulated beliefs of many instances about their paths and about the targets."""

from random import Random

from papayacrank.forwarding._path_monitor import (
    ISOLATED_PROBE_INTERVAL_MS,
    PathMonitor,
)
from papayacrank.messages import FleetTarget
from papayacrank.replay._schedule import Schedule

DOMAINS = ("east", "west", "north")
CONNECT_MS = 2
CONNECT_TIMEOUT_MS = 250
PROBE_TIMEOUT_MS = 300
# Attempts of one request at different targets.
ATTEMPTS = 5


class PathSimulation:
    """Instances that open connections to targets, some of which do not respond.

    Parameters
    ----------
    instances, targets, seed : int
        Number of instances and targets, and seed.
    requests_per_s : float
        Requests of each instance that need a new connection.
    """

    def __init__(self, instances, targets, seed, requests_per_s=2.0):
        self.random = Random(seed)
        self.targets = [
            FleetTarget(
                f"t{n}", f"10.0.0.{n}:80", f"service-{n % 2}", DOMAINS[n % len(DOMAINS)]
            )
            for n in range(targets)
        ]
        self.dark = set()
        self.cut = set()
        self.isolated_ms = {}
        self.false_isolations = 0
        self.silent_reports = []
        self._rate = requests_per_s / 1_000
        self._schedule = Schedule()
        self.monitors = [
            PathMonitor(Random(seed * 1_000 + n)) for n in range(instances)
        ]
        for number, monitor in enumerate(self.monitors):
            monitor.set_targets(self.targets)
            self._schedule_request(number)

    @property
    def now_ms(self):
        """Simulated time in milliseconds."""
        return self._schedule.now_ms

    @property
    def isolated(self):
        """Instances that believe to have no path."""
        return {n for n, m in enumerate(self.monitors) if m.is_isolated}

    def run(self, until_ms):
        """Run until a time in milliseconds."""
        self._schedule.run(until_ms)
        self._schedule.now_ms = until_ms

    def _schedule_request(self, number):
        self._schedule.call_later(
            self.random.expovariate(self._rate), lambda: self._request(number)
        )

    def _request(self, number):
        self._schedule_request(number)
        self._connect(number, self.random.sample(self.targets, ATTEMPTS))

    def _connect(self, number, candidates):
        """Try the candidates of a request in turn."""
        target = candidates[0]
        if self._is_reached(number, target):
            self._schedule.call_later(
                CONNECT_MS, lambda: self._on_reached(number, target.name)
            )
            return

        started_ms = self.now_ms

        def on_timeout():
            self._on_unreached(number, target.name, started_ms)
            if candidates[1:] and not self.monitors[number].is_isolated:
                self._connect(number, candidates[1:])

        self._schedule.call_later(CONNECT_TIMEOUT_MS, on_timeout)

    def _is_reached(self, number, target):
        return number not in self.cut and target.name not in self.dark

    def _on_reached(self, number, name):
        silent = self.monitors[number].on_reached(name, self.now_ms)
        self.silent_reports += [(number, other) for other in silent]

    def _on_unreached(self, number, name, started_ms):
        monitor = self.monitors[number]
        was_isolated = monitor.is_isolated
        monitor.on_unreached(name, True, started_ms, self.now_ms)
        if monitor.is_isolated and not was_isolated:
            self.isolated_ms.setdefault(number, self.now_ms)
            self.false_isolations += number not in self.cut
            self._schedule.call_later(
                ISOLATED_PROBE_INTERVAL_MS, lambda: self._poll(number)
            )
        self._probe(number)

    def _poll(self, number):
        self._probe(number)
        if self.monitors[number].is_isolated:
            self._schedule.call_later(
                ISOLATED_PROBE_INTERVAL_MS, lambda: self._poll(number)
            )

    def _probe(self, number):
        for target in self.monitors[number].choose_probes(self.now_ms):
            is_reached = self._is_reached(number, target)
            delay_ms = CONNECT_MS if is_reached else PROBE_TIMEOUT_MS

            def on_outcome(
                name=target.name, is_reached=is_reached, started_ms=self.now_ms
            ):
                self.monitors[number].on_probe_ended(name)
                if is_reached:
                    self._on_reached(number, name)
                else:
                    self._on_unreached(number, name, started_ms)

            self._schedule.call_later(delay_ms, on_outcome)
