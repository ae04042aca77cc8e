"""Token budgets of all workspaces, maintained by the control group."""

from dataclasses import asdict, dataclass, field

from papayacrank.messages import ShareGrant, ShareReport

MILLITOKENS_PER_TOKEN = 1000
# An instance may hold at most the free tokens divided by this for expected demand, so
# that it does not empty the bucket for requests that arrive elsewhere.
EXPECTED_DEMAND_DIVISOR = 2
SCARCITY_DURATION_MS = 1_000
# An instance with a queued request reports every 20 ms, and its report takes up to
# 100 ms. A claim that is not renewed for longer belongs to a request that was refused,
# or to an instance that is frozen or cut off.
CLAIM_LIFETIME_MS = 200


@dataclass(frozen=True, slots=True)
class WorkspaceBudget:
    """Limits of a workspace, summed over all instances.

    Parameters
    ----------
    name : str
        Name of the workspace.
    rate_tokens_per_s, burst_tokens : int
        Refill rate in tokens per second and capacity of its token bucket.
    """

    name: str
    rate_tokens_per_s: int
    burst_tokens: int


@dataclass(slots=True)
class _Account:
    """Share of a workspace at one boot of an instance, in tokens."""

    granted: int = 0
    spent: int = 0
    outstanding: int = 0
    unneeded: int = 0


@dataclass(slots=True)
class _Claim:
    """Tokens that the first queued request at an instance still lacks."""

    tokens: int
    since_ms: int
    renewed_ms: int


@dataclass(slots=True)
class _Bucket:
    """Token bucket of a workspace.

    `level_millitokens` can still be granted. It may be negative after the burst was
    lowered below the outstanding tokens.
    """

    rate: int
    burst: int
    level_millitokens: int
    refilled_ms: int
    accounts: dict[str, _Account] = field(default_factory=dict)

    # Running sums over the accounts, so that a report does not visit all of them.
    outstanding: int = 0
    unneeded: int = 0
    scarce_until_ms: int = 0

    # Claims in the order in which they are met.
    claims: dict[str, _Claim] = field(default_factory=dict)

    def claim(self, key: str, tokens: int, now_ms: int) -> None:
        """Record or renew the claim of an account, which keeps its place."""
        known = self.claims.get(key)
        if known is None:
            self.claims[key] = _Claim(tokens, now_ms, now_ms)
        else:
            known.tokens, known.renewed_ms = tokens, now_ms

    def expire_claims(self, now_ms: int) -> None:
        """Remove the claims that were not renewed."""
        oldest_ms = now_ms - CLAIM_LIFETIME_MS
        for key in [k for k, c in self.claims.items() if c.renewed_ms < oldest_ms]:
            del self.claims[key]

    def claimed_before(self, key: str) -> int:
        """Return the tokens of the claims before that of an account, or of all."""
        tokens = 0
        for other, claim in self.claims.items():
            if other == key:
                break
            tokens += claim.tokens
        return tokens

    def backlog(self, key: str, now_ms: int) -> int:
        """Return the tokens that must be refilled until a claim of an account is met.

        Negative if tokens are free beyond the claims.
        """
        oldest_ms = now_ms - CLAIM_LIFETIME_MS
        claimed = 0
        for other, claim in self.claims.items():
            if claim.renewed_ms >= oldest_ms:
                claimed += claim.tokens
            if other == key:
                break
        refilled = self.rate * max(0, now_ms - self.refilled_ms)
        return claimed - (self.level_millitokens + refilled) // MILLITOKENS_PER_TOKEN

    def remove_account(self, key: str) -> None:
        """Remove an account and subtract it from the sums; unknown keys are ignored."""
        self.claims.pop(key, None)
        account = self.accounts.pop(key, None)
        if account is not None:
            self.outstanding -= account.outstanding
            self.unneeded -= account.unneeded

    def set_outstanding(self, account: _Account, outstanding: int) -> None:
        """Set the tokens that an account holds or has reserved."""
        self.outstanding += outstanding - account.outstanding
        account.outstanding = outstanding

    def set_unneeded(self, account: _Account, unneeded: int) -> None:
        """Set the tokens that an account holds beyond the need of queued requests."""
        self.unneeded += unneeded - account.unneeded
        account.unneeded = unneeded

    def refill(self, now_ms: int) -> None:
        """Add the refill since the last call; nothing if the clock has gone back."""
        elapsed_ms = max(0, now_ms - self.refilled_ms)
        self.level_millitokens += self.rate * elapsed_ms
        self.refilled_ms = max(self.refilled_ms, now_ms)
        self.cap()

    def cap(self) -> None:
        """Limit the level plus the outstanding tokens to the burst."""
        max_level = (self.burst - self.outstanding) * MILLITOKENS_PER_TOKEN
        self.level_millitokens = min(self.level_millitokens, max_level)


class BudgetLedger:
    """Token buckets of all workspaces and the shares that instances hold.

    The level of a bucket plus all outstanding shares never exceeds the burst, so the
    tokens of the requests admitted in any interval ``T`` are at most
    ``burst + rate * T`` over all instances. The ledger is deterministic and part of the
    replicated state.
    """

    def __init__(self):
        self._buckets: dict[str, _Bucket] = {}

    def configure(self, workspaces: list[WorkspaceBudget], now_ms: int) -> None:
        """Set the limits; the budgets of workspaces that are not listed are removed.

        Parameters
        ----------
        workspaces : list of WorkspaceBudget
            Limits of all workspaces.
        now_ms : int
            Clock of the leader in milliseconds.
        """
        names = {workspace.name for workspace in workspaces}
        for name in [name for name in self._buckets if name not in names]:
            del self._buckets[name]
        for limits in workspaces:
            self._configure_workspace(limits, now_ms)

    def apply_reports(
        self, instance: str, boot: int, reports: list[ShareReport], now_ms: int
    ) -> list[ShareGrant]:
        """Record the reports of an instance and grant tokens.

        Reports carry totals, so repeated, reordered or lost reports are harmless.

        Parameters
        ----------
        instance : str
            Reporting instance.
        boot : int
            Boot number of its process.
        reports : list of ShareReport
            One report for each workspace that the instance uses.
        now_ms : int
            Clock of the leader in milliseconds.

        Returns
        -------
        list of ShareGrant
            Totals granted to this boot, one for each reported workspace.
        """
        grants = []
        for report in reports:
            bucket = self._buckets.get(report.workspace)
            if bucket is None:
                continue
            bucket.refill(now_ms)
            key = _account_key(instance, boot)
            account = self._apply_report(bucket, key, report)
            bucket.expire_claims(now_ms)
            self._grant(bucket, key, account, report, now_ms)
            grants.append(ShareGrant(report.workspace, account.granted))
        return grants

    def mark_scarcity(
        self, instance: str, boot: int, grants: list[ShareGrant], now_ms: int
    ) -> list[ShareGrant]:
        """Return the grants with the current scarcity of their workspaces.

        Every reply states whether the instance must return unneeded tokens, even a
        reply to a report that changes no state.
        """
        key = _account_key(instance, boot)
        return [self._mark_grant(key, grant, now_ms) for grant in grants]

    def _mark_grant(self, key: str, grant: ShareGrant, now_ms: int) -> ShareGrant:
        bucket = self._buckets.get(grant.workspace)
        if bucket is None or now_ms >= bucket.scarce_until_ms:
            return grant
        account = bucket.accounts.get(key)
        own_unneeded = account.unneeded if account is not None else 0
        return ShareGrant(
            grant.workspace,
            grant.granted_tokens,
            scarce=True,
            reclaiming=bucket.unneeded > own_unneeded,
            reclaimable_tokens=max(0, bucket.unneeded - own_unneeded),
            backlog_tokens=bucket.backlog(key, now_ms),
            rate_per_s=bucket.rate,
        )

    def expire(self, instance: str, boot: int, now_ms: int) -> None:
        """Remove the shares of a boot whose lease has expired.

        Its outstanding tokens count as spent, because the instance may have spent them
        without a report.
        """
        for bucket in self._buckets.values():
            bucket.refill(now_ms)
            bucket.remove_account(_account_key(instance, boot))

    def reset_refill_clock(self, now_ms: int) -> None:
        """Continue on the clock of a new leader, without a refill for the gap.

        Claims are made anew, since their instances report every 20 ms.
        """
        for bucket in self._buckets.values():
            bucket.refilled_ms = now_ms
            bucket.claims.clear()

    def view(self) -> list[dict]:
        """Return the buckets for display to operators."""
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
        """Return the state without the claims as plain data.

        Builds without claims reject unknown fields of a bucket, so that the claims are
        apart.
        """
        state = {name: asdict(bucket) for name, bucket in self._buckets.items()}
        for bucket in state.values():
            del bucket["claims"]
        return state

    def snapshot_claims(self) -> dict:
        """Return the claims by workspace as plain data."""
        return {
            name: {key: asdict(claim) for key, claim in bucket.claims.items()}
            for name, bucket in self._buckets.items()
            if bucket.claims
        }

    def restore(self, state: dict, claims: dict | None = None) -> None:
        """Replace the state by results of `snapshot` and `snapshot_claims`."""
        self._buckets = {}
        for name, data in state.items():
            accounts = {k: _Account(**a) for k, a in data["accounts"].items()}
            self._buckets[name] = _Bucket(**(data | {"accounts": accounts}))
        for name, rows in (claims or {}).items():
            self._buckets[name].claims = {k: _Claim(**c) for k, c in rows.items()}

    def _configure_workspace(self, limits: WorkspaceBudget, now_ms: int) -> None:
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
    def _apply_report(bucket: _Bucket, key: str, report: ShareReport) -> _Account:
        """Subtract spent and returned tokens from the account.

        Tokens are conserved: those that leave the account without being spent return
        to the level.
        """
        account = bucket.accounts.get(key)
        if account is None:
            account = _Account(report.granted_tokens, report.spent_tokens)
            bucket.accounts[key] = account
        if report.spent_tokens < account.spent:
            return account
        # A leader of another build may have granted more than this one knows of.
        account.granted = max(account.granted, report.granted_tokens)
        undelivered = account.granted - report.granted_tokens
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
        bucket: _Bucket, key: str, account: _Account, report: ShareReport, now_ms: int
    ) -> None:
        """Grant the need of queued requests, then part of the expected demand.

        The first requests of the instances get their whole need in the order in which
        the ledger learned of them. Parts of a need would lie unused at many instances,
        and no large request would ever get enough beside small ones.
        """
        available = max(0, bucket.level_millitokens // MILLITOKENS_PER_TOKEN)
        undelivered = max(0, account.granted - report.granted_tokens)
        held = report.held_tokens + undelivered
        deficit = max(0, report.queued_tokens - held)
        free = max(0, available - bucket.claimed_before(key))
        lack = min(deficit, max(0, report.next_tokens - held))
        if report.next_tokens == 0:
            needed = min(free, deficit)
        elif deficit <= free:
            needed = deficit
        elif lack <= free:
            needed = lack
        else:
            needed = 0
        if needed < deficit:
            bucket.scarce_until_ms = now_ms + SCARCITY_DURATION_MS
        if lack > 0 and needed < lack:
            bucket.claim(key, lack, now_ms)
        else:
            bucket.claims.pop(key, None)
        free = max(0, available - needed - bucket.claimed_before(""))
        wanted = max(0, report.wanted_tokens - held - needed)
        unneeded = max(0, held - report.queued_tokens)
        expected = min(
            wanted,
            free,
            max(0, (free + unneeded) // EXPECTED_DEMAND_DIVISOR - unneeded),
        )
        bucket.set_unneeded(account, unneeded + expected)
        granted = needed + expected
        account.granted += granted
        bucket.set_outstanding(account, account.outstanding + granted)
        bucket.level_millitokens -= granted * MILLITOKENS_PER_TOKEN


def _account_key(instance: str, boot: int) -> str:
    return f"{instance}/{boot}"
