"""In-process entry to the platform and scripted servers with faulty responses."""

import random
import socket
import threading
import time
from dataclasses import dataclass

import h11
from circuits import BaseComponent

from papayacrank.admission import LocalShares
from papayacrank.forwarding import Forwarder, ForwardingSettings
from papayacrank.forwarding._continuity import StreamContinuity
from papayacrank.forwarding._path_monitor import PathMonitor
from papayacrank.forwarding._path_port import PathPort
from papayacrank.forwarding._quota import QuotaEnforcer
from papayacrank.forwarding._relay import Relay
from papayacrank.forwarding._suspects import SuspectTracker
from papayacrank.forwarding._target_port import TargetPort
from papayacrank.forwarding.tests.builders import (
    MODEL,
    build_configuration,
    build_target,
    build_view,
)
from papayacrank.kernel import MonotonicClock
from papayacrank.permits import PermitClient, PermitPort
from papayacrank.platform._caller_protocol import PlatformCallerProtocol
from papayacrank.quarantine import ConnectionCheck, QuarantineClient, QuarantinePort
from papayacrank.releases import ReleasePort
from papayacrank.testing import ScriptedTarget
from papayacrank.transport import (
    ConnectCheck,
    HttpPort,
    Timers,
    install_process_handlers,
)

SEALED = b"Papayacrank-Request-Id: %s\r\nPapayacrank-Server-Seal: s\r\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\n" + SEALED + b"Content-Type: text/event-stream\r\n%s\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
REFUSAL_HEAD = b"HTTP/1.1 503 Busy\r\nPapayacrank-Not-Executed: 1\r\n"
REFUSAL_END = b"Content-Length: 4\r\n\r\nbusy"


def build_refusal(request_id=None):
    """Return a statement that a request was not run, without an id if it is None."""
    named = b"Papayacrank-Request-Id: %s\r\n" % request_id if request_id else b""
    return REFUSAL_HEAD + named + REFUSAL_END


def build_answer(request_id, body=b"whole", length=True):
    """Return a successful response; without a length it ends with its connection."""
    framing = b"Content-Length: %d\r\n" % len(body) if length else b""
    return b"HTTP/1.1 200 OK\r\n" + SEALED % request_id + framing + b"\r\n" + body


def build_stream_head(request_id, framing=CHUNKED):
    """Return the head of an event stream."""
    return STREAM_HEAD % (request_id, framing)


def build_event(number):
    """Return an event."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def chunk(data):
    """Return data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def request_id_of(data):
    """Return the id of a request."""
    lower = data.lower()
    if b"papayacrank-request-id: " not in lower:
        return b""
    start = lower.index(b"papayacrank-request-id: ") + 24
    return data[start:].split(b"\r\n")[0]


def last_event_of(data):
    """Return the number of the last event that a request names, 0 if none."""
    lower = data.lower()
    if b"last-event-id: " not in lower:
        return 0
    return int(lower.split(b"last-event-id: ")[1].split(b"\r\n")[0])


def reset(sock):
    """Reset a connection."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def end(sock):
    """End a connection after the bytes that were sent."""
    sock.shutdown(socket.SHUT_WR)
    time.sleep(0.05)
    sock.close()


@dataclass
class Reply:
    """What a caller received.

    Parameters
    ----------
    status : int
        Status; 0 without a head.
    headers : dict
        Headers with names in lower case.
    body : bytes
        Body received so far.
    complete : bool
        Whether the framing says that the response is complete.
    """

    status: int = 0
    headers: dict | None = None
    body: bytes = b""
    complete: bool = False


class Entry:
    """Entry that forwards to scripted servers, in its own thread.

    Parameters
    ----------
    scripts : tuple of callable
        Script of each server, see `ScriptedTarget`.
    service : str
        Service of the servers: ``"plain"`` or ``"engines"``.
    route_fields : dict
        Fields of each route that differ from the default.
    account : ByteAccount, optional
        Account for the buffers of the entry.
    """

    def __init__(self, *scripts, service="plain", account=None, **route_fields):
        self.servers = [ScriptedTarget(script) for script in scripts]
        clock = MonotonicClock()
        self._root = BaseComponent()
        install_process_handlers(self._root)
        timers = Timers(clock).register(self._root)
        self.port = TargetPort(clock, timers, account).register(self._root)
        permits = PermitPort(PermitClient("i1"), lambda _: True, clock, timers)
        quarantine = QuarantinePort(
            QuarantineClient("i1"), lambda _: True, clock, timers
        )
        address_check = ConnectionCheck(clock, timers)
        protocol, random_state = PlatformCallerProtocol(), random.Random(1)
        paths = PathPort(
            PathMonitor(random_state), ConnectCheck(clock, timers), clock, timers
        )
        self.relay = Relay(
            "i1@1", "east", protocol, self.port, clock, timers, random_state
        )
        self.forwarder = Forwarder(
            ForwardingSettings("i1", "east", retry_slack=1_000.0),
            protocol,
            self.port,
            QuotaEnforcer(LocalShares()),
            permits,
            SuspectTracker(quarantine, address_check, clock),
            StreamContinuity(ReleasePort("i1", lambda _: True, clock, timers)),
            paths,
            self.relay,
            clock,
            timers,
            random_state,
        )
        self._apply(service, route_fields)
        self._http = HttpPort(
            "127.0.0.1:0", "front", self.forwarder, clock, timers, account=account
        ).register(self._root)
        self._thread = threading.Thread(target=self._root.run, daemon=True)
        self._thread.start()
        time.sleep(0.1)

    def _apply(self, service, route_fields):
        from msgspec.structs import replace

        configuration = build_configuration(workspaces=())
        routes = tuple(
            replace(route, **route_fields) if route.max_attempts > 1 else route
            for route in configuration.routes
        )
        self.forwarder.apply_routing(replace(configuration, routes=routes))
        targets = [
            build_target(f"s{n}", service, address=server.address)
            for n, server in enumerate(self.servers)
        ]
        self.forwarder.apply_fleet(build_view(*targets))
        self.forwarder.apply_weights({MODEL: 1})

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._root.stop()
        self._thread.join(5)

    @property
    def address(self):
        """Address for callers, as ``ip:port``."""
        return self._http.address

    def forget_failures(self):
        """Forget the health of all targets."""
        for target in self.forwarder.table.targets:
            self.forwarder.fleet.health.forget(target.name)

    def connect(self):
        """Return a connection of a caller."""
        host, port = self._http.address.split(":")
        return socket.create_connection((host, int(port)), timeout=8)

    def ask(self, path, request_id="r1", deadline_ms=3_000, sock=None, body=b""):
        """Send a request of a caller and return its reply."""
        own = sock is None
        sock = sock or self.connect()
        try:
            return self._ask(sock, path, request_id, deadline_ms, body)
        finally:
            if own:
                sock.close()

    def _ask(self, sock, path, request_id, deadline_ms, body):
        client = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", "h"),
            ("Content-Length", str(len(body))),
            ("Papayacrank-Deadline-Ms", str(deadline_ms)),
        ]
        if request_id:
            headers.append(("Papayacrank-Request-Id", request_id))
        if path.startswith(("/reply", "/appraise")):
            headers.append(("Papayacrank-Model", MODEL))
            headers.append(("Papayacrank-Token-Count", "10,10"))
        head = h11.Request(method="POST", target=path, headers=headers)
        message = client.send(head)
        if body:
            message += client.send(h11.Data(data=body))
        sock.sendall(message + client.send(h11.EndOfMessage()))
        return read_reply(client, sock)


def read_reply(client, sock):
    """Read one response, which is incomplete if its connection ends before."""
    reply = Reply()
    while True:
        try:
            event = client.next_event()
        except h11.RemoteProtocolError:
            return reply
        if event is h11.NEED_DATA:
            try:
                client.receive_data(sock.recv(65_536))
            except OSError:
                return reply
        elif isinstance(event, h11.Response):
            reply.status = event.status_code
            reply.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            reply.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            reply.complete = True
            return reply
        elif isinstance(event, h11.ConnectionClosed):
            return reply
