"""Server that sends prepared bytes on each connection."""

import socket
import threading
import time

LOOPBACK = "127.0.0.1"
READ_TIMEOUT_S = 5.0


class ScriptedServer:
    """Server that runs the n-th script on the n-th connection.

    Parameters
    ----------
    *scripts : list
        Steps of one connection: ``bytes`` are sent, a number is a delay in seconds,
        ``"read"`` waits for the end of a request head, and ``"hold"`` keeps the
        connection open until the server is closed.
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self._sock = socket.create_server((LOOPBACK, 0))
        self._closing = threading.Event()
        self._open = []
        self.received = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def address(self):
        """Address of the server as ``ip:port``."""
        return f"{LOOPBACK}:{self._sock.getsockname()[1]}"

    def close(self):
        """Close the server and all its connections."""
        self._closing.set()
        self._sock.close()
        for sock in self._open:
            sock.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def _run(self):
        for script in self._scripts:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.settimeout(READ_TIMEOUT_S)
            self._open.append(sock)
            threading.Thread(
                target=self._play, args=(sock, script), daemon=True
            ).start()

    def _play(self, sock, script):
        try:
            for step in script:
                self._step(sock, step)
            sock.close()
        except OSError:
            return

    def _step(self, sock, step):
        if step == "read":
            data = b""
            while b"\r\n\r\n" not in data:
                piece = sock.recv(65_536)
                if not piece:
                    break
                data += piece
            self.received.append(data)
        elif step == "hold":
            self._closing.wait()
        elif isinstance(step, bytes):
            sock.sendall(step)
        else:
            time.sleep(step)
