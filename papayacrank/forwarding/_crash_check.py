"""Check whether a target that has lost a connection refuses new ones."""

import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable

from papayacrank.kernel import Clock
from papayacrank.transport import ConnectCheck, ConnectOutcome, Timers

# A process that ends may close its connections before its listening socket. The delay
# also joins the connections that are lost with the same crash.
CHECK_DELAY_MS = 20
MAX_CHECKS = 64


class CrashCheck(ABC):
    """Interface of the check of a target's address."""

    @abstractmethod
    def start(self, address: str, callback: Callable[[bool], None]) -> None:
        """Check whether an address refuses connections.

        Parameters
        ----------
        address : str
            Address of the target as ``ip:port``.
        callback : callable
            Called once with whether the connection was refused, never before this
            method returns. An address that does not answer has not refused.
        """


class ConnectionCheck(CrashCheck):
    """Check that opens one connection after a short delay and closes it again.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    def __init__(self, clock: Clock, timers: Timers):
        self._clock = clock
        self._timers = timers
        self._check = ConnectCheck(clock, timers)
        self._numbers = itertools.count(1)
        self._open_checks = 0

    def start(self, address: str, callback: Callable[[bool], None]) -> None:
        """Check an address after a short delay."""
        self._timers.set(
            f"crash-check:{next(self._numbers)}",
            self._clock.now_ms() + CHECK_DELAY_MS,
            lambda: self._connect(address, callback),
        )

    def _connect(self, address: str, callback: Callable[[bool], None]) -> None:
        if self._open_checks >= MAX_CHECKS:
            callback(False)
            return
        self._open_checks += 1

        def on_outcome(outcome: ConnectOutcome) -> None:
            self._open_checks -= 1
            callback(outcome is ConnectOutcome.REFUSED)

        self._check.start(address, on_outcome)
