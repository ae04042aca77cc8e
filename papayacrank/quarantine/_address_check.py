"""Check whether the address of a target that lost a connection refuses new ones."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from papayacrank.kernel import Clock
from papayacrank.transport import ConnectCheck, ConnectOutcome, Timers

# A process that ends may close its connections before its listening socket: with one
# check after 20 ms, no crash was seen of servers that closed it 100 ms later. The first
# delay also joins the connections that are lost with the same crash. The others are
# shorter than the time for which the leader waits for the reports of other instances.
CHECK_DELAYS_MS = (20, 130, 200, 200, 200, 250)
MAX_CHECKS = 64


class AddressCheck(ABC):
    """Interface of the check of a target's address."""

    @abstractmethod
    def start(self, address: str, callback: Callable[[bool], None]) -> None:
        """Check whether an address refuses connections.

        Parameters
        ----------
        address : str
            Address of the target as ``ip:port``.
        callback : callable
            Called once with whether a connection was refused, never before this
            method returns. An address that does not answer has not refused.
        """


class ConnectionCheck(AddressCheck):
    """Check that opens connections after short delays and closes them again.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    delays_ms : tuple of int
        Times before the first connection and before each further one, which is opened
        if the one before was accepted; in milliseconds.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        delays_ms: tuple[int, ...] = CHECK_DELAYS_MS,
    ):
        self._clock = clock
        self._timers = timers
        self._delays_ms = delays_ms
        self._check = ConnectCheck(clock, timers)
        self._started = 0
        self._open_checks = 0

    def start(self, address: str, callback: Callable[[bool], None]) -> None:
        """Check an address after a short delay, and again while it accepts."""
        self._started += 1
        timer = f"address-check:{self._started}"
        self._schedule(timer, 0, address, callback)

    def _schedule(
        self, timer: str, number: int, address: str, callback: Callable[[bool], None]
    ) -> None:
        self._timers.set(
            timer,
            self._clock.now_ms() + self._delays_ms[number],
            lambda: self._connect(timer, number, address, callback),
        )

    def _connect(
        self, timer: str, number: int, address: str, callback: Callable[[bool], None]
    ) -> None:
        if self._open_checks >= MAX_CHECKS:
            callback(False)
            return
        self._open_checks += 1

        def on_outcome(outcome: ConnectOutcome) -> None:
            self._open_checks -= 1
            is_last = number + 1 == len(self._delays_ms)
            if outcome is ConnectOutcome.ACCEPTED and not is_last:
                self._schedule(timer, number + 1, address, callback)
            else:
                callback(outcome is ConnectOutcome.REFUSED)

        self._check.start(address, on_outcome)
