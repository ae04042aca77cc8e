"""Membership changes, one at a time, and automatic replacement of silent voters."""

from collections import Counter
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from papayacrank.kernel import Failure, Verdict

from ._core import NodeCore, Role
from ._events import VOTER_SILENT
from ._log import encode_membership
from ._messages import KIND_MEMBERSHIP, Entry, JoinRequest, Member, Membership

MAX_MEMBERS = 24
MAX_PENDING_LEARNERS = 16
MIN_VOTERS = 3
# A learner within this distance finishes catching up in about one round trip.
MAX_CAUGHT_UP_LAG_ENTRIES = 256
RESPONSIVE_LIMIT_MS = 2_000


@dataclass(frozen=True)
class AddLearner:
    """Add a member without a vote."""

    name: str
    identity: str
    failure_domain: str


@dataclass(frozen=True)
class Promote:
    """Give a caught-up learner a vote."""

    name: str


@dataclass(frozen=True)
class Remove:
    """Remove a member; it joins again as a learner if it is still running."""

    name: str


@dataclass(frozen=True)
class Replace:
    """Remove the voter `old`, then promote the caught-up learner `new`."""

    old: str
    new: str


MemberChange = AddLearner | Promote | Remove | Replace


def refuse(code: str, message: str, status: int = 409) -> Result[int, Failure]:
    """Return the refusal of an input that had no effect."""
    return Error(Failure(code, Verdict.NOT_RUN, message, status))


class MembershipControl(NodeCore):
    """Part of the decision code that changes the members."""

    _replacement_identity = ""
    _is_rebalancing = False

    def _change_member(self, change: MemberChange) -> Result[int, Failure]:
        if self._role is not Role.LEADER:
            return refuse("not_leader", f"the leader is {self._leader!r}", 503)
        if not self._may_change_members():
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
        """Whether the last change and an entry of the own term are committed."""
        settled = self._log.membership.index <= self._commit_index
        if not self._protections.one_change:
            settled = True
        return settled and self._has_committed_in_term

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
        return Ok(self._remove(member))

    def _replace(self, old: str, new: str) -> Result[int, Failure]:
        learner = self._find_learner(new)
        if not any(m.name == old and m.voter for m in self._members):
            return refuse("not_a_voter", f"{old} is not a voter")
        if learner is None or not self._is_caught_up(learner):
            return refuse("not_caught_up", f"{new} is not a caught-up learner")
        result = self._remove_by_name(old)
        if result.is_ok():
            self._replacement_identity = learner.identity
        return result

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

    def _append_membership(self, members: tuple[Member, ...]) -> int:
        index = self._log.last_index + 1
        payload = encode_membership(Membership(index, members))
        self._append_own_entry(Entry(index, self._term, KIND_MEMBERSHIP, payload))
        self._track_members()
        return index

    def _on_committed_membership(self) -> None:
        """Step down once the removal of this leader is committed."""
        committed = self._log.membership.index <= self._commit_index
        if committed and not self._is_voter:
            self._become_follower(self._term, "", "removed from the voters")

    # Automatic changes

    def _on_join_request(self, sender: str, request: JoinRequest) -> None:
        known = any(m.identity == request.identity for m in self._members)
        if self._role is not Role.LEADER or known:
            return
        if request.volatile and not all(m.volatile for m in self._members):
            # It could never vote, and the log would be copied to it for nothing.
            return
        member = Member(
            sender, request.identity, request.failure_domain, False, request.volatile
        )
        self._pending_learners[request.identity] = member
        while len(self._pending_learners) > MAX_PENDING_LEARNERS:
            del self._pending_learners[next(iter(self._pending_learners))]

    def _reconcile_members(self) -> None:
        """Make at most one change towards the intended members."""
        if not self._may_change_members() or not self._holds_lease():
            return
        if (silent := self._find_silent_member()) is not None:
            progress = self._progress[silent.identity]
            silent_ms = self._now_ms - progress.last_reply_ms
            self._log_event(VOTER_SILENT, member=silent.name, silent_ms=silent_ms)
            self._remove(silent)
        elif (learner := self._find_learner_to_promote()) is not None:
            self._replacement_identity = ""
            self._promote(learner)
        elif self._pending_learners:
            self._add_pending_learner()
        elif (idle := self._find_ineligible_learner()) is not None:
            self._remove(idle)
        elif (volatile := self._find_volatile_voter()) is not None:
            self._replace_volatile(volatile)
        elif self._all_voters_responsive():
            self._rebalance_domains()

    def _find_ineligible_learner(self) -> Member | None:
        """Return a learner that may not vote because others have a disk."""
        learners = (m for m in self._members if not m.voter)
        return next((m for m in learners if not self._is_eligible_voter(m)), None)

    def _find_volatile_voter(self) -> Member | None:
        """Return a voter whose votes are lost with its process, while others remain."""
        return next((m for m in self._voters if not self._is_eligible_voter(m)), None)

    def _replace_volatile(self, voter: Member) -> None:
        """Promote the learners that keep their folder, then remove the voter."""
        learners = self._eligible_learners()
        if learners and len(self._voters) < self._settings.target_voters:
            self._promote(min(learners, key=lambda m: m.name))
            return
        has_others = learners or not all(m.volatile for m in self._voters)
        if has_others and self._has_quorum_without(voter):
            self._remove(voter)

    def _rebalance_domains(self) -> None:
        """Move a vote from the domain with most voters to one with at least 2 fewer.

        The learner is promoted before the voter is removed, so that the group
        survives as many losses as before at every step.
        """
        excess = len(self._voters) - self._desired_voter_count()
        if self._is_rebalancing and excess <= 0:
            self._is_rebalancing = False
        if len(self._voters) > self._settings.target_voters or self._is_rebalancing:
            self._remove(self._select_excess_voter())
            self._is_rebalancing = False
        elif excess == 0 and (learner := self._find_rebalancing_learner()) is not None:
            self._is_rebalancing = True
            self._promote(learner)

    def _find_rebalancing_learner(self) -> Member | None:
        """Return a learner whose domain has at least 2 voters fewer than another."""
        voters = Counter(m.failure_domain for m in self._voters)
        most = max(voters.values(), default=0)
        learners = self._eligible_learners()
        fitting = [m for m in learners if voters[m.failure_domain] + 2 <= most]
        return min(
            fitting, key=lambda m: (voters[m.failure_domain], m.name), default=None
        )

    def _select_excess_voter(self) -> Member:
        """Return a voter of the domain with most voters, rather not the leader."""
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
        """Whether a majority of the other voters answers now."""
        others = [m for m in self._voters if m.identity != member.identity]
        limit_ms = self._settings.election_timeout_ms
        answering = [
            m for m in others if self._now_ms - self._last_reply_ms_of(m) <= limit_ms
        ]
        return len(answering) > len(others) // 2

    def _all_voters_responsive(self) -> bool:
        return all(
            self._now_ms - self._last_reply_ms_of(voter) <= RESPONSIVE_LIMIT_MS
            for voter in self._voters
        )

    def _find_silent_member(self) -> Member | None:
        """Return a silent member that may be removed, learners first.

        Without a learner to promote, a group keeps 3 voters: removing one of 3 would
        not let it survive more losses, and the silent voter may return.
        """
        silent = [m for m in self._members if self._is_silent(m)]
        for member in sorted(silent, key=lambda m: m.voter):
            if not member.voter:
                return member
            spare = len(self._voters) - 1 >= MIN_VOTERS
            if spare or self._eligible_learners():
                return member
        return None

    def _is_silent(self, member: Member) -> bool:
        if self._is_superseded(member):
            return True
        silent_ms = self._now_ms - self._last_reply_ms_of(member)
        return silent_ms > self._settings.voter_silence_ms

    def _is_superseded(self, member: Member) -> bool:
        """Whether a process with a new folder has taken the place of a voter."""
        if not member.voter:
            return False
        return any(
            learner.name == member.name and learner.identity != member.identity
            for learner in self._caught_up_learners()
        )

    def _find_learner_to_promote(self) -> Member | None:
        """Return the learner to promote, from the domain with the fewest voters."""
        learners = self._eligible_learners()
        planned = [m for m in learners if m.identity == self._replacement_identity]
        if planned:
            return planned[0]
        if not learners or len(self._voters) >= self._desired_voter_count():
            return None
        voters = Counter(m.failure_domain for m in self._voters)
        return min(learners, key=lambda m: (voters[m.failure_domain], m.name))

    def _desired_voter_count(self) -> int:
        target = self._settings.target_voters
        live = sum(
            not self._is_silent(member)
            for member in self._members
            if self._is_eligible_voter(member)
        )
        return target if live >= target else min(target, MIN_VOTERS)

    def _is_eligible_voter(self, member: Member) -> bool:
        """Whether a member is fit to be a voter.

        One whose folder is lost with its process is fit only where all are like it.
        """
        return not member.volatile or all(m.volatile for m in self._members)

    def _eligible_learners(self) -> list[Member]:
        return [m for m in self._caught_up_learners() if self._is_eligible_voter(m)]

    def _caught_up_learners(self) -> list[Member]:
        return [m for m in self._members if not m.voter and self._is_caught_up(m)]

    def _is_caught_up(self, learner: Member) -> bool:
        progress = self._progress.get(learner.identity)
        if progress is None or progress.probing:
            return False
        behind = self._log.last_index - progress.match_index
        silent_ms = self._now_ms - progress.last_reply_ms
        return behind <= MAX_CAUGHT_UP_LAG_ENTRIES and silent_ms <= RESPONSIVE_LIMIT_MS

    def _add_pending_learner(self) -> None:
        """Add the next joiner, after removing a learner with its old folder."""
        identity = next(iter(self._pending_learners))
        joiner = self._pending_learners[identity]
        for member in self._members:
            if member.name == joiner.name and not member.voter:
                self._remove(member)
                return
        del self._pending_learners[identity]
        self._add_learner(joiner)
