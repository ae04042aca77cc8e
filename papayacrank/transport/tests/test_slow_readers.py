"""Tests of callers that read slowly, over real sockets with small buffers."""

import socket
import time

import pytest
from structlog.testing import capture_logs

from papayacrank.entry.tests.support import wait_until
from papayacrank.transport import BufferKind, ByteAccount, ByteLimits, HttpLimits
from papayacrank.transport import _byte_account as account_module

from .test_http_port import LoopCaller, Server, receive_until_closed

SOCKET_BUFFER_BYTES = 8_192
LIMITS = HttpLimits(max_body_bytes=4_000_000, body_timeout_ms=3_000)
GET = b"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
MB = 1_000_000


class SlowReaderBench:
    """Server with a small account and small socket buffers."""

    def __init__(self, soft_bytes, hard_bytes, limits=LIMITS):
        self.account = ByteAccount(ByteLimits(soft_bytes, hard_bytes))
        self.server = Server(limits, self.account)
        listener = self.server.port._server._sock
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        self.loop = LoopCaller().register(self.server.root)
        self.held = self.server.echo.held

    def connect(self):
        """Open a connection with a small receive buffer."""
        host, port = self.server.port.address.split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        sock.settimeout(5)
        sock.connect((host, int(port)))
        return sock

    def ask(self, request=GET):
        """Send a request, whose exchange is appended to `held`."""
        count = len(self.held)
        sock = self.connect()
        sock.sendall(request)
        wait_until(lambda: len(self.held) > count, "request arrived")
        return sock, self.held[-1]


@pytest.fixture
def build_bench():
    """Return a function that starts a server; it is stopped after the test."""
    benches = []

    def build(*arguments, **keywords):
        benches.append(SlowReaderBench(*arguments, **keywords))
        return benches[-1]

    yield build
    for bench in benches:
        bench.server.stop()


def test_caller_that_pauses_gets_a_large_response(build_bench):
    """Guards against ending a sound caller that reads nothing for a second."""
    bench = build_bench(4 * MB, 6 * MB)
    sock, exchange = bench.ask()
    bench.loop.run(lambda: exchange.respond(200, [], b"x" * 3 * MB))
    assert bench.account.total_of(BufferKind.TO_CALLER) > 2 * MB
    time.sleep(1.2)
    received = b""
    while len(received.partition(b"\r\n\r\n")[2]) < 3 * MB:
        received += sock.recv(1 << 20)
    wait_until(lambda: not bench.account.total, "bytes released")
    sock.sendall(GET)
    wait_until(lambda: len(bench.held) == 2, "connection is open")


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("is_stream", [False, True])
def test_stopped_caller_is_cut_off(build_bench, monkeypatch, version, is_stream):
    """Guards against memory that a stopped caller holds for good.

    Without a reset, a stream to an HTTP/1.0 caller would look complete.
    """
    monkeypatch.setattr(account_module, "MAX_READER_SILENCE_MS", 300)
    bench = build_bench(4 * MB, 6 * MB)
    sock, exchange = bench.ask(GET.replace(b"1.1", version))

    def respond():
        if is_stream:
            exchange.begin(200, [])
            exchange.send(b"x" * 2 * MB)
            exchange.end()
        else:
            exchange.respond(200, [], b"x" * 2 * MB)

    with capture_logs() as events:
        bench.loop.run(respond)
        wait_until(lambda: not bench.account.total, "caller cut off")
        wait_until(lambda: not bench.server.port.connection_count, "closed")
    with pytest.raises(ConnectionResetError):
        while sock.recv(65_536):
            pass
    if version == b"1.1":
        assert [e["reason"] for e in events if e["event"] == "reader_ended"] == [
            "no_progress"
        ]


def test_stream_of_a_stopped_caller_ends_its_exchange(build_bench):
    """Guards against a target that goes on for a caller that was cut off."""
    bench = build_bench(100_000, 200_000)
    sock, exchange = bench.ask()
    bench.loop.run(lambda: exchange.begin(200, []))
    bench.loop.run(lambda: exchange.send(b"x" * 300_000))
    wait_until(lambda: bench.server.echo.disconnected, "listener is told")
    assert not exchange.is_open
    assert bench.account.total == 0
    assert bench.account.ended == 1
    # The caller can't take the stream for a complete one.
    assert not receive_until_closed(sock).endswith(b"0\r\n\r\n")


def test_thousand_slow_callers_share_a_small_limit(build_bench):
    """Guards against many small buffers that exceed the memory together."""
    limit = 8 * MB
    bench = build_bench(5 * MB, limit)
    socks, largest = [], 0
    for _ in range(1_000):
        sock = bench.connect()
        sock.sendall(GET)
        socks.append(sock)
    wait_until(lambda: len(bench.held) == 1_000, "requests arrived")

    def respond(exchanges):
        for exchange in exchanges:
            exchange.respond(200, [], b"x" * 60_000)

    for start in range(0, 1_000, 50):
        exchanges = bench.held[start : start + 50]
        bench.loop.run(lambda exchanges=exchanges: respond(exchanges))
        largest = max(largest, bench.account.total)
    assert 5 * MB < largest <= limit
    # A caller that reads is served beside them.
    sock, exchange = bench.ask()
    bench.loop.run(lambda: exchange.respond(200, [], b"y" * 60_000))
    received = b""
    while len(received.partition(b"\r\n\r\n")[2]) < 60_000:
        chunk = sock.recv(65_536)
        assert chunk
        received += chunk
    for sock in socks:
        sock.close()
    wait_until(lambda: not bench.account.total, "bytes released")


def test_body_above_the_memory_is_refused_at_once(build_bench):
    """Guards against reading a body that cannot be kept, or a silent refusal."""
    bench = build_bench(1 * MB, 2 * MB)
    first, _ = bench.ask(POST % 1_500_000 + b"x" * 1_500_000)
    sock = bench.connect()
    began = time.monotonic()
    sock.sendall(POST % 1_500_000)
    response = receive_until_closed(sock)
    assert response.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1\r\n" in response.lower()
    assert time.monotonic() - began < 1
    assert len(bench.held) == 1
    first.close()
    wait_until(lambda: not bench.account.total, "bytes released")
    bench.ask(POST % 1_500_000 + b"x" * 1_500_000)


def test_requests_sent_ahead_count_as_memory(build_bench):
    """Guards against memory that callers fill with requests behind a running one."""
    bench = build_bench(100_000, 200_000)
    sock, _ = bench.ask()
    ahead = POST % 900_000 + b"x" * 900_000
    with pytest.raises(ConnectionError):
        sock.sendall(ahead)
        sock.recv(1)
        raise ConnectionResetError
    wait_until(lambda: not bench.server.port.connection_count, "closed")
    assert bench.account.total == 0


def test_large_bodies_wait_for_each_other(build_bench):
    """Guards against bodies that are refused, or all wait, while memory is scarce."""
    bench = build_bench(600_000, 4 * MB)
    size = 400_000
    socks = [bench.connect() for _ in range(4)]
    for sock in socks:
        sock.sendall(POST % size)
        sock.setblocking(False)
    unsent = {sock: memoryview(b"x" * size) for sock in socks}
    largest = 0

    def is_received():
        nonlocal largest
        largest = max(largest, bench.account.total)
        for sock, rest in unsent.items():
            try:
                unsent[sock] = rest[sock.send(rest[:65_536]) :] if rest else rest
            except BlockingIOError:
                continue
        open_exchanges = [item for item in bench.held if item.is_open]
        if open_exchanges:
            bench.loop.run(lambda: open_exchanges[0].respond(200, []))
        return len(bench.held) == 4

    wait_until(is_received, "all bodies received")
    assert all(len(exchange.body) == size for exchange in bench.held)
    assert largest < 4 * size
    wait_until(lambda: not bench.account.total or is_received(), "bytes released")


def test_stalled_body_is_refused_for_others_above_the_limit(build_bench):
    """Guards against callers that send no more and keep memory from the others."""
    bench = build_bench(600_000, 1 * MB)
    stalled = bench.connect()
    stalled.sendall(POST % 990_000 + b"x" * 500_000)
    wait_until(lambda: bench.account.total == 500_000, "first part received")
    time.sleep(0.5)
    second = bench.connect()
    second.sendall(POST % 450_000 + b"x" * 450_000)
    wait_until(lambda: len(bench.held) == 1, "second body received")
    third = bench.connect()
    third.sendall(
        b"POST /hold HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"30d40\r\n"
        + b"x" * 200_000
        + b"\r\n0\r\n\r\n"
    )
    wait_until(lambda: len(bench.held) == 2, "third body received")
    assert receive_until_closed(stalled).startswith(b"HTTP/1.1 503")
    assert bench.account.total == 650_000
