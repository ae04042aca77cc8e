"""Tests of callers that read slowly, through the whole entry."""

import json
import socket
import time

import h11
import pytest

from papayacrank.entry.tests.support import wait_until
from papayacrank.transport import BufferKind, ByteAccount, ByteLimits

from .faulty_servers import (
    Entry,
    build_event,
    build_stream_head,
    chunk,
    read_reply,
    request_id_of,
)

MB = 1_000_000
PIECE = b"x" * 20_000
EVENTS = 150


def serve_stream(sock, data, number):
    """Send a stream of 3 MB as fast as it is read."""
    sock.sendall(build_stream_head(request_id_of(data)))
    for event in range(1, EVENTS + 1):
        sock.sendall(chunk(b"id: %d\ndata: %s\n\n" % (event, PIECE)))
    sock.sendall(chunk(build_event(EVENTS + 1)) + b"0\r\n\r\n")


def connect_slowly(entry):
    """Return a connection with small buffers on both sides."""
    listener = entry._http._server._sock
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
    host, port = entry.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    sock.settimeout(8)
    sock.connect((host, int(port)))
    return sock


def build_request(request_id="r1"):
    """Return a request for a stream."""
    return (
        b"POST /reply/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
        b"Papayacrank-Deadline-Ms: 8000\r\nPapayacrank-Request-Id: %s\r\n"
        b"Papayacrank-Model: model-1\r\nPapayacrank-Token-Count: 10,10\r\n\r\n"
        % request_id.encode()
    )


def test_slow_caller_gets_its_whole_stream():
    """Guards against a sound slow caller that is cut off, or fills the memory."""
    account = ByteAccount(ByteLimits(1 * MB, 2 * MB))
    largest = 0
    with Entry(serve_stream, service="engines", account=account) as entry:
        sock = connect_slowly(entry)
        sock.sendall(build_request())
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
        client.send(h11.EndOfMessage())
        wait_until(lambda: account.total_of(BufferKind.TO_CALLER) > 100_000, "unread")
        time.sleep(0.5)
        largest = account.total
        reply = read_reply(client, sock)
        assert reply.complete
        assert reply.body.count(b"id: ") == EVENTS + 1
        wait_until(lambda: not account.total, "bytes released")
    assert largest <= 1 * MB


@pytest.mark.parametrize("count", [8])
def test_stopped_callers_hold_a_bounded_total(count):
    """Guards against streams of stopped callers that exhaust the memory together."""
    account = ByteAccount(ByteLimits(1 * MB, 2 * MB))
    largest = 0

    def is_ended():
        nonlocal largest
        largest = max(largest, account.total)
        return account.ended > 0

    with Entry(serve_stream, service="engines", account=account) as entry:
        socks = [connect_slowly(entry) for _ in range(count)]
        for number, sock in enumerate(socks):
            sock.sendall(build_request(f"r{number}"))
        wait_until(is_ended, "slowest ended")
        for sock in socks:
            sock.close()
        wait_until(lambda: not account.total, "bytes released")
    assert 1 * MB < largest <= 2 * MB


def test_refusal_for_memory_says_not_run():
    """Guards against a caller that can't repeat a request that was never read."""
    account = ByteAccount(ByteLimits(1 * MB, 2 * MB))

    def serve(sock, data, number):
        raise AssertionError("sent to a server")

    with Entry(serve, account=account) as entry:
        sock = entry.connect()
        sock.sendall(
            b"POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n"
            b"Papayacrank-Request-Id: r1\r\n\r\n"
        )
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
        client.send(h11.EndOfMessage())
        reply = read_reply(client, sock)
    assert reply.status == 503
    assert json.loads(reply.body)["not_run"] is True
    assert float(reply.headers["retry-after"]) == 1
    assert reply.headers["papayacrank-request-id"] == "r1"
