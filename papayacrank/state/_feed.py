"""History of the part of the state that entry processes copy."""

from collections import deque

import msgspec

from papayacrank.messages import (
    ConfigurationChange,
    FeedChange,
    FeedUpdate,
    InstanceChange,
    KeyChange,
    RoutingChange,
    WeightsChange,
)

from ._base import Table
from ._limits import MAX_FEED_CHANGES


class FeedDump(msgspec.Struct):
    """Snapshot form of `FeedHistory`; the changes themselves are not kept."""

    version: int


class FeedHistory(Table):
    """Changes of the feed by version, bounded."""

    def __init__(self):
        self._version = 0
        self._changes: deque[FeedChange] = deque(maxlen=MAX_FEED_CHANGES)

    @property
    def version(self) -> int:
        """Number of changes since the beginning."""
        return self._version

    def add(self, change: FeedChange) -> None:
        """Add a change under the next version."""
        self._version += 1
        self._changes.append(change)

    def since(self, version: int) -> FeedUpdate | None:
        """Return the changes after a version, None if they are not kept."""
        count = self._version - version
        if count < 0 or count > len(self._changes):
            return None
        recent = [self._changes[position] for position in range(-count, 0)]
        return FeedUpdate(version, self._version, _last_of_each(recent))

    def dump(self) -> FeedDump:
        """Return the content for a snapshot."""
        return FeedDump(self._version)

    def load(self, dumped: FeedDump) -> None:
        """Restore the content of a snapshot."""
        self._version = dumped.version
        self._changes.clear()


def _last_of_each(changes: list[FeedChange]) -> list[FeedChange]:
    """Drop changes that a later one of the same kind or key replaces."""
    last = {_subject(change): i for i, change in enumerate(changes)}
    return [changes[i] for i in sorted(last.values())]


def _subject(change: FeedChange) -> str:
    if isinstance(change, KeyChange):
        return f"key {change.key_id}"
    if isinstance(change, ConfigurationChange):
        return "configuration"
    if isinstance(change, InstanceChange):
        return f"instance {change.instance}"
    if isinstance(change, RoutingChange):
        return "routing"
    if isinstance(change, WeightsChange):
        return "weights"
    return "targets"
