"""Tells crashes of targets from single lost connections."""

from collections.abc import Callable
from dataclasses import dataclass, field

from papayacrank.kernel import Clock
from papayacrank.messages import SuspectRequest

from ._address_check import AddressCheck


@dataclass(slots=True)
class _Loss:
    """Lost attempts of one start of a target whose check is pending."""

    target: str
    start: int
    lost_ms: int
    opened_ms: int | None = None
    suspects: list[SuspectRequest] = field(default_factory=list)
    callbacks: list[Callable[[bool], None]] = field(default_factory=list)


class CrashChecks:
    """Checks the addresses of targets whose connections were lost.

    A target that refuses connections after it lost one has crashed. Attempts lost
    while a check of the same target is pending share its result and its report.

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
        self._losses: dict[tuple[str, str, int], _Loss] = {}

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
        loss = self._losses.get(key)
        if loss is None:
            loss = _Loss(target, start, self._clock.now_ms())
            self._losses[key] = loss
            self._check.start(
                address, lambda is_refused: self._on_checked(key, is_refused)
            )
        if opened_ms is not None:
            loss.opened_ms = max(opened_ms, loss.opened_ms or opened_ms)
        if suspect.parts:
            loss.suspects.append(suspect)
        loss.callbacks.append(callback)

    def _on_checked(self, key: tuple[str, str, int], is_refused: bool) -> None:
        loss = self._losses.pop(key)
        if is_refused and loss.suspects:
            self._report(
                loss.target, loss.start, loss.lost_ms, loss.opened_ms, loss.suspects
            )
        for callback in loss.callbacks:
            callback(is_refused)
