"""Tests of targets that read slowly and of streams whose callers do."""

import socket
import threading
import time

import pytest

from papayacrank.entry.tests.support import wait_until
from papayacrank.forwarding import _target_port as port_module
from papayacrank.forwarding._target_call import TargetCall
from papayacrank.testing import ScriptedTarget
from papayacrank.transport import BufferKind, ByteAccount, ByteLimits
from papayacrank.transport import _byte_account as account_module

from .test_target_port import OK, Bench, Collector, request_id_of, submit_call

MB = 1_000_000


class UnreadTarget:
    """Target that accepts connections with a small buffer and reads on request."""

    def __init__(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def accept(self):
        """Return the next connection."""
        sock, _ = self._listener.accept()
        sock.settimeout(5)
        return sock


@pytest.fixture
def build_bench():
    """Return a function that starts a port; it is stopped after the test."""
    benches = []

    def build(soft_bytes, hard_bytes):
        account = ByteAccount(ByteLimits(soft_bytes, hard_bytes))
        bench = Bench(account)
        bench.account = account
        benches.append(bench)
        return bench

    yield build
    for bench in benches:
        bench.stop()


def submit(bench, address, name, body=b"", collector=None, **fields):
    """Send a request and return its call."""
    call = TargetCall(
        address,
        "POST",
        "/x",
        [(b"host", b"h"), (b"id", name.encode())],
        body,
        collector or bench.collector,
        state=name,
        **fields,
    )
    bench.submitter.fire(submit_call(call), "submitter")
    return call


def test_target_that_pauses_gets_a_large_body(build_bench):
    """Guards against failing a sound target that reads nothing for a second."""
    bench, target = build_bench(20 * MB, 30 * MB), UnreadTarget()
    submit(bench, target.address, "a", b"x" * 12 * MB)
    sock = target.accept()
    wait_until(
        lambda: bench.account.total_of(BufferKind.TO_TARGET) > 12 * MB, "counted"
    )
    time.sleep(1)
    received = 0
    while received < 12 * MB:
        received += len(sock.recv(1 << 20))
    sock.sendall(OK % b"a")
    assert bench.collector.outcomes.get(timeout=5) == ("a", "ended", True)
    assert bench.account.total == 0


def test_target_that_stops_reading_is_given_up(build_bench, monkeypatch):
    """Guards against memory that a target holds which reads no more."""
    monkeypatch.setattr(account_module, "MAX_READER_SILENCE_MS", 300)
    bench, target = build_bench(20 * MB, 30 * MB), UnreadTarget()
    submit(bench, target.address, "a", b"x" * 12 * MB)
    sock = target.accept()
    wait_until(lambda: bench.account.total, "counted")
    time.sleep(0.4)
    close_in_loop(bench)
    assert bench.collector.outcomes.get(timeout=5) == ("a", "request_unread", True)
    assert bench.account.total == 0
    sock.close()


def close_in_loop(bench):
    """Run the sweep of the port in its event loop."""
    done = threading.Event()

    def sweep():
        bench.port.close_expired()
        done.set()

    bench.timers.set("test-sweep", bench.clock.now_ms(), sweep)
    # Another event wakes the loop, so that it sees the timer.
    bench.submitter.fire(submit_call(_NoCall(), 0), "submitter")
    assert done.wait(5)


class _NoCall(TargetCall):
    """Call that fails at once, to wake the event loop."""

    def __init__(self):
        super().__init__("127.0.0.1:1", "GET", "/", [], b"", Collector(), 0)
        self.state = "none"


def test_slowest_target_is_given_up_above_the_limit(build_bench):
    """Guards against several targets that do not read and exhaust the memory."""
    bench = build_bench(8 * MB, 14 * MB)
    targets = [UnreadTarget(), UnreadTarget()]
    socks = []
    for name, target in zip("ab", targets, strict=True):
        submit(bench, target.address, name, b"x" * 9 * MB)
        socks.append(target.accept())
        time.sleep(0.3)
    name, code, may_have_run = bench.collector.outcomes.get(timeout=5)
    assert (name, code, may_have_run) == ("a", "request_unread", True)
    assert bench.account.total <= 14 * MB


def test_bytes_outstanding_to_a_target_are_limited(build_bench, monkeypatch):
    """Guards against requests that exhaust the memory of one target."""
    monkeypatch.setattr(port_module, "MAX_TARGET_BYTES", 100_000)
    bench = build_bench(20 * MB, 30 * MB)
    release = threading.Event()

    def script(sock, data, number):
        if b"id: " in data:
            release.wait(5)
            sock.sendall(OK % request_id_of(data))

    target = ScriptedTarget(script)
    submit(bench, target.address, "large", b"x" * 200_000)
    wait_until(lambda: bench.port.open_connections, "sent")
    assert bench.run(target.address, "b", b"x") == ("b", "too_many_bytes", False)
    other = ScriptedTarget(lambda sock, data, n: sock.sendall(OK % request_id_of(data)))
    assert bench.run(other.address, "c", b"x" * 50_000) == ("c", "ended", True)
    release.set()
    assert bench.collector.outcomes.get(timeout=5) == ("large", "ended", True)
    assert bench.run(target.address, "d", b"x" * 50_000) == ("d", "ended", True)


def test_stream_of_a_slow_caller_is_read_slowly_but_read(build_bench):
    """Guards against a stream that fills the memory, or that its target cuts off."""
    bench = build_bench(100_000, 30 * MB)
    unsent = [0]
    sent = []

    def script(sock, data, number):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
        head = b"HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 4000000\r\n\r\n"
        sock.sendall(head)
        for _ in range(400):
            sock.sendall(b"x" * 10_000)
            sent.append(time.monotonic())

    target = ScriptedTarget(script)
    unsent[0] = 50 * MB
    submit(bench, target.address, "a", unsent_bytes=lambda: unsent[0])
    wait_until(lambda: len(bench.collector.bodies.get("a", b"")) > 100_000, "begun")
    # One read of each half second is continued, so that the target sees progress.
    before, began = len(bench.collector.bodies["a"]), time.monotonic()
    wait_until(lambda: len(bench.collector.bodies["a"]) > before, "read goes on")
    wait_until(lambda: time.monotonic() - began > 1.3, "two pauses")
    assert 0 < len(bench.collector.bodies["a"]) - before <= 6 * 65_536
    unsent[0] = 0
    assert bench.collector.outcomes.get(timeout=5) == ("a", "ended", True)
    assert len(bench.collector.bodies["a"]) == 4 * MB
