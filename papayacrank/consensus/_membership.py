"""Single-member changes and automatic replacement of unresponsive voters."""

from collections import Counter

import msgspec
from expression import Ok, Result

from papayacrank.kernel import Failure

from ._core import NodeCore, Role
from ._events import (
    JOIN_REFUSED,
    LOSS_TOLERANCE_MET,
    LOSS_TOLERANCE_UNMET,
    VOTER_SILENT,
)
from ._log import encode_membership
from ._member_changes import (
    AddLearner,
    MemberChange,
    Promote,
    Remove,
    Replace,
    refuse,
)
from ._messages import KIND_MEMBERSHIP, Entry, JoinRequest, Member, Membership
from ._tolerance import majority

MAX_MEMBERS = 24
MAX_PENDING_LEARNERS = 16
# A learner with at most this lag catches up in about one round trip.
MAX_CAUGHT_UP_LAG_ENTRIES = 256
MAX_RESPONSE_AGE_MS = 2_000


class MembershipControl(NodeCore):
    """Mixin of `RaftNode` that changes the members of the group."""

    _meets_loss_tolerance: bool | None = None

    def _change_member(self, change: MemberChange) -> Result[int, Failure]:
        if self._role is not Role.LEADER:
            return refuse("not_leader", f"the leader is {self._leader!r}", 503)
        if not self._may_change_members() or self._log.membership.is_joint:
            return refuse("change_in_progress", "another change is not committed yet")
        match change:
            case AddLearner(name, identity, domain):
                return self._add_learner(Member(name, identity, domain, False))
            case Promote(name):
                return self._promote_by_name(name)
            case Remove(name):
                return self._remove_by_name(name)
            case Replace(old, new):
                return self._replace(old, new)

    def _may_change_members(self) -> bool:
        """Whether the last change and an entry of the current term are committed."""
        is_committed = self._log.membership.index <= self._commit_index
        if not self._protections.one_change:
            is_committed = True
        return is_committed and self._has_committed_in_term

    def _add_learner(self, member: Member) -> Result[int, Failure]:
        if any(m.identity == member.identity for m in self._members):
            return refuse("already_member", f"{member.name} is a member")
        if len(self._members) >= MAX_MEMBERS:
            return refuse("too_many_members", f"the limit is {MAX_MEMBERS}")
        return Ok(self._append_membership((*self._members, member)))

    def _promote_by_name(self, name: str) -> Result[int, Failure]:
        learner = self._find_learner(name)
        if learner is None:
            return refuse("not_a_learner", f"{name} is not a learner")
        if not self._is_caught_up(learner):
            return refuse("not_caught_up", f"{name} has not caught up")
        return Ok(self._promote(learner))

    def _remove_by_name(self, name: str) -> Result[int, Failure]:
        named = [m for m in self._members if m.name == name]
        if not named:
            return refuse("not_a_member", f"{name} is not a member")
        member = max(named, key=lambda m: m.voter)
        if member.voter and len(self._voters) == 1:
            return refuse("last_voter", "the last voter cannot be removed")
        if member.voter and not self._has_quorum_without(member):
            return refuse("too_few_voters", f"without {name}, no majority answers")
        if member.voter and self._breaks_loss_tolerance(member):
            return refuse(
                "too_few_voters",
                f"without {name}, the group does not survive the losses that the"
                " settings name; replace it instead",
            )
        return Ok(self._remove(member))

    def _replace(self, old: str, new: str) -> Result[int, Failure]:
        learner = self._find_learner(new)
        voter = next((m for m in self._voters if m.name == old), None)
        if voter is None:
            return refuse("not_a_voter", f"{old} is not a voter")
        if learner is None or not self._is_caught_up(learner):
            return refuse("not_caught_up", f"{new} is not a caught-up learner")
        if not self._is_responsive_majority(self._voters_after(voter, learner)):
            return refuse("too_few_voters", f"without {old}, no majority answers")
        return Ok(self._exchange(voter, learner))

    def _find_learner(self, name: str) -> Member | None:
        named = [m for m in self._members if m.name == name and not m.voter]
        return named[-1] if named else None

    def _promote(self, learner: Member) -> int:
        voter = msgspec.structs.replace(learner, voter=True)
        others = (m for m in self._members if m.identity != learner.identity)
        return self._append_membership((*others, voter))

    def _remove(self, member: Member) -> int:
        others = (m for m in self._members if m.identity != member.identity)
        return self._append_membership(tuple(others))

    def _exchange(self, old: Member, new: Member) -> int:
        """Start the exchange of a voter for a learner.

        Removing first would leave fewer voters than the loss tolerance requires, and
        promoting first would make the group depend on the new voter.
        """
        changed = {
            old.identity: msgspec.structs.replace(old, leaving=True),
            new.identity: msgspec.structs.replace(new, voter=True, joining=True),
        }
        return self._append_membership(
            tuple(changed.get(m.identity, m) for m in self._members)
        )

    def _complete_exchange(self) -> None:
        remaining = (m for m in self._members if not m.leaving)
        self._append_membership(
            tuple(msgspec.structs.replace(m, joining=False) for m in remaining)
        )

    def _append_membership(self, members: tuple[Member, ...]) -> int:
        index = self._log.last_index + 1
        payload = encode_membership(Membership(index, members))
        self._append_own_entry(Entry(index, self._term, KIND_MEMBERSHIP, payload))
        self._track_members()
        return index

    def _on_committed_membership(self) -> None:
        """Complete an exchange, or step down after the removal of this leader."""
        if self._log.membership.index > self._commit_index:
            return
        if self._log.membership.is_joint and self._may_change_members():
            self._complete_exchange()
        elif not self._is_voter:
            self._become_follower(self._term, "", "removed from the voters")

    # Automatic changes

    def _on_join_request(self, sender: str, request: JoinRequest) -> None:
        known = any(m.identity == request.identity for m in self._members)
        if self._role is not Role.LEADER or known:
            return
        if request.volatile and not all(m.volatile for m in self._members):
            # The member could never become a voter, so replicating the log to it would
            # waste bandwidth.
            return
        if not self._formats.may_join(request.entry_format):
            self._log_event(JOIN_REFUSED, name=sender, format=request.entry_format)
            return
        self._formats.state(request.identity, request.entry_format)
        member = Member(
            sender, request.identity, request.failure_domain, False, request.volatile
        )
        self._pending_learners[request.identity] = member
        while len(self._pending_learners) > MAX_PENDING_LEARNERS:
            del self._pending_learners[next(iter(self._pending_learners))]

    def _reconcile_members(self) -> None:
        """Start at most one change that brings the members closer to the target."""
        self._report_loss_tolerance()
        if not self._may_change_members() or not self._holds_lease():
            return
        if self._log.membership.is_joint:
            self._complete_exchange()
        elif (learner := self._find_silent_learner()) is not None:
            self._remove_silent(learner)
        elif self._replace_silent_voter():
            return
        elif (learner := self._find_learner_to_promote()) is not None:
            self._promote(learner)
        elif self._pending_learners:
            self._add_pending_learner()
        elif (ineligible := self._find_ineligible_learner()) is not None:
            self._remove(ineligible)
        elif (volatile := self._find_volatile_voter()) is not None:
            self._replace_volatile_voter(volatile)
        elif self._all_voters_responsive():
            self._rebalance_domains()

    def _report_loss_tolerance(self) -> None:
        """Log when the voters begin or cease to survive the tolerated losses."""
        tolerance = self._settings.loss_tolerance
        is_met = tolerance.is_met_by(self._log.membership.voters_after_exchange)
        if is_met == self._meets_loss_tolerance:
            return
        self._meets_loss_tolerance = is_met
        self._log_event(
            LOSS_TOLERANCE_MET if is_met else LOSS_TOLERANCE_UNMET,
            voters=[f"{m.failure_domain}/{m.name}" for m in self._voters],
            instances=tolerance.instances,
            failure_domains=tolerance.failure_domains,
            regions=tolerance.regions,
        )

    def _find_ineligible_learner(self) -> Member | None:
        """Return a volatile learner; ineligible because others are durable."""
        learners = (m for m in self._members if not m.voter)
        return next((m for m in learners if not self._is_eligible_voter(m)), None)

    def _find_volatile_voter(self) -> Member | None:
        """Return a volatile voter in a group that has members with a durable folder."""
        return next((m for m in self._voters if not self._is_eligible_voter(m)), None)

    def _replace_volatile_voter(self, voter: Member) -> None:
        """Exchange a volatile voter for a learner with a durable folder.

        Without such a learner, the voter is removed, unless all are volatile.
        """
        learner = self._select_learner_for(voter)
        if learner is not None:
            if self._is_responsive_majority(self._voters_after(voter, learner)):
                self._exchange(voter, learner)
            return
        if not all(m.volatile for m in self._voters) and self._has_quorum_without(
            voter
        ):
            self._remove(voter)

    def _rebalance_domains(self) -> None:
        """Move a vote from the domain with most voters to one with at least 2 fewer."""
        if len(self._voters) > self._target_voters:
            self._remove(self._select_excess_voter())
        elif (learner := self._find_rebalancing_learner()) is not None:
            self._exchange(self._select_excess_voter(), learner)

    def _find_rebalancing_learner(self) -> Member | None:
        """Return a learner whose domain has at least 2 voters fewer than another."""
        voters = Counter(m.failure_domain for m in self._voters)
        most = max(voters.values(), default=0)
        learners = self._promotable_learners()
        candidates = [m for m in learners if voters[m.failure_domain] + 2 <= most]
        return min(
            candidates, key=lambda m: (voters[m.failure_domain], m.name), default=None
        )

    def _select_excess_voter(self) -> Member:
        """Return a voter of the domain with most voters, preferably not the leader."""
        voters = Counter(m.failure_domain for m in self._voters)
        return max(
            self._voters,
            key=lambda m: (
                voters[m.failure_domain],
                m.identity != self._identity,
                m.name,
            ),
        )

    def _has_quorum_without(self, member: Member) -> bool:
        """Whether a majority of the other voters has replied recently."""
        return self._is_responsive_majority(self._voters_after(member))

    def _breaks_loss_tolerance(self, old: Member, new: Member | None = None) -> bool:
        """Whether the group survives the tolerated losses only without the change."""
        tolerance = self._settings.loss_tolerance
        return tolerance.is_met_by(self._voters) and not tolerance.is_met_by(
            self._voters_after(old, new)
        )

    def _voters_after(self, old: Member, new: Member | None = None) -> list[Member]:
        """Return the voters after the removal of one and the addition of another."""
        others = [m for m in self._voters if m.identity != old.identity]
        return others if new is None else [*others, new]

    def _is_responsive_majority(self, voters: list[Member]) -> bool:
        limit_ms = self._settings.election_timeout_ms
        responsive = [
            m for m in voters if self._now_ms - self._last_reply_ms_of(m) <= limit_ms
        ]
        return len(responsive) >= majority(len(voters))

    def _all_voters_responsive(self) -> bool:
        return all(map(self._is_responsive, self._voters))

    def _is_responsive(self, member: Member) -> bool:
        return self._now_ms - self._last_reply_ms_of(member) <= MAX_RESPONSE_AGE_MS

    def _find_silent_learner(self) -> Member | None:
        return next(
            (m for m in self._members if not m.voter and self._is_silent(m)), None
        )

    def _replace_silent_voter(self) -> bool:
        """Start the replacement of a silent voter; return whether one was started.

        Without a learner, the vote is kept as long as the loss tolerance needs it,
        because the voter may return, for example after a network partition.
        """
        silent = [voter for voter in self._voters if self._is_silent(voter)]
        silent.sort(key=lambda voter: not self._is_superseded(voter))
        tolerance = self._settings.loss_tolerance
        for voter in silent:
            learner = self._select_learner_for(voter)
            if learner is not None and not self._breaks_loss_tolerance(voter, learner):
                self._log_silent(voter)
                self._exchange(voter, learner)
                return True
            if tolerance.is_met_by(self._voters_after(voter)):
                self._remove_silent(voter)
                return True
        return False

    def _remove_silent(self, member: Member) -> None:
        self._log_silent(member)
        self._remove(member)

    def _log_silent(self, member: Member) -> None:
        silent_ms = self._now_ms - self._last_reply_ms_of(member)
        self._log_event(VOTER_SILENT, member=member.name, silent_ms=silent_ms)

    def _select_learner_for(self, voter: Member) -> Member | None:
        """Return the learner that is to take over the vote of a voter.

        This is the new folder of the same instance if there is one, otherwise a learner
        of the failure domain with the fewest other voters.
        """
        others = Counter(m.failure_domain for m in self._voters_after(voter))
        return min(
            self._promotable_learners(),
            key=lambda m: (m.name != voter.name, others[m.failure_domain], m.name),
            default=None,
        )

    def _is_silent(self, member: Member) -> bool:
        if self._is_superseded(member):
            return True
        silent_ms = self._now_ms - self._last_reply_ms_of(member)
        return silent_ms > self._settings.voter_silence_ms

    def _is_superseded(self, member: Member) -> bool:
        """Whether a caught-up learner has the name of a voter but a new data folder."""
        if not member.voter:
            return False
        return any(
            learner.name == member.name and learner.identity != member.identity
            for learner in self._caught_up_learners()
        )

    def _find_learner_to_promote(self) -> Member | None:
        """Return a learner of the domain with the fewest voters if more are needed.

        The promotion waits while it could only be committed by the new voter itself.
        """
        learners = self._promotable_learners()
        if not learners or len(self._voters) >= self._desired_voter_count():
            return None
        responsive = sum(map(self._is_responsive, self._voters))
        if responsive < majority(len(self._voters) + 1) and len(self._voters) > 1:
            return None
        voters = Counter(m.failure_domain for m in self._voters)
        return min(learners, key=lambda m: (voters[m.failure_domain], m.name))

    @property
    def _target_voters(self) -> int:
        required = self._settings.loss_tolerance.required_voters
        return max(self._settings.target_voters, required)

    def _desired_voter_count(self) -> int:
        """Return the number of voters for the number of live members.

        It is odd, because an even number tolerates no more losses than one less.
        """
        live = sum(
            not self._is_silent(member)
            for member in self._members
            if self._is_eligible_voter(member)
        )
        if live >= self._target_voters:
            return self._target_voters
        required = self._settings.loss_tolerance.required_voters
        return min(required, live - 1 + live % 2)

    def _is_eligible_voter(self, member: Member) -> bool:
        """Whether a member may be a voter.

        A volatile member may be a voter only if all members are volatile.
        """
        return not member.volatile or all(m.volatile for m in self._members)

    def _promotable_learners(self) -> list[Member]:
        return [m for m in self._caught_up_learners() if self._is_eligible_voter(m)]

    def _caught_up_learners(self) -> list[Member]:
        return [m for m in self._members if not m.voter and self._is_caught_up(m)]

    def _is_caught_up(self, learner: Member) -> bool:
        progress = self._progress.get(learner.identity)
        if progress is None or progress.probing:
            return False
        behind = self._log.last_index - progress.match_index
        silent_ms = self._now_ms - progress.last_reply_ms
        return behind <= MAX_CAUGHT_UP_LAG_ENTRIES and silent_ms <= MAX_RESPONSE_AGE_MS

    def _add_pending_learner(self) -> None:
        """Add the next pending learner.

        A learner with the same name and an old folder is removed first.
        """
        identity = next(iter(self._pending_learners))
        learner = self._pending_learners[identity]
        for member in self._members:
            if member.name == learner.name and not member.voter:
                self._remove(member)
                return
        del self._pending_learners[identity]
        if self._formats.may_join(self._formats.find(identity)):
            self._add_learner(learner)
