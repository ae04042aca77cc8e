"""Small HTTP client for the platform's list and for orders."""

import errno
import ipaddress
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import h11
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller

from papayacrank.kernel import Clock
from papayacrank.transport import Timers, encode_request

from ._effects import HttpCall, HttpResult

MAX_OPEN_CALLS = 64
READ_BYTES = 65_536
MAX_HEAD_BYTES = 32_768
MAX_INTERIM_HEADS = 8
LEASE_ENDED = "the lease ended before the call was sent"


class http_finished(Event):  # noqa: N801 - circuits events are lower case
    """A call ended: ``http_finished(result)``."""


@dataclass(slots=True)
class _Call:
    key: str
    sock: socket.socket
    unsent: bytes
    protocol: h11.Connection
    max_bytes: int
    needs_lease: bool
    received: int = 0
    connected: bool = False
    interim_heads: int = 0
    response: h11.Response | None = None
    body: bytearray = field(default_factory=bytearray)


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
    has_lease : Callable, optional
        Whether this process leads at this moment; checked right before the bytes of a
        call that needs it are sent.
    """

    channel = "http-caller"

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        has_lease: Callable[[], bool] = lambda: True,
    ):
        super().__init__()
        self._has_lease = has_lease
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
        protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        request = _encode(protocol, call, parts)
        state = _Call(
            call.key, sock, request, protocol, call.max_bytes, call.needs_lease
        )
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
            if call.needs_lease and not self._has_lease():
                self._fail(call, LEASE_ENDED)
                return
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
        try:
            call.protocol.receive_data(data)
            while (event := call.protocol.next_event()) is not h11.NEED_DATA:
                if self._take_event(call, event):
                    return
        except h11.RemoteProtocolError as error:
            self._fail(call, f"invalid response: {error}")

    def _take_event(self, call: _Call, event) -> bool:
        """Handle a piece of the answer; return whether the call has ended."""
        if isinstance(event, h11.InformationalResponse):
            call.interim_heads += 1
            if call.interim_heads > MAX_INTERIM_HEADS:
                self._fail(call, "too many interim heads")
                return True
        elif isinstance(event, h11.Response):
            call.response = event
        elif isinstance(event, h11.Data):
            call.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            self._succeed(call)
            return True
        else:
            self._fail(call, "connection closed")
            return True
        return False

    def _succeed(self, call: _Call) -> None:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in call.response.headers
        )
        self._close(call)
        status = call.response.status_code
        self._report(HttpResult(call.key, status, bytes(call.body), headers=headers))

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


def _encode(protocol: h11.Connection, call: HttpCall, parts) -> bytes:
    path = parts.path or "/"
    if parts.query:
        path += f"?{parts.query}"
    headers = [
        ("Host", parts.netloc),
        ("Connection", "close"),
        ("Accept", "application/json"),
        *call.headers,
    ]
    if call.body:
        headers += [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(call.body))),
        ]
    return encode_request(protocol, call.method, path, headers, call.body)
