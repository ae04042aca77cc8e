"""Helpers for the tests of the entry process."""

import socket
import threading
import time
from contextlib import contextmanager

from circuits import BaseComponent

from papayacrank.config import EntrySettings
from papayacrank.kernel import MonotonicClock
from papayacrank.transport import Timers, install_process_handlers

WAIT_S = 5.0


def make_settings(**overrides) -> EntrySettings:
    """Build settings of an entry process that listens on loopback."""
    fields = {
        "instance": "entry-1",
        "failure_domain": "east",
        "listen": "127.0.0.1:0",
        "link": "127.0.0.1:0",
        "control": [{"name": "control-1", "address": "127.0.0.1:9"}],
    }
    return EntrySettings.model_validate(fields | overrides)


@contextmanager
def running(build):
    """Run the components registered by `build(root, clock, timers)` in a thread."""
    clock = MonotonicClock()
    root = BaseComponent()
    install_process_handlers(root)
    timers = Timers(clock).register(root)
    result = build(root, clock, timers)
    thread = threading.Thread(target=root.run, daemon=True)
    thread.start()
    try:
        yield result
    finally:
        root.stop()
        thread.join(WAIT_S)
        assert not thread.is_alive()


def connect(address: str) -> socket.socket:
    """Open a connection."""
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=WAIT_S)


def receive_all(sock: socket.socket) -> bytes:
    """Read until the peer closes the connection."""
    data = b""
    while piece := sock.recv(65_536):
        data += piece
    return data


def exchange(address: str, data: bytes) -> bytes:
    """Send bytes and read until the peer closes the connection."""
    with connect(address) as sock:
        sock.sendall(data)
        return receive_all(sock)


def wait_until(condition, what: str, seconds: float = WAIT_S) -> None:
    """Poll until a condition is true; fail after the given time in seconds."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, f"timed out: {what}"
        time.sleep(0.01)
