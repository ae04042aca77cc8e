"""Streams that an entry process has begun lately, without I/O."""

from collections import deque
from collections.abc import Iterable

from papayacrank.messages import BegunStream

# Streams are reported for this time after their first event if their service gets a
# second release, or the leader changes.
BEGUN_KEPT_MS = 60_000
MAX_BEGUN = 8_192
MAX_STREAMS_PER_MESSAGE = 500


class BegunStreams:
    """Recent streams, and those that are to be reported to the leader.

    Streams of a service with one release are not reported, because that release began
    all of them.
    """

    def __init__(self):
        self._recent: deque[tuple[int, BegunStream]] = deque(maxlen=MAX_BEGUN)
        self._mixed: frozenset[str] = frozenset()
        self._unreported: list[BegunStream] = []

    @property
    def has_unreported(self) -> bool:
        """Whether streams are to be reported."""
        return bool(self._unreported)

    def add(self, stream: BegunStream, now_ms: int) -> None:
        """Note a stream whose first event was sent to its caller."""
        while self._recent and now_ms - self._recent[0][0] > BEGUN_KEPT_MS:
            self._recent.popleft()
        self._recent.append((now_ms, stream))
        if stream.service in self._mixed:
            self._unreported.append(stream)

    def set_mixed(self, services: Iterable[str]) -> None:
        """Set the services with several releases; their streams are reported."""
        mixed = frozenset(services)
        added, self._mixed = mixed - self._mixed, mixed
        self._report_recent(added)

    def report_again(self) -> None:
        """Report the streams of all services with several releases to a new leader."""
        self._unreported.clear()
        self._report_recent(self._mixed)

    def _report_recent(self, services: frozenset[str]) -> None:
        self._unreported += [s for _, s in self._recent if s.service in services]

    def pop_unreported(self) -> list[list[BegunStream]]:
        """Return the streams to report, in parts of the size of a message."""
        streams, self._unreported = self._unreported, []
        size = MAX_STREAMS_PER_MESSAGE
        return [streams[n : n + size] for n in range(0, len(streams), size)]
