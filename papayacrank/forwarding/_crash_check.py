"""Check whether a target that has lost a connection refuses new ones."""

import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from papayacrank.kernel import Clock
from papayacrank.transport import Connection, Timers

# A process that ends may close its connections before its listening socket. The delay
# also joins the connections that are lost with the same crash.
CHECK_DELAY_MS = 20
# A listening socket on the same network answers within a few milliseconds.
CHECK_TIMEOUT_MS = 250
MAX_CHECKS = 64
REFUSED = "ECONNREFUSED"


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


class ConnectionCheck(BaseComponent, CrashCheck):
    """Component that opens one connection for a check and closes it again.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    channel = "crash-check"

    def __init__(self, clock: Clock, timers: Timers):
        super().__init__()
        self._clock = clock
        self._timers = timers
        self._poller: BasePoller | None = None
        self._numbers = itertools.count(1)
        self._open: dict[object, tuple[Connection, Callable[[bool], None]]] = {}

    def start(self, address: str, callback: Callable[[bool], None]) -> None:
        """Check an address after a short delay."""
        number = next(self._numbers)
        at_ms = self._clock.now_ms() + CHECK_DELAY_MS
        self._timers.set(
            _timer(number), at_ms, lambda: self._connect(number, address, callback)
        )

    def _connect(
        self, number: int, address: str, callback: Callable[[bool], None]
    ) -> None:
        if len(self._open) >= MAX_CHECKS:
            callback(False)
            return
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        connection = Connection(number, address)
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            callback(_is_refused(error))
            return
        self._open[connection.sock] = (connection, callback)
        self._poller.addWriter(self, connection.sock)
        at_ms = self._clock.now_ms() + CHECK_TIMEOUT_MS
        self._timers.set(
            _timer(number), at_ms, lambda: self._finish(connection.sock, False)
        )

    @handler("_write")
    def _on_write(self, sock):
        if sock not in self._open:
            return
        connection, _ = self._open[sock]
        try:
            connection.check_connected()
        except OSError as error:
            self._finish(sock, _is_refused(error))
            return
        self._finish(sock, False)

    @handler("_disconnect", "_error")
    def _on_poller_error(self, sock, *_):
        if sock in self._open:
            connection, _ = self._open[sock]
            self._finish(sock, connection.error_name() == REFUSED)

    def _finish(self, sock, is_refused: bool) -> None:
        known = self._open.pop(sock, None)
        if known is None:
            return
        connection, callback = known
        self._timers.cancel(_timer(connection.number))
        self._poller.discard(sock)
        connection.close()
        callback(is_refused)


def _is_refused(error: OSError) -> bool:
    return isinstance(error, ConnectionRefusedError) or REFUSED in str(error)


def _timer(number: int) -> str:
    return f"crash-check:{number}"
