"""Publisher of the stand-in engine's cache events."""

import struct
import time
from collections import deque

import msgspec
import zmq
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from ._engine_model import CacheChange

LOOPBACK = "127.0.0.1"
TOPIC = b"kv-events"
REPLAY_END = (-1).to_bytes(8, "big", signed=True)
MAX_REPLAY_BATCHES = 10_000
HIGH_WATER_MARK_MESSAGES = 10_000


class CachePublisher(BaseComponent):
    """ZeroMQ PUB socket for event batches and ROUTER socket for their replay.

    Parameters
    ----------
    events_port, replay_port : int
        Ports to listen on; 0 lets the system choose.
    max_replay_batches : int
        Number of latest batches that can be replayed.
    """

    channel = "cache-publisher"

    def __init__(
        self,
        events_port: int = 0,
        replay_port: int = 0,
        max_replay_batches: int = MAX_REPLAY_BATCHES,
    ):
        super().__init__()
        self._context = zmq.Context(io_threads=1)
        self._events = self._open_socket(zmq.PUB, events_port)
        self._replay = self._open_socket(zmq.ROUTER, replay_port)
        self._replay_batches: deque[tuple[int, bytes]] = deque(
            maxlen=max_replay_batches
        )
        self._poller = None
        self.sequence = 0

    @property
    def events_address(self) -> str:
        """Address of the PUB socket."""
        return self._get_address(self._events)

    @property
    def replay_address(self) -> str:
        """Address of the ROUTER socket."""
        return self._get_address(self._replay)

    def publish(
        self,
        incarnation: int,
        events: list,
        dropped: bool = False,
        replayable: bool = True,
    ) -> None:
        """Publish a batch.

        Parameters
        ----------
        incarnation : int
            Incarnation of the engine.
        events : list
            Events as tagged arrays, see `encode_change`.
        dropped : bool
            Whether the batch is not sent to subscribers, which simulates its loss.
        replayable : bool
            Whether the batch can be replayed.
        """
        self.sequence += 1
        payload = msgspec.msgpack.encode([time.time(), events, incarnation])
        if replayable:
            self._replay_batches.append((self.sequence, payload))
        if not dropped:
            number = self.sequence.to_bytes(8, "big")
            self._events.send_multipart([TOPIC, number, payload], zmq.DONTWAIT)

    def restart(self) -> None:
        """Discard all batches; the next one gets sequence 1."""
        self._replay_batches.clear()
        self.sequence = 0

    def close(self) -> None:
        """Close the sockets."""
        if self._context.closed:
            return
        if self._poller is not None:
            self._poller.discard(self._replay.FD)
        self._events.close()
        self._replay.close()
        self._context.term()

    @handler("registered", channel="*")
    def _on_registered(self, component, manager):
        if self._poller is not None:
            return
        pollers = [c for c in self.root.components if isinstance(c, BasePoller)]
        if pollers:
            self._poller = pollers[0]
            self._poller.addReader(self, self._replay.FD)
            self._serve_replays()

    @handler("_read")
    def _on_read(self, fd):
        if not self._context.closed:
            self._serve_replays()

    @handler("stopped", channel="*")
    def _on_stopped(self, *_):
        self.close()

    def _serve_replays(self) -> None:
        """Serve all pending requests, because the descriptor is edge-triggered."""
        while self._replay.EVENTS & zmq.POLLIN:
            frames = self._replay.recv_multipart(zmq.DONTWAIT)
            if len(frames[-1]) == 8:
                first = struct.unpack(">Q", frames[-1])[0]
                self._send_replay(frames[:-1], first)

    def _send_replay(self, envelope: list[bytes], first: int) -> None:
        for sequence, payload in list(self._replay_batches):
            if sequence >= first:
                number = sequence.to_bytes(8, "big")
                self._replay.send_multipart([*envelope, number, payload], zmq.DONTWAIT)
        self._replay.send_multipart([*envelope, REPLAY_END, b""], zmq.DONTWAIT)

    def _open_socket(self, kind: int, port: int):
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        socket.bind(f"tcp://{LOOPBACK}:{port}")
        return socket

    @staticmethod
    def _get_address(socket) -> str:
        return socket.getsockopt_string(zmq.LAST_ENDPOINT).removeprefix("tcp://")


def encode_change(change: CacheChange, block_tokens: int) -> list:
    """Encode a change as a tagged array."""
    if change.removed:
        return ["BlockRemoved", list(change.removed)]
    count = len(change.tokens) // 4
    token_ids = list(struct.unpack(f">{count}I", change.tokens[: 4 * count]))
    return [
        "BlockStored",
        list(change.stored),
        change.parent,
        token_ids,
        block_tokens,
        [change.salt],
    ]
