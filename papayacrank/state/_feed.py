"""Change history of the state that is replicated to entry processes."""

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
    """Snapshot of `FeedHistory`, without the changes themselves."""

    version: int


class FeedHistory(Table):
    """Bounded history of the latest changes of the feed, one version for each."""

    def __init__(self):
        self._version = 0
        self._changes: deque[FeedChange] = deque(maxlen=MAX_FEED_CHANGES)

    @property
    def version(self) -> int:
        """Number of changes since the group was created."""
        return self._version

    def add(self, change: FeedChange) -> None:
        """Append a change and increment the version."""
        self._version += 1
        self._changes.append(change)

    def since(self, version: int) -> FeedUpdate | None:
        """Return the changes after a version, None if they are not stored."""
        count = self._version - version
        if count < 0 or count > len(self._changes):
            return None
        newer = [self._changes[position] for position in range(-count, 0)]
        return FeedUpdate(version, self._version, _remove_overwritten(newer))

    def dump(self) -> FeedDump:
        """Return the snapshot."""
        return FeedDump(self._version)

    def load(self, dumped: FeedDump) -> None:
        """Restore a snapshot."""
        self._version = dumped.version
        self._changes.clear()


def _remove_overwritten(changes: list[FeedChange]) -> list[FeedChange]:
    """Remove changes that a later change of the same key overwrites."""
    last = {_change_key(change): i for i, change in enumerate(changes)}
    return [changes[i] for i in sorted(last.values())]


def _change_key(change: FeedChange) -> str:
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
