"""TCP relay that injects network faults: resets, stalls and delays."""

import contextlib
import socket
import struct
import threading
import time
from collections import deque
from enum import Enum

LOOPBACK = "127.0.0.1"
RECEIVE_BYTES = 65_536
MAX_BUFFERED_BYTES = 1024 * 1024
MS_PER_SECOND = 1000
POLL_INTERVAL_S = 0.005
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(Enum):
    """Direction of the data; the client is the side that connects."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


BOTH = (Direction.TO_SERVER, Direction.TO_CLIENT)


class _Pipe:
    """Buffered data of one direction of a connection."""

    def __init__(self, source, sink, direction: Direction):
        self.source = source
        self.sink = sink
        self.direction = direction
        self.buffer: deque[tuple[float, bytes]] = deque()
        self.buffered_bytes = 0
        self.source_ended = False
        self.is_shut_down = False
        self.frozen = False

    def read(self, due_s: float) -> None:
        """Read from the source; the data is forwarded at `due_s`."""
        data = self.source.recv(RECEIVE_BYTES)
        self.source_ended = not data
        if data:
            self.buffer.append((due_s, data))
            self.buffered_bytes += len(data)

    def write(self, now_s: float) -> None:
        """Forward the data that is due, and the end of the stream after all data."""
        while self.buffer and self.buffer[0][0] <= now_s:
            due_s, data = self.buffer.popleft()
            try:
                sent = self.sink.send(data)
            except BlockingIOError:
                sent = 0
            self.buffered_bytes -= sent
            if sent < len(data):
                self.buffer.appendleft((due_s, data[sent:]))
                return
        if self.source_ended and not self.buffer and not self.is_shut_down:
            self.is_shut_down = True
            with contextlib.suppress(OSError):
                self.sink.shutdown(socket.SHUT_WR)


class Relay:
    """TCP relay on loopback between clients and one server, run by a thread.

    Parameters
    ----------
    server : str
        Address to connect to, as ``ip:port``.
    port : int
        Port to listen on; 0 lets the system choose.
    """

    def __init__(self, server: str, port: int = 0):
        self._server = server
        self._port = port
        self._lock = threading.Lock()
        self._connections: list[tuple[_Pipe, _Pipe]] = []
        self._frozen: set[Direction] = set()
        self._delay_s = dict.fromkeys(BOTH, 0.0)
        self._listener: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self._closing = False

    @property
    def address(self) -> str:
        """Address that clients connect to."""
        return f"{LOOPBACK}:{self._port}"

    @property
    def connection_count(self) -> int:
        """Number of relayed connections."""
        with self._lock:
            return len(self._connections)

    def start(self) -> "Relay":
        """Listen and start the thread."""
        self._listen()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        return self

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        with self._lock:
            if self._listener is not None:
                self._listener.close()
                self._listener = None
            for pair in self._connections:
                self._close_pair(pair)
            self._connections.clear()

    def restore(self) -> None:
        """Undo `cut`, `freeze`, `freeze_open` and `delay`."""
        with self._lock:
            self._frozen.clear()
            self._delay_s = dict.fromkeys(BOTH, 0.0)
            for pipe in self._pipes():
                pipe.frozen = False
        if self._listener is None:
            self._listen()

    def freeze(self, directions: tuple[Direction, ...] = BOTH) -> None:
        """Stop forwarding on open and new connections, without closing any."""
        with self._lock:
            self._frozen.update(directions)

    def freeze_open(self, directions: tuple[Direction, ...] = BOTH) -> None:
        """Stop forwarding on the open connections; new ones are not affected."""
        with self._lock:
            for pipe in self._pipes():
                pipe.frozen = pipe.frozen or pipe.direction in directions

    def delay(self, ms: float, directions: tuple[Direction, ...] = BOTH) -> None:
        """Delay the data by `ms` milliseconds."""
        with self._lock:
            for direction in directions:
                self._delay_s[direction] = ms / MS_PER_SECOND

    def close(self) -> None:
        """Close all connections and stop the thread."""
        self._closing = True
        if self._thread is not None:
            self._thread.join()
        self.cut()

    def __enter__(self) -> "Relay":
        return self.start()

    def __exit__(self, *_) -> None:
        self.close()

    def _listen(self) -> None:
        listener = socket.create_server((LOOPBACK, self._port), backlog=512)
        listener.setblocking(False)
        self._port = listener.getsockname()[1]
        self._listener = listener

    def _pipes(self) -> list[_Pipe]:
        return [pipe for pair in self._connections for pipe in pair]

    def _run(self) -> None:
        while not self._closing:
            if not self._step():
                time.sleep(POLL_INTERVAL_S)

    def _step(self) -> bool:
        """Accept connections and forward data; return whether any data moved."""
        with self._lock:
            self._accept()
            moved = False
            for pair in list(self._connections):
                try:
                    transferred = [self._transfer(pipe) for pipe in pair]
                    moved = moved or any(transferred)
                except OSError:
                    self._close_pair(pair)
                    self._connections.remove(pair)
                    continue
                if all(pipe.is_shut_down for pipe in pair):
                    self._close_pair(pair, reset=False)
                    self._connections.remove(pair)
            return moved

    def _accept(self) -> None:
        while self._listener is not None:
            try:
                client, _ = self._listener.accept()
            except BlockingIOError:
                return
            host, port = self._server.rsplit(":", 1)
            try:
                server = socket.create_connection((host, int(port)), timeout=1)
            except OSError:
                _close(client, reset=True)
                continue
            for sock in (client, server):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            to_server = _Pipe(client, server, Direction.TO_SERVER)
            to_client = _Pipe(server, client, Direction.TO_CLIENT)
            self._connections.append((to_server, to_client))

    def _transfer(self, pipe: _Pipe) -> bool:
        if pipe.frozen or pipe.direction in self._frozen:
            return False
        now_s = time.monotonic()
        before = (len(pipe.buffer), pipe.buffered_bytes, pipe.is_shut_down)
        if not pipe.source_ended and pipe.buffered_bytes < MAX_BUFFERED_BYTES:
            with contextlib.suppress(BlockingIOError):
                pipe.read(now_s + self._delay_s[pipe.direction])
        pipe.write(now_s)
        return before != (len(pipe.buffer), pipe.buffered_bytes, pipe.is_shut_down)

    @staticmethod
    def _close_pair(pair: tuple[_Pipe, _Pipe], reset: bool = True) -> None:
        _close(pair[0].source, reset)
        _close(pair[0].sink, reset)


def _close(sock: socket.socket, reset: bool) -> None:
    if reset:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
