"""State, effect queue and persistence shared by the mixins of `RaftNode`."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

from papayacrank.kernel import LogEvent, Send, SetTimer

from ._effects import Committed, EmitEvent, Persist
from ._events import LEADER_STEPPED_DOWN, MEMBERSHIP_CHANGED
from ._formats import EntryFormats
from ._log import RaftLog
from ._messages import (
    KIND_DATA,
    KIND_MEMBERSHIP,
    AppendEntry,
    ChangeIdentity,
    Entry,
    HardState,
    Member,
    PeerRecord,
    Position,
    Record,
    StoreState,
)
from ._progress import Progress
from ._settings import RaftSettings

MAX_PEER_RECORDS = 64
MAX_FORMER_MEMBERS = 8
ELECTION_TIMER = "raft.election"
HEARTBEAT_TIMER = "raft.heartbeat"
QUERY_TIMER = "raft.query"


def _describe_role(member: Member) -> str:
    if member.joining or member.leaving:
        return "joining voter" if member.joining else "leaving voter"
    return "voter" if member.voter else "learner"


class Role(Enum):
    """Role of a member in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class _PendingPersist:
    """Actions deferred until the records of a `Persist` effect are synced.

    Parameters
    ----------
    token : int
        Token of the effect.
    last_index : int
        Last log index that is durable after the sync.
    has_hard_state : bool
        Whether the records include a `HardState`.
    deferred : list of (int, Callable)
        Actions, each with the term in which it was deferred.
    """

    token: int
    last_index: int
    has_hard_state: bool
    deferred: list[tuple[int, Callable[[], None]]]


class NodeCore:
    """Base of the mixins that form `RaftNode`.

    Parameters
    ----------
    settings : RaftSettings
        Settings of this member.
    store_state : StoreState
        State loaded from the log store.
    random_state : random.Random
        Source of election timeouts and identifiers.
    """

    def __init__(
        self, settings: RaftSettings, store_state: StoreState, random_state: Random
    ):
        self._settings = settings
        self._protections = settings.protections
        self._random = random_state
        self._identity = store_state.identity
        self._group = store_state.hard_state.group
        self._term = store_state.hard_state.term
        self._voted_for = store_state.hard_state.voted_for
        self._log = RaftLog(store_state.snapshot, store_state.entries)
        self._commit_index = self._log.snapshot_index
        self._durable_index = self._log.last_index
        self._role = Role.FOLLOWER
        self._leader = ""
        self._votes: set[str] = set()
        self._discovered_peers: dict[str, None] = {}
        self._former_members: dict[str, int] = {}
        self._progress: dict[str, Progress] = {}
        self._peer_records: dict[str, PeerRecord] = {}
        self._formats = EntryFormats(self._identity, settings.entry_format)
        self._term_start_index = 0
        self._last_leader_contact_ms = 0
        self._now_ms = 0
        self._effects: list[Any] = []
        self._records: list[Record] = []
        self._hard_state_changed = False
        self._deferred: list[tuple[int, Callable[[], None]]] = []
        self._pending: deque[_PendingPersist] = deque()
        self._token = 0
        self._received_snapshot_key: tuple[str, int, int, int] | None = None
        self._received_snapshot = bytearray()

    # Members

    @property
    def _members(self) -> tuple[Member, ...]:
        return self._log.membership.members

    @property
    def _voters(self) -> list[Member]:
        return self._log.membership.voters

    @property
    def _is_voter(self) -> bool:
        return any(m.identity == self._identity for m in self._voters)

    def _is_majority(self, identities: set[str]) -> bool:
        membership = self._log.membership
        return membership.has_majority(lambda voter: voter.identity in identities)

    # Effects

    def _send(self, to: str, message: Any) -> None:
        self._effects.append(Send(to, message))

    def _set_timer(self, name: str, at_ms: int) -> None:
        self._effects.append(SetTimer(name, at_ms))

    def _log_event(self, event: LogEvent, **fields: Any) -> None:
        self._effects.append(EmitEvent(event, fields))

    def _after_sync(self, action: Callable[[], None]) -> None:
        """Run `action` after all records so far are synced, if the term is the same."""
        self._deferred.append((self._term, action))

    def _take_effects(self) -> list[Any]:
        """Return and clear the queued effects.

        `Persist` comes last, so that the messages leave before the disk is written.
        """
        while self._deferred and not self._protections.sync_before_reply:
            self._durable_index = self._log.last_index
            self._run_deferred(self._take_deferred())
        changed = self._hard_state_changed
        records = self._take_pending_records()
        if records:
            self._token += 1
            last_index = self._log.last_index
            deferred = self._take_deferred()
            pending = _PendingPersist(self._token, last_index, changed, deferred)
            self._pending.append(pending)
            self._effects.append(Persist(self._token, records))
        elif self._pending:
            self._pending[-1].deferred.extend(self._take_deferred())
        elif self._deferred:
            self._run_deferred(self._take_deferred())
            return self._take_effects()
        effects, self._effects = self._effects, []
        return effects

    def _take_pending_records(self) -> tuple[Record, ...]:
        records, self._records = self._records, []
        if self._hard_state_changed:
            hard_state = HardState(self._term, self._voted_for, self._group)
            first = 1 if records and isinstance(records[0], ChangeIdentity) else 0
            records.insert(first, hard_state)
            self._hard_state_changed = False
        return tuple(records)

    def _take_deferred(self) -> list[tuple[int, Callable[[], None]]]:
        deferred, self._deferred = self._deferred, []
        return deferred

    def _run_deferred(self, deferred: list[tuple[int, Callable[[], None]]]) -> None:
        for term, action in deferred:
            if term == self._term:
                action()

    def _on_synced(self, token: int) -> None:
        while self._pending and self._pending[0].token <= token:
            pending = self._pending.popleft()
            self._durable_index = pending.last_index
            self._run_deferred(pending.deferred)

    @property
    def _is_term_synced(self) -> bool:
        """Whether the current term and vote are durable."""
        waiting = any(pending.has_hard_state for pending in self._pending)
        return not waiting and not self._hard_state_changed

    def _lower_durable_index(self, index: int) -> None:
        """Treat entries above `index` as not durable until they are written again."""
        self._durable_index = min(self._durable_index, index)
        for pending in self._pending:
            pending.last_index = min(pending.last_index, index)

    # Log

    def _append_entry(self, entry: Entry) -> None:
        members_before = self._members
        self._log.append(entry)
        self._records.append(AppendEntry(entry))
        if entry.kind == KIND_MEMBERSHIP:
            members = [
                f"{m.name}/{m.identity}/{_describe_role(m)}" for m in self._members
            ]
            self._log_event(MEMBERSHIP_CHANGED, index=entry.index, members=members)
            self._remember_former_members(members_before)

    def _remember_former_members(self, members_before: tuple[Member, ...]) -> None:
        names = {m.name for m in self._members}
        for name in {m.name for m in members_before} - names:
            self._former_members[name] = self._now_ms
        for name in names & self._former_members.keys():
            del self._former_members[name]
        while len(self._former_members) > MAX_FORMER_MEMBERS:
            del self._former_members[next(iter(self._former_members))]

    def _advance_commit(self, index: int) -> None:
        """Raise the commit index and emit `Committed` for each new data entry."""
        first = self._commit_index + 1
        self._commit_index = max(self._commit_index, index)
        for i in range(first, self._commit_index + 1):
            entry = self._log.entry(i)
            if entry.kind == KIND_DATA:
                self._effects.append(Committed(i, entry.term, entry.data))

    def _update_peer_record(self, record: PeerRecord) -> None:
        """Store the record if its (term, match index) is the highest of its identity.

        Above `MAX_PEER_RECORDS`, the least recently updated records are evicted.
        """
        known = self._peer_records.get(record.identity)
        new = Position(record.term, record.match_index)
        if known is None or new > Position(known.term, known.match_index):
            self._peer_records.pop(record.identity, None)
            self._peer_records[record.identity] = record
        while len(self._peer_records) > MAX_PEER_RECORDS:
            del self._peer_records[next(iter(self._peer_records))]

    # Term and role

    def _set_term(self, term: int, voted_for: str = "") -> None:
        self._term = term
        self._voted_for = voted_for
        self._hard_state_changed = True

    def _become_follower(self, term: int, leader: str, reason: str) -> None:
        if term > self._term:
            self._set_term(term)
        if self._role is Role.LEADER:
            self._log_event(LEADER_STEPPED_DOWN, term=term, reason=reason)
            self._reset_election_timeout()
        self._role = Role.FOLLOWER
        self._leader = leader
        self._votes = set()
        self._progress = {}

    def _reset_election_timeout(self) -> None:
        """Draw a new random election timeout and restart it now."""
        raise NotImplementedError

    def _must_withhold_vote(self) -> bool:
        """Whether a vote could break the lease of a leader.

        True on the leader itself and within one election timeout of the last contact
        with a leader.
        """
        if self._role is Role.LEADER:
            return True
        return (
            self._now_ms - self._last_leader_contact_ms
            < self._settings.election_timeout_ms
        )
