"""HTTP client for engines and plain services."""

import itertools

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from papayacrank.kernel import Clock, log_event
from papayacrank.transport import Connection, ConnectionState, IdlePool, Timers

from ._answer import take_answer
from ._cancels import CANCEL_CHANNEL, CancelBarrier
from ._deadlines import Deadlines
from ._events import (
    CANCEL_FAILED,
    IDLE_CONNECTION_SILENT,
    TARGET_ATTEMPT_FAILED,
    WRONG_ANSWER,
)
from ._exchange import Attempt, Probe, encode_probe
from ._notifications import target_failed, target_finished
from ._request import TargetClientLimits, TargetFailure, TargetRequest
from ._response import AnswerReader, MalformedAnswerError
from ._stream import StreamError

# The last chunk of a stream's transfer encoding usually arrives with its end.
STREAM_END_TIMEOUT_MS = 500
# After one of these, other open connections to the address may be silent as well.
_SUSPECT_CODES = frozenset(
    {"connect_timeout", "first_byte_timeout", "first_token_timeout", "progress_timeout"}
)


class TargetClient(BaseComponent):
    """Component that owns the connections to all targets.

    Each connection carries one request at a time and is closed unless its answer
    was read completely, so a late answer has no way to another request. Events of an
    attempt are fired on the channel named in its request.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    limits : TargetClientLimits, optional
        Bounds.
    """

    channel = "targets"

    def __init__(
        self, clock: Clock, timers: Timers, limits: TargetClientLimits | None = None
    ):
        super().__init__()
        self._clock = clock
        self._deadlines = Deadlines(clock, timers, self._on_due)
        self._limits = limits or TargetClientLimits()
        self._poller: BasePoller | None = None
        self._attempts: dict[str, Attempt] = {}
        self._connections: dict[object, Connection] = {}
        self._cancels = CancelBarrier()
        self._pool = IdlePool(self._limits.max_idle_per_target, self._limits.max_idle)
        self._numbers = itertools.count(1)

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

        Every attempt ends with `target_finished` or `target_failed`, unless it is
        cancelled.

        Parameters
        ----------
        request : TargetRequest
            What to send.

        Raises
        ------
        ValueError
            If an attempt with the same id is in progress.
        """
        if request.request_id in self._attempts:
            raise ValueError(f"attempt {request.request_id!r} is in progress")
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
        if not self._cancels.hold(attempt):
            self._find_connection(attempt)

    def pause(self, request_id: str) -> None:
        """Stop reading the answer; unknown ids are ignored.

        While paused, no timeout applies. At most the bytes of one read are still
        delivered.
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
        """Go on reading the answer; unknown ids are ignored."""
        attempt = self._attempts.get(request_id)
        if attempt is None or not attempt.paused:
            return
        attempt.paused = False
        connection = attempt.connection
        if connection is not None and connection.state is ConnectionState.BUSY:
            self._poller.addReader(self, connection.sock)
            self._deadlines.set(connection, attempt.request.timeouts.progress_ms)

    def cancel(self, request_id: str) -> None:
        """Abandon an attempt; unknown ids are ignored.

        The connection is closed, and the target is told if the request has a
        `cancel_path` and any byte of it was written. Events that were fired before
        may still arrive, but none is fired after.
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

    def _find_connection(self, attempt: Attempt) -> None:
        """Reuse a connection if that is safe, else open one."""
        request = attempt.request
        while request.idempotent and not attempt.restarted:
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
        connection = Connection(next(self._numbers), attempt.request.address)
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
        self._poller.removeWriter(connection.sock)
        self._send(connection, connection.exchange)

    def _close(self, connection: Connection) -> None:
        self._deadlines.forget(connection)
        if connection.state is ConnectionState.IDLE:
            self._pool.remove(connection)
        if connection.sock is not None:
            self._connections.pop(connection.sock, None)
            if self._poller is not None:
                self._poller.discard(connection.sock)
        connection.exchange = None
        connection.close()

    def _keep(self, connection: Connection) -> None:
        """Keep a connection whose answer was read completely."""
        connection.exchange = None
        connection.state = ConnectionState.IDLE
        connection.reused = True
        connection.idle_since_ms = self._clock.now_ms()
        if not self._poller.isReading(connection.sock):
            self._poller.addReader(self, connection.sock)
        self._deadlines.set(connection, self._limits.idle_ms)
        surplus = self._pool.put(connection)
        if surplus is not None:
            self._close(surplus)

    # Writing

    def _send(self, connection: Connection, attempt: Attempt) -> None:
        connection.state = ConnectionState.BUSY
        connection.exchange = attempt
        attempt.connection = connection
        connection.queue(attempt.wire)
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
        """Look for an early answer, for example a refusal, before failing."""
        connection.drop_unsent()
        connection.broken = True
        attempt = connection.exchange
        self._read(connection)
        if attempt.connection is connection and not attempt.answered:
            self._lose(connection, "write_failed", str(error))

    def _send_probe(self, connection: Connection, attempt: Attempt) -> None:
        connection.state = ConnectionState.PROBING
        connection.exchange = Probe(attempt, AnswerReader("GET"))
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
        """Open a new connection; nothing of the request was written."""
        attempt = connection.exchange.attempt
        log_event(IDLE_CONNECTION_SILENT, address=connection.address)
        self._close(connection)
        self.drop_idle(connection.address)
        self._open(attempt)

    def _send_cancel(self, request: TargetRequest) -> None:
        cancel_id = f"cancel-{next(self._numbers)}-{request.request_id}"
        self.submit(self._cancels.begin(cancel_id, request))

    # Reading

    def _read(self, connection: Connection) -> None:
        try:
            data = connection.receive()
        except OSError as error:
            self._on_end(connection, str(error))
            return
        if data is None:
            return
        if not data:
            self._on_end(connection, "the target closed the connection")
        elif connection.state is ConnectionState.BUSY:
            self._on_answer(connection, data)
        elif connection.state is ConnectionState.PROBING:
            self._on_probe_answer(connection, data)
        elif connection.state is ConnectionState.ENDING:
            self._on_stream_end(connection, data)
        else:
            self._close(connection)

    def _on_end(self, connection: Connection, message: str) -> None:
        if connection.state is ConnectionState.BUSY:
            attempt = connection.exchange
            code = "truncated_answer" if attempt.answered else "connection_lost"
            self._lose(connection, code, message)
        elif connection.state is ConnectionState.PROBING:
            self._on_probe_failed(connection)
        else:
            self._close(connection)

    def _lose(self, connection: Connection, code: str, message: str) -> None:
        """Fail the attempt, or start it again if only a kept connection was stale."""
        attempt = connection.exchange
        stale = connection.reused and not attempt.answered
        if stale and attempt.request.idempotent and not attempt.restarted:
            attempt.restarted = True
            self._close(connection)
            self._open(attempt)
            return
        self._fail(attempt, code, message)

    def _on_answer(self, connection: Connection, data: bytes) -> None:
        attempt = connection.exchange
        try:
            events = take_answer(attempt, data)
        except MalformedAnswerError as error:
            self._fail(attempt, "malformed_answer", str(error))
            return
        except StreamError as error:
            self._fail(attempt, error.code, str(error))
            return
        for event in events:
            self.fire(event, attempt.request.channel)
        self._after_answer(connection, attempt)

    def _after_answer(self, connection: Connection, attempt: Attempt) -> None:
        if attempt.reader.complete:
            self._on_complete(connection, attempt)
        elif attempt.stream is not None and attempt.stream.ended:
            self._finish(attempt)
            connection.state = ConnectionState.ENDING
            connection.exchange = attempt
            if not self._poller.isReading(connection.sock):
                self._poller.addReader(self, connection.sock)
            self._deadlines.set(connection, STREAM_END_TIMEOUT_MS)
        elif attempt.advanced and not attempt.paused and not connection.has_unsent:
            self._deadlines.set(connection, self._wait_ms(attempt))

    def _wait_ms(self, attempt: Attempt) -> int:
        timeouts = attempt.request.timeouts
        if attempt.reader.head is None:
            return timeouts.first_byte_ms
        if attempt.stream is None or attempt.refused or attempt.got_token:
            return timeouts.progress_ms
        return timeouts.first_token_ms

    def _on_complete(self, connection: Connection, attempt: Attempt) -> None:
        if attempt.refused:
            self._fail(attempt, "target_status", "the target refused the request")
            return
        if attempt.stream is not None and not attempt.stream.ended:
            self._fail(attempt, "truncated_answer", "the stream ended too early")
            return
        self._finish(attempt)
        self._keep_or_close(connection, attempt)

    def _finish(self, attempt: Attempt) -> None:
        self._attempts.pop(attempt.request.request_id, None)
        attempt.connection = None
        usage = attempt.stream.usage if attempt.stream is not None else None
        self._notify(attempt, target_finished, usage)

    def _keep_or_close(self, connection: Connection, attempt: Attempt) -> None:
        reader = attempt.reader
        usable = reader.keep_alive and not reader.surplus
        if usable and not connection.has_unsent and not connection.broken:
            self._keep(connection)
        else:
            self._close(connection)

    def _on_stream_end(self, connection: Connection, data: bytes) -> None:
        """Read the end of the transfer encoding after the end of a stream."""
        attempt = connection.exchange
        try:
            body = attempt.reader.feed(data)
        except MalformedAnswerError:
            body = data
        if body:
            self._close(connection)
        elif attempt.reader.complete:
            self._keep_or_close(connection, attempt)

    def _on_probe_answer(self, connection: Connection, data: bytes) -> None:
        probe = connection.exchange
        try:
            probe.reader.feed(data)
        except MalformedAnswerError:
            self._on_probe_failed(connection)
            return
        reader = probe.reader
        if not reader.complete:
            return
        if not reader.keep_alive or reader.surplus:
            self._on_probe_failed(connection)
            return
        self._send(connection, probe.attempt)

    # Timeouts

    def _on_due(self, connection: Connection) -> None:
        if self._may_read(connection):
            # After a pause of this process, the bytes may already be here.
            self._read(connection)
        if self._deadlines.has_passed(connection):
            self._on_timeout(connection)

    def _may_read(self, connection: Connection) -> bool:
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
        if attempt.stream is not None and not attempt.got_token:
            return "first_token_timeout"
        return "progress_timeout"

    # Outcomes

    def _fail(self, attempt: Attempt, code: str, message: str) -> None:
        request = attempt.request
        self._attempts.pop(request.request_id, None)
        connection, attempt.connection = attempt.connection, None
        if connection is not None:
            self._close(connection)
        if code in _SUSPECT_CODES:
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
        )
        self._notify(attempt, target_failed, failure)

    def _refuse(self, request: TargetRequest, code: str, message: str) -> None:
        failure = TargetFailure(code, False, message)
        self.fire(target_failed(request.request_id, failure), request.channel)

    def _notify(self, attempt: Attempt, event: type, *args) -> None:
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
            # The poller dropped the socket; `resume` reads what is left.
            return
        else:
            self._read(connection)

    @handler("target_finished", "target_failed", channel=CANCEL_CHANNEL)
    def _on_cancel_ended(self, request_id, outcome):
        if isinstance(outcome, TargetFailure):
            log_event(CANCEL_FAILED, request_id=request_id, code=outcome.code)
        for attempt in self._cancels.end(request_id):
            if self._attempts.get(attempt.request.request_id) is attempt:
                self._find_connection(attempt)

    @handler("stopped", channel="*")
    def _on_stopped(self, *_):
        self.close()
