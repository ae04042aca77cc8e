"""Check whether an address refuses connections."""

import errno
import itertools
import socket
from collections.abc import Callable
from enum import Enum

from papayacrank.kernel import Clock

from ._timers import Timers

POLL_INTERVAL_MS = 10
MAX_WAIT_MS = 300


class ConnectOutcome(Enum):
    """Result of a connection attempt."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


class ConnectCheck:
    """Opens a connection to an address, sends nothing and closes it.

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
        self._numbers = itertools.count(1)

    def start(self, address: str, callback: Callable[[ConnectOutcome], None]) -> None:
        """Start a check.

        Parameters
        ----------
        address : str
            Address as ``ip:port``.
        callback : callable
            Called with the outcome, never before this method returns. The outcome is
            ``SILENT`` if it is not known within `MAX_WAIT_MS`.
        """
        timer = f"connect-check/{next(self._numbers)}"
        host, port = address.rsplit(":", 1)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            status = sock.connect_ex((host, int(port)))
        except (OSError, OverflowError):
            status = errno.EHOSTUNREACH
        now_ms = self._clock.now_ms()
        until_ms = now_ms + MAX_WAIT_MS

        def poll() -> None:
            outcome = _read_outcome(sock, status)
            if outcome is None:
                poll_ms = self._clock.now_ms() + POLL_INTERVAL_MS
                if poll_ms < until_ms:
                    self._timers.set(timer, poll_ms, poll)
                    return
                outcome = ConnectOutcome.SILENT
            sock.close()
            callback(outcome)

        self._timers.set(timer, now_ms, poll)


def _read_outcome(sock: socket.socket, status: int) -> ConnectOutcome | None:
    """Return the outcome of a connection attempt; None while it is not known."""
    if status in (0, errno.EINPROGRESS):
        status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if status == errno.ECONNREFUSED:
        return ConnectOutcome.REFUSED
    if status:
        return ConnectOutcome.SILENT
    try:
        peer = sock.getpeername()
    except OSError:
        return None
    # A socket connected to itself by TCP simultaneous open has no listener.
    is_own = peer == sock.getsockname()
    return ConnectOutcome.REFUSED if is_own else ConnectOutcome.ACCEPTED
