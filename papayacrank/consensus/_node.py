"""Raft state machine of a member of the replicated log."""

from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

from expression import Ok, Result

from papayacrank.kernel import Failure

from ._core import ELECTION_TIMER, HEARTBEAT_TIMER, QUERY_TIMER, Role
from ._election import Election
from ._formats import UNKNOWN_FORMAT
from ._member_changes import MemberChange, refuse
from ._membership import MembershipControl
from ._messages import (
    KIND_DATA,
    AppendReply,
    AppendRequest,
    Entry,
    JoinRequest,
    Member,
    SaveSnapshot,
    Snapshot,
    SnapshotChunk,
    StatusQuery,
    StatusReply,
    StoreState,
    VoteReply,
    VoteRequest,
)
from ._progress import NEVER_MS
from ._recovery import Recovery
from ._replication import Replication
from ._settings import RaftSettings

MAX_ENTRY_BYTES = 1024 * 1024
ENTRY_TOO_LARGE = "too_large"
MAX_UNCOMMITTED_ENTRIES = 4_096
MAX_LOG_BYTES_BEFORE_SNAPSHOT = 16 * 1024 * 1024
MAX_LOG_BYTES = 48 * 1024 * 1024
MAX_TRAILING_BYTES = 4 * 1024 * 1024


class RaftNode(Election, Replication, MembershipControl, Recovery):
    """Member of a Raft group.

    The node performs no I/O and reads no clock. Each input method returns the effects
    to run, in order. The docstring of the package shows how a process runs them.

    Parameters
    ----------
    settings : RaftSettings
        Settings of this member.
    store_state : StoreState
        Result of `LogStore.load`.
    random_state : random.Random
        Source of timeouts and identifiers.
    """

    def __init__(
        self, settings: RaftSettings, store_state: StoreState, random_state: Random
    ):
        super().__init__(settings, store_state, random_state)
        self._pending_learners: dict[str, Member] = {}

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of its term, with or without a lease."""
        return self._role is Role.LEADER

    @property
    def leader(self) -> str:
        """Name of the leader of the current term; empty if unknown.

        For a process outside the group, this is the leader reported by members.
        """
        if not self._leader and not self._is_member:
            return self._known_leader
        return self._leader

    @property
    def term(self) -> int:
        """Current term."""
        return self._term

    @property
    def identity(self) -> str:
        """Identity of this member's data folder."""
        return self._identity

    @property
    def commit_index(self) -> int:
        """Last index known to be committed."""
        return self._commit_index

    @property
    def members(self) -> tuple[Member, ...]:
        """Members in the newest membership of the log, committed or not."""
        return self._members

    @property
    def electorates(self) -> tuple[list[Member], ...]:
        """Sets of voters in the newest membership, each of which must agree."""
        return self._log.membership.electorates

    @property
    def wants_snapshot(self) -> bool:
        """Whether `compact` should be called with the state at `commit_index`."""
        entries = self._commit_index - self._log.snapshot_index
        large = self._log.bytes_since_snapshot >= MAX_LOG_BYTES_BEFORE_SNAPSHOT
        return entries >= self._settings.snapshot_every_entries or (
            large and entries > 0
        )

    def has_lease(self, now_ms: int) -> bool:
        """Whether this member may serve reads.

        Parameters
        ----------
        now_ms : int
            Current time on the monotonic clock that all inputs use, in milliseconds.

        Returns
        -------
        bool
            True only while no other member can be elected and an entry of the current
            term is committed.
        """
        self._now_ms = max(self._now_ms, now_ms)
        return self._has_committed_in_term and self._holds_lease()

    def start(self, now_ms: int) -> list[Any]:
        """Start the member; call this once, before any other input method.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list
            Effects.
        """
        self._now_ms = now_ms
        # Before the restart, this member may have acknowledged a heartbeat. A vote
        # right after the restart could break the lease that relies on it.
        self._last_leader_contact_ms = now_ms
        self._reset_election_timeout()
        self._set_timer(ELECTION_TIMER, self._election_deadline_ms)
        self._start_recovery()
        return self._take_effects()

    def receive(self, sender: str, message: Any, now_ms: int) -> list[Any]:
        """Handle a message of `CONSENSUS_MESSAGES`.

        Parameters
        ----------
        sender : str
            Name of the sending process.
        message : Any
            Received message; messages of another group are ignored.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list
            Effects.
        """
        self._now_ms = max(self._now_ms, now_ms)
        match message:
            case StatusQuery():
                self._on_status_query(sender, message)
            case StatusReply():
                self._on_status_reply(sender, message)
            case _ if not self._group:
                self._on_unknown_group(sender)
            case _ if message.group == self._group:
                self._receive_in_group(sender, message)
        return self._take_effects()

    def _receive_in_group(self, sender: str, message: Any) -> None:
        match message:
            case AppendRequest():
                self._on_append_request(sender, message)
            case AppendReply():
                self._on_append_reply(sender, message)
            case VoteRequest():
                self._on_vote_request(sender, message)
            case VoteReply():
                self._on_vote_reply(sender, message)
            case SnapshotChunk():
                self._on_snapshot_chunk(sender, message)
            case JoinRequest():
                self._on_join_request(sender, message)

    def add_peers(self, names: Iterable[str], now_ms: int) -> list[Any]:
        """Query further processes for the group, for example after new settings.

        Parameters
        ----------
        names : iterable of str
            Names of processes that may belong to the group.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list
            Effects.
        """
        self._now_ms = max(self._now_ms, now_ms)
        self._discover_peers(names)
        return self._take_effects()

    def tick(self, timer_name: str, now_ms: int) -> list[Any]:
        """Handle a timer that fired.

        Parameters
        ----------
        timer_name : str
            Name from `SetTimer`; unknown names are ignored.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list
            Effects.
        """
        self._now_ms = max(self._now_ms, now_ms)
        if timer_name == ELECTION_TIMER:
            self._on_election_timer()
        elif timer_name == HEARTBEAT_TIMER:
            self._on_heartbeat_timer()
        elif timer_name == QUERY_TIMER:
            self._on_query_timer()
        return self._take_effects()

    def persisted(self, token: int, now_ms: int) -> list[Any]:
        """Handle the completion of a `Persist` effect.

        Parameters
        ----------
        token : int
            Token of the effect; effects with lower tokens count as completed, too.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list
            Effects.
        """
        self._now_ms = max(self._now_ms, now_ms)
        self._on_synced(token)
        return self._take_effects()

    def propose(self, data: bytes, now_ms: int) -> Result[int, Failure]:
        """Append an entry to the log; `flush` replicates and persists it.

        Parameters
        ----------
        data : bytes
            Payload for the state machine.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        Result
            Log index, or a failure with the verdict "not run" and the code
            ``not_leader``, ``too_large`` or ``overloaded``.
        """
        self._now_ms = max(self._now_ms, now_ms)
        if self._role is not Role.LEADER:
            return refuse("not_leader", f"the leader is {self._leader!r}", 503)
        if len(data) > MAX_ENTRY_BYTES:
            return refuse(ENTRY_TOO_LARGE, f"the limit is {MAX_ENTRY_BYTES} bytes", 413)
        stable_index = min(self._commit_index, self._durable_index)
        if self._log.last_index - stable_index >= MAX_UNCOMMITTED_ENTRIES:
            return refuse("overloaded", "too many entries wait for a sync", 503)
        if self._log.bytes_since_snapshot >= MAX_LOG_BYTES:
            return refuse("overloaded", "the log waits for a snapshot", 503)
        index = self._log.last_index + 1
        self._append_own_entry(Entry(index, self._term, KIND_DATA, data))
        return Ok(index)

    def change_member(self, change: MemberChange, now_ms: int) -> Result[int, Failure]:
        """Append a membership change to the log; `flush` replicates and persists it.

        Parameters
        ----------
        change : MemberChange
            `AddLearner`, `Promote`, `Remove` or `Replace`. For `Replace`, the leader
            appends the promotion itself once the removal is committed.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        Result
            Log index, or a failure with the verdict "not run".
        """
        self._now_ms = max(self._now_ms, now_ms)
        return self._change_member(change)

    @property
    def stated_formats(self) -> dict[str, int]:
        """Highest formats that the members read, by identity, without unknown ones."""
        found = {m.identity: self._formats.find(m.identity) for m in self._members}
        return {name: fmt for name, fmt in found.items() if fmt != UNKNOWN_FORMAT}

    def learn_formats(self, recorded: Mapping[str, int]) -> None:
        """Use formats recorded in the state for members that have stated none."""
        self._formats.learn(recorded)

    def list_not_reading(self, entry_format: int, now_ms: int) -> list[str]:
        """Return the members that are not known to read a format of entries.

        A silent member counts with its last statement until it is removed. For one
        election timeout, a new leader waits for statements to itself, because a member
        may have restarted with another build.

        Parameters
        ----------
        entry_format : int
            Format of an entry to propose.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list of str
            Names of members, voters and learners.
        """
        self._now_ms = max(self._now_ms, now_ms)
        is_new = (
            self._now_ms - self._leader_since_ms < self._settings.election_timeout_ms
        )
        return [
            member.name
            for member in self._members
            if self._formats.find(member.identity) < entry_format
            or (is_new and self._last_reply_is_missing(member))
        ]

    def require_format(self, entry_format: int) -> None:
        """Refuse to add processes that do not read a format that the log may hold."""
        self._formats.require(entry_format)

    def _last_reply_is_missing(self, member: Member) -> bool:
        return self._acknowledged_sent_ms_of(member) == NEVER_MS

    def resign(self, now_ms: int) -> list[Any]:
        """Give up leadership, and leave the next election to the other members.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list
            Effects.
        """
        self._now_ms = max(self._now_ms, now_ms)
        if self.is_leader:
            self._resign()
        return self._take_effects()

    def flush(self, now_ms: int) -> list[Any]:
        """Replicate and persist all buffered entries as one batch.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list
            Effects.
        """
        self._now_ms = max(self._now_ms, now_ms)
        return self._take_effects()

    def compact(self, index: int, data: bytes, now_ms: int) -> list[Any]:
        """Store a snapshot of the state machine and discard the log before it.

        Parameters
        ----------
        index : int
            Index of the last entry that was applied to the state machine.
        data : bytes
            State of the state machine after that entry.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        list
            Effects.

        Raises
        ------
        ValueError
            If the entry at `index` is not committed.
        """
        self._now_ms = max(self._now_ms, now_ms)
        if index > self._commit_index:
            raise ValueError(
                f"index {index} is above the commit index {self._commit_index}"
            )
        term = self._log.term_at(index)
        if index <= self._log.snapshot_index or term is None:
            return self._take_effects()
        snapshot = Snapshot(index, term, self._log.membership_at(index), data)
        self._records.append(SaveSnapshot(snapshot))
        trailing = self._settings.snapshot_every_entries // 2
        self._log.compact(snapshot, trailing, MAX_TRAILING_BYTES)
        return self._take_effects()

    def _take_effects(self) -> list[Any]:
        if self._role is Role.LEADER:
            self._replicate()
        return super()._take_effects()
