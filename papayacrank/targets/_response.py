"""Incremental reader of one HTTP/1.1 answer."""

import io
import re
from dataclasses import dataclass
from http.client import HTTPException, parse_headers

from ._headers import Headers
from ._request import MAX_ANSWER_HEADER_BYTES

MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8_192
# A target sends few interim heads; more are an answer without end.
MAX_INTERIM_HEADS = 16
NO_BODY_STATUSES = (204, 304)
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
CONTINUED_LINE = re.compile(r"\r?\n[ \t]+")


class MalformedAnswerError(ValueError):
    """The bytes are no well-framed HTTP/1.1 answer."""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status line and headers."""

    status: int
    headers: Headers
    version: str

    def find(self, name: str) -> str | None:
        """Return the first value of a header, if present."""
        name = name.lower()
        return next((v for n, v in self.headers if n.lower() == name), None)


class AnswerReader:
    """Reader of one answer; `circuits.web.parsers.HttpParser` is not used.

    That parser treats a chunk whose line end arrives in a later segment as an error
    and interprets backslash escapes in header values, so that a target could insert
    line breaks into forwarded headers. Headers are parsed by the standard library.

    An answer that ends with the connection is refused, because a lost connection
    could not be told from its end.

    Parameters
    ----------
    method : str
        Method of the request.
    """

    def __init__(self, method: str):
        self._method = method
        self._buffer = bytearray()
        self._read_part = self._read_head
        self._left_bytes = 0
        self.head: AnswerHead | None = None
        self.complete = False
        self._interim_heads = 0
        self.keep_alive = False

    @property
    def surplus(self) -> bool:
        """Whether bytes follow the end of the answer."""
        return self.complete and bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Take received bytes and return the part of the body that they contain.

        Raises
        ------
        MalformedAnswerError
            If the bytes violate the protocol or a limit.
        """
        self._buffer += data
        body: list[bytes] = []
        while not self.complete and self._read_part(body):
            pass
        return b"".join(body)

    def _read_head(self, body: list[bytes]) -> bool:
        end = self._buffer.find(HEAD_END)
        if end > MAX_ANSWER_HEADER_BYTES or (
            end < 0 and len(self._buffer) > MAX_ANSWER_HEADER_BYTES
        ):
            raise MalformedAnswerError("the headers are too large")
        if end < 0:
            return False
        head = _parse_head(self._take(end + len(HEAD_END)))
        if 100 <= head.status < 200:
            if head.status == 101:
                raise MalformedAnswerError("unexpected change of protocol")
            self._interim_heads += 1
            if self._interim_heads > MAX_INTERIM_HEADS:
                raise MalformedAnswerError("too many interim heads")
            return True
        self.head = head
        self._choose_framing(head)
        return True

    def _choose_framing(self, head: AnswerHead) -> None:
        connection = (head.find("connection") or "").lower()
        self.keep_alive = head.version == "HTTP/1.1" and "close" not in connection
        lengths = {v.strip() for n, v in head.headers if n.lower() == "content-length"}
        encodings = [v for n, v in head.headers if n.lower() == "transfer-encoding"]
        if self._method == "HEAD" or head.status in NO_BODY_STATUSES:
            self.complete = True
        elif encodings:
            if lengths or [e.strip().lower() for e in encodings] != ["chunked"]:
                raise MalformedAnswerError("unsupported transfer encoding")
            self._read_part = self._read_chunk_size
        else:
            self._left_bytes = _parse_length(lengths)
            self._read_part = self._read_sized_body
            self.complete = self._left_bytes == 0

    def _read_sized_body(self, body: list[bytes]) -> bool:
        body.append(self._take(min(self._left_bytes, len(self._buffer))))
        self._left_bytes -= len(body[-1])
        self.complete = self._left_bytes == 0
        return False

    def _read_chunk_size(self, body: list[bytes]) -> bool:
        end = self._buffer.find(LINE_END)
        if end > MAX_CHUNK_LINE_BYTES or (
            end < 0 and len(self._buffer) > MAX_CHUNK_LINE_BYTES
        ):
            raise MalformedAnswerError("the chunk size line is too long")
        if end < 0:
            return False
        line = self._take(end + len(LINE_END))
        self._left_bytes = _parse_chunk_size(line)
        if self._left_bytes == 0:
            self._read_part = self._read_trailer
        else:
            self._read_part = self._read_chunk
        return True

    def _read_chunk(self, body: list[bytes]) -> bool:
        if not self._buffer:
            return False
        body.append(self._take(min(self._left_bytes, len(self._buffer))))
        self._left_bytes -= len(body[-1])
        if self._left_bytes == 0:
            self._read_part = self._read_chunk_end
        return True

    def _read_chunk_end(self, body: list[bytes]) -> bool:
        if len(self._buffer) < len(LINE_END):
            return False
        if self._take(len(LINE_END)) != LINE_END:
            raise MalformedAnswerError("a chunk does not end with a line end")
        self._read_part = self._read_chunk_size
        return True

    def _read_trailer(self, body: list[bytes]) -> bool:
        end = self._buffer.find(LINE_END)
        if len(self._buffer) > MAX_TRAILER_BYTES:
            raise MalformedAnswerError("the trailer is too large")
        if end < 0:
            return False
        self._take(end + len(LINE_END))
        self.complete = end == 0
        return True

    def _take(self, count: int) -> bytes:
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data


def _parse_head(data: bytes) -> AnswerHead:
    line, _, rest = data.partition(LINE_END)
    parts = line.decode("latin-1").split(" ", 2)
    if len(parts) < 2 or not parts[0].startswith("HTTP/1."):
        raise MalformedAnswerError("no HTTP/1 status line")
    if len(parts[1]) != 3 or not parts[1].isdigit():
        raise MalformedAnswerError("invalid status code")
    try:
        message = parse_headers(io.BytesIO(rest))
    except HTTPException as error:
        raise MalformedAnswerError(f"invalid headers: {error}") from error
    if message.defects:
        raise MalformedAnswerError(f"invalid headers: {message.defects[0]!r}")
    headers = tuple((n, _unfold(v)) for n, v in message.items())
    if any(c in value for _, value in headers for c in "\r\n\0"):
        raise MalformedAnswerError("control character in a header value")
    return AnswerHead(int(parts[1]), headers, parts[0])


def _unfold(value: str) -> str:
    """Join a value that was continued on a further line."""
    return CONTINUED_LINE.sub(" ", value).strip()


def _parse_length(lengths: set[str]) -> int:
    if not lengths:
        raise MalformedAnswerError("the end of the answer is not marked")
    value = lengths.pop()
    if lengths or not (value.isascii() and value.isdigit()):
        raise MalformedAnswerError("invalid content length")
    return int(value)


def _parse_chunk_size(line: bytes) -> int:
    digits = line.split(b";", 1)[0].strip()
    if not digits or not all(c in b"0123456789abcdefABCDEF" for c in digits):
        raise MalformedAnswerError("invalid chunk size")
    return int(digits, 16)
