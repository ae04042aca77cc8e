"""HTTP client for the calls of the leader to targets and the platform."""

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
MAX_INFORMATIONAL_RESPONSES = 8
LEASE_EXPIRED = "the leader lease expired before the call was sent"


class http_finished(Event):  # noqa: N801 - circuits events are lower case
    """A call has ended: ``http_finished(result)``."""


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
    informational_responses: int = 0
    response: h11.Response | None = None
    body: bytearray = field(default_factory=bytearray)


class HttpCaller(BaseComponent):
    """Component that makes HTTP calls, each on a separate connection.

    `circuits.web.client` is not used, because it blocks the event loop while it
    connects and matches responses to requests by their order.

    Parameters
    ----------
    clock : Clock
        Clock of the timers.
    timers : Timers
        Enforces the timeouts of calls.
    has_lease : Callable, optional
        Returns whether this process holds the leader lease; checked right before a call
        with `needs_lease` is sent.
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
        """Start a call; an `http_finished` event reports its result in any case."""
        if len(self._calls) >= MAX_OPEN_CALLS:
            self._report(HttpResult(call.key, 0, error="too many open calls"))
            return
        try:
            open_call = _open(call)
        except (OSError, ValueError, h11.LocalProtocolError) as error:
            self._report(HttpResult(call.key, 0, error=str(error)))
            return
        self._calls[open_call.sock.fileno()] = open_call
        self._find_poller().addWriter(self, open_call.sock.fileno())
        deadline_ms = self._clock.now_ms() + call.timeout_ms
        self._timers.set(
            _timer_name(open_call),
            deadline_ms,
            lambda: self._fail(open_call, "timeout"),
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
                self._fail(call, LEASE_EXPIRED)
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
                if self._handle_event(call, event):
                    return
        except h11.RemoteProtocolError as error:
            self._fail(call, f"invalid response: {error}")

    def _handle_event(self, call: _Call, event) -> bool:
        """Handle a part of the response; return whether the call has ended."""
        if isinstance(event, h11.InformationalResponse):
            call.informational_responses += 1
            if call.informational_responses > MAX_INFORMATIONAL_RESPONSES:
                self._fail(call, "too many informational responses")
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
        self._timers.cancel(_timer_name(call))
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


def _open(call: HttpCall) -> _Call:
    """Encode a call and begin to connect.

    Raises
    ------
    ValueError
        If the URL is no address that can be called.
    h11.LocalProtocolError
        If a header or the path cannot be sent.
    OSError
        If there is no socket, or the connection is refused at once.
    """
    parts = urlsplit(call.url)
    if parts.scheme != "http" or not _is_address(parts.hostname):
        raise ValueError("the URL must be http://<IP address>[:<port>]/...")
    address = (parts.hostname, parts.port or 80)
    protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    request = _encode_call(protocol, call, parts)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        status = sock.connect_ex(address)
        if status not in (0, errno.EINPROGRESS):
            raise OSError(status, os.strerror(status))
    except OSError:
        sock.close()
        raise
    return _Call(call.key, sock, request, protocol, call.max_bytes, call.needs_lease)


def _is_address(hostname: str | None) -> bool:
    """Return whether this is an IPv4 address; resolving a name would block."""
    try:
        ipaddress.IPv4Address(hostname or "")
    except ValueError:
        return False
    return True


def _timer_name(call: _Call) -> str:
    return f"http-caller {call.sock.fileno()}"


def _encode_call(protocol: h11.Connection, call: HttpCall, parts) -> bytes:
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
