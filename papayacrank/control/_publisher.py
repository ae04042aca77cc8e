"""Replication of the feed to entry processes."""

from papayacrank.kernel import Send
from papayacrank.messages import (
    MIN_BATCH_BYTES,
    FeedBatch,
    FeedSnapshot,
    FeedUpdate,
    compress_feed,
    encode_feed,
)
from papayacrank.state import StateMachine

from ._leases import EntryLease
from ._transfer_budget import TransferBudget

# Rate of messages to all processes together. It sets how often each of them is sent
# changes; changes in between are sent together.
PUSHES_PER_MS = 2
# Time after which a push counts as lost if the receiver still reports an older version,
# and the transfer rate that is assumed for the push itself: half of 5 Mbit/s.
PUSH_RETRY_MS = 300
SLOWEST_BYTES_PER_MS = 312


class FeedPublisher:
    """Sends each entry process the changes that its copy of the feed lacks.

    All processes that lack changes wait in one queue, which is served at a limited
    rate. A change of the whole fleet would otherwise occupy the link of the leader for
    longer than its followers wait for a heartbeat. A process that waits gets all
    changes committed meanwhile in one message.

    Parameters
    ----------
    machine : StateMachine
        Source of the feed.
    bytes_per_s : int
        Highest rate in bytes per second.
    """

    def __init__(self, machine: StateMachine, bytes_per_s: int):
        self._machine = machine
        self._budget = TransferBudget(bytes_per_s)
        # Processes that lack changes, by link name, in the order of service.
        self._waiting: dict[str, EntryLease] = {}
        self._encoded: dict[
            tuple[int, bool], tuple[FeedUpdate | FeedSnapshot | FeedBatch, int]
        ] = {}
        self._encoded_version = 0
        self._interval_ms = 0

    def reset(self) -> None:
        """Forget all processes after an election."""
        self._waiting.clear()

    def push(self, leases: list[EntryLease], now_ms: int) -> list[Send]:
        """Send all processes the changes committed since the last push."""
        self._interval_ms = len(leases) // PUSHES_PER_MS
        for lease in leases:
            self._enqueue(lease)
        return self.poll(now_ms)

    def resend_missing(self, lease: EntryLease, now_ms: int) -> list[Send]:
        """Send a process the changes that it reports to lack, unless in flight."""
        if lease.feed_version >= lease.sent_version:
            lease.unconfirmed_bytes = 0
        elif now_ms >= lease.unconfirmed_since_ms + _retry_delay_ms(lease):
            lease.sent_version = lease.feed_version
            lease.unconfirmed_bytes = 0
        self._enqueue(lease)
        return self.poll(now_ms)

    def poll(self, now_ms: int) -> list[Send]:
        """Return the messages that may be sent now."""
        sends = []
        for name, lease in list(self._waiting.items()):
            if not self._budget.is_available(now_ms):
                break
            if not lease.sender or not self._lacks_changes(lease):
                del self._waiting[name]
            elif now_ms >= lease.pushed_ms + self._interval_ms:
                del self._waiting[name]
                sends.append(self._build_push(lease, now_ms))
        return sends

    def next_ms(self, now_ms: int) -> int | None:
        """Return when `poll` may send again, None if no process is waiting."""
        if not self._waiting:
            return None
        pushed_ms = min(lease.pushed_ms for lease in self._waiting.values())
        return max(self._budget.available_at_ms(now_ms), pushed_ms + self._interval_ms)

    def _enqueue(self, lease: EntryLease) -> None:
        if lease.sender and self._lacks_changes(lease):
            self._waiting[lease.sender] = lease

    def _lacks_changes(self, lease: EntryLease) -> bool:
        return _known_version(lease) < self._machine.feed_version

    def _build_push(self, lease: EntryLease, now_ms: int) -> Send:
        message, size = self._encode_since(_known_version(lease), lease.accepts_batches)
        if lease.unconfirmed_bytes == 0:
            lease.unconfirmed_since_ms = now_ms
        lease.unconfirmed_bytes += size
        lease.sent_version = self._machine.feed_version
        lease.pushed_ms = now_ms
        self._budget.spend(size)
        return Send(lease.sender, message)

    def _encode_since(
        self, version: int, accepts_batches: bool
    ) -> tuple[FeedUpdate | FeedSnapshot | FeedBatch, int]:
        """Return the changes and their size, cached for receivers at this version."""
        if self._encoded_version != self._machine.feed_version:
            self._encoded.clear()
            self._encoded_version = self._machine.feed_version
        key = (version, accepts_batches)
        if key not in self._encoded:
            message = self._machine.feed_since(version)
            encoded = encode_feed(message)
            if accepts_batches and len(encoded) >= MIN_BATCH_BYTES:
                batch = compress_feed(encoded)
                self._encoded[key] = (batch, len(batch.data))
            else:
                self._encoded[key] = (message, len(encoded))
        return self._encoded[key]


def _known_version(lease: EntryLease) -> int:
    """Return the version that a process has or will have received."""
    return max(lease.sent_version, lease.feed_version)


def _retry_delay_ms(lease: EntryLease) -> int:
    return PUSH_RETRY_MS + lease.unconfirmed_bytes // SLOWEST_BYTES_PER_MS
