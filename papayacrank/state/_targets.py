"""Table of the targets that the platform publishes."""

import msgspec

from papayacrank.messages import ObserveTargets, TargetStatus

from ._base import Table
from ._limits import MAX_TARGETS


class TargetsDump(msgspec.Struct):
    """Snapshot of `TargetTable`."""

    targets: list[TargetStatus]


class TargetTable(Table):
    """Latest list of targets that the platform has published."""

    def __init__(self):
        self._targets: list[TargetStatus] = []

    @property
    def targets(self) -> list[TargetStatus]:
        """Targets sorted by name."""
        return list(self._targets)

    def observe(self, command: ObserveTargets) -> bool:
        """Replace the list, up to `MAX_TARGETS`; return whether it changed."""
        by_name = {item.target: item for item in command.targets}
        targets = [by_name[name] for name in sorted(by_name)][:MAX_TARGETS]
        if targets == self._targets:
            return False
        self._targets = targets
        return True

    def dump(self) -> TargetsDump:
        """Return the snapshot."""
        return TargetsDump(self._targets)

    def load(self, dumped: TargetsDump) -> None:
        """Restore a snapshot."""
        self._targets = list(dumped.targets)
