"""HTTP server whose requests and answers are framed by h11."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import h11
from circuits import BaseComponent, handler

from papayacrank.kernel import Clock, log_event

from ._caller_server import CallerServer
from ._events import CALLER_INPUT_REFUSED
from ._timers import Timers

SWEEP_INTERVAL_MS = 500
# In a planned stop, a connection without a request is closed once it is as old as this:
# the first request of a new one follows within a round trip.
FRESH_MS = 150
# After an answer that ends the connection, unread input is discarded for a while:
# closing a socket with unread input resets it, and the caller may lose the answer.
DISCARD_MS = 2_000
# Answer bytes held for all callers together, within an instance of 128 MB.
MAX_PORT_BUFFERED_BYTES = 25_165_824
# A request for whose body there is no memory may come back after this time, in which
# most running requests end.
FULL_RETRY_S = 1
CLOSE_HEADER = (b"connection", b"close")
FORBIDDEN_PAIR = frozenset({b"content-length", b"transfer-encoding"})

HeaderList = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class HttpLimits:
    """Bounds on what a caller may send, and how slowly.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest request head and body.
    header_timeout_ms : int
        From the first byte of a request to the end of its head.
    body_timeout_ms : int
        Longest pause within a body.
    idle_timeout_ms : int
        Time for which a connection stays open without a request.
    max_connections : int
        Further connections are refused.
    max_buffered_bytes : int
        Answer bytes that a connection may hold for a caller that does not read before
        a further piece ends the connection.
    max_total_body_bytes : int
        Sum of the request bodies of all callers. An instance of 128 MB needs half of
        that for itself.
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
        Path with query, as received.
    headers : list of (bytes, bytes)
        Names in lower case.
    """

    method: str
    target: str
    headers: HeaderList

    def find(self, name: bytes) -> str | None:
        """Return the first value of a header, given its name in lower case."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return None


@dataclass(eq=False)
class HttpExchange:
    """A request of a caller and its answer.

    Parameters
    ----------
    arrived_ms : int
        When the first byte arrived.
    is_open : bool
        Whether the caller can still get an answer.
    response_started : bool
        Whether the head of the answer was sent.
    state : Any
        For the use of the listener.
    """

    port: "HttpPort"
    sock: Any
    head: RequestHead
    body: bytes
    arrived_ms: int
    is_open: bool = True
    response_started: bool = False
    state: Any = None

    def respond(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send a whole answer."""
        framed = [*headers, (b"content-length", b"%d" % len(body))]
        self.begin(status, framed)
        if body:
            self.send(body)
        self.end()

    def begin(self, status: int, headers: HeaderList) -> None:
        """Send the head of an answer, chunked unless it states a length."""
        self.response_started = True
        self.port.begin_response(self, status, headers)

    def send(self, data: bytes) -> None:
        """Send a piece of the body."""
        self.port.send_body(self, data)

    def end(self) -> None:
        """End the answer."""
        self.port.end_response(self)

    def abort(self) -> None:
        """Cut the connection, so that the answer does not look complete."""
        self.port.abort(self)


class ExchangeListener(ABC):
    """Receiver of the requests of an `HttpPort`."""

    @abstractmethod
    def on_exchange(self, exchange: HttpExchange) -> None:
        """Handle a request that was read completely."""

    def on_caller_left(self, exchange: HttpExchange) -> None:  # noqa: B027
        """Note that the caller of an open exchange closed its connection.

        Listeners that answer at once have nothing to do here.
        """


@dataclass(eq=False)
class _Caller:
    protocol: h11.Connection
    active_ms: int
    began_ms: int | None = None
    head: RequestHead | None = None
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    exchange: HttpExchange | None = None
    closes: bool = False
    discard_until_ms: int | None = None


class HttpPort(BaseComponent):
    """Component that owns a listening socket and its connections.

    Requests of one connection are handled one after the other.

    Parameters
    ----------
    address : str
        Address to listen on as ``ip:port``.
    name : str
        Channel of the component, unique in the process.
    listener : ExchangeListener
        Receiver of the requests.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    limits : HttpLimits, optional
        Bounds.
    """

    def __init__(
        self,
        address: str,
        name: str,
        listener: ExchangeListener,
        clock: Clock,
        timers: Timers,
        limits: HttpLimits | None = None,
    ):
        super().__init__(channel=name)
        self._name = name
        self._listener = listener
        self._clock = clock
        self._timers = timers
        self._limits = limits or HttpLimits()
        self._callers: dict[Any, _Caller] = {}
        self._closes_all = False
        self._input_bytes = 0
        host, port = address.rsplit(":", 1)
        self._server = CallerServer(
            (host, int(port)),
            self._limits.max_connections,
            b"",
            MAX_PORT_BUFFERED_BYTES,
            channel=name,
        ).register(self)
        self._schedule_sweep()

    @property
    def address(self) -> str:
        """Address that callers connect to."""
        return f"{self._server.host}:{self._server.port}"

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._callers)

    @property
    def is_drained(self) -> bool:
        """Whether no request and no answer is lost if the process stops now."""
        return all(
            caller.discard_until_ms is not None
            and not self._server.buffered_bytes(sock)
            for sock, caller in self._callers.items()
        )

    @property
    def open_exchanges(self) -> int:
        """Number of requests without a complete answer."""
        return sum(1 for c in self._callers.values() if c.exchange is not None)

    def set_limits(self, limits: HttpLimits) -> None:
        """Use other bounds from now on."""
        self._limits = limits

    def close_after_responses(self) -> None:
        """Ask callers to use another connection after their next answer."""
        self._closes_all = True

    def stop_listening(self) -> None:
        """Accept no further connections and close idle ones."""
        self._closes_all = True
        self._server.stop_listening()
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that carry no request, but for the newest ones."""
        oldest_ms = self._clock.now_ms() - FRESH_MS
        for sock, caller in list(self._callers.items()):
            is_idle = caller.exchange is None and caller.began_ms is None
            if not is_idle or caller.active_ms > oldest_ms:
                continue
            if not self._server.buffered_bytes(
                sock
            ) and self._server.has_no_unread_data(sock):
                self._server.end(sock)

    # Answers

    def begin_response(self, exchange: HttpExchange, status: int, headers) -> None:
        """Send the head of an answer."""
        caller = self._find(exchange)
        if caller is None:
            return
        if self._closes_all or caller.closes:
            headers = [*headers, CLOSE_HEADER]
        reason = _reason(status)
        response = h11.Response(status_code=status, headers=headers, reason=reason)
        self._write(exchange.sock, caller, response)

    def send_body(self, exchange: HttpExchange, data: bytes) -> None:
        """Send a piece of the body."""
        caller = self._find(exchange)
        if caller is None:
            return
        # The first piece beyond the bound is taken: it may be a whole answer.
        if self._server.buffered_bytes(exchange.sock) > self._limits.max_buffered_bytes:
            self._server.abort(exchange.sock)
            return
        self._write(exchange.sock, caller, h11.Data(data=data))

    def end_response(self, exchange: HttpExchange) -> None:
        """End the answer and go on with the next request of the connection."""
        caller = self._find(exchange)
        if caller is None:
            return
        sock = exchange.sock
        self._write(sock, caller, h11.EndOfMessage())
        exchange.is_open = False
        caller.exchange = None
        self._count_input(caller, 0)
        caller.active_ms = self._clock.now_ms()
        protocol = caller.protocol
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            self._close_softly(sock, caller)
            return
        protocol.start_next_cycle()
        self._read_requests(sock, caller)

    def abort(self, exchange: HttpExchange) -> None:
        """Cut the connection of an exchange."""
        if self._find(exchange) is not None:
            exchange.is_open = False
            self._server.abort(exchange.sock)

    def _find(self, exchange: HttpExchange) -> _Caller | None:
        caller = self._callers.get(exchange.sock)
        if caller is None or caller.exchange is not exchange:
            return None
        return caller

    def _write(self, sock, caller: _Caller, event) -> None:
        data = caller.protocol.send(event)
        if data:
            self._server.send(sock, data)

    def _close_softly(self, sock, caller: _Caller) -> None:
        caller.closes = True
        caller.discard_until_ms = self._clock.now_ms() + DISCARD_MS
        if not self._server.buffered_bytes(sock):
            self._server.half_close(sock)

    # Requests

    @handler("connect")
    def _on_connect(self, sock, host, port):
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        self._callers[sock] = _Caller(protocol, self._clock.now_ms())

    @handler("disconnect")
    def _on_disconnect(self, sock):
        caller = self._callers.pop(sock, None)
        if caller is None:
            return
        self._count_input(caller, 0)
        if caller.exchange is None:
            return
        exchange = caller.exchange
        was_open, exchange.is_open = exchange.is_open, False
        if was_open:
            self._listener.on_caller_left(exchange)

    @handler("read")
    def _on_data(self, sock, data):
        caller = self._callers.get(sock)
        if caller is None or caller.discard_until_ms is not None:
            return
        caller.active_ms = self._clock.now_ms()
        try:
            caller.protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse_input(sock, caller, 400, str(error))
            return
        if caller.exchange is None:
            self._read_requests(sock, caller)
        elif len(caller.protocol.trailing_data[0]) > self._limits.max_body_bytes:
            # Requests that are sent ahead are not buffered without a bound.
            self._server.abort(sock)

    def _read_requests(self, sock, caller: _Caller) -> None:
        while caller.exchange is None and caller.discard_until_ms is None:
            try:
                event = caller.protocol.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse_input(sock, caller, error.error_status_hint, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._note_partial(sock, caller)
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            self._take_event(sock, caller, event)

    def _note_partial(self, sock, caller: _Caller) -> None:
        """Count the time of a request from its first byte."""
        if caller.began_ms is None and caller.protocol.trailing_data[0]:
            caller.began_ms = caller.active_ms
        if caller.protocol.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._write(sock, caller, go_on)

    def _take_event(self, sock, caller: _Caller, event) -> None:
        if isinstance(event, h11.Request):
            self._take_head(sock, caller, event)
        elif isinstance(event, h11.Data):
            caller.body.append(bytes(event.data))
            self._count_input(caller, caller.body_bytes + len(event.data))
            self._check_body(sock, caller, caller.body_bytes)
        elif isinstance(event, h11.EndOfMessage):
            self._open_exchange(sock, caller)

    def _take_head(self, sock, caller: _Caller, event: h11.Request) -> None:
        if caller.began_ms is None:
            caller.began_ms = caller.active_ms
        headers = list(event.headers)
        names = {name for name, _ in headers}
        if names >= FORBIDDEN_PAIR:
            # Targets could disagree about the end of such a request.
            self._refuse_input(sock, caller, 400, "length and transfer encoding")
            return
        target = event.target.decode("latin-1")
        if not target.startswith("/"):
            self._refuse_input(sock, caller, 400, "target is no path")
            return
        caller.head = RequestHead(event.method.decode("latin-1"), target, headers)
        length = caller.head.find(b"content-length")
        if length is not None:
            self._check_body(sock, caller, int(length))

    def _check_body(self, sock, caller: _Caller, size: int) -> None:
        """Refuse a body of `size` bytes, announced or read, that is beyond a bound."""
        total = self._input_bytes - caller.body_bytes + size
        if size > self._limits.max_body_bytes:
            self._refuse_input(sock, caller, 413, "body too large")
        elif total > self._limits.max_total_body_bytes:
            self._refuse_input(sock, caller, 503, "bodies of all callers too large")

    def _count_input(self, caller: _Caller, body_bytes: int) -> None:
        """Count the body of a caller's request, until its answer has ended."""
        self._input_bytes += body_bytes - caller.body_bytes
        caller.body_bytes = body_bytes

    def _open_exchange(self, sock, caller: _Caller) -> None:
        body = b"".join(caller.body)
        exchange = HttpExchange(self, sock, caller.head, body, caller.began_ms)
        caller.exchange = exchange
        caller.began_ms = None
        caller.head = None
        caller.body = []
        self._listener.on_exchange(exchange)

    def _refuse_input(self, sock, caller: _Caller, status: int, reason: str) -> None:
        log_event(CALLER_INPUT_REFUSED, port=self._name, status=status, reason=reason)
        caller.began_ms = None
        caller.body = []
        self._count_input(caller, 0)
        if caller.protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), CLOSE_HEADER]
            if status == HTTPStatus.SERVICE_UNAVAILABLE:
                headers.append((b"retry-after", b"%d" % FULL_RETRY_S))
            response = h11.Response(
                status_code=status, headers=headers, reason=_reason(status)
            )
            self._write(sock, caller, response)
            self._write(sock, caller, h11.EndOfMessage())
        self._close_softly(sock, caller)

    def _schedule_sweep(self) -> None:
        at_ms = self._clock.now_ms() + SWEEP_INTERVAL_MS
        self._timers.set(f"http_port_sweep:{self._name}", at_ms, self._sweep)

    def _sweep(self) -> None:
        """Check all connections for stalled input and idleness."""
        now_ms = self._clock.now_ms()
        for sock, caller in list(self._callers.items()):
            self._check(sock, caller, now_ms)
        self._schedule_sweep()

    def _check(self, sock, caller: _Caller, now_ms: int) -> None:
        limits = self._limits
        quiet_ms = now_ms - caller.active_ms
        if caller.discard_until_ms is not None:
            if now_ms > caller.discard_until_ms:
                self._server.abort(sock)
        elif caller.exchange is not None:
            return
        elif caller.began_ms is not None:
            if caller.head is None:
                is_stalled = now_ms - caller.began_ms > limits.header_timeout_ms
            else:
                is_stalled = quiet_ms > limits.body_timeout_ms
            if is_stalled:
                self._refuse_input(sock, caller, 408, "request stalled")
        elif quiet_ms > limits.idle_timeout_ms and not self._server.buffered_bytes(
            sock
        ):
            self._server.end(sock)


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
