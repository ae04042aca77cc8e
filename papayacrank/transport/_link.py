"""Best-effort messaging between the processes of the system over ZeroMQ."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import chain, repeat
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
# A connection without heartbeats is replaced after at most interval plus timeout. A
# timeout of 2,000 ms let the 3,000 ms contact limit of an entry process expire at some
# phases, because the last heartbeat may be 500 ms old and reconnecting takes time.
HEARTBEAT_TIMEOUT_MS = 1_200
RECONNECT_INTERVAL_MS = 50
RECONNECT_MAX_INTERVAL_MS = 100
# The kernel retransmits a lost SYN only after a second or more, which would delay the
# connection to an instance that was down.
CONNECT_TIMEOUT_MS = 200
# Intervals between the first LINK_TRAFFIC events of a process, so that the traffic of a
# start is reported apart, and between all later ones.
START_TRAFFIC_LOG_INTERVALS_MS = (1_000, 1_000, 2_000, 6_000)
TRAFFIC_LOG_INTERVAL_MS = 10_000


class received(Event):  # noqa: N801 - circuits events are lower case
    """A message was received: ``received(sender, message)``."""


@dataclass(frozen=True)
class LinkSettings:
    """Name and addresses of a link.

    Parameters
    ----------
    name : str
        Name of this process, unique in the system.
    listen : str or None
        Address to listen on as ``ip:port``; None for a client such as admin.
    peers : dict of str to str
        Addresses of the processes to connect to, by name.
    resolve : Callable, optional
        Maps the name of a process without a connection to its address. Returns None
        if the address cannot be derived from the name.
    """

    name: str
    listen: str | None = None
    peers: dict[str, str] = field(default_factory=dict)
    resolve: Callable[[str], str | None] | None = None


class _TrafficCounter:
    """Number of messages and bytes by message type."""

    def __init__(self):
        self._counts: dict[str, list[int]] = {}

    def count(self, message: Any, size: int) -> None:
        """Add a message of `size` bytes."""
        counts = self._counts.setdefault(type(message).__name__, [0, 0])
        counts[0] += 1
        counts[1] += size

    def pop_counts(self) -> dict[str, list[int]]:
        """Return the counts since the previous call and reset them."""
        counts, self._counts = self._counts, {}
        return counts


class Link(BaseComponent):
    """Component that owns the ZeroMQ sockets of a process.

    Messages to a configured peer are sent over a DEALER socket to that peer. Messages
    to any other process are sent over the connection that the process opened to the
    ROUTER socket. Delivery is best effort and unacknowledged: a message is discarded
    if the peer is not connected or its queue is full, so the protocols above need
    sequence numbers and timeouts.

    Parameters
    ----------
    settings : LinkSettings
        Name and addresses.
    codec : MessageCodec
        Codec for the message types that may be sent and received.
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
        self._socket_by_fd = self._index_sockets()
        self._last_message: Any = None
        self._last_payload = b""
        self._sent = _TrafficCounter()
        self._received = _TrafficCounter()

    @property
    def listen_address(self) -> str | None:
        """Address that the link listens on, with the actual port for port 0."""
        if self._server is None:
            return None
        endpoint = self._server.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix("tcp://")

    def send(self, to: str, message: Any) -> bool:
        """Send a message without blocking.

        Parameters
        ----------
        to : str
            Name of the receiving process.
        message : Any
            Message of a type that the codec supports.

        Returns
        -------
        bool
            False if the message was discarded.
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
        """Encode a message, reusing the result if it is the same object as before.

        A message that is sent to several peers in a row is encoded only once.
        """
        if message is not self._last_message:
            self._last_payload = self._codec.encode(message)
            self._last_message = message
        return self._last_payload

    def _find_peer(self, name: str):
        """Return the socket of a peer, connecting if its name can be resolved."""
        peer = self._peers.get(name)
        if peer is None and self._settings.resolve is not None:
            address = self._settings.resolve(name)
            if address is not None and name != self._settings.name:
                self.connect_peer(name, address)
                peer = self._peers[name]
        return peer

    def connect_peer(self, name: str, address: str) -> None:
        """Connect to a new peer, or to a new address of an existing peer."""
        self.disconnect_peer(name)
        socket = self._open_peer(address)
        self._peers[name] = socket
        self._socket_by_fd[socket.FD] = socket
        if self._poller is not None:
            self._poller.addReader(self, socket.FD)

    def disconnect_peer(self, name: str) -> None:
        """Close the connection to a peer; unknown names are ignored."""
        socket = self._peers.pop(name, None)
        if socket is None:
            return
        fd = socket.FD
        self._socket_by_fd.pop(fd, None)
        if self._poller is not None:
            self._poller.discard(fd)
        socket.close()

    def log_traffic(self) -> None:
        """Log the number of messages and bytes since the previous call."""
        log_event(
            LINK_TRAFFIC,
            sent=self._sent.pop_counts(),
            received=self._received.pop_counts(),
        )

    def close(self) -> None:
        """Close all sockets."""
        for name in list(self._peers):
            self.disconnect_peer(name)
        if self._server is not None:
            if self._poller is not None:
                self._poller.discard(self._server.FD)
            self._server.close()
            self._server = None
        # Read events that are still queued must not access closed sockets.
        self._socket_by_fd.clear()
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
        for fd in self._socket_by_fd:
            poller.addReader(self, fd)
        for socket in list(self._socket_by_fd.values()):
            self._drain(socket)

    @handler("_read")
    def _on_read(self, fd):
        socket = self._socket_by_fd.get(fd)
        if socket is not None:
            self._drain(socket)

    @handler("stopped", channel="*")
    def _on_stopped(self, *_):
        if not self._context.closed:
            self.close()

    def _drain(self, socket) -> None:
        """Read all pending messages, because the descriptor is edge-triggered."""
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
            log_event(
                UNDECODABLE_MESSAGE, sender=sender, type=error.tag, error=str(error)
            )
            return
        self._received.count(message, len(frames[-1]))
        self.fire(received(sender, message), self.channel)

    def _open_server(self):
        if self._settings.listen is None:
            return None
        socket = self._context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._set_common_options(socket)
        socket.bind(f"tcp://{self._settings.listen}")
        return socket

    def _open_peer(self, address: str):
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt_string(zmq.IDENTITY, self._settings.name)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_INTERVAL_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        self._set_common_options(socket)
        socket.connect(f"tcp://{address}")
        return socket

    @staticmethod
    def _set_common_options(socket) -> None:
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)

    def _index_sockets(self) -> dict:
        sockets = list(self._peers.values())
        if self._server is not None:
            sockets.append(self._server)
        return {socket.FD: socket for socket in sockets}


def start_traffic_log(link: Link, clock: Clock, timers: Timers) -> None:
    """Log the traffic of a link, more often after the start of the process."""
    intervals_ms = chain(
        START_TRAFFIC_LOG_INTERVALS_MS, repeat(TRAFFIC_LOG_INTERVAL_MS)
    )

    def schedule() -> None:
        timers.set("link-traffic", clock.now_ms() + next(intervals_ms), log_traffic)

    def log_traffic() -> None:
        link.log_traffic()
        schedule()

    schedule()
