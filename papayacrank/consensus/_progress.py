"""What the leader knows about one other member."""

from collections import deque
from dataclasses import dataclass, field

from ._messages import Member, Snapshot

MAX_BATCHES_IN_FLIGHT = 8
NEVER_MS = -(10**15)


@dataclass
class Progress:
    """Replication state of one member.

    Parameters
    ----------
    member : Member
        Member that is replicated to.
    next_index : int
        Next index to send.
    match_index : int
        Last index acknowledged as equal and synced.
    probing : bool
        The common prefix is unknown or the member does not answer; at most one
        message per heartbeat interval is sent, without entries.
    last_reply_ms : int
        When the last reply arrived.
    acknowledged_sent_ms : int
        Latest time of sending that a reply refers to; the lease counts from it.
    last_progress_ms : int
        When `match_index` last grew, or sending resumed.
    resends : int
        Resends since `match_index` last grew; each doubles the time to the next one.
    """

    member: Member
    next_index: int
    last_reply_ms: int
    match_index: int = 0
    probing: bool = True
    acknowledged_sent_ms: int = NEVER_MS
    last_progress_ms: int = NEVER_MS
    records_sent_ms: int = NEVER_MS
    in_flight: deque[int] = field(default_factory=deque)
    resends: int = 0
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0

    @property
    def may_send_entries(self) -> bool:
        """Whether a further batch may be sent now."""
        return (
            not self.probing
            and self.snapshot is None
            and len(self.in_flight) < MAX_BATCHES_IN_FLIGHT
        )

    def accept(self, match_index: int, now_ms: int) -> None:
        """Note an acknowledged prefix."""
        if match_index > self.match_index or self.probing:
            self.last_progress_ms = now_ms
        if match_index > self.match_index:
            self.resends = 0
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()

    def probe_from(self, next_index: int) -> None:
        """Send again from `next_index` once the member has answered a probe."""
        self.next_index = max(next_index, self.match_index + 1)
        self.in_flight.clear()
        self.probing = True
