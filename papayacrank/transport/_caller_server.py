"""TCP server for the connections of callers, with bounded send buffers."""

import struct
from collections.abc import Callable
from socket import MSG_PEEK, SHUT_WR, SO_LINGER, SOL_SOCKET

from circuits import Event, handler
from circuits.net.events import connect, disconnect, read
from circuits.net.sockets import TCPServer

from papayacrank.kernel import Clock, MonotonicClock, log_event

from ._byte_account import BufferKind, ByteAccount, Holding, find_slowest
from ._events import READER_ENDED

READ_BYTES = 65_536
PIECE_BYTES = 65_536
ACCEPTS_PER_WAKEUP = 64
# Total size of the send buffers. Above this limit, the connection whose caller is the
# slowest for the size of its buffer is closed, so that slow readers cannot exhaust the
# memory.
MAX_TOTAL_BUFFERED_BYTES = 256 * 1024 * 1024


class caller_progress(Event):  # noqa: N801 - circuits events are lower case
    """Buffered bytes were sent to a caller: ``caller_progress(sock)``."""


class CallerServer(TCPServer):
    """TCP server that counts the buffered bytes of each connection.

    The circuits base class queues an event and a poller registration for each write.
    This class writes to the socket immediately and registers with the poller only
    if the socket buffer is full.

    Parameters
    ----------
    bind : tuple of (str, int)
        Host and port to listen on.
    max_connections : int
        Maximum number of open connections. Additional connections receive `refusal`
        and are closed.
    refusal : bytes
        Complete HTTP response for a connection above the limit.
    max_total_buffered_bytes : int
        Maximum size of the send buffers of all connections, in bytes.
    channel : str
        circuits channel for the events of this server.
    account : ByteAccount, optional
        Account of the process for buffered bytes.
    clock : Clock, optional
        Clock of the account.
    on_connect, on_read : callable, optional
        Called at once with the arguments of the events `connect` and `read`, which are
        then not fired. New connections are read at once as well. Each event waits for
        the handling of all earlier ones.
    """

    channel = "web"

    def __init__(
        self,
        bind: tuple[str, int],
        max_connections: int,
        refusal: bytes,
        max_total_buffered_bytes: int = MAX_TOTAL_BUFFERED_BYTES,
        channel: str = "web",
        account: ByteAccount | None = None,
        clock: Clock | None = None,
        on_connect: Callable[..., None] | None = None,
        on_read: Callable[..., None] | None = None,
    ):
        super().__init__(bind, channel=channel, bufsize=READ_BYTES)
        self._max_connections = max_connections
        self._refusal = refusal
        self._max_total_buffered_bytes = max_total_buffered_bytes
        self._account = account or ByteAccount()
        self._clock = clock or MonotonicClock()
        self._on_connect = on_connect
        self._on_read_now = on_read
        self._holdings: dict[object, Holding] = {}
        self._total_buffered_bytes = 0
        self._unhandled_reads: set = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._holdings)

    def buffered_bytes(self, sock) -> int:
        """Return the size of the send buffer of a connection, in bytes."""
        holding = self._holdings.get(sock)
        return 0 if holding is None else holding.held

    def is_connected(self, sock) -> bool:
        """Return whether a connection is open."""
        return sock in self._holdings

    def send(self, sock, data: bytes) -> None:
        """Send data, buffering the part that the socket does not accept."""
        if sock not in self._holdings or not data:
            return
        if not self._holdings[sock].held:
            sent = self._send_now(sock, data)
            data = memoryview(data)[sent:]
        if data and sock in self._holdings:
            self._buffer(sock, data)

    def abort(self, sock) -> None:
        """Close a connection immediately, discarding its send buffer."""
        if self.buffered_bytes(sock):
            # Without a reset, the end of the connection would complete a response that
            # has neither a length nor chunks.
            reset_on_close(sock)
        self._close(sock)

    def pause_reading(self, sock) -> None:
        """Stop reading from a connection."""
        if sock in self._holdings and self._poller.isReading(sock):
            self._poller.removeReader(sock)

    def resume_reading(self, sock) -> None:
        """Read from a connection again."""
        if sock in self._holdings and not self._poller.isReading(sock):
            self._poller.addReader(self, sock)

    def end_silent_readers(self) -> None:
        """Close the connections whose callers have stopped reading their responses."""
        now_ms = self._clock.now_ms()
        for sock, holding in list(self._holdings.items()):
            if holding.is_silent(now_ms):
                self._end_reader(sock, "no_progress")

    def end_unless_input(self, sock) -> None:
        """Close a connection once its send buffer is empty, unless input has arrived.

        Input that was read already is handled by a later event of the loop.
        """
        if sock not in self._holdings or sock in self._unhandled_reads:
            return
        if self._has_no_unread_data(sock):
            self.close(sock)

    def half_close(self, sock) -> None:
        """Shut down the sending side of a connection and continue to read."""
        try:
            sock.shutdown(SHUT_WR)
        except OSError:
            self._close(sock)

    def stop_listening(self) -> None:
        """Accept the connections in the listen queue, then close the socket.

        Closing the socket resets connections that are still in the listen queue,
        although their callers may already have sent a request.
        """
        if self._sock is not None:
            while self._accept_one():
                pass
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    def _has_no_unread_data(self, sock) -> bool:
        try:
            return not sock.recv(1, MSG_PEEK)
        except OSError:
            return True

    def _buffer(self, sock, data: bytes) -> None:
        # In pieces, so that the memory of a large response is freed as it is sent.
        self._buffers[sock].extend(
            bytes(data[start : start + PIECE_BYTES])
            for start in range(0, len(data), PIECE_BYTES)
        )
        self._count(sock, len(data))
        if not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)
        self._enforce_limits()

    def _count(self, sock, added: int) -> None:
        """Add bytes to the account, or subtract those that were sent."""
        holding = self._holdings[sock]
        self._total_buffered_bytes += added
        self._account.set(
            holding, holding.held + added, self._clock.now_ms(), max(0, -added)
        )

    def _enforce_limits(self) -> None:
        now_ms = self._clock.now_ms()
        while self._total_buffered_bytes > self._max_total_buffered_bytes:
            find_slowest(self._holdings.values(), now_ms).end()
        self._account.enforce(now_ms)

    def _end_reader(self, sock, reason: str) -> None:
        """End the response to a caller that reads too slowly."""
        log_event(
            READER_ENDED,
            port=self.channel,
            reason=reason,
            bytes=self.buffered_bytes(sock),
            all_bytes=self._account.total,
        )
        self.abort(sock)

    def _send_now(self, sock, data: bytes) -> int:
        try:
            return sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self._close(sock)
            return 0

    def _read(self, sock) -> None:
        # The circuits base class keeps polling a connection at end of file while its
        # send buffer is not empty, a busy loop until the caller resets the connection.
        if sock not in self._holdings:
            return
        try:
            data = sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if data and self._on_read_now is not None:
            self._on_read_now(sock, data)
        elif data:
            self._unhandled_reads.add(sock)
            self.fire(read(sock, data))
        else:
            self._close(sock)

    def _close(self, sock) -> None:
        holding = self._holdings.pop(sock, None)
        if holding is None:
            return
        self._total_buffered_bytes -= holding.held
        self._account.release(holding)
        self._unhandled_reads.discard(sock)
        self._poller.discard(sock)
        self._buffers.pop(sock, None)
        self._clients.remove(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
        sock.close()
        self.fire(disconnect(sock))

    @handler("stopped", channel="*", override=True)
    def _on_stopped(self, component):
        self.stop_listening()
        for sock in list(self._holdings):
            self._close(sock)

    @handler("read", priority=-1)
    def _on_read_handled(self, sock, data):
        self._unhandled_reads.discard(sock)

    @handler("_read", priority=1, override=True)
    def _on_read(self, sock):
        if sock is self._sock:
            for _ in range(ACCEPTS_PER_WAKEUP):
                if not self._accept_one():
                    return
            return
        self._read(sock)

    @handler("_write", priority=1, override=True)
    def _on_write(self, sock):
        buffer = self._buffers[sock]
        while buffer and sock in self._holdings:
            data = buffer.popleft()
            sent = self._send_now(sock, data)
            if sock not in self._holdings:
                return
            if sent:
                self._count(sock, -sent)
            if sent < len(data):
                buffer.appendleft(data[sent:])
                break
        if not buffer:
            self._on_all_sent(sock)
        self.fire(caller_progress(sock))

    def _on_all_sent(self, sock) -> None:
        if sock in self._closeq:
            self._close(sock)
        elif self._poller.isWriting(sock):
            self._poller.removeWriter(sock)

    def _accept_one(self) -> bool:
        try:
            sock, (host, port) = self._sock.accept()
        except OSError:
            return False
        sock.setblocking(False)
        if len(self._holdings) >= self._max_connections:
            self._refuse(sock)
            return True
        self._holdings[sock] = Holding(
            BufferKind.TO_CALLER, lambda: self._end_reader(sock, "memory")
        )
        self._clients.append(sock)
        self._poller.addReader(self, sock)
        if self._on_connect is None:
            self.fire(connect(sock, host, port))
        else:
            self._on_connect(sock, host, port)
            # The request usually follows the handshake without a pause.
            self._read(sock)
        return True

    def _refuse(self, sock) -> None:
        try:
            sock.send(self._refusal)
            sock.shutdown(SHUT_WR)
        except OSError:
            pass
        finally:
            sock.close()


def reset_on_close(sock, value: bool = True) -> None:
    """Set whether closing a socket resets its connection and drops unsent data."""
    try:
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", value, 0))
    except OSError:
        # The caller has closed the connection.
        return
