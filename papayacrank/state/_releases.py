"""Releases of targets that may have begun streams, and the streams they began."""

from collections import OrderedDict
from collections.abc import Mapping, Sequence

import msgspec

from papayacrank.messages import (
    BegunStream,
    ChangeReleases,
    Done,
    FailureRecord,
    RecordStreams,
)

from ._base import Table, refuse

MAX_SERVICES = 200
MAX_RELEASES_PER_SERVICE = 16
MAX_STREAMS = 100_000


class _Row(msgspec.Struct, array_like=True):
    service: str
    # Empty if reports contradict each other.
    release: str
    until_ms: int


class ReleasesDump(msgspec.Struct):
    """Snapshot of `ReleaseTable`."""

    possible: dict[str, list[str]] = {}
    streams: dict[str, _Row] = {}


class ReleaseTable(Table):
    """Releases by service, and streams of services with several releases.

    A release is possible from before its first stream until no stream that it began can
    be taken up any more. While a service has one possible release, that release began
    all its streams, and no stream is recorded.
    """

    def __init__(self):
        self._possible: dict[str, list[str]] = {}
        self._streams: OrderedDict[str, _Row] = OrderedDict()

    @property
    def possible(self) -> Mapping[str, list[str]]:
        """Possible releases by service."""
        return self._possible

    @property
    def stream_count(self) -> int:
        """Number of recorded streams."""
        return len(self._streams)

    def has_stream(self, stream: str) -> bool:
        """Whether a stream of this name is recorded."""
        return stream in self._streams

    def is_possible(self, service: str, release: str) -> bool:
        """Whether targets of a release may serve a service."""
        return release in self._possible.get(service, ())

    def list_mixed(self) -> list[str]:
        """Return the services with several possible releases."""
        return sorted(s for s, releases in self._possible.items() if len(releases) > 1)

    def find(self, service: str, stream: str) -> str:
        """Return the release that began a stream, empty if that is not known."""
        return self.find_in_services(stream, service, [service])[1]

    def find_in_services(
        self, stream: str, service: str, services: Sequence[str]
    ) -> tuple[str, str]:
        """Find the service and the release that began a stream.

        Parameters
        ----------
        stream : str
            Name of the stream.
        service : str
            Service to assume if no stream of this name is recorded.
        services : sequence of str
            Services that may have begun the stream.

        Returns
        -------
        (str, str)
            Service and release; the release is empty if it is not known.
        """
        row = self._streams.get(stream)
        if row is not None and row.service in services:
            is_possible = row.release in self._possible.get(row.service, ())
            return row.service, row.release if is_possible else ""
        possible = self._possible.get(service, [])
        return service, possible[0] if len(possible) == 1 else ""

    def change(self, command: ChangeReleases) -> Done | FailureRecord:
        """Add possible releases of a service, or remove ended ones."""
        known = self._possible.get(command.service, [])
        possible = [r for r in known if r not in command.ended]
        possible += [r for r in command.added if r not in possible]
        if len(possible) > MAX_RELEASES_PER_SERVICE:
            text = f"a service has at most {MAX_RELEASES_PER_SERVICE} releases"
            return refuse("table_full", text, 503)
        is_new = command.service not in self._possible
        if is_new and len(self._possible) >= MAX_SERVICES:
            return refuse("table_full", f"the limit is {MAX_SERVICES} services", 503)
        if possible:
            self._possible[command.service] = possible
        else:
            self._possible.pop(command.service, None)
        if len(possible) < 2:
            self._drop_streams(command.service)
        return Done()

    def _drop_streams(self, service: str) -> None:
        for stream in [s for s, row in self._streams.items() if row.service == service]:
            del self._streams[stream]

    def record(self, command: RecordStreams, now_ms: int) -> Done:
        """Record which releases began streams, for a limited time."""
        while self._streams:
            oldest = next(iter(self._streams.values()))
            if oldest.until_ms > now_ms and len(self._streams) <= MAX_STREAMS:
                break
            self._streams.popitem(last=False)
        for begun in command.streams:
            self._record(begun, now_ms + command.kept_ms)
        return Done()

    def _record(self, begun: BegunStream, until_ms: int) -> None:
        if len(self._possible.get(begun.service, ())) < 2:
            return
        known = self._streams.get(begun.stream)
        if known is None:
            self._streams[begun.stream] = _Row(begun.service, begun.release, until_ms)
        elif (known.service, known.release) != (begun.service, begun.release):
            known.release = ""

    def dump(self) -> ReleasesDump:
        """Return the snapshot."""
        return ReleasesDump(dict(self._possible), dict(self._streams))

    def load(self, dumped: ReleasesDump) -> None:
        """Restore a snapshot."""
        self._possible = dict(dumped.possible)
        self._streams = OrderedDict(dumped.streams)
