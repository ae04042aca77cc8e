"""Splitting of a stream of server-sent events without changing its bytes."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 262_144
# Comments and other blocks without data that may come between two events with data.
MAX_BYTES_WITHOUT_CONTENT = 65_536
ID_FIELD = b"id:"
DATA_FIELD = b"data"


class EventStreamError(ValueError):
    """The bytes are no usable stream of events."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its terminating empty line.

    Parameters
    ----------
    event_id : str or None
        Id of the event, if it states one.
    has_content : bool
        Whether it has an id or data; a comment has neither and shows no progress.
    """

    data: bytes
    event_id: str | None
    has_content: bool = True


class EventSplitter:
    """Returns the complete events of a stream.

    Only complete events are passed on, because a target may stop in the middle of
    one, and the stream may then continue at another target.
    """

    def __init__(self):
        self._buffer = bytearray()
        self._bytes_without_content = 0

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun and is not complete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are now complete.

        Raises
        ------
        EventStreamError
            If an event exceeds the limit, or too much comes without one.
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
