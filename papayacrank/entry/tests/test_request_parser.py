"""Tests of the request parser."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayacrank.entry._request_parser import CallerRequest, RequestParser, decode_path
from papayacrank.kernel import Failure, Verdict

MAX_HEADER_BYTES = 1_024
MAX_BODY_BYTES = 2_048


def make_parser() -> RequestParser:
    return RequestParser(MAX_HEADER_BYTES, MAX_BODY_BYTES)


def parse(data: bytes):
    parser = make_parser()
    parser.feed(data)
    return parser.next_request()


def test_reads_pipelined_requests_split_at_every_byte():
    """Guards against lost or merged requests, wherever the input is split."""
    one = b"POST /a?x=%201 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
    two = b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    parser = make_parser()
    found = []
    for byte in one + two:
        parser.feed(bytes([byte]))
        request = parser.next_request()
        if request is not None:
            found.append(request)
    assert [(r.method, r.target, r.body) for r in found] == [
        ("POST", "/a?x=%201", b"abc"),
        ("GET", "/b", b""),
    ]
    assert [r.keep_alive for r in found] == [True, False]


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: -1", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: +1", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1_0", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 2049", 413),
        (b"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 1", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\n folded", 400),
        (b"GET / HTTP/1.1\r\nHost: h\nX: y", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b", 400),
        (b"GET / HTTP/1.1\r\nAccept: x", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b", 400),
        (b"GET http://other/ HTTP/1.1\r\nHost: h", 400),
        (b"GET /a b HTTP/1.1\r\nHost: h", 400),
        (b"GET / HTTP/2.0\r\nHost: h", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2_000, 431),
    ],
)
def test_refuses_malformed_heads(head, status):
    """Guards against request smuggling and unbounded headers."""
    failure = parse(head + b"\r\n\r\n")
    assert isinstance(failure, Failure)
    assert failure.status == status
    assert failure.verdict is Verdict.NOT_RUN


def test_escape_sequences_in_headers_stay_literal():
    """Guards against header injection through escapes that the library decodes."""
    request = parse(b"GET /a HTTP/1.1\r\nHost: h\r\nX: a\\r\\nY: b\\x41\r\n\r\n")
    assert request.headers["X"] == "a\\r\\nY: b\\x41"
    assert "Y" not in request.headers


@pytest.mark.parametrize(
    "path",
    ["/public/../claims", "/public/%2e%2e/claims", "/a%2fb", "/a%5cb", "/a//b", "/%ff"],
)
def test_refuses_ambiguous_paths(path):
    """Guards against access to a protected path under the rule of a public one."""
    assert decode_path(path) is None


def test_decodes_paths_for_rules():
    """Guards against evading the rule of a path by percent encoding."""
    assert decode_path("/%63laims/1") == "/claims/1"


@given(st.lists(st.binary(max_size=700), max_size=8))
def test_any_bytes_give_requests_or_a_refusal_in_bounded_memory(pieces):
    """Guards against exceptions and unbounded buffering on arbitrary input."""
    parser = make_parser()
    for piece in pieces:
        parser.feed(piece)
        result = parser.next_request()
        while isinstance(result, CallerRequest):
            result = parser.next_request()
        if isinstance(result, Failure):
            assert result.verdict is Verdict.NOT_RUN
            return
        assert parser.buffered_bytes <= MAX_HEADER_BYTES + MAX_BODY_BYTES + 700


TOKEN = st.text("abcXYZ-09", min_size=1, max_size=8)
VALUE = st.text(st.characters(min_codepoint=0x20, max_codepoint=0x7E), max_size=20).map(
    str.strip
)


@given(
    st.sampled_from(["GET", "POST", "DELETE"]),
    st.text("abc/?=&%41", max_size=20),
    st.dictionaries(TOKEN.map(lambda name: "X-" + name.upper()), VALUE, max_size=5),
    st.binary(max_size=MAX_BODY_BYTES),
    st.lists(st.integers(0, 3_000), max_size=4),
)
def test_well_formed_requests_are_read_as_sent(method, path, headers, body, cuts):
    """Guards against altered headers or bodies, wherever the input is split."""
    lines = [f"{method} /{path} HTTP/1.1", "Host: h", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    parser = make_parser()
    edges = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    result = None
    for start, end in zip(edges, edges[1:], strict=False):
        parser.feed(data[start:end])
        result = parser.next_request()
        assert result is None or end == len(data) or isinstance(result, Failure)
        if isinstance(result, Failure):
            assert decode_path(f"/{path.split('?')[0]}") is None
            return
    assert result.body == body
    assert result.target == f"/{path}"
    assert {name: result.headers[name] for name in headers} == headers
