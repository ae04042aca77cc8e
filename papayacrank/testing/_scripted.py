"""Server whose bytes a test decides."""

import socket
import threading
import time


class ScriptedTarget:
    """Server that answers the requests of its connections by a script.

    Parameters
    ----------
    script : Callable
        Gets the socket, the request bytes and the number of the request.
    """

    def __init__(self, script):
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.connections = 0
        self._numbers = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """Address of the server."""
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
                self._numbers += 1
                self._script(sock, data, self._numbers)
        except OSError:
            return


def endless(first: bytes, piece: bytes, pause_s: float = 0.0):
    """Return a script that sends a piece again and again until its peer closes.

    Parameters
    ----------
    first : bytes
        Sent once, before the pieces.
    pause_s : float
        Pause after each piece, in seconds.
    """

    def script(sock, data, number):
        sock.sendall(first)
        while True:
            sock.sendall(piece)
            if pause_s:
                time.sleep(pause_s)

    return script
