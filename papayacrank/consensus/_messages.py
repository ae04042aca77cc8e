"""Log entries, members, durable records and messages between the members."""

from base64 import urlsafe_b64encode
from typing import NamedTuple

import msgspec

KIND_NO_OP = 0
KIND_DATA = 1
KIND_MEMBERSHIP = 2


IDENTITY_BYTES = 6


def encode_identity(random_bytes: bytes) -> str:
    """Return the text form of an identity; it is part of every heartbeat."""
    return urlsafe_b64encode(random_bytes).decode().rstrip("=")


class Position(NamedTuple):
    """Position in a log; logs are compared by term first."""

    term: int
    index: int


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes
    ----------
    kind : int
        `KIND_NO_OP`, `KIND_DATA` or `KIND_MEMBERSHIP`.
    data : bytes
        Payload of the state machine, or an encoded `Membership`.
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
        Name of the process; a process with a new data folder keeps its name.
    identity : str
        Random identifier of the data folder.
    voter : bool
        False for a learner, which receives the log and has no vote.
    volatile : bool
        Whether the data folder is lost with the process.
    """

    name: str
    identity: str
    failure_domain: str
    voter: bool
    volatile: bool = False


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Members of the group from a log index on."""

    index: int = 0
    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> list[Member]:
        """Members with a vote."""
        return [member for member in self.members if member.voter]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine after the entry at `index`."""

    index: int
    term: int
    membership: Membership
    data: bytes


class HardState(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """Durable record of term, vote and group.

    Attributes
    ----------
    voted_for : str
        Identity that got the vote of this term; empty if none did.
    group : str
        Random identifier of the group; empty while no log is known.
    """

    term: int = 0
    voted_for: str = ""
    group: str = ""


class AppendEntry(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """Durable record of one entry; replaces stored entries from its index on."""

    entry: Entry


class TruncateSuffix(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """Durable record that removes all entries with an index above `index`."""

    index: int


class SaveSnapshot(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """Store a snapshot and remove the log before it.

    Attributes
    ----------
    discard_log : bool
        Also remove the entries after the snapshot, which belong to another history.
    """

    snapshot: Snapshot
    discard_log: bool = False


class ChangeIdentity(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """Leave the whole content of the data folder behind and take a new identity."""

    identity: str


Record = HardState | AppendEntry | TruncateSuffix | SaveSnapshot | ChangeIdentity


class StoreState(msgspec.Struct, frozen=True):
    """Durable state of a member, as loaded at the start of a process.

    Attributes
    ----------
    entries : tuple of Entry
        Entries after the snapshot, without gaps.
    """

    identity: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


# Heartbeats dominate the idle traffic, so that field names are short on the wire.
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
}


class _Message(msgspec.Struct, frozen=True, rename=_WIRE_NAMES.get, omit_defaults=True):
    """Base of the messages between members."""


class VoteRequest(_Message, frozen=True, tag="rv"):
    """Request for a vote, or for the promise of one if `pre_vote` is set.

    Attributes
    ----------
    recipient : str
        Identity of the voter that is meant; others do not answer.
    """

    group: str
    term: int
    identity: str
    recipient: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(_Message, frozen=True, tag="rw"):
    """Answer to a `VoteRequest`.

    Attributes
    ----------
    term : int
        Term of the request if the vote is granted, else the voter's term.
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
    """Entries for a follower; without entries, a heartbeat.

    Attributes
    ----------
    sent_ms : int
        The leader's clock at sending, returned in the reply.
    records : tuple of PeerRecord
        What the members have acknowledged to the leader.
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
    """Answer to an `AppendRequest` or a `SnapshotChunk`.

    Attributes
    ----------
    match_index : int
        If accepted, the last index known to equal the leader's log and synced.
        Otherwise the highest index at which the logs may be equal.
    snapshot_offset : int
        Number of bytes received of the snapshot in transfer; -1 if there is none.
    """

    group: str
    term: int
    identity: str
    match_index: int
    sent_ms: int
    accepted: bool = True
    snapshot_offset: int = -1


class SnapshotChunk(_Message, frozen=True, tag="rs"):
    """Part of a snapshot.

    Attributes
    ----------
    offset, total : int
        Position of this part and size of the whole snapshot, in bytes.
    checksum : int
        xxh3-64 of the whole snapshot.
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
    """Question of a starting member, or of one without contact to a leader."""

    identity: str
    group: str
    failure_domain: str
    nonce: int


class StatusReply(_Message, frozen=True, tag="rp"):
    """What a member knows about the group and about the questioner.

    Attributes
    ----------
    group : str
        Empty while the member knows no log.
    record : PeerRecord
        Highest term and match index that the questioner's identity acknowledged,
        as far as the member knows.
    leader : str
        Name of the leader; empty if unknown.
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


class JoinRequest(_Message, frozen=True, tag="rj"):
    """Request to the leader to add the sender as a learner."""

    group: str
    identity: str
    failure_domain: str
    volatile: bool = False


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
