"""Tests of the HTTP front end over real sockets."""

import socket
import time
from contextlib import suppress

import pytest
from circuits import BaseComponent, handler

from papayacrank.entry._front_end import FrontEnd
from papayacrank.transport import CallerServer

from .support import connect, exchange, make_settings, receive_all, running, wait_until

GET = b"GET /%s HTTP/1.1\r\nHost: h\r\nConnection: %s\r\n\r\n"
STREAM_PIECE = b"x" * 65_536


class Echo(BaseComponent):
    """Answers with the path; streams without end on /stream; holds /hold."""

    channel = "web"

    def __init__(self):
        super().__init__()
        self.left = []
        self.held = []
        self.written_bytes = 0
        self.stalled = 0

    @handler("caller_request")
    def _on_caller_request(self, opened):
        if opened.request.path == "/stream":
            opened.start_stream()
            self._on_caller_ready(opened)
        elif opened.request.path == "/hold":
            self.held.append(opened)
        else:
            body = opened.request.path.encode() + b"|" + opened.request.body
            opened.respond(200, [("Content-Type", "text/plain")], body)

    @handler("caller_ready")
    def _on_caller_ready(self, opened):
        while opened.is_open and not opened.is_blocked:
            opened.write(STREAM_PIECE)
            self.written_bytes += len(STREAM_PIECE)
        self.stalled += 1

    @handler("caller_left")
    def _on_caller_left(self, opened):
        self.left.append(opened)


@pytest.fixture
def served(request):
    """Run a front end with short timings; yields (front end, echo)."""
    settings = make_settings(
        timings={"body_timeout_ms": 300, "slow_reader_timeout_ms": 500},
        limits={"max_header_bytes": 1024, "max_body_bytes": 4096, "max_connections": 8},
    )

    def build(root, clock, timers):
        echo = Echo().register(root)
        return FrontEnd(settings, clock, timers).register(root), echo

    with running(build) as parts:
        yield parts


def assert_serves(front_end) -> None:
    response = exchange(front_end.address, GET % (b"ok", b"close"))
    assert response.startswith(b"HTTP/1.1 200 ") and response.endswith(b"/ok|")


def test_answers_pipelined_requests_in_order(served):
    """Guards against lost or reordered answers on one connection."""
    front_end, _ = served
    data = (GET % (b"a", b"keep-alive")) + (GET % (b"b", b"close"))
    response = exchange(front_end.address, data)
    assert response.index(b"/a|") < response.index(b"/b|")


def test_echoes_the_request_id_and_generates_missing_ones(served):
    """Guards against answers that cannot be matched with requests."""
    front_end, _ = served
    data = b"GET /a HTTP/1.0\r\nX-Request-Id: %s\r\n\r\n"
    assert b"X-Request-Id: mine-1\r\n" in exchange(front_end.address, data % b"mine-1")
    assert b"X-Request-Id: entry-1-0-2\r\n" in exchange(front_end.address, data % b"!")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2_000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhalf", 408),
        (b"POST / HTTP/1.1\r\nHos", 408),
        (b"nonsense\r\n\r\n", 400),
    ],
)
def test_refuses_bad_input_and_goes_on_serving(served, data, status):
    """Guards against bad input that is not answered or disturbs others."""
    front_end, _ = served
    response = exchange(front_end.address, data)
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert b"Papayacrank-Verdict: not-run" in response
    assert_serves(front_end)


def test_large_body_does_not_cost_the_answer(served):
    """Guards against a reset that discards the 413 answer."""
    front_end, _ = served
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
    assert exchange(front_end.address, head + b"x" * 900_000).startswith(
        b"HTTP/1.1 413 "
    )


def test_asks_for_the_body_when_the_caller_expects_it(served):
    """Guards against callers that wait in vain for 100 Continue."""
    front_end, _ = served
    head = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
    with connect(front_end.address) as sock:
        sock.sendall(head + b"Expect: 100-continue\r\nConnection: close\r\n\r\n")
        assert sock.recv(1_000).startswith(b"HTTP/1.1 100 ")
        sock.sendall(b"ab")
        assert receive_all(sock).endswith(b"/b|ab")


def test_connections_are_bounded(served):
    """Guards against unbounded connections."""
    front_end, _ = served
    held = [connect(front_end.address) for _ in range(8)]
    wait_until(lambda: front_end.connection_count == 8, "connections")
    assert exchange(front_end.address, b"").startswith(b"HTTP/1.1 503 ")
    for sock in held:
        sock.close()
    wait_until(lambda: front_end.connection_count == 0, "connections closed")
    assert_serves(front_end)


def test_slow_reader_is_held_back_in_bounded_memory_and_then_cut(served):
    """Guards against buffering a stream without bound for a slow reader."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.sendall(GET % (b"stream", b"close"))
        wait_until(lambda: echo.stalled, "stalled")
        assert_serves(front_end)
        assert echo.written_bytes < 16 * 1024 * 1024
        wait_until(lambda: echo.left, "slow reader cut")
    assert_serves(front_end)


def test_reader_that_catches_up_gets_more(served):
    """Guards against a stream that stays paused."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.sendall(GET % (b"stream", b"close"))
        wait_until(lambda: echo.stalled, "stalled")
        left_bytes = echo.written_bytes + len(STREAM_PIECE)
        while left_bytes > 0:
            piece = sock.recv(65_536)
            assert piece, "the connection was closed early"
            left_bytes -= len(piece)
        wait_until(lambda: echo.stalled > 1, "continued")
    wait_until(lambda: echo.left, "caller left")


def test_reports_callers_who_leave(served):
    """Guards against work for callers who are gone."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.sendall(GET % (b"hold", b"close"))
        wait_until(lambda: echo.held, "request arrived")
    wait_until(lambda: echo.left == echo.held, "caller left")


def test_input_ahead_of_its_turn_is_bounded(served):
    """Guards against buffering pipelined requests without bound."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.sendall(GET % (b"hold", b"close"))
        wait_until(lambda: echo.held, "request arrived")
        sock.sendall(b"x" * 5_000)
        wait_until(lambda: echo.left, "connection cut")


def test_bodies_of_all_connections_together_are_bounded(served, monkeypatch):
    """Guards against many large bodies that exhaust the memory."""
    front_end, _ = served
    monkeypatch.setattr("papayacrank.entry._front_end.MAX_BUFFERED_BODIES", 1)
    head = b"POST /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    large = head + b"Content-Length: 4000\r\n\r\n"
    with connect(front_end.address) as sock:
        sock.sendall(large)
        wait_until(lambda: front_end.connection_count == 1, "connected")
        time.sleep(0.05)
        assert exchange(front_end.address, large).startswith(b"HTTP/1.1 503 ")
        sock.sendall(b"x" * 4_000)
        assert receive_all(sock).startswith(b"HTTP/1.1 200 ")
    body = large + b"x" * 4_000
    assert exchange(front_end.address, body).startswith(b"HTTP/1.1 200 ")


def test_trickled_body_is_refused_in_the_end(served):
    """Guards against a caller who keeps a request open with single bytes."""
    front_end, _ = served
    with connect(front_end.address) as sock:
        sock.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n")
        started = time.monotonic()
        sock.settimeout(0.1)
        response = b""
        while not response and time.monotonic() < started + 10:
            sock.sendall(b"x")
            with suppress(TimeoutError):
                response = sock.recv(1_000)
        assert response.startswith(b"HTTP/1.1 408 ")
        assert 1.5 < time.monotonic() - started < 4


def test_old_callers_get_streams_that_end_with_the_connection(served):
    """Guards against a chunked answer to HTTP/1.0, or one without an end."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.sendall(b"GET /hold HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        wait_until(lambda: echo.held, "request arrived")
        echo.held[0].start_stream()
        echo.held[0].write(b"data")
        echo.held[0].end_stream()
        response = receive_all(sock)
    assert response.endswith(b"\r\n\r\ndata")
    assert b"chunked" not in response and b"Connection: close" in response


def test_held_answers_of_all_callers_together_are_bounded():
    """Guards against many slow readers that exhaust the memory."""
    held = {}

    def build(root, clock, timers):
        server = CallerServer(("127.0.0.1", 0), 10, b"", 8_000_000).register(root)
        Collector(held).register(root)
        return server

    with running(build) as server:
        address = f"127.0.0.1:{server.port}"
        first, second = connect(address), connect(address)
        wait_until(lambda: len(held) == 2, "connected")
        socks = [held[s.getsockname()] for s in (first, second)]
        server.send(socks[0], b"x" * 12_000_000)
        server.send(socks[1], b"y" * 5_000_000)
        assert len(receive_until_closed(second)) == 5_000_000
        first.close()
        second.close()


class Collector(BaseComponent):
    """Keeps the sockets of callers by their address."""

    channel = "web"

    def __init__(self, held: dict):
        super().__init__()
        self._held = held

    @handler("connect")
    def _on_connect(self, sock, host, port):
        self._held[(host, port)] = sock


def receive_until_closed(sock) -> bytes:
    """Read what arrives within a moment."""
    sock.settimeout(0.5)
    data = b""
    with suppress(TimeoutError):
        while piece := sock.recv(1_000_000):
            data += piece
    return data


def test_quiet_connection_costs_no_processor_time(served):
    """Guards against polling a half-closed connection in a loop."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.sendall(GET % (b"stream", b"close"))
        wait_until(lambda: echo.stalled, "stalled")
        sock.shutdown(socket.SHUT_WR)
        wait_until(lambda: echo.left, "caller left")
        before = time.process_time()
        time.sleep(0.3)
        assert time.process_time() - before < 0.15
