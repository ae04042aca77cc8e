"""Tests of the HTTP server over real sockets."""

import socket
import threading
import time

import pytest
from circuits import BaseComponent, Event, handler
from hypothesis import given
from structlog.testing import capture_logs

from papayacrank.entry.tests.support import wait_until
from papayacrank.kernel import MonotonicClock
from papayacrank.transport import (
    ExchangeListener,
    HttpLimits,
    HttpPort,
    Timers,
    install_process_handlers,
)

from .http_messages import REQUESTS, SHARED_PORT_SETTINGS, corrupted_messages

LIMITS = HttpLimits(
    max_header_bytes=2_000,
    max_body_bytes=5_000,
    header_timeout_ms=300,
    body_timeout_ms=300,
    idle_timeout_ms=600,
    max_total_body_bytes=12_000,
)
# More than the socket buffers of both sides take at once.
LARGE_ANSWER_BYTES = 12_000_000


class Echo(ExchangeListener):
    """Answers with method, target and body; holds ``/hold``; streams ``/stream``."""

    def __init__(self):
        self.left = []
        self.held = []

    def on_exchange(self, exchange):
        """Answer a request."""
        head = exchange.head
        if head.target == "/hold":
            self.held.append(exchange)
        elif head.target == "/stream":
            exchange.begin(200, [])
            exchange.send(b"one")
            exchange.send(b"two")
            exchange.end()
        elif head.target == "/large":
            exchange.respond(200, [], b"x" * LARGE_ANSWER_BYTES)
        elif head.target == "/cut":
            exchange.begin(200, [])
            exchange.send(b"one")
            exchange.abort()
        else:
            text = f"{head.method} {head.target} ".encode() + exchange.body
            exchange.respond(200, [(b"x-echo", b"1")], text)

    def on_caller_left(self, exchange):
        """Remember who left."""
        self.left.append(exchange)


class Server:
    """Port in a thread of its own."""

    def __init__(self):
        self.root = BaseComponent()
        install_process_handlers(self.root)
        clock = MonotonicClock()
        timers = Timers(clock).register(self.root)
        self.echo = Echo()
        self.port = HttpPort(
            "127.0.0.1:0", "test", self.echo, clock, timers, LIMITS
        ).register(self.root)
        self.thread = threading.Thread(target=self.root.run, daemon=True)
        self.thread.start()
        time.sleep(0.2)

    def connect(self):
        """Open a connection."""
        host, port = self.port.address.split(":")
        sock = socket.create_connection((host, int(port)), timeout=5)
        sock.settimeout(5)
        return sock

    def stop(self):
        """Stop the thread."""
        self.root.stop()
        self.thread.join(5)


@pytest.fixture
def server():
    """Return a running server."""
    running = Server()
    yield running
    running.stop()


def receive_until_closed(sock):
    """Return everything until the end of the connection."""
    data = b""
    try:
        while piece := sock.recv(65_536):
            data += piece
    except (TimeoutError, ConnectionResetError):
        pass
    return data


def ask(sock, data, end=b"\r\n\r\n"):
    """Send bytes and return what arrives until `end`."""
    sock.sendall(data)
    received = b""
    while end not in received:
        piece = sock.recv(65_536)
        if not piece:
            break
        received += piece
    return received


def test_chunked_body_in_small_pieces(server):
    """Guards against bodies that are cut where their segments end."""
    sock = server.connect()
    data = (
        b"POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
    )
    for start in range(0, len(data), 7):
        sock.sendall(data[start : start + 7])
    assert b"POST /a?b=c hello world" in ask(sock, b"", b"world")


def test_connection_serves_requests_one_after_the_other(server):
    """Guards against answers that are mixed up on one connection."""
    sock = server.connect()
    first = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
    second = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    sock.sendall(first + second)
    answers = receive_until_closed(sock)
    assert answers.index(b"GET /1") < answers.index(b"GET /2")


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n", b"413"),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"400",
        ),
        (b"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", b"400"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3_000, b"431"),
    ],
)
def test_unacceptable_input_gets_a_clear_answer(server, head, status):
    """Guards against smuggled requests and input without a bound."""
    sock = server.connect()
    sock.sendall(head)
    answer = receive_until_closed(sock)
    assert answer.split(b" ", 2)[1] == status
    assert b"connection: close" in answer.lower()


def test_stalled_request_is_ended(server):
    """Guards against connections that wait for ever for the rest of a request."""
    sock = server.connect()
    sock.sendall(b"GET / HTTP/1.1\r\nHo")
    assert receive_until_closed(sock).startswith(b"HTTP/1.1 408")


def test_idle_connection_is_closed(server):
    """Guards against idle connections without end."""
    sock = server.connect()
    began = time.monotonic()
    assert receive_until_closed(sock) == b""
    assert time.monotonic() - began < 3


def test_stream_is_chunked_and_a_cut_does_not_look_complete(server):
    """Guards against a cut answer that looks whole."""
    get = b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n"
    assert ask(server.connect(), get % b"/stream", b"0\r\n\r\n").endswith(b"0\r\n\r\n")
    cut = server.connect()
    cut.sendall(get % b"/cut")
    assert not receive_until_closed(cut).endswith(b"0\r\n\r\n")


def test_caller_that_leaves_is_reported_once(server):
    """Guards against work that goes on for a caller who is gone."""
    sock = server.connect()
    sock.sendall(b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
    time.sleep(0.2)
    sock.close()
    time.sleep(0.3)
    assert len(server.echo.held) == 1
    assert server.echo.left == server.echo.held
    assert server.port.open_exchanges == 0


# Planned stops


class run_step(Event):  # noqa: N801 - circuits events are lower case
    """Call a function within the loop: ``run_step(function)``."""


class Stepper(BaseComponent):
    """Runs steps of a test between two turns of the loop."""

    channel = "stepper"

    def __init__(self):
        super().__init__()
        self.done = threading.Event()

    @handler("run_step")
    def _on_run_step(self, function):
        function()
        self.done.set()

    def run(self, function):
        """Run a function in the loop and wait for its end."""
        self.done.clear()
        self.fire(run_step(function), "stepper")
        assert self.done.wait(5)


@pytest.fixture
def stepper(server):
    """Return a stepper in the loop of the server."""
    return Stepper().register(server.root)


REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


def test_connections_that_were_not_accepted_yet_are_answered_in_a_stop(server, stepper):
    """Guards against requests in the listen queue that are reset by a planned stop."""
    socks = []

    def stop_while_callers_connect():
        for _ in range(20):
            sock = server.connect()
            sock.sendall(REQUEST)
            socks.append(sock)
        time.sleep(0.05)
        server.port.stop_listening()

    stepper.run(stop_while_callers_connect)
    answers = [receive_until_closed(sock) for sock in socks]
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)


def test_request_that_was_not_read_yet_is_answered_in_a_stop(server, stepper):
    """Guards against a kept connection that is closed on the request it carries."""
    sock = server.connect()
    ask(sock, REQUEST, b"GET /x ")
    time.sleep(0.3)

    def stop_after_a_request():
        sock.sendall(REQUEST)
        time.sleep(0.05)
        server.port.stop_listening()

    stepper.run(stop_after_a_request)
    answer = receive_until_closed(sock)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in answer.lower()


def test_fresh_and_begun_connections_outlive_the_first_moment_of_a_stop(server):
    """Guards against a request that is cut between its connection and its last byte."""
    fresh, begun, idle = server.connect(), server.connect(), server.connect()
    time.sleep(0.3)
    begun.sendall(REQUEST[:10])
    late = server.connect()
    time.sleep(0.05)
    server.port.stop_listening()
    assert not server.port.is_drained
    late.sendall(REQUEST)
    begun.sendall(REQUEST[10:])
    for sock in (late, begun):
        assert receive_until_closed(sock).startswith(b"HTTP/1.1 200")
    for sock in (fresh, idle):
        assert receive_until_closed(sock) == b""


def test_answer_that_a_caller_has_not_taken_is_no_finished_one(server, stepper):
    """Guards against an answer that is cut because the process stops before its end."""
    sock = server.connect()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.sendall(b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
    time.sleep(0.2)

    def answer_and_stop():
        exchange = server.echo.held[0]
        exchange.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        exchange.respond(200, [], b"x" * 900_000)
        server.port.stop_listening()

    stepper.run(answer_and_stop)
    time.sleep(0.2)
    stepper.run(server.port.close_idle)
    assert not server.port.is_drained
    received = b""
    while len(received) < 900_000:
        received += sock.recv(1 << 20)
    time.sleep(0.2)
    stepper.run(server.port.close_idle)
    assert server.port.is_drained


def test_whole_answer_reaches_a_caller_that_reads_late(server):
    """Guards against ready answers that are cut because they are large."""
    sock = server.connect()
    sock.sendall(b"GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    time.sleep(0.3)
    answer = receive_until_closed(sock)
    assert len(answer.partition(b"\r\n\r\n")[2]) == LARGE_ANSWER_BYTES


def test_bodies_of_all_callers_are_bounded_in_sum(server, stepper):
    """Guards against a process that ends for lack of memory under large requests."""
    head = b"POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 4500\r\n\r\n"
    body = b"x" * 4_500
    first, second = server.connect(), server.connect()
    for sock in (first, second):
        sock.sendall(head + body)
    wait_until(lambda: len(server.echo.held) == 2, "two bodies read")
    third = server.connect()
    third.sendall(head)
    refusal = receive_until_closed(third)
    assert refusal.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 1\r\n" in refusal.lower()
    fourth = server.connect()
    fourth.sendall(head.replace(b"Content-Length: 4500", b"Transfer-Encoding: chunked"))
    fourth.sendall(b"1194\r\n" + body)
    assert receive_until_closed(fourth).startswith(b"HTTP/1.1 503 ")
    held = list(server.echo.held)
    stepper.run(lambda: [exchange.respond(200, []) for exchange in held])
    assert first.recv(100).startswith(b"HTTP/1.1 200 ")
    second.close()
    fifth = server.connect()
    fifth.sendall(head + body)
    wait_until(lambda: len(server.echo.held) == 3, "a third body read")


@SHARED_PORT_SETTINGS
@given(pieces=corrupted_messages(REQUESTS))
def test_damaged_request_harms_nobody_else(server, pieces):
    """Guards against input that stops the loop or is kept without a bound."""
    sock = server.connect()
    with capture_logs() as events:
        try:
            for piece in pieces:
                sock.sendall(piece)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        answer = receive_until_closed(sock)
        sock.close()
        other = server.connect()
        assert ask(other, REQUEST, b"GET /x ").startswith(b"HTTP/1.1 200")
        other.close()
    assert not answer or answer.startswith(b"HTTP/1.1 ")
    assert not [e for e in events if e["event"] == "handler_failed"]
