"""Small HTTP client for the platform's list and for orders."""

import errno
import ipaddress
import os
import socket
from dataclasses import dataclass
from urllib.parse import urlsplit

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller
from circuits.web.parsers import HttpParser

from papayacrank.kernel import Clock
from papayacrank.transport import Timers

from ._effects import HttpCall, HttpResult

MAX_OPEN_CALLS = 64
READ_BYTES = 65_536
RESPONSE_PARSER = 1


class http_finished(Event):  # noqa: N801 - circuits events are lower case
    """A call ended: ``http_finished(result)``."""


@dataclass(slots=True)
class _Call:
    key: str
    sock: socket.socket
    unsent: bytes
    parser: HttpParser
    max_bytes: int
    received: int = 0
    connected: bool = False


class HttpCaller(BaseComponent):
    """Component that makes HTTP calls, each on a connection of its own.

    `circuits.web.client` waits for the connection in the event loop and matches
    answers by order, so it is not used.

    Parameters
    ----------
    clock : Clock
        Clock of the timers.
    timers : Timers
        Ends calls that take too long.
    """

    channel = "http-caller"

    def __init__(self, clock: Clock, timers: Timers):
        super().__init__()
        self._clock = clock
        self._timers = timers
        self._poller = None
        self._calls: dict[int, _Call] = {}

    def submit(self, call: HttpCall) -> None:
        """Make a call; `http_finished` reports how it ended."""
        if len(self._calls) >= MAX_OPEN_CALLS:
            self._report(HttpResult(call.key, 0, error="too many calls"))
            return
        parts = urlsplit(call.url)
        if parts.scheme != "http" or not _is_address(parts.hostname):
            error = "the URL must be http://<IP address>[:<port>]/..."
            self._report(HttpResult(call.key, 0, error=error))
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            status = sock.connect_ex((parts.hostname, parts.port or 80))
        except OSError as error:
            sock.close()
            self._report(HttpResult(call.key, 0, error=str(error)))
            return
        if status not in (0, errno.EINPROGRESS):
            sock.close()
            self._report(HttpResult(call.key, 0, error=os.strerror(status)))
            return
        request = _encode(call, parts)
        parser = HttpParser(RESPONSE_PARSER)
        state = _Call(call.key, sock, request, parser, call.max_bytes)
        self._calls[sock.fileno()] = state
        self._find_poller().addWriter(self, sock.fileno())
        deadline_ms = self._clock.now_ms() + call.timeout_ms
        self._timers.set(
            _timer(state), deadline_ms, lambda: self._fail(state, "timeout")
        )

    @handler("_write")
    def _on_write(self, fd):
        call = self._calls.get(fd)
        if call is None:
            return
        if not call.connected:
            error = call.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._fail(call, os.strerror(error))
                return
            call.connected = True
        self._send(call)

    @handler("_read")
    def _on_read(self, fd):
        call = self._calls.get(fd)
        if call is None:
            return
        try:
            data = call.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(call, str(error))
            return
        self._parse(call, data)

    @handler("_error", "_disconnect")
    def _on_disconnect(self, fd, *_):
        call = self._calls.get(fd)
        if call is not None:
            self._on_read(fd)
        if call is not None and fd in self._calls:
            self._fail(call, "connection closed")

    def _send(self, call: _Call) -> None:
        try:
            sent = call.sock.send(call.unsent)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(call, str(error))
            return
        call.unsent = call.unsent[sent:]
        if not call.unsent:
            poller = self._find_poller()
            poller.removeWriter(call.sock.fileno())
            poller.addReader(self, call.sock.fileno())

    def _parse(self, call: _Call, data: bytes) -> None:
        call.received += len(data)
        if call.received > call.max_bytes:
            self._fail(call, "response too large")
            return
        if data:
            call.parser.execute(data, len(data))
        if call.parser.errno is not None:
            self._fail(call, "invalid response")
        elif call.parser.is_message_complete():
            self._succeed(call)
        elif not data:
            self._end_by_close(call)

    def _end_by_close(self, call: _Call) -> None:
        """Accept a body that ends with the connection, if it has no other length."""
        headers = call.parser.get_headers()
        framed = "Content-Length" in headers or call.parser.is_chunked()
        if call.parser.is_headers_complete() and not framed:
            self._succeed(call)
        else:
            self._fail(call, "connection closed")

    def _succeed(self, call: _Call) -> None:
        body = call.parser.recv_body()
        status = call.parser.get_status_code()
        headers = tuple((n.lower(), v) for n, v in call.parser.get_headers().items())
        self._close(call)
        self._report(HttpResult(call.key, status, bytes(body), headers=headers))

    def _fail(self, call: _Call, error: str) -> None:
        if self._calls.get(call.sock.fileno()) is not call:
            return
        self._close(call)
        self._report(HttpResult(call.key, 0, error=error))

    def _close(self, call: _Call) -> None:
        fd = call.sock.fileno()
        self._timers.cancel(_timer(call))
        self._find_poller().discard(fd)
        self._calls.pop(fd, None)
        call.sock.close()

    def _report(self, result: HttpResult) -> None:
        self.fire(http_finished(result), self.channel)

    def _find_poller(self) -> BasePoller:
        if self._poller is None:
            components = self.root.components
            self._poller = next(c for c in components if isinstance(c, BasePoller))
        return self._poller


def _is_address(hostname: str | None) -> bool:
    """Return whether no name needs to be resolved, which would block the loop."""
    try:
        ipaddress.IPv4Address(hostname or "")
    except ValueError:
        return False
    return True


def _timer(call: _Call) -> str:
    return f"http-caller {call.sock.fileno()}"


def _encode(call: HttpCall, parts) -> bytes:
    path = parts.path or "/"
    if parts.query:
        path += f"?{parts.query}"
    lines = [
        f"{call.method} {path} HTTP/1.1",
        f"Host: {parts.netloc}",
        "Connection: close",
        "Accept: application/json",
    ]
    lines += [f"{name}: {value}" for name, value in call.headers]
    if call.body:
        lines += ["Content-Type: application/json", f"Content-Length: {len(call.body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + call.body
