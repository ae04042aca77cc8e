"""Enforcement of workspace rate limits that hold over all instances together."""

from collections import deque
from dataclasses import dataclass

from papayacrank.admission import LocalShares
from papayacrank.messages import RoutingConfiguration, WorkspaceProfile

MS_PER_SECOND = 1_000
# Without contact to the control group, an instance uses only this fraction of an equal
# share of the rate, because instances in contact may be granted all of it.
FALLBACK_FRACTION = 0.5
MAX_WAITING = 256
# Requests wait at least this long for a grant, and until the ledger has answered a
# report that includes them. A grant takes about 30 ms, and longer if the leader serves
# 200 instances.
GRANT_WAIT_MS = 250
# Reports are answered every 500 ms; a longer gap than this means a leader change.
STALE_CONTACT_MS = 750


@dataclass(slots=True)
class _WaitingRequest:
    request_id: str
    workspace: str
    cost: int
    enqueued_ms: int


@dataclass(slots=True)
class _TokenBucket:
    level: float
    refilled_ms: int


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
    """

    request_id: str
    admitted: bool
    retry_after_ms: int = 0
    ledger_age_ms: int = 0


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
    """

    def __init__(self, shares: LocalShares):
        self._shares = shares
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

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share the rate limits."""
        self._instances = max(1, count)

    def admit(
        self, request_id: str, workspace: str, cost: int, now_ms: int
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

        Returns
        -------
        QuotaDecision or None
            None if the request is queued; `poll` returns its decision later.
        """
        profile = self._profiles.get(workspace)
        if profile is None or profile.rate_per_s <= 0:
            return QuotaDecision(request_id, True)
        if self._shares.try_reserve(request_id, workspace, cost, now_ms):
            return QuotaDecision(request_id, True)
        if self._is_stale(now_ms):
            admitted = self._take_from_fallback(profile, cost, now_ms)
            return self._decide(request_id, profile, cost, admitted, now_ms)
        if cost > profile.burst or len(self._waiting) >= MAX_WAITING:
            return self._decide(request_id, profile, cost, False, now_ms)
        waiting = _WaitingRequest(request_id, workspace, cost, now_ms)
        self._waiting.append(waiting)
        self._set_queued(workspace)
        return None

    def poll(self, now_ms: int) -> list[QuotaDecision]:
        """Return decisions on queued requests, after a grant or a timeout.

        Requests of one workspace are decided in the order of their arrival.
        """
        decided = []
        blocked: set[str] = set()
        for item in list(self._waiting):
            decision = self._reconsider(item, item.workspace in blocked, now_ms)
            if decision is None:
                blocked.add(item.workspace)
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
        self, item: _WaitingRequest, blocked: bool, now_ms: int
    ) -> QuotaDecision | None:
        profile = self._profiles.get(item.workspace)
        if profile is None or profile.rate_per_s <= 0:
            return QuotaDecision(item.request_id, True)
        if not blocked and self._shares.try_reserve(
            item.request_id, item.workspace, item.cost, now_ms
        ):
            return QuotaDecision(item.request_id, True)
        if now_ms < item.enqueued_ms + GRANT_WAIT_MS:
            return None
        if self._is_stale(now_ms):
            admitted = self._take_from_fallback(profile, item.cost, now_ms)
            return self._decide(item.request_id, profile, item.cost, admitted, now_ms)
        if self._shares.last_answered_report_ms >= item.enqueued_ms:
            return self._decide(item.request_id, profile, item.cost, False, now_ms)
        return None

    def _is_stale(self, now_ms: int) -> bool:
        """Whether the ledger has been silent for so long that no grant is expected."""
        return now_ms - self._shares.last_answered_report_ms > STALE_CONTACT_MS

    def _decide(
        self,
        request_id: str,
        profile: WorkspaceProfile,
        cost: int,
        admitted: bool,
        now_ms: int,
    ) -> QuotaDecision:
        wait_ms = MS_PER_SECOND * cost // max(1, profile.rate_per_s)
        retry_after_ms = 0 if admitted else max(100, wait_ms)
        age_ms = now_ms - self._shares.last_answered_report_ms
        return QuotaDecision(request_id, admitted, retry_after_ms, age_ms)

    def _take_from_fallback(
        self, profile: WorkspaceProfile, cost: int, now_ms: int
    ) -> bool:
        fraction = FALLBACK_FRACTION / self._instances
        bucket = self._fallback_buckets.get(profile.name)
        if bucket is None:
            bucket = _TokenBucket(fraction * profile.burst, now_ms)
            self._fallback_buckets[profile.name] = bucket
        elapsed_s = (now_ms - bucket.refilled_ms) / MS_PER_SECOND
        capacity = max(fraction * profile.burst, float(cost))
        bucket.level = min(
            capacity, bucket.level + fraction * profile.rate_per_s * elapsed_s
        )
        bucket.refilled_ms = now_ms
        # A request may cost more than the instance's fraction of the burst, so a
        # positive level is enough to admit it; the level may become negative.
        if bucket.level <= 0:
            return False
        bucket.level -= cost
        return True

    def _set_queued(self, workspace: str) -> None:
        queued = sum(w.cost for w in self._waiting if w.workspace == workspace)
        self._shares.set_queued(workspace, queued)
