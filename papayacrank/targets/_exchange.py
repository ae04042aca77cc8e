"""State of one attempt and of one probe."""

import json
from dataclasses import dataclass, field

from ._headers import filter_request_headers
from ._request import TargetRequest
from ._response import AnswerReader
from ._stream import TokenStream

EVENT_STREAM = "text/event-stream"
ID_HEADER = "X-Request-Id"
MAX_REFUSAL_BODY_BYTES = 4_096


@dataclass(slots=True, eq=False)
class Attempt:
    """Progress of one `TargetRequest`.

    Parameters
    ----------
    advanced : bool
        Whether the last bytes received were progress: the head of the answer, a token
        of a stream or a piece of a plain body. Other bytes do not extend a time-out.
    """

    request: TargetRequest
    wire: bytes
    reader: AnswerReader
    stream: TokenStream | None = None
    bytes_written: bool = False
    answered: bool = False
    paused: bool = False
    restarted: bool = False
    refused: bool = False
    got_token: bool = False
    advanced: bool = False
    body_bytes: int = 0
    refusal_body: bytearray = field(default_factory=bytearray)
    connection: object = None

    @classmethod
    def start(cls, request: TargetRequest) -> "Attempt":
        """Encode a request.

        Raises
        ------
        ValueError
            If the request cannot be sent as it is.
        """
        stream = None
        if request.stream:
            stream = TokenStream(request.expected_id, request.first_offset)
        return cls(
            request, encode_request(request), AnswerReader(request.method), stream
        )


@dataclass(slots=True, eq=False)
class Probe:
    """Check of an idle connection on behalf of an attempt."""

    attempt: Attempt
    reader: AnswerReader


def encode_request(request: TargetRequest) -> bytes:
    """Return the bytes of a request.

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
    """Return the bytes of a probe."""
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode("latin-1")


def encode_cancel(request: TargetRequest) -> bytes:
    """Return the body of a cancel request."""
    return json.dumps({"request_id": request.expected_id}).encode()
