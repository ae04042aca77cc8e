"""In-memory log since the last compaction."""

import msgspec

from ._messages import KIND_MEMBERSHIP, Entry, Membership, Position, Snapshot

encode_membership = msgspec.msgpack.Encoder().encode
_decode_membership = msgspec.msgpack.Decoder(Membership).decode


class RaftLog:
    """Log entries and the memberships that they define.

    Parameters
    ----------
    snapshot : Snapshot or None
        Newest snapshot; None if there is none.
    entries : tuple of Entry
        Entries after the snapshot, without gaps.
    """

    def __init__(self, snapshot: Snapshot | None, entries: tuple[Entry, ...]):
        self._initialize(snapshot, entries)

    def _initialize(
        self, snapshot: Snapshot | None, entries: tuple[Entry, ...]
    ) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        self._base = Position(0, 0)
        self._memberships = [Membership()]
        if snapshot is not None:
            self._base = Position(snapshot.term, snapshot.index)
            self._memberships = [snapshot.membership]
        self.bytes_since_snapshot = 0
        for entry in entries:
            self._track_entry(entry)

    @property
    def base_index(self) -> int:
        """Index that precedes the first entry in memory."""
        return self._base.index

    @property
    def last(self) -> Position:
        """Position of the last entry."""
        if not self._entries:
            return self._base
        return Position(self._entries[-1].term, self._entries[-1].index)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base.index + len(self._entries)

    @property
    def snapshot_index(self) -> int:
        """Index of the newest snapshot; 0 if there is none."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def membership(self) -> Membership:
        """Newest membership, whether it is committed or not."""
        return self._memberships[-1]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in effect at an index."""
        known = [m for m in self._memberships if m.index <= index]
        return known[-1] if known else self._memberships[0]

    def is_voter_since(self, index: int, identity: str) -> bool:
        """Whether a membership in effect at `index` or later has this voter."""
        first = self.membership_at(index).index
        return any(
            voter.identity == identity
            for membership in self._memberships
            if membership.index >= first
            for voter in membership.voters
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self._base.index:
            return self._base.term
        if self._base.index < index <= self.last_index:
            return self._entries[index - self._base.index - 1].term
        return None

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index in memory with the same term as the one at `index`."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term and index - 1 > self._base.index:
            index -= 1
        return index

    def entry(self, index: int) -> Entry:
        """Return the entry at an index, which must be in memory."""
        return self._entries[index - self._base.index - 1]

    def batch(self, first: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `first` on within both limits, but at least one."""
        start = first - self._base.index - 1
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entry: Entry) -> None:
        """Append the next entry.

        Raises
        ------
        ValueError
            If the index of the entry does not follow the last index.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"entry {entry.index} does not follow last index {self.last_index}"
            )
        self._entries.append(entry)
        self._track_entry(entry)

    def truncate(self, index: int) -> None:
        """Remove all entries above `index`."""
        del self._entries[index - self._base.index :]
        self._memberships = [m for m in self._memberships if m.index <= index]

    def compact(self, snapshot: Snapshot, max_entries: int, max_bytes: int) -> None:
        """Replace the entries before a snapshot, except for some trailing ones.

        Followers that are slightly behind can then catch up from the retained entries
        without a snapshot transfer.
        """
        base_index = self._retained_base_index(snapshot.index, max_entries, max_bytes)
        base_term = self.term_at(base_index)
        membership = self.membership_at(base_index)
        del self._entries[: base_index - self._base.index]
        self._base = Position(base_term, base_index)
        self._memberships = [membership] + [
            m for m in self._memberships if m.index > base_index
        ]
        self.snapshot = snapshot
        after = self._entries[snapshot.index - base_index :]
        self.bytes_since_snapshot = sum(len(entry.data) for entry in after)

    def reset(self, snapshot: Snapshot | None) -> None:
        """Discard all entries and start from a snapshot, or from an empty log."""
        self._initialize(snapshot, ())

    def _retained_base_index(self, index: int, max_entries: int, max_bytes: int) -> int:
        size = 0
        kept = 0
        while index > self._base.index and kept < max_entries:
            size += len(self.entry(index).data)
            if size > max_bytes:
                break
            index -= 1
            kept += 1
        return index

    def _track_entry(self, entry: Entry) -> None:
        self.bytes_since_snapshot += len(entry.data)
        if entry.kind == KIND_MEMBERSHIP:
            membership = _decode_membership(entry.data)
            self._memberships.append(Membership(entry.index, membership.members))
