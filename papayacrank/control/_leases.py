"""Leases of the entry processes, as the leader counts them."""

from dataclasses import dataclass

from papayacrank.messages import Heartbeat
from papayacrank.state import InstanceRef, StateMachine

MAX_TRACKED_PROCESSES = 2_000
LEASE_SLACK_MS = 10


@dataclass(slots=True)
class EntryLease:
    """What the leader knows about one entry process.

    Parameters
    ----------
    sender : str
        Link name, to which acknowledgements and feed updates go; empty after the
        lease has expired.
    heard_ms : int
        When its last heartbeat arrived.
    sent_version, pushed_ms : int
        Feed version that was last sent to it, and when.
    expiring : bool
        Whether the expiry of the lease was proposed.
    """

    sender: str
    boot: int
    sequence: int
    heard_ms: int
    feed_version: int
    sent_version: int = 0
    pushed_ms: int = -1_000_000
    expiring: bool = False


class EntryLeases:
    """Leases counted from the arrival of heartbeats, in memory of the leader.

    The holder counts its lease from the sending of the heartbeat, so the leader's
    count, extended by the drift bound, never ends first. A new leader counts all
    leases from its election.

    Parameters
    ----------
    lease_ms : int
        Duration of a lease.
    clock_drift : float
        Bound on the relative error of the rate of any clock.
    """

    def __init__(self, lease_ms: int, clock_drift: float):
        self._lease_ms = int(lease_ms * (1 + clock_drift)) + LEASE_SLACK_MS
        self._leases: dict[str, EntryLease] = {}
        self._restarted_ms = 0

    @property
    def all(self) -> list[EntryLease]:
        """All known processes."""
        return list(self._leases.values())

    def find(self, instance: str, boot: int) -> EntryLease | None:
        """Return the process of that boot."""
        lease = self._leases.get(instance)
        return lease if lease is not None and lease.boot == boot else None

    def restart(self, now_ms: int) -> None:
        """Forget all processes and count all leases from now."""
        self._leases.clear()
        self._restarted_ms = now_ms

    def observe(self, sender: str, heartbeat: Heartbeat, now_ms: int):
        """Extend a lease.

        Returns
        -------
        EntryLease or None
            None if the heartbeat is old, or its lease is about to be expired.
        """
        lease = self._leases.get(heartbeat.instance)
        if lease is None or lease.boot < heartbeat.boot:
            return self._add(sender, heartbeat, now_ms)
        if lease.boot > heartbeat.boot or lease.expiring:
            return None
        if heartbeat.sequence <= lease.sequence:
            return None
        lease.sender = sender
        lease.sequence = heartbeat.sequence
        lease.heard_ms = now_ms
        lease.feed_version = heartbeat.feed_version
        return lease

    def take_expired(self, machine: StateMachine, now_ms: int) -> list[InstanceRef]:
        """Return the registered processes whose lease has ended, and mark them."""
        expired = []
        for row in machine.instances.rows:
            lease = self.find(row.instance, row.boot)
            heard_ms = self._restarted_ms if lease is None else lease.heard_ms
            if now_ms - heard_ms < self._lease_ms or (lease and lease.expiring):
                continue
            self._mark_expiring(row.instance, row.boot, now_ms)
            expired.append(InstanceRef(row.instance, row.boot))
        return expired

    def end(self, instance: str, boot: int) -> None:
        """Take notice that an expiry is applied; a later heartbeat starts anew.

        The sequence number is kept, so that a delayed copy of an earlier heartbeat
        does not bring a dead process back.
        """
        lease = self.find(instance, boot)
        if lease is not None:
            lease.expiring = False
            lease.sender = ""

    def _add(self, sender: str, heartbeat: Heartbeat, now_ms: int):
        self._drop_silent(now_ms)
        if len(self._leases) >= MAX_TRACKED_PROCESSES:
            return None
        lease = EntryLease(
            sender,
            heartbeat.boot,
            heartbeat.sequence,
            now_ms,
            heartbeat.feed_version,
        )
        self._leases[heartbeat.instance] = lease
        return lease

    def _drop_silent(self, now_ms: int) -> None:
        """Make room for new processes by dropping long silent ones."""
        if len(self._leases) < MAX_TRACKED_PROCESSES:
            return
        limit_ms = now_ms - 2 * self._lease_ms
        silent = [k for k, v in self._leases.items() if v.heard_ms < limit_ms]
        for name in silent:
            del self._leases[name]

    def _mark_expiring(self, instance: str, boot: int, now_ms: int) -> None:
        lease = self.find(instance, boot)
        if lease is None:
            lease = EntryLease("", boot, 0, now_ms, 0)
            self._leases[instance] = lease
        lease.expiring = True
