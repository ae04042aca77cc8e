"""Tells crashes of targets from single lost connections."""

from collections.abc import Callable
from dataclasses import dataclass, field

from papayacrank.kernel import Clock
from papayacrank.messages import SuspectRequest
from papayacrank.transport import ConnectCheck, ConnectOutcome, Timers

# A process that exits closes its connections and its listening socket in any order, so
# an accepted connection is checked once more.
CHECK_DELAYS_MS = (10, 150)


@dataclass(slots=True)
class _Loss:
    """Lost attempts of one start of a target whose check is pending."""

    target: str
    address: str
    start: int
    lost_ms: int
    suspects: list[SuspectRequest] = field(default_factory=list)
    callbacks: list[Callable[[bool], None]] = field(default_factory=list)


class CrashChecks:
    """Checks the addresses of targets whose connections were lost.

    A target that refuses connections after it lost one has crashed. Attempts lost
    while a check of the same target is pending share its result and its report.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    report : callable
        ``report(target, start, lost_ms, suspects)`` reports a crash.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        report: Callable[[str, int, int, list[SuspectRequest]], None],
    ):
        self._clock = clock
        self._timers = timers
        self._report = report
        self._check = ConnectCheck(clock, timers)
        self._losses: dict[tuple[str, int], _Loss] = {}

    def on_lost(
        self,
        target: str,
        address: str,
        start: int,
        suspect: SuspectRequest,
        callback: Callable[[bool], None],
    ) -> None:
        """Check a target after an attempt lost its connection before it had begun.

        Parameters
        ----------
        target, address : str
            Name and address of the target.
        start : int
            Start number of the target; 0 if unknown.
        suspect : SuspectRequest
            Request of the attempt; without parts it is not reported.
        callback : callable
            Called with whether the target has crashed, after the report.
        """
        loss = self._losses.get((target, start))
        if loss is None:
            loss = _Loss(target, address, start, self._clock.now_ms())
            self._losses[target, start] = loss
            self._schedule(loss, 0)
        if suspect.parts:
            loss.suspects.append(suspect)
        loss.callbacks.append(callback)

    def _schedule(self, loss: _Loss, number: int) -> None:
        self._timers.set(
            f"crash-check/{loss.target}/{loss.start}",
            self._clock.now_ms() + CHECK_DELAYS_MS[number],
            lambda: self._check.start(
                loss.address, lambda outcome: self._on_checked(loss, number, outcome)
            ),
        )

    def _on_checked(self, loss: _Loss, number: int, outcome: ConnectOutcome) -> None:
        is_last = number + 1 == len(CHECK_DELAYS_MS)
        if outcome is ConnectOutcome.ACCEPTED and not is_last:
            self._schedule(loss, number + 1)
            return
        del self._losses[loss.target, loss.start]
        has_crashed = outcome is ConnectOutcome.REFUSED
        if has_crashed and loss.suspects:
            self._report(loss.target, loss.start, loss.lost_ms, loss.suspects)
        for callback in loss.callbacks:
            callback(has_crashed)
