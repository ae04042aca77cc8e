"""Tells crashes of targets from single lost connections."""

from collections.abc import Callable
from dataclasses import dataclass, field

from papayacrank.kernel import Clock, log_event
from papayacrank.messages import SuspectRequest

from ._address_check import CHECK_DELAYS_MS, AddressCheck
from ._events import LOSS_NOT_COUNTED, format_parts

# Connections lost within this time are lost together.
JOIN_MS = CHECK_DELAYS_MS[0]

LossKey = tuple[str, str, int]


@dataclass(slots=True)
class _Loss:
    """Attempts of one start of a target that were lost together.

    `later` are those that were lost during the check of these.
    """

    target: str
    start: int
    lost_ms: int
    opened_ms: int | None = None
    suspects: list[SuspectRequest] = field(default_factory=list)
    callbacks: list[Callable[[bool], None]] = field(default_factory=list)
    later: "_Loss | None" = None

    def add(
        self,
        opened_ms: int | None,
        suspect: SuspectRequest,
        callback: Callable[[bool], None],
    ) -> None:
        """Add an attempt."""
        if opened_ms is not None:
            self.opened_ms = max(opened_ms, self.opened_ms or opened_ms)
        if suspect.parts:
            self.suspects.append(suspect)
        self.callbacks.append(callback)


class CrashChecks:
    """Checks the addresses of targets whose connections were lost.

    A target that refuses connections after it lost one has crashed. Attempts lost
    while a check of the same target is pending share its report if the address refuses.
    Otherwise those lost after the check began are checked again: the target may still
    be closing its sockets.

    Parameters
    ----------
    check : AddressCheck
        Check of one address.
    clock : Clock
        Clock of the process.
    report : callable
        ``report(target, start, lost_ms, opened_ms, suspects)`` reports a crash.
    """

    def __init__(
        self,
        check: AddressCheck,
        clock: Clock,
        report: Callable[[str, int, int, int | None, list[SuspectRequest]], None],
    ):
        self._check = check
        self._clock = clock
        self._report = report
        self._losses: dict[LossKey, _Loss] = {}

    def on_lost(
        self,
        target: str,
        address: str,
        start: int,
        opened_ms: int | None,
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
        opened_ms : int or None
            Time at which the connection of the attempt was opened; None if unknown.
        suspect : SuspectRequest
            Request of the attempt; without parts it is not reported.
        callback : callable
            Called with whether the target has crashed, after the report.
        """
        key = (target, address, start)
        now_ms = self._clock.now_ms()
        loss = self._losses.get(key)
        if loss is None:
            loss = _Loss(target, start, now_ms)
            self._check_loss(key, loss)
        elif now_ms - loss.lost_ms > JOIN_MS:
            if loss.later is None:
                loss.later = _Loss(target, start, now_ms)
            loss = loss.later
        loss.add(opened_ms, suspect, callback)

    def _check_loss(self, key: LossKey, loss: _Loss) -> None:
        self._losses[key] = loss
        self._check.start(key[1], lambda is_refused: self._on_checked(key, is_refused))

    def _on_checked(self, key: LossKey, is_refused: bool) -> None:
        loss = self._losses.pop(key)
        callbacks = loss.callbacks
        if not is_refused:
            self._log_not_counted(loss)
            if loss.later is not None:
                self._check_loss(key, loss.later)
        else:
            # A target that exits accepts connections until its listening socket is
            # closed. That those of `later` were opened shows no new start.
            suspects = loss.suspects
            if loss.later is not None:
                suspects = suspects + loss.later.suspects
                callbacks = callbacks + loss.later.callbacks
            if suspects:
                self._report(
                    loss.target, loss.start, loss.lost_ms, loss.opened_ms, suspects
                )
        for callback in callbacks:
            callback(is_refused)

    def _log_not_counted(self, loss: _Loss) -> None:
        if not loss.suspects:
            return
        log_event(
            LOSS_NOT_COUNTED,
            target=loss.target,
            start=loss.start,
            requests=len(loss.suspects),
            checked_ms=self._clock.now_ms() - loss.lost_ms,
            parts=format_parts({name for s in loss.suspects for name in s.parts}),
        )
