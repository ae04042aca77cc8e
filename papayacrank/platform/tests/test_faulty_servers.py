"""Tests of callers' responses while servers break the protocol, over real sockets."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from papayacrank.forwarding import _target_port as target_port
from papayacrank.transport._connection import RECEIVE_BYTES

from .faulty_servers import (
    Entry,
    build_answer,
    build_event,
    build_refusal,
    build_stream_head,
    chunk,
    end,
    last_event_of,
    request_id_of,
    reset,
)

EVENTS = b"".join(build_event(number) for number in (1, 2, 3))


def serve_stream(sock, data, number):
    """Serve the rest of a stream of three events."""
    sock.sendall(build_stream_head(request_id_of(data)))
    for event in range(last_event_of(data) + 1, 4):
        sock.sendall(chunk(build_event(event)))
    sock.sendall(b"0\r\n\r\n")


def break_first_stream(answer_again):
    """Return two scripts: the first request gets an event and a broken stream.

    Parameters
    ----------
    answer_again : callable
        Script of each further request.
    """
    seen = []

    def script(sock, data, number):
        seen.append(1)
        if len(seen) > 1:
            answer_again(sock, data, len(seen))
            return
        sock.sendall(build_stream_head(request_id_of(data)) + chunk(build_event(1)))
        time.sleep(0.05)
        reset(sock)

    return script, script


def test_streams_with_endless_events_hold_a_bounded_total(monkeypatch):
    """Guards against incomplete events of many streams that exhaust memory together."""
    limit = 1_000_000
    monkeypatch.setattr(target_port, "MAX_HELD_BYTES", limit)
    held = []

    def serve_endless_event(sock, data, number):
        sock.sendall(build_stream_head(request_id_of(data)) + chunk(build_event(1)))
        while True:
            sock.sendall(chunk(b"data: " + b"x" * 20_000))
            time.sleep(0.02)

    with (
        Entry(*[serve_endless_event] * 8, service="engines") as entry,
        ThreadPoolExecutor(16) as pool,
    ):
        replies = [
            pool.submit(entry.ask, "/reply/x", deadline_ms=2_000) for _ in range(16)
        ]
        while not all(reply.done() for reply in replies):
            held.append(entry.port.held_bytes)
            time.sleep(0.002)
    assert limit / 2 < max(held) <= limit + RECEIVE_BYTES
    assert entry.port.held_bytes == 0


HTML = b"<html>\n\n<h1>out of order</h1>\n\nid: 2\ndata: x\n\n</html>\n\n"
ID = b"Papayacrank-Request-Id: %s\r\n"
SEAL = b"Papayacrank-Server-Seal: s\r\n"
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % len(HTML)
ERRORS = {
    "500": b"HTTP/1.1 500 Fault\r\n" + ID + SEAL + LENGTH + HTML,
    "500 without a body": b"HTTP/1.1 500 F\r\n"
    + ID
    + SEAL
    + b"Content-Length: 0\r\n\r\n",
    "503 not run": b"HTTP/1.1 503 B\r\n"
    + ID
    + b"Papayacrank-Not-Executed: 1\r\n"
    + LENGTH
    + HTML,
    "503": b"HTTP/1.1 503 B\r\n" + ID + SEAL + LENGTH + HTML,
    "404": b"HTTP/1.1 404 None\r\n" + ID + SEAL + LENGTH + HTML,
    "404 that ends with its connection": b"HTTP/1.1 404 N\r\n"
    + ID
    + SEAL
    + b"\r\n"
    + HTML,
    "error as a stream": b"HTTP/1.1 500 F\r\n"
    + ID
    + SEAL
    + STREAM_TYPE
    + LENGTH
    + HTML,
    "cut head": b"HTTP/1.1 500 Fault\r\n" + ID + b"Content-Le",
    "cut head of a stream": b"HTTP/1.1 200 OK\r\n" + ID + SEAL + STREAM_TYPE,
    "200 of another type": b"HTTP/1.1 200 OK\r\n"
    + ID
    + SEAL
    + b"Content-Type: text/html\r\n"
    + LENGTH
    + HTML,
    "200 without a type": b"HTTP/1.1 200 OK\r\n" + ID + SEAL + LENGTH + HTML,
    "200 without a seal": b"HTTP/1.1 200 OK\r\n" + ID + STREAM_TYPE + LENGTH + HTML,
    "200 without an id": b"HTTP/1.1 200 OK\r\n" + SEAL + STREAM_TYPE + LENGTH + HTML,
    "200 that was not run": b"HTTP/1.1 200 OK\r\n"
    + ID
    + SEAL
    + b"Papayacrank-Not-Executed: 1\r\n"
    + STREAM_TYPE
    + LENGTH
    + HTML,
    "200 with an error event": b"HTTP/1.1 200 OK\r\n"
    + ID
    + SEAL
    + STREAM_TYPE
    + b"\r\nevent: error\ndata: out of order\n\n",
    "no response": b"out of order\r\n\r\n",
}


@pytest.mark.parametrize("error", list(ERRORS))
def test_error_of_the_next_server_is_not_part_of_the_stream(error):
    """Guards against the text of an error inside a stream or a stream ended by it."""
    response = ERRORS[error]

    def fail(sock, data, number):
        filled = response.replace(b"%s", request_id_of(data))
        sock.sendall(filled)
        end(sock)

    with Entry(*break_first_stream(fail), service="engines") as entry:
        reply = entry.ask("/reply/x", deadline_ms=1_500)
    assert reply.status == 200
    assert reply.body == build_event(1)
    assert not reply.complete


@pytest.mark.parametrize("error", list(ERRORS))
def test_first_server_with_an_invalid_stream_starts_no_stream(error):
    """Guards against a success without a seal, or a stream that is none."""
    response = ERRORS[error]

    def fail(sock, data, number):
        sock.sendall(response.replace(b"%s", request_id_of(data)))
        end(sock)

    with Entry(fail, fail, service="engines") as entry:
        reply = entry.ask("/appraise/x", deadline_ms=1_500)
    if 200 <= reply.status < 300 and reply.complete:
        assert "papayacrank-server-seal" in reply.headers
        assert b"200 OK" in response and SEAL in response
    else:
        assert b"out of order" not in reply.body or reply.status in (404, 500, 503)


def test_stream_is_resumed_at_a_sound_server():
    """Guards against tests of broken streams that would fail for any next server."""
    with Entry(*break_first_stream(serve_stream), service="engines") as entry:
        reply = entry.ask("/reply/x")
    assert (reply.body, reply.complete) == (EVENTS, True)


class RefusingServer:
    """Server that refuses every third request and writes the refusal once more.

    Parameters
    ----------
    when : str
        When the refusal is written again: ``"at once"``, ``"between requests"`` or
        ``"into the next request"``.
    has_id : bool
        Whether the repeated refusal carries the id of the refused request.
    is_split : bool
        Whether refusals arrive in several packets.
    runs : list of bytes
        Ids of the requests that this server ran.
    """

    def __init__(self, when, has_id, is_split, runs):
        self._when = when
        self._has_id = has_id
        self._is_split = is_split
        self._runs = runs
        self._pending = {}

    def __call__(self, sock, data, number):
        """Handle one request."""
        request_id = request_id_of(data)
        repeated = self._pending.pop(sock, None)
        if repeated is not None:
            self._write(sock, repeated)
        if number % 3 != 1:
            self._runs.append(request_id)
            time.sleep(0.01)
            sock.sendall(build_answer(request_id, b"served " + request_id))
            return
        repeated = build_refusal(request_id if self._has_id else None)
        self._write(sock, build_refusal(request_id))
        if self._when == "at once":
            self._write(sock, repeated)
        elif self._when == "between requests":
            time.sleep(0.02)
            self._write(sock, repeated)
        else:
            self._pending[sock] = repeated

    def _write(self, sock, data):
        if not self._is_split:
            sock.sendall(data)
            return
        for part in (data[:9], data[9:60], data[60:]):
            sock.sendall(part)
            time.sleep(0.004)


@pytest.mark.parametrize("path", ["/claim/x", "/lookup/x"])
@pytest.mark.parametrize("is_split", [False, True])
@pytest.mark.parametrize("has_id", [False, True])
@pytest.mark.parametrize(
    "when", ["at once", "between requests", "into the next request"]
)
def test_repeated_refusal_is_not_the_response_to_another_request(
    when, has_id, is_split, path
):
    """Guards against "not run" for a request that runs, or a second run of it."""
    runs = []
    scripts = [RefusingServer(when, has_id, is_split, runs) for _ in range(2)]
    with Entry(*scripts) as entry, ThreadPoolExecutor(3) as callers:
        ids = [f"r{number}" for number in range(45)]
        replies = list(callers.map(lambda name: entry.ask(path, name), ids))
    for name, reply in zip(ids, replies, strict=True):
        count = runs.count(name.encode())
        assert reply.complete
        if reply.status == 200:
            assert reply.body == b"served " + name.encode()
        elif reply.status in (408, 421, 429, 503):
            assert count == 0
        if path == "/claim/x":
            assert count <= 1
    assert [reply.status for reply in replies].count(502) == 0


def test_refusals_without_an_id_are_repeated_elsewhere():
    """Guards against failures at a server whose refusals state no request."""
    runs = []

    def refuse(sock, data, number):
        sock.sendall(build_refusal())

    def serve(sock, data, number):
        runs.append(request_id_of(data))
        sock.sendall(build_answer(request_id_of(data)))

    with Entry(refuse, serve) as entry:
        statuses = [entry.ask("/claim/x", f"r{n}").status for n in range(12)]
    assert statuses == [200] * 12
    assert len(runs) == len(set(runs)) == 12


def test_request_that_gets_no_identified_response_is_not_reported_as_not_run():
    """Guards against "not run" if the refusal on a kept connection has no id."""
    seen = []

    def script(sock, data, number):
        seen.append(number)
        if number == 1:
            sock.sendall(build_answer(request_id_of(data)))
        else:
            sock.sendall(build_refusal())

    with Entry(script) as entry:
        assert entry.ask("/claim/x", "r1").status == 200
        began = time.monotonic()
        assert entry.ask("/claim/x", "r2", deadline_ms=5_000).status == 502
        assert time.monotonic() - began < 2.5
    assert len(seen) == 2


def test_request_without_an_id_uses_a_new_connection():
    """Guards against failures of requests whose responses cannot be identified."""

    def script(sock, data, number):
        request_id = request_id_of(data)
        if request_id:
            sock.sendall(build_answer(request_id))
        else:
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone")

    with Entry(script) as entry:
        assert entry.ask("/claim/x", "r1").status == 200
        reply = entry.ask("/claim/x", "")
    assert (reply.status, reply.body) == (404, b"none")


def test_refusal_behind_a_stale_response_is_not_trusted_without_an_id():
    """Guards against a second stale response on a new connection."""
    runs = []

    def script(sock, data, number):
        runs.append(request_id_of(data))
        sock.sendall(build_refusal(b"earlier") + build_refusal())
        time.sleep(0.05)
        sock.sendall(build_answer(request_id_of(data)))

    with Entry(script, script) as entry:
        reply = entry.ask("/claim/x", "r1")
    assert runs == [b"r1"]
    assert reply.status == 200


class ChaoticServer:
    """Server with several faults at once, chosen by a seed.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    runs : list of bytes
        Ids of the requests that any server began to run.
    """

    def __init__(self, seed, runs):
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._runs = runs
        self._pending = {}

    def __call__(self, sock, data, number):
        """Handle one request."""
        request_id = request_id_of(data)
        with self._lock:
            draw, cut, again, is_named, is_slow = (
                self._random.random() for _ in "12345"
            )
        repeated = self._pending.pop(sock, None)
        if repeated is not None:
            sock.sendall(repeated[:17])
            time.sleep(0.003 * (is_slow < 0.5))
            sock.sendall(repeated[17:])
        if draw < 0.25:
            refusal = build_refusal(request_id)
            repeated = build_refusal(request_id if is_named < 0.5 else None)
            if again < 0.4:
                self._pending[sock] = repeated
                sock.sendall(refusal)
            else:
                sock.sendall(refusal + repeated * (again < 0.7))
            return
        self._runs.append(request_id)
        response, has_length = self._build_response(data, is_named)
        if draw < 0.5:
            sock.sendall(response[: int(cut * len(response))])
            reset(sock)
        else:
            sock.sendall(response)
            if not has_length:
                sock.close()

    @staticmethod
    def _build_response(data, draw):
        request_id = request_id_of(data)
        if b"papayacrank-model" not in data.lower():
            body = b"served " + request_id
            return build_answer(request_id, body, draw < 0.5), draw < 0.5
        events = [build_event(n) for n in range(last_event_of(data) + 1, 4)]
        if draw < 0.5:
            framed = b"".join(map(chunk, events)) + b"0\r\n\r\n"
            return build_stream_head(request_id) + framed, True
        return build_stream_head(request_id, b"") + b"".join(events), False


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("service", ["plain", "engines"])
def test_several_faults_at_once_break_no_promise(service, seed):
    """Guards against faults that are handled alone and not together."""
    runs = []
    servers = [ChaoticServer(3 * seed + n, runs) for n in range(3)]
    kinds = ("claim", "lookup") if service == "plain" else ("appraise", "reply")
    requests = [(f"/{kinds[n % 2]}/x", f"r{n}") for n in range(60)]
    with (
        Entry(*servers, service=service) as entry,
        ThreadPoolExecutor(4) as callers,
    ):
        replies = list(callers.map(lambda r: entry.ask(*r, 2_000), requests))
    for (path, name), reply in zip(requests, replies, strict=True):
        is_repeatable = path in ("/lookup/x", "/reply/x")
        whole = b"served " + name.encode() if service == "plain" else EVENTS
        if reply.status == 200 and reply.complete:
            assert reply.body == whole
            assert reply.headers["papayacrank-request-id"] == name
        elif reply.status == 200:
            assert service == "engines" and EVENTS.startswith(reply.body)
        else:
            assert reply.status in (502, 503, 504) and reply.complete
        if not is_repeatable:
            assert runs.count(name.encode()) <= 1
        if reply.status == 503:
            assert runs.count(name.encode()) == 0
    assert sum(reply.complete and reply.status == 200 for reply in replies) >= 30


@pytest.mark.parametrize("is_broken", [False, True])
def test_broken_stream_does_not_look_complete_to_an_http_1_0_caller(is_broken):
    """Guards against an orderly end of a response that is delimited by it."""

    def script(sock, data, number):
        if not is_broken:
            serve_stream(sock, data, number)
            return
        sock.sendall(build_stream_head(request_id_of(data)) + chunk(build_event(1)))
        time.sleep(0.05)
        reset(sock)

    head = (
        b"GET /appraise/x HTTP/1.0\r\nHost: h\r\nPapayacrank-Request-Id: r1\r\n"
        b"Papayacrank-Model: model-1\r\nPapayacrank-Token-Count: 10,10\r\n\r\n"
    )
    received = b""
    has_reset = False
    with Entry(script, service="engines") as entry, entry.connect() as sock:
        sock.sendall(head)
        try:
            while data := sock.recv(65_536):
                received += data
        except ConnectionResetError:
            has_reset = True
    assert b"transfer-encoding" not in received.lower()
    assert build_event(1) in received
    assert has_reset is is_broken


def test_target_that_reads_nothing_for_a_second_keeps_its_connection():
    """Guards against a user timeout that ends a connection whose window is full."""
    body = bytes(4_000_000)

    def read_late(sock, data, number):
        time.sleep(1.5)
        received = len(data)
        while received < len(body):
            received += len(sock.recv(1_000_000))
        sock.sendall(build_answer(request_id_of(data)))

    with Entry(read_late) as entry:
        reply = entry.ask("/claim/x", deadline_ms=5_000, body=body)
    assert (reply.status, reply.body) == (200, b"whole")
