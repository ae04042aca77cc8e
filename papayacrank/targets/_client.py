"""HTTP client for engines and plain services."""

import itertools

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from papayacrank.kernel import Clock, log_event
from papayacrank.transport import Connection, ConnectionState, IdlePool, Timers

from ._cancels import CANCEL_CHANNEL, CancelBarrier
from ._deadlines import Deadlines
from ._events import (
    CANCEL_FAILED,
    IDLE_CONNECTION_SILENT,
    TARGET_ATTEMPT_FAILED,
    WRONG_ANSWER,
)
from ._exchange import ID_HEADER, Attempt, Probe, encode_probe
from ._notifications import target_failed, target_finished
from ._request import TargetClientLimits, TargetFailure, TargetRequest
from ._response import MalformedResponseError, ResponseParser
from ._response_events import UnidentifiedResponseError, process_received_bytes
from ._stream import StreamError

# Time for the last chunk of the transfer encoding, which usually arrives together
# with the end of the stream.
STREAM_END_TIMEOUT_MS = 500
# After these failures, idle connections to the address may be silent as well.
_POOL_CLEARING_CODES = frozenset(
    {"connect_timeout", "first_byte_timeout", "first_token_timeout", "progress_timeout"}
)


class TargetClient(BaseComponent):
    """Component that manages the connections to all targets.

    Each connection carries one request at a time and is reused only if the response
    was read completely, so that a late response cannot be delivered to another
    request. Events of an attempt are fired on the channel named in its request.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    limits : TargetClientLimits, optional
        Limits of connections and concurrent requests.
    """

    channel = "targets"

    def __init__(
        self, clock: Clock, timers: Timers, limits: TargetClientLimits | None = None
    ):
        super().__init__()
        self._clock = clock
        self._deadlines = Deadlines(clock, timers, self._on_deadline)
        self._limits = limits or TargetClientLimits()
        self._poller: BasePoller | None = None
        self._attempts: dict[str, Attempt] = {}
        self._connections: dict[object, Connection] = {}
        self._cancels = CancelBarrier()
        self._pool = IdlePool(self._limits.max_idle_per_target, self._limits.max_idle)
        self._omitting_ids: set[str] = set()
        self._serial_numbers = itertools.count(1)

    @property
    def active(self) -> int:
        """Number of attempts in progress."""
        return len(self._attempts)

    @property
    def open_connections(self) -> int:
        """Number of connections, including idle ones."""
        return len(self._connections)

    def idle_connections(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return self._pool.count(address)

    def submit(self, request: TargetRequest) -> None:
        """Start an attempt.

        Every attempt ends with one `target_finished` or `target_failed` event,
        unless it is cancelled or the client is closed.

        Parameters
        ----------
        request : TargetRequest
            Request to send.

        Raises
        ------
        ValueError
            If an attempt with the same ID is in progress.
        """
        if request.request_id in self._attempts:
            raise ValueError(f"attempt {request.request_id!r} is already in progress")
        try:
            attempt = Attempt.start(request)
        except ValueError as error:
            self._refuse(request, "invalid_request", str(error))
            return
        if len(self._attempts) >= self._limits.max_active:
            self._refuse(request, "overloaded", "too many requests to targets")
            return
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        self._attempts[request.request_id] = attempt
        if not self._cancels.defer(attempt):
            self._acquire_connection(attempt)

    def pause(self, request_id: str) -> None:
        """Stop reading the response; unknown IDs are ignored.

        While paused, no read timeout applies. Data of at most one further read is
        still delivered.
        """
        attempt = self._attempts.get(request_id)
        if attempt is None or attempt.paused:
            return
        attempt.paused = True
        connection = attempt.connection
        if connection is not None and connection.state is ConnectionState.BUSY:
            self._poller.removeReader(connection.sock)
            if not connection.has_unsent:
                self._deadlines.suspend(connection)

    def resume(self, request_id: str) -> None:
        """Resume reading the response; unknown IDs are ignored."""
        attempt = self._attempts.get(request_id)
        if attempt is None or not attempt.paused:
            return
        attempt.paused = False
        connection = attempt.connection
        if connection is not None and connection.state is ConnectionState.BUSY:
            self._poller.addReader(self, connection.sock)
            self._deadlines.set(connection, attempt.request.timeouts.progress_ms)

    def cancel(self, request_id: str) -> None:
        """Cancel an attempt; unknown IDs are ignored.

        The connection is closed. If the request has a `cancel_path` and any byte of
        it was written, a cancel request is sent to the target. Events that were
        already fired may still be handled, but no further ones are fired.
        """
        attempt = self._attempts.pop(request_id, None)
        if attempt is None:
            return
        connection, attempt.connection = attempt.connection, None
        if connection is not None:
            self._close(connection)
        if attempt.bytes_written and attempt.request.cancel_path is not None:
            self._send_cancel(attempt.request)

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._pool.take_all(address):
            self._close(connection)

    def close(self) -> None:
        """Close all connections; attempts in progress end without an event."""
        self._attempts.clear()
        for connection in list(self._connections.values()):
            self._close(connection)

    # Connections

    def _acquire_connection(self, attempt: Attempt) -> None:
        """Reuse an idle connection if that is safe, else open a new one."""
        request = attempt.request
        while request.idempotent and not attempt.reconnected:
            connection = self._pool.take(request.address)
            if connection is None:
                break
            if not connection.has_no_unread_data():
                self._close(connection)
                continue
            idle_ms = self._clock.now_ms() - connection.idle_since_ms
            if idle_ms < self._limits.probe_after_idle_ms:
                self._send(connection, attempt)
                return
            if request.probe_path is not None:
                self._send_probe(connection, attempt)
                return
            self._close(connection)
        self._open(attempt)

    def _open(self, attempt: Attempt) -> None:
        connection = Connection(next(self._serial_numbers), attempt.request.address)
        connection.exchange = attempt
        attempt.connection = connection
        try:
            connection.connect()
        except (OSError, ValueError, OverflowError) as error:
            connection.close()
            self._fail(attempt, "connect_failed", str(error))
            return
        self._connections[connection.sock] = connection
        self._poller.addWriter(self, connection.sock)
        self._deadlines.set(connection, attempt.request.timeouts.connect_ms)

    def _on_connected(self, connection: Connection) -> None:
        try:
            connection.check_connected()
        except OSError as error:
            self._fail(connection.exchange, "connect_failed", str(error))
            return
        connection.opened_ms = self._clock.now_ms()
        self._poller.removeWriter(connection.sock)
        self._send(connection, connection.exchange)

    def _close(self, connection: Connection) -> None:
        self._deadlines.remove(connection)
        if connection.state is ConnectionState.IDLE:
            self._pool.remove(connection)
        if connection.sock is not None:
            self._connections.pop(connection.sock, None)
            if self._poller is not None:
                self._poller.discard(connection.sock)
        connection.exchange = None
        connection.close()

    def _return_to_pool(self, connection: Connection) -> None:
        """Return a connection to the pool after its response was read completely."""
        connection.exchange = None
        connection.state = ConnectionState.IDLE
        connection.reused = True
        connection.idle_since_ms = self._clock.now_ms()
        if not self._poller.isReading(connection.sock):
            self._poller.addReader(self, connection.sock)
        self._deadlines.set(connection, self._limits.idle_ms)
        evicted = self._pool.put(connection)
        if evicted is not None:
            self._close(evicted)

    # Writing

    def _send(self, connection: Connection, attempt: Attempt) -> None:
        limit_ms = attempt.request.send_before_ms
        if limit_ms is not None and self._clock.now_ms() >= limit_ms:
            attempt.connection = connection
            self._fail(attempt, "permit_expired", "the permit has expired")
            return
        connection.state = ConnectionState.BUSY
        connection.exchange = attempt
        attempt.connection = connection
        attempt.expects_id = self._expects_id(connection, attempt)
        connection.queue(attempt.encoded_request)
        if attempt.paused:
            self._poller.removeReader(connection.sock)
        elif not self._poller.isReading(connection.sock):
            self._poller.addReader(self, connection.sock)
        self._write(connection)

    def _write(self, connection: Connection) -> None:
        attempt = connection.exchange
        try:
            sent = connection.send()
        except OSError as error:
            self._on_write_error(connection, error)
            return
        attempt.bytes_written = attempt.bytes_written or sent > 0
        if connection.has_unsent:
            if not self._poller.isWriting(connection.sock):
                self._poller.addWriter(self, connection.sock)
            if sent:
                self._deadlines.set(connection, attempt.request.timeouts.progress_ms)
            return
        if self._poller.isWriting(connection.sock):
            self._poller.removeWriter(connection.sock)
        if attempt.paused:
            self._deadlines.suspend(connection)
        else:
            self._deadlines.set(connection, attempt.request.timeouts.first_byte_ms)

    def _on_write_error(self, connection: Connection, error: OSError) -> None:
        """Read an early response, for example a refusal, before failing the attempt."""
        connection.drop_unsent()
        connection.broken = True
        attempt = connection.exchange
        attempt.bytes_written = attempt.bytes_written or connection.has_sent
        self._read(connection)
        if attempt.connection is connection and not attempt.response_started:
            self._retry_or_fail(connection, "write_failed", str(error))

    def _send_probe(self, connection: Connection, attempt: Attempt) -> None:
        connection.state = ConnectionState.PROBING
        connection.exchange = Probe(attempt, ResponseParser("GET"))
        attempt.connection = connection
        probe = encode_probe(connection.address, attempt.request.probe_path)
        connection.queue(probe)
        try:
            connection.send()
        except OSError:
            connection.drop_unsent()
        if connection.has_unsent or not probe:
            self._on_probe_failed(connection)
            return
        self._deadlines.set(connection, self._limits.probe_timeout_ms)

    def _on_probe_failed(self, connection: Connection) -> None:
        """Open a new connection, since nothing of the request was written yet."""
        attempt = connection.exchange.attempt
        log_event(IDLE_CONNECTION_SILENT, address=connection.address)
        self._close(connection)
        self.drop_idle(connection.address)
        self._open(attempt)

    def _send_cancel(self, request: TargetRequest) -> None:
        cancel_id = f"cancel-{next(self._serial_numbers)}-{request.request_id}"
        self.submit(self._cancels.start_cancel(cancel_id, request))

    # Reading

    def _read(self, connection: Connection) -> None:
        try:
            data = connection.receive()
        except OSError as error:
            self._on_connection_lost(connection, str(error))
            return
        if data is None:
            return
        if not data:
            self._on_connection_ended(connection)
        elif connection.state is ConnectionState.BUSY:
            self._on_response_data(connection, data)
        elif connection.state is ConnectionState.PROBING:
            self._on_probe_response(connection, data)
        elif connection.state is ConnectionState.ENDING:
            self._on_stream_end(connection, data)
        else:
            self._close(connection)

    def _on_connection_ended(self, connection: Connection) -> None:
        # After a failed sending, an end of file may be that of a reset, which the
        # operating system reports once.
        if connection.state is ConnectionState.BUSY and not connection.broken:
            attempt = connection.exchange
            attempt.reader.end_connection()
            if attempt.reader.complete:
                self._on_complete(connection, attempt)
                return
        self._on_connection_lost(connection, "the target closed the connection")

    def _on_connection_lost(self, connection: Connection, message: str) -> None:
        if connection.state is ConnectionState.BUSY:
            attempt = connection.exchange
            code = "truncated_answer" if attempt.response_started else "connection_lost"
            self._retry_or_fail(connection, code, message)
        elif connection.state is ConnectionState.PROBING:
            self._on_probe_failed(connection)
        else:
            self._close(connection)

    def _retry_or_fail(self, connection: Connection, code: str, message: str) -> None:
        """Retry once if a reused connection was stale, else fail the attempt."""
        attempt = connection.exchange
        stale = connection.reused and not attempt.response_started
        stale = stale and attempt.request.send_before_ms is None
        if stale and attempt.request.idempotent and not attempt.reconnected:
            attempt.restart()
            self._close(connection)
            self._open(attempt)
            return
        self._fail(attempt, code, message)

    def _expects_id(self, connection: Connection, attempt: Attempt) -> bool:
        """Whether a response without an id may belong to an earlier request.

        The chunks of a stream are identified by themselves. Other requests are sent
        again on a new connection, if that is possible.
        """
        request = attempt.request
        return (
            connection.returned_ids
            and request.idempotent
            and request.send_before_ms is None
            and not request.stream
            and not attempt.reconnected
            and connection.address not in self._omitting_ids
        )

    def _on_response_data(self, connection: Connection, data: bytes) -> None:
        attempt = connection.exchange
        try:
            events = process_received_bytes(attempt, data)
        except MalformedResponseError as error:
            self._fail(attempt, "malformed_answer", str(error))
            return
        except StreamError as error:
            self._fail(attempt, error.code, str(error))
            return
        except UnidentifiedResponseError:
            attempt.restart()
            self._close(connection)
            self._open(attempt)
            return
        for event in events:
            self.fire(event, attempt.request.channel)
        self._after_response_data(connection, attempt)

    def _after_response_data(self, connection: Connection, attempt: Attempt) -> None:
        if attempt.reader.complete:
            self._on_complete(connection, attempt)
        elif attempt.stream is not None and attempt.stream.ended:
            self._finish(attempt)
            connection.state = ConnectionState.ENDING
            connection.exchange = attempt
            if not self._poller.isReading(connection.sock):
                self._poller.addReader(self, connection.sock)
            self._deadlines.set(connection, STREAM_END_TIMEOUT_MS)
        elif attempt.made_progress and not attempt.paused and not connection.has_unsent:
            self._deadlines.set(connection, self._read_timeout_ms(attempt))

    def _read_timeout_ms(self, attempt: Attempt) -> int:
        timeouts = attempt.request.timeouts
        if attempt.reader.head is None:
            return timeouts.first_byte_ms
        if attempt.stream is None or attempt.refused or attempt.first_token_received:
            return timeouts.progress_ms
        return timeouts.first_token_ms

    def _on_complete(self, connection: Connection, attempt: Attempt) -> None:
        self._observe_id(connection, attempt)
        if attempt.refused:
            self._fail(attempt, "target_status", "the target refused the request")
            return
        if attempt.stream is not None and not attempt.stream.ended:
            self._fail(attempt, "truncated_answer", "the stream ended too early")
            return
        self._finish(attempt)
        self._return_or_close(connection, attempt)

    def _observe_id(self, connection: Connection, attempt: Attempt) -> None:
        has_id = attempt.reader.head.find(ID_HEADER) is not None
        connection.returned_ids = has_id
        if not has_id and not connection.reused and attempt.reconnected:
            # The target repeats the id only in some of its responses.
            self._omitting_ids.add(connection.address)

    def _finish(self, attempt: Attempt) -> None:
        self._attempts.pop(attempt.request.request_id, None)
        attempt.connection = None
        usage = attempt.stream.usage if attempt.stream is not None else None
        self._fire_for_attempt(attempt, target_finished, usage)

    def _return_or_close(self, connection: Connection, attempt: Attempt) -> None:
        reader = attempt.reader
        usable = reader.keep_alive and not reader.has_trailing_data
        if usable and not connection.has_unsent and not connection.broken:
            self._return_to_pool(connection)
        else:
            self._close(connection)

    def _on_stream_end(self, connection: Connection, data: bytes) -> None:
        """Read the end of the chunked encoding after the end of a stream."""
        attempt = connection.exchange
        try:
            body = attempt.reader.feed(data)
        except MalformedResponseError:
            body = data
        if body:
            self._close(connection)
        elif attempt.reader.complete:
            self._return_or_close(connection, attempt)

    def _on_probe_response(self, connection: Connection, data: bytes) -> None:
        probe = connection.exchange
        try:
            probe.reader.feed(data)
        except MalformedResponseError:
            self._on_probe_failed(connection)
            return
        reader = probe.reader
        if not reader.complete:
            return
        if not reader.keep_alive or reader.has_trailing_data:
            self._on_probe_failed(connection)
            return
        self._send(connection, probe.attempt)

    # Timeouts

    def _on_deadline(self, connection: Connection) -> None:
        # After a suspension, the poller may not have reported what has happened.
        if connection.state is ConnectionState.CONNECTING:
            if connection.has_connect_result():
                self._on_connected(connection)
        elif self._can_read(connection):
            self._read(connection)
        if self._deadlines.has_passed(connection):
            self._on_timeout(connection)

    def _can_read(self, connection: Connection) -> bool:
        if connection.state is ConnectionState.BUSY:
            return not connection.exchange.paused
        return connection.state is ConnectionState.PROBING

    def _on_timeout(self, connection: Connection) -> None:
        if connection.state is ConnectionState.CONNECTING:
            self._fail(connection.exchange, "connect_timeout", "no connection")
        elif connection.state is ConnectionState.PROBING:
            self._on_probe_failed(connection)
        elif connection.state is ConnectionState.BUSY:
            attempt = connection.exchange
            self._fail(attempt, self._timeout_code(connection, attempt), "timeout")
        else:
            self._close(connection)

    def _timeout_code(self, connection: Connection, attempt: Attempt) -> str:
        if connection.has_unsent:
            return "progress_timeout"
        if attempt.reader.head is None:
            return "first_byte_timeout"
        if attempt.stream is not None and not attempt.first_token_received:
            return "first_token_timeout"
        return "progress_timeout"

    # Outcomes

    def _fail(self, attempt: Attempt, code: str, message: str) -> None:
        request = attempt.request
        self._attempts.pop(request.request_id, None)
        connection, attempt.connection = attempt.connection, None
        if connection is not None:
            self._close(connection)
        if code in _POOL_CLEARING_CODES:
            self.drop_idle(request.address)
        event = WRONG_ANSWER if code == "wrong_answer" else TARGET_ATTEMPT_FAILED
        log_event(
            event, request_id=request.request_id, address=request.address, code=code
        )
        head = attempt.reader.head
        failure = TargetFailure(
            code,
            attempt.bytes_written,
            message,
            head.status if head is not None else None,
            bytes(attempt.refusal_body),
            connection.opened_ms if connection is not None else None,
        )
        self._fire_for_attempt(attempt, target_failed, failure)

    def _refuse(self, request: TargetRequest, code: str, message: str) -> None:
        failure = TargetFailure(code, False, message)
        self.fire(target_failed(request.request_id, failure), request.channel)

    def _fire_for_attempt(self, attempt: Attempt, event: type, *args) -> None:
        request = attempt.request
        self.fire(event(request.request_id, *args), request.channel)

    # Poller events

    @handler("_write")
    def _on_writable(self, sock):
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.state is ConnectionState.CONNECTING:
            self._on_connected(connection)
        elif connection.state is ConnectionState.BUSY:
            self._write(connection)

    @handler("_read")
    def _on_readable(self, sock):
        connection = self._connections.get(sock)
        if connection is None or connection.state is ConnectionState.CONNECTING:
            return
        if connection.state is ConnectionState.BUSY and connection.exchange.paused:
            return
        self._read(connection)

    @handler("_disconnect")
    def _on_disconnected(self, sock):
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.state is ConnectionState.CONNECTING:
            self._fail(connection.exchange, "connect_failed", connection.error_name())
        elif connection.state is ConnectionState.BUSY and connection.exchange.paused:
            # The poller dropped the socket; `resume` reads the remaining data.
            return
        else:
            self._read(connection)

    @handler("target_finished", "target_failed", channel=CANCEL_CHANNEL)
    def _on_cancel_ended(self, request_id, outcome):
        if isinstance(outcome, TargetFailure):
            log_event(CANCEL_FAILED, request_id=request_id, code=outcome.code)
        for attempt in self._cancels.finish_cancel(request_id):
            if self._attempts.get(attempt.request.request_id) is attempt:
                self._acquire_connection(attempt)

    @handler("stopped", channel="*")
    def _on_stopped(self, *_):
        self.close()
