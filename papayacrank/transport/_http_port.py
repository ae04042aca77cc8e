"""HTTP/1.1 server for circuits that parses and frames messages with h11."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import h11
from circuits import BaseComponent, handler

from papayacrank.kernel import Clock, Failure, Verdict, log_event

from ._byte_account import (
    READ_PAUSE_POLL_MS,
    BufferKind,
    ByteAccount,
    Holding,
)
from ._caller_server import CallerServer, reset_on_close
from ._events import CALLER_INPUT_REFUSED, EXCHANGE_FAILED
from ._timers import Timers

SWEEP_INTERVAL_MS = 500
# A graceful shutdown keeps a connection that was active more recently than this: the
# first request of a new connection arrives within a round trip.
MIN_IDLE_BEFORE_CLOSE_MS = 150
# After a response that ends the connection, input is discarded for this time: closing a
# socket with unread input resets the connection, and the caller may lose the response.
# The time starts again whenever the caller reads a part of the response.
LINGERING_CLOSE_MS = 2_000
# Total size of the send buffers of a port. An instance has 128 MB of memory.
MAX_PORT_BUFFERED_BYTES = 25_165_824
# Retry-After of a request that is refused because the request bodies in memory are at
# their limit. Most running requests end within this time.
BODY_MEMORY_RETRY_MS = 1_000
MS_PER_SECOND = 1_000
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Retry-After: 1\r\nConnection: close\r\n\r\n"
)
CLOSE_HEADER = (b"connection", b"close")
CONFLICTING_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})

HeaderList = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class HttpLimits:
    """Size limits and timeouts of an `HttpPort`.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of the head and the body of a request.
    header_timeout_ms : int
        Maximum time from the first byte of a request to the end of its head.
    body_timeout_ms : int
        Maximum time between two reads of a request body.
    idle_timeout_ms : int
        Time after which a connection without a request is closed.
    max_connections : int
        Maximum number of open connections. Additional connections are refused.
    max_buffered_bytes : int
        Size of the send buffer of a connection above which sending more body data
        aborts the connection.
    max_total_body_bytes : int
        Maximum total size of the request bodies of all callers. An instance of 128 MB
        needs half of its memory for itself.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    body_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000
    max_connections: int = 2_000
    max_buffered_bytes: int = 1_048_576
    max_total_body_bytes: int = 25_165_824


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request.

    Parameters
    ----------
    target : str
        Request target, the path with its query as received.
    headers : list of (bytes, bytes)
        Header fields with names in lower case.
    """

    method: str
    target: str
    headers: HeaderList

    def find(self, name: bytes) -> str | None:
        """Return the first value of a header, None if absent.

        Parameters
        ----------
        name : bytes
            Header name in lower case.
        """
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return None


@dataclass(eq=False)
class HttpExchange:
    """A request of a caller and its response.

    Parameters
    ----------
    arrived_ms : int
        Time at which the first byte of the request was received, in milliseconds.
    is_open : bool
        Whether the response is not complete and the caller is still connected.
    response_started : bool
        Whether the head of the response was sent.
    state : Any
        Free for use by the listener.
    """

    port: "HttpPort"
    sock: Any
    head: RequestHead
    body: bytes
    arrived_ms: int
    is_open: bool = True
    response_started: bool = False
    state: Any = None

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the caller has not accepted yet."""
        return self.port.unsent_bytes(self)

    @property
    def peer(self) -> str:
        """IP address of the caller, empty if it has disconnected."""
        try:
            return self.sock.getpeername()[0]
        except OSError:
            return ""

    def respond(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send a complete response."""
        framed = [*headers, (b"content-length", b"%d" % len(body))]
        self.begin(status, framed)
        if body:
            self.send(body)
        self.end()

    def begin(self, status: int, headers: HeaderList) -> None:
        """Send the head of a response, chunked unless it has a Content-Length."""
        self.response_started = True
        self.port.begin_response(self, status, headers)

    def send(self, data: bytes) -> None:
        """Send a part of the response body."""
        self.port.send_body(self, data)

    def end(self) -> None:
        """End the response."""
        self.port.end_response(self)

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
        self.port.abort(self)


class ExchangeListener(ABC):
    """Handler of the requests of an `HttpPort`."""

    @abstractmethod
    def on_exchange(self, exchange: HttpExchange) -> None:
        """Handle a request that was received completely."""

    def on_caller_left(self, exchange: HttpExchange) -> None:  # noqa: B027
        """Handle the disconnection of the caller of an open exchange.

        Listeners that respond synchronously need not override this method.
        """

    def build_refusal(
        self, head: RequestHead, failure: Failure
    ) -> tuple[HeaderList, bytes]:
        """Return headers and body of a refusal of the port, without framing headers.

        Parameters
        ----------
        head : RequestHead
            Head of a request whose body is not read.
        failure : Failure
            Reason, with the time until a retry.
        """
        seconds = -(-failure.retry_after_ms // MS_PER_SECOND)
        return [(b"retry-after", b"%d" % seconds)], b""


@dataclass(eq=False)
class _CallerConnection:
    protocol: h11.Connection
    last_active_ms: int
    request_started_ms: int | None = None
    head: RequestHead | None = None
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    exchange: HttpExchange | None = None
    close_requested: bool = False
    is_reading: bool = False
    linger_until_ms: int | None = None
    holding: Holding | None = None
    pipelined: Holding | None = None

    @property
    def is_receiving(self) -> bool:
        """Whether the body of a request is incomplete."""
        return self.head is not None and self.linger_until_ms is None

    @property
    def missing_bytes(self) -> float:
        """Number of missing bytes of the body, infinite if its length is unknown."""
        length = self.head.find(b"content-length")
        return float("inf") if length is None else int(length) - self.body_bytes


class HttpPort(BaseComponent):
    """HTTP server component that owns a listening socket and its connections.

    The requests of a connection are handled sequentially.

    Parameters
    ----------
    address : str
        Address to listen on as ``ip:port``.
    name : str
        circuits channel of the component, unique within the process.
    listener : ExchangeListener
        Handler of the requests.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    limits : HttpLimits, optional
        Size limits and timeouts.
    account : ByteAccount, optional
        Account of the process for buffered bytes.
    is_urgent : bool
        Whether requests go before other events of the loop. It is meant for requests
        that are answered from memory.
    """

    def __init__(
        self,
        address: str,
        name: str,
        listener: ExchangeListener,
        clock: Clock,
        timers: Timers,
        limits: HttpLimits | None = None,
        account: ByteAccount | None = None,
        is_urgent: bool = False,
    ):
        super().__init__(channel=name)
        self._name = name
        self._listener = listener
        self._clock = clock
        self._timers = timers
        self._limits = limits or HttpLimits()
        self._callers: dict[Any, _CallerConnection] = {}
        self._close_all_requested = False
        self._shed_interval = 0
        self._response_count = 0
        self._total_body_bytes = 0
        self._account = account or ByteAccount()
        self._paused: set = set()
        host, port = address.rsplit(":", 1)
        self._server = CallerServer(
            (host, int(port)),
            self._limits.max_connections,
            TOO_MANY_CONNECTIONS,
            MAX_PORT_BUFFERED_BYTES,
            channel=name,
            account=self._account,
            clock=clock,
            on_connect=self._on_connect if is_urgent else None,
            on_read=self._on_data if is_urgent else None,
        ).register(self)
        self._schedule_sweep()

    @property
    def address(self) -> str:
        """Address that the server listens on, as ``ip:port``."""
        return f"{self._server.host}:{self._server.port}"

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._callers)

    @property
    def is_drained(self) -> bool:
        """Whether the process can stop without losing a request or a response."""
        return all(
            caller.linger_until_ms is not None and not self._server.buffered_bytes(sock)
            for sock, caller in self._callers.items()
        )

    @property
    def open_exchanges(self) -> int:
        """Number of requests without a complete response."""
        return sum(1 for c in self._callers.values() if c.exchange is not None)

    def set_limits(self, limits: HttpLimits) -> None:
        """Replace the limits; `max_connections` keeps its initial value."""
        self._limits = limits

    def set_shedding(self, interval: int) -> None:
        """Close the connection after each response of this interval; 0 for none."""
        self._shed_interval = interval

    def close_after_responses(self) -> None:
        """Add ``Connection: close`` to all further responses."""
        self._close_all_requested = True

    def stop_listening(self) -> None:
        """Stop accepting connections and close idle ones."""
        self._close_all_requested = True
        self._server.stop_listening()
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections without a request that were not active recently."""
        active_before_ms = self._clock.now_ms() - MIN_IDLE_BEFORE_CLOSE_MS
        for sock, caller in list(self._callers.items()):
            is_idle = caller.exchange is None and caller.request_started_ms is None
            if not is_idle or caller.last_active_ms > active_before_ms:
                continue
            if not self._server.buffered_bytes(sock):
                self._server.end_unless_input(sock)

    def unsent_bytes(self, exchange: HttpExchange) -> int:
        """Return the number of bytes that the caller has not accepted yet."""
        return self._server.buffered_bytes(exchange.sock)

    # Responses

    def begin_response(self, exchange: HttpExchange, status: int, headers) -> None:
        """Send the head of a response."""
        caller = self._find_connection(exchange)
        if caller is None:
            return
        if self._close_all_requested or caller.close_requested or self._must_shed():
            headers = [*headers, CLOSE_HEADER]
        reason = _reason_phrase(status)
        response = h11.Response(status_code=status, headers=headers, reason=reason)
        if caller.protocol.their_http_version == b"1.0":
            # Without chunks, the end of the connection completes the response.
            reset_on_close(exchange.sock)
        self._write(exchange.sock, caller, response)

    def _must_shed(self) -> bool:
        """Return whether the connection of the next response is closed after it."""
        if not self._shed_interval:
            return False
        self._response_count += 1
        return self._response_count % self._shed_interval == 0

    def send_body(self, exchange: HttpExchange, data: bytes) -> None:
        """Send a part of the response body.

        The connection is aborted if its send buffer exceeds `max_buffered_bytes`.
        """
        caller = self._find_connection(exchange)
        if caller is None:
            return
        # The buffer is checked before `data` is added, because `data` may be a complete
        # response that is larger than the limit.
        if self._server.buffered_bytes(exchange.sock) > self._limits.max_buffered_bytes:
            self._server.abort(exchange.sock)
            return
        self._write(exchange.sock, caller, h11.Data(data=data))

    def end_response(self, exchange: HttpExchange) -> None:
        """End the response and process the next request of the connection."""
        caller = self._find_connection(exchange)
        if caller is None:
            return
        sock = exchange.sock
        self._write(sock, caller, h11.EndOfMessage())
        if caller.protocol.their_http_version == b"1.0":
            reset_on_close(sock, False)
        exchange.is_open = False
        caller.exchange = None
        self._set_body_size(caller, 0)
        caller.holding.end = lambda: self._refuse_for_memory(sock, caller)
        caller.last_active_ms = self._clock.now_ms()
        protocol = caller.protocol
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            self._lingering_close(sock, caller)
            return
        protocol.start_next_cycle()
        self._account.release(caller.pipelined)
        self._read_requests(sock, caller)

    def abort(self, exchange: HttpExchange) -> None:
        """Close the connection of an open exchange immediately."""
        if self._find_connection(exchange) is not None:
            exchange.is_open = False
            self._server.abort(exchange.sock)

    def _find_connection(self, exchange: HttpExchange) -> _CallerConnection | None:
        caller = self._callers.get(exchange.sock)
        if caller is None or caller.exchange is not exchange:
            return None
        return caller

    def _write(self, sock, caller: _CallerConnection, event) -> None:
        data = caller.protocol.send(event)
        if data:
            self._server.send(sock, data)

    def _lingering_close(self, sock, caller: _CallerConnection) -> None:
        caller.close_requested = True
        caller.linger_until_ms = self._clock.now_ms() + LINGERING_CLOSE_MS
        if not self._server.buffered_bytes(sock):
            self._server.half_close(sock)

    @handler("caller_progress")
    def _on_caller_progress(self, sock):
        caller = self._callers.get(sock)
        if caller is not None and caller.linger_until_ms is not None:
            self._lingering_close(sock, caller)

    # Requests

    @handler("connect")
    def _on_connect(self, sock, host, port):
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        caller = _CallerConnection(protocol, self._clock.now_ms())
        caller.holding = Holding(
            BufferKind.REQUEST_BODY, lambda: self._refuse_for_memory(sock, caller)
        )
        caller.pipelined = Holding(
            BufferKind.REQUEST_BODY, lambda: self._server.abort(sock)
        )
        self._callers[sock] = caller

    @handler("disconnect")
    def _on_disconnect(self, sock):
        caller = self._callers.pop(sock, None)
        if caller is None:
            return
        self._set_body_size(caller, 0)
        self._paused.discard(sock)
        self._account.release(caller.pipelined)
        if caller.exchange is None:
            return
        exchange = caller.exchange
        was_open, exchange.is_open = exchange.is_open, False
        if was_open:
            self._listener.on_caller_left(exchange)

    @handler("read")
    def _on_data(self, sock, data):
        caller = self._callers.get(sock)
        if caller is None or caller.linger_until_ms is not None:
            return
        caller.last_active_ms = self._clock.now_ms()
        try:
            caller.protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse_request(sock, caller, 400, str(error))
            return
        if caller.exchange is None:
            self._read_requests(sock, caller)
        else:
            self._limit_pipelined(sock, caller, len(data))

    def _limit_pipelined(self, sock, caller: _CallerConnection, added: int) -> None:
        """Limit the buffer for requests that follow an unanswered one."""
        size = len(caller.protocol.trailing_data[0])
        if size > self._limits.max_body_bytes:
            self._server.abort(sock)
            return
        now_ms = self._clock.now_ms()
        self._account.set(caller.pipelined, size, now_ms, added)
        self._account.enforce(now_ms)

    def _read_requests(self, sock, caller: _CallerConnection) -> None:
        if caller.is_reading:
            # A listener has responded at once; the loop below goes on.
            return
        caller.is_reading = True
        try:
            self._read_next_requests(sock, caller)
        finally:
            caller.is_reading = False

    def _read_next_requests(self, sock, caller: _CallerConnection) -> None:
        while caller.exchange is None and caller.linger_until_ms is None:
            try:
                event = caller.protocol.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse_request(sock, caller, error.error_status_hint, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._on_partial_request(sock, caller)
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            self._on_protocol_event(sock, caller, event)

    def _on_partial_request(self, sock, caller: _CallerConnection) -> None:
        """Record the start of a request and send 100 Continue if it is expected."""
        if caller.request_started_ms is None and caller.protocol.trailing_data[0]:
            caller.request_started_ms = caller.last_active_ms
        if caller.protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(sock, caller, interim)

    def _on_protocol_event(self, sock, caller: _CallerConnection, event) -> None:
        if isinstance(event, h11.Request):
            self._on_request_head(sock, caller, event)
        elif isinstance(event, h11.Data):
            caller.body.append(bytes(event.data))
            self._set_body_size(caller, caller.body_bytes + len(event.data))
            self._check_body_size(sock, caller, caller.body_bytes)
            self._limit_bodies(sock, caller)
        elif isinstance(event, h11.EndOfMessage):
            self._open_exchange(sock, caller)

    def _on_request_head(
        self, sock, caller: _CallerConnection, event: h11.Request
    ) -> None:
        if caller.request_started_ms is None:
            caller.request_started_ms = caller.last_active_ms
        headers = list(event.headers)
        names = {name for name, _ in headers}
        if names >= CONFLICTING_FRAMING_HEADERS:
            # Targets may disagree on the end of such a request (request smuggling).
            self._refuse_request(
                sock, caller, 400, "both Content-Length and Transfer-Encoding"
            )
            return
        target = event.target.decode("latin-1")
        if not target.startswith("/"):
            self._refuse_request(sock, caller, 400, "request target is not a path")
            return
        caller.head = RequestHead(event.method.decode("latin-1"), target, headers)
        length = caller.head.find(b"content-length")
        if length is not None:
            self._check_body_size(sock, caller, int(length))
            if caller.is_receiving and not self._account.fits(int(length)):
                self._refuse_for_memory(sock, caller)

    def _check_body_size(self, sock, caller: _CallerConnection, size: int) -> None:
        """Refuse the request if a body of `size` bytes exceeds a limit.

        The size is that of the Content-Length header or of the data received so far.
        """
        total = self._total_body_bytes - caller.body_bytes + size
        if size > self._limits.max_body_bytes:
            self._refuse_request(sock, caller, 413, "body too large")
        elif total > self._limits.max_total_body_bytes:
            self._refuse_for_memory(sock, caller)

    def _set_body_size(self, caller: _CallerConnection, body_bytes: int) -> None:
        """Update the body size of a request, which counts until the response ends."""
        added = body_bytes - caller.body_bytes
        self._total_body_bytes += added
        caller.body_bytes = body_bytes
        self._account.set(
            caller.holding, body_bytes, self._clock.now_ms(), max(0, added)
        )

    def _limit_bodies(self, sock, caller: _CallerConnection) -> None:
        """Pause reading a large body while the buffers of the process are tight."""
        if not caller.is_receiving:
            return
        self._account.enforce(self._clock.now_ms())
        if caller.is_receiving and self._must_wait(caller):
            self._server.pause_reading(sock)
            if not self._paused:
                self._schedule_resume()
            self._paused.add(sock)

    def _must_wait(self, caller: _CallerConnection) -> bool:
        """Return whether a body waits for memory.

        The body with the fewest missing bytes is always read, so that not all of them
        wait for each other.
        """
        is_within_share = caller.body_bytes <= self._account.share_bytes
        if not self._account.is_tight or is_within_share:
            return False
        receiving = (item for item in self._callers.values() if item.is_receiving)
        nearest = min(receiving, key=lambda item: item.missing_bytes)
        return caller is not nearest

    def _schedule_resume(self) -> None:
        at_ms = self._clock.now_ms() + READ_PAUSE_POLL_MS
        self._timers.set(f"http_port_resume:{self._name}", at_ms, self._resume_bodies)

    def _resume_bodies(self) -> None:
        """Read the paused bodies that need not wait any longer."""
        for sock in list(self._paused):
            caller = self._callers[sock]
            if caller.is_receiving and self._must_wait(caller):
                # The caller is not late while this process does not read.
                caller.last_active_ms = self._clock.now_ms()
            else:
                self._paused.remove(sock)
                self._server.resume_reading(sock)
        if self._paused:
            self._schedule_resume()

    def _open_exchange(self, sock, caller: _CallerConnection) -> None:
        # The request runs from now on.
        caller.holding.end = None
        body = b"".join(caller.body)
        exchange = HttpExchange(
            self, sock, caller.head, body, caller.request_started_ms
        )
        caller.exchange = exchange
        caller.request_started_ms = None
        caller.head = None
        caller.body = []
        try:
            self._listener.on_exchange(exchange)
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            log_event(EXCHANGE_FAILED, port=self._name, error=text)
            self._end_failed(exchange)

    @staticmethod
    def _end_failed(exchange: HttpExchange) -> None:
        """Respond to a request whose listener failed, or cut its response."""
        if not exchange.is_open:
            return
        if exchange.response_started:
            exchange.abort()
        else:
            exchange.respond(HTTPStatus.INTERNAL_SERVER_ERROR, [])

    def _refuse_for_memory(self, sock, caller: _CallerConnection) -> None:
        text = "total size of request bodies too large"
        failure = Failure(
            "memory_full", Verdict.NOT_RUN, text, 503, BODY_MEMORY_RETRY_MS
        )
        headers, body = self._listener.build_refusal(caller.head, failure)
        self._refuse_request(sock, caller, failure.status, text, headers, body)

    def _refuse_request(
        self,
        sock,
        caller: _CallerConnection,
        status: int,
        reason: str,
        headers: HeaderList | None = None,
        body: bytes = b"",
    ) -> None:
        log_event(CALLER_INPUT_REFUSED, port=self._name, status=status, reason=reason)
        caller.request_started_ms = None
        caller.body = []
        self._set_body_size(caller, 0)
        if sock in self._paused:
            self._paused.remove(sock)
            self._server.resume_reading(sock)
        if caller.protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            length = (b"content-length", b"%d" % len(body))
            response = h11.Response(
                status_code=status,
                headers=[length, CLOSE_HEADER, *(headers or [])],
                reason=_reason_phrase(status),
            )
            self._write(sock, caller, response)
            if body:
                self._write(sock, caller, h11.Data(data=body))
            self._write(sock, caller, h11.EndOfMessage())
        self._lingering_close(sock, caller)

    def _schedule_sweep(self) -> None:
        at_ms = self._clock.now_ms() + SWEEP_INTERVAL_MS
        self._timers.set(f"http_port_sweep:{self._name}", at_ms, self._sweep)

    def _sweep(self) -> None:
        """Apply the timeouts to all connections."""
        now_ms = self._clock.now_ms()
        self._server.end_silent_readers()
        for sock, caller in list(self._callers.items()):
            self._check_timeouts(sock, caller, now_ms)
        self._schedule_sweep()

    def _check_timeouts(self, sock, caller: _CallerConnection, now_ms: int) -> None:
        limits = self._limits
        idle_ms = now_ms - caller.last_active_ms
        if caller.linger_until_ms is not None:
            if now_ms > caller.linger_until_ms:
                self._server.abort(sock)
        elif caller.exchange is not None:
            return
        elif caller.request_started_ms is not None:
            if caller.head is None:
                is_stalled = (
                    now_ms - caller.request_started_ms > limits.header_timeout_ms
                )
            else:
                is_stalled = idle_ms > limits.body_timeout_ms
            if is_stalled:
                self._refuse_request(sock, caller, 408, "request timed out")
        elif idle_ms > limits.idle_timeout_ms and not self._server.buffered_bytes(sock):
            self._server.end_unless_input(sock)


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
