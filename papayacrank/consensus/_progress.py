"""Replication progress of a member, tracked by the leader."""

from collections import deque
from dataclasses import dataclass, field

from ._messages import Entry, Member, Snapshot

MAX_BATCHES_IN_FLIGHT = 8
# A member on a slow link must not make the leader hold much of the log in its queue.
MAX_BYTES_IN_FLIGHT = 512 * 1024
NEVER_MS = -(10**15)


@dataclass
class Progress:
    """Replication progress of a member.

    All times are on the leader's clock, in milliseconds.

    Parameters
    ----------
    member : Member
        Member to which the log is replicated.
    next_index : int
        Index of the next entry to send.
    last_reply_ms : int
        Time of the last reply.
    match_index : int
        Last index that the member acknowledged as equal to the leader's log and synced.
    probing : bool
        Whether the common prefix of the logs is unknown or the member does not reply.
        At most one message per heartbeat interval is then sent, without entries.
    acknowledged_sent_ms : int
        Send time of the newest request that was replied to. The lease is measured from
        this time.
    last_progress_ms : int
        Time at which `match_index` last increased or sending resumed.
    records_sent_ms : int
        Time at which peer records were last sent.
    in_flight : deque of (int, int)
        Last index and size in bytes of each batch that is not acknowledged yet.
    resends : int
        Number of resends since `match_index` last increased. Each one doubles the
        delay before the next.
    snapshot : Snapshot or None
        Snapshot in transfer.
    snapshot_offset : int
        Offset of the next chunk of the snapshot, in bytes.
    """

    member: Member
    next_index: int
    last_reply_ms: int
    match_index: int = 0
    probing: bool = True
    acknowledged_sent_ms: int = NEVER_MS
    last_progress_ms: int = NEVER_MS
    records_sent_ms: int = NEVER_MS
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)
    resends: int = 0
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0

    @property
    def may_send_entries(self) -> bool:
        """Whether another batch of entries may be sent now."""
        return (
            not self.probing
            and self.snapshot is None
            and len(self.in_flight) < MAX_BATCHES_IN_FLIGHT
            and sum(size for _, size in self.in_flight) < MAX_BYTES_IN_FLIGHT
        )

    def on_sent(self, entries: tuple[Entry, ...], now_ms: int) -> None:
        """Record that a batch of entries is sent."""
        if not self.in_flight:
            self.last_progress_ms = now_ms
        last_index = entries[-1].index
        self.in_flight.append((last_index, sum(len(entry.data) for entry in entries)))
        self.next_index = last_index + 1

    def accept(self, match_index: int, now_ms: int) -> None:
        """Record that the log was acknowledged up to `match_index`."""
        if match_index > self.match_index or self.probing:
            self.last_progress_ms = now_ms
        if match_index > self.match_index:
            self.resends = 0
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight.popleft()

    def probe_from(self, next_index: int) -> None:
        """Resume sending at `next_index` once the member has replied to a probe."""
        self.next_index = max(next_index, self.match_index + 1)
        self.in_flight.clear()
        self.probing = True
