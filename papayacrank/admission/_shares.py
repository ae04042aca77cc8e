"""Shares of the token budgets at an entry process."""

from dataclasses import dataclass

from papayacrank.messages import ShareGrant, ShareReport

DEMAND_HORIZON_MS = 2_500
IDLE_RETURN_MS = 2_000
SCARCE_RETURN_MS = 300
# Covers the time between the return of tokens elsewhere and their grant; otherwise a
# request is refused in between.
RECLAIM_GRACE_MS = 300
MIN_REPORT_INTERVAL_MS = 20
# Replies arrive every 500 ms; what an older one said of the backlog has changed.
MAX_OUTLOOK_AGE_MS = 600
MAX_IDLE_REPORTS = 10  # idle shares are reported repeatedly, since reports can be lost
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class RefillOutlook:
    """When the ledger can meet a need for tokens, by its last reply.

    Parameters
    ----------
    backlog_tokens : float
        Tokens to be refilled before the first queued request is served, or before
        another request gets tokens if none is queued; negative if tokens are free.
    reclaimable_tokens : int
        Unused tokens that other instances will return.
    rate_per_s : int
        Rate of the refill in tokens per second.
    """

    backlog_tokens: float
    reclaimable_tokens: int
    rate_per_s: int

    def wait_ms(self, tokens: int) -> float:
        """Return how long it takes until tokens behind the backlog are refilled."""
        missing = self.backlog_tokens + tokens
        return max(0.0, missing * MS_PER_SECOND / self.rate_per_s)


@dataclass(slots=True)
class _Share:
    """Share of the budget of one workspace at this instance, in tokens."""

    held: int = 0
    reserved: int = 0
    spent: int = 0
    granted: int = 0
    queued: int = 0
    next_tokens: int = 0
    demand_per_s: float = 0.0
    demand_updated_ms: int = 0
    last_used_ms: int = 0
    idle_reports: int = 0
    scarce: bool = False
    reclaiming_until_ms: int = 0
    told: RefillOutlook | None = None
    told_ms: int = 0

    @property
    def surplus(self) -> int:
        """Tokens held beyond the need of the queued requests."""
        return max(0, self.held - self.queued)

    def must_return(self, now_ms: int) -> bool:
        """Whether unused tokens must be returned because they are needed elsewhere."""
        unused = now_ms - self.last_used_ms >= SCARCE_RETURN_MS
        return self.scarce and unused and self.surplus > 0

    @property
    def is_idle(self) -> bool:
        """Whether no tokens are held, reserved or wanted."""
        return not (self.held or self.reserved or self.queued or self.demand_per_s)


@dataclass(slots=True)
class _Reservation:
    """Tokens reserved for one request and not spent yet.

    `lease_expired` is set when the expiry of the lease has counted them as spent.
    """

    workspace: str
    tokens: int
    spent: int = 0
    lease_expired: bool = False


class LocalShares:
    """Shares of the workspace budgets that this process may spend under a lease.

    When the lease expires, held tokens are dropped and reserved tokens count as spent,
    as the ledger assumes for an instance that it has lost.
    """

    def __init__(self):
        self._shares: dict[str, _Share] = {}
        self._reservations: dict[str, _Reservation] = {}
        self._lease_until_ms = 0
        self._last_answered_report_ms = -1
        self._last_report_ms = -MIN_REPORT_INTERVAL_MS

    @property
    def lease_until_ms(self) -> int:
        """End of the lease in milliseconds."""
        return self._lease_until_ms

    @property
    def last_answered_report_ms(self) -> int:
        """Send time of the last report that the ledger has answered, or -1."""
        return self._last_answered_report_ms

    def needs_report(self, now_ms: int) -> bool:
        """Whether queued requests need a grant, or held tokens are needed elsewhere."""
        waiting = any(
            share.queued > share.held or share.must_return(now_ms)
            for share in self._shares.values()
        )
        return waiting and now_ms - self._last_report_ms >= MIN_REPORT_INTERVAL_MS

    def apply_grants(
        self, grants: list[ShareGrant], sent_ms: int, lease_ms: int
    ) -> None:
        """Apply new grants and extend the lease.

        Parameters
        ----------
        grants : list of ShareGrant
            Totals granted to this process; lower totals are outdated and ignored.
        sent_ms : int
            Send time of the answered heartbeat, on the clock of this process.
        lease_ms : int
            Duration of the lease from `sent_ms`, in milliseconds.
        """
        self._lease_until_ms = max(self._lease_until_ms, sent_ms + lease_ms)
        self._last_answered_report_ms = max(self._last_answered_report_ms, sent_ms)
        for grant in grants:
            share = self._shares.setdefault(grant.workspace, _Share())
            increase = max(0, grant.granted_tokens - share.granted)
            share.granted += increase
            share.held += increase
            share.scarce = grant.scarce
            if grant.reclaiming:
                share.reclaiming_until_ms = sent_ms + RECLAIM_GRACE_MS
            if sent_ms >= share.told_ms:
                share.told_ms = sent_ms
                share.told = _read_outlook(grant)

    def outlook(self, workspace: str, now_ms: int) -> RefillOutlook | None:
        """Return when the ledger can meet needs for tokens.

        Returns
        -------
        RefillOutlook or None
            None unless a recent reply said that tokens are scarce.
        """
        share = self._shares.get(workspace)
        if share is None or share.told is None:
            return None
        age_ms = now_ms - share.told_ms
        if age_ms > MAX_OUTLOOK_AGE_MS:
            return None
        told = share.told
        refilled = told.rate_per_s * age_ms / MS_PER_SECOND
        backlog = told.backlog_tokens - refilled
        return RefillOutlook(backlog, told.reclaimable_tokens, told.rate_per_s)

    def held(self, workspace: str) -> int:
        """Return the tokens that are neither reserved nor spent."""
        share = self._shares.get(workspace)
        return share.held if share is not None else 0

    def surplus(self, workspace: str) -> int:
        """Return the tokens held beyond the need of the queued requests."""
        share = self._shares.get(workspace)
        return share.surplus if share is not None else 0

    def admitted_per_s(self, workspace: str, now_ms: int) -> float:
        """Return the moving average of the tokens reserved in a second."""
        share = self._shares.get(workspace)
        if share is None:
            return 0.0
        return self._predict_demand(share, now_ms) * MS_PER_SECOND / DEMAND_HORIZON_MS

    def is_reclaiming(self, workspace: str, now_ms: int) -> bool:
        """Whether other instances are returning tokens or have just done so."""
        share = self._shares.get(workspace)
        return share is not None and now_ms < share.reclaiming_until_ms

    def try_reserve(
        self, request_id: str, workspace: str, tokens: int, now_ms: int
    ) -> bool:
        """Reserve tokens for a request if the local share is large enough.

        Parameters
        ----------
        request_id : str
            Request without a reservation.
        workspace : str
            Workspace whose share is used.
        tokens : int
            Prompt tokens plus maximum output tokens.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether the tokens are reserved.
        """
        self._expire(now_ms)
        share = self._shares.setdefault(workspace, _Share())
        share.last_used_ms = now_ms
        if share.held < tokens or now_ms >= self._lease_until_ms:
            return False
        share.held -= tokens
        share.reserved += tokens
        self._reservations[request_id] = _Reservation(workspace, tokens)
        self._observe_demand(share, tokens, now_ms)
        return True

    def spend(self, request_id: str, tokens: int, now_ms: int) -> None:
        """Count reserved tokens as spent while the request is still running.

        Reserved tokens count against the burst. Unless consumed tokens leave the
        reservation early, a workspace with long requests stays below its rate.

        Parameters
        ----------
        request_id : str
            Request; unknown requests are ignored.
        tokens : int
            Tokens consumed since the last call; the excess over the reservation is
            counted by `settle`.
        now_ms : int
            Current time in milliseconds.
        """
        self._expire(now_ms)
        reservation = self._reservations.get(request_id)
        if reservation is None or reservation.lease_expired:
            return
        newly_spent = min(tokens, reservation.tokens)
        reservation.tokens -= newly_spent
        reservation.spent += newly_spent
        share = self._shares[reservation.workspace]
        share.reserved -= newly_spent
        share.spent += newly_spent

    def settle(self, request_id: str, used_tokens: int, now_ms: int) -> None:
        """End a reservation and return its unused tokens to the share.

        Parameters
        ----------
        request_id : str
            Request; unknown requests are ignored.
        used_tokens : int
            Total tokens consumed by the request, 0 if it did not run. Tokens that
            `spend` has counted remain spent.
        now_ms : int
            Current time in milliseconds.
        """
        self._expire(now_ms)
        reservation = self._reservations.pop(request_id, None)
        if reservation is None or reservation.lease_expired:
            return
        share = self._shares[reservation.workspace]
        remaining = max(0, used_tokens - reservation.spent)
        share.reserved -= reservation.tokens
        share.spent += remaining
        share.held += reservation.tokens - remaining

    def set_queued(self, workspace: str, tokens: int, next_tokens: int = 0) -> None:
        """Set the tokens needed by the queued requests of a workspace.

        Parameters
        ----------
        workspace : str
            Workspace.
        tokens : int
            Tokens that all its queued requests need.
        next_tokens : int
            Tokens that the first of them needs; 0 if they may be granted in parts.
        """
        share = self._shares.setdefault(workspace, _Share())
        share.queued = tokens
        share.next_tokens = next_tokens

    def reports(self, now_ms: int) -> list[ShareReport]:
        """Return the reports for the next heartbeat, which give back idle tokens."""
        self._expire(now_ms)
        self._last_report_ms = now_ms
        reports = []
        for workspace, share in sorted(self._shares.items()):
            if share.idle_reports < MAX_IDLE_REPORTS or not share.is_idle:
                reports.append(self._report(workspace, share, now_ms))
        return reports

    def release_all(self, now_ms: int) -> list[ShareReport]:
        """Return all unreserved tokens to the ledger, before a planned stop."""
        for share in self._shares.values():
            share.held = min(share.held, 0)
            share.queued = 0
            share.demand_per_s = 0.0
        return self.reports(now_ms)

    def _report(self, workspace: str, share: _Share, now_ms: int) -> ShareReport:
        wanted = share.queued + self._predict_demand(share, now_ms)
        if share.must_return(now_ms):
            share.held -= share.surplus
            wanted = share.queued
        if now_ms - share.last_used_ms >= IDLE_RETURN_MS:
            share.held = min(share.held, wanted)
        if wanted == 0:
            share.demand_per_s = 0.0
        share.idle_reports = share.idle_reports + 1 if share.is_idle else 0
        return ShareReport(
            workspace=workspace,
            held_tokens=share.held,
            reserved_tokens=share.reserved,
            spent_tokens=share.spent,
            wanted_tokens=wanted,
            granted_tokens=share.granted,
            queued_tokens=share.queued,
            next_tokens=share.next_tokens,
        )

    def _expire(self, now_ms: int) -> None:
        if now_ms < self._lease_until_ms:
            return
        for share in self._shares.values():
            share.held = min(share.held, 0)
            share.spent += share.reserved
            share.reserved = 0
        for reservation in self._reservations.values():
            reservation.lease_expired = True

    @staticmethod
    def _observe_demand(share: _Share, tokens: int, now_ms: int) -> None:
        """Add a request to the decaying demand rate."""
        elapsed_ms = max(0, now_ms - share.demand_updated_ms)
        decay = max(0.0, 1.0 - elapsed_ms / DEMAND_HORIZON_MS)
        added = tokens * MS_PER_SECOND / DEMAND_HORIZON_MS
        share.demand_per_s = share.demand_per_s * decay + added
        share.demand_updated_ms = now_ms

    @staticmethod
    def _predict_demand(share: _Share, now_ms: int) -> int:
        """Return the expected demand in tokens within the horizon."""
        elapsed_ms = max(0, now_ms - share.demand_updated_ms)
        decay = max(0.0, 1.0 - elapsed_ms / DEMAND_HORIZON_MS)
        return int(share.demand_per_s * decay * DEMAND_HORIZON_MS / MS_PER_SECOND)


def _read_outlook(grant: ShareGrant) -> RefillOutlook | None:
    """Return the outlook in a reply; None if it has none or tokens are not scarce."""
    if not grant.scarce or grant.rate_per_s <= 0:
        return None
    return RefillOutlook(
        grant.backlog_tokens, grant.reclaimable_tokens, grant.rate_per_s
    )
