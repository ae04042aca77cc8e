"""Position of a stream at its caller, and runs that continue from it."""

from array import array
from dataclasses import dataclass, field

import xxhash

# Longer ids exceed the conversion limit of `int`, which raises an error.
MAX_ID_DIGITS = 18


@dataclass(slots=True)
class StreamPosition:
    """Events of a stream that the caller has.

    Parameters
    ----------
    last_event_id : str or None
        Id of the last event with one; None before it.
    is_known : bool
        Whether a run can continue behind `last_event_id`. It cannot if events without
        an id followed.
    digests : array of int
        Chained digest of the events up to each one, in the order of the response.
    """

    last_event_id: str | None = None
    is_known: bool = True
    digests: array = field(default_factory=lambda: array("Q"))

    def has(self, event_id: str) -> bool:
        """Whether the caller has an event; ids increase within a stream."""
        if self.last_event_id is None:
            return False
        number, last = _parse_number(event_id), _parse_number(self.last_event_id)
        if number is None or last is None:
            return event_id == self.last_event_id
        return number <= last

    def add(self, event_id: str | None, data: bytes) -> None:
        """Record an event that was sent to the caller."""
        previous = self.digests[-1] if self.digests else 0
        self.digests.append(_chain(previous, data))
        self.is_known = event_id is not None
        if event_id is not None:
            self.last_event_id = event_id


@dataclass(slots=True)
class ResumedRun:
    """Check of a run that was asked to continue a stream.

    A run that begins anew may differ from the one before, and its events must not be
    joined to those that the caller has. One that sends the same events once more is
    accepted if it repeats all of them.

    Parameters
    ----------
    repeated : int
        Number of events that the run has sent again.
    digest : int
        Chained digest of these events.
    """

    repeated: int = 0
    digest: int = 0

    def accepts(self, position: StreamPosition, event_id: str, data: bytes) -> bool:
        """Whether the run continues the stream, as far as this event tells."""
        if not position.has(event_id):
            is_whole = self.repeated in (0, len(position.digests))
            self.repeated = 0
            return is_whole
        self.digest = _chain(self.digest, data)
        self.repeated += 1
        is_known = self.repeated <= len(position.digests)
        return is_known and position.digests[self.repeated - 1] == self.digest


def _chain(previous: int, data: bytes) -> int:
    return xxhash.xxh3_64_intdigest(data, previous)


def _parse_number(event_id: str) -> int | None:
    is_number = event_id.isascii() and event_id.isdigit()
    return int(event_id) if is_number and len(event_id) <= MAX_ID_DIGITS else None
