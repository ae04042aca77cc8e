"""Best-effort messages between the system's processes over ZeroMQ."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import zmq
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller

from papayacrank.kernel import Clock, log_event

from ._codec import MessageCodec, MessageDecodeError
from ._events import LINK_TRAFFIC, SEND_QUEUE_FULL, UNDECODABLE_MESSAGE
from ._timers import Timers

HIGH_WATER_MARK_MESSAGES = 256
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
HEARTBEAT_INTERVAL_MS = 500
# A silent connection is replaced after at most interval and timeout. With 2,000 ms, an
# entry process lost its contact of 3,000 ms in some phases: 500 ms of age of the last
# heartbeat and the new connection come on top.
HEARTBEAT_TIMEOUT_MS = 1_200
RECONNECT_INTERVAL_MS = 50
RECONNECT_MAX_INTERVAL_MS = 100
# The operating system repeats the opening packet to a machine that was down only after
# seconds.
CONNECT_TIMEOUT_MS = 200
# One line of counts for each process at this interval.
TRAFFIC_LOG_INTERVAL_MS = 10_000


class received(Event):  # noqa: N801 - circuits events are lower case
    """A message arrived: ``received(sender, message)``."""


@dataclass(frozen=True)
class LinkSettings:
    """Addresses of a link.

    Parameters
    ----------
    name : str
        Name of this process, unique in the system.
    listen : str or None
        Address to listen on as ``ip:port``; None for a client such as admin.
    peers : dict of str to str
        Addresses of the processes to connect to, by name.
    resolve : Callable, optional
        Returns the address of a process that is neither configured nor connected, or
        None if its name tells none.
    """

    name: str
    listen: str | None = None
    peers: dict[str, str] = field(default_factory=dict)
    resolve: Callable[[str], str | None] | None = None


class _Traffic:
    """Messages and bytes by type of message."""

    def __init__(self):
        self._counts: dict[str, list[int]] = {}

    def count(self, message: Any, size: int) -> None:
        """Count a message of `size` bytes."""
        counts = self._counts.setdefault(type(message).__name__, [0, 0])
        counts[0] += 1
        counts[1] += size

    def take(self) -> dict[str, list[int]]:
        """Return the counts since the last call."""
        counts, self._counts = self._counts, {}
        return counts


class Link(BaseComponent):
    """Component that owns the ZeroMQ sockets of a process.

    Messages go to a configured peer over its connection, and to any other process
    over the connection which that process opened. Delivery is best effort and
    unacknowledged: a message for a peer that is not connected or does not read is
    dropped, so the protocols above carry sequence numbers and timeouts.

    Parameters
    ----------
    settings : LinkSettings
        Addresses.
    codec : MessageCodec
        Messages that may be sent and received.
    """

    channel = "link"

    def __init__(self, settings: LinkSettings, codec: MessageCodec):
        super().__init__()
        self._settings = settings
        self._codec = codec
        self._poller = None
        self._context = zmq.Context(io_threads=1)
        self._server = self._open_server()
        self._peers = {
            name: self._open_peer(address) for name, address in settings.peers.items()
        }
        self._sender_by_fd = self._index_by_fd()
        self._last_message: Any = None
        self._last_payload = b""
        self._sent = _Traffic()
        self._received = _Traffic()

    @property
    def listen_address(self) -> str | None:
        """Address that the link listens on, with the port chosen by the system."""
        if self._server is None:
            return None
        endpoint = self._server.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix("tcp://")

    def send(self, to: str, message: Any) -> bool:
        """Send a message without waiting.

        Parameters
        ----------
        to : str
            Name of the receiver.
        message : Any
            Message of the codec's set.

        Returns
        -------
        bool
            False if the message was dropped.
        """
        payload = self._encode(message)
        peer = self._find_peer(to)
        try:
            if peer is not None:
                peer.send(payload, zmq.DONTWAIT)
            elif self._server is not None:
                self._server.send_multipart([to.encode(), payload], zmq.DONTWAIT)
            else:
                return False
            self._sent.count(message, len(payload))
        except zmq.ZMQError as error:
            log_event(SEND_QUEUE_FULL, to=to, error=str(error))
            return False
        finally:
            self._drain(peer if peer is not None else self._server)
        return True

    def _encode(self, message: Any) -> bytes:
        """Encode a message, once for all receivers it is sent to in a row."""
        if message is not self._last_message:
            self._last_payload = self._codec.encode(message)
            self._last_message = message
        return self._last_payload

    def _find_peer(self, name: str):
        """Return the socket of a peer; connect if its name tells the address."""
        peer = self._peers.get(name)
        if peer is None and self._settings.resolve is not None:
            address = self._settings.resolve(name)
            if address is not None and name != self._settings.name:
                self.connect_peer(name, address)
                peer = self._peers[name]
        return peer

    def connect_peer(self, name: str, address: str) -> None:
        """Connect to a further peer, or to the new address of a known one."""
        self.disconnect_peer(name)
        socket = self._open_peer(address)
        self._peers[name] = socket
        self._sender_by_fd[socket.FD] = socket
        if self._poller is not None:
            self._poller.addReader(self, socket.FD)

    def disconnect_peer(self, name: str) -> None:
        """Close the connection to a peer; unknown names are ignored."""
        socket = self._peers.pop(name, None)
        if socket is None:
            return
        fd = socket.FD
        self._sender_by_fd.pop(fd, None)
        if self._poller is not None:
            self._poller.discard(fd)
        socket.close()

    def log_traffic(self) -> None:
        """Write the counts of messages and bytes since the last call to the log."""
        log_event(LINK_TRAFFIC, sent=self._sent.take(), received=self._received.take())

    def close(self) -> None:
        """Close all sockets."""
        for name in list(self._peers):
            self.disconnect_peer(name)
        if self._server is not None:
            if self._poller is not None:
                self._poller.discard(self._server.FD)
            self._server.close()
            self._server = None
        # Read events that are still queued must not touch closed sockets.
        self._sender_by_fd.clear()
        self._context.term()

    @handler("registered", channel="*")
    def _on_registered(self, component, manager):
        if self._poller is not None or not isinstance(component, BasePoller | Link):
            return
        pollers = [c for c in self.root.components if isinstance(c, BasePoller)]
        poller = pollers[0] if pollers else None
        if poller is None:
            return
        self._poller = poller
        for fd in self._sender_by_fd:
            poller.addReader(self, fd)
        for socket in list(self._sender_by_fd.values()):
            self._drain(socket)

    @handler("_read")
    def _on_read(self, fd):
        socket = self._sender_by_fd.get(fd)
        if socket is not None:
            self._drain(socket)

    @handler("stopped", channel="*")
    def _on_stopped(self, *_):
        if not self._context.closed:
            self.close()

    def _drain(self, socket) -> None:
        """Read until nothing is left, because the descriptor is edge-triggered."""
        while socket is not None and socket.EVENTS & zmq.POLLIN:
            frames = socket.recv_multipart(zmq.DONTWAIT)
            self._deliver(socket, frames)

    def _deliver(self, socket, frames: list[bytes]) -> None:
        if socket is self._server:
            sender = frames[0].decode(errors="replace")
        else:
            sender = next(n for n, peer in self._peers.items() if peer is socket)
        try:
            message = self._codec.decode(frames[-1])
        except MessageDecodeError as error:
            log_event(UNDECODABLE_MESSAGE, sender=sender, error=str(error))
            return
        self._received.count(message, len(frames[-1]))
        self.fire(received(sender, message), self.channel)

    def _open_server(self):
        if self._settings.listen is None:
            return None
        socket = self._context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._set_limits(socket)
        socket.bind(f"tcp://{self._settings.listen}")
        return socket

    def _open_peer(self, address: str):
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt_string(zmq.IDENTITY, self._settings.name)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_INTERVAL_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        self._set_limits(socket)
        socket.connect(f"tcp://{address}")
        return socket

    @staticmethod
    def _set_limits(socket) -> None:
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)

    def _index_by_fd(self) -> dict:
        sockets = list(self._peers.values())
        if self._server is not None:
            sockets.append(self._server)
        return {socket.FD: socket for socket in sockets}


def start_traffic_log(link: Link, clock: Clock, timers: Timers) -> None:
    """Write the counts of a link to the log every `TRAFFIC_LOG_INTERVAL_MS`."""

    def write() -> None:
        link.log_traffic()
        start_traffic_log(link, clock, timers)

    timers.set("link-traffic", clock.now_ms() + TRAFFIC_LOG_INTERVAL_MS, write)
