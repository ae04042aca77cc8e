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
from papayacrank.forwarding._target_call import CallListener, StartCheck, TargetCall
from papayacrank.forwarding._target_port import TargetPort
from papayacrank.kernel import MonotonicClock
from papayacrank.testing import ScriptedTarget, build_endless_script
from papayacrank.transport import Timers, install_process_handlers
from papayacrank.transport._connection import RECEIVE_BYTES
from papayacrank.transport.tests.http_messages import (
    RESPONSES,
    SHARED_PORT_SETTINGS,
    corrupted_messages,
)

OK = b"HTTP/1.1 200 OK\r\nid: %s\r\nContent-Length: 2\r\n\r\nok"
RESET = struct.pack("ii", 1, 0)


class Collector(CallListener):
    """Records the outcome of calls; a response id, if any, must match the call."""

    def __init__(self):
        self.outcomes = queue.Queue()
        self.bodies = {}

    def matches_call(self, call, status, headers):
        """Compare the id of the response with that of the call."""
        known = dict(headers).get(b"id")
        return known is None or known.decode("latin-1") == call.state

    def on_response(self, call, status, headers):
        """Start an empty body."""
        self.bodies[call.state] = b""

    def on_data(self, call, data):
        """Append a chunk to the body."""
        self.bodies[call.state] += data

    def on_ended(self, call):
        """Record a complete response."""
        self.outcomes.put((call.state, "ended", True))

    def on_failed(self, call, failure):
        """Record a failure."""
        self.outcomes.put((call.state, failure.code, failure.may_have_run))


class submit_call(Event):  # noqa: N801 - circuits events are lower case
    """Submit a call within the event loop: ``submit_call(call, stall_s)``."""


class Submitter(BaseComponent):
    """Passes calls from the thread of the test to the port."""

    channel = "submitter"

    def __init__(self, port):
        super().__init__()
        self._port = port

    @handler("submit_call")
    def _on_submit_call(self, call, stall_s=0.0):
        self._port.submit(call)
        time.sleep(stall_s)


class Bench:
    """Port that runs in its own thread."""

    def __init__(self, account=None):
        self.root = BaseComponent()
        install_process_handlers(self.root)
        clock = MonotonicClock()
        self.timers = Timers(clock).register(self.root)
        self.port = TargetPort(clock, self.timers, account).register(self.root)
        self.submitter = Submitter(self.port).register(self.root)
        self.collector = Collector()
        self.clock = clock
        self.thread = threading.Thread(target=self.root.run, daemon=True)
        self.thread.start()
        time.sleep(0.2)

    def run(self, address, request_id, body=b"", method="POST", stall_s=0.0, **fields):
        """Send a request and return its outcome; the event loop may stall after it."""
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
        self.submitter.fire(submit_call(call, stall_s), "submitter")
        return self.collector.outcomes.get(timeout=10)

    def stop(self):
        """Stop the event loop and join its thread."""
        self.root.stop()
        self.thread.join(5)


@pytest.fixture
def bench():
    """Return a running port."""
    running = Bench()
    yield running
    running.stop()


def request_id_of(data):
    """Return the id in the head of a request."""
    return data.split(b"id: ")[1].split(b"\r\n")[0]


def test_connection_is_reused_after_a_complete_response(bench):
    """Guards against opening a new connection for each request."""
    target = ScriptedTarget(
        lambda sock, data, n: sock.sendall(OK % request_id_of(data))
    )
    for name in ("a", "b", "c"):
        assert bench.run(target.address, name) == (name, "ended", True)
    assert target.connections == 1


@pytest.mark.parametrize("is_kept", [False, True])
def test_request_with_an_expired_permit_is_not_sent(bench, is_kept):
    """Guards against a request that a suspended process sends after its time."""
    received = []

    def script(sock, data, number):
        received.append(request_id_of(data))
        sock.sendall(OK % received[-1])

    target = ScriptedTarget(script)
    if is_kept:
        bench.run(target.address, "a")
    limit_ms = bench.clock.now_ms()
    outcome = bench.run(target.address, "b", send_before_ms=limit_ms)
    assert outcome == ("b", "permit_expired", False)
    assert bench.run(target.address, "c") == ("c", "ended", True)
    assert b"b" not in received


def test_connection_that_was_established_during_a_stall_is_used(bench):
    """Guards against sound targets that seem unreachable to a stalled process."""
    target = ScriptedTarget(
        lambda sock, data, n: sock.sendall(OK % request_id_of(data))
    )
    stall_s = 2 * port_module.CONNECT_TIMEOUT_MS / 1_000
    assert bench.run(target.address, "a", stall_s=stall_s) == ("a", "ended", True)
    assert target.connections == 1


def test_late_response_to_an_earlier_request_is_skipped(bench):
    """Guards against a response to an earlier request on a reused connection."""

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
    """Guards against extra bytes that are parsed as the next response."""

    def script(sock, data, number):
        sock.sendall(OK % request_id_of(data) + OK % request_id_of(data))

    target = ScriptedTarget(script)
    for name in ("a", "b"):
        assert bench.run(target.address, name) == (name, "ended", True)
    assert target.connections == 2


def test_response_without_length_ends_with_its_connection(bench):
    """Guards against a response without a length that is lost or never ends."""

    def script(sock, data, number):
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: a\r\n\r\nwhole")
        sock.close()

    target = ScriptedTarget(script)
    assert bench.run(target.address, "a") == ("a", "ended", True)
    assert bench.collector.bodies["a"] == b"whole"


def test_response_without_length_is_incomplete_after_a_reset(bench):
    """Guards against a truncated response that is forwarded as complete."""

    def script(sock, data, number):
        sock.sendall(b"HTTP/1.1 200 OK\r\nid: a\r\n\r\npart")
        time.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()

    target = ScriptedTarget(script)
    assert bench.run(target.address, "a") == ("a", "connection_lost", True)


def test_response_without_length_is_incomplete_if_sending_fails(bench):
    """Guards against a reset that the failed sending of the request hides."""

    def script(sock, data, number):
        if number == 1:
            time.sleep(0.05)
            sock.sendall(b"HTTP/1.1 200 OK\r\nid: a\r\n\r\npart")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()

    for _ in range(20):
        target = ScriptedTarget(script)
        outcome = bench.run(target.address, "a", b"x" * 8_000_000)
        assert outcome == ("a", "connection_lost", True)


def test_request_that_was_sent_in_part_may_have_run(bench):
    """Guards against "not run" for a request whose sending fails midway."""

    def script(sock, data, number):
        if number == 1:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()

    for _ in range(20):
        target = ScriptedTarget(script)
        outcome = bench.run(target.address, "a", b"x" * 8_000_000)
        assert outcome == ("a", "connection_lost", True)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 50\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"no answer at all\r\n\r\n",
    ],
)
def test_truncated_and_malformed_responses_fail(bench, response):
    """Guards against corrupted responses that reach a caller."""

    def script(sock, data, number):
        sock.sendall(response)
        sock.close()

    target = ScriptedTarget(script)
    name, code, may_have_run = bench.run(target.address, "a")
    assert code in ("malformed_answer", "connection_lost")
    assert may_have_run


def test_early_response_closes_the_connection(bench):
    """Guards against the rest of a request body that is read as the next request."""

    def script(sock, data, number):
        if number == 1:
            sock.sendall(OK % b"a")
            time.sleep(1)

    target = ScriptedTarget(script)
    body = b"x" * 8_000_000
    assert bench.run(target.address, "a", body) == ("a", "ended", True)
    assert bench.port.open_connections == 0


def test_refused_connection_is_reported_as_not_run(bench):
    """Guards against a may-have-run verdict for a request that was never sent."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        host, port = bound.getsockname()
        outcome = bench.run(f"{host}:{port}", "a")
    assert outcome == ("a", "connect_failed", False)


def test_connection_closed_by_the_target_is_not_reused(bench):
    """Guards against a request that is lost on a connection being closed."""

    def script(sock, data, number):
        sock.sendall(OK % request_id_of(data))
        sock.close()

    target = ScriptedTarget(script)
    assert bench.run(target.address, "a")[1] == "ended"
    time.sleep(0.1)
    assert bench.run(target.address, "b") == ("b", "ended", True)


def test_announced_idle_timeout_is_respected(bench):
    """Guards against requests on a connection that the target is about to close."""

    def script(sock, data, number):
        head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nid: %s\r\n"
        sock.sendall(head % request_id_of(data) + b"Content-Length: 0\r\n\r\n")

    target = ScriptedTarget(script)
    bench.run(target.address, "a")
    time.sleep(0.7)
    bench.run(target.address, "b")
    assert target.connections == 2


# Checks of the start time

START = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"


def serve_start(started_ms):
    """Return a script that states a start time and serves other requests."""

    def script(sock, data, number):
        if data.startswith(b"GET /start"):
            sock.sendall(START % (len(started_ms), started_ms))
        else:
            sock.sendall(OK % request_id_of(data))

    return script


def build_start_check(started_ms=7):
    """Return a check of a target."""
    headers = [(b"host", b"h")]
    return StartCheck("t", started_ms, "GET", "/start", headers, lambda s, b: int(b))


def test_each_connection_is_checked_once(bench):
    """Guards against requests to a process that took over the name of a target."""
    target = ScriptedTarget(serve_start(b"7"))
    for request_id in ("a", "b"):
        outcome = bench.run(target.address, request_id, start_check=build_start_check())
        assert outcome == (request_id, "ended", True)
    assert (target.connections, len(target.requests)) == (1, 3)


def test_call_is_not_sent_to_another_start_of_a_target(bench):
    """Guards against a stream that goes on at a target with another release."""
    target = ScriptedTarget(serve_start(b"8"))
    outcome = bench.run(target.address, "a", start_check=build_start_check())
    assert outcome == ("a", "other_start", False)
    assert all(data.startswith(b"GET /start") for data in target.requests)


@pytest.mark.parametrize("response", [b"", b"no response\r\n\r\n"])
def test_call_is_not_sent_after_a_check_without_a_response(bench, response):
    """Guards against a request that is sent although nothing is known."""

    def script(sock, data, number):
        sock.sendall(response)
        sock.close()

    target = ScriptedTarget(script)
    name, code, may_have_run = bench.run(
        target.address, "a", start_check=build_start_check()
    )
    assert code in ("connection_lost", "malformed_answer")
    assert not may_have_run


# Endless responses

CHUNKED = b"HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n"
EARLIER = CHUNKED.replace(b"id: a", b"id: earlier")


@pytest.mark.parametrize(
    ("first", "chunk"),
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
def test_endless_response_is_ended(bench, first, chunk):
    """Guards against a target that uses memory and time until the deadline."""
    target = ScriptedTarget(build_endless_script(first, chunk))
    name, code, may_have_run = bench.run(target.address, "a", is_buffered=True)
    assert code in ("malformed_answer", "answer_too_large", "connection_lost")
    assert may_have_run
    assert bench.port.open_connections == 0
    assert len(bench.collector.bodies.get("a", b"")) <= 4 * 1024 * 1024


def test_slowly_sent_head_times_out(bench, monkeypatch):
    """Guards against a head sent byte by byte that never ends."""
    monkeypatch.setattr(port_module, "HEAD_TIMEOUT_MS", 300)
    target = ScriptedTarget(build_endless_script(b"HTTP/1.1 200 OK\r\nx: ", b"y", 0.05))
    assert bench.run(target.address, "a") == ("a", "answer_too_large", True)


def test_head_timeout_does_not_cover_the_wait_for_the_head(bench, monkeypatch):
    """Guards against a timeout for a slow target that then sends its head at once."""
    monkeypatch.setattr(port_module, "HEAD_TIMEOUT_MS", 300)

    def script(sock, data, number):
        time.sleep(0.6)
        sock.sendall(OK % b"a")

    assert bench.run(ScriptedTarget(script).address, "a") == ("a", "ended", True)


def test_many_small_chunks_do_not_delay_other_connections(bench):
    """Guards against a target whose many small chunks block the event loop."""
    flooding = ScriptedTarget(build_endless_script(CHUNKED, b"1\r\nx\r\n" * 5_000))
    responsive = ScriptedTarget(
        lambda sock, data, n: sock.sendall(OK % request_id_of(data))
    )
    calls = [
        TargetCall(
            flooding.address, "GET", "/", [(b"host", b"h")], b"", Collector(), state="a"
        )
        for _ in range(4)
    ]
    for call in calls:
        bench.submitter.fire(submit_call(call), "submitter")
    slowest = 0.0
    for number in range(40):
        began = time.monotonic()
        assert bench.run(responsive.address, f"s{number}")[1] == "ended"
        slowest = max(slowest, time.monotonic() - began)
    assert slowest < 0.25


def test_total_size_of_buffered_responses_is_limited(bench, monkeypatch):
    """Guards against memory exhaustion by many large responses at the same time."""
    monkeypatch.setattr(port_module, "MAX_HELD_BYTES", 100_000)
    release = threading.Event()
    sizes = {b"a": 40_000, b"b": 70_000, b"c": 50_000}

    def script(sock, data, number):
        request_id = request_id_of(data)
        head = b"HTTP/1.1 200 OK\r\nid: %s\r\nContent-Length: %d\r\n\r\n"
        size = sizes[request_id]
        sock.sendall(head % (request_id, size) + b"x" * (size - 1))
        release.wait(5)
        sock.sendall(b"x")

    target = ScriptedTarget(script)
    first = build_call(target.address, "a", bench.collector)
    bench.submitter.fire(submit_call(first), "submitter")
    time.sleep(0.3)
    outcome = bench.run(target.address, "b", is_buffered=True)
    assert outcome == ("b", "answer_too_large", True)
    release.set()
    assert bench.collector.outcomes.get(timeout=5) == ("a", "ended", True)
    assert bench.run(target.address, "c", is_buffered=True) == ("c", "ended", True)
    assert bench.port.held_bytes == 0


def build_call(address, request_id, collector):
    """Return a call whose body is buffered."""
    return TargetCall(
        address,
        "GET",
        "/",
        [(b"host", b"h"), (b"id", request_id.encode())],
        b"",
        collector,
        is_buffered=True,
        state=request_id,
    )


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\nx: ", b"y" * 3_000),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"y" * 20_000),
        (CHUNKED.replace(b"id: a\r\n", b"") + b"5;", b"y" * 3_000),
    ],
)
def test_many_endless_responses_end_before_a_sound_one(
    bench, monkeypatch, first, piece
):
    """Guards against targets that exhaust memory together, or end sound responses."""
    limit = 600_000
    monkeypatch.setattr(port_module, "MAX_HELD_BYTES", limit)
    endless = ScriptedTarget(build_endless_script(first, piece, 0.02))
    release = threading.Event()

    def serve(sock, data, number):
        head = b"HTTP/1.1 200 OK\r\nid: %s\r\nContent-Length: 9000\r\n\r\n"
        sock.sendall(head % request_id_of(data) + b"x" * 8_999)
        release.wait(10)
        sock.sendall(b"x")

    sound = ScriptedTarget(serve)
    others = Collector()
    for number in range(4):
        call = build_call(sound.address, f"sound{number}", bench.collector)
        bench.submitter.fire(submit_call(call), "submitter")
    for number in range(40):
        call = build_call(endless.address, f"endless{number}", others)
        bench.submitter.fire(submit_call(call), "submitter")
    largest = 0
    ends_s = time.monotonic() + 1.5
    while time.monotonic() < ends_s:
        largest = max(largest, bench.port.held_bytes)
        time.sleep(0.002)
    release.set()
    outcomes = sorted(bench.collector.outcomes.get(timeout=5) for _ in range(4))
    assert outcomes == [(f"sound{n}", "ended", True) for n in range(4)]
    assert largest <= limit + RECEIVE_BYTES
    ended = [others.outcomes.get(timeout=5) for _ in range(others.outcomes.qsize())]
    assert ended and {code for _, code, _ in ended} <= {
        "answer_too_large",
        "malformed_answer",
    }


def test_second_attempt_does_not_reuse_the_connection_of_the_first(bench):
    """Guards against a late first response that is taken for the second."""
    target = ScriptedTarget(
        lambda sock, data, n: sock.sendall(OK % request_id_of(data))
    )
    assert bench.run(target.address, "a")[1] == "ended"
    assert bench.run(target.address, "a", needs_new_connection=True)[1] == "ended"
    assert target.connections == 2


@SHARED_PORT_SETTINGS
@given(chunks=corrupted_messages(RESPONSES))
def test_damaged_response_ends_its_request_once(bench, chunks):
    """Guards against an exception, two outcomes, or a not-run verdict after a run."""

    def script(sock, data, number):
        for chunk in chunks:
            sock.sendall(chunk)
        sock.close()

    target = ScriptedTarget(script)
    with capture_logs() as events:
        _, code, may_have_run = bench.run(target.address, "r")
    assert may_have_run
    assert bench.collector.outcomes.empty()
    assert not [e for e in events if e["event"] == "handler_failed"], code
