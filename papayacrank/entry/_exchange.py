"""A caller's request and its response."""

from dataclasses import dataclass, field
from typing import Any

from papayacrank.kernel import Failure

from ._request_parser import CallerRequest
from ._responses import (
    SSE_TYPE,
    Headers,
    build_failure_headers,
    encode_chunk,
    encode_failure_body,
    encode_head,
    encode_sse_failure,
)

REQUEST_ID_HEADER = "X-Request-Id"
BODILESS_STATUSES = (204, 304)


@dataclass(eq=False)
class Exchange:
    """A request together with the means to respond to it, exactly once.

    Parameters
    ----------
    request : CallerRequest
        Parsed request.
    request_id : str
        Unique identifier, used in the process and towards targets.
    public_id : str
        Identifier shown to the caller: the one that it sent, or `request_id`.
    peer : str
        IP address of the caller.
    sock : socket
        Socket of the connection.
    front_end : FrontEnd
        Component that owns the connection.
    workspace : str or None
        Workspace of the caller, once authenticated.
    """

    request: CallerRequest
    request_id: str
    public_id: str
    peer: str
    sock: Any
    front_end: Any
    workspace: str | None = None
    extra_headers: Headers = field(default_factory=list)
    status: int = 0
    is_open: bool = True
    is_streaming: bool = False

    @property
    def is_blocked(self) -> bool:
        """Whether the caller reads too slowly to accept more data now."""
        return self.front_end.is_blocked(self.sock)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        if not self.is_open:
            return
        self.status = status
        framing = [("Content-Length", str(len(body)))]
        if status in BODILESS_STATUSES:
            framing, body = [], b""
        head = encode_head(status, [*self._common_headers(), *headers, *framing])
        if self.request.method == "HEAD":
            body = b""
        self.front_end.send(self, head + body)
        self._finish()

    def respond_failure(self, failure: Failure) -> None:
        """Send a failure as a response, or as the last event of a started stream."""
        if self.is_streaming:
            self.write(encode_sse_failure(failure, self.public_id))
            self.end_stream()
            return
        body = encode_failure_body(failure, self.public_id)
        self.respond(failure.status, build_failure_headers(failure), body)

    def start_stream(self, headers: Headers = ()) -> None:
        """Send the head of a streamed response."""
        if not self.is_open or self.is_streaming:
            return
        self.status = 200
        self.is_streaming = True
        framing = [("Content-Type", SSE_TYPE), ("Cache-Control", "no-store")]
        if self.request.accepts_chunked:
            framing.append(("Transfer-Encoding", "chunked"))
        else:
            # Without chunked encoding, the end of the response is marked by closing
            # the connection.
            self.front_end.close_after_response(self)
        all_headers = [*self._common_headers(), *headers, *framing]
        self.front_end.send(self, encode_head(200, all_headers))

    def write(self, data: bytes) -> None:
        """Send a part of the body of a streamed response."""
        if self.is_open and data:
            chunked = self.request.accepts_chunked
            self.front_end.send(self, encode_chunk(data) if chunked else data)

    def end_stream(self) -> None:
        """End a streamed response."""
        if not self.is_open:
            return
        if self.request.accepts_chunked:
            self.front_end.send(self, b"0\r\n\r\n")
        self._finish()

    def _finish(self) -> None:
        self.is_open = False
        self.front_end.finish(self)

    def _common_headers(self) -> Headers:
        headers = [(REQUEST_ID_HEADER, self.public_id), *self.extra_headers]
        if not self.front_end.keeps_connection_open(self):
            headers.append(("Connection", "close"))
        return headers
