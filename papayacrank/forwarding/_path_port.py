"""Connects the path monitor of an entry process to probes and timers."""

from collections.abc import Callable

from papayacrank.kernel import Clock, log_event
from papayacrank.messages import FleetTarget
from papayacrank.transport import ConnectCheck, ConnectOutcome, Timers

from ._events import PATH_LOST, PATH_REGAINED
from ._path_monitor import ISOLATED_PROBE_INTERVAL_MS, PathMonitor

PROBE_TIMER = "path-probe"


class PathPort:
    """Probes targets while the path to them is in doubt, and reports its state.

    Parameters
    ----------
    monitor : PathMonitor
        Decisions.
    check : ConnectCheck
        Connections to targets.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.

    Attributes
    ----------
    on_silent : callable
        Called with the name of a target that is silent although others are reached.
    on_change : callable
        Called when the path was lost or regained.
    """

    def __init__(
        self, monitor: PathMonitor, check: ConnectCheck, clock: Clock, timers: Timers
    ):
        self._monitor = monitor
        self._check = check
        self._clock = clock
        self._timers = timers
        self.on_silent: Callable[[str], None] = lambda name: None
        self.on_change: Callable[[], None] = lambda: None

    @property
    def is_isolated(self) -> bool:
        """Whether this instance has no path to any target."""
        return self._monitor.is_isolated

    def set_targets(self, targets: list[FleetTarget]) -> None:
        """Replace the targets of the fleet."""
        self._monitor.set_targets(targets)

    def on_reached(self, name: str) -> None:
        """Handle a new connection to a target."""
        was_isolated = self._monitor.is_isolated
        for other in self._monitor.on_reached(name, self._clock.now_ms()):
            self.on_silent(other)
        if was_isolated:
            log_event(PATH_REGAINED, target=name)
            self.on_change()

    def on_unreached(self, name: str, is_silent: bool, started_ms: int) -> None:
        """Handle a failed connection to a target.

        Parameters
        ----------
        name : str
            Name of the target.
        is_silent : bool
            Whether there was no response, rather than a refusal.
        started_ms : int
            Time at which the connection was attempted, in milliseconds.
        """
        was_isolated = self._monitor.is_isolated
        self._monitor.on_unreached(name, is_silent, started_ms, self._clock.now_ms())
        if self._monitor.is_isolated and not was_isolated:
            log_event(PATH_LOST, unreached=self._monitor.unreached)
            self.on_change()
        self._probe()

    def _probe(self) -> None:
        now_ms = self._clock.now_ms()
        for target in self._monitor.choose_probes(now_ms):
            self._start_probe(target)
        if self._monitor.is_isolated:
            at_ms = now_ms + ISOLATED_PROBE_INTERVAL_MS
            self._timers.set(PROBE_TIMER, at_ms, self._probe)

    def _start_probe(self, target: FleetTarget) -> None:
        started_ms = self._clock.now_ms()

        def on_outcome(outcome: ConnectOutcome) -> None:
            self._monitor.on_probe_ended(target.name)
            if outcome is ConnectOutcome.ACCEPTED:
                self.on_reached(target.name)
            else:
                is_silent = outcome is ConnectOutcome.SILENT
                self.on_unreached(target.name, is_silent, started_ms)

        self._check.start(target.address, on_outcome)
