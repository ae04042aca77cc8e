"""Suspected and quarantined names as known by one entry process, without I/O.

Names are those of requests and of the shared parts of prompts.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from papayacrank.messages import (
    PartsCleared,
    PartSuspicion,
    QuarantineKnowledge,
    QuarantineTable,
    QuarantineVerdict,
    TrialEnded,
    TrialReply,
    TrialRequest,
)

from ._names import MAX_PARTS_PER_REQUEST, is_request

# Time for which responses on parts and to requests are remembered. Those after a crash
# clear a name of it; those before tell names that were sound until then from new ones.
BEGUN_KEPT_MS = 60_000
MAX_BEGUN_PARTS = 4_096
MAX_BEGUN_REQUESTS = 4_096
# A clearing is repeated with the next response if the leader has not confirmed it.
CLEAR_INTERVAL_MS = 200
# Knowledge that a new leader has not confirmed is sent again after this time.
KNOWLEDGE_INTERVAL_MS = 500
MAX_KNOWN_PER_MESSAGE = 256
# Verdicts that were lifted are remembered, so that no process brings them back.
MAX_LIFTED_VERDICTS = 500
# Callers are told to come back after this time if no trial is free.
NO_TRIAL_RETRY_MS = 1_000


class PartsAdmission(Enum):
    """Whether a request may be sent, as far as its prompt parts are concerned."""

    ALLOWED = "allowed"
    NEEDS_TRIAL = "needs_trial"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class PartsDecision:
    """Decision on the prompt parts of a request.

    Parameters
    ----------
    verdict : int
        Number of the verdict that refuses the request or needs a trial; 0 if none.
    retry_after_ms : int or None
        If refused, the time in milliseconds until the verdict lapses.
    """

    admission: PartsAdmission
    verdict: int = 0
    retry_after_ms: int | None = None


class TrialOutcome(Enum):
    """Outcome of a trial request."""

    GRANTED = "granted"
    REFUSED = "refused"
    NO_REPLY = "no_reply"
    NOT_NEEDED = "not_needed"


@dataclass(frozen=True, slots=True)
class TrialDecision:
    """Decision on a trial request.

    Parameters
    ----------
    request_id : str
        Request that needs the trial.
    trial : int
        Number of the trial, if it is granted; 0 otherwise.
    retry_after_ms : int or None
        If not granted, the time in milliseconds after which a trial may be free.
    """

    request_id: str
    outcome: TrialOutcome
    trial: int = 0
    retry_after_ms: int | None = None


ALLOWED = PartsDecision(PartsAdmission.ALLOWED)
NEEDS_TRIAL = PartsDecision(PartsAdmission.NEEDS_TRIAL)


@dataclass(slots=True)
class _KnownSuspicion:
    """Suspicion of a part; `term` is the term of the leader that stated it."""

    crashes: int
    needs_trial: bool
    crashed_ms: int
    term: int
    revision: int
    reported_ms: int | None = None


@dataclass(slots=True)
class _KnownVerdict:
    """QuarantineVerdict of the leader of a term."""

    number: int
    parts: frozenset[str]
    workspaces: frozenset[str]
    crashes: int
    lapses_ms: int
    confirmations: int
    term: int
    revision: int

    def binds(self, workspace: str, parts: set[str]) -> bool:
        """Whether the verdict names parts of a request and its workspace."""
        is_bound = not self.workspaces or workspace in self.workspaces
        return is_bound and self.parts <= parts


@dataclass(frozen=True, slots=True)
class _Pending:
    request_id: str
    workspace: str
    parts: tuple[str, ...]


@dataclass(slots=True)
class _Knowledge:
    """Position up to which the table of an earlier leader is known."""

    term: int = 0
    revision: int = 0
    sent_ms: int | None = None
    unconfirmed: set[Any] = field(default_factory=set)


class _BegunNames:
    """Times of the last responses that were written past their beginnings.

    Requests have a bound of their own: each is new to the table, so they would displace
    the parts.
    """

    def __init__(self):
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._requests: OrderedDict[str, int] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return self.get(name) is not None

    def get(self, name: str) -> int | None:
        """Return the time in milliseconds, None if no response is known."""
        return (self._requests if is_request(name) else self._parts).get(name)

    def add(self, name: str, now_ms: int) -> None:
        """Note a response."""
        is_whole = is_request(name)
        table = self._requests if is_whole else self._parts
        table[name] = now_ms
        table.move_to_end(name)
        if len(table) > (MAX_BEGUN_REQUESTS if is_whole else MAX_BEGUN_PARTS):
            table.popitem(last=False)


class QuarantineClient:
    """Knows the suspected and quarantined parts and requests trials for them.

    Methods that need to send messages to the leader return them.

    Parameters
    ----------
    instance : str
        Name of this instance and its start, ``name@boot``.
    """

    def __init__(self, instance: str):
        self._instance = instance
        self._term = 0
        self._revision = 0
        self._suspicions: dict[str, _KnownSuspicion] = {}
        self._verdicts: dict[int, _KnownVerdict] = {}
        self._verdicts_by_part: dict[str, set[int]] = {}
        # Numbers of lifted verdicts, oldest first.
        self._lifted: OrderedDict[int, None] = OrderedDict()
        self._begun = _BegunNames()
        self._pending: dict[int, _Pending] = {}
        self._running: set[int] = set()
        # Trial requests that were given up; the leader may have granted them.
        self._withdrawn: list[int] = []
        self._numbers = itertools.count(1)
        self._former = _Knowledge()

    @property
    def instance(self) -> str:
        """Name of this instance and its start."""
        return self._instance

    @property
    def position(self) -> tuple[int, int]:
        """Term and revision of the leader's table that is known here in full."""
        return self._term, self._revision

    @property
    def suspected_parts(self) -> int:
        """Number of suspected parts."""
        return len(self._suspicions)

    @property
    def quarantined_parts(self) -> int:
        """Number of parts that are named by verdicts."""
        return len(self._verdicts_by_part)

    # Table of the leader

    def apply(self, table: QuarantineTable, now_ms: int) -> list[Any]:
        """Apply changes of the leader's table; those of an earlier term are ignored.

        Returns
        -------
        list
            Messages to the leader on parts on which responses were begun since the
            crashes that the table tells of.
        """
        if table.term < self._term:
            return []
        self.set_term(table.term)
        if table.base == 0:
            self._drop_unlisted(table)
        for suspicion in table.suspicions:
            self._apply_suspicion(suspicion, now_ms)
        for verdict in table.verdicts:
            self._apply_verdict(verdict, now_ms)
        if table.base <= self._revision:
            self._revision = max(self._revision, table.revision)
        return self._clear_begun((s.name for s in table.suspicions), now_ms)

    def _drop_unlisted(self, table: QuarantineTable) -> None:
        """Remove what a whole table of the same term does not list any more."""
        names = {suspicion.name for suspicion in table.suspicions}
        for name, known in list(self._suspicions.items()):
            is_stated = known.term == table.term and known.revision <= table.revision
            if is_stated and name not in names:
                del self._suspicions[name]
        numbers = {verdict.number for verdict in table.verdicts}
        for number, known in list(self._verdicts.items()):
            is_stated = known.term == table.term and known.revision <= table.revision
            if is_stated and number not in numbers:
                self._remove_verdict(number)
                self._note_lifted(number)

    def _apply_suspicion(self, suspicion: PartSuspicion, now_ms: int) -> None:
        name = suspicion.name
        known = self._suspicions.get(name)
        stated = (self._term, suspicion.revision)
        if known is not None and stated < (known.term, known.revision):
            return
        self._former.unconfirmed.discard(name)
        if suspicion.crashes == 0:
            self._suspicions.pop(name, None)
            return
        crashed_ms = now_ms - suspicion.age_ms
        is_same = known is not None and known.crashes >= suspicion.crashes
        self._suspicions[name] = _KnownSuspicion(
            suspicion.crashes,
            suspicion.needs_trial,
            crashed_ms,
            *stated,
            known.reported_ms if is_same else None,
        )

    def _apply_verdict(self, verdict: QuarantineVerdict, now_ms: int) -> None:
        number = verdict.number
        known = self._verdicts.get(number)
        stated = (self._term, verdict.revision)
        if known is not None and stated < (known.term, known.revision):
            return
        self._former.unconfirmed.discard(number)
        self._remove_verdict(number)
        if not verdict.parts:
            self._note_lifted(number)
            return
        self._verdicts[number] = _KnownVerdict(
            number,
            frozenset(verdict.parts),
            frozenset(verdict.workspaces),
            verdict.crashes,
            now_ms + verdict.lapses_in_ms,
            verdict.confirmations,
            *stated,
        )
        for name in verdict.parts:
            self._verdicts_by_part.setdefault(name, set()).add(number)

    def _remove_verdict(self, number: int) -> None:
        known = self._verdicts.pop(number, None)
        if known is None:
            return
        for name in known.parts:
            numbers = self._verdicts_by_part[name]
            numbers.discard(number)
            if not numbers:
                del self._verdicts_by_part[name]

    def _note_lifted(self, number: int) -> None:
        self._lifted[number] = None
        while len(self._lifted) > MAX_LIFTED_VERDICTS:
            self._lifted.popitem(last=False)

    def list_verdicts(self, now_ms: int) -> list[QuarantineVerdict]:
        """Return the verdicts that are known here."""
        return [
            _state_verdict(known, now_ms) for _, known in sorted(self._verdicts.items())
        ]

    # Requests

    def check(
        self, workspace: str, parts: tuple[str, ...], now_ms: int
    ) -> PartsDecision:
        """Decide whether a request may be sent.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        parts : tuple of str
            Names of the shared parts of the prompt.
        now_ms : int
            Current time in milliseconds.
        """
        if not self._suspicions and not self._verdicts:
            return ALLOWED
        names = set(parts)
        lapsed = 0
        for number in sorted(
            set().union(*(self._verdicts_by_part.get(name, ()) for name in names))
        ):
            verdict = self._verdicts[number]
            if not verdict.binds(workspace, names):
                continue
            remaining_ms = verdict.lapses_ms - now_ms
            if remaining_ms > 0:
                return PartsDecision(PartsAdmission.REFUSED, number, remaining_ms)
            lapsed = number
        if lapsed:
            return PartsDecision(PartsAdmission.NEEDS_TRIAL, lapsed)
        for name in names:
            known = self._suspicions.get(name)
            if known is not None and known.needs_trial:
                return NEEDS_TRIAL
        return ALLOWED

    def on_begun(self, parts: Iterable[str], now_ms: int) -> list[Any]:
        """Handle a response that was written past its beginning."""
        names = list(parts)
        for name in names:
            self._begun.add(name, now_ms)
        return self._clear_begun(names, now_ms) if self._suspicions else []

    def was_begun(self, part: str) -> bool:
        """Whether a response on a part was begun recently, as far as it is known."""
        return part in self._begun

    def _clear_begun(self, names: Iterable[str], now_ms: int) -> list[Any]:
        """Return messages on the suspected parts on which a response was begun.

        A response before the crash does not clear a part. It is reported once the part
        is on trial, because such a part is less likely to be the cause than a new one.
        """
        begun: dict[int, list[str]] = {}
        for name in names:
            known, begun_ms = self._suspicions.get(name), self._begun.get(name)
            if known is None or begun_ms is None or now_ms - begun_ms > BEGUN_KEPT_MS:
                continue
            is_after = begun_ms > known.crashed_ms
            if not is_after and not known.needs_trial:
                continue
            sent_ms = known.reported_ms
            if sent_ms is not None and now_ms - sent_ms < CLEAR_INTERVAL_MS:
                continue
            known.reported_ms = now_ms
            begun.setdefault(now_ms - begun_ms, []).append(name)
        return [
            PartsCleared(self._instance, parts, age_ms)
            for age_ms, parts in begun.items()
        ]

    # Trials

    def request_trial(
        self, request_id: str, workspace: str, parts: tuple[str, ...], now_ms: int
    ) -> TrialRequest:
        """Return the trial request of a request; `receive` returns its decision."""
        number = next(self._numbers)
        self._pending[number] = _Pending(request_id, workspace, tuple(parts))
        return TrialRequest(
            self._instance, number, now_ms, workspace, self.select_parts(parts)
        )

    def select_parts(self, parts: Iterable[str]) -> list[str]:
        """Return the names of a request that are reported to the leader.

        If there are too many, the request itself is kept and the parts of which least
        is known to be sound: suspected ones, then those on which no response was begun.
        """
        names = list(dict.fromkeys(parts))
        requests = [name for name in names if is_request(name)]
        others = [name for name in names if not is_request(name)]
        if len(others) > MAX_PARTS_PER_REQUEST:
            others.sort(key=lambda n: (n not in self._suspicions, n in self._begun))
        return requests[:1] + others[:MAX_PARTS_PER_REQUEST]

    def receive(
        self, reply: TrialReply, now_ms: int
    ) -> tuple[TrialDecision | None, list[Any]]:
        """Handle a reply of the leader.

        Returns
        -------
        TrialDecision or None
            Decision; None if the request does not wait for it any more.
        list
            Messages to send to the leader.
        """
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            if not reply.granted:
                return None, []
            return None, [TrialEnded(self._instance, reply.number)]
        request_id = pending.request_id
        if not reply.granted:
            refused = TrialOutcome.REFUSED
            return TrialDecision(request_id, refused, 0, reply.retry_after_ms), []
        self._running.add(reply.number)
        return TrialDecision(request_id, TrialOutcome.GRANTED, reply.number), []

    def abandon(self, request_id: str, now_ms: int) -> TrialDecision | None:
        """Give up waiting for a reply; None if the request does not wait for one."""
        if not self._forget_pending(request_id):
            return None
        no_reply = TrialOutcome.NO_REPLY
        return TrialDecision(request_id, no_reply, 0, NO_TRIAL_RETRY_MS)

    def cancel(self, request_id: str) -> None:
        """Forget the trial request of a request; its trial ends on arrival."""
        self._forget_pending(request_id)

    def _forget_pending(self, request_id: str) -> bool:
        numbers = [n for n, p in self._pending.items() if p.request_id == request_id]
        for number in numbers:
            del self._pending[number]
        self._withdrawn += numbers
        return bool(numbers)

    def withdraw_trials(self) -> list[Any]:
        """Return messages that end trials whose requests do not wait any more."""
        withdrawn, self._withdrawn = self._withdrawn, []
        return [TrialEnded(self._instance, number) for number in withdrawn]

    def end_trial(self, trial: int) -> list[Any]:
        """Return the message that ends a trial without a crash; 0 is no trial."""
        if trial not in self._running:
            return []
        self._running.discard(trial)
        return [TrialEnded(self._instance, trial)]

    def on_trial_crashed(self, trial: int) -> None:
        """Forget a trial that the leader hears of by a crash report."""
        self._running.discard(trial)

    # Knowledge for a new leader

    def set_term(self, term: int) -> None:
        """Record the term of the leader; earlier knowledge is repeated to it."""
        if term <= self._term:
            return
        if self._revision:
            self._former = _Knowledge(self._term, self._revision)
        self._former.unconfirmed = {*self._suspicions, *self._verdicts}
        self._former.sent_ms = None
        self._term = term
        self._revision = 0

    def poll(self, now_ms: int) -> list[Any]:
        """Return the knowledge that the leader has not confirmed, if due."""
        messages = self.withdraw_trials()
        former = self._former
        has_lifted = bool(self._lifted) and former.sent_ms is None and former.term
        if not former.unconfirmed and not has_lifted:
            return messages
        is_due = (
            former.sent_ms is None or now_ms - former.sent_ms >= KNOWLEDGE_INTERVAL_MS
        )
        if not is_due:
            return messages
        former.sent_ms = now_ms
        suspicions = [
            PartSuspicion(
                name,
                known.crashes,
                known.needs_trial,
                max(0, now_ms - known.crashed_ms),
                known.revision,
            )
            for name, known in self._suspicions.items()
            if name in former.unconfirmed
        ]
        suspicions.sort(key=lambda suspicion: -suspicion.crashes)
        verdicts = [
            _state_verdict(known, now_ms)
            for number, known in self._verdicts.items()
            if number in former.unconfirmed
        ]
        verdicts += [QuarantineVerdict(n, [], [], 0, 0, 0, 0) for n in self._lifted]
        messages.append(
            QuarantineKnowledge(
                self._instance,
                former.term,
                former.revision,
                suspicions[:MAX_KNOWN_PER_MESSAGE],
                verdicts,
            )
        )
        return messages


def _state_verdict(known: _KnownVerdict, now_ms: int) -> QuarantineVerdict:
    return QuarantineVerdict(
        known.number,
        sorted(known.parts),
        sorted(known.workspaces),
        known.crashes,
        max(0, known.lapses_ms - now_ms),
        known.confirmations,
        known.revision,
    )
