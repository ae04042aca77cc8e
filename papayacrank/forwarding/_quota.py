"""Enforcement of workspace rate limits that hold over all instances together."""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from papayacrank.admission import LocalShares
from papayacrank.messages import RoutingConfiguration, WorkspaceProfile

from ._refusal_schedule import RefusalSchedule

MS_PER_SECOND = 1_000
# Without contact to the control group, an instance uses only this fraction of an equal
# share of the rate, because instances in contact may be granted all of it.
FALLBACK_FRACTION = 0.5
MAX_WAITING = 256
# Requests may wait at least this long for a grant, and until the ledger has answered a
# report that includes them. A grant takes about 30 ms, and longer if the leader serves
# 200 instances.
GRANT_WAIT_MS = 250
# Part of the latency objective for which a request may wait for tokens; the rest is
# needed to serve it.
GRANT_WAIT_FRACTION = 0.75
# Time that may pass until the needs of earlier requests are met, as forecast when a
# request arrives and as the ledger has answered later (several instances may have
# queued requests by the same reply). They are the same for requests of all sizes and
# objectives: if patient requests were admitted behind a longer backlog, urgent ones
# would find it too long. The rest of the wait is for the refill of the own need, which
# large requests could never get otherwise.
MAX_BACKLOG_MS = 120
MAX_ANSWERED_BACKLOG_MS = 350
# Reports are answered every 500 ms; a longer gap than this means a leader change.
STALE_CONTACT_MS = 750


@dataclass(slots=True)
class _WaitingRequest:
    request_id: str
    workspace: str
    cost: int
    enqueued_ms: int
    ends_ms: int


@dataclass(slots=True)
class _TokenBucket:
    """Bucket without the ledger.

    A request is admitted if the level is at least `threshold` times its cost.
    """

    level: float
    refilled_ms: int
    threshold: float


class RefusalReason(StrEnum):
    """Why a request was refused over the rate of its workspace."""

    SCARCE = "scarce"  # the last reply said that no tokens can come in time
    ANSWERED = "answered"  # the reply to its own report said so
    NOT_GRANTED = "not_granted"  # no grant came within its time
    NO_CONTACT = "no_contact"  # beyond the part used without the ledger
    OVER_BURST = "over_burst"  # the request is larger than the burst
    QUEUE_FULL = "queue_full"  # too many requests wait at this instance


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """Decision on the admission of a request.

    Parameters
    ----------
    request_id : str
        Request.
    admitted : bool
        Whether the request was admitted.
    retry_after_ms : int
        Time in milliseconds after which the rate allows the request; 0 if admitted.
    ledger_age_ms : int
        Age in milliseconds of the ledger's last reply; meaningful for refusals.
    reason : RefusalReason or None
        Why the request was refused; None if admitted.
    """

    request_id: str
    admitted: bool
    retry_after_ms: int = 0
    ledger_age_ms: int = 0
    reason: RefusalReason | None = None


class QuotaEnforcer:
    """Admits requests within the rate limit of their workspace.

    Tokens come from shares that the control group grants under a lease. Without a
    valid lease, a token bucket with a fraction of an equal share of the rate is used.
    During a network partition, callers are then still served and workspaces stay
    within their rate.

    Parameters
    ----------
    shares : LocalShares
        Token shares granted to this instance.
    random_state : random.Random, optional
        Source of random choices.
    """

    def __init__(self, shares: LocalShares, random_state: Random | None = None):
        self._shares = shares
        self._random = random_state or Random()
        self._schedule = RefusalSchedule(self._random)
        self._profiles: dict[str, WorkspaceProfile] = {}
        self._waiting: deque[_WaitingRequest] = deque()
        self._fallback_buckets: dict[str, _TokenBucket] = {}
        self._instances = 1

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for a grant."""
        return bool(self._waiting)

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Set the rate limits of the workspaces."""
        self._profiles = {item.name: item for item in configuration.workspaces}
        self._schedule.retain(self._profiles)

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share the rate limits."""
        self._instances = max(1, count)

    def admit(
        self,
        request_id: str,
        workspace: str,
        cost: int,
        now_ms: int,
        objective_ms: int = 0,
    ) -> QuotaDecision | None:
        """Admit or refuse a request, or queue it until tokens are granted.

        Parameters
        ----------
        request_id : str
            Request.
        workspace : str
            Workspace that is charged.
        cost : int
            Tokens to reserve.
        now_ms : int
            Current time in milliseconds.
        objective_ms : int
            Latency objective of the request; 0 if it has none.

        Returns
        -------
        QuotaDecision or None
            None if the request is queued; `poll` returns its decision later.
        """
        profile = self._profiles.get(workspace)
        if profile is None or profile.rate_per_s <= 0:
            return QuotaDecision(request_id, True)
        ahead = [item for item in self._waiting if item.workspace == workspace]
        # The tokens granted for waiting requests are not for later ones.
        is_next = not ahead or self._shares.surplus(workspace) >= cost
        if is_next and self._shares.try_reserve(request_id, workspace, cost, now_ms):
            if self._shares.outlook(workspace, now_ms) is None:
                self._schedule.reset(workspace)
            return QuotaDecision(request_id, True)
        if self._is_stale(now_ms):
            return self._decide_alone(request_id, profile, cost, now_ms)
        if cost > profile.burst:
            reason = RefusalReason.OVER_BURST
            return self._refuse(request_id, profile, cost, reason, now_ms)
        if len(self._waiting) >= MAX_WAITING:
            reason = RefusalReason.QUEUE_FULL
            return self._refuse(request_id, profile, cost, reason, now_ms)
        max_wait_ms = max(
            MAX_ANSWERED_BACKLOG_MS, int(GRANT_WAIT_FRACTION * objective_ms)
        )
        ends_ms = now_ms + max_wait_ms
        waiting = _WaitingRequest(request_id, workspace, cost, now_ms, ends_ms)
        queued = sum(item.cost for item in ahead[1:])
        if not self._is_in_reach(waiting, queued, now_ms):
            reason = RefusalReason.SCARCE
            return self._refuse(request_id, profile, cost, reason, now_ms)
        self._waiting.append(waiting)
        self._set_queued(workspace)
        return None

    def poll(self, now_ms: int) -> list[QuotaDecision]:
        """Return decisions on queued requests, after a grant or a timeout.

        Requests of one workspace are decided in the order of their arrival.
        """
        decided = []
        # Tokens of the requests that wait behind the first one, by workspace.
        queued: dict[str, int] = {}
        for item in list(self._waiting):
            is_first = item.workspace not in queued
            behind = queued.get(item.workspace, 0)
            decision = self._reconsider(item, is_first, behind, now_ms)
            if decision is None:
                queued[item.workspace] = behind + (0 if is_first else item.cost)
                continue
            self._waiting.remove(item)
            self._set_queued(item.workspace)
            decided.append(decision)
        return decided

    def cancel(self, request_id: str) -> None:
        """Remove a queued request."""
        for item in list(self._waiting):
            if item.request_id == request_id:
                self._waiting.remove(item)
                self._set_queued(item.workspace)

    def spend(self, request_id: str, cost: int, now_ms: int) -> None:
        """Charge the tokens of a request that a target accepted."""
        self._shares.spend(request_id, cost, now_ms)

    def settle(self, request_id: str, used: int, now_ms: int) -> None:
        """Settle a request; unused tokens return to the share."""
        self._shares.settle(request_id, used, now_ms)

    def _reconsider(
        self, item: _WaitingRequest, is_first: bool, queued: int, now_ms: int
    ) -> QuotaDecision | None:
        profile = self._profiles.get(item.workspace)
        if profile is None or profile.rate_per_s <= 0:
            return QuotaDecision(item.request_id, True)
        if is_first and self._shares.try_reserve(
            item.request_id, item.workspace, item.cost, now_ms
        ):
            return QuotaDecision(item.request_id, True)
        if now_ms >= item.enqueued_ms + GRANT_WAIT_MS and self._is_stale(now_ms):
            return self._decide_alone(item.request_id, profile, item.cost, now_ms)
        if self._shares.last_answered_report_ms < item.enqueued_ms:
            return None
        if self._is_answered_in_reach(item, is_first, queued, now_ms):
            return None
        is_over = now_ms >= item.ends_ms
        reason = RefusalReason.NOT_GRANTED if is_over else RefusalReason.ANSWERED
        return self._refuse(item.request_id, profile, item.cost, reason, now_ms)

    def _is_answered_in_reach(
        self, item: _WaitingRequest, is_first: bool, queued: int, now_ms: int
    ) -> bool:
        """Whether tokens can still come in time, as the ledger has answered."""
        if now_ms >= item.ends_ms:
            return False
        outlook = self._shares.outlook(item.workspace, now_ms)
        if outlook is None:
            return now_ms < item.enqueued_ms + GRANT_WAIT_MS
        missing = queued - outlook.reclaimable_tokens
        own = item.cost
        if is_first:
            # The backlog includes its need.
            own = max(0, item.cost - self._shares.held(item.workspace))
            missing -= own
        granted_before_ms = now_ms + outlook.wait_ms(missing)
        granted_ms = now_ms + outlook.wait_ms(missing + own)
        return (
            granted_before_ms <= item.enqueued_ms + MAX_ANSWERED_BACKLOG_MS
            and granted_ms <= item.ends_ms
        )

    def _is_in_reach(self, item: _WaitingRequest, queued: int, now_ms: int) -> bool:
        """Whether tokens may come in time for a request that has just arrived."""
        outlook = self._shares.outlook(item.workspace, now_ms)
        if outlook is None:
            return True
        max_wait_ms = item.ends_ms - now_ms
        ahead = queued - outlook.reclaimable_tokens
        own = item.cost - self._shares.surplus(item.workspace)
        return (
            outlook.wait_ms(ahead) <= MAX_BACKLOG_MS
            and outlook.wait_ms(ahead + own) <= max_wait_ms
        )

    def _is_stale(self, now_ms: int) -> bool:
        """Whether the ledger has been silent for so long that no grant is expected."""
        return now_ms - self._shares.last_answered_report_ms > STALE_CONTACT_MS

    def _decide_alone(
        self, request_id: str, profile: WorkspaceProfile, cost: int, now_ms: int
    ) -> QuotaDecision:
        """Decide without the ledger."""
        if self._take_from_fallback(profile, cost, now_ms):
            return QuotaDecision(request_id, True)
        reason = RefusalReason.NO_CONTACT
        return self._refuse(request_id, profile, cost, reason, now_ms)

    def _refuse(
        self,
        request_id: str,
        profile: WorkspaceProfile,
        cost: int,
        reason: RefusalReason,
        now_ms: int,
    ) -> QuotaDecision:
        retry_after_ms = self._schedule_return(profile, cost, now_ms)
        age_ms = now_ms - self._shares.last_answered_report_ms
        return QuotaDecision(request_id, False, retry_after_ms, age_ms, reason)

    def _schedule_return(
        self, profile: WorkspaceProfile, cost: int, now_ms: int
    ) -> int:
        """Return the time after which there is room for a refused request."""
        rate = max(1, profile.rate_per_s)
        outlook = self._shares.outlook(profile.name, now_ms)
        wait_ms = MS_PER_SECOND * cost / rate
        if outlook is not None:
            wait_ms = outlook.wait_ms(cost)
        fraction = FALLBACK_FRACTION if self._is_stale(now_ms) else 1.0
        admitted_per_s = self._shares.admitted_per_s(profile.name, now_ms)
        part_per_s = min(rate, max(fraction * rate / self._instances, admitted_per_s))
        return self._schedule.retry_after_ms(
            profile.name, cost, wait_ms, part_per_s, now_ms
        )

    def _take_from_fallback(
        self, profile: WorkspaceProfile, cost: int, now_ms: int
    ) -> bool:
        fraction = FALLBACK_FRACTION / self._instances
        # The ledger leaves as much as the tolerance to instances without contact.
        reserve = max(profile.burst, profile.tolerance)
        bucket = self._fallback_buckets.get(profile.name)
        if bucket is None:
            bucket = _TokenBucket(fraction * reserve, now_ms, self._random.random())
            self._fallback_buckets[profile.name] = bucket
        elapsed_s = (now_ms - bucket.refilled_ms) / MS_PER_SECOND
        capacity = max(fraction * reserve, float(cost))
        bucket.level = min(
            capacity, bucket.level + fraction * profile.rate_per_s * elapsed_s
        )
        bucket.refilled_ms = now_ms
        # A request may cost more than the instance's fraction of the burst, so that
        # the level may become negative. With a threshold drawn anew for each admission,
        # all instances together admit no more than their fractions on average; if a
        # positive level were enough, each would admit a request of any size at once.
        if bucket.level <= 0 or bucket.level < bucket.threshold * cost:
            return False
        bucket.level -= cost
        bucket.threshold = self._random.random()
        return True

    def _set_queued(self, workspace: str) -> None:
        costs = [item.cost for item in self._waiting if item.workspace == workspace]
        self._shares.set_queued(workspace, sum(costs), costs[0] if costs else 0)
