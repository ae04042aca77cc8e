"""HTTP front end: bounded connections and requests of callers."""

import re
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from circuits import BaseComponent, Event, handler

from papayacrank.config import EntrySettings
from papayacrank.kernel import Clock, Failure, Verdict
from papayacrank.transport import CallerServer, Timers

from ._answers import describe_failure, encode_head, failure_headers
from ._exchange import REQUEST_ID_HEADER, Exchange
from ._request_parser import CallerRequest, RequestParser

SWEEP_INTERVAL_MS = 250
IDLE_CONNECTION_MS = 60_000
# After a refusal, unread input is discarded for a while: closing a socket with unread
# input resets the connection, and the caller may lose the answer.
DISCARD_MS = 2_000
RETRY_WHEN_FULL_MS = 1_000
# Bodies of the largest size that are kept at a time, over all connections.
MAX_BODIES = 64
# A body may arrive slowly, but not without end.
MAX_BODY_TIMEOUTS = 6
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class caller_request(Event):  # noqa: N801 - circuits events are lower case
    """A request arrived: ``caller_request(exchange)``."""


class caller_left(Event):  # noqa: N801
    """The caller of an open exchange is gone: ``caller_left(exchange)``."""


class caller_ready(Event):  # noqa: N801
    """A blocked caller takes data again: ``caller_ready(exchange)``."""


@dataclass(eq=False)
class _Connection:
    peer: str
    parser: RequestParser
    active_ms: int
    exchange: Exchange | None = None
    continue_sent: bool = False
    is_blocked: bool = False
    closes: bool = False
    discard_until_ms: int | None = None
    began_ms: int | None = None
    unsent: list[bytes] = field(default_factory=list)
    unsent_bytes: int = 0
    reserved_bytes: int = 0


class FrontEnd(BaseComponent):
    """Component that turns connections into exchanges.

    One request is processed at a time on a connection; at most one further head is
    kept meanwhile.

    Parameters
    ----------
    settings : EntrySettings
        Address, limits and timings.
    clock : Clock
        Monotonic clock.
    timers : Timers
        Timer component.
    boot : int
        Boot number, part of the request ids.
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
        self._numbers = count(1)
        self._connections: dict[Any, _Connection] = {}
        self._closing_all = False
        self._unsent: list = []
        self._reserved_bytes = 0
        host, port = settings.listen.split(":")
        refusal = _encode_whole_failure(_too_many_connections())
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
        """Number of requests that have no complete answer."""
        return sum(1 for c in self._connections.values() if c.exchange is not None)

    def is_blocked(self, sock) -> bool:
        """Tell whether a caller holds up more than the stream buffer."""
        connection = self._connections.get(sock)
        if connection is None:
            return False
        held = self._listener.buffered_bytes(sock) + connection.unsent_bytes
        if held > self._limits.max_stream_buffer_bytes and not connection.is_blocked:
            self._flush(sock)
            held = self._listener.buffered_bytes(sock)
            connection.is_blocked = held > self._limits.max_stream_buffer_bytes
        return connection.is_blocked

    def keeps_connection(self, exchange: Exchange) -> bool:
        """Tell whether the connection stays open after the answer."""
        connection = self._connections.get(exchange.sock)
        if connection is None or connection.closes or self._closing_all:
            return False
        return exchange.request.keep_alive

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Send bytes of an answer at the end of this turn of the event loop.

        Tokens that arrive together are sent with one system call.
        """
        connection = self._connections.get(exchange.sock)
        if connection is None or connection.exchange is not exchange:
            return
        if not connection.unsent:
            self._unsent.append(exchange.sock)
        connection.unsent.append(data)
        connection.unsent_bytes += len(data)

    def finish(self, exchange: Exchange) -> None:
        """End an exchange and go on with the next request of the connection."""
        sock = exchange.sock
        connection = self._connections.get(sock)
        if connection is None or connection.exchange is not exchange:
            return
        keeps = self.keeps_connection(exchange)
        self._flush(sock)
        connection.exchange = None
        self._release(connection)
        connection.active_ms = self._clock.now_ms()
        if not keeps:
            self._close_softly(sock, connection)
        elif connection.parser.is_within_request:
            self._read_requests(sock, connection)

    def disconnect_caller(self, exchange: Exchange) -> None:
        """Cut the connection of an exchange."""
        self._listener.abort(exchange.sock)

    def close_after(self, exchange: Exchange) -> None:
        """Close the connection of an exchange after its answer."""
        connection = self._connections.get(exchange.sock)
        if connection is not None:
            connection.closes = True

    def close_after_responses(self) -> None:
        """Close each connection after its next answer."""
        self._closing_all = True

    def stop_listening(self) -> None:
        """Accept no further connections and close each after its answer."""
        self._closing_all = True
        self._listener.stop_listening()
        for sock, connection in list(self._connections.items()):
            if connection.exchange is None and self._listener.has_no_unread_data(sock):
                self._listener.end(sock)

    @handler("generate_events", channel="*")
    def _on_turn_ended(self, event):
        if self._unsent:
            socks, self._unsent = self._unsent, []
            for sock in socks:
                self._flush(sock)

    def _flush(self, sock) -> None:
        connection = self._connections.get(sock)
        if connection is None or not connection.unsent:
            return
        data = b"".join(connection.unsent)
        connection.unsent.clear()
        connection.unsent_bytes = 0
        if not self._listener.buffered_bytes(sock):
            connection.active_ms = self._clock.now_ms()
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
        self._release(connection)
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
        connection.active_ms = self._clock.now_ms()
        if connection.exchange is None:
            self._read_requests(sock, connection)
        elif connection.parser.buffered_bytes > self._limits.max_header_bytes:
            # Input that comes ahead of its turn is not buffered without a bound.
            self._listener.abort(sock)

    @handler("caller_progress")
    def _on_caller_progress(self, sock):
        connection = self._connections.get(sock)
        if connection is None:
            return
        connection.active_ms = self._clock.now_ms()
        held = self._listener.buffered_bytes(sock)
        if connection.is_blocked and held <= self._limits.max_stream_buffer_bytes // 2:
            connection.is_blocked = False
            if connection.exchange is not None:
                self.fire(caller_ready(connection.exchange))

    def _read_requests(self, sock, connection: _Connection) -> None:
        parser = connection.parser
        if connection.began_ms is None:
            connection.began_ms = self._clock.now_ms()
        found = parser.next_request()
        if not self._reserve(connection, parser.body_bytes):
            found = _body_memory_full()
        if isinstance(found, CallerRequest):
            connection.began_ms = None
            connection.continue_sent = False
            connection.exchange = self._open_exchange(sock, connection, found)
            self.fire(caller_request(connection.exchange))
        elif found is not None:
            self._refuse_input(sock, connection, found)
        elif parser.expects_continue and not connection.continue_sent:
            connection.continue_sent = True
            self._listener.send(sock, CONTINUE)
        elif not parser.is_within_request:
            connection.began_ms = None

    def _reserve(self, connection: _Connection, body_bytes: int) -> bool:
        """Count the body of a request, which is kept until its answer is complete."""
        added = body_bytes - connection.reserved_bytes
        if added <= 0:
            return True
        if self._reserved_bytes + added > MAX_BODIES * self._limits.max_body_bytes:
            return False
        connection.reserved_bytes += added
        self._reserved_bytes += added
        return True

    def _release(self, connection: _Connection) -> None:
        self._reserved_bytes -= connection.reserved_bytes
        connection.reserved_bytes = 0

    def _open_exchange(self, sock, connection: _Connection, request) -> Exchange:
        request_id = f"{self._settings.instance}-{self._boot:x}-{next(self._numbers)}"
        wanted = request.headers.get(REQUEST_ID_HEADER, "")
        public_id = wanted if _REQUEST_ID.fullmatch(wanted) else request_id
        return Exchange(request, request_id, public_id, connection.peer, sock, self)

    def _refuse_input(self, sock, connection: _Connection, failure: Failure) -> None:
        self._listener.send(sock, _encode_whole_failure(failure))
        connection.began_ms = None
        self._close_softly(sock, connection)

    def _close_softly(self, sock, connection: _Connection) -> None:
        connection.closes = True
        connection.discard_until_ms = self._clock.now_ms() + DISCARD_MS
        if not self._listener.buffered_bytes(sock):
            self._listener.half_close(sock)

    def _schedule_sweep(self) -> None:
        at_ms = self._clock.now_ms() + SWEEP_INTERVAL_MS
        self._timers.set("front_end_sweep", at_ms, self._sweep)

    def _sweep(self) -> None:
        """Check all connections for stalled input, slow readers and idleness."""
        now_ms = self._clock.now_ms()
        for sock, connection in list(self._connections.items()):
            self._check(sock, connection, now_ms)
        self._schedule_sweep()

    def _check(self, sock, connection: _Connection, now_ms: int) -> None:
        timings = self._timings
        quiet_ms = now_ms - connection.active_ms
        if self._listener.buffered_bytes(sock):
            if quiet_ms > timings.slow_reader_timeout_ms:
                self._listener.abort(sock)
        elif connection.discard_until_ms is not None:
            if now_ms > connection.discard_until_ms:
                self._listener.abort(sock)
        elif connection.exchange is not None:
            return
        elif connection.began_ms is not None:
            limit_ms = timings.body_timeout_ms
            took_ms = now_ms - connection.began_ms
            if quiet_ms > limit_ms or took_ms > MAX_BODY_TIMEOUTS * limit_ms:
                self._refuse_input(sock, connection, _stalled_request())
        elif quiet_ms > IDLE_CONNECTION_MS:
            self._listener.end(sock)


def _stalled_request() -> Failure:
    text = "the request did not arrive in time"
    return Failure("request_timeout", Verdict.NOT_RUN, text, 408)


def _too_many_connections() -> Failure:
    text = "too many connections to this instance"
    return Failure("overloaded", Verdict.NOT_RUN, text, 503, RETRY_WHEN_FULL_MS)


def _body_memory_full() -> Failure:
    text = "too many large requests at this instance"
    return Failure("overloaded", Verdict.NOT_RUN, text, 503, RETRY_WHEN_FULL_MS)


def _encode_whole_failure(failure: Failure) -> bytes:
    """Encode the answer to input that is no request, so without request id."""
    body = describe_failure(failure, "")
    headers = [
        *failure_headers(failure),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    return encode_head(failure.status, headers) + body
