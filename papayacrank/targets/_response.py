"""Incremental parser of one HTTP/1.1 response."""

import io
import re
from dataclasses import dataclass
from http.client import HTTPException, parse_headers

from ._headers import Headers
from ._request import MAX_RESPONSE_HEADER_BYTES

MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8_192
# Targets send few 1xx responses; without a limit, one could send them for ever.
MAX_INTERIM_HEADS = 16
NO_BODY_STATUSES = (204, 304)
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
LINE_CONTINUATION = re.compile(r"\r?\n[ \t]+")


class MalformedResponseError(ValueError):
    """Raised if received bytes are not a well-framed HTTP/1.1 response."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers of a response."""

    status: int
    headers: Headers
    version: str

    def find(self, name: str) -> str | None:
        """Return the first value of a header, or None if it is missing."""
        return next(iter(self.find_all(name)), None)

    def find_all(self, name: str) -> list[str]:
        """Return all values of a header, in order."""
        name = name.lower()
        return [v for n, v in self.headers if n.lower() == name]


class ResponseParser:
    """Incremental parser of one response.

    `circuits.web.parsers.HttpParser` is not used because it reports an error if the
    line end of a chunk arrives in a later segment, and because it interprets
    backslash escapes in header values, which lets a target insert line breaks into
    forwarded headers. Headers are parsed by the standard library.

    A response with neither a length nor chunks ends with its connection, which
    `end_connection` reports. The caller of this class distinguishes an orderly end from
    a lost connection.

    Parameters
    ----------
    method : str
        Method of the request; a response to HEAD has no body.
    """

    def __init__(self, method: str):
        self._method = method
        self._buffer = bytearray()
        self._read_next = self._read_head
        self._remaining_bytes = 0
        self.head: ResponseHead | None = None
        self.complete = False
        self._interim_heads = 0
        self.keep_alive = False

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes were received after the end of the response."""
        return self.complete and bool(self._buffer)

    def end_connection(self) -> None:
        """Handle the orderly end of the connection, which may complete the response."""
        if self._read_next == self._read_until_end:
            self.complete = True

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes and return the part of the body that they contain.

        Parameters
        ----------
        data : bytes
            Received bytes, cut at any place.

        Returns
        -------
        bytes
            Decoded part of the body; empty if there is none.

        Raises
        ------
        MalformedResponseError
            If the bytes violate the protocol or exceed a size limit.
        """
        self._buffer += data
        body: list[bytes] = []
        while not self.complete and self._read_next(body):
            pass
        return b"".join(body)

    def _read_head(self, body: list[bytes]) -> bool:
        end = self._buffer.find(HEAD_END)
        if end > MAX_RESPONSE_HEADER_BYTES or (
            end < 0 and len(self._buffer) > MAX_RESPONSE_HEADER_BYTES
        ):
            raise MalformedResponseError("the headers are too large")
        if end < 0:
            return False
        head = _parse_head(self._consume(end + len(HEAD_END)))
        if 100 <= head.status < 200:
            if head.status == 101:
                raise MalformedResponseError("unexpected change of protocol")
            self._interim_heads += 1
            if self._interim_heads > MAX_INTERIM_HEADS:
                raise MalformedResponseError("too many interim heads")
            return True
        self.head = head
        self._select_framing(head)
        return True

    def _select_framing(self, head: ResponseHead) -> None:
        connection = (head.find("connection") or "").lower()
        self.keep_alive = head.version == "HTTP/1.1" and "close" not in connection
        lengths = {v.strip() for n, v in head.headers if n.lower() == "content-length"}
        encodings = [v for n, v in head.headers if n.lower() == "transfer-encoding"]
        if self._method == "HEAD" or head.status in NO_BODY_STATUSES:
            self.complete = True
        elif encodings:
            if lengths or [e.strip().lower() for e in encodings] != ["chunked"]:
                raise MalformedResponseError("unsupported transfer encoding")
            self._read_next = self._read_chunk_size
        elif not lengths:
            self.keep_alive = False
            self._read_next = self._read_until_end
        else:
            self._remaining_bytes = _parse_length(lengths)
            self._read_next = self._read_sized_body
            self.complete = self._remaining_bytes == 0

    def _read_sized_body(self, body: list[bytes]) -> bool:
        body.append(self._consume(min(self._remaining_bytes, len(self._buffer))))
        self._remaining_bytes -= len(body[-1])
        self.complete = self._remaining_bytes == 0
        return False

    def _read_until_end(self, body: list[bytes]) -> bool:
        body.append(self._consume(len(self._buffer)))
        return False

    def _read_chunk_size(self, body: list[bytes]) -> bool:
        end = self._buffer.find(LINE_END)
        if end > MAX_CHUNK_LINE_BYTES or (
            end < 0 and len(self._buffer) > MAX_CHUNK_LINE_BYTES
        ):
            raise MalformedResponseError("the chunk size line is too long")
        if end < 0:
            return False
        line = self._consume(end + len(LINE_END))
        self._remaining_bytes = _parse_chunk_size(line)
        if self._remaining_bytes == 0:
            self._read_next = self._read_trailer
        else:
            self._read_next = self._read_chunk
        return True

    def _read_chunk(self, body: list[bytes]) -> bool:
        if not self._buffer:
            return False
        body.append(self._consume(min(self._remaining_bytes, len(self._buffer))))
        self._remaining_bytes -= len(body[-1])
        if self._remaining_bytes == 0:
            self._read_next = self._read_chunk_end
        return True

    def _read_chunk_end(self, body: list[bytes]) -> bool:
        if len(self._buffer) < len(LINE_END):
            return False
        if self._consume(len(LINE_END)) != LINE_END:
            raise MalformedResponseError("a chunk does not end with a line end")
        self._read_next = self._read_chunk_size
        return True

    def _read_trailer(self, body: list[bytes]) -> bool:
        end = self._buffer.find(LINE_END)
        if len(self._buffer) > MAX_TRAILER_BYTES:
            raise MalformedResponseError("the trailer is too large")
        if end < 0:
            return False
        self._consume(end + len(LINE_END))
        self.complete = end == 0
        return True

    def _consume(self, count: int) -> bytes:
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data


def _parse_head(data: bytes) -> ResponseHead:
    line, _, rest = data.partition(LINE_END)
    parts = line.decode("latin-1").split(" ", 2)
    if len(parts) < 2 or not parts[0].startswith("HTTP/1."):
        raise MalformedResponseError("no HTTP/1 status line")
    if len(parts[1]) != 3 or not parts[1].isdigit():
        raise MalformedResponseError("invalid status code")
    try:
        message = parse_headers(io.BytesIO(rest))
    except HTTPException as error:
        raise MalformedResponseError(f"invalid headers: {error}") from error
    if message.defects:
        raise MalformedResponseError(f"invalid headers: {message.defects[0]!r}")
    headers = tuple((n, _unfold(v)) for n, v in message.items())
    if any(c in value for _, value in headers for c in "\r\n\0"):
        raise MalformedResponseError("control character in a header value")
    return ResponseHead(int(parts[1]), headers, parts[0])


def _unfold(value: str) -> str:
    """Join a header value that is continued on further lines (obsolete folding)."""
    return LINE_CONTINUATION.sub(" ", value).strip()


def _parse_length(lengths: set[str]) -> int:
    value = lengths.pop()
    if lengths or not (value.isascii() and value.isdigit()):
        raise MalformedResponseError("invalid content length")
    return int(value)


def _parse_chunk_size(line: bytes) -> int:
    digits = line.split(b";", 1)[0].strip()
    if not digits or not all(c in b"0123456789abcdefABCDEF" for c in digits):
        raise MalformedResponseError("invalid chunk size")
    return int(digits, 16)
