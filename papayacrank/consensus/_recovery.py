"""Startup of a member: verification of its data folder, joining and bootstrap.

At startup, the data folder may be empty, intact or an old copy. An old copy can't be
told from an intact folder locally. A member therefore queries the status of the other
members, which includes what it has acknowledged to them, before it votes or
acknowledges entries.
"""

from ._core import QUERY_TIMER
from ._discovery import (
    LEADER_NAME_MAX_AGE_MS,
    MAX_QUERY_INTERVAL_MS,
    Discovery,
    peers_named_in,
)
from ._effects import InstallState
from ._events import (
    GROUP_FOUNDED,
    IDENTITY_DISCARDED,
    START_CHECKED,
    WAITING_TO_FOUND,
)
from ._log import encode_membership
from ._messages import (
    IDENTITY_BYTES,
    KIND_MEMBERSHIP,
    ChangeIdentity,
    Entry,
    JoinRequest,
    Member,
    Membership,
    PeerRecord,
    Position,
    StatusQuery,
    StatusReply,
    encode_identity,
)

# Members that start together are connected about 50 ms after the first query.
INITIAL_QUERY_INTERVAL_MS = 25
# After a common power failure, machines start their processes within about 0.4 s of
# each other.
FREQUENT_QUERY_DURATION_MS = 1_000
WAITING_EVENT_INTERVAL_MS = 5_000


class Recovery(Discovery):
    """Mixin of `RaftNode` that verifies the data folder and joins a group."""

    _prior_lease_possible = True
    _started_ms = 0
    _term_lower_bound = 0
    _query_interval_ms = INITIAL_QUERY_INTERVAL_MS
    _next_waiting_event_ms = 0

    def _start_recovery(self) -> None:
        self._started_ms = self._now_ms
        self._next_waiting_event_ms = self._now_ms + WAITING_EVENT_INTERVAL_MS
        self._status_replies: dict[str, StatusReply] = {}
        self._log_lower_bounds: dict[str, tuple[Position, int]] = {}
        self._leader_named_ms = self._now_ms - LEADER_NAME_MAX_AGE_MS
        self._nonce = self._random.getrandbits(62)
        self._is_verified = False
        self._prior_lease_possible = True
        if not self._protections.identity and self._group:
            self._mark_verified()
        self._query_interval_ms = INITIAL_QUERY_INTERVAL_MS
        self._query_all()
        self._try_finish_verification()
        self._set_timer(QUERY_TIMER, self._now_ms + self._query_interval_ms)

    def _on_query_timer(self) -> None:
        self._forget_silent_leader()
        self._try_finish_verification()
        if self._needs_status_replies():
            self._query_all()
            if self._now_ms - self._started_ms >= FREQUENT_QUERY_DURATION_MS:
                self._query_interval_ms = min(
                    2 * self._query_interval_ms, MAX_QUERY_INTERVAL_MS
                )
            self._request_to_join()
        else:
            self._query_interval_ms = MAX_QUERY_INTERVAL_MS
        if self._is_recorded_leader:
            self._query_former_members()
        self._set_timer(QUERY_TIMER, self._now_ms + self._query_interval_ms)

    def _needs_status_replies(self) -> bool:
        silent_ms = self._now_ms - self._last_leader_contact_ms
        return (
            not self._is_verified
            or self._prior_lease_possible
            or not self._meets_log_lower_bounds(self._log.last)
            or (not self._is_member and not self._is_recorded_leader)
            or (silent_ms > MAX_QUERY_INTERVAL_MS and not self._is_recorded_leader)
        )

    def _on_status_query(self, sender: str, query: StatusQuery) -> None:
        record = self._peer_records.get(query.identity)
        last = self._log.last
        # The group is not disclosed before the bootstrap entry is synced, because a
        # crash before the sync would lose it.
        reply = StatusReply(
            identity=self._identity,
            group="" if self._is_bootstrapping else self._group,
            failure_domain=self._settings.failure_domain,
            nonce=query.nonce,
            term=self._term,
            last_index=last.index,
            last_term=last.term,
            record=record or PeerRecord(query.identity, 0, 0),
            leader=self._leader,
            membership=Membership(0, ())
            if self._is_bootstrapping
            else self._log.membership,
            volatile=self._settings.volatile,
            known_peers=self._peers_to_report(),
        )
        self._send(sender, reply)
        if not self._is_verified and sender not in self._status_replies:
            # The query shows that the sender can now be reached.
            self._query(sender)

    def _on_status_reply(self, sender: str, reply: StatusReply) -> None:
        if reply.nonce != self._nonce:
            return
        if self._group and reply.group and reply.group != self._group:
            return
        self._discover_peers(peers_named_in(reply))
        self._status_replies[sender] = reply
        self._learn_leader(reply)
        if self._is_verified:
            if sender in self._log_lower_bounds:
                self._update_lower_bounds(sender, reply)
            self._clear_prior_lease()
        elif self._is_rolled_back(reply):
            self._discard_identity(f"{sender} recorded a later acknowledgement")
        else:
            self._try_finish_verification()
            self._request_to_join()

    # Lost or rolled-back data folder

    def _is_rolled_back(self, reply: StatusReply) -> bool:
        """Whether the folder is older than an acknowledgement of its identity."""
        known = Position(reply.record.term, reply.record.match_index)
        return reply.record.identity == self._identity and known > Position(
            self._term, self._log.last_index
        )

    def _discard_identity(self, reason: str) -> None:
        old = self._identity
        self._become_follower(self._term, "", reason)
        self._identity = self._new_identity()
        self._formats.rename(self._identity)
        self._log_event(
            IDENTITY_DISCARDED, reason=reason, old=old, identity=self._identity
        )
        self._records = [ChangeIdentity(self._identity)]
        self._deferred = []
        for pending in self._pending:
            pending.deferred.clear()
        self._group = ""
        self._set_term(0)
        self._log.reset(None)
        self._commit_index = 0
        self._lower_durable_index(0)
        if self._is_verified:
            self._effects.append(InstallState(b"", 0))
        self._last_leader_contact_ms = self._now_ms
        self._start_recovery()

    def _new_identity(self) -> str:
        return encode_identity(self._random.randbytes(IDENTITY_BYTES))

    def _try_finish_verification(self) -> None:
        """Finish the verification once enough voters have replied.

        A majority of the voters must have replied under their known identities. The
        remaining voters get half an election timeout to reply.
        """
        if self._is_verified:
            return
        membership = self._newest_membership()
        voters = membership.voters
        if not voters:
            self._bootstrap_group()
            return
        max_wait_ms = self._settings.election_timeout_ms // 2
        timed_out = self._now_ms - self._started_ms >= max_wait_ms
        # A process that replies under another identity has lost its folder, and no
        # reply for the old identity will arrive.
        all_replied = all(self._has_process_replied(member) for member in voters)
        if (all_replied or timed_out) and membership.has_majority(
            self._has_identity_replied
        ):
            self._finish_verification()

    def _has_identity_replied(self, member: Member) -> bool:
        if member.identity == self._identity:
            return True
        reply = self._status_replies.get(member.name)
        return reply is not None and reply.identity == member.identity

    def _has_process_replied(self, member: Member) -> bool:
        """Whether the process with the name of the member has replied."""
        return member.name == self._settings.name or member.name in self._status_replies

    def _reports_no_leader(self, member: Member) -> bool:
        """Whether the process of the member has replied without naming a leader."""
        if member.name == self._settings.name:
            return True
        reply = self._status_replies.get(member.name)
        return reply is not None and not reply.leader

    def _mark_verified(self) -> None:
        """Mark the folder as verified and install its snapshot.

        The snapshot is not installed earlier, so that the content of a discarded old
        copy never reaches the state machine.
        """
        self._is_verified = True
        snapshot = self._log.snapshot
        if snapshot is not None:
            self._effects.append(InstallState(snapshot.data, snapshot.index))

    def _finish_verification(self) -> None:
        self._mark_verified()
        for sender, reply in self._status_replies.items():
            self._update_lower_bounds(sender, reply)
        self._adopt_group()
        self._last_leader_contact_ms = max(
            self._last_leader_contact_ms, self._started_ms
        )
        self._reset_election_timeout()
        self._clear_prior_lease()
        self._log_event(START_CHECKED, identity=self._identity, group=self._group)

    def _clear_prior_lease(self) -> None:
        """Allow votes immediately if no leader can hold a lease from before this start.

        Before the restart, this member may have acknowledged a heartbeat that a
        leader's lease relies on. No such lease exists if all members have replied since
        and none of them names a leader.
        """
        members = self._newest_membership().members
        if not self._prior_lease_possible or not members:
            return
        if all(self._reports_no_leader(member) for member in members):
            self._last_leader_contact_ms = (
                self._now_ms - self._settings.election_timeout_ms
            )
            self._schedule_initial_election()

    def _adopt_group(self) -> None:
        groups = {r.group for r in self._status_replies.values() if self._has_group(r)}
        if not self._group and groups:
            self._group = min(groups)
            self._hard_state_changed = True

    def _update_lower_bounds(self, sender: str, reply: StatusReply) -> None:
        """Require candidates to have a log as long as that of the replying voter.

        If this folder is an old copy and no member has its acknowledgements on record,
        an entry that it helped to commit is still in the log of another voter. A vote
        for a shorter log could lose that entry. Learners are excluded: they can't be
        elected, so that one with the longest log would block every election.
        """
        self._term_lower_bound = max(self._term_lower_bound, reply.term)
        voters = self._newest_membership().voters
        if not any(reply.identity == member.identity for member in voters):
            self._log_lower_bounds.pop(sender, None)
            return
        last = Position(reply.last_term, reply.last_index)
        self._log_lower_bounds[sender] = (last, self._now_ms)

    def _meets_log_lower_bounds(self, last: Position) -> bool:
        """Whether a log that ends at `last` satisfies all lower bounds.

        A bound expires after `voter_silence_ms`, when its voter is replaced. Otherwise
        an entry that only a lost member had would block elections indefinitely.
        """
        if not self._protections.identity or not self._log_lower_bounds:
            return True
        silence_ms = self._settings.voter_silence_ms
        for sender, (bound, last_reply_ms) in list(self._log_lower_bounds.items()):
            expired = self._now_ms - last_reply_ms > silence_ms
            if expired or self._log.last >= bound:
                del self._log_lower_bounds[sender]
        return all(last >= bound for bound, _ in self._log_lower_bounds.values())

    # Joining and bootstrap

    def _request_to_join(self) -> None:
        leader = self._leader or self._known_leader
        if not self._is_verified or not self._group or self._is_member:
            return
        if leader and leader != self._settings.name:
            request = JoinRequest(
                group=self._group,
                identity=self._identity,
                failure_domain=self._settings.failure_domain,
                volatile=self._settings.volatile,
                entry_format=self._settings.entry_format,
            )
            self._send(leader, request)

    def _bootstrap_group(self) -> None:
        """Bootstrap a new group if no member has a log.

        Only the initial voter with the lowest name does so, and only after every
        configured member has replied. Otherwise a second group could be created while
        members with a log are merely unreachable.
        """
        voters = self._settings.initial_voters
        if self._group or not voters:
            return
        expected = {*self._peer_names, *voters} - {self._settings.name}
        missing = sorted(expected - self._status_replies.keys())
        if missing:
            self._log_waiting_to_bootstrap(missing)
            return
        is_bootstrap_member = self._settings.name == min(voters)
        if not is_bootstrap_member or any(
            reply.group or reply.known_peers for reply in self._status_replies.values()
        ):
            return
        self._group = self._new_identity()
        self._set_term(1, self._identity)
        members = tuple(self._initial_member(name) for name in voters)
        payload = encode_membership(Membership(1, members))
        self._append_entry(Entry(1, 1, KIND_MEMBERSHIP, payload))
        self._is_verified = True
        self._log_event(GROUP_FOUNDED, group=self._group, voters=list(voters))
        self._is_bootstrapping = True
        self._after_sync(self._on_bootstrap_synced)

    def _on_bootstrap_synced(self) -> None:
        self._is_bootstrapping = False
        self._become_leader()

    def _initial_member(self, name: str) -> Member:
        if name == self._settings.name:
            own = self._settings
            domain = own.failure_domain
            return Member(name, self._identity, domain, True, own.volatile)
        reply = self._status_replies[name]
        domain = reply.failure_domain
        return Member(name, reply.identity, domain, True, reply.volatile)

    def _log_waiting_to_bootstrap(self, missing: list[str]) -> None:
        if self._now_ms >= self._next_waiting_event_ms:
            self._next_waiting_event_ms = self._now_ms + WAITING_EVENT_INTERVAL_MS
            self._log_event(WAITING_TO_FOUND, missing=missing)
