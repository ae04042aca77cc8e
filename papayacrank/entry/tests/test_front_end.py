"""Tests of the HTTP front end over real sockets."""

import socket
import struct
import time
from contextlib import suppress

import pytest
from circuits import BaseComponent, handler

from papayacrank.entry._front_end import IDLE_TIMEOUT_MS, FrontEnd
from papayacrank.transport import CallerServer

from .support import connect, exchange, make_settings, receive_all, running, wait_until

GET = b"GET /%s HTTP/1.1\r\nHost: h\r\nConnection: %s\r\n\r\n"
STREAM_PIECE = b"x" * 65_536
RESET = struct.pack("ii", 1, 0)


class Echo(BaseComponent):
    """Responds with path and body, endlessly on /stream and not at all on /hold."""

    channel = "web"

    def __init__(self):
        super().__init__()
        self.disconnected = []
        self.unanswered = []
        self.written_bytes = 0
        self.blocked_count = 0
        self.on_write = lambda: None

    @handler("caller_request")
    def _on_caller_request(self, opened):
        if opened.request.path == "/stream":
            opened.start_stream()
            self._on_caller_ready(opened)
        elif opened.request.path == "/hold":
            self.unanswered.append(opened)
        else:
            body = opened.request.path.encode() + b"|" + opened.request.body
            opened.respond(200, [("Content-Type", "text/plain")], body)

    @handler("caller_ready")
    def _on_caller_ready(self, opened):
        while opened.is_open and not opened.is_blocked:
            self.on_write()
            opened.write(STREAM_PIECE)
            self.written_bytes += len(STREAM_PIECE)
        self.blocked_count += 1

    @handler("caller_left")
    def _on_caller_left(self, opened):
        self.disconnected.append(opened)


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


@pytest.mark.parametrize("close_idle", ["_sweep", "stop_listening"])
def test_request_that_was_just_read_is_not_lost_with_an_idle_connection(
    served, close_idle
):
    """Guards against connections closed between reading and handling a request."""
    front_end, _ = served
    sock = connect(front_end.address)
    wait_until(lambda: front_end._connections, "connection")

    def close_after_read():
        ((accepted, connection),) = front_end._connections.items()
        connection.last_activity_ms -= IDLE_TIMEOUT_MS + 1
        sock.sendall(GET % (b"late", b"close"))
        front_end._listener._read(accepted)
        getattr(front_end, close_idle)()

    front_end._timers.set("close_after_read", 0, close_after_read)
    assert receive_all(sock).endswith(b"/late|")


def test_answers_pipelined_requests_in_order(served):
    """Guards against lost or reordered responses on one connection."""
    front_end, _ = served
    data = (GET % (b"a", b"keep-alive")) + (GET % (b"b", b"close"))
    response = exchange(front_end.address, data)
    assert response.index(b"/a|") < response.index(b"/b|")


def test_echoes_the_request_id_and_generates_missing_ones(served):
    """Guards against responses that cannot be matched with requests."""
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
    """Guards against invalid input that gets no response or affects others."""
    front_end, _ = served
    response = exchange(front_end.address, data)
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert b"Papayacrank-Verdict: not-run" in response
    assert_serves(front_end)


def test_large_body_does_not_prevent_the_response(served):
    """Guards against a connection reset that discards the 413 response."""
    front_end, _ = served
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
    assert exchange(front_end.address, head + b"x" * 900_000).startswith(
        b"HTTP/1.1 413 "
    )


def test_asks_for_the_body_when_the_caller_expects_it(served):
    """Guards against a missing 100 Continue, on which callers would wait."""
    front_end, _ = served
    head = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
    with connect(front_end.address) as sock:
        sock.sendall(head + b"Expect: 100-continue\r\nConnection: close\r\n\r\n")
        assert sock.recv(1_000).startswith(b"HTTP/1.1 100 ")
        sock.sendall(b"ab")
        assert receive_all(sock).endswith(b"/b|ab")


def test_connections_are_bounded(served):
    """Guards against an unlimited number of connections."""
    front_end, _ = served
    sockets = [connect(front_end.address) for _ in range(8)]
    wait_until(lambda: front_end.connection_count == 8, "connections")
    assert exchange(front_end.address, b"").startswith(b"HTTP/1.1 503 ")
    for sock in sockets:
        sock.close()
    wait_until(lambda: front_end.connection_count == 0, "connections closed")
    assert_serves(front_end)


def test_slow_reader_is_blocked_in_bounded_memory_and_then_disconnected(served):
    """Guards against buffering a stream without limit for a slow reader."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.sendall(GET % (b"stream", b"close"))
        wait_until(lambda: echo.blocked_count, "caller blocked")
        assert_serves(front_end)
        assert echo.written_bytes < 16 * 1024 * 1024
        wait_until(lambda: echo.disconnected, "slow reader disconnected")
    assert_serves(front_end)


def test_reader_that_catches_up_gets_more(served):
    """Guards against a stream that stays paused after its reader caught up."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.sendall(GET % (b"stream", b"close"))
        wait_until(lambda: echo.blocked_count, "caller blocked")
        left_bytes = echo.written_bytes + len(STREAM_PIECE)
        while left_bytes > 0:
            piece = sock.recv(65_536)
            assert piece, "the connection was closed early"
            left_bytes -= len(piece)
        wait_until(lambda: echo.blocked_count > 1, "continued")
    wait_until(lambda: echo.disconnected, "caller disconnected")


def test_stream_stops_when_its_caller_resets_the_connection(served):
    """Guards against a flow that writes to a lost caller without end."""
    front_end, echo = served
    sock = connect(front_end.address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    echo.on_write = sock.close
    sock.sendall(GET % (b"stream", b"close"))
    wait_until(lambda: echo.disconnected, "caller disconnected")
    assert echo.written_bytes < 16 * 1024 * 1024
    assert_serves(front_end)


def test_reports_callers_who_leave(served):
    """Guards against work for disconnected callers."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.sendall(GET % (b"hold", b"close"))
        wait_until(lambda: echo.unanswered, "request arrived")
    wait_until(lambda: echo.disconnected == echo.unanswered, "caller disconnected")


def test_pipelined_input_is_bounded(served):
    """Guards against buffering pipelined requests without limit."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.sendall(GET % (b"hold", b"close"))
        wait_until(lambda: echo.unanswered, "request arrived")
        sock.sendall(b"x" * 5_000)
        wait_until(lambda: echo.disconnected, "connection closed")


def test_bodies_of_all_connections_together_are_bounded(served, monkeypatch):
    """Guards against large bodies on many connections that exhaust the memory."""
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


def test_body_sent_byte_by_byte_is_refused_after_the_limit(served):
    """Guards against a caller who sends a body byte by byte without end."""
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


def test_http_1_0_streams_end_with_the_connection(served):
    """Guards against a chunked response to HTTP/1.0, or one without an end."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.sendall(b"GET /hold HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        wait_until(lambda: echo.unanswered, "request arrived")
        echo.unanswered[0].start_stream()
        echo.unanswered[0].write(b"data")
        echo.unanswered[0].end_stream()
        response = receive_all(sock)
    assert response.endswith(b"\r\n\r\ndata")
    assert b"chunked" not in response and b"Connection: close" in response


def test_unsent_responses_of_all_callers_together_are_bounded():
    """Guards against many slow readers that together exhaust the memory."""
    sockets_by_address = {}

    def build(root, clock, timers):
        server = CallerServer(("127.0.0.1", 0), 10, b"", 8_000_000).register(root)
        SocketCollector(sockets_by_address).register(root)
        return server

    with running(build) as server:
        address = f"127.0.0.1:{server.port}"
        first, second = connect(address), connect(address)
        wait_until(lambda: len(sockets_by_address) == 2, "connected")
        socks = [sockets_by_address[s.getsockname()] for s in (first, second)]
        server.send(socks[0], b"x" * 12_000_000)
        server.send(socks[1], b"y" * 5_000_000)
        assert len(receive_until_idle(second)) == 5_000_000
        first.close()
        second.close()


class SocketCollector(BaseComponent):
    """Stores the sockets of callers by their address."""

    channel = "web"

    def __init__(self, sockets_by_address: dict):
        super().__init__()
        self._sockets_by_address = sockets_by_address

    @handler("connect")
    def _on_connect(self, sock, host, port):
        self._sockets_by_address[(host, port)] = sock


def receive_until_idle(sock) -> bytes:
    """Read until the connection is closed or is idle for 0.5 s."""
    sock.settimeout(0.5)
    data = b""
    with suppress(TimeoutError):
        while piece := sock.recv(1_000_000):
            data += piece
    return data


def test_idle_connection_uses_no_cpu_time(served):
    """Guards against busy polling of a half-closed connection."""
    front_end, echo = served
    with connect(front_end.address) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.sendall(GET % (b"stream", b"close"))
        wait_until(lambda: echo.blocked_count, "caller blocked")
        sock.shutdown(socket.SHUT_WR)
        wait_until(lambda: echo.disconnected, "caller disconnected")
        before = time.process_time()
        time.sleep(0.3)
        assert time.process_time() - before < 0.15
