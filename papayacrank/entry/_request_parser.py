"""Parser of HTTP requests with bounded memory."""

import re
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import unquote_to_bytes

from circuits.web.parsers import HttpParser

from papayacrank.kernel import Failure, Verdict

_HEAD_END = b"\r\n\r\n"
_REQUEST_LINE = re.compile(
    rb"[A-Z]{1,20} /[!-~]* HTTP/1\.[01]\r\n", re.ASCII
)  # printable ASCII without spaces in the target
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
_FORBIDDEN_PATH_PARTS = (b"\\", b"\x00", b"\r", b"\n", b"//")
_REQUEST_FRAMING_HEADERS = ("host", "content-length", "transfer-encoding")


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete HTTP request.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    target : str
        Path with query string as received, ASCII.
    path : str
        Percent-decoded path without dot segments.
    headers : Mapping
        Headers with case-insensitive names (``circuits.web.headers.Headers``).
    body : bytes
        Complete body.
    keep_alive : bool
        Whether the caller wants to reuse the connection.
    accepts_chunked : bool
        Whether the caller supports chunked transfer encoding (HTTP/1.1).
    """

    method: str
    target: str
    path: str
    headers: Any
    body: bytes
    keep_alive: bool
    accepts_chunked: bool = True


class RequestParser:
    """Incremental parser of the requests on one connection.

    The request line and headers are validated before ``circuits.web`` parses them,
    because its parser accepts folded and malformed lines, repeated ``Content-Length``
    headers and escape sequences, which targets may interpret differently (request
    smuggling). A body requires a ``Content-Length``.

    Parameters
    ----------
    max_header_bytes : int
        Maximum size of the request line and headers together.
    max_body_bytes : int
        Maximum size of a body.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._head: CallerRequest | None = None
        self._body_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes that have not been consumed."""
        return len(self._buffer)

    @property
    def is_within_request(self) -> bool:
        """Whether a request has been partly received."""
        return self._head is not None or bool(self._buffer)

    @property
    def body_bytes(self) -> int:
        """Body size of the request in progress or last returned."""
        return self._body_bytes

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue`` before it sends the body."""
        if self._head is None:
            return False
        return self._head.headers.get("Expect", "").lower() == "100-continue"

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next_request(self) -> CallerRequest | Failure | None:
        """Return the next complete request.

        Returns
        -------
        CallerRequest or Failure or None
            None if more bytes are needed. After a failure the start of the next
            request is unknown, so the connection must be closed.
        """
        if self._head is None:
            failure = self._read_head()
            if failure is not None or self._head is None:
                return failure
        if len(self._buffer) < self._body_bytes:
            return None
        return self._pop_request()

    def _read_head(self) -> Failure | None:
        self._body_bytes = 0
        while self._buffer.startswith(b"\r\n"):
            del self._buffer[:2]  # HTTP allows empty lines before a request
        end = self._buffer.find(_HEAD_END, 0, self._max_header_bytes)
        if end < 0:
            if len(self._buffer) >= self._max_header_bytes:
                return _refuse("headers_too_large", "request headers too large", 431)
            return None
        end += len(_HEAD_END)
        head = bytes(self._buffer[:end])
        del self._buffer[:end]
        return self._parse_head(head)

    def _parse_head(self, head: bytes) -> Failure | None:
        syntax_error = _find_syntax_error(head)
        if syntax_error is not None:
            return _refuse("bad_request", syntax_error, 400)
        parser = HttpParser(0)
        # The library decodes backslash escapes, which HTTP does not define.
        escaped = head.replace(b"\\", b"\\\\")
        try:
            parser.execute(escaped, len(escaped))
        except ValueError as error:
            return _refuse("bad_request", f"malformed request target: {error}", 400)
        if not parser.is_headers_complete():
            return _refuse("bad_request", "malformed request line or headers", 400)
        return self._accept_head(parser)

    def _accept_head(self, parser: HttpParser) -> Failure | None:
        headers = parser.get_headers()
        if "transfer-encoding" in headers:
            text = "a body needs a Content-Length; transfer encodings are not accepted"
            return _refuse("length_required", text, 400)
        length = headers.get("content-length", "0")
        if not _CONTENT_LENGTH.fullmatch(length):
            return _refuse("bad_request", "Content-Length is not a number", 400)
        if parser.get_version() == (1, 1) and not headers.get("host"):
            return _refuse("bad_request", "Host header missing", 400)
        if int(length) > self._max_body_bytes:
            text = f"the body exceeds {self._max_body_bytes} bytes"
            return _refuse("body_too_large", text, 413)
        path = decode_path(parser.get_path())
        if path is None:
            return _refuse("bad_request", "ambiguous path", 400)
        self._body_bytes = int(length)
        self._head = CallerRequest(
            method=parser.get_method(),
            target=parser.get_url(),
            path=path,
            headers=headers,
            body=b"",
            keep_alive=parser.should_keep_alive(),
            accepts_chunked=parser.get_version() == (1, 1),
        )
        return None

    def _pop_request(self) -> CallerRequest:
        head = self._head
        body = bytes(self._buffer[: self._body_bytes])
        del self._buffer[: self._body_bytes]
        self._head = None
        return replace(head, body=body)


def decode_path(path: str) -> str | None:
    """Decode the percent encoding of a path.

    Rules for public and idempotent paths are matched against the result. Paths that
    a target could interpret as another path are refused: those with dot segments,
    empty segments, encoded slashes or backslashes.

    Parameters
    ----------
    path : str
        Path as received, ASCII.

    Returns
    -------
    str or None
        Decoded path, or None if it is refused.
    """
    if "%2f" in path.lower():
        return None
    raw = unquote_to_bytes(path)
    if any(part in raw for part in _FORBIDDEN_PATH_PARTS):
        return None
    if any(segment in (b".", b"..") for segment in raw.split(b"/")):
        return None
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError:
        return None


def _find_syntax_error(head: bytes) -> str | None:
    line = _REQUEST_LINE.match(head)
    if line is None:
        return "malformed request line"
    position = line.end()
    seen = set()
    while position < len(head) - 2:
        header = _HEADER_LINE.match(head, position)
        if header is None:
            return "malformed header line"
        name = header.group().split(b":", 1)[0].decode().lower()
        if name in _REQUEST_FRAMING_HEADERS and name in seen:
            return f"header {name} sent twice"
        seen.add(name)
        position = header.end()
    return None


def _refuse(code: str, message: str, status: int) -> Failure:
    return Failure(code, Verdict.NOT_RUN, message, status)
