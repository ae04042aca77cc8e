"""Tests of the check whether an address refuses connections."""

import socket
import time

from papayacrank.kernel import MonotonicClock
from papayacrank.transport import ConnectCheck, ConnectOutcome

WAIT_S = 2.0


class SleepingTimers:
    """Timers that run one after the other, by sleeping."""

    def __init__(self, clock):
        self._clock = clock
        self._due = []

    def set(self, name, at_ms, callback):
        """Keep a timer."""
        self._due.append((at_ms, callback))

    def run_next(self):
        """Wait for the next timer and run it."""
        at_ms, callback = self._due.pop(0)
        time.sleep(max(0, at_ms - self._clock.now_ms()) / 1_000)
        callback()


def check_address(address):
    """Check an address and return the outcome."""
    clock = MonotonicClock()
    timers = SleepingTimers(clock)
    outcomes = []
    ConnectCheck(clock, timers).start(address, outcomes.append)
    assert not outcomes
    deadline = time.monotonic() + WAIT_S
    while not outcomes:
        assert time.monotonic() < deadline
        timers.run_next()
    return outcomes[0]


def listen(backlog=1):
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


def test_listening_address_accepts():
    """Guards against crashes seen where only one connection was reset."""
    sock, address = listen()
    with sock:
        assert check_address(address) is ConnectOutcome.ACCEPTED


def test_closed_address_refuses():
    """Guards against crashes of targets that stay unseen."""
    sock, address = listen()
    sock.close()
    assert check_address(address) is ConnectOutcome.REFUSED


def test_address_without_reply_is_silent():
    """Guards against a cut path or a suspended machine that counts as a crash."""
    sock, address = listen(backlog=0)
    host, port = address.split(":")
    # The queue of the listening socket is full, so that further attempts get no reply.
    waiting = [socket.socket() for _ in range(3)]
    with sock:
        for item in waiting:
            item.setblocking(False)
            item.connect_ex((host, int(port)))
        assert check_address(address) is ConnectOutcome.SILENT
    for item in waiting:
        item.close()
