"""Tests of the check of a target's address against real sockets."""

import queue
import socket
import threading

import pytest
from circuits import BaseComponent, Event, handler

from papayacrank.kernel import MonotonicClock
from papayacrank.quarantine import ConnectionCheck
from papayacrank.quarantine._address_check import CHECK_DELAYS_MS
from papayacrank.transport import Timers, install_process_handlers

TIMEOUT_S = 5


class start_check(Event):  # noqa: N801 - circuits events are lower case
    """Start a check within the event loop: ``start_check(address)``."""


class Checker(BaseComponent):
    """Event loop with a check."""

    channel = "checker"

    def __init__(self):
        super().__init__()
        install_process_handlers(self)
        clock = MonotonicClock()
        timers = Timers(clock).register(self)
        self._check = ConnectionCheck(clock, timers)
        self.results = queue.Queue()

    @handler("start_check")
    def _on_start_check(self, address):
        self._check.start(address, self.results.put)


@pytest.fixture
def checker():
    """Return a running event loop with a check."""
    checker = Checker()
    thread = threading.Thread(target=checker.run, daemon=True)
    thread.start()
    yield checker
    checker.stop()
    thread.join(TIMEOUT_S)


def check(checker, address):
    """Return the result of a check."""
    checker.fire(start_check(address), "checker")
    return checker.results.get(timeout=TIMEOUT_S)


def test_address_without_a_listener_has_refused(checker):
    """Guards against crashes that are not noticed."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    assert check(checker, address)


def test_address_that_accepts_has_not_refused_and_is_left_again(checker):
    """Guards against parts that are blamed for one reset connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        assert not check(checker, address)
        for _ in CHECK_DELAYS_MS:
            connection, _ = server.accept()
            connection.settimeout(TIMEOUT_S)
            assert connection.recv(1) == b""
            connection.close()
        server.settimeout(0.1)
        with pytest.raises(TimeoutError):
            server.accept()


@pytest.mark.parametrize("close_s", [0.1, 0.5, 0.8])
def test_socket_that_closes_later_has_refused(checker, close_s):
    """Guards against crashes unseen because the listening socket is closed last."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        timer = threading.Timer(close_s, server.close)
        timer.start()
        assert check(checker, address)
        timer.join()


def test_silent_address_has_not_refused(checker):
    """Guards against parts that are blamed for a cut link or a frozen target."""
    with socket.socket() as server, socket.socket() as first, socket.socket() as second:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        address = server.getsockname()
        # The queue of the listener is full, so further handshakes get no answer.
        for sock in (first, second):
            sock.setblocking(False)
            sock.connect_ex(address)
        assert not check(checker, f"127.0.0.1:{address[1]}")
