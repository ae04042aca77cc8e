"""Log entries, memberships, durable records and messages between members."""

from base64 import urlsafe_b64encode
from collections.abc import Callable
from typing import NamedTuple

import msgspec

KIND_NO_OP = 0
KIND_DATA = 1
KIND_MEMBERSHIP = 2


IDENTITY_BYTES = 6


def encode_identity(random_bytes: bytes) -> str:
    """Return the text form of an identity.

    It is kept short, because every heartbeat contains it.
    """
    return urlsafe_b64encode(random_bytes).decode().rstrip("=")


class Position(NamedTuple):
    """Position in a log, ordered by term and then by index."""

    term: int
    index: int


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Entry of the replicated log.

    Attributes
    ----------
    index, term : int
        Position in the log.
    kind : int
        `KIND_NO_OP`, `KIND_DATA` or `KIND_MEMBERSHIP`.
    data : bytes
        Payload for the state machine, or an encoded `Membership`.
    """

    index: int
    term: int
    kind: int
    data: bytes = b""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Member of the group.

    Attributes
    ----------
    name : str
        Name of the process; it does not change with a new data folder.
    identity : str
        Random identifier of the data folder.
    failure_domain : str
        Failure domain of the instance.
    voter : bool
        False for a learner, which receives the log but has no vote.
    volatile : bool
        Whether the data folder is lost when the process ends.
    joining, leaving : bool
        Whether the voter is the incoming or the outgoing one of an exchange that is in
        progress.
    """

    name: str
    identity: str
    failure_domain: str
    voter: bool
    volatile: bool = False
    joining: bool = False
    leaving: bool = False


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Members of the group, in effect from a log index on.

    While a voter is exchanged for another one, elections and commits need a majority of
    the voters before the exchange as well as of those after it (joint consensus).
    """

    index: int = 0
    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> list[Member]:
        """Members that have a vote."""
        return [member for member in self.members if member.voter]

    @property
    def is_joint(self) -> bool:
        """Whether an exchange of a voter is in progress."""
        return any(member.joining or member.leaving for member in self.members)

    @property
    def electorates(self) -> tuple[list[Member], ...]:
        """Sets of voters of which a majority each is needed."""
        voters = self.voters
        if not self.is_joint:
            return (voters,)
        before = [voter for voter in voters if not voter.joining]
        return before, self.voters_after_exchange

    @property
    def voters_after_exchange(self) -> list[Member]:
        """Voters once the exchange in progress is complete."""
        return [voter for voter in self.voters if not voter.leaving]

    def has_majority(self, is_counted: Callable[[Member], bool]) -> bool:
        """Whether the counted voters are a majority of each electorate."""
        return all(
            sum(map(is_counted, voters)) > len(voters) // 2
            for voters in self.electorates
        )


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded state of the state machine after the entry at `index`."""

    index: int
    term: int
    membership: Membership
    data: bytes


class HardState(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """Durable record of the current term, vote and group.

    Attributes
    ----------
    term : int
        Current term.
    voted_for : str
        Identity that received this member's vote in the term; empty if none did.
    group : str
        Random identifier of the group; empty while the member has no group.
    """

    term: int = 0
    voted_for: str = ""
    group: str = ""


class AppendEntry(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """Durable record of an entry; replaces all stored entries from its index on."""

    entry: Entry


class TruncateSuffix(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """Durable record that removes all entries with an index above `index`."""

    index: int


class SaveSnapshot(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """Durable record of a snapshot; removes the log before it.

    Attributes
    ----------
    snapshot : Snapshot
        Snapshot to store.
    discard_log : bool
        Whether to remove the entries after the snapshot, too, because they conflict
        with it.
    """

    snapshot: Snapshot
    discard_log: bool = False


class ChangeIdentity(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """Durable record that discards all earlier content and sets a new identity."""

    identity: str


Record = HardState | AppendEntry | TruncateSuffix | SaveSnapshot | ChangeIdentity


class StoreState(msgspec.Struct, frozen=True):
    """Durable state of a member, as loaded when the process starts.

    Attributes
    ----------
    identity : str
        Identity of the data folder.
    hard_state : HardState
        Latest term, vote and group.
    snapshot : Snapshot or None
        Newest snapshot; None if there is none.
    entries : tuple of Entry
        Entries after the snapshot, without gaps.
    """

    identity: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


# Field names are short on the wire, because heartbeats dominate the idle traffic.
_WIRE_NAMES = {
    "group": "g",
    "term": "t",
    "identity": "i",
    "recipient": "r",
    "previous_index": "p",
    "previous_term": "q",
    "commit_index": "c",
    "sent_ms": "s",
    "entries": "e",
    "records": "k",
    "accepted": "a",
    "match_index": "m",
    "snapshot_offset": "o",
    "entry_format": "f",
}


class _Message(msgspec.Struct, frozen=True, rename=_WIRE_NAMES.get, omit_defaults=True):
    """Base class of the messages between members."""


class VoteRequest(_Message, frozen=True, tag="rv"):
    """Request for a vote, or for a pre-vote if `pre_vote` is set.

    Attributes
    ----------
    term : int
        Term of the election.
    identity : str
        Identity of the candidate.
    recipient : str
        Identity of the intended voter; a process with another identity ignores the
        request.
    last_index, last_term : int
        Position of the last entry in the candidate's log.
    pre_vote : bool
        Whether the request only asks if a vote would be granted.
    """

    group: str
    term: int
    identity: str
    recipient: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(_Message, frozen=True, tag="rw"):
    """Reply to a `VoteRequest`.

    Attributes
    ----------
    term : int
        Term of the request if the vote is granted, otherwise the voter's term.
    identity : str
        Identity of the voter.
    """

    group: str
    term: int
    identity: str
    pre_vote: bool
    granted: bool


class PeerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Highest term and match index that a member has acknowledged."""

    identity: str
    term: int
    match_index: int


class AppendRequest(_Message, frozen=True, tag="ra"):
    """Entries for a follower; a heartbeat if there are none.

    Attributes
    ----------
    identity : str
        Identity of the leader.
    recipient : str
        Identity of the follower.
    previous_index, previous_term : int
        Position of the entry that precedes `entries`.
    commit_index : int
        Commit index of the leader.
    sent_ms : int
        Send time on the leader's clock in milliseconds, returned in the reply.
    records : tuple of PeerRecord
        Highest acknowledgement of each member that the leader has on record.
    """

    group: str
    term: int
    identity: str
    recipient: str
    previous_index: int
    previous_term: int
    commit_index: int
    sent_ms: int
    entries: tuple[Entry, ...] = ()
    records: tuple[PeerRecord, ...] = ()


class AppendReply(_Message, frozen=True, tag="rb"):
    """Reply to an `AppendRequest` or a `SnapshotChunk`.

    Attributes
    ----------
    match_index : int
        If accepted, the last synced index up to which the log equals the leader's.
        Otherwise the highest index up to which the logs may be equal.
    sent_ms : int
        Send time of the request on the leader's clock, in milliseconds.
    accepted : bool
        Whether the log matched the request, or the snapshot is complete.
    snapshot_offset : int
        Number of bytes received of the snapshot in transfer; -1 if there is none.
    entry_format : int
        Highest format of entries that the sender reads.
    """

    group: str
    term: int
    identity: str
    match_index: int
    sent_ms: int
    accepted: bool = True
    snapshot_offset: int = -1
    entry_format: int = 0


class SnapshotChunk(_Message, frozen=True, tag="rs"):
    """Chunk of a snapshot.

    Attributes
    ----------
    sent_ms : int
        Send time on the leader's clock in milliseconds, returned in the reply.
    last_index, last_term : int
        Position of the last entry included in the snapshot.
    membership : Membership
        Membership in effect at that position.
    offset, total : int
        Offset of this chunk and size of the whole snapshot, in bytes.
    checksum : int
        xxh3-64 checksum of the whole snapshot.
    """

    group: str
    term: int
    identity: str
    recipient: str
    sent_ms: int
    last_index: int
    last_term: int
    membership: Membership
    offset: int
    total: int
    checksum: int
    data: bytes


class StatusQuery(_Message, frozen=True, tag="rq"):
    """Status query of a starting member, or of one without contact with a leader.

    Attributes
    ----------
    nonce : int
        Random number, returned in the reply.
    """

    identity: str
    group: str
    failure_domain: str
    nonce: int


class StatusReply(_Message, frozen=True, tag="rp"):
    """Reply to a `StatusQuery` with the state of the group and of the querying member.

    Attributes
    ----------
    group : str
        Identifier of the group; empty while the replying member has no group.
    nonce : int
        Nonce of the query.
    term : int
        Current term of the replying member.
    last_index, last_term : int
        Position of the last entry in its log.
    record : PeerRecord
        Highest acknowledgement of the querying identity that it has on record.
    leader : str
        Name of the leader; empty if unknown.
    membership : Membership
        Newest membership in its log.
    volatile : bool
        Whether its data folder is lost when the process ends.
    known_peers : tuple of str
        Names of processes that a process outside the group has found in it.
    """

    identity: str
    group: str
    failure_domain: str
    nonce: int
    term: int
    last_index: int
    last_term: int
    record: PeerRecord
    leader: str
    membership: Membership
    volatile: bool = False
    known_peers: tuple[str, ...] = ()


class JoinRequest(_Message, frozen=True, tag="rj"):
    """Request to the leader to add the sender as a learner.

    Attributes
    ----------
    entry_format : int
        Highest format of entries that the sender reads.
    """

    group: str
    identity: str
    failure_domain: str
    volatile: bool = False
    entry_format: int = 0


CONSENSUS_MESSAGES = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    StatusQuery,
    StatusReply,
    JoinRequest,
)
