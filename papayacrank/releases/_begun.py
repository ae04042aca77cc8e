"""Streams that an entry process has begun lately, without I/O."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from papayacrank.messages import BegunStream, FleetTarget

# Streams are reported for this time after their first event if their service gets a
# second release, or the leader changes.
BEGUN_KEPT_MS = 60_000
MAX_BEGUN = 8_192
MAX_STREAMS_PER_MESSAGE = 500
# Time after which the view of an instance in step shows a restart of a target: the
# platform's list lags, is read at intervals, and is then sent to the instances.
VIEW_LAG_MS = 2_500


@dataclass(slots=True)
class _Begun:
    """Stream with the time of its first event and its target.

    The release of the stream is empty once it is uncertain.
    """

    begun_ms: int
    stream: BegunStream
    target: tuple[str, int]


class BegunStreams:
    """Recent streams, and those that are to be reported to the leader.

    Streams of a service with one release are not reported, because that release began
    all of them.
    """

    def __init__(self):
        self._recent: deque[_Begun] = deque(maxlen=MAX_BEGUN)
        self._mixed: frozenset[str] = frozenset()
        self._unreported: list[BegunStream] = []

    @property
    def has_unreported(self) -> bool:
        """Whether streams are to be reported."""
        return bool(self._unreported)

    def add(
        self, stream: BegunStream, now_ms: int, target: tuple[str, int] = ("", 0)
    ) -> None:
        """Note a stream whose first event was sent to its caller.

        Parameters
        ----------
        stream : BegunStream
            Stream, with the release that the view shows for its target.
        now_ms : int
            Current time in milliseconds.
        target : (str, int)
            Name and start time of the target in the view.
        """
        while self._recent and now_ms - self._recent[0].begun_ms > BEGUN_KEPT_MS:
            self._recent.popleft()
        self._recent.append(_Begun(now_ms, stream, target))
        if stream.service in self._mixed:
            self._unreported.append(stream)

    def observe(self, targets: Iterable[FleetTarget], confirmed_ms: int) -> None:
        """Apply a view; streams of targets with another release become uncertain.

        A target may restart under its name with another release. A stream that began
        after the last time for which the earlier view is confirmed may be of either.

        Parameters
        ----------
        targets : iterable of FleetTarget
            Targets of the new view.
        confirmed_ms : int
            Time up to which the earlier view showed each restart, in milliseconds.
        """
        shown = {target.name: target for target in targets}
        for begun in reversed(self._recent):
            if begun.begun_ms <= confirmed_ms:
                return
            name, started_ms = begun.target
            target = shown.get(name)
            if target is None or target.born_ms == started_ms:
                continue
            if target.release != begun.stream.release and begun.stream.release:
                begun.stream = msgspec.structs.replace(begun.stream, release="")
                if begun.stream.service in self._mixed:
                    self._unreported.append(begun.stream)

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
        recent = (begun.stream for begun in self._recent)
        self._unreported += [s for s in recent if s.service in services]

    def pop_unreported(self) -> list[list[BegunStream]]:
        """Return the streams to report, in parts of the size of a message."""
        streams, self._unreported = self._unreported, []
        size = MAX_STREAMS_PER_MESSAGE
        return [streams[n : n + size] for n in range(0, len(streams), size)]
