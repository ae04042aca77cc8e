"""State and wire encoding of attempts, probes and cancel requests."""

import json
from dataclasses import dataclass, field

from ._headers import filter_request_headers
from ._request import TargetRequest
from ._response import ResponseParser
from ._stream import TokenStream

EVENT_STREAM = "text/event-stream"
ID_HEADER = "X-Request-Id"
# Requests per second that the target accepts from all instances together.
RATE_LIMIT_HEADER = "X-Request-Rate-Limit"
MAX_REFUSAL_BODY_BYTES = 4_096


@dataclass(slots=True, eq=False)
class Attempt:
    """Progress of one `TargetRequest`.

    Parameters
    ----------
    response_started : bool
        Whether any byte of the response was received.
    reconnected : bool
        Whether the request was sent again, because a reused connection turned out to
        be closed or returned a response without an id.
    refused : bool
        Whether a stream was requested and the response status is not 200.
    expects_id : bool
        Whether earlier responses on the connection carried ids, so that one without an
        id may belong to an earlier request.
    made_progress : bool
        Whether the last received bytes were progress: the response head, a token of
        a stream or a piece of a plain body. Other bytes do not extend a timeout.
    refusal_body : bytearray
        First bytes of the body of a refused stream.
    """

    request: TargetRequest
    encoded_request: bytes
    reader: ResponseParser
    stream: TokenStream | None = None
    bytes_written: bool = False
    response_started: bool = False
    paused: bool = False
    reconnected: bool = False
    refused: bool = False
    expects_id: bool = False
    first_token_received: bool = False
    made_progress: bool = False
    body_bytes: int = 0
    refusal_body: bytearray = field(default_factory=bytearray)
    connection: object = None

    @classmethod
    def start(cls, request: TargetRequest) -> "Attempt":
        """Encode a request and create its attempt.

        Raises
        ------
        ValueError
            If the request line or a header is invalid.
        """
        stream = None
        if request.stream:
            stream = TokenStream(request.expected_id, request.first_offset)
        return cls(
            request, encode_request(request), ResponseParser(request.method), stream
        )

    def restart(self) -> None:
        """Prepare the request for a second sending, on a new connection."""
        self.reconnected = True
        self.response_started = False
        self.expects_id = False
        self.encoded_request = encode_request(self.request)
        self.reader = ResponseParser(self.request.method)


@dataclass(slots=True, eq=False)
class Probe:
    """Check of an idle connection before an attempt reuses it."""

    attempt: Attempt
    reader: ResponseParser


def encode_request(request: TargetRequest) -> bytes:
    """Return the request as sent on the wire.

    Raises
    ------
    ValueError
        If the request line or a header is invalid.
    """
    if not request.method.isalpha() or not request.method.isascii():
        raise ValueError("invalid method")
    path = request.path
    if not path.startswith("/") or not path.isascii() or not path.isprintable():
        raise ValueError("invalid path")
    if " " in path:
        raise ValueError("invalid path")
    if not request.expected_id.isascii() or not request.expected_id.isprintable():
        raise ValueError("invalid request id")
    headers = filter_request_headers(request.headers, request.pass_headers)
    lines = [f"{request.method} {path} HTTP/1.1", f"Host: {request.address}"]
    lines.append(f"{ID_HEADER}: {request.expected_id}")
    lines += [f"{n}: {v}" for n, v in headers if n.lower() != ID_HEADER.lower()]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + request.body


def encode_probe(address: str, path: str) -> bytes:
    """Return a probe as sent on the wire."""
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode("latin-1")


def encode_cancel(request: TargetRequest) -> bytes:
    """Return the body of a cancel request."""
    return json.dumps({"request_id": request.expected_id}).encode()
