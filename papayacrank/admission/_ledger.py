"""Control side of the token budgets."""

from dataclasses import asdict, dataclass, field

from papayacrank.messages import ShareGrant, ShareReport

MILLITOKENS_PER_TOKEN = 1000
# An instance may hold at most this part of the free tokens for expected demand, so
# that it does not empty the bucket for requests that arrive elsewhere.
EXPECTED_DEMAND_PART = 2
SCARCE_MS = 1_000


@dataclass(frozen=True, slots=True)
class WorkspaceBudget:
    """Limits of a workspace over all instances together.

    Parameters
    ----------
    name : str
        Workspace.
    rate_tokens_per_s, burst_tokens : int
        Refill rate and capacity of its token bucket.
    """

    name: str
    rate_tokens_per_s: int
    burst_tokens: int


@dataclass(slots=True)
class _Account:
    """Share of one workspace at one boot of one instance, in tokens."""

    granted: int = 0
    spent: int = 0
    outstanding: int = 0
    unneeded: int = 0


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one workspace.

    `level_millitokens` is what may still be granted. It may be negative after the
    burst was lowered.
    """

    rate: int
    burst: int
    level_millitokens: int
    refilled_ms: int
    accounts: dict[str, _Account] = field(default_factory=dict)

    # Sums over the accounts, kept so that a report does not visit all of them.
    outstanding: int = 0
    unneeded: int = 0
    scarce_until_ms: int = 0

    def remove_account(self, key: str) -> None:
        """Remove an account from the sums; unknown keys are ignored."""
        account = self.accounts.pop(key, None)
        if account is not None:
            self.outstanding -= account.outstanding
            self.unneeded -= account.unneeded

    def set_outstanding(self, account: _Account, outstanding: int) -> None:
        """Change what an account holds or has reserved."""
        self.outstanding += outstanding - account.outstanding
        account.outstanding = outstanding

    def set_unneeded(self, account: _Account, unneeded: int) -> None:
        """Change what an account holds beyond the need of its queued requests."""
        self.unneeded += unneeded - account.unneeded
        account.unneeded = unneeded

    def refill(self, now_ms: int) -> None:
        """Add the refill since the last call; a clock that went back adds none."""
        elapsed_ms = max(0, now_ms - self.refilled_ms)
        self.level_millitokens += self.rate * elapsed_ms
        self.refilled_ms = max(self.refilled_ms, now_ms)
        self.cap()

    def cap(self) -> None:
        """Keep the level plus what is outstanding within the burst."""
        room = (self.burst - self.outstanding) * MILLITOKENS_PER_TOKEN
        self.level_millitokens = min(self.level_millitokens, room)


class BudgetLedger:
    """Token buckets of all workspaces and the shares that instances hold.

    The level of a bucket plus all outstanding shares never exceeds the burst, so the
    tokens of the requests admitted in any interval ``T`` are at most
    ``burst + rate * T``, wherever they are admitted. The ledger is deterministic and
    part of the replicated state.
    """

    def __init__(self):
        self._buckets: dict[str, _Bucket] = {}

    def configure(self, workspaces: list[WorkspaceBudget], now_ms: int) -> None:
        """Set the limits; workspaces that are not listed lose their budget.

        Parameters
        ----------
        workspaces : list of WorkspaceBudget
            All workspaces.
        now_ms : int
            Time of the leader, in milliseconds.
        """
        names = {workspace.name for workspace in workspaces}
        for name in [name for name in self._buckets if name not in names]:
            del self._buckets[name]
        for limits in workspaces:
            self._configure_one(limits, now_ms)

    def apply_reports(
        self, instance: str, boot: int, reports: list[ShareReport], now_ms: int
    ) -> list[ShareGrant]:
        """Book what an instance reports and grant what it wants.

        Reports carry totals, so a repeated, reordered or lost report does no harm.

        Parameters
        ----------
        instance : str
            Reporting instance.
        boot : int
            Boot number of its process.
        reports : list of ShareReport
            One report for each workspace that the instance uses.
        now_ms : int
            Time of the leader, in milliseconds.

        Returns
        -------
        list of ShareGrant
            Totals granted to this boot, for the workspaces reported.
        """
        grants = []
        for report in reports:
            bucket = self._buckets.get(report.workspace)
            if bucket is None:
                continue
            bucket.refill(now_ms)
            account = self._book(bucket, _account_key(instance, boot), report)
            self._grant(bucket, account, report, now_ms)
            grants.append(ShareGrant(report.workspace, account.granted))
        return grants

    def mark_scarcity(
        self, instance: str, boot: int, grants: list[ShareGrant], now_ms: int
    ) -> list[ShareGrant]:
        """Return the grants with the present scarcity of their workspaces.

        An instance learns in every answer, also one that changes no state, whether it
        must return what it does not need.
        """
        key = _account_key(instance, boot)
        return [self._mark_one(key, grant, now_ms) for grant in grants]

    def _mark_one(self, key: str, grant: ShareGrant, now_ms: int) -> ShareGrant:
        bucket = self._buckets.get(grant.workspace)
        if bucket is None or now_ms >= bucket.scarce_until_ms:
            return grant
        account = bucket.accounts.get(key)
        own = account.unneeded if account is not None else 0
        return ShareGrant(
            grant.workspace,
            grant.granted_tokens,
            scarce=True,
            reclaiming=bucket.unneeded > own,
        )

    def expire(self, instance: str, boot: int, now_ms: int) -> None:
        """Drop the shares of a boot whose lease has expired.

        What it held counts as spent, because the instance may have spent it without
        a report.
        """
        for bucket in self._buckets.values():
            bucket.refill(now_ms)
            bucket.remove_account(_account_key(instance, boot))

    def reset_refill_clock(self, now_ms: int) -> None:
        """Continue on the clock of a new leader, without refill for the gap."""
        for bucket in self._buckets.values():
            bucket.refilled_ms = now_ms

    def view(self) -> list[dict]:
        """Return the buckets for operators."""
        return [
            {
                "workspace": name,
                "rate_tokens_per_s": bucket.rate,
                "burst_tokens": bucket.burst,
                "level_tokens": bucket.level_millitokens // MILLITOKENS_PER_TOKEN,
                "outstanding_tokens": bucket.outstanding,
                "shares": {
                    key: account.outstanding for key, account in bucket.accounts.items()
                },
            }
            for name, bucket in sorted(self._buckets.items())
        ]

    def snapshot(self) -> dict:
        """Return the state as plain data."""
        return {name: asdict(bucket) for name, bucket in self._buckets.items()}

    def restore(self, state: dict) -> None:
        """Replace the state by one returned by `snapshot`."""
        self._buckets = {}
        for name, data in state.items():
            accounts = {k: _Account(**a) for k, a in data["accounts"].items()}
            self._buckets[name] = _Bucket(**(data | {"accounts": accounts}))

    def _configure_one(self, limits: WorkspaceBudget, now_ms: int) -> None:
        bucket = self._buckets.get(limits.name)
        if bucket is None:
            level = limits.burst_tokens * MILLITOKENS_PER_TOKEN
            self._buckets[limits.name] = _Bucket(
                limits.rate_tokens_per_s, limits.burst_tokens, level, now_ms
            )
            return
        bucket.refill(now_ms)
        bucket.rate = limits.rate_tokens_per_s
        bucket.burst = limits.burst_tokens
        bucket.cap()

    @staticmethod
    def _book(bucket: _Bucket, key: str, report: ShareReport) -> _Account:
        """Move what was spent or returned out of the account.

        Tokens are conserved: what leaves the account without having been spent goes
        back to the level.
        """
        account = bucket.accounts.get(key)
        if account is None:
            account = _Account(report.granted_tokens, report.spent_tokens)
            bucket.accounts[key] = account
        if report.spent_tokens < account.spent:
            return account
        undelivered = max(0, account.granted - report.granted_tokens)
        outstanding = report.held_tokens + report.reserved_tokens + undelivered
        spent = report.spent_tokens - account.spent
        returned = account.outstanding - spent - outstanding
        bucket.level_millitokens += returned * MILLITOKENS_PER_TOKEN
        account.spent = report.spent_tokens
        bucket.set_outstanding(account, outstanding)
        bucket.cap()
        return account

    @staticmethod
    def _grant(
        bucket: _Bucket, account: _Account, report: ShareReport, now_ms: int
    ) -> None:
        """Grant what queued requests need, then a part of the expected demand.

        Needs are met in the order of the reports. Dividing scarce tokens among the
        instances would leave each with less than one request needs.
        """
        available = max(0, bucket.level_millitokens // MILLITOKENS_PER_TOKEN)
        undelivered = max(0, account.granted - report.granted_tokens)
        present = report.held_tokens + undelivered
        deficit = max(0, report.queued_tokens - present)
        needed = min(available, deficit)
        if needed < deficit:
            bucket.scarce_until_ms = now_ms + SCARCE_MS
        wanted = max(0, report.wanted_tokens - present - needed)
        unneeded = max(0, present - report.queued_tokens)
        free = available - needed + unneeded
        expected = min(wanted, max(0, free // EXPECTED_DEMAND_PART - unneeded))
        bucket.set_unneeded(account, unneeded + expected)
        part = needed + expected
        account.granted += part
        bucket.set_outstanding(account, account.outstanding + part)
        bucket.level_millitokens -= part * MILLITOKENS_PER_TOKEN


def _account_key(instance: str, boot: int) -> str:
    return f"{instance}/{boot}"
