"""Tests of response framing, the event stream and the header filter."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayacrank.targets import filter_request_headers, filter_response_headers
from papayacrank.targets._response import MalformedResponseError, ResponseParser
from papayacrank.targets._stream import StreamError, TokenStream

CHUNKED = (
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    b"HTTP/1.1 418 I'm a teapot (really)\r\nTransfer-Encoding: chunked\r\n"
    b"X-Path: C:\\r\\nSet-Cookie: a=b\r\n\r\n"
    b'5;ext="1"\r\nhello\r\n6\r\n world\r\n0\r\nX-Sum: 1\r\n\r\n'
)


def split(data, cuts):
    """Split bytes at the given positions."""
    positions = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(positions, positions[1:], strict=False)]


@given(st.lists(st.integers(0, len(CHUNKED)), max_size=12))
def test_chunked_response_is_read_whatever_the_segments(cuts):
    """Guards against framing that depends on how TCP segments the response."""
    reader = ResponseParser("GET")
    body = b"".join(reader.feed(piece) for piece in split(CHUNKED, cuts))
    assert (body, reader.complete, reader.has_trailing_data) == (
        b"hello world",
        True,
        False,
    )
    assert reader.head.status == 418
    assert reader.head.find("set-cookie") is None
    assert reader.head.find("x-path") == "C:\\r\\nSet-Cookie: a=b"


@pytest.mark.parametrize(
    "response",
    [
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloXX",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"a" * 70_000,
    ],
)
def test_ambiguous_responses_are_rejected(response):
    """Guards against accepting a response with unclear end or protocol."""
    with pytest.raises(MalformedResponseError):
        ResponseParser("GET").feed(response)


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_response_without_length_is_complete_only_after_its_connection(version):
    """Guards against a response without a length that ends early or is reused."""
    reader = ResponseParser("GET")
    head = b"HTTP/%s 200 OK\r\nX: y\r\n" % version
    reader.feed(head)
    reader.end_connection()
    assert not reader.complete
    assert reader.feed(b"\r\nuntil the ") + reader.feed(b"end") == b"until the end"
    assert (reader.complete, reader.keep_alive) == (False, False)
    reader.end_connection()
    assert (reader.complete, reader.keep_alive) == (True, False)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_only_malformed_response_error(data):
    """Guards against bytes from a target that cause an unhandled exception."""
    reader = ResponseParser("GET")
    try:
        reader.feed(b"HTTP/1.1 200 OK\r\n" + data)
    except MalformedResponseError:
        return


def event(document):
    """Encode one chunk of a stream as a server-sent event."""
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def token(offset, text=" abc", request_id="r1"):
    """Encode one token of a stream."""
    choice = {"delta": {"content": text}}
    return event({"id": request_id, "offset": offset, "choices": [choice]})


def end(count):
    """Encode the last chunk and the end of a stream."""
    usage = {"prompt_tokens": 1, "completion_tokens": count}
    choice = {"delta": {}, "finish_reason": "stop"}
    document = {"id": "r1", "offset": count, "choices": [choice], "usage": usage}
    return event(document) + b"data: [DONE]\n\n"


@given(st.lists(st.integers(0, 400), max_size=8))
def test_stream_is_read_whatever_the_segments(cuts):
    """Guards against lost tokens if a segment ends within an event or a character."""
    data = b": ping\r\n\r\n" + token(2, " \u00e9\u4e16") + token(3) + end(4)
    stream = TokenStream("r1", 2)
    tokens = [t for piece in split(data, cuts) for t in stream.feed(piece)]
    assert tokens == [(2, " \u00e9\u4e16"), (3, " abc")]
    assert stream.ended


def test_tokens_before_the_offset_are_dropped():
    """Guards against repeated tokens from an engine that cannot resume."""
    stream = TokenStream("r1", 2)
    assert stream.feed(token(0) + token(1) + token(2)) == [(2, " abc")]


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (token(0, request_id="r2"), "wrong_answer"),
        (token(1), "offset_gap"),
        (token(0) + token(2), "offset_gap"),
        (token(0) + token(0), "offset_gap"),
        (token(0) + end(2), "offset_gap"),
        (token(0) + b"data: [DONE]\n\n", "truncated_answer"),
        (event({"id": "r1", "error": {"code": "cancelled"}}), "engine_error"),
    ],
)
def test_faulty_streams_are_rejected(data, code):
    """Guards against delivering swapped, repeated, skipped or missing tokens."""
    with pytest.raises(StreamError) as raised:
        TokenStream("r1", 0).feed(data)
    assert raised.value.code == code


@pytest.mark.parametrize(
    "data",
    [b"data: {\n\n", event([1]), b"data: " + b"x" * 300_000, end(0) + token(0)],
)
def test_undecodable_streams_are_rejected(data):
    """Guards against an unhandled exception and an unbounded buffer."""
    with pytest.raises(MalformedResponseError):
        TokenStream("r1", 0).feed(data)


def test_credentials_and_hop_by_hop_headers_are_removed():
    """Guards against forwarding a caller's credentials, in upper or lower case."""
    headers = [
        ("AUTHORIZATION", "Bearer k"),
        ("Cookie", "a=b"),
        ("proxy-authorization", "Basic k"),
        ("Idempotency-Key", "k1"),
        ("Connection", "close, X-Own"),
        ("X-Own", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Host", "evil"),
        ("Content-Length", "5"),
        ("Accept", "*/*"),
    ]
    assert filter_request_headers(headers) == (("Accept", "*/*"),)
    kept = filter_request_headers(headers, frozenset({"idempotency-key"}))
    assert kept == (("Idempotency-Key", "k1"), ("Accept", "*/*"))
    response_headers = filter_response_headers([("Keep-Alive", "5"), ("Via", "x")])
    assert response_headers == (("Via", "x"),)


@pytest.mark.parametrize("header", [("X", "a\r\nY: b"), ("X Y", "a"), ("", "a")])
def test_invalid_headers_are_rejected(header):
    """Guards against header injection by a caller."""
    with pytest.raises(ValueError, match="header"):
        filter_request_headers([header])
