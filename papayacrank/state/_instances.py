"""Live entry processes and the instance states that operators set."""

import msgspec

from papayacrank.messages import (
    UNKNOWN_CAPACITY,
    EntryAddress,
    FailureRecord,
    Heartbeat,
    InstanceCapacity,
    SetInstanceState,
    ShareGrant,
    ShareReport,
)

from ._base import Table, refuse
from ._limits import MAX_INSTANCES

SERVING = "serving"
DRAINING = "draining"
OPERATOR_STATES = (SERVING, DRAINING)


class InstanceRow(msgspec.Struct):
    """A live entry process, whose lease has not expired.

    Attributes
    ----------
    status : str
        Status in the latest heartbeat.
    shares : list of ShareReport
        Latest budget report that the ledger has applied.
    grants : list of ShareGrant
        Total tokens that the ledger has granted to the process.
    capacity : InstanceCapacity
        Resources of the process when it registered.
    """

    instance: str
    boot: int
    failure_domain: str
    address: str
    status: str
    shares: list[ShareReport] = []
    grants: list[ShareGrant] = []
    capacity: InstanceCapacity = UNKNOWN_CAPACITY

    def has_same_feed_entry(self, other: "InstanceRow") -> bool:
        """Return whether the feed entry of both rows is the same."""
        return (self.boot, self.address, self.status, self.failure_domain) == (
            other.boot,
            other.address,
            other.status,
            other.failure_domain,
        )


class InstancesDump(msgspec.Struct):
    """Snapshot of `InstanceTable`."""

    rows: list[InstanceRow]
    draining: list[str]
    last_boots: dict[str, int]


class InstanceTable(Table):
    """Entry processes that hold a lease."""

    def __init__(self):
        self._rows: dict[str, InstanceRow] = {}
        self._draining: set[str] = set()
        # Highest boot number of each instance, so that a delayed heartbeat of an older
        # process does not replace its successor.
        self._last_boots: dict[str, int] = {}

    @property
    def rows(self) -> list[InstanceRow]:
        """Live processes, sorted by instance."""
        return [self._rows[name] for name in sorted(self._rows)]

    @property
    def draining(self) -> list[str]:
        """Instances that operators have set to draining."""
        return sorted(self._draining)

    def find(self, instance: str, boot: int) -> InstanceRow | None:
        """Return the live process with this boot number, None if there is none."""
        row = self._rows.get(instance)
        return row if row is not None and row.boot == boot else None

    def current(self, instance: str) -> InstanceRow | None:
        """Return the live process of an instance, None if there is none."""
        return self._rows.get(instance)

    def find_older_at_address(self, heartbeat: Heartbeat) -> list[InstanceRow]:
        """Return older processes that are registered with the same caller address."""
        return [
            row
            for row in self.rows
            if row.address == heartbeat.address
            and row.instance != heartbeat.instance
            and row.boot < heartbeat.boot
        ]

    def addresses(self) -> list[EntryAddress]:
        """Return the feed entries of the live processes."""
        return [
            EntryAddress(
                row.instance,
                row.boot,
                row.failure_domain,
                row.address,
                DRAINING if row.instance in self._draining else row.status,
                row.capacity,
            )
            for row in self.rows
        ]

    def is_unchanged(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat only renews the lease."""
        row = self.find(heartbeat.instance, heartbeat.boot)
        if row is None:
            return False
        return (row.address, row.status, row.failure_domain, row.shares) == (
            heartbeat.address,
            heartbeat.status,
            heartbeat.failure_domain,
            heartbeat.shares,
        )

    def is_superseded(self, instance: str, boot: int) -> bool:
        """Return whether a newer process of the instance has registered."""
        return boot < self._last_boots.get(instance, boot)

    def register(self, heartbeat: Heartbeat) -> InstanceRow | None:
        """Add a process; None if the table is full or a newer one has registered."""
        if self.is_superseded(heartbeat.instance, heartbeat.boot):
            return None
        known = heartbeat.instance in self._rows
        if not known and len(self._rows) >= MAX_INSTANCES:
            return None
        row = InstanceRow(
            heartbeat.instance,
            heartbeat.boot,
            heartbeat.failure_domain,
            heartbeat.address,
            heartbeat.status,
            capacity=heartbeat.capacity,
        )
        self._rows[heartbeat.instance] = row
        self._record_boot(heartbeat.instance, heartbeat.boot)
        return row

    def remove(self, instance: str, boot: int) -> bool:
        """Remove a process whose lease has expired; return whether it was live."""
        if self.find(instance, boot) is None:
            return False
        del self._rows[instance]
        return True

    def set_state(self, command: SetInstanceState) -> FailureRecord | bool:
        """Set the operator's state for an instance; return whether it changed."""
        if command.state not in OPERATOR_STATES:
            return refuse("invalid_state", f"no such state: {command.state}", 400)
        draining = command.state == DRAINING
        if draining == (command.instance in self._draining):
            return False
        if draining and len(self._draining) >= MAX_INSTANCES:
            return refuse("table_full", "too many draining instances", 503)
        if draining:
            self._draining.add(command.instance)
        else:
            self._draining.discard(command.instance)
        return True

    def dump(self) -> InstancesDump:
        """Return the snapshot."""
        return InstancesDump(self.rows, self.draining, self._last_boots)

    def load(self, dumped: InstancesDump) -> None:
        """Restore a snapshot."""
        self._rows = {row.instance: row for row in dumped.rows}
        self._draining = set(dumped.draining)
        self._last_boots = dict(dumped.last_boots)

    def _record_boot(self, instance: str, boot: int) -> None:
        self._last_boots.pop(instance, None)
        self._last_boots[instance] = boot
        expired = (name for name in self._last_boots if name not in self._rows)
        while len(self._last_boots) > 2 * MAX_INSTANCES:
            del self._last_boots[next(expired)]
            expired = (name for name in self._last_boots if name not in self._rows)
