"""Tests of the token budget that all instances share."""

import random

import pytest

from papayacrank.admission import BudgetLedger, LocalShares, WorkspaceBudget
from papayacrank.admission._shares import DEMAND_HORIZON_MS, IDLE_RETURN_MS

RATE_TOKENS_PER_S = 1_000
BURST_TOKENS = 5_000
LEASE_MS = 3_000
STEP_MS = 50
DRIFT_MARGIN_MS = 200
MESSAGE_LOSS = 0.2
MAX_DELAY_MS = 400
PERIOD_MS = 9_000
BUSY_MS = 4_000


class BudgetFleet:
    """Instances that exchange reports with one ledger over an unreliable network."""

    def __init__(self, seed, instances=4):
        self.random = random.Random(seed)
        self.ledger = BudgetLedger()
        self.ledger.configure(
            [WorkspaceBudget("w", RATE_TOKENS_PER_S, BURST_TOKENS)], 0
        )
        self.now_ms = 0
        self.boots = dict.fromkeys(range(instances), 1)
        self.shares = {i: LocalShares() for i in self.boots}
        self.partitioned = set()
        self.last_report_ms = {}
        self.network = []
        self.running_requests = {}
        self.admitted = []

    def step(self):
        """Advance the simulation by one time step with random faults."""
        self.now_ms += STEP_MS
        self._fail_or_recover()
        for instance, shares in self.shares.items():
            self._send_report(instance, shares)
            self._admit(instance, shares)
        self._settle()
        self._deliver()
        self._expire()

    def _fail_or_recover(self):
        if self.random.random() < 0.01:
            self.partitioned.symmetric_difference_update(
                {self.random.choice(list(self.boots))}
            )
        if self.random.random() < 0.01:
            instance = self.random.choice(list(self.boots))
            self.boots[instance] += 1
            self.shares[instance] = LocalShares()

    def _send(self, instance, deliver):
        if instance in self.partitioned or self.random.random() < MESSAGE_LOSS:
            return
        copies = 2 if self.random.random() < 0.1 else 1
        for _ in range(copies):
            delay_ms = self.random.randrange(MAX_DELAY_MS)
            self.network.append((self.now_ms + delay_ms, instance, deliver))

    def _send_report(self, instance, shares):
        reports, sent_ms = shares.reports(self.now_ms), self.now_ms
        boot = self.boots[instance]

        def deliver_report():
            self.last_report_ms[(instance, boot)] = self.now_ms
            grants = self.ledger.mark_scarcity(
                str(instance),
                boot,
                self.ledger.apply_reports(str(instance), boot, reports, self.now_ms),
                self.now_ms,
            )

            def deliver_grants():
                if self.boots[instance] == boot:
                    self.shares[instance].apply_grants(grants, sent_ms, LEASE_MS)

            self._send(instance, deliver_grants)

        self._send(instance, deliver_report)

    def _admit(self, instance, shares):
        """Request more than the rate in busy periods, and nothing in between."""
        if self.now_ms % PERIOD_MS > BUSY_MS:
            shares.set_queued("w", 0)
            return
        tokens = self.random.randrange(1, 800)
        shares.set_queued("w", 2 * tokens)
        request_id = f"{instance}-{self.boots[instance]}-{self.now_ms}"
        if shares.try_reserve(request_id, "w", tokens, self.now_ms):
            used = self.random.choice([tokens, self.random.randrange(tokens + 1)])
            end_ms = self.now_ms + self.random.randrange(1_000)
            shares.spend(request_id, self.random.randrange(used + 1), self.now_ms)
            self.running_requests[request_id] = (end_ms, shares, used)
            self.admitted.append((self.now_ms, used))

    def _settle(self):
        for request_id, (end_ms, shares, used) in list(self.running_requests.items()):
            if end_ms <= self.now_ms:
                shares.settle(request_id, used, self.now_ms)
                del self.running_requests[request_id]

    def _deliver(self):
        due = [item for item in self.network if item[0] <= self.now_ms]
        self.network = [item for item in self.network if item[0] > self.now_ms]
        for _, instance, deliver in sorted(due, key=lambda item: item[0]):
            if instance not in self.partitioned:
                deliver()

    def _expire(self):
        for (instance, boot), applied_ms in list(self.last_report_ms.items()):
            if self.now_ms - applied_ms > LEASE_MS + DRIFT_MARGIN_MS:
                self.ledger.expire(str(instance), boot, self.now_ms)
                del self.last_report_ms[(instance, boot)]

    def max_excess(self):
        """Return the maximum excess of an interval over the bound, in tokens.

        With ``b(t) = sum(used up to t) - rate * t`` an interval exceeds the bound if
        ``b`` rises by more than the burst within it, so one pass suffices.
        """
        excess = float("-inf")
        total_used, lowest = 0, 0.0
        for at_ms, used in self.admitted:
            refill = RATE_TOKENS_PER_S * at_ms / 1000
            lowest = min(lowest, total_used - refill)
            total_used += used
            excess = max(excess, total_used - refill - lowest - BURST_TOKENS)
        return excess


@pytest.mark.parametrize("seed", range(40))
def test_no_interval_exceeds_rate_and_burst(seed):
    """Guards against excess due to message faults, partitions and restarts.

    Messages are lost, delayed or repeated.
    """
    fleet = BudgetFleet(seed)
    for _ in range(1_500):
        fleet.step()
    assert fleet.max_excess() <= 0
    served = sum(used for _, used in fleet.admitted)
    assert served > RATE_TOKENS_PER_S * fleet.now_ms / 1000 * 0.2


def build_shares_with_full_burst(ledger, now_ms=0):
    """Return local shares that hold the whole burst."""
    shares = LocalShares()
    shares.set_queued("w", BURST_TOKENS)
    grants = ledger.apply_reports("a", 1, shares.reports(now_ms), now_ms)
    shares.apply_grants(grants, now_ms, LEASE_MS)
    return shares


def grant_to_other_instance(ledger, now_ms):
    """Return the tokens that another instance is granted immediately."""
    shares = LocalShares()
    shares.set_queued("w", BURST_TOKENS)
    grants = ledger.apply_reports("b", 1, shares.reports(now_ms), now_ms)
    return grants[0].granted_tokens


@pytest.mark.parametrize(
    ("lease_checked", "excess"), [(True, 0), (False, BURST_TOKENS)]
)
def test_isolated_instance_spends_nothing_after_its_lease(lease_checked, excess):
    """Guards against spending of a share by an isolated instance after its lease.

    The tokens have been refilled by then, so that without the lease check the same
    schedule spends twice the burst at once.
    """
    ledger = BudgetLedger()
    ledger.configure([WorkspaceBudget("w", RATE_TOKENS_PER_S, BURST_TOKENS)], 0)
    isolated = build_shares_with_full_burst(ledger)
    refilled_ms = LEASE_MS + DRIFT_MARGIN_MS + BURST_TOKENS
    ledger.expire("a", 1, LEASE_MS + DRIFT_MARGIN_MS)
    if not lease_checked:
        isolated._lease_until_ms = refilled_ms + 1
    spent = grant_to_other_instance(ledger, refilled_ms)
    if isolated.try_reserve("r", "w", BURST_TOKENS, refilled_ms):
        spent += BURST_TOKENS
    assert spent - BURST_TOKENS == excess


@pytest.mark.parametrize(
    ("expired_as_spent", "excess"), [(True, 0), (False, BURST_TOKENS)]
)
def test_share_of_lost_instance_counts_as_spent(expired_as_spent, excess):
    """Guards against a second grant of a share that a lost instance has spent.

    With a refund at expiry, the same schedule spends twice the burst.
    """
    ledger = BudgetLedger()
    ledger.configure([WorkspaceBudget("w", 1, BURST_TOKENS)], 0)
    lost = build_shares_with_full_burst(ledger)
    assert lost.try_reserve("r", "w", BURST_TOKENS, 10)
    expiry_ms = LEASE_MS + DRIFT_MARGIN_MS
    ledger.expire("a", 1, expiry_ms)
    if not expired_as_spent:
        ledger._buckets["w"].level_millitokens += BURST_TOKENS * 1000
    refill = expiry_ms // 1000
    spent = BURST_TOKENS + grant_to_other_instance(ledger, expiry_ms)
    assert max(0, spent - BURST_TOKENS - refill) == pytest.approx(excess, abs=refill)


def test_snapshot_restores_equal_ledger():
    """Guards against a refilled budget after a restart from a snapshot."""
    fleet = BudgetFleet(1)
    for _ in range(200):
        fleet.step()
    restored = BudgetLedger()
    restored.restore(fleet.ledger.snapshot())
    assert restored.view() == fleet.ledger.view()
    assert restored.snapshot() == fleet.ledger.snapshot()


def test_running_sums_equal_the_sums_over_accounts():
    """Guards against running sums that diverge from the accounts."""
    fleet = BudgetFleet(2)
    for _ in range(1_000):
        fleet.step()
        bucket = fleet.ledger._buckets["w"]
        accounts = bucket.accounts.values()
        assert bucket.outstanding == sum(a.outstanding for a in accounts)
        assert bucket.unneeded == sum(a.unneeded for a in accounts)


def test_new_leader_clock_gives_no_refill():
    """Guards against extra tokens when the clock changes with the leader."""
    ledger = BudgetLedger()
    ledger.configure([WorkspaceBudget("w", RATE_TOKENS_PER_S, BURST_TOKENS)], 1_000)
    shares = LocalShares()
    shares.set_queued("w", BURST_TOKENS)
    ledger.apply_reports("i", 1, shares.reports(1_000), 1_000)
    ledger.reset_refill_clock(10**9)
    assert ledger.view()[0]["level_tokens"] == 0
    ledger.apply_reports("i", 1, shares.reports(1_000), 10**9)
    assert ledger.view()[0]["level_tokens"] == 0


def test_expected_demand_leaves_tokens_for_requests_elsewhere():
    """Guards against a busy instance that empties the bucket.

    Requests at a restarted instance are refused as over the rate if another instance
    holds the rest of the burst for its expected demand.
    """
    ledger, busy, other = BudgetLedger(), LocalShares(), LocalShares()
    ledger.configure([WorkspaceBudget("w", 1, BURST_TOKENS)], 0)
    busy.set_queued("w", 500)
    for now_ms in range(0, 500, 50):
        grants = ledger.apply_reports("a", 1, busy.reports(now_ms), now_ms)
        busy.apply_grants(grants, now_ms, LEASE_MS)
        assert busy.try_reserve(f"r{now_ms}", "w", 250, now_ms)
    free = BURST_TOKENS - 10 * 250 - 500
    other.set_queued("w", free // 2)
    grants = ledger.apply_reports("b", 1, other.reports(500), 500)
    assert grants[0].granted_tokens == free // 2


def test_tokens_held_elsewhere_are_returned_when_scarce():
    """Guards against "over rate" while another instance holds unneeded tokens."""
    ledger, holder, waiting = BudgetLedger(), LocalShares(), LocalShares()
    ledger.configure([WorkspaceBudget("w", 1, BURST_TOKENS)], 0)

    def exchange(name, shares, now_ms):
        grants = ledger.apply_reports(name, 1, shares.reports(now_ms), now_ms)
        grants = ledger.mark_scarcity(name, 1, grants, now_ms)
        shares.apply_grants(grants, now_ms, LEASE_MS)
        return grants[0]

    holder.set_queued("w", BURST_TOKENS)
    exchange("a", holder, 0)
    holder.set_queued("w", 0)
    exchange("a", holder, 100)
    waiting.set_queued("w", 1_000)
    grant = exchange("b", waiting, 200)
    assert (grant.scarce, grant.reclaiming) == (True, True)
    assert waiting.is_reclaiming("w", 210)
    exchange("a", holder, 300)
    assert holder.needs_report(320)
    exchange("a", holder, 320)
    # Between the return and the grant, no other instance holds the tokens.
    assert waiting.is_reclaiming("w", 330)
    assert exchange("b", waiting, 340).granted_tokens == 1_000
    assert waiting.try_reserve("r", "w", 1_000, 350)


def test_returned_tokens_are_granted_to_another_instance():
    """Guards against tokens that stay at an instance without demand."""
    ledger = BudgetLedger()
    ledger.configure([WorkspaceBudget("w", 0 + 1, 100)], 0)
    first, second = LocalShares(), LocalShares()
    first.set_queued("w", 100)
    ledger.apply_reports("a", 1, first.reports(0), 0)
    assert ledger.view()[0]["shares"] == {"a/1": 100}
    second.set_queued("w", 300)
    first.apply_grants(ledger.apply_reports("a", 1, first.reports(0), 0), 0, LEASE_MS)
    first.set_queued("w", 0)
    assert first.try_reserve("r", "w", 60, 10)
    first.settle("r", 0, 20)
    later_ms = 1_020
    ledger.apply_reports("a", 1, first.release_all(later_ms), later_ms)
    grants = ledger.apply_reports("b", 1, second.reports(later_ms), later_ms)
    assert grants[0].granted_tokens == 100


def test_reserved_tokens_count_as_spent_after_the_lease():
    """Guards against a refund of tokens that the ledger already counts as spent."""
    shares = LocalShares()
    ledger = BudgetLedger()
    ledger.configure([WorkspaceBudget("w", 1, 100)], 0)
    shares.set_queued("w", 100)
    shares.apply_grants(ledger.apply_reports("a", 1, shares.reports(0), 0), 0, LEASE_MS)
    assert shares.try_reserve("r", "w", 40, 10)
    shares.set_queued("w", 0)
    shares.settle("r", 0, LEASE_MS)
    report = shares.reports(LEASE_MS)[0]
    assert (report.held_tokens, report.reserved_tokens) == (0, 0)
    assert report.spent_tokens == 40


def test_idle_share_is_omitted_after_some_reports():
    """Guards against heartbeats that grow with every workspace served so far."""
    ledger = BudgetLedger()
    ledger.configure([WorkspaceBudget("w", 1, BURST_TOKENS)], 0)
    shares = build_shares_with_full_burst(ledger)
    shares.set_queued("w", 0)
    assert shares.try_reserve("r", "w", 100, 10)
    shares.settle("r", 100, 20)
    idle_ms = 10 + max(IDLE_RETURN_MS, DEMAND_HORIZON_MS)
    assert idle_ms + 12 < LEASE_MS
    sent = [shares.reports(idle_ms + step) for step in range(12)]
    assert [len(reports) for reports in sent] == [1] * 10 + [0, 0]
    ledger.apply_reports("a", 1, sent[0], idle_ms)
    assert ledger.view()[0]["outstanding_tokens"] == 0
    shares.set_queued("w", 50)
    assert shares.reports(3_000)[0].wanted_tokens == 50


def serve_long_requests(spend_early: bool) -> int:
    """Return the tokens served in 60 s by requests of 6 s that use 1,500 tokens."""
    ledger, shares = BudgetLedger(), LocalShares()
    ledger.configure([WorkspaceBudget("w", RATE_TOKENS_PER_S, BURST_TOKENS)], 0)
    running: dict[str, int] = {}
    served = 0
    for now_ms in range(0, 60_000, 100):
        for request_id in [r for r, end_ms in running.items() if end_ms <= now_ms]:
            shares.settle(request_id, 1_500, now_ms)
            del running[request_id]
        shares.set_queued("w", 1_500)
        grants = ledger.apply_reports("a", 1, shares.reports(now_ms), now_ms)
        shares.apply_grants(grants, now_ms, LEASE_MS)
        request_id = f"r{now_ms}"
        if shares.try_reserve(request_id, "w", 1_500, now_ms):
            running[request_id] = now_ms + 6_000
            served += 1_500
            if spend_early:
                shares.spend(request_id, 1_500, now_ms)
    return served


def test_long_requests_reach_the_rate():
    """Guards against long requests that keep a workspace below its rate.

    If tokens are spent only at the end, the reservations of 6 s of requests must fit
    into a burst that equals 5 s of the rate.
    """
    full = BURST_TOKENS + RATE_TOKENS_PER_S * 60
    assert serve_long_requests(spend_early=True) > 0.95 * full
    assert serve_long_requests(spend_early=False) < 0.75 * full


class Claimants:
    """Instances with one queued request each, at a ledger without free tokens."""

    def __init__(self):
        self.ledger = BudgetLedger()
        self.ledger.configure([WorkspaceBudget("w", 1_000, 1_000)], 0)
        self.shares = {}
        self.report("first", 1_000, 0)

    def report(self, name, queued, now_ms):
        """Report the need of a queued request; return the reply."""
        shares = self.shares.setdefault(name, LocalShares())
        shares.set_queued("w", queued, queued)
        reports = shares.reports(now_ms)
        grants = self.ledger.apply_reports(name, 1, reports, now_ms)
        (grant,) = self.ledger.mark_scarcity(name, 1, grants, now_ms)
        shares.apply_grants([grant], now_ms, LEASE_MS)
        if queued and shares.try_reserve(f"{name}-{now_ms}", "w", queued, now_ms):
            shares.set_queued("w", 0)
            shares.settle(f"{name}-{now_ms}", queued, now_ms)
        return grant


def test_needs_are_granted_whole_and_in_order():
    """Guards against large needs that smaller ones from elsewhere starve."""
    group = Claimants()
    group.report("first", 0, 10)
    assert group.report("large", 900, 20).granted_tokens == 0
    for now_ms in range(120, 900, 100):
        assert group.report("large", 900, now_ms).granted_tokens == 0
        assert group.report("small", 100, now_ms).granted_tokens == 0
    assert group.report("small", 100, 920).granted_tokens == 0
    assert group.report("large", 900, 930).granted_tokens == 900
    assert group.report("small", 100, 1_010).granted_tokens == 100


def test_claim_of_a_frozen_instance_holds_others_up_briefly():
    """Guards against tokens kept for an instance that does not ask any more."""
    group = Claimants()
    group.report("first", 0, 10)
    group.report("frozen", 900, 20)
    assert group.report("other", 100, 150).granted_tokens == 0
    assert group.report("other", 100, 240).granted_tokens == 100


def test_reply_names_the_backlog_before_the_claim():
    """Guards against forecasts that ignore the requests of other instances."""
    group = Claimants()
    group.report("first", 0, 0)
    assert group.report("a", 300, 0).backlog_tokens == 300
    assert group.report("b", 200, 0).backlog_tokens == 500
    assert group.report("c", 0, 0).backlog_tokens == 500
    assert group.report("a", 300, 100).backlog_tokens == 200


def test_snapshot_without_claims_is_read_by_older_builds():
    """Guards against members that fail at fields of a bucket they do not know."""
    group = Claimants()
    group.report("first", 0, 0)
    group.report("a", 300, 0)
    (bucket,) = group.ledger.snapshot().values()
    assert "claims" not in bucket
    restored = BudgetLedger()
    restored.restore(group.ledger.snapshot(), group.ledger.snapshot_claims())
    assert restored.snapshot_claims() == group.ledger.snapshot_claims() != {}
