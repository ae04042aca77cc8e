"""Subscription to the cache events that engines publish over ZeroMQ."""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass

import zmq
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from papayacrank.kernel import Clock, log_event
from papayacrank.transport import Timers

from ._client import TargetClient
from ._events import MALFORMED_CACHE_MESSAGE
from ._notifications import (
    cache_batch,
    cache_listed,
    cache_listing_failed,
    cache_replay_ended,
    cache_socket_ready,
)
from ._request import TargetFailure, TargetRequest, TargetTimeouts

SUBSCRIBER_CHANNEL = "cache-events"
LISTING_PATH = "/v1/kv/blocks"
REPLAY_TIMEOUT_MS = 500
LISTING_TIMEOUT_MS = 2_000
# Without the check, a lost batch is noticed only when a later one arrives, which may
# take long.
QUIET_CHECK_MS = 5_000
# With 130 million blocks on 3,300 engines, a listing has about 40,000 hashes of 36
# bytes.
MAX_LISTING_BYTES = 16 * 1024 * 1024
HIGH_WATER_MARK_MESSAGES = 1_000
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# Bounds how long other handlers wait while one engine publishes at full speed.
MAX_MESSAGES_PER_TURN = 64
HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
RECONNECT_INTERVAL_MS = 50
RECONNECT_MAX_INTERVAL_MS = 1_000
SEQUENCE_BYTES = 8
REPLAY_END = (-1).to_bytes(SEQUENCE_BYTES, "big", signed=True)


@dataclass(frozen=True, slots=True)
class CacheEventSource:
    """Addresses at which an engine publishes its cache state.

    Parameters
    ----------
    address : str
        HTTP address, for listings.
    events_address : str
        Address of the PUB socket.
    replay_address : str or None
        Address of the ROUTER socket for replays; if None, every replay fails.
    """

    address: str
    events_address: str
    replay_address: str | None = None


@dataclass(slots=True, eq=False)
class _Replay:
    """Running replay.

    Parameters
    ----------
    target : str
        Name of the engine.
    socket : zmq.Socket
        DEALER socket of the replay.
    report_end : bool
        Whether ``cache_replay_ended`` is fired when the replay ends.
    """

    target: str
    socket: zmq.Socket
    report_end: bool


class CacheEventSubscriber(BaseComponent):
    """Component that receives the cache events and listings of engines.

    Fires ``cache_batch(target, sequence, payload)`` for published and for replayed
    batches, ``cache_replay_ended(target, complete)``, ``cache_listed(target,
    payload)`` and ``cache_listing_failed(target, failure)``. It neither orders batches
    nor tracks the state of the cache; `papayacrank.cache.EngineEvents` does.

    Parameters
    ----------
    client : TargetClient
        Client that requests the listings.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    requester : str
        Channel that receives the events.
    replay_timeout_ms : int
        Longest time between two messages of a replay, in milliseconds.
    quiet_check_ms : int
        Time without a batch after which a replay of any later ones is requested, in
        milliseconds.
    """

    channel = SUBSCRIBER_CHANNEL

    def __init__(
        self,
        client: TargetClient,
        clock: Clock,
        timers: Timers,
        requester: str,
        replay_timeout_ms: int = REPLAY_TIMEOUT_MS,
        quiet_check_ms: int = QUIET_CHECK_MS,
    ):
        super().__init__()
        self._client = client
        self._clock = clock
        self._timers = timers
        self._requester = requester
        self._replay_timeout_ms = replay_timeout_ms
        self._quiet_check_ms = quiet_check_ms
        self._last_sequence: dict[str, int] = {}
        self._context = zmq.Context(io_threads=1)
        self._poller: BasePoller | None = None
        self._sources: dict[str, CacheEventSource] = {}
        self._subscriptions: dict[str, zmq.Socket] = {}
        self._replays: dict[str, _Replay] = {}
        self._listings: dict[str, tuple[str, bytearray]] = {}
        self._readers: dict[int, tuple[str, zmq.Socket]] = {}
        self._listing_numbers = itertools.count(1)

    def update_targets(self, sources: Mapping[str, CacheEventSource]) -> None:
        """Set the engines to subscribe to.

        An engine whose addresses changed is treated as a new one.

        Parameters
        ----------
        sources : mapping of str to CacheEventSource
            Addresses of each engine, by name.
        """
        for target in set(self._sources) - set(sources):
            self._remove_target(target)
        for target, source in sources.items():
            if self._sources.get(target) == source:
                continue
            if target in self._sources:
                self._remove_target(target)
            self._sources[target] = source
            self._subscribe(target, source)

    def request_replay(self, target: str, first: int) -> None:
        """Request a replay of an engine's batches from sequence number `first` on.

        A running replay of the engine is cancelled without an event. Every other
        requested replay ends with one ``cache_replay_ended`` event. Unknown engines
        are ignored.
        """
        source = self._sources.get(target)
        if source is None:
            return
        self._cancel_replay(target)
        if source.replay_address is None:
            self._fire_to_requester(cache_replay_ended(target, False))
            return
        self._start_replay(target, first, report_end=True)

    def _start_replay(self, target: str, first: int, report_end: bool) -> None:
        socket = self._open(zmq.DEALER, self._sources[target].replay_address)
        replay = _Replay(target, socket, report_end)
        self._replays[target] = replay
        self._restart_replay_timer(replay)
        socket.send_multipart([b"", first.to_bytes(SEQUENCE_BYTES, "big")])
        self._register_reader(target, socket)

    def request_listing(self, target: str) -> None:
        """Request the list of all cached blocks; unknown engines are ignored."""
        source = self._sources.get(target)
        if source is None:
            return
        listing_id = f"listing-{next(self._listing_numbers)}"
        self._listings[listing_id] = (target, bytearray())
        timeout_ms = LISTING_TIMEOUT_MS
        request = TargetRequest(
            listing_id,
            SUBSCRIBER_CHANNEL,
            source.address,
            "GET",
            LISTING_PATH,
            idempotent=True,
            timeouts=TargetTimeouts(timeout_ms, timeout_ms, timeout_ms, timeout_ms),
            max_body_bytes=MAX_LISTING_BYTES,
        )
        self._client.submit(request)

    def close(self) -> None:
        """Close all sockets and cancel the running listings."""
        if self._context.closed:
            return
        for target in list(self._sources):
            self._remove_target(target)
        self._context.term()

    # Sockets

    def _subscribe(self, target: str, source: CacheEventSource) -> None:
        socket = self._open(zmq.SUB, source.events_address)
        socket.setsockopt(zmq.SUBSCRIBE, b"")
        self._subscriptions[target] = socket
        self._register_reader(target, socket)
        self._set_quiet_timer(target)

    def _open(self, kind: int, address: str) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_INTERVAL_MS)
        socket.connect(f"tcp://{address}")
        return socket

    def _register_reader(self, target: str, socket: zmq.Socket) -> None:
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        fd = socket.FD
        self._readers[fd] = (target, socket)
        self._poller.addReader(self, fd)
        # The descriptor is edge-triggered, and edges before this point are lost.
        self.fire(cache_socket_ready(fd), self.channel)

    def _close_socket(self, socket: zmq.Socket) -> None:
        fd = socket.FD
        self._readers.pop(fd, None)
        self._poller.discard(fd)
        socket.close()

    def _remove_target(self, target: str) -> None:
        del self._sources[target]
        self._cancel_replay(target)
        self._last_sequence.pop(target, None)
        self._timers.cancel(_quiet_timer_name(target))
        self._close_socket(self._subscriptions.pop(target))
        for listing_id in [i for i, (t, _) in self._listings.items() if t == target]:
            del self._listings[listing_id]
            self._client.cancel(listing_id)

    # Replays

    def _cancel_replay(self, target: str) -> None:
        replay = self._replays.pop(target, None)
        if replay is not None:
            self._timers.cancel(_replay_timer_name(target))
            self._close_socket(replay.socket)

    def _end_replay(self, target: str, complete: bool) -> None:
        report_end = self._replays[target].report_end
        self._cancel_replay(target)
        if report_end:
            self._fire_to_requester(cache_replay_ended(target, complete))

    def _set_quiet_timer(self, target: str) -> None:
        at_ms = self._clock.now_ms() + self._quiet_check_ms
        self._timers.set(
            _quiet_timer_name(target), at_ms, lambda: self._check_quiet(target)
        )

    def _check_quiet(self, target: str) -> None:
        """Request the batches after the last received one from a quiet engine."""
        self._set_quiet_timer(target)
        last = self._last_sequence.get(target)
        can_replay = self._sources[target].replay_address is not None
        if last is not None and can_replay and target not in self._replays:
            self._start_replay(target, last + 1, report_end=False)

    def _restart_replay_timer(self, replay: _Replay) -> None:
        target = replay.target
        at_ms = self._clock.now_ms() + self._replay_timeout_ms
        self._timers.set(
            _replay_timer_name(target), at_ms, lambda: self._end_replay(target, False)
        )

    # Reading

    @handler("_read", "cache_socket_ready")
    def _on_readable(self, fd):
        target, socket = self._readers.get(fd, (None, None))
        if socket is None:
            return
        for _ in range(MAX_MESSAGES_PER_TURN):
            if socket.closed or not socket.EVENTS & zmq.POLLIN:
                return
            frames = socket.recv_multipart(zmq.DONTWAIT)
            self._process_message(target, socket, frames)
        if not socket.closed:
            self.fire(cache_socket_ready(fd), self.channel)

    def _process_message(
        self, target: str, socket: zmq.Socket, frames: list[bytes]
    ) -> None:
        if len(frames) != 3 or len(frames[1]) != SEQUENCE_BYTES:
            log_event(MALFORMED_CACHE_MESSAGE, target=target, frames=len(frames))
            return
        replay = self._replays.get(target)
        if replay is not None and replay.socket is socket:
            if frames[1] == REPLAY_END:
                self._end_replay(target, True)
                return
            self._restart_replay_timer(replay)
        sequence = int.from_bytes(frames[1], "big")
        self._last_sequence[target] = sequence
        self._set_quiet_timer(target)
        self._fire_to_requester(cache_batch(target, sequence, frames[2]))

    def _fire_to_requester(self, event: Event) -> None:
        self.fire(event, self._requester)

    # Listings

    @handler("target_headers")
    def _on_headers(self, request_id, status, headers):
        if request_id in self._listings and status != 200:
            target, _ = self._listings.pop(request_id)
            failure = TargetFailure("target_status", True, "no listing", status)
            self._fire_to_requester(cache_listing_failed(target, failure))

    @handler("target_data")
    def _on_data(self, request_id, data):
        if request_id in self._listings:
            self._listings[request_id][1].extend(data)

    @handler("target_finished")
    def _on_listed(self, request_id, usage):
        target, body = self._listings.pop(request_id, (None, b""))
        if target is not None:
            self._fire_to_requester(cache_listed(target, bytes(body)))

    @handler("target_failed")
    def _on_listing_failed(self, request_id, failure):
        target, _ = self._listings.pop(request_id, (None, b""))
        if target is not None:
            self._fire_to_requester(cache_listing_failed(target, failure))

    @handler("stopped", channel="*")
    def _on_stopped(self, *_):
        self.close()


def _replay_timer_name(target: str) -> str:
    return f"cache-replay/{target}"


def _quiet_timer_name(target: str) -> str:
    return f"cache-quiet/{target}"
