"""Limits and permits of one entry process, without I/O."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from papayacrank.kernel import log_event
from papayacrank.messages import (
    PermitReply,
    PermitRequest,
    PermitReturn,
    RateObservation,
    RateReport,
    TargetRate,
    TargetRates,
)

from ._allocator import MAX_LIMITS, PERMIT_LIFETIME_MS
from ._events import RATE_STATED, RATE_UNREADABLE
from ._rate import RateStatement

# A permit request without a reply after this time is abandoned. Replies take a few
# milliseconds, and longer if the link of the leader is busy.
REPLY_TIMEOUT_MS = 150
# Without a reply, no permit of the target is requested for this time, so that requests
# do not wait one after the other for a leader that is gone.
NO_REPLY_BACKOFF_MS = 250
# Permits that one request may request, one after the other.
MAX_PERMIT_REQUESTS = 3
# Values of `max_wait_ms` that exclude targets with a limit, or allow any wait.
NO_PERMITS = -1
ANY_PERMIT_WAIT_MS = 1 << 60
# A report that the leader has not confirmed is sent again after this time.
REPORT_INTERVAL_MS = 500


class PermitOutcome(Enum):
    """Outcome of a permit request."""

    GRANTED = "granted"
    REFUSED = "refused"
    UNLIMITED = "unlimited"
    NO_REPLY = "no_reply"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request to a target.

    Parameters
    ----------
    target : str
        Target that the request may be sent to.
    number : int
        Number of the permit request.
    from_ms, until_ms : int
        First time of validity and its end, in milliseconds on the clock of this
        process.
    """

    target: str
    number: int
    from_ms: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """Decision on a permit request.

    Parameters
    ----------
    request_id : str
        Request that needs the permit.
    permit : Permit or None
        Permit, if the outcome is `PermitOutcome.GRANTED`.
    """

    request_id: str
    target: str
    outcome: PermitOutcome
    permit: Permit | None = None


@dataclass(frozen=True, slots=True, order=True)
class RateKnowledge:
    """What a process knew about the limit of a target when it sent a request.

    Parameters
    ----------
    term, revision : int
        Term and revision of the limit in force; zeros if none was known.
    """

    term: int = 0
    revision: int = 0


@dataclass(slots=True)
class _KnownRate:
    """Limit of one target; `per_s` is None after the limit has ended."""

    start: int
    per_s: float | None
    knowledge: RateKnowledge = RateKnowledge()
    is_confirmed: bool = False
    reported_ms: int = 0
    # Whether the limit was read in a response since the leader last confirmed one.
    is_fresh: bool = False


@dataclass(frozen=True, slots=True)
class _Pending:
    request_id: str
    target: str


class PermitClient:
    """Knows the targets with a request rate limit and requests permits for them.

    Methods that need to send messages to the leader return them.

    Parameters
    ----------
    instance : str
        Name of this instance.
    """

    def __init__(self, instance: str):
        self._instance = instance
        self._term = 0
        self._revision = 0
        self._rates: dict[str, _KnownRate] = {}
        self._unreadable: set[str] = set()
        # Time before which the leader has no permit of a target, as last heard.
        self._free_at_ms: dict[str, int] = {}
        self._pending: dict[int, _Pending] = {}
        self._numbers = itertools.count(1)

    @property
    def position(self) -> tuple[int, int]:
        """Term and revision of the leader's table that is known here in full."""
        return self._term, self._revision

    @property
    def limited_targets(self) -> int:
        """Number of targets with a limit."""
        return sum(rate.per_s is not None for rate in self._rates.values())

    def rate_of(self, target: str) -> float | None:
        """Return the limit of a target in requests per second, None if it has none."""
        known = self._rates.get(target)
        return known.per_s if known is not None else None

    def wait_ms(self, target: str, now_ms: int) -> int:
        """Return the expected time until a permit of a target is free.

        Parameters
        ----------
        target : str
            Target; 0 is returned if it has no limit.
        now_ms : int
            Current time in milliseconds.
        """
        if self.rate_of(target) is None:
            return 0
        return max(0, self._free_at_ms.get(target, 0) - now_ms)

    def has_permit_within(self, target: str, max_wait_ms: int, now_ms: int) -> bool:
        """Return whether a target needs no permit or is expected to have one in time.

        Parameters
        ----------
        target : str
            Target.
        max_wait_ms : int
            Longest time to wait for a permit; `NO_PERMITS` for none.
        now_ms : int
            Current time in milliseconds.
        """
        if self.rate_of(target) is None:
            return True
        return self.wait_ms(target, now_ms) <= max_wait_ms

    def knowledge_of(self, target: str) -> RateKnowledge:
        """Return what is known about a target, to be passed to `observe` later."""
        known = self._rates.get(target)
        return known.knowledge if known is not None else RateKnowledge()

    # Limits

    def observe(
        self,
        target: str,
        start: int,
        statement: RateStatement | None,
        knowledge: RateKnowledge,
        may_raise: bool,
        request_id: str,
        now_ms: int,
    ) -> list[Any]:
        """Handle what the head of a response states.

        A limit that is new or lower is applied at once. Whether a limit has risen or
        ended is decided by the leader, because responses overtake each other.

        Parameters
        ----------
        target : str
            Target that sent the response.
        start : int
            Start number of the target; 0 if unknown.
        statement : RateStatement or None
            Limit in the response; None if it states none.
        knowledge : RateKnowledge
            Result of `knowledge_of` when the request was sent.
        may_raise : bool
            Whether the response may raise or end a limit: it certainly belongs to that
            request, and it is a success. A target need not state its limit in others.
        request_id : str
            Request, for the log.
        now_ms : int
            Current time in milliseconds.
        """
        if statement is not None and statement.per_s is None:
            self._log_unreadable(target, statement, request_id)
            return []
        per_s = statement.per_s if statement is not None else None
        known = self._rates.get(target)
        known_per_s = known.per_s if known is not None else None
        if per_s == known_per_s:
            return []
        if per_s is not None and (known_per_s is None or per_s < known_per_s):
            return self._adopt(target, start, per_s, request_id, now_ms)
        is_newer = may_raise and knowledge == known.knowledge
        is_due = now_ms - known.reported_ms >= REPORT_INTERVAL_MS
        if not is_newer or not known.is_confirmed or not is_due:
            return []
        known.reported_ms = now_ms
        observation = RateObservation(
            target, known.start, per_s, knowledge.term, knowledge.revision, True
        )
        return [RateReport(self._instance, [observation])]

    def _adopt(
        self, target: str, start: int, per_s: float, request_id: str, now_ms: int
    ) -> list[Any]:
        known = self._rates.get(target)
        if known is None:
            if len(self._rates) >= MAX_LIMITS:
                return []
            known = self._rates[target] = _KnownRate(start, None)
        log_event(
            RATE_STATED,
            target=target,
            per_s=per_s,
            known=known.per_s,
            request_id=request_id,
        )
        known.start = max(known.start, start)
        known.per_s = per_s
        known.is_confirmed = False
        known.is_fresh = True
        known.reported_ms = now_ms
        return [RateReport(self._instance, [self._observation(target)])]

    def _observation(self, target: str) -> RateObservation:
        known = self._rates[target]
        knowledge = known.knowledge
        return RateObservation(
            target,
            known.start,
            known.per_s,
            knowledge.term,
            knowledge.revision,
            known.is_fresh,
        )

    def _log_unreadable(
        self, target: str, statement: RateStatement, request_id: str
    ) -> None:
        """Log the first unreadable limit of a target."""
        if target in self._unreadable or len(self._unreadable) >= MAX_LIMITS:
            return
        self._unreadable.add(target)
        log_event(
            RATE_UNREADABLE, target=target, text=statement.text, request_id=request_id
        )

    def retain(self, starts: Iterable[tuple[str, int]]) -> None:
        """Remove what is known about targets that are gone or have started again.

        Parameters
        ----------
        starts : iterable of (str, int)
            Name and start number of all targets; the number is 0 if unknown.
        """
        if not (self._rates or self._unreadable or self._free_at_ms):
            return
        start_by_name = dict(starts)
        for name, known in list(self._rates.items()):
            start = start_by_name.get(name)
            if start is None or start > known.start > 0:
                del self._rates[name]
        self._unreadable &= start_by_name.keys()
        self._free_at_ms = {
            name: at_ms
            for name, at_ms in self._free_at_ms.items()
            if name in self._rates
        }

    def apply_rates(self, rates: TargetRates) -> None:
        """Apply changes of the leader's table; those of an earlier term are ignored."""
        if rates.term < self._term:
            return
        self.set_term(rates.term)
        for rate in rates.rates:
            self._apply_rate(rate)
        if rates.base <= self._revision:
            self._revision = max(self._revision, rates.revision)

    def _apply_rate(self, rate: TargetRate) -> None:
        known = self._rates.get(rate.target)
        if known is None:
            known = self._rates[rate.target] = _KnownRate(rate.start, None)
        knowledge = RateKnowledge(self._term, rate.revision)
        if 0 < rate.start < known.start or knowledge < known.knowledge:
            return
        known.knowledge = knowledge
        known.start = rate.start
        has_unconfirmed = known.is_fresh and not known.is_confirmed
        if has_unconfirmed and (rate.per_s is None or known.per_s < rate.per_s):
            # The leader has not received the limit that was read here.
            return
        known.per_s = rate.per_s
        known.is_confirmed = True
        known.is_fresh = False

    def set_term(self, term: int) -> None:
        """Record the term of the leader; limits of earlier terms are reported to it."""
        if term <= self._term:
            return
        self._term = term
        self._revision = 0
        for known in self._rates.values():
            known.is_confirmed = known.per_s is None
            known.reported_ms = -REPORT_INTERVAL_MS

    def poll(self, now_ms: int) -> list[Any]:
        """Return a report of the limits that the leader has not confirmed, if due."""
        due = [
            name
            for name, known in self._rates.items()
            if not known.is_confirmed
            and now_ms - known.reported_ms >= REPORT_INTERVAL_MS
        ]
        if not due:
            return []
        for name in due:
            self._rates[name].reported_ms = now_ms
        observations = [self._observation(name) for name in due]
        return [RateReport(self._instance, observations)]

    # Permits

    def request(
        self, request_id: str, target: str, max_wait_ms: int, now_ms: int
    ) -> PermitRequest:
        """Return the permit request for a request; `receive` returns its decision.

        Parameters
        ----------
        request_id : str
            Request that is to be sent.
        target : str
            Target with a limit.
        max_wait_ms : int
            Longest time that the request can wait for the permit.
        now_ms : int
            Current time in milliseconds.
        """
        number = next(self._numbers)
        self._pending[number] = _Pending(request_id, target)
        return PermitRequest(
            self._instance, number, now_ms, max_wait_ms, self._observation(target)
        )

    def cancel(self, request_id: str) -> None:
        """Forget the permit request of a request; its permit is returned on arrival."""
        number = self._find_pending(request_id)
        if number is not None:
            del self._pending[number]

    def _find_pending(self, request_id: str) -> int | None:
        numbers = (n for n, p in self._pending.items() if p.request_id == request_id)
        return next(numbers, None)

    def receive(
        self, reply: PermitReply, now_ms: int
    ) -> tuple[PermitDecision | None, list[Any]]:
        """Handle a reply of the leader.

        Returns
        -------
        PermitDecision or None
            Decision; None if the request does not wait for it any more.
        list
            Messages to send to the leader.
        """
        permit = None
        if reply.granted and reply.per_s is not None:
            permit = Permit(
                reply.target,
                reply.number,
                now_ms + reply.wait_ms,
                reply.sent_ms + reply.wait_ms + PERMIT_LIFETIME_MS,
            )
        self._apply_reply(reply, now_ms)
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return None, self.give_back(permit, now_ms) if permit else []
        if reply.per_s is None:
            outcome = PermitOutcome.UNLIMITED
        elif permit is None:
            outcome = PermitOutcome.REFUSED
        elif permit.from_ms < permit.until_ms:
            outcome = PermitOutcome.GRANTED
        else:
            outcome, permit = PermitOutcome.LAPSED, None
        decision = PermitDecision(pending.request_id, pending.target, outcome, permit)
        return decision, []

    def _apply_reply(self, reply: PermitReply, now_ms: int) -> None:
        if not reply.granted:
            self._free_at_ms[reply.target] = now_ms + reply.wait_ms
        known = self._rates.get(reply.target)
        if reply.per_s is None and known is not None and reply.term >= self._term:
            # The leader knows that the limit has ended.
            known.per_s = None
            known.knowledge = RateKnowledge(reply.term, reply.revision)
            known.is_confirmed = True
            known.is_fresh = False

    def abandon(self, request_id: str, now_ms: int) -> PermitDecision | None:
        """Give up waiting for a reply; None if the request does not wait for one."""
        number = self._find_pending(request_id)
        if number is None:
            return None
        pending = self._pending.pop(number)
        self._free_at_ms[pending.target] = now_ms + NO_REPLY_BACKOFF_MS
        return PermitDecision(request_id, pending.target, PermitOutcome.NO_REPLY)

    def give_back(self, permit: Permit, now_ms: int) -> list[Any]:
        """Return the message that returns a permit whose request was not sent."""
        if now_ms >= permit.until_ms:
            return []
        return [PermitReturn(self._instance, permit.number, permit.target)]
