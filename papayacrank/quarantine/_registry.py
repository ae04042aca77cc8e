"""Decisions of the leader on requests and parts that crash targets, without I/O."""

from collections.abc import Iterable

from papayacrank.kernel import log_event
from papayacrank.messages import (
    CrashReport,
    PartsCleared,
    PartSuspicion,
    QuarantineKnowledge,
    QuarantineTable,
    QuarantineVerdict,
    TrialEnded,
    TrialReply,
    TrialRequest,
)

from ._attribution import CrashAttribution
from ._events import (
    PART_SUSPECTED,
    PARTS_CLEARED,
    TRIAL_ENDED,
    TRIAL_GRANTED,
    VERDICT,
    VERDICT_CHANGED,
    VERDICT_LIFTED,
    format_parts,
)
from ._names import MAX_NAMES_PER_REQUEST, is_request
from ._suspicions import Crash, Suspect, SuspicionTable
from ._trials import TRIAL_LEASE_MS, Trial, TrialTable
from ._verdicts import LAPSE_MS, HeldVerdict, LiftedVerdicts, VerdictTable

# A crash is decided after this time, so that the reports of all instances and the
# responses on hot parts have arrived.
SETTLING_MS = 300
# No trial is granted and no crash decided for this time after an election, in which
# entry processes repeat what they know.
LEARNING_MS = 1_000
# Time after which a request whose trial was refused may find one.
TRIAL_RETRY_MS = 100
# After a failed trial of a request with parts of a verdict, further ones are refused
# for this time, and for twice the time with each one that fails.
NARROWING_INTERVAL_MS = 5_000
MAX_NARROWING_DOUBLINGS = 6


def _min_narrowings(named: frozenset[str], parts: frozenset[str]) -> int:
    """Return how many failed trials narrow a verdict to some of its names.

    A verdict without the name of a request refuses other requests as well.
    """
    is_of_request = any(map(is_request, named))
    return 2 if is_of_request and not any(map(is_request, parts)) else 1


class QuarantineRegistry:
    """Finds what crashes targets and decides which requests to refuse.

    A request has several names that can be blamed: its own and those of the shared
    parts of its prompt. In names of methods and messages, parts stands for all of them.

    The evidence is the set of requests that a target had not begun to answer when it
    crashed; a later response on a part clears it. A part with repeated crashes is on
    trial: requests with it are sent one at a time in the fleet. A failed trial leads to
    a verdict on those parts that explain the crashes.

    The state is kept in the memory of the leader; entry processes repeat what they know
    to a new one.
    """

    def __init__(self):
        self._term = 0
        self._revision = 0
        self._pushed_revision = 0
        self._learning_until_ms: int | None = None
        self._suspicions = SuspicionTable()
        self._verdicts = VerdictTable()
        self._trials = TrialTable()
        self._attribution = CrashAttribution(self._suspicions)
        self._undecided: set[int] = set()
        self._changed_verdicts: set[int] = set()
        self._lifted = LiftedVerdicts()
        self._learned_position = (0, 0)

    @property
    def position(self) -> tuple[int, int]:
        """Term and revision of the table; the revision is 0 while it is empty."""
        return self._term, self._revision

    def reset(self, term: int) -> None:
        """Discard all state after an election."""
        self._term = term
        self._revision = 0
        self._pushed_revision = 0
        self._learning_until_ms = None
        self._suspicions.clear_all()
        self._verdicts.clear(term)
        self._trials.clear()
        self._undecided.clear()
        self._changed_verdicts.clear()
        self._lifted.clear()
        self._learned_position = (0, 0)

    # Evidence

    def report_crash(self, report: CrashReport, now_ms: int) -> None:
        """Count a crash against the parts of the requests that may have caused it."""
        self._end_replaced_trials(report.instance, now_ms)
        crash, added = self._suspicions.record(report, now_ms)
        if not added:
            return
        counted: set[str] = set()
        for suspect in added:
            trial = self._trials.get((suspect.instance, suspect.trial))
            if trial is not None:
                trial.crash = crash.number
                crash.trials.add(suspect)
            counted |= self._count(crash, suspect, now_ms)
        if crash.is_decided:
            self._review(crash, added)
        self._undecided.add(crash.number)
        crash.is_decided = False
        self._suspicions.evict()
        self._log_suspected(crash, counted)

    def _count(self, crash: Crash, suspect: Suspect, now_ms: int) -> set[str]:
        """Count a crash against the parts of a request, unless it is explained."""
        for verdict in self._verdicts.matching(suspect.parts):
            if verdict.binds(suspect.workspace):
                self._confirm(verdict, crash, suspect, now_ms)
                return set()
        if crash.explained_by:
            return set()
        for name in suspect.parts:
            self._suspicions.suspect(crash, name, suspect.workspace)
        return set(suspect.parts)

    def _confirm(
        self, verdict: HeldVerdict, crash: Crash, suspect: Suspect, now_ms: int
    ) -> None:
        """Note a crash of a request that a verdict names."""
        self._suspicions.explain(crash, verdict.number, verdict.parts)
        if crash.number in verdict.counted:
            return
        verdict.counted.add(crash.number)
        verdict.crashes += 1
        verdict.crashed_ms = max(verdict.crashed_ms, crash.at_ms)
        self._changed_verdicts.add(verdict.number)
        if suspect.trial and not verdict.is_in_force(now_ms):
            verdict.prolong(now_ms)
            self._log_changed(verdict, "confirmed")

    def _log_suspected(self, crash: Crash, counted: set[str]) -> None:
        known = [self._suspicions.get(name) for name in counted]
        suspected = [suspicion for suspicion in known if suspicion is not None]
        if suspected:
            log_event(
                PART_SUSPECTED,
                crash=crash.number,
                target=crash.target,
                start=crash.start,
                parts=format_parts(s.name for s in suspected),
                on_trial=format_parts(s.name for s in suspected if s.needs_trial),
                crashes=max(s.count for s in suspected),
            )

    def clear(self, message: PartsCleared, now_ms: int) -> None:
        """Discard evidence against parts on which a response was begun since."""
        self._end_replaced_trials(message.instance, now_ms)
        at_ms = now_ms - max(0, message.age_ms)
        cleared = [name for name in message.parts if self._clear(name, message, at_ms)]
        if cleared:
            log_event(
                PARTS_CLEARED,
                parts=format_parts(cleared),
                reason="response",
                reported_by=message.instance,
            )

    def _clear(self, name: str, message: PartsCleared, at_ms: int) -> bool:
        for verdict in self._verdicts.naming(name):
            if verdict.crashed_ms >= at_ms:
                continue
            if len(verdict.parts) > 1:
                self._narrow(verdict, verdict.parts - {name})
            elif not self._is_trial_of_others(verdict, name, message.instance):
                self._lift(verdict, "response")
        is_cleared = self._suspicions.clear(name, at_ms)
        self._name_parts([name])
        return is_cleared

    def _is_trial_of_others(
        self, verdict: HeldVerdict, name: str, instance: str
    ) -> bool:
        """Whether a response is that of a workspace which a verdict does not bind.

        The names of parts are chosen by callers: a part that is sound in one workspace
        may be another one in the next.
        """
        trial = self._trials.of_part(name)
        return (
            trial is not None
            and trial.instance == instance
            and not verdict.binds(trial.workspace)
        )

    # Verdicts

    def _decide_crashes(self, now_ms: int) -> None:
        if now_ms < self._learning_until_ms:
            return
        for number in sorted(self._undecided):
            crash = self._suspicions.get_crash(number)
            if crash is None:
                self._end_crash(number)
                continue
            waited_ms = now_ms - crash.seen_ms
            if waited_ms < SETTLING_MS:
                continue
            if waited_ms < TRIAL_LEASE_MS and self._is_open(crash):
                continue
            self._decide(crash, now_ms)

    def _is_open(self, crash: Crash) -> bool:
        """Whether another trial may turn out to be a possible cause of a crash."""
        if crash.explained_by or not crash.trials:
            return False
        others = self._trials.list_open(crash.at_ms)
        return any(self._attribution.may_rival(crash, t.suspected) for t in others)

    def _decide(self, crash: Crash, now_ms: int) -> None:
        crash.is_decided = True
        if not crash.explained_by:
            lost = self._trials.list_lost(crash.at_ms)
            is_unclear = any(
                self._attribution.may_rival(crash, t.suspected) for t in lost
            )
            parts = self._attribution.find_cause(crash, is_unclear)
            if parts:
                self._add_verdict(parts, crash, now_ms)
        self._end_crash(crash.number)

    def _end_crash(self, number: int) -> None:
        self._undecided.discard(number)
        for trial in self._trials.pop_of_crash(number):
            self._log_trial_ended(trial, "crash")

    def _add_verdict(self, parts: frozenset[str], crash: Crash, now_ms: int) -> None:
        """Decide that a combination of parts has caused a crash."""
        workspaces = self._attribution.list_workspaces(parts)
        verdict = self._find_narrowed(parts)
        if verdict is None:
            verdict = HeldVerdict(
                self._verdicts.next_number(),
                parts,
                workspaces if len(workspaces) == 1 else set(),
                0,
                now_ms + LAPSE_MS,
                1,
                crash.number,
                crash.at_ms,
            )
            verdict.crashes = self._attribution.count(parts)
            self._verdicts.add(verdict)
            self._log_verdict(verdict)
        else:
            self._extend(verdict, parts, workspaces, crash, now_ms)
        self._changed_verdicts.add(verdict.number)
        self._name_parts(parts)
        self._explain_crashes(verdict)
        for excess in self._verdicts.pop_excess():
            self._finish_lift(excess, "evicted")

    def _find_narrowed(self, parts: frozenset[str]) -> HeldVerdict | None:
        """Return the verdict that a new one on some parts takes the place of."""
        for name in sorted(parts):
            for verdict in self._verdicts.naming(name):
                if parts <= verdict.parts or verdict.parts <= parts:
                    return verdict
        return None

    def _extend(
        self,
        verdict: HeldVerdict,
        parts: frozenset[str],
        workspaces: set[str],
        crash: Crash,
        now_ms: int,
    ) -> None:
        """Apply a crash of a request with some parts, or of another workspace."""
        verdict.crashes += 1
        verdict.counted.add(crash.number)
        verdict.crashed_ms = max(verdict.crashed_ms, crash.at_ms)
        doublings = min(verdict.narrowings, MAX_NARROWING_DOUBLINGS)
        verdict.narrowings += 1
        verdict.trials_from_ms = now_ms + (NARROWING_INTERVAL_MS << doublings)
        if any(verdict.add_workspace(workspace) for workspace in workspaces):
            self._log_changed(verdict, "widened")
        if parts < verdict.parts and verdict.narrowings >= _min_narrowings(
            verdict.parts, parts
        ):
            self._narrow(verdict, parts)

    def _narrow(self, verdict: HeldVerdict, parts: frozenset[str]) -> None:
        dropped = verdict.parts - parts
        for other in self._verdicts.matching(parts):
            if other is not verdict and other.parts == parts:
                self._lift(other, "merged")
        self._verdicts.set_parts(verdict, parts)
        self._changed_verdicts.add(verdict.number)
        self._name_parts(dropped)
        self._explain_crashes(verdict)
        self._log_changed(verdict, "narrowed")

    def _explain_crashes(self, verdict: HeldVerdict) -> None:
        """Count crashes of requests that a verdict names against no other part."""
        removed: list[str] = []
        for crash in self._suspicions.list_crashes():
            if not any(verdict.matches(s.parts) for s in crash.suspects):
                continue
            removed += self._suspicions.explain(crash, verdict.number, verdict.parts)
            self._lift_explained(crash, verdict)
        if removed:
            log_event(
                PARTS_CLEARED,
                parts=format_parts(removed),
                reason="explained",
                verdict=verdict.number,
            )

    def _lift_explained(self, crash: Crash, verdict: HeldVerdict) -> None:
        """Lift a verdict whose crash has another cause."""
        for other in self._verdicts:
            if other is verdict or other.crash != crash.number:
                continue
            is_together = any(
                other.matches(s.parts) and verdict.matches(s.parts)
                for s in crash.suspects
            )
            if not is_together:
                self._lift(other, "explained")

    def _review(self, crash: Crash, added: list[Suspect]) -> None:
        """Revoke a verdict if a late report names another possible cause."""
        for verdict in self._verdicts:
            if verdict.crash != crash.number:
                continue
            rivals = [s for s in added if not verdict.matches(s.parts)]
            if any(self._attribution.is_rival(verdict, s) for s in rivals):
                crash.explained_by = 0
                for suspect in crash.suspects:
                    self._count(crash, suspect, crash.seen_ms)
                self._lift(verdict, "late_report")

    def lift(self, number: int, operator: str, now_ms: int) -> bool:
        """Lift a verdict and clear its parts by order of an operator.

        Returns
        -------
        bool
            Whether the verdict was known.
        """
        verdict = self._verdicts.get(number)
        if verdict is None:
            return False
        for name in verdict.parts:
            self._suspicions.clear(name, now_ms)
        self._lift(verdict, "operator", operator)
        return True

    def _lift(self, verdict: HeldVerdict, reason: str, operator: str = "") -> None:
        self._verdicts.remove(verdict.number)
        self._finish_lift(verdict, reason, operator)

    def _finish_lift(
        self, verdict: HeldVerdict, reason: str, operator: str = ""
    ) -> None:
        self._lifted.add(verdict.number)
        self._changed_verdicts.add(verdict.number)
        self._name_parts(verdict.parts)
        log_event(
            VERDICT_LIFTED,
            verdict=verdict.number,
            parts=format_parts(verdict.parts),
            reason=reason,
            operator=operator,
        )

    def _name_parts(self, names: Iterable[str]) -> None:
        for name in names:
            self._suspicions.set_named(name, bool(self._verdicts.naming(name)))

    # Trials

    def request_trial(self, request: TrialRequest, now_ms: int) -> TrialReply:
        """Grant or refuse a request with suspected parts."""
        self._end_replaced_trials(request.instance, now_ms)
        retry_after_ms = self._find_trial_wait_ms(request, now_ms)
        if retry_after_ms is None:
            self._start_trial(request, now_ms)
        return TrialReply(
            self._term,
            request.number,
            request.sent_ms,
            retry_after_ms is None,
            retry_after_ms or 0,
        )

    def _find_trial_wait_ms(self, request: TrialRequest, now_ms: int) -> int | None:
        """Return the time until a trial may be free; None if it is now."""
        self._note_time(now_ms)
        parts = frozenset(request.parts[:MAX_NAMES_PER_REQUEST])
        for verdict in self._verdicts.matching(parts):
            if verdict.binds(request.workspace) and verdict.is_in_force(now_ms):
                return verdict.lapses_ms - now_ms
        if now_ms < self._learning_until_ms:
            return self._learning_until_ms - now_ms
        suspected = self._list_suspected(parts)
        for name in suspected:
            for verdict in self._verdicts.naming(name):
                if now_ms < verdict.trials_from_ms:
                    return verdict.trials_from_ms - now_ms
        is_exclusive = self._is_exclusive(suspected)
        is_free = self._trials.is_free(suspected, is_exclusive)
        return None if is_free else TRIAL_RETRY_MS

    def _start_trial(self, request: TrialRequest, now_ms: int) -> None:
        suspected = self._list_suspected(request.parts[:MAX_NAMES_PER_REQUEST])
        if not suspected:
            return
        trial = Trial(
            request.instance,
            request.number,
            request.workspace,
            suspected,
            now_ms,
            self._is_exclusive(suspected),
        )
        self._trials.start(trial)
        log_event(
            TRIAL_GRANTED,
            instance=trial.instance,
            trial=trial.number,
            workspace=trial.workspace,
            parts=format_parts(suspected),
        )

    def _list_suspected(self, parts: Iterable[str]) -> frozenset[str]:
        known = (self._suspicions.get(name) for name in parts)
        return frozenset(s.name for s in known if s is not None and s.needs_trial)

    def _is_exclusive(self, suspected: Iterable[str]) -> bool:
        return any(self._suspicions.get(name).is_exclusive for name in suspected)

    def end_trial(self, message: TrialEnded, now_ms: int) -> None:
        """End a trial without a crash."""
        trial = self._trials.get((message.instance, message.number))
        if trial is not None and not trial.crash:
            self._trials.end(trial.key)
            self._log_trial_ended(trial, "none")

    def _end_replaced_trials(self, instance: str, now_ms: int) -> None:
        for trial in self._trials.pop_replaced(instance, now_ms):
            self._log_trial_ended(trial, "lost")

    def tick(self, now_ms: int) -> None:
        """End lost trials, decide crashes and forget old evidence."""
        self._note_time(now_ms)
        for trial in self._trials.pop_lost(now_ms):
            self._log_trial_ended(trial, "lost")
        self._decide_crashes(now_ms)
        self._suspicions.expire(now_ms)

    def _note_time(self, now_ms: int) -> None:
        if self._learning_until_ms is None:
            self._learning_until_ms = now_ms + LEARNING_MS

    # Distribution

    def learn(self, knowledge: QuarantineKnowledge, now_ms: int) -> None:
        """Apply what an entry process knows of the table of an earlier leader."""
        if knowledge.term >= self._term:
            return
        self._note_time(now_ms)
        for verdict in knowledge.verdicts:
            self._learn_verdict(verdict, (knowledge.term, verdict.revision), now_ms)
        position = (knowledge.term, knowledge.revision)
        for suspicion in knowledge.suspicions:
            is_current = (
                position >= self._learned_position
                or (knowledge.term, suspicion.revision) > self._learned_position
            )
            if is_current:
                self._suspicions.learn(suspicion, now_ms - suspicion.age_ms)
            else:
                self._suspicions.decline(suspicion.name)
        self._learned_position = max(self._learned_position, position)
        self._suspicions.evict()

    def _learn_verdict(
        self, stated: QuarantineVerdict, position: tuple[int, int], now_ms: int
    ) -> None:
        number = stated.number
        known = self._verdicts.get(number)
        if not stated.parts:
            self._lifted.add(number)
            if known is not None:
                self._lift(known, "known_lifted")
            return
        self._changed_verdicts.add(number)
        if number in self._lifted:
            return
        if known is not None and position <= known.position:
            return
        verdict = HeldVerdict.learn(stated, position, now_ms)
        for other in self._verdicts.naming(min(verdict.parts)):
            if other.parts == verdict.parts and other.number != number:
                self._lifted.add(number)
                return
        self._verdicts.add(verdict)
        self._name_parts(verdict.parts | (known.parts if known else frozenset()))

    def pop_change(self, now_ms: int) -> QuarantineTable | None:
        """Return the changes since the last call, None if there are none."""
        names = self._suspicions.pop_changed()
        numbers, self._changed_verdicts = self._changed_verdicts, set()
        if not names and not numbers:
            return None
        base = self._revision
        self._revision += 1
        suspicions, verdicts = [], []
        for name in sorted(names):
            suspicion = self._suspicions.get(name)
            if suspicion is not None:
                suspicion.revision = self._revision
            suspicions.append(self._state(name, now_ms))
        for number in sorted(numbers):
            verdict = self._verdicts.get(number)
            if verdict is not None:
                verdict.revision = self._revision
                verdicts.append(verdict.state(now_ms))
            else:
                verdicts.append(
                    QuarantineVerdict(number, [], [], 0, 0, 0, self._revision)
                )
        return QuarantineTable(self._term, base, self._revision, suspicions, verdicts)

    def table(self, now_ms: int) -> QuarantineTable:
        """Return the whole table."""
        return QuarantineTable(
            self._term,
            0,
            self._revision,
            [self._state(name, now_ms) for name in self._suspicions.list_stated()],
            [verdict.state(now_ms) for verdict in self._verdicts],
        )

    def _state(self, name: str, now_ms: int) -> PartSuspicion:
        suspicion = self._suspicions.get(name)
        if suspicion is None:
            return PartSuspicion(name, 0, False, 0, self._revision)
        return PartSuspicion(
            name,
            max(1, suspicion.count),
            suspicion.needs_trial,
            max(0, now_ms - suspicion.last_ms),
            suspicion.revision,
        )

    # Log

    def _log_verdict(self, verdict: HeldVerdict) -> None:
        log_event(
            VERDICT,
            verdict=verdict.number,
            parts=format_parts(verdict.parts),
            workspaces=sorted(verdict.workspaces)[:8],
            crashes=verdict.crashes,
        )

    def _log_changed(self, verdict: HeldVerdict, reason: str) -> None:
        log_event(
            VERDICT_CHANGED,
            verdict=verdict.number,
            reason=reason,
            parts=format_parts(verdict.parts),
            workspaces=sorted(verdict.workspaces)[:8],
            crashes=verdict.crashes,
            confirmations=verdict.confirmations,
        )

    def _log_trial_ended(self, trial: Trial, result: str) -> None:
        log_event(
            TRIAL_ENDED,
            instance=trial.instance,
            trial=trial.number,
            result=result,
            parts=format_parts(trial.suspected),
        )
