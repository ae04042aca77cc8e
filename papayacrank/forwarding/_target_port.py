"""HTTP/1.1 client connections to targets, based on h11, without pipelining."""

import errno
import itertools
import socket

import h11
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from papayacrank.kernel import Clock, log_event
from papayacrank.transport import (
    MAX_READ_PAUSE_MS,
    MAX_TARGET_BYTES,
    READ_PAUSE_POLL_MS,
    BufferKind,
    ByteAccount,
    Connection,
    ConnectionState,
    Holding,
    IdlePool,
    Timers,
    encode_request,
)

from ._events import REQUEST_UNREAD, RESPONSES_TOO_LARGE
from ._headers import HeaderList
from ._start_check import build_start_check
from ._target_call import CallFailure, TargetCall

# Targets complete a handshake within a few milliseconds. Several lost packets in a row
# are rare, so another target is tried instead of waiting for retransmission.
CONNECT_TIMEOUT_MS = 250
# A connection fails if data stays unacknowledged for this long, which shows that the
# target or the network path is down.
USER_TIMEOUT_MS = 700
# The same for requests with a body that may fill the receive window: a sound target
# that reads nothing for a second or two then acknowledges nothing new either.
LARGE_BODY_BYTES = 16 * 1024
LARGE_BODY_USER_TIMEOUT_MS = 2_500
KEEPALIVE_S = 1
MAX_IDLE_PER_TARGET = 16
MAX_IDLE = 600
DEFAULT_IDLE_TIMEOUT_MS = 10_000
# A connection is not reused this close to the idle timeout that the target announced.
IDLE_MARGIN_MS = 500
MAX_HEAD_BYTES = 65_536
# Limits on one response. Responses of plain services have a few kB; a stream of a few
# thousand events has some hundred kB.
MAX_RESPONSE_BODY_BYTES = 4 * 1024 * 1024
MAX_RESPONSE_EVENTS = 20_000
MAX_INTERIM_RESPONSES = 8
# Time from the first byte of a response head to its end. Recovery from several lost
# packets takes about a second.
HEAD_TIMEOUT_MS = 3_000
# Limits on stale responses, which belong to earlier requests and precede the response.
MAX_STALE_RESPONSES = 4
MAX_STALE_BYTES = 256 * 1024
# Limit on what all open responses hold at the same time: unparsed bytes, buffered
# bodies and incomplete events. An instance has 128 MB of memory, of which an idle
# process uses 40 MB.
MAX_HELD_BYTES = 24 * 1024 * 1024
# Number of h11 events of one connection that are handled in one iteration of the event
# loop, which takes about 1 ms, and the delay before the next ones are handled.
MAX_EVENTS_PER_TURN = 64
RESUME_READING_DELAY_MS = 4


class ResponseLimitError(Exception):
    """Raised when a response exceeds a limit of this process."""


class _HttpConnection(Connection):
    """Connection with the HTTP state and response counters of its current call."""

    def __init__(self, number: int, address: str):
        super().__init__(number, address)
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.call: TargetCall | None = None
        # Name and start time of the target that was checked on this connection.
        self.checked_start: tuple[str, int] | None = None
        self.max_idle_ms = DEFAULT_IDLE_TIMEOUT_MS
        self.reusable = True
        self.response = Holding(BufferKind.RESPONSE, None)
        self.request = Holding(BufferKind.TO_TARGET, None)
        self.outstanding_bytes = 0
        self.paused_ms: int | None = None
        self.begin_call(None)

    def begin_call(self, call: TargetCall | None) -> None:
        """Assign a call and reset the counters of its response."""
        self.call = call
        self.reusable = True
        self.body_bytes = 0
        self.event_count = 0
        self.interim_responses = 0
        self.stale_responses = 0
        self.stale_bytes = 0
        self.head_started_ms: int | None = None
        self.has_eof = False


class TargetPort(BaseComponent):
    """Component that owns the connections to all targets.

    A connection is reused only after a response that was read completely and that no
    extra bytes follow. A stale response with the id of an earlier request is skipped.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    account : ByteAccount, optional
        Account of the process for buffered bytes.
    max_idle : int
        Maximum number of idle connections.
    """

    channel = "target-port"

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        account: ByteAccount | None = None,
        max_idle: int = MAX_IDLE,
    ):
        super().__init__()
        self._clock = clock
        self._timers = timers
        self._account = account or ByteAccount()
        self._poller: BasePoller | None = None
        self._connections: dict[object, _HttpConnection] = {}
        self._by_call: dict[TargetCall, _HttpConnection] = {}
        # Check in progress by the call that waits for it.
        self._checks: dict[TargetCall, TargetCall] = {}
        self._connection_counts: dict[str, int] = {}
        # Bytes of the requests that each target has not answered yet.
        self._outstanding_bytes: dict[str, int] = {}
        self._pool = IdlePool(MAX_IDLE_PER_TARGET, max_idle)
        self._held_bytes = 0
        self._numbers = itertools.count(1)

    @property
    def open_connections(self) -> int:
        """Number of connections, including idle ones."""
        return len(self._connections)

    @property
    def held_bytes(self) -> int:
        """Number of bytes that all open responses hold."""
        return self._held_bytes

    def submit(self, call: TargetCall) -> None:
        """Send a request; the listener may be called before this method returns."""
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        outstanding_bytes = self._outstanding_bytes.get(call.address, 0)
        if outstanding_bytes and outstanding_bytes + len(call.body) > MAX_TARGET_BYTES:
            # A target crashes if the requests that it holds exceed its memory.
            call.is_open = False
            call.listener.on_failed(call, CallFailure("too_many_bytes", False))
            return
        connection = None
        if not call.needs_new_connection:
            connection = self._take_idle(call.address)
        if connection is not None:
            call.reused = True
            self._begin(connection, call)
            return
        if self._connection_counts.get(call.address, 0) >= call.max_connections:
            call.is_open = False
            failure = CallFailure("too_many_connections", False)
            call.listener.on_failed(call, failure)
            return
        self._open(call)

    def cancel(self, call: TargetCall) -> None:
        """Cancel a call and close its connection; its listener is not called again."""
        call.is_open = False
        check = self._checks.pop(call, None)
        if check is not None:
            self.cancel(check)
        connection = self._by_call.pop(call, None)
        if connection is not None:
            connection.call = None
            self._close(connection)
            self._release_held(connection)

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._pool.take_all(address):
            self._close(connection)

    def close_expired(self) -> None:
        """Close connections that exceeded the idle timeout of their targets.

        Those to targets that have stopped reading a request are closed as well.
        """
        now_ms = self._clock.now_ms()
        for connection in list(self._connections.values()):
            if connection.request.is_silent(now_ms):
                self._end_request(connection)
            elif connection.state is ConnectionState.IDLE and not self._is_fresh(
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
        return now_ms - connection.idle_since_ms < connection.max_idle_ms

    def _open(self, call: TargetCall) -> None:
        connection = _HttpConnection(next(self._numbers), call.address)
        connection.response.end = lambda: self._end_response(connection)
        connection.request.end = lambda: self._end_request(connection)
        try:
            connection.connect()
            _set_tcp_timeouts(connection.sock)
        except OSError as error:
            connection.close()
            self._fail(call, CallFailure("connect_failed", False, str(error)))
            return
        self._connections[connection.sock] = connection
        self._connection_counts[call.address] = (
            self._connection_counts.get(call.address, 0) + 1
        )
        connection.call = call
        self._by_call[call] = connection
        self._set_outstanding(connection, len(call.body))
        self._poller.addWriter(self, connection.sock)
        at_ms = self._clock.now_ms() + CONNECT_TIMEOUT_MS
        self._timers.set(
            _timer(connection), at_ms, lambda: self._on_connect_timeout(connection)
        )

    def _on_connect_timeout(self, connection: _HttpConnection) -> None:
        call = connection.call
        if call is None or connection.state is not ConnectionState.CONNECTING:
            return
        # After a stall of this process, the poller has not reported the result yet.
        if connection.has_connect_result():
            self._on_connect_result(connection)
        else:
            self._drop(connection, CallFailure("connect_timeout", False))

    def _on_connect_result(self, connection: _HttpConnection) -> None:
        self._timers.cancel(_timer(connection))
        try:
            connection.check_connected()
        except OSError as error:
            self._drop(connection, CallFailure("connect_failed", False, str(error)))
            return
        self._poller.addReader(self, connection.sock)
        connection.opened_ms = self._clock.now_ms()
        self._begin(connection, connection.call)

    def _begin(self, connection: _HttpConnection, call: TargetCall) -> None:
        """Send a call, after the check that it needs."""
        needed = call.start_check
        if needed is None or connection.checked_start == (
            needed.name,
            needed.started_ms,
        ):
            self._send(connection, call)
            return
        self._by_call.pop(call, None)
        check = build_start_check(
            call, lambda failure: self._finish_start_check(connection, call, failure)
        )
        self._checks[call] = check
        self._send(connection, check)

    def _finish_start_check(
        self,
        connection: _HttpConnection,
        call: TargetCall,
        failure: CallFailure | None,
    ) -> None:
        """Send the call that waited for a check, or report why it was not sent."""
        self._checks.pop(call, None)
        if failure is None and not self._pool.remove(connection):
            failure = CallFailure("connection_lost", False, "closed after the check")
        if failure is not None:
            self._fail(call, failure)
            return
        needed = call.start_check
        connection.checked_start = (needed.name, needed.started_ms)
        self._send(connection, call)

    def _send(self, connection: _HttpConnection, call: TargetCall) -> None:
        connection.begin_call(call)
        self._set_outstanding(connection, len(call.body))
        call.opened_ms = connection.opened_ms
        connection.state = ConnectionState.BUSY
        self._by_call[call] = connection
        limit_ms = call.send_before_ms
        if limit_ms is not None and self._clock.now_ms() >= limit_ms:
            self._drop(connection, CallFailure("permit_expired", False))
            return
        _set_user_timeout(connection.sock, len(call.body))
        connection.queue(_encode(connection.protocol, call))
        self._write(connection)
        self._account.enforce(self._clock.now_ms())

    def _write(self, connection: _HttpConnection) -> None:
        call = connection.call
        try:
            sent = connection.send()
            call.bytes_written |= connection.has_sent
            now_ms = self._clock.now_ms()
            self._account.set(connection.request, connection.unsent_bytes, now_ms, sent)
        except OSError as error:
            call.bytes_written |= connection.has_sent
            # The response may have arrived before the target closed the connection.
            connection.drop_unsent()
            connection.broken = True
            self._read(connection)
            if call.is_open and connection.call is call:
                self._on_connection_lost(connection, str(error))
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
        if connection.state is ConnectionState.CONNECTING:
            self._on_connect_result(connection)
        elif connection.call is not None:
            self._write(connection)

    @handler("_read")
    def _on_read(self, sock):
        connection = self._connections.get(sock)
        if connection is None or connection.state is ConnectionState.CONNECTING:
            return
        if connection.call is None:
            # Data on an idle connection belongs to no request.
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
            # A reset does not complete a response, even one without a length.
            self._on_connection_lost(
                connection, errno.errorcode.get(error.errno, str(error))
            )
            return
        if data is None:
            return
        if not data and connection.broken:
            # The error that a reset sets on a socket is reported once, here to `send`.
            self._on_connection_lost(connection, "reset")
            return
        call = connection.call
        self._parse(connection, data)
        self._limit_unread_bytes(connection, call)

    # Responses

    def _parse(self, connection: _HttpConnection, data: bytes) -> None:
        """Handle received bytes; no bytes mean the end of the connection."""
        connection.has_eof = not data
        self._handle(connection, connection.call, data)

    def _handle(
        self, connection: _HttpConnection, call: TargetCall, data: bytes
    ) -> None:
        try:
            if data or connection.has_eof:
                connection.protocol.receive_data(data)
            self._process_events(connection, call)
        except h11.RemoteProtocolError as error:
            code = "connection_lost" if connection.has_eof else "malformed_answer"
            self._drop(connection, CallFailure(code, call.bytes_written, str(error)))
        except ResponseLimitError as error:
            failure = CallFailure("answer_too_large", call.bytes_written, str(error))
            self._drop(connection, failure)
        else:
            self._limit_held_bytes(connection, call)

    def _limit_held_bytes(self, connection: _HttpConnection, call: TargetCall) -> None:
        """Update what a response holds; end the largest one if all hold too much.

        Ending the response that received data last would end sound ones beside others
        that never end.
        """
        if connection.call is not call:
            return
        held = len(connection.protocol.trailing_data[0]) + call.held_bytes
        if call.is_buffered and connection.state is not ConnectionState.ENDING:
            held += connection.body_bytes
        added = held - connection.response.held
        self._held_bytes += added
        now_ms = self._clock.now_ms()
        self._account.set(connection.response, held, now_ms, max(0, added))
        while self._held_bytes > MAX_HELD_BYTES:
            self._end_response(
                max(self._by_call.values(), key=lambda c: c.response.held)
            )
        self._account.enforce(now_ms)

    def _end_response(self, connection: _HttpConnection) -> None:
        """End a response to limit what all of them hold."""
        log_event(
            RESPONSES_TOO_LARGE,
            address=connection.address,
            bytes=connection.response.held,
            all_bytes=self._held_bytes,
        )
        message = "all open responses together are too large"
        may_have_run = connection.call.bytes_written
        self._drop(connection, CallFailure("answer_too_large", may_have_run, message))

    def _end_request(self, connection: _HttpConnection) -> None:
        """End a request that its target reads too slowly."""
        log_event(
            REQUEST_UNREAD,
            address=connection.address,
            bytes=connection.request.held,
            all_bytes=self._account.total,
        )
        may_have_run = connection.call.bytes_written
        self._drop(connection, CallFailure("request_unread", may_have_run))

    def _limit_unread_bytes(
        self, connection: _HttpConnection, call: TargetCall
    ) -> None:
        """Pause reading a stream whose caller reads too slowly."""
        if connection.call is not call or connection.paused_ms is not None:
            return
        if self._is_over_share(call):
            connection.paused_ms = self._clock.now_ms()
            self._poller.removeReader(connection.sock)
            self._schedule_resume(connection, READ_PAUSE_POLL_MS)

    def _is_over_share(self, call: TargetCall) -> bool:
        unsent_bytes = 0 if call.unsent_bytes is None else call.unsent_bytes()
        return unsent_bytes > self._account.share_bytes

    def _schedule_resume(self, connection: _HttpConnection, delay_ms: int) -> None:
        at_ms = self._clock.now_ms() + delay_ms
        self._timers.set(
            _timer(connection), at_ms, lambda: self._resume_reading(connection)
        )

    def _set_outstanding(self, connection: _HttpConnection, size: int) -> None:
        """Set the size of the request of a connection that its target holds."""
        address = connection.address
        total = self._outstanding_bytes.get(address, 0)
        self._outstanding_bytes[address] = total + size - connection.outstanding_bytes
        connection.outstanding_bytes = size
        if not self._outstanding_bytes[address]:
            del self._outstanding_bytes[address]

    def _process_events(self, connection: _HttpConnection, call: TargetCall) -> None:
        """Handle parsed events, up to the limit of one loop iteration."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if not call.is_open or connection.call is not call:
                return
            event = connection.protocol.next_event()
            if event is h11.NEED_DATA:
                self._check_head_timeout(connection)
                return
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                self._on_connection_lost(connection, "closed")
                return
            self._process_event(connection, call, event)
        if call.is_open and connection.call is call:
            self._pause_reading(connection)

    def _pause_reading(self, connection: _HttpConnection) -> None:
        """Stop reading for a short time, so that other connections get their turn."""
        self._poller.removeReader(connection.sock)
        connection.paused_ms = self._clock.now_ms()
        self._schedule_resume(connection, RESUME_READING_DELAY_MS)

    def _resume_reading(self, connection: _HttpConnection) -> None:
        call = connection.call
        if call is None or connection.state is ConnectionState.CLOSED:
            return
        paused_for_ms = self._clock.now_ms() - connection.paused_ms
        if paused_for_ms < MAX_READ_PAUSE_MS and self._is_over_share(call):
            self._schedule_resume(connection, READ_PAUSE_POLL_MS)
            return
        connection.paused_ms = None
        self._poller.addReader(self, connection.sock)
        self._handle(connection, call, b"")

    def _process_event(
        self, connection: _HttpConnection, call: TargetCall, event
    ) -> None:
        connection.event_count += 1
        if connection.event_count > MAX_RESPONSE_EVENTS:
            raise ResponseLimitError("response has too many parser events")
        if isinstance(event, h11.Response):
            connection.head_started_ms = None
            self._process_head(connection, call, event)
        elif isinstance(event, h11.InformationalResponse):
            connection.head_started_ms = None
            connection.interim_responses += 1
            if connection.interim_responses > MAX_INTERIM_RESPONSES:
                raise ResponseLimitError("too many interim (1xx) responses")
        elif isinstance(event, h11.Data):
            self._process_data(connection, call, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish(connection, call)

    def _process_data(
        self, connection: _HttpConnection, call: TargetCall, data: bytes
    ) -> None:
        if connection.state is ConnectionState.ENDING:
            connection.stale_bytes += len(data)
            if connection.stale_bytes > MAX_STALE_BYTES:
                raise ResponseLimitError("responses to earlier requests are too large")
            return
        connection.body_bytes += len(data)
        if connection.body_bytes > MAX_RESPONSE_BODY_BYTES:
            raise ResponseLimitError("response body is too large")
        call.listener.on_data(call, data)

    def _check_head_timeout(self, connection: _HttpConnection) -> None:
        """Fail a connection whose response head takes too long to arrive."""
        protocol = connection.protocol
        in_head = protocol.their_state is h11.SEND_RESPONSE
        if not in_head or not protocol.trailing_data[0]:
            return
        now_ms = self._clock.now_ms()
        if connection.head_started_ms is None:
            connection.head_started_ms = now_ms
        elif now_ms - connection.head_started_ms > HEAD_TIMEOUT_MS:
            raise ResponseLimitError("response head timed out")

    def _release_held(self, connection: _HttpConnection) -> None:
        """Subtract what a response held that has ended."""
        self._held_bytes -= connection.response.held
        self._account.release(connection.response)
        self._account.release(connection.request)
        self._set_outstanding(connection, 0)

    def _process_head(
        self, connection: _HttpConnection, call: TargetCall, event
    ) -> None:
        headers = list(event.headers)
        status = event.status_code
        if not call.listener.matches_call(call, status, headers):
            # A stale response to an earlier request; the response to this one follows.
            connection.state = ConnectionState.ENDING
            connection.reusable = False
            connection.stale_responses += 1
            if connection.stale_responses > MAX_STALE_RESPONSES:
                raise ResponseLimitError("too many responses to earlier requests")
            return
        connection.max_idle_ms = _parse_keep_alive_timeout(headers)
        call.listener.on_response(call, status, headers)

    def _finish(self, connection: _HttpConnection, call: TargetCall) -> None:
        if connection.state is ConnectionState.ENDING:
            self._skip_stale_response(connection, call)
            return
        self._by_call.pop(call, None)
        connection.call = None
        call.is_open = False
        call.ended_by_close = connection.has_eof
        self._release_held(connection)
        self._release(connection)
        call.listener.on_ended(call)

    def _skip_stale_response(
        self, connection: _HttpConnection, call: TargetCall
    ) -> None:
        """Reset the parser after a stale response to read the next one."""
        unread = connection.protocol.trailing_data[0]
        must_close = connection.protocol.our_state is not h11.DONE
        if must_close or connection.protocol.their_state is not h11.DONE:
            self._on_connection_lost(
                connection, "closed after the response to an earlier request"
            )
            return
        connection.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        _encode(connection.protocol, call)
        connection.state = ConnectionState.BUSY
        if unread:
            connection.protocol.receive_data(unread)

    def _release(self, connection: _HttpConnection) -> None:
        """Return a connection to the idle pool, or close it if it is not reusable."""
        protocol = connection.protocol
        is_idle = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        is_clean = (
            is_idle and not protocol.trailing_data[0] and not connection.has_unsent
        )
        is_reusable = connection.reusable and not (
            connection.broken or connection.has_eof
        )
        if not is_clean or not is_reusable or connection.max_idle_ms <= 0:
            self._close(connection)
            return
        protocol.start_next_cycle()
        connection.state = ConnectionState.IDLE
        connection.idle_since_ms = self._clock.now_ms()
        surplus = self._pool.put(connection)
        if surplus is not None:
            self._close(surplus)

    def _on_connection_lost(self, connection: _HttpConnection, message: str) -> None:
        call = connection.call
        failure = CallFailure("connection_lost", call.bytes_written, message)
        self._drop(connection, failure)

    def _drop(self, connection: _HttpConnection, failure: CallFailure) -> None:
        call = connection.call
        connection.call = None
        self._by_call.pop(call, None)
        self._close(connection)
        self._release_held(connection)
        self._fail(call, failure)

    @staticmethod
    def _fail(call: TargetCall, failure: CallFailure) -> None:
        if call.is_open:
            call.is_open = False
            call.listener.on_failed(call, failure)

    def _close(self, connection: _HttpConnection) -> None:
        if self._connections.pop(connection.sock, None) is None:
            return
        self._connection_counts[connection.address] -= 1
        if not self._connection_counts[connection.address]:
            del self._connection_counts[connection.address]
        self._timers.cancel(_timer(connection))
        self._poller.discard(connection.sock)
        connection.close()


def _timer(connection: _HttpConnection) -> str:
    return f"target-port:{connection.number}"


def _set_tcp_timeouts(sock: socket.socket) -> None:
    """Set TCP timeouts after which the kernel closes an unresponsive connection."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, 1)


def _set_user_timeout(sock: socket.socket, body_bytes: int) -> None:
    """Set the time for which data may stay unacknowledged, for the next request."""
    is_large = body_bytes > LARGE_BODY_BYTES
    timeout_ms = LARGE_BODY_USER_TIMEOUT_MS if is_large else USER_TIMEOUT_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _encode(protocol: h11.Connection, call: TargetCall) -> bytes:
    headers = list(call.headers)
    if call.body or call.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"content-length", b"%d" % len(call.body)))
    return encode_request(protocol, call.method, call.target, headers, call.body)


def _parse_keep_alive_timeout(headers: HeaderList) -> int:
    """Return the idle timeout of a connection in milliseconds.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers of a response; ``Keep-Alive`` may state the timeout of the target.
    """
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.decode("latin-1").split(","):
            key, _, number = part.strip().partition("=")
            if key.lower() == "timeout" and number.strip().isdigit():
                return int(number) * 1_000 - IDLE_MARGIN_MS
    return DEFAULT_IDLE_TIMEOUT_MS
