"""Entry side of the token budgets."""

from dataclasses import dataclass

from papayacrank.messages import ShareGrant, ShareReport

DEMAND_HORIZON_MS = 2_500
IDLE_RETURN_MS = 2_000
SCARCE_RETURN_MS = 300
# Returned tokens still have to be granted; without this time a request was refused
# between the return and the grant.
RECLAIM_GRACE_MS = 300
MIN_REPORT_INTERVAL_MS = 20
IDLE_REPORTS = 10  # an idle share is reported this often, since reports can be lost
MS_PER_SECOND = 1000


@dataclass(slots=True)
class _Share:
    """Tokens of one workspace at this instance."""

    held: int = 0
    reserved: int = 0
    spent: int = 0
    granted: int = 0
    queued: int = 0
    demand_per_s: float = 0.0
    demand_at_ms: int = 0
    used_at_ms: int = 0
    idle_reports: int = 0
    scarce: bool = False
    reclaiming_until_ms: int = 0

    @property
    def surplus(self) -> int:
        """Tokens held beyond the need of the queued requests."""
        return max(0, self.held - self.queued)

    def must_return(self, now_ms: int) -> bool:
        """Whether tokens that are not used here are needed elsewhere."""
        unused = now_ms - self.used_at_ms >= SCARCE_RETURN_MS
        return self.scarce and unused and self.surplus > 0

    @property
    def idle(self) -> bool:
        """Whether nothing is held, reserved or wanted."""
        return not (self.held or self.reserved or self.queued or self.demand_per_s)


@dataclass(slots=True)
class _Reservation:
    """Tokens of one request that are not spent yet.

    `forfeited` is set once they were counted as spent by an expired lease.
    """

    workspace: str
    tokens: int
    spent: int = 0
    forfeited: bool = False


class LocalShares:
    """Shares of the workspaces' budgets that this process may spend under a lease.

    When the lease expires, what is held is given up and what is reserved counts as
    spent, which is what the ledger assumes of a lost instance.
    """

    def __init__(self):
        self._shares: dict[str, _Share] = {}
        self._reservations: dict[str, _Reservation] = {}
        self._lease_until_ms = 0
        self._answered_sent_ms = -1
        self._reported_ms = -MIN_REPORT_INTERVAL_MS

    @property
    def lease_until_ms(self) -> int:
        """Time until which shares may be spent, in milliseconds."""
        return self._lease_until_ms

    @property
    def last_answered_report_ms(self) -> int:
        """When the last report that the ledger has answered was sent, or -1."""
        return self._answered_sent_ms

    def needs_report(self, now_ms: int) -> bool:
        """Whether queued requests need a grant, or others need what is held here."""
        waiting = any(
            share.queued > share.held or share.must_return(now_ms)
            for share in self._shares.values()
        )
        return waiting and now_ms - self._reported_ms >= MIN_REPORT_INTERVAL_MS

    def apply_grants(
        self, grants: list[ShareGrant], sent_ms: int, lease_ms: int
    ) -> None:
        """Add new grants and extend the lease.

        Parameters
        ----------
        grants : list of ShareGrant
            Totals granted to this process; older totals have no effect.
        sent_ms : int
            When the heartbeat that this answers was sent, on this process's clock.
        lease_ms : int
            Duration of the lease from `sent_ms`.
        """
        self._lease_until_ms = max(self._lease_until_ms, sent_ms + lease_ms)
        self._answered_sent_ms = max(self._answered_sent_ms, sent_ms)
        for grant in grants:
            share = self._shares.setdefault(grant.workspace, _Share())
            increase = max(0, grant.granted_tokens - share.granted)
            share.granted += increase
            share.held += increase
            share.scarce = grant.scarce
            if grant.reclaiming:
                share.reclaiming_until_ms = sent_ms + RECLAIM_GRACE_MS

    def is_reclaiming(self, workspace: str, now_ms: int) -> bool:
        """Whether other instances return tokens, or have just returned them."""
        share = self._shares.get(workspace)
        return share is not None and now_ms < share.reclaiming_until_ms

    def try_reserve(
        self, request_id: str, workspace: str, tokens: int, now_ms: int
    ) -> bool:
        """Reserve tokens for a request if the local share suffices.

        Parameters
        ----------
        request_id : str
            Request; must not have a reservation yet.
        workspace : str
            Workspace that pays.
        tokens : int
            Prompt tokens plus the maximum of output tokens.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether the tokens are reserved.
        """
        self._expire(now_ms)
        share = self._shares.setdefault(workspace, _Share())
        share.used_at_ms = now_ms
        if share.held < tokens or now_ms >= self._lease_until_ms:
            return False
        share.held -= tokens
        share.reserved += tokens
        self._reservations[request_id] = _Reservation(workspace, tokens)
        self._observe_demand(share, tokens, now_ms)
        return True

    def spend(self, request_id: str, tokens: int, now_ms: int) -> None:
        """Count reserved tokens as spent while the request still runs.

        What is reserved counts against the burst, so tokens that were consumed must
        leave the reservation early, or a workspace with long requests is held below
        its rate.

        Parameters
        ----------
        request_id : str
            Request; unknown requests are ignored.
        tokens : int
            Tokens consumed since the last call; what exceeds the reservation is left
            to `settle`.
        now_ms : int
            Current time in milliseconds.
        """
        self._expire(now_ms)
        reservation = self._reservations.get(request_id)
        if reservation is None or reservation.forfeited:
            return
        moved = min(tokens, reservation.tokens)
        reservation.tokens -= moved
        reservation.spent += moved
        share = self._shares[reservation.workspace]
        share.reserved -= moved
        share.spent += moved

    def settle(self, request_id: str, used_tokens: int, now_ms: int) -> None:
        """End a reservation; unused tokens return to the share.

        Parameters
        ----------
        request_id : str
            Request; unknown requests are ignored.
        used_tokens : int
            Tokens that the request consumed in all, 0 if it did not run. Tokens that
            `spend` has counted stay spent.
        now_ms : int
            Current time in milliseconds.
        """
        self._expire(now_ms)
        reservation = self._reservations.pop(request_id, None)
        if reservation is None or reservation.forfeited:
            return
        share = self._shares[reservation.workspace]
        rest = max(0, used_tokens - reservation.spent)
        share.reserved -= reservation.tokens
        share.spent += rest
        share.held += reservation.tokens - rest

    def set_queued(self, workspace: str, tokens: int) -> None:
        """State how many tokens the queued requests of a workspace need."""
        self._shares.setdefault(workspace, _Share()).queued = tokens

    def reports(self, now_ms: int) -> list[ShareReport]:
        """Return the reports for the next heartbeat and give back idle tokens."""
        self._expire(now_ms)
        self._reported_ms = now_ms
        reports = []
        for workspace, share in sorted(self._shares.items()):
            if share.idle_reports < IDLE_REPORTS or not share.idle:
                reports.append(self._report(workspace, share, now_ms))
        return reports

    def release_all(self, now_ms: int) -> list[ShareReport]:
        """Give back everything that is not reserved, before a planned stop."""
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
        if now_ms - share.used_at_ms >= IDLE_RETURN_MS:
            share.held = min(share.held, wanted)
        if wanted == 0:
            share.demand_per_s = 0.0
        share.idle_reports = share.idle_reports + 1 if share.idle else 0
        return ShareReport(
            workspace=workspace,
            held_tokens=share.held,
            reserved_tokens=share.reserved,
            spent_tokens=share.spent,
            wanted_tokens=wanted,
            granted_tokens=share.granted,
            queued_tokens=share.queued,
        )

    def _expire(self, now_ms: int) -> None:
        if now_ms < self._lease_until_ms:
            return
        for share in self._shares.values():
            share.held = min(share.held, 0)
            share.spent += share.reserved
            share.reserved = 0
        for reservation in self._reservations.values():
            reservation.forfeited = True

    @staticmethod
    def _observe_demand(share: _Share, tokens: int, now_ms: int) -> None:
        """Update the exponentially weighted demand rate."""
        elapsed_ms = max(0, now_ms - share.demand_at_ms)
        kept = max(0.0, 1.0 - elapsed_ms / DEMAND_HORIZON_MS)
        added = tokens * MS_PER_SECOND / DEMAND_HORIZON_MS
        share.demand_per_s = share.demand_per_s * kept + added
        share.demand_at_ms = now_ms

    @staticmethod
    def _predict_demand(share: _Share, now_ms: int) -> int:
        """Return the tokens likely to be asked for within the horizon."""
        elapsed_ms = max(0, now_ms - share.demand_at_ms)
        kept = max(0.0, 1.0 - elapsed_ms / DEMAND_HORIZON_MS)
        return int(share.demand_per_s * kept * DEMAND_HORIZON_MS / MS_PER_SECOND)
