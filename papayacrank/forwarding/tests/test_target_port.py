"""Tests of the connections to targets against a scripted server."""

import queue
import socket
import struct
import threading
import time

import pytest
from circuits import BaseComponent, Event, handler
from hypothesis import given
from structlog.testing import capture_logs

from papayacrank.forwarding import _target_port as port_module
from papayacrank.forwarding._target_port import CallListener, TargetCall, TargetPort
from papayacrank.kernel import MonotonicClock
from papayacrank.testing import ScriptedTarget, build_endless_script
from papayacrank.transport import Timers, install_process_handlers
from papayacrank.transport.tests.http_messages import (
    ANSWERS,
    WITH_ONE_PORT,
    damaged_messages,
)

OK = b"HTTP/1.1 200 OK\r\nid: %s\r\nContent-Length: 2\r\n\r\nok"
RESET = struct.pack("ii", 1, 0)


class Collector(CallListener):
    """Collects how calls end; answers must carry the id of the call."""

    def __init__(self):
        self.outcomes = queue.Queue()
        self.bodies = {}

    def is_answer(self, call, status, headers):
        """Compare the ids."""
        known = dict(headers).get(b"id")
        return known is None or known.decode("latin-1") == call.state

    def on_answer(self, call, status, headers):
        """Begin a body."""
        self.bodies[call.state] = b""

    def on_data(self, call, data):
        """Collect a piece."""
        self.bodies[call.state] += data

    def on_ended(self, call):
        """Note a complete answer."""
        self.outcomes.put((call.state, "ended", True))

    def on_failed(self, call, failure):
        """Note a failure."""
        self.outcomes.put((call.state, failure.code, failure.may_have_run))


class submit_call(Event):  # noqa: N801 - circuits events are lower case
    """Send a request, within the loop: ``submit_call(call)``."""


class Submitter(BaseComponent):
    """Hands calls of the test's thread to the port."""

    channel = "submitter"

    def __init__(self, port):
        super().__init__()
        self._port = port

    @handler("submit_call")
    def _on_submit_call(self, call):
        self._port.submit(call)


class Bench:
    """Port in a thread of its own."""

    def __init__(self):
        self.root = BaseComponent()
        install_process_handlers(self.root)
        clock = MonotonicClock()
        self.timers = Timers(clock).register(self.root)
        self.port = TargetPort(clock, self.timers).register(self.root)
        self.submitter = Submitter(self.port).register(self.root)
        self.collector = Collector()
        self.clock = clock
        self.thread = threading.Thread(target=self.root.run, daemon=True)
        self.thread.start()
        time.sleep(0.2)

    def run(self, address, request_id, body=b"", method="POST", **fields):
        """Send a request and return how it ended."""
        call = TargetCall(
            address,
            method,
            "/x",
            [(b"host", b"h"), (b"id", request_id.encode())],
            body,
            self.collector,
            state=request_id,
            **fields,
        )
        self.submitter.fire(submit_call(call), "submitter")
        return self.collector.outcomes.get(timeout=10)

    def stop(self):
        """Stop the thread."""
        self.root.stop()
        self.thread.join(5)


@pytest.fixture
def bench():
    """Return a running port."""
    running = Bench()
    yield running
    running.stop()


def request_id_of(data):
    """Return the id of a request."""
    return data.split(b"id: ")[1].split(b"\r\n")[0]


def test_connection_is_reused_after_a_whole_answer(bench):
    """Guards against a new connection for each request."""
    target = ScriptedTarget(
        lambda sock, data, n: sock.sendall(OK % request_id_of(data))
    )
    for name in ("a", "b", "c"):
        assert bench.run(target.address, name) == (name, "ended", True)
    assert target.connections == 1


def test_late_answer_to_an_earlier_request_is_skipped(bench):
    """Guards against crossed answers on a kept connection."""

    def script(sock, data, number):
        if number == 2:
            sock.sendall(OK % b"a")
            time.sleep(0.05)
        sock.sendall(OK % request_id_of(data))

    target = ScriptedTarget(script)
    bench.run(target.address, "a")
    assert bench.run(target.address, "b") == ("b", "ended", True)
    assert bench.collector.bodies["b"] == b"ok"


def test_connection_with_extra_bytes_is_not_reused(bench):
    """Guards against extra bytes that are taken for the next answer."""

    def script(sock, data, number):
        sock.sendall(OK % request_id_of(data) + OK % request_id_of(data))

    target = ScriptedTarget(script)
    for name in ("a", "b"):
        assert bench.run(target.address, name) == (name, "ended", True)
    assert target.connections == 2


def test_answer_without_length_ends_with_its_connection(bench):
    """Guards against an unframed answer that is lost or waits for ever."""

    def script(sock, data, number):
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: a\r\n\r\nwhole")
        sock.close()

    target = ScriptedTarget(script)
    assert bench.run(target.address, "a") == ("a", "ended", True)
    assert bench.collector.bodies["a"] == b"whole"


def test_answer_without_length_that_is_reset_is_not_complete(bench):
    """Guards against a cut answer that is passed on as whole."""

    def script(sock, data, number):
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: a\r\n\r\npart")
        time.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()

    target = ScriptedTarget(script)
    assert bench.run(target.address, "a") == ("a", "connection_lost", True)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 50\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"no answer at all\r\n\r\n",
    ],
)
def test_truncated_and_malformed_answers_fail(bench, answer):
    """Guards against spoiled answers that reach a caller."""

    def script(sock, data, number):
        sock.sendall(answer)
        sock.close()

    target = ScriptedTarget(script)
    name, code, may_have_run = bench.run(target.address, "a")
    assert code in ("malformed_answer", "connection_lost")
    assert may_have_run


def test_early_answer_ends_the_connection(bench):
    """Guards against the rest of a body that is read as the next request."""

    def script(sock, data, number):
        if number == 1:
            sock.sendall(OK % b"a")
            time.sleep(1)

    target = ScriptedTarget(script)
    body = b"x" * 8_000_000
    assert bench.run(target.address, "a", body) == ("a", "ended", True)
    assert bench.port.open_connections == 0


def test_refused_connection_has_certainly_not_run(bench):
    """Guards against an action that counts as possibly run without being sent."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        host, port = bound.getsockname()
        outcome = bench.run(f"{host}:{port}", "a")
    assert outcome == ("a", "connect_failed", False)


def test_connection_that_the_target_closed_is_not_used_again(bench):
    """Guards against a request that is lost on a connection at its end."""

    def script(sock, data, number):
        sock.sendall(OK % request_id_of(data))
        sock.close()

    target = ScriptedTarget(script)
    assert bench.run(target.address, "a")[1] == "ended"
    time.sleep(0.1)
    assert bench.run(target.address, "b") == ("b", "ended", True)


def test_announced_idle_time_is_kept(bench):
    """Guards against requests on a connection that the target is about to close."""

    def script(sock, data, number):
        head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nid: %s\r\n"
        sock.sendall(head % request_id_of(data) + b"Content-Length: 0\r\n\r\n")

    target = ScriptedTarget(script)
    bench.run(target.address, "a")
    time.sleep(0.7)
    bench.run(target.address, "b")
    assert target.connections == 2


# Bytes without end

CHUNKED = b"HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n"
EARLIER = CHUNKED.replace(b"id: a", b"id: earlier")


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
        (b"HTTP/1.1 200 OK\r\nx: ", b"y" * 1_000),
        (b"", b"\x00" * 1_000),
        (CHUNKED, b"ffff\r\n" + b"x" * 65_535 + b"\r\n"),
        (CHUNKED, b"1\r\nx\r\n" * 100),
        (CHUNKED + b"5;", b"x" * 1_000),
        (CHUNKED + b"0\r\n", b"x: y\r\n"),
        (b"HTTP/1.1 200 OK\r\nid: a\r\n\r\n", b"x" * 10_000),
        (EARLIER, b"ffff\r\n" + b"x" * 65_535 + b"\r\n"),
        (EARLIER, b"1\r\nx\r\n" * 100),
        (b"", b"HTTP/1.1 200 OK\r\nid: earlier\r\nContent-Length: 2\r\n\r\nok"),
    ],
)
def test_answer_without_end_is_ended(bench, first, piece):
    """Guards against memory and time that one target takes until its deadline."""
    target = ScriptedTarget(build_endless_script(first, piece))
    name, code, may_have_run = bench.run(target.address, "a", is_collected=True)
    assert code in ("malformed_answer", "answer_too_large", "connection_lost")
    assert may_have_run
    assert bench.port.open_connections == 0
    assert len(bench.collector.bodies.get("a", b"")) <= 4 * 1024 * 1024


def test_head_that_drips_is_ended(bench, monkeypatch):
    """Guards against a head of a byte now and then that never ends."""
    monkeypatch.setattr(port_module, "HEAD_TIMEOUT_MS", 300)
    target = ScriptedTarget(build_endless_script(b"HTTP/1.1 200 OK\r\nx: ", b"y", 0.05))
    assert bench.run(target.address, "a") == ("a", "answer_too_large", True)


def test_whole_head_is_waited_for(bench, monkeypatch):
    """Guards against a slow target that is cut although its head comes at once."""
    monkeypatch.setattr(port_module, "HEAD_TIMEOUT_MS", 300)

    def script(sock, data, number):
        time.sleep(0.6)
        sock.sendall(OK % b"a")

    assert bench.run(ScriptedTarget(script).address, "a") == ("a", "ended", True)


def test_many_small_pieces_leave_time_for_others(bench):
    """Guards against one target whose pieces take the loop from all others."""
    flood = ScriptedTarget(build_endless_script(CHUNKED, b"1\r\nx\r\n" * 5_000))
    sound = ScriptedTarget(lambda sock, data, n: sock.sendall(OK % request_id_of(data)))
    calls = [
        TargetCall(
            flood.address, "GET", "/", [(b"host", b"h")], b"", Collector(), state="a"
        )
        for _ in range(4)
    ]
    for call in calls:
        bench.submitter.fire(submit_call(call), "submitter")
    slowest = 0.0
    for number in range(40):
        began = time.monotonic()
        assert bench.run(sound.address, f"s{number}")[1] == "ended"
        slowest = max(slowest, time.monotonic() - began)
    assert slowest < 0.25


def test_open_answers_together_are_bounded(bench, monkeypatch):
    """Guards against an instance that runs out of memory by many large answers."""
    monkeypatch.setattr(port_module, "MAX_COLLECTED_BYTES", 100_000)
    release = threading.Event()

    def script(sock, data, number):
        head = b"HTTP/1.1 200 OK\r\nid: %s\r\nContent-Length: 60000\r\n\r\n"
        sock.sendall(head % request_id_of(data) + b"x" * 59_999)
        release.wait(5)
        sock.sendall(b"x")

    target = ScriptedTarget(script)
    first = TargetCall(
        target.address,
        "GET",
        "/",
        [(b"host", b"h"), (b"id", b"a")],
        b"",
        bench.collector,
        is_collected=True,
        state="a",
    )
    bench.submitter.fire(submit_call(first), "submitter")
    time.sleep(0.3)
    outcome = bench.run(target.address, "b", is_collected=True)
    assert outcome == ("b", "answer_too_large", True)
    release.set()
    assert bench.collector.outcomes.get(timeout=5) == ("a", "ended", True)
    assert bench.run(target.address, "c", is_collected=True) == ("c", "ended", True)


def test_second_sending_does_not_use_the_connection_of_the_first(bench):
    """Guards against a late copy of the first answer that is taken for the second."""
    target = ScriptedTarget(
        lambda sock, data, n: sock.sendall(OK % request_id_of(data))
    )
    assert bench.run(target.address, "a")[1] == "ended"
    assert bench.run(target.address, "a", needs_new_connection=True)[1] == "ended"
    assert target.connections == 2


@WITH_ONE_PORT
@given(pieces=damaged_messages(ANSWERS))
def test_damaged_answer_ends_its_request_once(bench, pieces):
    """Guards against answers that stop the loop, end twice or deny a run."""

    def script(sock, data, number):
        for piece in pieces:
            sock.sendall(piece)
        sock.close()

    target = ScriptedTarget(script)
    with capture_logs() as events:
        _, code, may_have_run = bench.run(target.address, "r")
    assert may_have_run
    assert bench.collector.outcomes.empty()
    assert not [e for e in events if e["event"] == "handler_failed"], code
