"""Non-blocking connections to targets and a pool of idle ones."""

import errno
import select
import socket
from collections import OrderedDict, deque
from enum import Enum

RECEIVE_BYTES = 65_536
_IN_PROGRESS = (0, errno.EINPROGRESS, errno.EWOULDBLOCK)


class ConnectionState(Enum):
    """Current use of a connection."""

    CONNECTING = "connecting"
    BUSY = "busy"
    PROBING = "probing"
    ENDING = "ending"
    IDLE = "idle"
    CLOSED = "closed"


class Connection:
    """Non-blocking socket to a target with a send buffer.

    Parameters
    ----------
    number : int
        Connection number, unique within the process.
    address : str
        Address of the target as ``ip:port``.
    """

    def __init__(self, number: int, address: str):
        self.number = number
        self.address = address
        self.state = ConnectionState.CONNECTING
        self.sock: socket.socket | None = None
        self.exchange = None
        self.reused = False
        self.broken = False
        self.returned_ids = False
        self.has_sent = False
        self.opened_ms: int | None = None
        self.idle_since_ms = 0
        self.deadline_ms: int | None = None
        self.timer_at_ms: int | None = None
        self._unsent = memoryview(b"")
        self._queued_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Size of the send buffer, which is kept until all of it was sent."""
        return self._queued_bytes

    @property
    def has_unsent(self) -> bool:
        """Whether the send buffer is not empty."""
        return len(self._unsent) > 0

    def connect(self) -> None:
        """Open the socket and start a non-blocking connect.

        Raises
        ------
        OSError
            If the connection fails immediately or no socket can be created.
        """
        host, port = self.address.rsplit(":", 1)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = self.sock.connect_ex((host, int(port)))
        if code not in _IN_PROGRESS:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))

    def has_connect_result(self) -> bool:
        """Return whether `connect` has succeeded or failed."""
        poller = select.poll()
        poller.register(self.sock, select.POLLOUT)
        return bool(poller.poll(0))

    def check_connected(self) -> None:
        """Check the result of `connect` once it is known.

        Raises
        ------
        OSError
            If the connection was not established.
        """
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        # If nothing listens on a local ephemeral port, the kernel may choose the same
        # port as source and connect the socket to itself (TCP simultaneous open).
        if self.sock.getsockname() == self.sock.getpeername():
            raise OSError(errno.ECONNREFUSED, "connected to itself")

    def error_name(self) -> str:
        """Return the errno name of the failure of the connection."""
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return errno.errorcode.get(code or errno.ECONNREFUSED, "connect failed")

    def has_no_unread_data(self) -> bool:
        """Return whether an idle connection is open and has received no data.

        Unsolicited data, such as a late refusal, or the end of the connection would
        otherwise be read as the response to the next request.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def queue(self, data: bytes) -> None:
        """Replace the send buffer with `data`, of which nothing has been sent."""
        self._unsent = memoryview(data)
        self._queued_bytes = len(data)
        self.has_sent = False

    def drop_unsent(self) -> None:
        """Clear the send buffer."""
        self._unsent = memoryview(b"")
        self._queued_bytes = 0

    def send(self) -> int:
        """Write as much as the socket accepts and return the number of bytes sent.

        Raises
        ------
        OSError
            If the connection is broken; `has_sent` tells whether any byte was sent.
        """
        sent = 0
        while len(self._unsent):
            try:
                count = self.sock.send(self._unsent)
            except (BlockingIOError, InterruptedError):
                break
            sent += count
            self.has_sent = True
            self._unsent = self._unsent[count:]
        if not len(self._unsent):
            # An empty view would keep the request in memory.
            self.drop_unsent()
        return sent

    def receive(self) -> bytes | None:
        """Return received bytes, b"" at end of file, None if no data is available.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        try:
            return self.sock.recv(RECEIVE_BYTES)
        except (BlockingIOError, InterruptedError):
            return None

    def close(self) -> None:
        """Close the socket."""
        self.state = ConnectionState.CLOSED
        if self.sock is not None:
            self.sock.close()


class IdlePool:
    """Pool of idle connections that reuses the most recently used one first.

    Parameters
    ----------
    max_per_address, max_total : int
        Maximum number of connections per address and in total.
    """

    def __init__(self, max_per_address: int, max_total: int):
        self._max_per_address = max_per_address
        self._max_total = max_total
        self._idle: dict[str, deque[Connection]] = {}
        self._oldest_first: OrderedDict[Connection, None] = OrderedDict()

    def put(self, connection: Connection) -> Connection | None:
        """Add a connection; return the one evicted to respect the limits, if any."""
        idle = self._idle.setdefault(connection.address, deque())
        idle.append(connection)
        self._oldest_first[connection] = None
        evicted = None
        if len(idle) > self._max_per_address:
            evicted = idle[0]
        elif len(self._oldest_first) > self._max_total:
            evicted = next(iter(self._oldest_first))
        if evicted is not None:
            self.remove(evicted)
        return evicted

    def take(self, address: str) -> Connection | None:
        """Remove and return the most recently used connection, None if none is idle."""
        idle = self._idle.get(address)
        if not idle:
            return None
        connection = idle[-1]
        self.remove(connection)
        return connection

    def remove(self, connection: Connection) -> bool:
        """Remove a connection; return False if the pool does not have it."""
        if connection not in self._oldest_first:
            return False
        del self._oldest_first[connection]
        idle = self._idle[connection.address]
        idle.remove(connection)
        if not idle:
            del self._idle[connection.address]
        return True

    def take_all(self, address: str) -> list[Connection]:
        """Remove and return all connections to an address."""
        idle = list(self._idle.get(address, ()))
        for connection in idle:
            self.remove(connection)
        return idle

    def count(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return len(self._idle.get(address, ()))
