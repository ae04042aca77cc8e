"""Ordering, gap detection and repair of the cache events of one engine."""

from dataclasses import dataclass

import msgspec

from papayacrank.kernel import CancelTimer, Effect, Send, SetTimer, log_event

from ._events import EVENTS_GAP, EVENTS_MALFORMED, EVENTS_REPAIRED
from ._hashing import unpack_hash
from ._index import PrefixIndex
from ._wire import (
    BlockRemoved,
    BlockStored,
    EventBatch,
    decode_batch,
    decode_listing,
)

FIRST_SEQUENCE = 1
UNKNOWN_INCARNATION = 0
REPLAY_TIMEOUT_MS = 500
LISTING_TIMEOUT_MS = 2_000
MAX_BUFFERED_BATCHES = 1_024
TIMER_PREFIX = "cache-repair:"


@dataclass(frozen=True, slots=True)
class ReplayRequest:
    """Request to an engine for the batches `first` to `last`, both inclusive."""

    target: str
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class ListingRequest:
    """Request to an engine for all blocks that it holds."""

    target: str


class EngineEvents:
    """Applies the event batches of one engine to the index, in order.

    Batches after a gap are buffered until a replay has filled it, because a removal
    must not be applied before the store that it follows. If the replay does not
    complete in time, a listing replaces all entries of the engine.

    Parameters
    ----------
    target : str
        Name of the engine.
    index : PrefixIndex
        Index to update.
    max_buffered_batches : int
        Maximum number of buffered batches; beyond it, a listing is requested.
    """

    def __init__(
        self,
        target: str,
        index: PrefixIndex,
        max_buffered_batches: int = MAX_BUFFERED_BATCHES,
    ):
        self.target = target
        self.index = index
        self.max_buffered_batches = max_buffered_batches
        self._incarnation: int | None = None
        self._sequence: int | None = None
        self._buffered: dict[int, EventBatch] = {}
        self._pending_repair: str | None = None
        self.gap_count_ = 0
        self.event_count_ = 0

    @property
    def is_complete(self) -> bool:
        """Whether all events up to now are applied, without a gap."""
        return self._sequence is not None and self._pending_repair is None

    @property
    def timer_name(self) -> str:
        """Name of the repair timer."""
        return TIMER_PREFIX + self.target

    def start(self, now_ms: int) -> list[Effect]:
        """Request the initial listing."""
        return self._request_listing(now_ms)

    def receive(self, sequence: int, payload: bytes, now_ms: int) -> list[Effect]:
        """Process a batch, published live or replayed.

        Parameters
        ----------
        sequence : int
            Sequence number; the first batch of an incarnation has number 1.
        payload : bytes
            Encoded `EventBatch`.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list of Effect
            Requests to the engine and the repair timer.
        """
        try:
            batch = decode_batch(payload)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            log_event(EVENTS_MALFORMED, target=self.target, error=str(error))
            return []
        if not self._accept_incarnation(batch.incarnation):
            return []
        if self._sequence is not None and sequence <= self._sequence:
            return []
        self._buffered[sequence] = batch
        return self._apply_ready_batches(now_ms)

    def receive_replay_end(self, now_ms: int) -> list[Effect]:
        """Handle the end of a replay; a remaining gap is repaired by a listing."""
        if self._pending_repair != "replay":
            return []
        return self._request_listing(now_ms)

    def receive_listing(self, payload: bytes, now_ms: int) -> list[Effect]:
        """Replace all entries of the engine by a listing."""
        try:
            listing = decode_listing(payload)
            hashes = [int(digits, 16) for digits in listing.block_hashes]
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
            log_event(EVENTS_MALFORMED, target=self.target, error=str(error))
            return []
        if not self._accept_incarnation(listing.incarnation):
            return []
        if self._sequence is not None and listing.sequence < self._sequence:
            return []
        self.index.replace(self.target, listing.incarnation, hashes)
        self.event_count_ += len(hashes)
        self._sequence = listing.sequence
        self._pending_repair = None
        self._buffered = {
            k: v for k, v in self._buffered.items() if k > listing.sequence
        }
        self.index.set_uncertain(self.target, False)
        log_event(EVENTS_REPAIRED, target=self.target, sequence=listing.sequence)
        return [CancelTimer(self.timer_name), *self._apply_ready_batches(now_ms)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Request a listing if the repair timer has fired before the repair ended."""
        if self._pending_repair is None:
            return []
        return self._request_listing(now_ms)

    def observe_incarnation(self, incarnation: int, now_ms: int) -> list[Effect]:
        """Process the incarnation of a load report.

        A new one removes all entries at once and requests a listing, even if the
        batches of the engine do not state their incarnation.
        """
        if incarnation == self._incarnation:
            return []
        if not self._accept_incarnation(incarnation):
            return []
        return self._request_listing(now_ms)

    def _accept_incarnation(self, incarnation: int) -> bool:
        if incarnation == UNKNOWN_INCARNATION:
            known = self.index.incarnation(self.target)
            incarnation = UNKNOWN_INCARNATION if known is None else known
        if not self.index.set_incarnation(self.target, incarnation):
            return False
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._sequence = FIRST_SEQUENCE - 1
            self._buffered.clear()
            self._pending_repair = None
        return True

    def _apply_ready_batches(self, now_ms: int) -> list[Effect]:
        if (
            self._pending_repair == "listing"
            and len(self._buffered) <= self.max_buffered_batches
        ):
            return []
        while self._buffered and self._sequence + 1 in self._buffered:
            self._sequence += 1
            self._apply(self._buffered.pop(self._sequence))
        if not self._buffered:
            return self._finish_replay()
        if len(self._buffered) > self.max_buffered_batches:
            self._buffered.clear()
            return self._request_listing(now_ms)
        if self._pending_repair is None:
            return self._request_replay(now_ms)
        return []

    def _finish_replay(self) -> list[Effect]:
        if self._pending_repair != "replay":
            return []
        self._pending_repair = None
        self.index.set_uncertain(self.target, False)
        log_event(EVENTS_REPAIRED, target=self.target, sequence=self._sequence)
        return [CancelTimer(self.timer_name)]

    def _apply(self, batch: EventBatch) -> None:
        incarnation = self._incarnation
        for event in batch.events:
            if isinstance(event, BlockStored):
                hashes = map(unpack_hash, event.block_hashes)
                self.index.store(self.target, incarnation, hashes)
                self.event_count_ += len(event.block_hashes)
            elif isinstance(event, BlockRemoved):
                hashes = map(unpack_hash, event.block_hashes)
                self.index.remove(self.target, incarnation, hashes)
                self.event_count_ += len(event.block_hashes)
            else:
                self.index.clear(self.target)
                self.event_count_ += 1

    def _request_replay(self, now_ms: int) -> list[Effect]:
        self.gap_count_ += 1
        self._pending_repair = "replay"
        self.index.set_uncertain(self.target, True)
        first, last = self._sequence + 1, min(self._buffered) - 1
        log_event(EVENTS_GAP, target=self.target, first=first, last=last)
        return [
            Send(self.target, ReplayRequest(self.target, first, last)),
            SetTimer(self.timer_name, now_ms + REPLAY_TIMEOUT_MS),
        ]

    def _request_listing(self, now_ms: int) -> list[Effect]:
        self._pending_repair = "listing"
        self.index.set_uncertain(self.target, True)
        return [
            Send(self.target, ListingRequest(self.target)),
            SetTimer(self.timer_name, now_ms + LISTING_TIMEOUT_MS),
        ]
