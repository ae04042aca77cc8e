"""Account of the bytes that a process holds for its callers and targets, without I/O.

Callers and targets may read slowly. A limit for each connection does not bound the sum
over a thousand of them, so all buffers of a process share one account.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

MIB = 1024 * 1024
# Sum of the limits on send buffers, request bodies and responses (24 MiB each), which
# holds if the settings state no memory.
DEFAULT_HARD_BYTES = 72 * MIB
# Memory of a process without requests: 40 to 45 MB were measured.
PROCESS_BYTES = 45_000_000
# Part of the remaining memory for buffers. The rest is for parsers, copies while a
# message is joined, and bytes that have arrived but are not yet read.
BUFFER_SHARE = 0.5
MIN_HARD_BYTES = 4 * MIB
SOFT_SHARE = 2 / 3
# A holder is not paused below one read from a socket.
MIN_SHARE_BYTES = 65_536
# Largest send buffer of one caller above which reading its target is paused. It is half
# of the size at which the connection is aborted.
MAX_SHARE_BYTES = 512 * 1024
# A reader without observations is taken to read 1 MB/s; after a few hundred
# milliseconds its own rate outweighs this.
ASSUMED_BYTES = 250_000
ASSUMED_MS = 250
# A reader that accepts no byte for this long is ended. Pauses of a second or two are
# usual.
MAX_READER_SILENCE_MS = 5_000
# Reading from a sender is paused at most this long at a time. Targets cut off a
# response that remains unread for some seconds.
MAX_READ_PAUSE_MS = 500
READ_PAUSE_POLL_MS = 50
# Requests that one target holds of one process: four bodies of the maximum size. The
# memory of targets for requests is not stated.
MAX_TARGET_BYTES = 16 * MIB


class BufferKind(Enum):
    """Content of a buffer."""

    REQUEST_BODY = "request_body"
    TO_CALLER = "to_caller"
    TO_TARGET = "to_target"
    RESPONSE = "response"


@dataclass(frozen=True, slots=True)
class ByteLimits:
    """Limits of a `ByteAccount`.

    Parameters
    ----------
    soft_bytes : int
        Total above which reading is paused for the largest holders.
    hard_bytes : int
        Total above which the slowest holders are ended.
    """

    soft_bytes: int = int(DEFAULT_HARD_BYTES * SOFT_SHARE)
    hard_bytes: int = DEFAULT_HARD_BYTES

    @classmethod
    def from_memory(cls, memory_bytes: int) -> "ByteLimits":
        """Return the limits of a process with this much memory, 0 if unknown."""
        if not memory_bytes:
            return cls()
        free_bytes = int(BUFFER_SHARE * (memory_bytes - PROCESS_BYTES))
        hard_bytes = min(max(free_bytes, MIN_HARD_BYTES), DEFAULT_HARD_BYTES)
        return cls(int(hard_bytes * SOFT_SHARE), hard_bytes)


@dataclass(eq=False, slots=True)
class Holding:
    """Bytes of one buffer.

    Parameters
    ----------
    kind : BufferKind
        Content of the buffer.
    end : callable or None
        Ends the exchange and releases the bytes; None if it must not be ended, such as
        the body of a request that runs.
    held : int
        Bytes in the buffer.
    moved : int
        Bytes that have passed since the buffer was last empty.
    since_ms : int
        Time at which the buffer was last empty, in milliseconds.
    progressed_ms : int
        Time of the last progress, in milliseconds.
    """

    kind: BufferKind
    end: Callable[[], None] | None
    held: int = 0
    moved: int = 0
    since_ms: int = 0
    progressed_ms: int = 0

    def remaining_ms(self, now_ms: int) -> float:
        """Return the time in which the bytes pass at the rate observed so far."""
        elapsed_ms = max(0, now_ms - self.since_ms) + ASSUMED_MS
        return self.held * elapsed_ms / (self.moved + ASSUMED_BYTES)

    def is_silent(self, now_ms: int) -> bool:
        """Return whether the reader has accepted nothing for too long."""
        return self.held > 0 and now_ms - self.progressed_ms > MAX_READER_SILENCE_MS


class ByteAccount:
    """Sum of the bytes in all buffers of a process.

    Parameters
    ----------
    limits : ByteLimits, optional
        Soft and hard limit.
    """

    def __init__(self, limits: ByteLimits | None = None):
        self._limits = limits or ByteLimits()
        self._filled: dict[Holding, None] = {}
        self._totals = dict.fromkeys(BufferKind, 0)
        self._total = 0
        self._ended = 0
        self._is_enforcing = False

    @property
    def limits(self) -> ByteLimits:
        """Limits of the account."""
        return self._limits

    @property
    def total(self) -> int:
        """Number of bytes in all buffers."""
        return self._total

    @property
    def ended(self) -> int:
        """Number of exchanges that were ended since the start of the process."""
        return self._ended

    @property
    def is_tight(self) -> bool:
        """Whether the soft limit is exceeded."""
        return self._total > self._limits.soft_bytes

    @property
    def share_bytes(self) -> int:
        """Bytes that each buffer may hold before its sender is paused."""
        if not self.is_tight:
            return MAX_SHARE_BYTES
        equal = self._limits.soft_bytes // max(1, len(self._filled))
        return min(max(equal, MIN_SHARE_BYTES), MAX_SHARE_BYTES)

    def total_of(self, kind: BufferKind) -> int:
        """Return the number of bytes in the buffers of a kind."""
        return self._totals[kind]

    def fits(self, added: int) -> bool:
        """Return whether `added` bytes more are within the hard limit."""
        return self._total + added <= self._limits.hard_bytes

    def set(self, holding: Holding, held: int, now_ms: int, moved: int = 0) -> None:
        """Set the size of a buffer.

        Parameters
        ----------
        held : int
            Bytes in the buffer.
        moved : int
            Bytes that have passed since the last call, which is progress.
        """
        if not holding.held:
            holding.since_ms = holding.progressed_ms = now_ms
            holding.moved = 0
        if moved:
            holding.moved += moved
            holding.progressed_ms = now_ms
        self._total += held - holding.held
        self._totals[holding.kind] += held - holding.held
        holding.held = held
        if held:
            self._filled[holding] = None
        else:
            self._filled.pop(holding, None)

    def release(self, holding: Holding) -> None:
        """Remove a buffer."""
        self._total -= holding.held
        self._totals[holding.kind] -= holding.held
        holding.held = 0
        self._filled.pop(holding, None)

    def enforce(self, now_ms: int) -> None:
        """End the slowest exchanges while the hard limit is exceeded."""
        if self._is_enforcing:
            # Ending an exchange sends a response or closes a buffer.
            return
        self._is_enforcing = True
        try:
            while self._total > self._limits.hard_bytes:
                slowest = find_slowest(self._filled, now_ms)
                if slowest is None:
                    return
                held = slowest.held
                self._ended += 1
                slowest.end()
                if slowest.held >= held:
                    # The owner could not release it.
                    self.release(slowest)
        finally:
            self._is_enforcing = False


def find_slowest(holdings: Iterable[Holding], now_ms: int) -> Holding | None:
    """Return the buffer that empties last, None if none may be ended.

    The size alone would end a fast reader of a large response before one that has
    stopped, and the rate alone would end readers that hold next to nothing.
    """
    return max(
        (item for item in holdings if item.held and item.end is not None),
        key=lambda item: item.remaining_ms(now_ms),
        default=None,
    )
