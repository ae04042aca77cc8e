"""TCP relay that can cut, freeze or delay a link."""

import contextlib
import socket
import struct
import threading
import time
from collections import deque
from enum import Enum

LOOPBACK = "127.0.0.1"
RECEIVE_BYTES = 65_536
MAX_HELD_BYTES = 1024 * 1024
MS_PER_SECOND = 1000
POLL_INTERVAL_S = 0.005
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(Enum):
    """Direction of bytes, seen from the side that connects."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


BOTH = (Direction.TO_SERVER, Direction.TO_CLIENT)


class _Pipe:
    """Bytes on their way in one direction of one connection."""

    def __init__(self, source, sink, direction: Direction):
        self.source = source
        self.sink = sink
        self.direction = direction
        self.held: deque[tuple[float, bytes]] = deque()
        self.held_bytes = 0
        self.ended = False
        self.shut = False
        self.frozen = False

    def read(self, due: float) -> None:
        """Take bytes from the source, to be passed on at `due`."""
        data = self.source.recv(RECEIVE_BYTES)
        self.ended = not data
        if data:
            self.held.append((due, data))
            self.held_bytes += len(data)

    def write(self, now: float) -> None:
        """Pass on what is due."""
        while self.held and self.held[0][0] <= now:
            due, data = self.held.popleft()
            try:
                sent = self.sink.send(data)
            except BlockingIOError:
                sent = 0
            self.held_bytes -= sent
            if sent < len(data):
                self.held.appendleft((due, data[sent:]))
                return
        if self.ended and not self.held and not self.shut:
            self.shut = True
            with contextlib.suppress(OSError):
                self.sink.shutdown(socket.SHUT_WR)


class Relay:
    """Relay on loopback between clients and one server, run by a thread.

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
        self._guard = threading.Lock()
        self._pairs: list[tuple[_Pipe, _Pipe]] = []
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
        with self._guard:
            return len(self._pairs)

    def start(self) -> "Relay":
        """Listen and start the thread."""
        self._listen()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        return self

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        with self._guard:
            if self._listener is not None:
                self._listener.close()
                self._listener = None
            for pair in self._pairs:
                self._close_pair(pair)
            self._pairs.clear()

    def restore(self) -> None:
        """Undo `cut`, `freeze` and `delay`."""
        with self._guard:
            self._frozen.clear()
            self._delay_s = dict.fromkeys(BOTH, 0.0)
            for pipe in self._pipes():
                pipe.frozen = False
        if self._listener is None:
            self._listen()

    def freeze(self, directions: tuple[Direction, ...] = BOTH) -> None:
        """Hold all bytes of open and new connections, without closing any."""
        with self._guard:
            self._frozen.update(directions)

    def freeze_open(self, directions: tuple[Direction, ...] = BOTH) -> None:
        """Hold the bytes of the open connections; new ones work."""
        with self._guard:
            for pipe in self._pipes():
                pipe.frozen = pipe.frozen or pipe.direction in directions

    def delay(self, ms: float, directions: tuple[Direction, ...] = BOTH) -> None:
        """Pass bytes on `ms` milliseconds late."""
        with self._guard:
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
        return [pipe for pair in self._pairs for pipe in pair]

    def _run(self) -> None:
        while not self._closing:
            if not self._step():
                time.sleep(POLL_INTERVAL_S)

    def _step(self) -> bool:
        """Move what can be moved; return whether anything was."""
        with self._guard:
            self._accept()
            moved = False
            for pair in list(self._pairs):
                try:
                    moves = [self._move(pipe) for pipe in pair]
                    moved = moved or any(moves)
                except OSError:
                    self._close_pair(pair)
                    self._pairs.remove(pair)
                    continue
                if all(pipe.shut for pipe in pair):
                    self._close_pair(pair, reset=False)
                    self._pairs.remove(pair)
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
            self._pairs.append((to_server, to_client))

    def _move(self, pipe: _Pipe) -> bool:
        if pipe.frozen or pipe.direction in self._frozen:
            return False
        now = time.monotonic()
        before = (len(pipe.held), pipe.held_bytes, pipe.shut)
        if not pipe.ended and pipe.held_bytes < MAX_HELD_BYTES:
            with contextlib.suppress(BlockingIOError):
                pipe.read(now + self._delay_s[pipe.direction])
        pipe.write(now)
        return before != (len(pipe.held), pipe.held_bytes, pipe.shut)

    @staticmethod
    def _close_pair(pair: tuple[_Pipe, _Pipe], reset: bool = True) -> None:
        _close(pair[0].source, reset)
        _close(pair[0].sink, reset)


def _close(sock: socket.socket, reset: bool) -> None:
    if reset:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
