"""Connections to targets, framed by h11, each with one request at a time."""

import errno
import itertools
import socket
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

import h11
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from papayacrank.kernel import Clock
from papayacrank.transport import (
    Connection,
    ConnectionState,
    IdlePool,
    Timers,
    encode_request,
)

from ._headers import HeaderList

# Targets answer a handshake within a few milliseconds; several lost packets in a row
# are rare enough to try another target instead.
CONNECT_TIMEOUT_MS = 250
# Unacknowledged data ends a connection after this time: the path or target is silent.
USER_TIMEOUT_MS = 700
KEEPALIVE_S = 1
MAX_IDLE_PER_TARGET = 16
MAX_IDLE = 600
DEFAULT_IDLE_MS = 10_000
# A connection is not reused this close to the end that the target has announced.
IDLE_MARGIN_MS = 500
MAX_HEAD_BYTES = 65_536
# Bounds on one answer. Answers of plain services are a few kB, a stream of a few
# thousand events some hundred kB.
MAX_ANSWER_BODY_BYTES = 4 * 1024 * 1024
MAX_ANSWER_PIECES = 20_000
MAX_INTERIM_HEADS = 8
# From the first byte of a head to its end; several lost packets take about a second.
HEAD_TIMEOUT_MS = 3_000
# Bounds on the answers to earlier requests that precede an answer.
MAX_SKIPPED_ANSWERS = 4
MAX_SKIPPED_BYTES = 256 * 1024
# Bodies that are collected at the same time. An instance has 128 MB, of which a process
# without load takes 40 MB.
MAX_COLLECTED_BYTES = 24 * 1024 * 1024
# Pieces of one connection that are handled in one turn of the loop, about 1 ms, and
# the time after which it goes on.
MAX_PIECES_PER_TURN = 64
NEXT_TURN_MS = 4


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that got no complete answer.

    Parameters
    ----------
    code : str
        ``"connect_failed"``, ``"connect_timeout"``, ``"connection_lost"``,
        ``"malformed_answer"``, ``"answer_too_large"`` or ``"too_many_connections"``.
    may_have_run : bool
        Whether any byte of the request was handed to the operating system.
    """

    code: str
    may_have_run: bool
    message: str = ""


class CallListener(ABC):
    """Receiver of the answer to a call."""

    @abstractmethod
    def is_answer(self, call: "TargetCall", status: int, headers: HeaderList) -> bool:
        """Whether an answer is that to the call, and not to an earlier one."""

    @abstractmethod
    def on_answer(self, call: "TargetCall", status: int, headers: HeaderList) -> None:
        """Handle the head of the answer."""

    @abstractmethod
    def on_data(self, call: "TargetCall", data: bytes) -> None:
        """Handle a piece of the body."""

    @abstractmethod
    def on_ended(self, call: "TargetCall") -> None:
        """Handle the end of a complete answer."""

    @abstractmethod
    def on_failed(self, call: "TargetCall", failure: CallFailure) -> None:
        """Handle a call that ends without a complete answer."""


@dataclass(eq=False)
class TargetCall:
    """One request to a target.

    Parameters
    ----------
    address : str
        Address of the target as ``ip:port``.
    headers : list of (bytes, bytes)
        Headers without framing.
    max_connections : int
        Connections to the target that this process may have.
    needs_new_connection : bool
        Whether a kept connection must not be used, because an answer to an earlier
        sending of the same request could not be told from one to this.
    is_collected : bool
        Whether the listener keeps the body until it is complete.
    """

    address: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    listener: CallListener
    max_connections: int = 64
    needs_new_connection: bool = False
    is_collected: bool = False
    state: Any = None
    bytes_written: bool = False
    is_open: bool = True
    reused: bool = False


class AnswerLimitError(Exception):
    """An answer exceeds a bound of this process."""


class _HttpConnection(Connection):
    """Connection with the framing of its present request."""

    def __init__(self, number: int, address: str):
        super().__init__(number, address)
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.call: TargetCall | None = None
        self.keep_ms = DEFAULT_IDLE_MS
        self.reusable = True
        self.begin_call(None)

    def begin_call(self, call: TargetCall | None) -> None:
        """Take a call and start to count its answer anew."""
        self.call = call
        self.reusable = True
        self.body_bytes = 0
        self.pieces = 0
        self.interim_heads = 0
        self.skipped_answers = 0
        self.skipped_bytes = 0
        self.head_began_ms: int | None = None
        self.has_end = False


class TargetPort(BaseComponent):
    """Component that owns the connections to all targets.

    A connection is used again only after an answer that was read completely and to
    which nothing was added. An answer with the id of an earlier request is skipped.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    channel = "target-port"

    def __init__(self, clock: Clock, timers: Timers):
        super().__init__()
        self._clock = clock
        self._timers = timers
        self._poller: BasePoller | None = None
        self._connections: dict[object, _HttpConnection] = {}
        self._by_call: dict[TargetCall, _HttpConnection] = {}
        self._count: dict[str, int] = {}
        self._pool = IdlePool(MAX_IDLE_PER_TARGET, MAX_IDLE)
        self._collected_bytes = 0
        self._numbers = itertools.count(1)

    @property
    def open_connections(self) -> int:
        """Number of connections, including idle ones."""
        return len(self._connections)

    def submit(self, call: TargetCall) -> None:
        """Send a request; the listener learns how it ends, also before the return."""
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        connection = None
        if not call.needs_new_connection:
            connection = self._take_idle(call.address)
        if connection is not None:
            call.reused = True
            self._send(connection, call)
            return
        if self._count.get(call.address, 0) >= call.max_connections:
            call.is_open = False
            failure = CallFailure("too_many_connections", False)
            call.listener.on_failed(call, failure)
            return
        self._open(call)

    def cancel(self, call: TargetCall) -> None:
        """Drop a call; its listener hears nothing more."""
        call.is_open = False
        connection = self._by_call.pop(call, None)
        if connection is not None:
            connection.call = None
            self._close(connection)
            self._release_memory(connection, call)

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._pool.take_all(address):
            self._close(connection)

    def close_expired(self) -> None:
        """Close connections that were idle for as long as their targets keep them."""
        now_ms = self._clock.now_ms()
        for connection in list(self._connections.values()):
            if connection.state is ConnectionState.IDLE and not self._is_fresh(
                connection, now_ms
            ):
                self._pool.remove(connection)
                self._close(connection)

    # Connections

    def _take_idle(self, address: str) -> _HttpConnection | None:
        now_ms = self._clock.now_ms()
        while (connection := self._pool.take(address)) is not None:
            if self._is_fresh(connection, now_ms) and connection.has_no_unread_data():
                return connection
            self._close(connection)
        return None

    @staticmethod
    def _is_fresh(connection: _HttpConnection, now_ms: int) -> bool:
        return now_ms - connection.idle_since_ms < connection.keep_ms

    def _open(self, call: TargetCall) -> None:
        connection = _HttpConnection(next(self._numbers), call.address)
        try:
            connection.connect()
            _set_silence_limits(connection.sock)
        except OSError as error:
            connection.close()
            self._fail(call, CallFailure("connect_failed", False, str(error)))
            return
        self._connections[connection.sock] = connection
        self._count[call.address] = self._count.get(call.address, 0) + 1
        connection.call = call
        self._by_call[call] = connection
        self._poller.addWriter(self, connection.sock)
        at_ms = self._clock.now_ms() + CONNECT_TIMEOUT_MS
        self._timers.set(
            _timer(connection), at_ms, lambda: self._on_connect_timeout(connection)
        )

    def _on_connect_timeout(self, connection: _HttpConnection) -> None:
        call = connection.call
        if call is not None and connection.state is ConnectionState.CONNECTING:
            self._drop(connection, CallFailure("connect_timeout", False))

    def _send(self, connection: _HttpConnection, call: TargetCall) -> None:
        connection.begin_call(call)
        connection.state = ConnectionState.BUSY
        self._by_call[call] = connection
        connection.queue(_encode(connection.protocol, call))
        self._write(connection)

    def _write(self, connection: _HttpConnection) -> None:
        call = connection.call
        try:
            if connection.send():
                call.bytes_written = True
        except OSError as error:
            # The answer may have arrived before the target closed the connection.
            connection.drop_unsent()
            connection.reusable = False
            self._read(connection)
            if call.is_open and connection.call is call:
                self._lose(connection, str(error))
            return
        if connection.has_unsent:
            self._poller.addWriter(self, connection.sock)
        elif self._poller.isWriting(connection.sock):
            self._poller.removeWriter(connection.sock)

    @handler("_write")
    def _on_write(self, sock):
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.state is not ConnectionState.CONNECTING:
            if connection.call is not None:
                self._write(connection)
            return
        self._timers.cancel(_timer(connection))
        try:
            connection.check_connected()
        except OSError as error:
            self._drop(connection, CallFailure("connect_failed", False, str(error)))
            return
        self._poller.addReader(self, sock)
        self._send(connection, connection.call)

    @handler("_read")
    def _on_read(self, sock):
        connection = self._connections.get(sock)
        if connection is None or connection.state is ConnectionState.CONNECTING:
            return
        if connection.call is None:
            # Whatever arrives on an idle connection is no answer to a request.
            self._pool.remove(connection)
            self._close(connection)
            return
        self._read(connection)

    @handler("_disconnect", "_error")
    def _on_poller_error(self, sock, *_):
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.state is ConnectionState.CONNECTING:
            code = connection.error_name()
            self._drop(connection, CallFailure("connect_failed", False, code))
        elif connection.call is None:
            self._pool.remove(connection)
            self._close(connection)
        else:
            self._read(connection)

    def _read(self, connection: _HttpConnection) -> None:
        try:
            data = connection.receive()
        except OSError as error:
            # A reset is no end of an answer, even if the answer has no length.
            self._lose(connection, errno.errorcode.get(error.errno, str(error)))
            return
        if data is None:
            return
        self._parse(connection, data)

    # Answers

    def _parse(self, connection: _HttpConnection, data: bytes) -> None:
        """Handle received bytes; none at all mean the end of the connection."""
        connection.has_end = not data
        self._handle(connection, connection.call, data)

    def _handle(
        self, connection: _HttpConnection, call: TargetCall, data: bytes
    ) -> None:
        try:
            if data or connection.has_end:
                connection.protocol.receive_data(data)
            self._take_events(connection, call)
        except h11.RemoteProtocolError as error:
            code = "connection_lost" if connection.has_end else "malformed_answer"
            self._drop(connection, CallFailure(code, call.bytes_written, str(error)))
        except AnswerLimitError as error:
            failure = CallFailure("answer_too_large", call.bytes_written, str(error))
            self._drop(connection, failure)

    def _take_events(self, connection: _HttpConnection, call: TargetCall) -> None:
        """Handle what has arrived, up to the work of one turn."""
        for _ in range(MAX_PIECES_PER_TURN):
            if not call.is_open or connection.call is not call:
                return
            event = connection.protocol.next_event()
            if event is h11.NEED_DATA:
                self._check_head_time(connection)
                return
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                self._lose(connection, "closed")
                return
            self._take_event(connection, call, event)
        if call.is_open and connection.call is call:
            self._wait_for_turn(connection)

    def _wait_for_turn(self, connection: _HttpConnection) -> None:
        """Let other connections go first; nothing more is read until then."""
        self._poller.removeReader(connection.sock)
        at_ms = self._clock.now_ms() + NEXT_TURN_MS
        self._timers.set(_timer(connection), at_ms, lambda: self._go_on(connection))

    def _go_on(self, connection: _HttpConnection) -> None:
        call = connection.call
        if call is None or connection.state is ConnectionState.CLOSED:
            return
        self._poller.addReader(self, connection.sock)
        self._handle(connection, call, b"")

    def _take_event(self, connection: _HttpConnection, call: TargetCall, event) -> None:
        connection.pieces += 1
        if connection.pieces > MAX_ANSWER_PIECES:
            raise AnswerLimitError("the answer comes in too many pieces")
        if isinstance(event, h11.Response):
            connection.head_began_ms = None
            self._take_head(connection, call, event)
        elif isinstance(event, h11.InformationalResponse):
            connection.head_began_ms = None
            connection.interim_heads += 1
            if connection.interim_heads > MAX_INTERIM_HEADS:
                raise AnswerLimitError("too many interim heads")
        elif isinstance(event, h11.Data):
            self._take_data(connection, call, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish(connection, call)

    def _take_data(
        self, connection: _HttpConnection, call: TargetCall, data: bytes
    ) -> None:
        if connection.state is ConnectionState.ENDING:
            connection.skipped_bytes += len(data)
            if connection.skipped_bytes > MAX_SKIPPED_BYTES:
                raise AnswerLimitError("an answer to an earlier request is too large")
            return
        connection.body_bytes += len(data)
        if call.is_collected:
            self._collected_bytes += len(data)
            if self._collected_bytes > MAX_COLLECTED_BYTES:
                raise AnswerLimitError("all open answers together are too large")
        if connection.body_bytes > MAX_ANSWER_BODY_BYTES:
            raise AnswerLimitError("the answer is too large")
        call.listener.on_data(call, data)

    def _check_head_time(self, connection: _HttpConnection) -> None:
        """End a connection whose head comes byte by byte."""
        protocol = connection.protocol
        in_head = protocol.their_state is h11.SEND_RESPONSE
        if not in_head or not protocol.trailing_data[0]:
            return
        now_ms = self._clock.now_ms()
        if connection.head_began_ms is None:
            connection.head_began_ms = now_ms
        elif now_ms - connection.head_began_ms > HEAD_TIMEOUT_MS:
            raise AnswerLimitError("the head takes too long")

    def _release_memory(self, connection: _HttpConnection, call: TargetCall) -> None:
        """Count a body that its listener no longer collects."""
        if call.is_collected:
            self._collected_bytes -= connection.body_bytes
        connection.body_bytes = 0

    def _take_head(self, connection: _HttpConnection, call: TargetCall, event) -> None:
        headers = list(event.headers)
        status = event.status_code
        if not call.listener.is_answer(call, status, headers):
            # An answer to an earlier request; that to this one follows it.
            connection.state = ConnectionState.ENDING
            connection.reusable = False
            connection.skipped_answers += 1
            if connection.skipped_answers > MAX_SKIPPED_ANSWERS:
                raise AnswerLimitError("too many answers to earlier requests")
            return
        connection.keep_ms = _read_keep_alive(headers)
        call.listener.on_answer(call, status, headers)

    def _finish(self, connection: _HttpConnection, call: TargetCall) -> None:
        if connection.state is ConnectionState.ENDING:
            self._skip_answer(connection, call)
            return
        self._by_call.pop(call, None)
        connection.call = None
        call.is_open = False
        self._release_memory(connection, call)
        self._release(connection)
        call.listener.on_ended(call)

    def _skip_answer(self, connection: _HttpConnection, call: TargetCall) -> None:
        """Read the answer that follows one to an earlier request."""
        left = connection.protocol.trailing_data[0]
        must_close = connection.protocol.our_state is not h11.DONE
        if must_close or connection.protocol.their_state is not h11.DONE:
            self._lose(connection, "closed after the answer to an earlier request")
            return
        connection.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        _encode(connection.protocol, call)
        connection.state = ConnectionState.BUSY
        if left:
            connection.protocol.receive_data(left)

    def _release(self, connection: _HttpConnection) -> None:
        """Keep a connection whose answer was read completely."""
        protocol = connection.protocol
        done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        clean = done and not protocol.trailing_data[0] and not connection.has_unsent
        if not clean or not connection.reusable or connection.keep_ms <= 0:
            self._close(connection)
            return
        protocol.start_next_cycle()
        connection.state = ConnectionState.IDLE
        connection.idle_since_ms = self._clock.now_ms()
        surplus = self._pool.put(connection)
        if surplus is not None:
            self._close(surplus)

    def _lose(self, connection: _HttpConnection, message: str) -> None:
        call = connection.call
        failure = CallFailure("connection_lost", call.bytes_written, message)
        self._drop(connection, failure)

    def _drop(self, connection: _HttpConnection, failure: CallFailure) -> None:
        call = connection.call
        connection.call = None
        self._by_call.pop(call, None)
        self._close(connection)
        self._release_memory(connection, call)
        self._fail(call, failure)

    @staticmethod
    def _fail(call: TargetCall, failure: CallFailure) -> None:
        if call.is_open:
            call.is_open = False
            call.listener.on_failed(call, failure)

    def _close(self, connection: _HttpConnection) -> None:
        if self._connections.pop(connection.sock, None) is None:
            return
        self._count[connection.address] -= 1
        if not self._count[connection.address]:
            del self._count[connection.address]
        self._timers.cancel(_timer(connection))
        self._poller.discard(connection.sock)
        connection.close()


def _timer(connection: _HttpConnection) -> str:
    return f"target-port:{connection.number}"


def _set_silence_limits(sock: socket.socket) -> None:
    """Let the operating system end a connection whose other end is silent."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, 1)


def _encode(protocol: h11.Connection, call: TargetCall) -> bytes:
    headers = list(call.headers)
    if call.body or call.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"content-length", b"%d" % len(call.body)))
    return encode_request(protocol, call.method, call.target, headers, call.body)


def _read_keep_alive(headers: HeaderList) -> int:
    """Return for how long the target keeps an idle connection, in milliseconds."""
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.decode("latin-1").split(","):
            key, _, number = part.strip().partition("=")
            if key.lower() == "timeout" and number.strip().isdigit():
                return int(number) * 1_000 - IDLE_MARGIN_MS
    return DEFAULT_IDLE_MS
