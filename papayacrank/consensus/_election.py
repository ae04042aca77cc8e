"""Leader election with pre-vote and randomized timeouts."""

from ._core import ELECTION_TIMER, NodeCore, Role
from ._messages import PeerRecord, Position, VoteReply, VoteRequest

# An election takes a network round trip and a sync on both sides, which is about
# 10 ms within one region.
INITIAL_ELECTION_TIMEOUT_MS = 80
# A member that resigned starts no election for this many election timeouts, in which
# the others have had time for several.
RESIGNED_TIMEOUTS = 5


class Election(NodeCore):
    """Mixin of `RaftNode` that runs elections."""

    _election_deadline_ms = 0
    _randomized_timeout_ms = 0
    _is_initial_election = False
    _last_vote_ms = -INITIAL_ELECTION_TIMEOUT_MS
    _resigned_until_ms = 0

    def _reset_election_timeout(self) -> None:
        """Draw a new random election timeout and restart it now."""
        timeout_ms = self._settings.election_timeout_ms
        if self._is_initial_election:
            timeout_ms = min(timeout_ms, INITIAL_ELECTION_TIMEOUT_MS)
        self._randomized_timeout_ms = timeout_ms + self._random.randrange(timeout_ms)
        self._election_deadline_ms = self._now_ms + self._randomized_timeout_ms

    def _schedule_initial_election(self) -> None:
        """Start an election after a short timeout, because no member has a leader."""
        self._is_initial_election = True
        self._prior_lease_possible = False
        self._reset_election_timeout()
        self._set_timer(ELECTION_TIMER, self._election_deadline_ms)

    def _extend_election_deadline(self) -> None:
        """Restart the timeout now; the pending timer is rescheduled when it fires."""
        if self._is_initial_election:
            self._is_initial_election = False
            self._reset_election_timeout()
        self._election_deadline_ms = self._now_ms + self._randomized_timeout_ms

    def _on_election_timer(self) -> None:
        if self._role is not Role.LEADER and self._now_ms >= self._election_deadline_ms:
            is_initial, self._is_initial_election = self._is_initial_election, False
            # With slow disks, votes may take longer than the initial timeout, so the
            # next one uses the configured election timeout.
            self._reset_election_timeout()
            # Only voters of the newest membership run the initial election, because
            # a removed voter would step down once its removal is committed.
            if self._may_campaign() and (self._is_voter or not is_initial):
                self._campaign()
        interval_ms = self._settings.election_timeout_ms // 2
        next_ms = max(self._election_deadline_ms, self._now_ms + 1)
        if self._role is Role.LEADER:
            next_ms = self._now_ms + interval_ms
        self._set_timer(ELECTION_TIMER, next_ms)

    def _may_campaign(self) -> bool:
        """Whether this member may start an election.

        A leader that appended its own removal may have the longest log. It must stay
        electable until the removal is committed; otherwise no member may be electable.
        """
        is_voter = self._log.is_voter_since(self._commit_index, self._identity)
        return (
            is_voter
            and self._now_ms >= self._resigned_until_ms
            and self._is_verified
            and self._meets_log_lower_bounds(self._log.last)
        )

    def _resign(self) -> None:
        pause_ms = RESIGNED_TIMEOUTS * self._settings.election_timeout_ms
        self._resigned_until_ms = self._now_ms + pause_ms
        self._become_follower(self._term, "", "resigned")

    def _campaign(self) -> None:
        self._leader = ""
        if self._protections.pre_vote:
            self._role = Role.PRE_CANDIDATE
            self._votes = {self._identity}
            self._request_votes(self._term + 1, pre_vote=True)
            self._count_votes()
        else:
            self._start_election()

    def _start_election(self) -> None:
        self._role = Role.CANDIDATE
        self._votes = set()
        self._set_term(self._term + 1, self._identity)
        self._last_vote_ms = self._now_ms
        self._after_sync(self._on_own_vote_synced)

    def _on_own_vote_synced(self) -> None:
        if self._role is not Role.CANDIDATE:
            return
        self._votes.add(self._identity)
        self._request_votes(self._term, pre_vote=False)
        self._count_votes()

    def _request_votes(self, term: int, pre_vote: bool) -> None:
        last = self._log.last
        for member in self._voters:
            if member.identity != self._identity:
                request = VoteRequest(
                    group=self._group,
                    term=term,
                    identity=self._identity,
                    recipient=member.identity,
                    last_index=last.index,
                    last_term=last.term,
                    pre_vote=pre_vote,
                )
                self._send(member.name, request)

    def _count_votes(self) -> None:
        if not self._is_majority(self._votes):
            return
        if self._role is Role.PRE_CANDIDATE:
            self._start_election()
        elif self._role is Role.CANDIDATE:
            self._become_leader()

    def _on_vote_request(self, sender: str, request: VoteRequest) -> None:
        if request.recipient != self._identity or not self._is_verified:
            return
        # A request for a vote in a later term gets no reply, because the leader's lease
        # relies on this member withholding its vote.
        if self._must_withhold_vote() and request.term > self._term:
            return
        if request.pre_vote:
            # Gives an ongoing election time to finish before the next one starts.
            may_begin = self._now_ms - self._last_vote_ms >= INITIAL_ELECTION_TIMEOUT_MS
            is_newer = request.term > self._term
            granted = may_begin and is_newer and self._accepts_candidate(request)
            # The reply includes the lower bound, because a candidate with a term below
            # it would otherwise be refused indefinitely.
            refused_term = max(self._term, self._term_lower_bound)
            term = request.term if granted else refused_term
            self._send(sender, self._vote_reply(term, True, granted))
            return
        if request.term > self._term:
            self._become_follower(request.term, "", "higher term")
        granted = self._grant_vote(request)
        self._after_sync(
            lambda: self._send(sender, self._vote_reply(self._term, False, granted))
        )

    def _grant_vote(self, request: VoteRequest) -> bool:
        can_vote = self._voted_for in ("", request.identity)
        if (
            request.term != self._term
            or not can_vote
            or not self._accepts_candidate(request)
        ):
            return False
        if self._voted_for != request.identity:
            self._voted_for = request.identity
            self._last_vote_ms = self._now_ms
            self._is_initial_election = False
            self._hard_state_changed = True
        self._reset_election_timeout()
        return True

    def _accepts_candidate(self, request: VoteRequest) -> bool:
        last = Position(request.last_term, request.last_index)
        return (
            last >= self._log.last
            and self._meets_log_lower_bounds(last)
            and request.term > self._term_lower_bound
        )

    def _vote_reply(self, term: int, pre_vote: bool, granted: bool) -> VoteReply:
        return VoteReply(
            group=self._group,
            term=term,
            identity=self._identity,
            pre_vote=pre_vote,
            granted=granted,
        )

    def _on_vote_reply(self, sender: str, reply: VoteReply) -> None:
        if not reply.granted:
            if reply.term > self._term:
                self._become_follower(reply.term, "", "higher term")
            return
        if reply.pre_vote:
            expected = self._role is Role.PRE_CANDIDATE and reply.term == self._term + 1
        else:
            self._update_peer_record(PeerRecord(reply.identity, reply.term, 0))
            expected = self._role is Role.CANDIDATE and reply.term == self._term
        if expected:
            self._votes.add(reply.identity)
            self._count_votes()
