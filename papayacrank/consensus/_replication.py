"""Log replication, leader lease, check-quorum and snapshot transfer."""

import xxhash

from ._core import HEARTBEAT_TIMER, NodeCore, Role
from ._effects import InstallState
from ._events import LEADER_ELECTED, SNAPSHOT_INSTALLED
from ._messages import (
    KIND_NO_OP,
    AppendReply,
    AppendRequest,
    Entry,
    Member,
    PeerRecord,
    SaveSnapshot,
    Snapshot,
    SnapshotChunk,
)
from ._progress import NEVER_MS, Progress

MAX_BATCH_ENTRIES = 512
MAX_BATCH_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024
# Learners get every fifth heartbeat only, because they neither vote nor count towards
# the lease.
LEARNER_HEARTBEAT_EVERY = 5
RESEND_TIMEOUT_HEARTBEATS = 3
MAX_RESEND_DOUBLINGS = 5
# Peer records are also sent to idle members at this interval. Sending them with every
# heartbeat would more than double the idle traffic.
PEER_RECORDS_INTERVAL_MS = 1_000


class Replication(NodeCore):
    """Mixin of `RaftNode` that replicates and commits entries."""

    _heartbeat_due_ms = 0
    _heartbeat_count = 0
    _quorum_check_start_ms = 0
    _leader_since_ms = 0

    # Leader

    def _become_leader(self) -> None:
        self._role = Role.LEADER
        self._is_initial_election = False
        self._prior_lease_possible = False
        self._leader = self._settings.name
        self._progress = {}
        self._formats.forget()
        self._quorum_check_start_ms = self._now_ms
        self._leader_since_ms = self._now_ms
        self._term_start_index = self._log.last_index + 1
        self._track_members()
        self._log_event(LEADER_ELECTED, term=self._term, index=self._log.last_index)
        if self._protections.no_op:
            index = self._log.last_index + 1
            self._append_own_entry(Entry(index, self._term, KIND_NO_OP))
        self._send_heartbeats()

    def _track_members(self) -> None:
        """Track the progress of exactly the other members in the newest membership."""
        members = {m.identity: m for m in self._members}
        members.pop(self._identity, None)
        for identity in list(self._progress):
            if identity not in members:
                del self._progress[identity]
        for identity, member in members.items():
            progress = self._progress.setdefault(
                identity, Progress(member, self._log.last_index + 1, self._now_ms)
            )
            progress.member = member

    def _append_own_entry(self, entry: Entry) -> None:
        self._append_entry(entry)
        self._after_sync(self._commit_by_majority)

    def _send_heartbeats(self) -> None:
        self._heartbeat_count += 1
        for progress in self._progress.values():
            if self._resend_is_due(progress):
                progress.resends += 1
                progress.probe_from(progress.match_index + 1)
            if progress.member.voter or self._learner_heartbeat_is_due():
                self._send_heartbeat(progress)
        self._heartbeat_due_ms = self._now_ms + self._settings.heartbeat_interval_ms
        self._set_timer(HEARTBEAT_TIMER, self._heartbeat_due_ms)

    def _learner_heartbeat_is_due(self) -> bool:
        return self._heartbeat_count % LEARNER_HEARTBEAT_EVERY == 0

    def _resend_is_due(self, progress: Progress) -> bool:
        limit_ms = RESEND_TIMEOUT_HEARTBEATS * self._settings.heartbeat_interval_ms
        limit_ms *= 2 ** min(progress.resends, MAX_RESEND_DOUBLINGS)
        awaits_reply = bool(progress.in_flight) and not progress.probing
        return awaits_reply and self._now_ms - progress.last_progress_ms > limit_ms

    def _send_heartbeat(self, progress: Progress) -> None:
        if progress.snapshot is not None:
            self._send_append(progress, self._log.base_index, ())
        elif progress.probing:
            self._send_append(progress, progress.next_index - 1, ())
        else:
            self._send_append(progress, progress.match_index, ())

    def _send_append(
        self, progress: Progress, previous_index: int, entries: tuple[Entry, ...]
    ) -> None:
        previous_term = self._log.term_at(previous_index)
        if previous_term is None:
            if previous_index < self._log.base_index:
                self._start_snapshot(progress)
            return
        request = AppendRequest(
            group=self._group,
            term=self._term,
            identity=self._identity,
            recipient=progress.member.identity,
            previous_index=previous_index,
            previous_term=previous_term,
            commit_index=self._commit_index,
            sent_ms=self._now_ms,
            entries=entries,
            records=self._records_for(progress),
        )
        self._send(progress.member.name, request)

    def _records_for(self, progress: Progress) -> tuple[PeerRecord, ...]:
        if self._now_ms - progress.records_sent_ms < PEER_RECORDS_INTERVAL_MS:
            return ()
        progress.records_sent_ms = self._now_ms
        known = (self._peer_records.get(m.identity) for m in self._members)
        return tuple(record for record in known if record is not None)

    def _replicate(self) -> None:
        """Send new entries to every member that is ready to receive them."""
        for progress in self._progress.values():
            self._replicate_to(progress)

    def _replicate_to(self, progress: Progress) -> None:
        while progress.may_send_entries and progress.next_index <= self._log.last_index:
            first = progress.next_index
            if first <= self._log.base_index:
                self._start_snapshot(progress)
                return
            entries = self._log.batch(first, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
            progress.on_sent(entries, self._now_ms)
            self._send_append(progress, first - 1, entries)

    def _on_append_reply(self, sender: str, reply: AppendReply) -> None:
        if reply.term > self._term:
            self._become_follower(reply.term, "", "higher term")
            return
        progress = self._progress.get(reply.identity)
        if reply.term < self._term or self._role is not Role.LEADER or progress is None:
            return
        progress.last_reply_ms = self._now_ms
        self._formats.state(reply.identity, reply.entry_format)
        is_newest = reply.sent_ms > progress.acknowledged_sent_ms
        progress.acknowledged_sent_ms = max(
            progress.acknowledged_sent_ms, reply.sent_ms
        )
        if reply.snapshot_offset >= 0:
            self._on_chunk_reply(progress, reply)
        elif reply.accepted:
            self._on_accepted(progress, reply)
        elif is_newest or progress.probing:  # else a later reply overtook it
            self._on_rejected(progress, reply)

    def _on_accepted(self, progress: Progress, reply: AppendReply) -> None:
        progress.accept(reply.match_index, self._now_ms)
        record = PeerRecord(reply.identity, self._term, progress.match_index)
        self._update_peer_record(record)
        progress.snapshot = None
        self._commit_by_majority()
        self._replicate_to(progress)

    def _on_rejected(self, progress: Progress, reply: AppendReply) -> None:
        if progress.snapshot is not None:
            self._resend_chunk(progress)
        elif reply.match_index < progress.match_index:
            # The member lost acknowledged entries. It detects the loss by its peer
            # record, so the next heartbeat must include the records.
            progress.records_sent_ms = NEVER_MS
            progress.probe_from(progress.match_index + 1)
        elif reply.match_index + 1 < progress.next_index:
            progress.probe_from(reply.match_index + 1)
            self._send_heartbeat(progress)

    def _commit_by_majority(self) -> None:
        if self._role is not Role.LEADER:
            return
        own = PeerRecord(self._identity, self._term, self._durable_index)
        self._update_peer_record(own)
        index = self._quorum_value(self._match_index_of)
        # Entries of earlier terms are committed only along with one of the current
        # term, because they may be overwritten even if a majority stores them.
        is_current_term = self._log.term_at(index) == self._term
        if index > self._commit_index and is_current_term:
            self._advance_commit(index)
            self._on_committed_membership()

    def _match_index_of(self, member: Member) -> int:
        if member.identity == self._identity:
            return self._durable_index
        progress = self._progress.get(member.identity)
        return progress.match_index if progress else 0

    def _quorum_value(self, value_of) -> int:
        """Return the highest value that a majority of each electorate has reached.

        Parameters
        ----------
        value_of : Callable
            Function that returns the value of a voter.
        """
        return min(
            sorted(map(value_of, voters), reverse=True)[len(voters) // 2]
            if voters
            else 0
            for voters in self._log.membership.electorates
        )

    # Lease and check-quorum

    def _lease_end_ms(self) -> int:
        sent_ms = self._quorum_value(self._acknowledged_sent_ms_of)
        return sent_ms + self._settings.safe_lease_ms

    def _holds_lease(self) -> bool:
        if not self._protections.lease:
            return True
        return self._now_ms < self._lease_end_ms()

    def _acknowledged_sent_ms_of(self, member: Member) -> int:
        if member.identity == self._identity:
            return self._now_ms
        progress = self._progress.get(member.identity)
        return progress.acknowledged_sent_ms if progress else NEVER_MS

    @property
    def _has_committed_in_term(self) -> bool:
        """Whether this member leads and an entry of its term is committed."""
        if self._role is not Role.LEADER:
            return False
        if not self._protections.no_op:
            return True
        return self._commit_index >= self._term_start_index

    def _last_reply_ms_of(self, member: Member) -> int:
        if member.identity == self._identity:
            return self._now_ms
        progress = self._progress.get(member.identity)
        last_reply_ms = progress.last_reply_ms if progress else NEVER_MS
        return max(last_reply_ms, self._quorum_check_start_ms)

    def _on_heartbeat_timer(self) -> None:
        if self._role is not Role.LEADER:
            return
        late_ms = self._now_ms - self._heartbeat_due_ms
        if late_ms > self._settings.heartbeat_interval_ms:
            # This process was stalled, and unread replies may be queued, so the
            # check-quorum timeout starts anew.
            self._quorum_check_start_ms = self._now_ms
        last_reply_ms = self._quorum_value(self._last_reply_ms_of)
        silent_ms = self._now_ms - last_reply_ms
        lost_quorum = silent_ms > self._settings.election_timeout_ms
        if lost_quorum and self._protections.check_quorum:
            self._become_follower(self._term, "", "no contact with a majority")
            return
        self._send_heartbeats()
        self._reconcile_members()

    # Follower

    def _on_append_request(self, sender: str, request: AppendRequest) -> None:
        if not self._accept_leader(sender, request):
            return
        for record in request.records:
            self._update_peer_record(record)
        if self._lost_acknowledged_entries(request.records):
            self._discard_identity("the leader recorded a later acknowledgement")
            return
        hint = self._find_conflict_hint(request)
        if hint is not None:
            self._reply(sender, request, False, hint)
            return
        self._append_received_entries(request.entries)
        match = request.previous_index + len(request.entries)
        self._advance_commit(min(request.commit_index, match))
        if not request.entries and self._is_term_synced:
            # If term and vote are durable, a heartbeat is acknowledged without waiting
            # for a sync, so that a slow disk does not make the member look unreachable.
            durable = min(match, self._durable_index)
            self._send(sender, self._append_reply(request, True, durable))
        else:
            self._reply(sender, request, True, match)

    def _accept_leader(
        self, sender: str, request: AppendRequest | SnapshotChunk
    ) -> bool:
        """Accept the sender as the leader of its term and restart the election timeout.

        Returns
        -------
        bool
            False if the request is for another identity or has an old term, or if the
            data folder is not verified yet.
        """
        if request.recipient != self._identity:
            return False
        if request.term < self._term:
            self._reply(sender, request, False, 0)
            return False
        if not self._is_verified:
            return False
        if request.term > self._term or self._role is not Role.FOLLOWER:
            self._become_follower(request.term, sender, "another leader")
        if not self._group:
            self._group = request.group
            self._hard_state_changed = True
        self._leader = sender
        self._prior_lease_possible = False
        self._last_leader_contact_ms = self._now_ms
        self._extend_election_deadline()
        self._update_peer_record(PeerRecord(request.identity, request.term, 0))
        return True

    def _lost_acknowledged_entries(self, records: tuple[PeerRecord, ...]) -> bool:
        return self._protections.identity and any(
            record.identity == self._identity
            and record.term == self._term
            and record.match_index > self._log.last_index
            for record in records
        )

    def _find_conflict_hint(self, request: AppendRequest) -> int | None:
        """Return the highest index that may match, or None if the log matches."""
        index = request.previous_index
        if index > self._log.last_index:
            return self._log.last_index
        if index < self._log.base_index:
            return None
        if self._log.term_at(index) == request.previous_term:
            return None
        first = self._log.first_index_of_term_at(index)
        return max(first - 1, self._commit_index)

    def _append_received_entries(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.index <= self._log.base_index:
                continue
            if self._log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self._log.last_index:
                self._truncate_log(entry.index - 1)
            self._append_entry(entry)

    def _truncate_log(self, index: int) -> None:
        if index < self._commit_index:
            raise RuntimeError(
                f"committed entry {index + 1} conflicts with the leader's log"
            )
        self._log.truncate(index)
        self._lower_durable_index(index)

    def _reply(
        self,
        sender: str,
        request: AppendRequest | SnapshotChunk,
        accepted: bool,
        match_index: int,
        snapshot_offset: int = -1,
    ) -> None:
        reply = self._append_reply(request, accepted, match_index, snapshot_offset)
        self._after_sync(lambda: self._send(sender, reply))

    def _append_reply(
        self,
        request: AppendRequest | SnapshotChunk,
        accepted: bool,
        match_index: int,
        snapshot_offset: int = -1,
    ) -> AppendReply:
        return AppendReply(
            group=self._group,
            term=self._term,
            identity=self._identity,
            accepted=accepted,
            match_index=match_index,
            sent_ms=request.sent_ms,
            snapshot_offset=snapshot_offset,
            entry_format=self._settings.entry_format,
        )

    # Snapshot transfer

    def _start_snapshot(self, progress: Progress) -> None:
        if self._log.snapshot is None or progress.snapshot is not None:
            return
        progress.in_flight.clear()
        progress.snapshot = self._log.snapshot
        progress.snapshot_offset = 0
        self._send_chunk(progress)

    def _send_chunk(self, progress: Progress) -> None:
        snapshot = progress.snapshot
        start = progress.snapshot_offset
        progress.last_progress_ms = self._now_ms
        chunk = SnapshotChunk(
            group=self._group,
            term=self._term,
            identity=self._identity,
            recipient=progress.member.identity,
            sent_ms=self._now_ms,
            last_index=snapshot.index,
            last_term=snapshot.term,
            membership=snapshot.membership,
            offset=start,
            total=len(snapshot.data),
            checksum=xxhash.xxh3_64_intdigest(snapshot.data),
            data=snapshot.data[start : start + SNAPSHOT_CHUNK_BYTES],
        )
        self._send(progress.member.name, chunk)

    def _resend_chunk(self, progress: Progress) -> None:
        """Resend the current chunk if it was not acknowledged in time.

        This runs on replies to heartbeats, which show that the member is reachable.
        """
        limit_ms = RESEND_TIMEOUT_HEARTBEATS * self._settings.heartbeat_interval_ms
        if self._now_ms - progress.last_progress_ms > limit_ms:
            self._send_chunk(progress)

    def _on_chunk_reply(self, progress: Progress, reply: AppendReply) -> None:
        snapshot = progress.snapshot
        if snapshot is None or reply.match_index != snapshot.index:
            return
        if reply.snapshot_offset != progress.snapshot_offset:
            progress.snapshot_offset = min(reply.snapshot_offset, len(snapshot.data))
            self._send_chunk(progress)

    def _on_snapshot_chunk(self, sender: str, chunk: SnapshotChunk) -> None:
        if not self._accept_leader(sender, chunk):
            return
        if chunk.last_index <= self._commit_index:
            self._received_snapshot_key = None
            self._reply(sender, chunk, True, chunk.last_index)
            return
        if not self._add_snapshot_chunk(chunk):
            offset = len(self._received_snapshot)
            self._reply(sender, chunk, False, chunk.last_index, offset)
            return
        data, self._received_snapshot, self._received_snapshot_key = (
            self._received_snapshot,
            bytearray(),
            None,
        )
        self._install_snapshot(chunk, bytes(data))
        self._reply(sender, chunk, True, chunk.last_index)

    def _add_snapshot_chunk(self, chunk: SnapshotChunk) -> bool:
        """Add a chunk; return True once the snapshot is complete and intact."""
        key = (chunk.identity, chunk.last_index, chunk.last_term, chunk.checksum)
        if key != self._received_snapshot_key or chunk.total > MAX_SNAPSHOT_BYTES:
            self._received_snapshot_key = key
            self._received_snapshot = bytearray()
        if (
            chunk.offset != len(self._received_snapshot)
            or chunk.total > MAX_SNAPSHOT_BYTES
        ):
            return False
        self._received_snapshot += chunk.data
        if len(self._received_snapshot) != chunk.total:
            return False
        if xxhash.xxh3_64_intdigest(self._received_snapshot) != chunk.checksum:
            self._received_snapshot = bytearray()
            return False
        return True

    def _install_snapshot(self, chunk: SnapshotChunk, data: bytes) -> None:
        snapshot = Snapshot(chunk.last_index, chunk.last_term, chunk.membership, data)
        matches_log = self._log.term_at(snapshot.index) == snapshot.term
        self._records.append(SaveSnapshot(snapshot, discard_log=not matches_log))
        if matches_log:
            self._log.compact(snapshot, 0, 0)
        else:
            self._log.reset(snapshot)
            self._lower_durable_index(0)
        self._commit_index = snapshot.index
        self._effects.append(InstallState(data, snapshot.index))
        self._log_event(SNAPSHOT_INSTALLED, index=snapshot.index, bytes=len(data))
