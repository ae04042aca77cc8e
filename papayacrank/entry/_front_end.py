"""HTTP server for callers, with limits on connections, memory and time."""

import re
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from circuits import BaseComponent, Event, handler

from papayacrank.config import EntrySettings
from papayacrank.kernel import Clock, Failure, Verdict
from papayacrank.transport import CallerServer, Timers

from ._exchange import REQUEST_ID_HEADER, Exchange
from ._request_parser import CallerRequest, RequestParser
from ._responses import build_failure_headers, encode_failure_body, encode_head

SWEEP_INTERVAL_MS = 250
IDLE_TIMEOUT_MS = 60_000
# After the last response, input is read and discarded for this time before the socket
# is closed: closing it with unread input resets the connection, and the caller may lose
# the response.
INPUT_DISCARD_MS = 2_000
OVERLOAD_RETRY_MS = 1_000
# Limit of the memory for request bodies over all connections, in bodies of the largest
# size.
MAX_BUFFERED_BODIES = 64
# A request must be complete after this multiple of the body timeout, even if it keeps
# arriving slowly.
MAX_BODY_TIMEOUTS = 6
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class caller_request(Event):  # noqa: N801 - circuits events are lower case
    """A request arrived: ``caller_request(exchange)``."""


class caller_left(Event):  # noqa: N801
    """The caller of an open exchange disconnected: ``caller_left(exchange)``."""


class caller_ready(Event):  # noqa: N801
    """A blocked caller accepts data again: ``caller_ready(exchange)``."""


@dataclass(eq=False)
class _Connection:
    peer: str
    parser: RequestParser
    last_activity_ms: int
    exchange: Exchange | None = None
    continue_sent: bool = False
    is_blocked: bool = False
    is_closing: bool = False
    discard_until_ms: int | None = None
    request_started_ms: int | None = None
    send_buffer: list[bytes] = field(default_factory=list)
    send_buffer_bytes: int = 0
    reserved_bytes: int = 0


class FrontEnd(BaseComponent):
    """Component that reads requests from connections and writes the responses.

    A connection has at most one request in progress. Meanwhile, pipelined input is
    buffered up to the maximum size of a request head.

    Parameters
    ----------
    settings : EntrySettings
        Address, limits and timings.
    clock : Clock
        Monotonic clock.
    timers : Timers
        Timer component.
    boot : int
        Boot number, a part of the request identifiers.
    """

    channel = "web"

    def __init__(self, settings: EntrySettings, clock: Clock, timers: Timers, boot=0):
        super().__init__()
        self._settings = settings
        self._limits = settings.limits
        self._timings = settings.timings
        self._clock = clock
        self._timers = timers
        self._boot = boot
        self._request_numbers = count(1)
        self._connections: dict[Any, _Connection] = {}
        self._is_keep_alive_disabled = False
        self._sockets_to_flush: list = []
        self._reserved_bytes = 0
        host, port = settings.listen.split(":")
        refusal = _encode_failure_response(_too_many_connections())
        self._listener = CallerServer(
            (host, int(port)), self._limits.max_connections, refusal
        ).register(self)
        self._schedule_sweep()

    @property
    def address(self) -> str:
        """Address that callers connect to, as ``ip:port``."""
        return f"{self._listener.host}:{self._listener.port}"

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def open_exchanges(self) -> int:
        """Number of requests without a complete response."""
        return sum(1 for c in self._connections.values() if c.exchange is not None)

    def is_blocked(self, sock) -> bool:
        """Return whether a caller accepts no more data now.

        Its unsent data exceeds the buffer limit, or the connection has failed and the
        exchange will be told so in a later iteration of the event loop.
        """
        connection = self._connections.get(sock)
        if connection is None:
            return False
        buffered_bytes = (
            self._listener.buffered_bytes(sock) + connection.send_buffer_bytes
        )
        if (
            buffered_bytes > self._limits.max_stream_buffer_bytes
            and not connection.is_blocked
        ):
            self._flush(sock)
            buffered_bytes = self._listener.buffered_bytes(sock)
            connection.is_blocked = (
                buffered_bytes > self._limits.max_stream_buffer_bytes
            )
        return connection.is_blocked or not self._listener.is_connected(sock)

    def keeps_connection_open(self, exchange: Exchange) -> bool:
        """Return whether the connection is kept open after the response."""
        connection = self._connections.get(exchange.sock)
        if connection is None or connection.is_closing or self._is_keep_alive_disabled:
            return False
        return exchange.request.keep_alive

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Queue response data, which is sent at the end of the event loop iteration.

        Tokens that arrive together are thus sent with one system call.
        """
        connection = self._connections.get(exchange.sock)
        if connection is None or connection.exchange is not exchange:
            return
        if not connection.send_buffer:
            self._sockets_to_flush.append(exchange.sock)
        connection.send_buffer.append(data)
        connection.send_buffer_bytes += len(data)

    def finish(self, exchange: Exchange) -> None:
        """End an exchange and read the next request of the connection."""
        sock = exchange.sock
        connection = self._connections.get(sock)
        if connection is None or connection.exchange is not exchange:
            return
        keep_open = self.keeps_connection_open(exchange)
        self._flush(sock)
        connection.exchange = None
        self._release_body_memory(connection)
        connection.last_activity_ms = self._clock.now_ms()
        if not keep_open:
            self._close_gracefully(sock, connection)
        elif connection.parser.is_within_request:
            self._read_requests(sock, connection)

    def disconnect_caller(self, exchange: Exchange) -> None:
        """Abort the connection of an exchange."""
        self._listener.abort(exchange.sock)

    def close_after_response(self, exchange: Exchange) -> None:
        """Close the connection of an exchange after its response."""
        connection = self._connections.get(exchange.sock)
        if connection is not None:
            connection.is_closing = True

    def close_after_responses(self) -> None:
        """Close each connection after its next response."""
        self._is_keep_alive_disabled = True

    def stop_listening(self) -> None:
        """Stop accepting connections and close each one after its response."""
        self._is_keep_alive_disabled = True
        self._listener.stop_listening()
        for sock, connection in list(self._connections.items()):
            if connection.exchange is None:
                self._listener.end_unless_input(sock)

    @handler("generate_events", channel="*")
    def _on_loop_iteration(self, event):
        if self._sockets_to_flush:
            socks, self._sockets_to_flush = self._sockets_to_flush, []
            for sock in socks:
                self._flush(sock)

    def _flush(self, sock) -> None:
        connection = self._connections.get(sock)
        if connection is None or not connection.send_buffer:
            return
        data = b"".join(connection.send_buffer)
        connection.send_buffer.clear()
        connection.send_buffer_bytes = 0
        if not self._listener.buffered_bytes(sock):
            connection.last_activity_ms = self._clock.now_ms()
        self._listener.send(sock, data)

    @handler("connect")
    def _on_connect(self, sock, host, port):
        limits = self._limits
        parser = RequestParser(limits.max_header_bytes, limits.max_body_bytes)
        self._connections[sock] = _Connection(host, parser, self._clock.now_ms())

    @handler("disconnect")
    def _on_disconnect(self, sock):
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        self._release_body_memory(connection)
        if connection.exchange is None:
            return
        exchange = connection.exchange
        exchange.is_open = False
        self.fire(caller_left(exchange))

    @handler("read")
    def _on_data(self, sock, data):
        connection = self._connections.get(sock)
        if connection is None or connection.discard_until_ms is not None:
            return
        connection.parser.feed(data)
        connection.last_activity_ms = self._clock.now_ms()
        if connection.exchange is None:
            self._read_requests(sock, connection)
        elif connection.parser.buffered_bytes > self._limits.max_header_bytes:
            # Pipelined input must not be buffered without a limit.
            self._listener.abort(sock)

    @handler("caller_progress")
    def _on_caller_progress(self, sock):
        connection = self._connections.get(sock)
        if connection is None:
            return
        connection.last_activity_ms = self._clock.now_ms()
        buffered_bytes = self._listener.buffered_bytes(sock)
        if (
            connection.is_blocked
            and buffered_bytes <= self._limits.max_stream_buffer_bytes // 2
        ):
            connection.is_blocked = False
            if connection.exchange is not None:
                self.fire(caller_ready(connection.exchange))

    def _read_requests(self, sock, connection: _Connection) -> None:
        parser = connection.parser
        if connection.request_started_ms is None:
            connection.request_started_ms = self._clock.now_ms()
        parsed = parser.next_request()
        if not self._reserve_body_memory(connection, parser.body_bytes):
            parsed = _body_memory_full()
        if isinstance(parsed, CallerRequest):
            connection.request_started_ms = None
            connection.continue_sent = False
            connection.exchange = self._open_exchange(sock, connection, parsed)
            self.fire(caller_request(connection.exchange))
        elif parsed is not None:
            self._refuse_input(sock, connection, parsed)
        elif parser.expects_continue and not connection.continue_sent:
            connection.continue_sent = True
            self._listener.send(sock, CONTINUE)
        elif not parser.is_within_request:
            connection.request_started_ms = None

    def _reserve_body_memory(self, connection: _Connection, body_bytes: int) -> bool:
        """Reserve memory for a request body, which is kept until the response ends.

        Returns False if the limit over all connections would be exceeded.
        """
        added = body_bytes - connection.reserved_bytes
        if added <= 0:
            return True
        if (
            self._reserved_bytes + added
            > MAX_BUFFERED_BODIES * self._limits.max_body_bytes
        ):
            return False
        connection.reserved_bytes += added
        self._reserved_bytes += added
        return True

    def _release_body_memory(self, connection: _Connection) -> None:
        self._reserved_bytes -= connection.reserved_bytes
        connection.reserved_bytes = 0

    def _open_exchange(self, sock, connection: _Connection, request) -> Exchange:
        request_id = (
            f"{self._settings.instance}-{self._boot:x}-{next(self._request_numbers)}"
        )
        requested_id = request.headers.get(REQUEST_ID_HEADER, "")
        public_id = requested_id if _REQUEST_ID.fullmatch(requested_id) else request_id
        return Exchange(request, request_id, public_id, connection.peer, sock, self)

    def _refuse_input(self, sock, connection: _Connection, failure: Failure) -> None:
        self._listener.send(sock, _encode_failure_response(failure))
        connection.request_started_ms = None
        self._close_gracefully(sock, connection)

    def _close_gracefully(self, sock, connection: _Connection) -> None:
        connection.is_closing = True
        connection.discard_until_ms = self._clock.now_ms() + INPUT_DISCARD_MS
        if not self._listener.buffered_bytes(sock):
            self._listener.half_close(sock)

    def _schedule_sweep(self) -> None:
        at_ms = self._clock.now_ms() + SWEEP_INTERVAL_MS
        self._timers.set("front_end_sweep", at_ms, self._sweep)

    def _sweep(self) -> None:
        """Close connections with stalled requests, slow readers or no activity."""
        now_ms = self._clock.now_ms()
        for sock, connection in list(self._connections.items()):
            self._check_timeouts(sock, connection, now_ms)
        self._schedule_sweep()

    def _check_timeouts(self, sock, connection: _Connection, now_ms: int) -> None:
        timings = self._timings
        idle_ms = now_ms - connection.last_activity_ms
        if self._listener.buffered_bytes(sock):
            if idle_ms > timings.slow_reader_timeout_ms:
                self._listener.abort(sock)
        elif connection.discard_until_ms is not None:
            if now_ms > connection.discard_until_ms:
                self._listener.abort(sock)
        elif connection.exchange is not None:
            return
        elif connection.request_started_ms is not None:
            limit_ms = timings.body_timeout_ms
            elapsed_ms = now_ms - connection.request_started_ms
            if idle_ms > limit_ms or elapsed_ms > MAX_BODY_TIMEOUTS * limit_ms:
                self._refuse_input(sock, connection, _request_timeout())
        elif idle_ms > IDLE_TIMEOUT_MS:
            self._listener.end_unless_input(sock)


def _request_timeout() -> Failure:
    text = "the request did not arrive in time"
    return Failure("request_timeout", Verdict.NOT_RUN, text, 408)


def _too_many_connections() -> Failure:
    text = "too many connections to this instance"
    return Failure("overloaded", Verdict.NOT_RUN, text, 503, OVERLOAD_RETRY_MS)


def _body_memory_full() -> Failure:
    text = "too many large requests at this instance"
    return Failure("overloaded", Verdict.NOT_RUN, text, 503, OVERLOAD_RETRY_MS)


def _encode_failure_response(failure: Failure) -> bytes:
    """Encode a failure response to invalid input, which has no request identifier."""
    body = encode_failure_body(failure, "")
    headers = [
        *build_failure_headers(failure),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    return encode_head(failure.status, headers) + body
