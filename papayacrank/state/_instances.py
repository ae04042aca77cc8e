"""Live entry processes and what operators want of their instances."""

import msgspec

from papayacrank.messages import (
    EntryAddress,
    FailureRecord,
    Heartbeat,
    SetInstanceState,
    ShareGrant,
    ShareReport,
)

from ._base import Table, refuse
from ._limits import MAX_INSTANCES

SERVING = "serving"
DRAINING = "draining"
WANTED_STATES = (SERVING, DRAINING)


class InstanceRow(msgspec.Struct):
    """A live entry process.

    Attributes
    ----------
    status : str
        Status that the process announces.
    shares : list of ShareReport
        Last report that the ledger has applied.
    grants : list of ShareGrant
        Totals that the ledger has granted to the process.
    """

    instance: str
    boot: int
    failure_domain: str
    address: str
    status: str
    shares: list[ShareReport] = []
    grants: list[ShareGrant] = []

    def has_same_address(self, other: "InstanceRow") -> bool:
        """Return whether both have the same feed form."""
        return (self.boot, self.address, self.status, self.failure_domain) == (
            other.boot,
            other.address,
            other.status,
            other.failure_domain,
        )


class InstancesDump(msgspec.Struct):
    """Snapshot form of `InstanceTable`."""

    rows: list[InstanceRow]
    draining: list[str]
    last_boots: dict[str, int]


class InstanceTable(Table):
    """Entry processes under lease."""

    def __init__(self):
        self._rows: dict[str, InstanceRow] = {}
        self._draining: set[str] = set()
        # Highest boot of each instance, so that a late heartbeat of an older process
        # does not replace its successor.
        self._last_boots: dict[str, int] = {}

    @property
    def rows(self) -> list[InstanceRow]:
        """Live processes, sorted by instance."""
        return [self._rows[name] for name in sorted(self._rows)]

    @property
    def draining(self) -> list[str]:
        """Instances that an operator drains."""
        return sorted(self._draining)

    def find(self, instance: str, boot: int) -> InstanceRow | None:
        """Return the live process of that boot."""
        row = self._rows.get(instance)
        return row if row is not None and row.boot == boot else None

    def current(self, instance: str) -> InstanceRow | None:
        """Return the live process of an instance."""
        return self._rows.get(instance)

    def predecessors(self, heartbeat: Heartbeat) -> list[InstanceRow]:
        """Return earlier processes that had the callers' address of a new one."""
        return [
            row
            for row in self.rows
            if row.address == heartbeat.address
            and row.instance != heartbeat.instance
            and row.boot < heartbeat.boot
        ]

    def addresses(self) -> list[EntryAddress]:
        """Return the feed form of the live processes."""
        return [
            EntryAddress(
                row.instance,
                row.boot,
                row.failure_domain,
                row.address,
                DRAINING if row.instance in self._draining else row.status,
            )
            for row in self.rows
        ]

    def is_known(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat changes nothing but the lease."""
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
        """Return whether a later process of the instance has been seen."""
        return boot < self._last_boots.get(instance, boot)

    def register(self, heartbeat: Heartbeat) -> InstanceRow | None:
        """Add a process; None if the table is full or a later process is known."""
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
        )
        self._rows[heartbeat.instance] = row
        self._remember_boot(heartbeat.instance, heartbeat.boot)
        return row

    def remove(self, instance: str, boot: int) -> bool:
        """Remove a process whose lease has expired."""
        if self.find(instance, boot) is None:
            return False
        del self._rows[instance]
        return True

    def set_state(self, command: SetInstanceState) -> FailureRecord | bool:
        """Set the wanted state; return whether it changed."""
        if command.state not in WANTED_STATES:
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
        """Return the content for a snapshot."""
        return InstancesDump(self.rows, self.draining, self._last_boots)

    def load(self, dumped: InstancesDump) -> None:
        """Restore the content of a snapshot."""
        self._rows = {row.instance: row for row in dumped.rows}
        self._draining = set(dumped.draining)
        self._last_boots = dict(dumped.last_boots)

    def _remember_boot(self, instance: str, boot: int) -> None:
        self._last_boots.pop(instance, None)
        self._last_boots[instance] = boot
        dead = (name for name in self._last_boots if name not in self._rows)
        while len(self._last_boots) > 2 * MAX_INSTANCES:
            del self._last_boots[next(dead)]
            dead = (name for name in self._last_boots if name not in self._rows)
