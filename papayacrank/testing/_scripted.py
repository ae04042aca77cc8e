"""TCP server that sends the bytes a test scripts."""

import socket
import threading
import time


class ScriptedTarget:
    """TCP server that calls a script for each block of received bytes.

    Parameters
    ----------
    script : Callable
        Called with the socket, the received bytes and the number of calls so far on
        all connections, starting at 1.
    """

    def __init__(self, script):
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.connections = 0
        self.requests = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """Address of the server, as ``ip:port``."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            while data := sock.recv(65_536):
                self.requests.append(data)
                self._script(sock, data, len(self.requests))
        except OSError:
            return


def build_endless_script(first: bytes, chunk: bytes, pause_s: float = 0.0):
    """Return a script that sends a chunk repeatedly until the peer closes.

    Parameters
    ----------
    first : bytes
        Sent once, before the chunks.
    pause_s : float
        Pause after each chunk, in seconds.
    """

    def script(sock, data, number):
        sock.sendall(first)
        while True:
            sock.sendall(chunk)
            if pause_s:
                time.sleep(pause_s)

    return script
