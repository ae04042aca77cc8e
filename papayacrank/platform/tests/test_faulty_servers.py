"""Tests of callers' responses while servers break the protocol, over real sockets."""

import time

import pytest

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
