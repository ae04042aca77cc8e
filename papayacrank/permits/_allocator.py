"""Allocation of permits by the leader of the control group, without I/O."""

from collections import Counter, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from papayacrank.kernel import log_event
from papayacrank.messages import (
    PermitReply,
    PermitRequest,
    PermitReturn,
    RateObservation,
    TargetRate,
    TargetRates,
)

from ._bucket import MS_PER_SECOND, RateBucket
from ._events import PERMITS_ALLOCATED, RATE_DECIDED
from ._rate import RateStatement

# A permit is for a time at most this long after its request.
MAX_WAIT_MS = 300
# Time for which a permit is valid once its wait has ended. It covers the way of the
# reply and the connection to the target.
PERMIT_LIFETIME_MS = 300
# A target that accepts no requests still gets some, because only a response can state
# that the limit has ended.
MIN_RATE_PER_S = 0.1
# Calls of the leader itself do not wait for permits until they have overdrawn the
# bucket by this many.
MAX_OVERDRAFT = 3
# A higher rate is applied at most this often to a target, so that responses with
# changing limits do not cause a message to all instances each.
MIN_RAISE_INTERVAL_MS = 1_000
# A limit that a target states no more is raised by this factor with each further
# response without it, and ends after this number of responses. Otherwise all instances
# would send to the target at once.
RELEASE_FACTOR = 4.0
RELEASE_STEPS = 3
MAX_LIMITS = 5_000
LOG_INTERVAL_MS = 2_000


@dataclass(slots=True)
class _Limit:
    """Limit of one target; `per_s` is None after the limit has ended.

    `release_step` counts the responses without a limit since the last one with it.
    `inherited` is the term and revision of a limit that was repeated to a new leader,
    and None once a response has changed it in the term of this leader.
    """

    start: int
    per_s: float | None
    revision: int
    changed_ms: int
    bucket: RateBucket | None
    # Last valid time of each granted permit, by instance and number; oldest first.
    granted: OrderedDict[tuple[str, int], int] = field(default_factory=OrderedDict)
    granted_by_instance: Counter = field(default_factory=Counter)
    refused: int = 0
    release_step: int = 0
    inherited: tuple[int, int] | None = None
    logged_ms: int = 0


class PermitAllocator:
    """Decides which requests may be sent to targets with a request rate limit.

    Each limited target has a token bucket. An instance requests a permit for each
    request that it wants to send there, and gets the next free token if its request
    can wait that long. An instance without a permit sends nothing, so that the requests
    of all instances together stay within the limit while instances are frozen, cut off
    or restarted.

    The state is kept in the memory of the leader. The buckets of a new leader are in
    debt for `MAX_WAIT_MS`, the time for which the previous leader may have granted
    permits; entry processes repeat the limits that they know to it.
    """

    def __init__(self):
        self._term = 0
        self._revision = 0
        self._pushed_revision = 0
        self._limits: OrderedDict[str, _Limit] = OrderedDict()

    @property
    def position(self) -> tuple[int, int]:
        """Term and revision of the table; the revision is 0 while it is empty."""
        return self._term, self._revision

    def reset(self, term: int) -> None:
        """Discard all state after an election."""
        self._term = term
        self._revision = 0
        self._pushed_revision = 0
        self._limits.clear()

    # Limits

    def rate_of(self, target: str) -> float | None:
        """Return the limit of a target in requests per second, None if it has none."""
        limit = self._limits.get(target)
        return limit.per_s if limit is not None else None

    def observe(self, observation: RateObservation, source: str, now_ms: int) -> bool:
        """Apply an observed limit; return whether the table has changed.

        Responses overtake each other. A limit that is new or lower is therefore
        applied at once, and one that is higher or has ended only if the request was
        sent after its sender had learned the limit in force. A limit ends in steps.

        Parameters
        ----------
        observation : RateObservation
            Limit that an instance has read or knows.
        source : str
            Instance that reports it.
        now_ms : int
            Current time in milliseconds.
        """
        limit = self._limits.get(observation.target)
        if limit is not None and 0 < observation.start < limit.start:
            return False
        if limit is None or observation.start > limit.start > 0:
            # What an instance knows of this term has been removed since.
            is_removed = not observation.is_fresh and observation.term == self._term
            if observation.per_s is None or is_removed:
                return False
            return self._set(observation, source, now_ms)
        if limit.inherited is not None and observation.per_s == limit.per_s:
            limit.inherited = max(limit.inherited, _position(observation))
        if not self._is_applicable(limit, observation, now_ms):
            return False
        return self._set(observation, source, now_ms)

    def observe_response(
        self,
        target: str,
        start: int,
        statement: RateStatement | None,
        now_ms: int,
    ) -> bool:
        """Apply a new or lower limit in a response to a call of the leader.

        Only responses to requests may raise or end a limit, because a target need not
        state it in each response to other calls.

        Parameters
        ----------
        target : str
            Target that responded.
        start : int
            Start number of the target.
        statement : RateStatement or None
            Limit in the response; None if it states none.
        now_ms : int
            Current time in milliseconds.
        """
        if statement is None or statement.per_s is None:
            return False
        observation = RateObservation(target, start, statement.per_s, is_fresh=True)
        return self.observe(observation, "leader", now_ms)

    def retain(self, starts: Mapping[str, int]) -> None:
        """Remove the limits of targets that are gone or have started again.

        Parameters
        ----------
        starts : mapping of str to int
            Start number by name of all targets; 0 if unknown.
        """
        for name, limit in list(self._limits.items()):
            start = starts.get(name)
            if start is None or start > limit.start > 0:
                del self._limits[name]

    def _is_applicable(
        self, limit: _Limit, observation: RateObservation, now_ms: int
    ) -> bool:
        per_s = observation.per_s
        if per_s == limit.per_s:
            return False
        known = _position(observation)
        if not observation.is_fresh:
            inherited = limit.inherited
            return inherited is not None and inherited < known < (self._term, 0)
        if limit.per_s is None:
            return True
        if per_s is not None and per_s < limit.per_s:
            return True
        is_due = now_ms - limit.changed_ms >= MIN_RAISE_INTERVAL_MS
        return known == (self._term, limit.revision) and is_due

    def _set(self, observation: RateObservation, source: str, now_ms: int) -> bool:
        name, per_s = observation.target, observation.per_s
        limit = self._limits.get(name)
        known = limit.per_s if limit is not None else None
        release_step = 0
        if per_s is None:
            release_step = limit.release_step + 1
            if release_step < RELEASE_STEPS:
                per_s = RELEASE_FACTOR * max(MIN_RATE_PER_S, known)
        self._revision += 1
        if limit is None:
            limit = _Limit(observation.start, per_s, 0, now_ms, None)
            self._limits[name] = limit
            while len(self._limits) > MAX_LIMITS:
                self._limits.popitem(last=False)
        limit.start = max(limit.start, observation.start)
        limit.per_s = per_s
        limit.release_step = release_step
        limit.revision = self._revision
        limit.changed_ms = now_ms
        limit.inherited = None if observation.is_fresh else _position(observation)
        self._update_bucket(limit, now_ms)
        log_event(
            RATE_DECIDED,
            target=name,
            per_s=per_s,
            known=known,
            reported_by=source,
            revision=self._revision,
        )
        return True

    @staticmethod
    def _update_bucket(limit: _Limit, now_ms: int) -> None:
        if limit.per_s is None:
            limit.bucket = None
            return
        per_s = max(MIN_RATE_PER_S, limit.per_s)
        if limit.bucket is None:
            debt = per_s * MAX_WAIT_MS / MS_PER_SECOND
            limit.bucket = RateBucket(per_s, -debt, now_ms)
        else:
            limit.bucket.set_rate(per_s, now_ms)

    # Distribution

    def pop_change(self) -> TargetRates | None:
        """Return the changes since the last call, None if there are none."""
        base = self._pushed_revision
        if base == self._revision:
            return None
        self._pushed_revision = self._revision
        return TargetRates(self._term, base, self._revision, self._list_rates(base))

    def table(self) -> TargetRates:
        """Return the whole table."""
        return TargetRates(self._term, 0, self._revision, self._list_rates(0))

    def _list_rates(self, base: int) -> list[TargetRate]:
        return [
            TargetRate(name, limit.start, limit.per_s, limit.revision)
            for name, limit in self._limits.items()
            if limit.revision > base
        ]

    # Permits

    def request(self, request: PermitRequest, now_ms: int) -> PermitReply:
        """Grant or refuse a permit, after applying the limit that the sender knows."""
        self.observe(request.known, request.instance, now_ms)
        target = request.known.target
        limit = self._limits.get(target)
        if limit is None or limit.bucket is None:
            revision = limit.revision if limit is not None else 0
            return self._reply(request, True, 0, None, revision)
        wait_ms = limit.bucket.wait_ms(now_ms)
        granted = wait_ms <= min(request.max_wait_ms, MAX_WAIT_MS)
        if granted:
            limit.bucket.take(now_ms)
            self._drop_lapsed(limit, now_ms)
            until_ms = now_ms + wait_ms + PERMIT_LIFETIME_MS
            limit.granted[(request.instance, request.number)] = until_ms
            limit.granted_by_instance[request.instance] += 1
        else:
            limit.refused += 1
        return self._reply(request, granted, wait_ms, limit.per_s, limit.revision)

    def give_back(self, returned: PermitReturn, now_ms: int) -> None:
        """Make the token of an unused permit free again, unless it has lapsed."""
        limit = self._limits.get(returned.target)
        if limit is None or limit.bucket is None:
            return
        until_ms = limit.granted.pop((returned.instance, returned.number), None)
        if until_ms is not None and now_ms < until_ms:
            limit.bucket.give_back(now_ms)

    def charge_call(self, target: str, now_ms: int) -> int:
        """Charge a call of the leader itself, which may overdraw the bucket.

        Returns
        -------
        int
            0 if the call may be made and is charged, otherwise the time in
            milliseconds after which to try again.
        """
        limit = self._limits.get(target)
        if limit is None or limit.bucket is None:
            return 0
        level_after = limit.bucket.level(now_ms) - 1.0
        missing = -MAX_OVERDRAFT - level_after
        if missing > 0:
            return 1 + int(missing * MS_PER_SECOND / limit.bucket.per_s)
        limit.bucket.take(now_ms)
        return 0

    def log_allocations(self, now_ms: int) -> None:
        """Log the permits of each target with activity since its last line."""
        for name, limit in self._limits.items():
            if not limit.granted_by_instance and not limit.refused:
                continue
            if now_ms - limit.logged_ms < LOG_INTERVAL_MS:
                continue
            limit.logged_ms = now_ms
            log_event(
                PERMITS_ALLOCATED,
                target=name,
                per_s=limit.per_s,
                granted=dict(limit.granted_by_instance),
                refused=limit.refused,
            )
            limit.granted_by_instance.clear()
            limit.refused = 0

    @staticmethod
    def _drop_lapsed(limit: _Limit, now_ms: int) -> None:
        while limit.granted and next(iter(limit.granted.values())) <= now_ms:
            limit.granted.popitem(last=False)

    def _reply(
        self,
        request: PermitRequest,
        granted: bool,
        wait_ms: int,
        per_s: float | None,
        revision: int,
    ) -> PermitReply:
        return PermitReply(
            self._term,
            request.number,
            request.sent_ms,
            request.known.target,
            granted,
            wait_ms,
            per_s,
            revision,
        )


def _position(observation: RateObservation) -> tuple[int, int]:
    """Return the term and revision that the observing instance knew."""
    return observation.term, observation.revision
