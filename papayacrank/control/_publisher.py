"""Replication of the feed to entry processes."""

from papayacrank.kernel import Send
from papayacrank.messages import FeedSnapshot, FeedUpdate
from papayacrank.state import StateMachine

from ._leases import EntryLease

# Time after which a push counts as lost if the receiver still reports an older version.
PUSH_RETRY_MS = 300


class FeedPublisher:
    """Sends each entry process the changes that its copy of the feed lacks.

    Parameters
    ----------
    machine : StateMachine
        Source of the feed.
    """

    def __init__(self, machine: StateMachine):
        self._machine = machine
        self._updates: dict[int, FeedUpdate | FeedSnapshot] = {}
        self._updates_version = 0

    def push(self, leases: list[EntryLease], now_ms: int) -> list[Send]:
        """Send all processes the changes committed since the last push."""
        version = self._machine.feed_version
        return [
            self._build_push(lease, max(lease.sent_version, lease.feed_version), now_ms)
            for lease in leases
            if lease.sender and max(lease.sent_version, lease.feed_version) < version
        ]

    def resend_missing(self, lease: EntryLease, now_ms: int) -> list[Send]:
        """Send a process the changes that it reports to lack, unless in flight."""
        if lease.feed_version >= self._machine.feed_version:
            return []
        in_flight = lease.sent_version >= self._machine.feed_version
        if in_flight and now_ms - lease.pushed_ms < PUSH_RETRY_MS:
            return []
        return [self._build_push(lease, lease.feed_version, now_ms)]

    def _build_push(self, lease: EntryLease, since: int, now_ms: int) -> Send:
        lease.sent_version = self._machine.feed_version
        lease.pushed_ms = now_ms
        return Send(lease.sender, self._update_since(since))

    def _update_since(self, version: int) -> FeedUpdate | FeedSnapshot:
        """Return the update, cached for all receivers at the same version."""
        if self._updates_version != self._machine.feed_version:
            self._updates.clear()
            self._updates_version = self._machine.feed_version
        if version not in self._updates:
            self._updates[version] = self._machine.feed_since(version)
        return self._updates[version]
