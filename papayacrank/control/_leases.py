"""Leases of the entry processes, tracked by the leader."""

from dataclasses import dataclass

from papayacrank.messages import Heartbeat
from papayacrank.state import InstanceRef, StateMachine

MAX_TRACKED_PROCESSES = 2_000
LEASE_MARGIN_MS = 10


@dataclass(slots=True)
class EntryLease:
    """Lease and feed position of one entry process.

    Parameters
    ----------
    sender : str
        Link name to which acknowledgements and feed updates are sent; empty after the
        lease has expired.
    last_heartbeat_ms : int
        Time at which the last heartbeat was received.
    feed_version : int
        Version of the feed copy that the last heartbeat reported.
    accepts_batches : bool
        Whether the process understands `FeedBatch`.
    sent_version, pushed_ms : int
        Feed version that was last sent to the process, and the time of sending.
    unconfirmed_bytes, unconfirmed_since_ms : int
        Size of the pushes since the process last reported `sent_version`, and the time
        of the first of them.
    expiring : bool
        Whether the expiry of the lease was proposed to the log.
    """

    sender: str
    boot: int
    sequence: int
    last_heartbeat_ms: int
    feed_version: int
    accepts_batches: bool = False
    sent_version: int = 0
    pushed_ms: int = -1_000_000
    unconfirmed_bytes: int = 0
    unconfirmed_since_ms: int = 0
    expiring: bool = False


class EntryLeases:
    """Leases that start when a heartbeat is received, kept in memory of the leader.

    The holder measures its lease from the time at which it sent the heartbeat, so the
    lease of the leader, extended by the drift bound, never expires first. A new leader
    restarts all leases at its election.

    Parameters
    ----------
    lease_ms : int
        Duration of a lease.
    clock_drift : float
        Bound on the relative drift of any clock.
    """

    def __init__(self, lease_ms: int, clock_drift: float):
        self._lease_ms = int(lease_ms * (1 + clock_drift)) + LEASE_MARGIN_MS
        self._leases: dict[str, EntryLease] = {}
        self._reset_ms = 0

    @property
    def all(self) -> list[EntryLease]:
        """Leases of all known processes."""
        return list(self._leases.values())

    def find(self, instance: str, boot: int) -> EntryLease | None:
        """Return the lease of the process with this boot number."""
        lease = self._leases.get(instance)
        return lease if lease is not None and lease.boot == boot else None

    def reset(self, now_ms: int) -> None:
        """Drop all processes and restart all leases now."""
        self._leases.clear()
        self._reset_ms = now_ms

    def observe(self, sender: str, heartbeat: Heartbeat, now_ms: int):
        """Renew the lease of the process that sent a heartbeat.

        Returns
        -------
        EntryLease or None
            None if the heartbeat is outdated, the expiry of its lease was proposed, or
            too many processes are tracked.
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
        lease.last_heartbeat_ms = now_ms
        lease.feed_version = heartbeat.feed_version
        return lease

    def collect_expired(self, machine: StateMachine, now_ms: int) -> list[InstanceRef]:
        """Return the registered processes whose lease has expired, and mark them."""
        expired = []
        for row in machine.instances.rows:
            lease = self.find(row.instance, row.boot)
            last_heartbeat_ms = (
                self._reset_ms if lease is None else lease.last_heartbeat_ms
            )
            if now_ms - last_heartbeat_ms < self._lease_ms or (
                lease and lease.expiring
            ):
                continue
            self._mark_expiring(row.instance, row.boot, now_ms)
            expired.append(InstanceRef(row.instance, row.boot))
        return expired

    def cancel_expiry(self, instance: str, boot: int) -> None:
        """Take the mark of an expiry back that the log has rejected."""
        lease = self.find(instance, boot)
        if lease is not None:
            lease.expiring = False

    def expire(self, instance: str, boot: int) -> None:
        """Apply a committed expiry; a later heartbeat starts a new lease.

        The sequence number is kept, so that a delayed duplicate of an earlier heartbeat
        does not register a dead process again.
        """
        lease = self.find(instance, boot)
        if lease is not None:
            lease.expiring = False
            lease.sender = ""

    def _add(self, sender: str, heartbeat: Heartbeat, now_ms: int):
        self._evict_inactive(now_ms)
        if len(self._leases) >= MAX_TRACKED_PROCESSES:
            return None
        lease = EntryLease(
            sender,
            heartbeat.boot,
            heartbeat.sequence,
            now_ms,
            heartbeat.feed_version,
            heartbeat.accepts_batches,
        )
        self._leases[heartbeat.instance] = lease
        return lease

    def _evict_inactive(self, now_ms: int) -> None:
        """Remove processes without heartbeats for two leases if the table is full."""
        if len(self._leases) < MAX_TRACKED_PROCESSES:
            return
        limit_ms = now_ms - 2 * self._lease_ms
        inactive = [
            k for k, v in self._leases.items() if v.last_heartbeat_ms < limit_ms
        ]
        for name in inactive:
            del self._leases[name]

    def _mark_expiring(self, instance: str, boot: int, now_ms: int) -> None:
        lease = self.find(instance, boot)
        if lease is None:
            lease = EntryLease("", boot, 0, now_ms, 0)
            self._leases[instance] = lease
        lease.expiring = True
