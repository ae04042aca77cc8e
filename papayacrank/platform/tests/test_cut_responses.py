"""Property tests of responses that are cut at any byte, over real sockets."""

import socket

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from .faulty_servers import (
    Entry,
    build_answer,
    build_event,
    build_stream_head,
    chunk,
    last_event_of,
    request_id_of,
    reset,
)

CUTS = settings(
    max_examples=80,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
BODY = b"served whole"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
SEALED = b"Papayacrank-Request-Id: r1\r\nPapayacrank-Server-Seal: s\r\n"
EVENTS = [build_event(number) for number in (1, 2, 3)]
STREAM = b"".join(EVENTS)
EVENT_ENDS = [sum(map(len, EVENTS[:n])) for n in range(4)]
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\n" + SEALED
PLAIN = {
    "length": PLAIN_HEAD + b"Content-Length: 12\r\n\r\n" + BODY,
    "chunks": PLAIN_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunk(BODY[:5])
    + chunk(BODY[5:])
    + b"0\r\nx: y\r\n\r\n",
    "none": PLAIN_HEAD + b"\r\n" + BODY,
    "interim": INTERIM + INTERIM + PLAIN_HEAD + b"\r\n" + BODY,
    "HTTP/1.0": PLAIN_HEAD.replace(b"1.1", b"1.0") + b"\r\n" + BODY,
}
STREAMS = {
    "length": build_stream_head(b"r1", b"Content-Length: %d\r\n" % len(STREAM))
    + STREAM,
    "chunks": build_stream_head(b"r1") + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n",
    "none": build_stream_head(b"r1", b"") + STREAM,
    "interim": INTERIM + build_stream_head(b"r1", b"") + STREAM,
}


class CutServer:
    """Server that sends a part of a response and ends its connection."""

    def __init__(self):
        self.data = b""
        self.has_reset = False
        self.serves_next = True
        self.requests = 0

    def __call__(self, sock, data, number):
        """Cut the first response; serve further requests unless they are cut too."""
        self.requests += 1
        if self.requests > 1 and self.serves_next:
            self._serve(sock, data)
            return
        if self.data:
            sock.sendall(self.data)
        if self.has_reset:
            reset(sock)
        else:
            sock.close()

    @staticmethod
    def _serve(sock, data):
        if b"papayacrank-model" not in data.lower():
            sock.sendall(build_answer(request_id_of(data), BODY))
            return
        sock.sendall(build_stream_head(request_id_of(data)))
        for event in EVENTS[last_event_of(data) :]:
            sock.sendall(chunk(event))
        sock.sendall(b"0\r\n\r\n")


def build_entry(service):
    """Return a server behind both targets, and the entry to it."""
    server = CutServer()
    return server, Entry(server, server, service=service, timeout_ms=2_000)


@pytest.fixture(scope="module")
def plain():
    """Return a server and an entry of a plain service."""
    server, entry = build_entry("plain")
    with entry:
        yield server, entry


@pytest.fixture(scope="module")
def engines():
    """Return a server and an entry of an engine service."""
    server, entry = build_entry("engines")
    with entry:
        yield server, entry


def ask(bench, path, data, has_reset, serves_next=True):
    """Send a request to a server that cuts its response."""
    server, entry = bench
    server.data, server.has_reset = data, has_reset
    server.serves_next, server.requests = serves_next, 0
    # Each example finds sound targets, whatever the ones before did.
    entry.forget_failures()
    return entry.ask(path, deadline_ms=1_500)


def cut(responses):
    """Return a strategy of a framing and a part of the response with it."""
    return st.sampled_from(sorted(responses)).flatmap(
        lambda name: st.tuples(
            st.just(name),
            st.integers(0, len(responses[name])).map(
                lambda size: responses[name][:size]
            ),
        )
    )


def body_of(data):
    """Return the bytes behind the final head, None if that is incomplete."""
    data = data.replace(INTERIM, b"")
    head, separator, body = data.partition(b"\r\n\r\n")
    return body if separator and b" 103 " not in head else None


@CUTS
@given(part=cut(PLAIN), has_reset=st.booleans())
@example(part=("none", PLAIN["none"]), has_reset=False)
@example(part=("none", PLAIN["none"]), has_reset=True)
@example(part=("interim", INTERIM + INTERIM[:9]), has_reset=False)
@example(part=("interim", INTERIM), has_reset=False)
def test_cut_plain_response_is_not_complete(plain, part, has_reset):
    """Guards against a cut head or body that is framed as a whole response."""
    name, data = part
    whole = PLAIN[name]
    reply = ask(plain, "/claim/x", data, has_reset)
    ends_by_itself = name in ("length", "chunks")
    body = body_of(data)
    if data == whole and (ends_by_itself or not has_reset):
        assert (reply.status, reply.body, reply.complete) == (200, BODY, True)
    elif body is None or ends_by_itself or has_reset:
        assert reply.status == 502
    else:
        # Without a length nothing tells a shorter body from a whole one.
        assert (reply.status, reply.body, reply.complete) == (200, body, True)
    assert plain[0].requests == 1


@CUTS
@given(part=cut(PLAIN), has_reset=st.booleans())
def test_cut_plain_response_of_a_repeatable_request_is_replaced(plain, part, has_reset):
    """Guards against a failure, or a mixed body, where a second server can serve."""
    name, data = part
    reply = ask(plain, "/lookup/x", data, has_reset)
    body = body_of(data)
    ends_by_itself = name in ("length", "chunks")
    if body is not None and not ends_by_itself and not has_reset:
        assert (reply.status, reply.body, reply.complete) == (200, body, True)
    else:
        assert (reply.status, reply.body, reply.complete) == (200, BODY, True)


@CUTS
@given(part=cut(STREAMS), has_reset=st.booleans())
@example(part=("none", STREAMS["none"]), has_reset=False)
@example(part=("none", STREAMS["none"]), has_reset=True)
@example(part=("none", STREAMS["none"][:-1]), has_reset=False)
@example(part=("chunks", STREAMS["chunks"][:-2]), has_reset=False)
def test_cut_stream_is_not_complete(engines, part, has_reset):
    """Guards against a stream that ends inside an event and looks complete."""
    name, data = part
    reply = ask(engines, "/appraise/x", data, has_reset)
    check_stream(name, data, has_reset, reply)
    assert engines[0].requests == 1


@CUTS
@given(part=cut(STREAMS), has_reset=st.booleans())
def test_cut_stream_is_resumed(engines, part, has_reset):
    """Guards against missing or repeated events after a cut in any place."""
    name, data = part
    reply = ask(engines, "/reply/x", data, has_reset)
    body = body_of(data) or b""
    ends_by_itself = name in ("length", "chunks")
    is_complete = data == STREAMS[name] and (ends_by_itself or not has_reset)
    if not ends_by_itself and not has_reset and len(body) in EVENT_ENDS[1:]:
        assert (reply.body, reply.complete) == (body, True)
    elif EVENTS[2] in body and not is_complete:
        # The resumed stream has no event, so that its end proves nothing.
        assert (reply.status, reply.body) == (200, STREAM)
    else:
        assert (reply.status, reply.body, reply.complete) == (200, STREAM, True)


@CUTS
@given(part=cut(STREAMS), has_reset=st.booleans())
def test_stream_that_is_cut_at_each_server_is_not_complete(engines, part, has_reset):
    """Guards against a complete end of a stream if resumes are cut as well."""
    name, data = part
    reply = ask(engines, "/reply/x", data, has_reset, serves_next=False)
    check_stream(name, data, has_reset, reply)


@pytest.mark.parametrize("path", ["/claim/x", "/appraise/x"])
def test_connection_of_a_response_without_length_is_not_reused(path):
    """Guards against a request that is sent into a connection that has ended."""
    ended = []

    def script(sock, data, number):
        if path == "/appraise/x":
            sock.sendall(STREAMS["none"].replace(b"r1", request_id_of(data)))
        else:
            sock.sendall(PLAIN["none"].replace(b"r1", request_id_of(data)))
        ended.append(sock.shutdown(socket.SHUT_WR))
        assert not sock.recv(1)

    service = "plain" if path == "/claim/x" else "engines"
    with Entry(script, service=service) as entry:
        replies = [entry.ask(path, f"r{n}") for n in range(5)]
        left = entry.port.open_connections
    assert [(reply.status, reply.complete) for reply in replies] == [(200, True)] * 5
    assert entry.servers[0].connections == len(ended) == 5
    assert left == 0


def check_stream(name, data, has_reset, reply):
    """Check that a cut stream reaches the caller as far as its last whole event."""
    body = body_of(data) or b""
    if name == "chunks":
        whole_events = [n for n in range(4) if b"".join(map(chunk, EVENTS[:n])) in body]
        size = EVENT_ENDS[max(whole_events)]
    else:
        size = max(end for end in EVENT_ENDS if end <= len(body))
    is_whole = data == STREAMS[name] and not (
        name not in ("length", "chunks") and has_reset
    )
    ends_at_event = (
        name in ("none", "interim") and not has_reset and len(body) in EVENT_ENDS[1:]
    )
    if is_whole or ends_at_event:
        assert (reply.status, reply.complete) == (200, True)
        assert reply.body == STREAM[:size]
        return
    if reply.status == 200:
        assert not reply.complete
        assert STREAM.startswith(reply.body)
        assert len(reply.body) in EVENT_ENDS and len(reply.body) <= EVENT_ENDS[3]
    else:
        assert reply.status in (502, 504)
