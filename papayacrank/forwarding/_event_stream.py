"""Byte-preserving splitter for streams of server-sent events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 262_144
# Limit on comments and other blocks without data between two events with data.
MAX_BYTES_WITHOUT_CONTENT = 65_536
ID_FIELD = b"id:"
DATA_FIELD = b"data"


class EventStreamError(ValueError):
    """Raised when a stream exceeds a limit of the splitter."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event including its terminating empty line.

    Parameters
    ----------
    data : bytes
        Raw bytes of the event.
    event_id : str or None
        Value of the ``id`` field, if present.
    has_content : bool
        Whether the event has an id or data. A comment has neither and does not count
        as progress of the stream.
    """

    data: bytes
    event_id: str | None
    has_content: bool = True


class EventSplitter:
    """Incremental splitter that returns the complete events of a stream.

    Only complete events are forwarded, because a target may fail in the middle of an
    event and the stream may then be resumed at another target.
    """

    def __init__(self):
        self._buffer = bytearray()
        self._bytes_without_content = 0

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event in the buffer."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        Raises
        ------
        EventStreamError
            If an event exceeds `MAX_EVENT_BYTES`, or more than
            `MAX_BYTES_WITHOUT_CONTENT` bytes arrive without an id or data. The text
            becomes the code of the failed attempt in logs and metrics.
        """
        self._buffer += data
        events = []
        while (end := self._find_event_end()) > 0:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(self._parse_event(raw))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventStreamError("an event is too large")
        return events

    def _parse_event(self, raw: bytes) -> StreamEvent:
        event_id = _parse_id(raw)
        has_content = event_id is not None or any(
            line.startswith(DATA_FIELD) for line in raw.splitlines()
        )
        event = StreamEvent(raw, event_id, has_content)
        self._bytes_without_content = (
            0 if event.has_content else self._bytes_without_content + len(raw)
        )
        if self._bytes_without_content > MAX_BYTES_WITHOUT_CONTENT:
            raise EventStreamError("too much without an event")
        return event

    def _find_event_end(self) -> int:
        ends = [
            position + len(delimiter)
            for delimiter in (b"\n\n", b"\r\n\r\n")
            if (position := self._buffer.find(delimiter)) >= 0
        ]
        return min(ends, default=0)


def _parse_id(raw: bytes) -> str | None:
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
