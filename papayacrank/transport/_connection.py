"""One non-blocking connection to a target."""

import errno
import socket
from collections import OrderedDict, deque
from enum import Enum

RECEIVE_BYTES = 65_536
_IN_PROGRESS = (0, errno.EINPROGRESS, errno.EWOULDBLOCK)


class ConnectionState(Enum):
    """What the connection is used for."""

    CONNECTING = "connecting"
    BUSY = "busy"
    PROBING = "probing"
    ENDING = "ending"
    IDLE = "idle"
    CLOSED = "closed"


class Connection:
    """Socket with the bytes that are still to be written.

    Parameters
    ----------
    number : int
        Number of the connection, unique in the process.
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
        self.idle_since_ms = 0
        self.deadline_ms: int | None = None
        self.timer_at_ms: int | None = None
        self._unsent = memoryview(b"")

    @property
    def has_unsent(self) -> bool:
        """Whether bytes are still to be written."""
        return len(self._unsent) > 0

    def connect(self) -> None:
        """Start to connect.

        Raises
        ------
        OSError
            If the connection is refused at once or no socket is available.
        """
        host, port = self.address.rsplit(":", 1)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = self.sock.connect_ex((host, int(port)))
        if code not in _IN_PROGRESS:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))

    def check_connected(self) -> None:
        """Check the outcome of `connect`.

        Raises
        ------
        OSError
            If the connection was not established.
        """
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        # A connection to a free local port can meet itself (TCP simultaneous open).
        if self.sock.getsockname() == self.sock.getpeername():
            raise OSError(errno.ECONNREFUSED, "connected to itself")

    def error_name(self) -> str:
        """Return the name of the error for which the connection failed."""
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return errno.errorcode.get(code or errno.ECONNREFUSED, "connect failed")

    def has_no_unread_data(self) -> bool:
        """Return whether nothing was received on an idle connection.

        Anything received, such as a late refusal or the end of the connection, would
        be taken for the answer to the next request.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def queue(self, data: bytes) -> None:
        """Set the bytes to write."""
        self._unsent = memoryview(data)

    def drop_unsent(self) -> None:
        """Forget the bytes that were not written."""
        self._unsent = memoryview(b"")

    def send(self) -> int:
        """Write what the operating system takes and return the number of bytes.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        sent = 0
        while len(self._unsent):
            try:
                count = self.sock.send(self._unsent)
            except (BlockingIOError, InterruptedError):
                break
            sent += count
            self._unsent = self._unsent[count:]
        return sent

    def receive(self) -> bytes | None:
        """Return received bytes, empty at the end, None if there are none now.

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
    """Idle connections by address, the most recently used first.

    Parameters
    ----------
    max_per_address, max_total : int
        Connections kept for each address, and for all together.
    """

    def __init__(self, max_per_address: int, max_total: int):
        self._max_per_address = max_per_address
        self._max_total = max_total
        self._idle: dict[str, deque[Connection]] = {}
        self._by_age: OrderedDict[Connection, None] = OrderedDict()

    def put(self, connection: Connection) -> Connection | None:
        """Keep a connection; return the one that no longer fits, if any."""
        idle = self._idle.setdefault(connection.address, deque())
        idle.append(connection)
        self._by_age[connection] = None
        surplus = None
        if len(idle) > self._max_per_address:
            surplus = idle[0]
        elif len(self._by_age) > self._max_total:
            surplus = next(iter(self._by_age))
        if surplus is not None:
            self.remove(surplus)
        return surplus

    def take(self, address: str) -> Connection | None:
        """Take the most recently used connection out, if there is one."""
        idle = self._idle.get(address)
        if not idle:
            return None
        connection = idle[-1]
        self.remove(connection)
        return connection

    def remove(self, connection: Connection) -> None:
        """Take a given connection out; unknown ones are ignored."""
        if connection not in self._by_age:
            return
        del self._by_age[connection]
        idle = self._idle[connection.address]
        idle.remove(connection)
        if not idle:
            del self._idle[connection.address]

    def take_all(self, address: str) -> list[Connection]:
        """Take all connections to an address out."""
        idle = list(self._idle.get(address, ()))
        for connection in idle:
            self.remove(connection)
        return idle

    def count(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return len(self._idle.get(address, ()))
