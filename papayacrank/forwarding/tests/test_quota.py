"""Tests of rates that many instances enforce together."""

import random

import pytest

from papayacrank.admission import LocalShares
from papayacrank.forwarding._quota import QuotaEnforcer, RefusalReason
from papayacrank.forwarding._refusal_schedule import (
    MAX_RETRY_AFTER_MS,
    RETRY_SPREAD,
    RefusalSchedule,
)
from papayacrank.messages import RoutingConfiguration, ShareGrant, WorkspaceProfile

from .quota_simulation import QuotaFleet, Workspace

DURATION_MS = 10_000
LARGE = 9_000
LEASE_MS = 3_000
RATE = 10_000
TOLERANCE = 50_000


def build_fleet(seed, instances=75, tolerance=0):
    """Return a fleet with one workspace at eight times its rate, and others below."""
    workspaces = [
        Workspace("hot", 40_000, 40_000, 8.0, tolerance=tolerance),
        Workspace("even", 60_000, 60_000, 0.6, tolerance=tolerance),
        Workspace("small", 12_000, 14_000, 0.5, tolerance=tolerance),
        Workspace("brim", 40_000, 44_000, 0.95, tolerance=tolerance),
    ]
    return QuotaFleet(seed, workspaces, instances)


@pytest.fixture(scope="module", params=range(4))
def busy(request):
    """Return a fleet after its run."""
    fleet = build_fleet(request.param)
    fleet.run(DURATION_MS)
    return fleet


def test_hot_workspace_uses_its_rate_and_no_more(busy):
    """Guards against shares in parts at many instances, too small for any request.

    Before needs were granted whole, 0.68 of the rate were used (mean of 12 seeds).
    """
    assert busy.used_rate("hot", 2_000, DURATION_MS) >= 0.9
    assert max(busy.max_excess(w.name) for w in busy.workspaces) <= 0


def test_large_requests_of_a_hot_workspace_are_not_starved(busy):
    """Guards against small requests that take all tokens before large ones fit.

    Before, 0.02 of the large and 0.83 of the smallest were served (12 seeds).
    """
    assert busy.served("hot", LARGE) >= busy.served("hot") / 2


def test_workspaces_within_their_rate_are_served_beside_a_hot_one(busy):
    """Guards against refusals because other instances hold the shares.

    Before, down to 0.71 of the large requests of the small workspace and 0.84 of those
    of the one at 0.95 of its rate were served (12 seeds; 0.89 and 0.91 on average).
    """
    assert busy.served("even") == 1.0
    assert busy.served("small", LARGE) >= 0.75
    assert busy.served("brim", LARGE) >= 0.87
    assert min(busy.served(w.name) for w in busy.workspaces[1:]) >= 0.9


def test_hopeless_requests_are_refused_at_once(busy):
    """Guards against requests held for 250 ms although nothing is left."""
    waits = busy.refusal_waits("hot")
    assert waits[len(waits) // 2] == 0
    assert waits[-1] <= 0.75 * 1_235 + 25


def test_urgent_requests_of_a_hot_workspace_are_served_as_often_as_patient_ones(busy):
    """Guards against patient requests that fill the backlog before urgent ones.

    The smallest requests have the shortest objective. With a backlog limit by the
    objective, 0.03 of them were served and 0.18 of the large (mean of 12 seeds).
    """
    assert busy.served("hot", 400) >= 0.9 * busy.served("hot", LARGE)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "faults",
    [
        [(2_000, lambda f: setattr(f, "frozen_leader", True))],
        [
            (2_000, lambda f: setattr(f, "frozen_leader", True)),
            (4_000, lambda f: setattr(f, "frozen_leader", False)),
        ],
        [(at_ms, lambda f: f.restart(3)) for at_ms in range(1_000, 9_000, 1_500)],
        [
            (1_500, lambda f: f.cut.update(range(5))),
            (6_000, lambda f: f.cut.clear()),
        ],
    ],
    ids=["leader frozen", "leader thaws", "restarts", "cut"],
)
def test_rate_holds_while_instances_lose_the_ledger(seed, faults):
    """Guards against a request of any size at each instance that lost the ledger.

    Before, 327,000 and 337,000 tokens beyond rate and burst were admitted where the
    leader thaws (seeds 0 and 1), 100,000 of which are allowed.
    """
    fleet = build_fleet(seed, tolerance=TOLERANCE)
    fleet.run(DURATION_MS, faults)
    # The ledger uses the tolerance once, and instances without it as much.
    allowed = 2 * TOLERANCE
    assert max(fleet.max_excess(w.name) for w in fleet.workspaces) <= allowed
    assert fleet.used_rate("hot", 7_000, DURATION_MS) > 0.3


class Enforced(QuotaEnforcer):
    """Enforcer of one instance of ten with a workspace `w`."""

    def __init__(self):
        self.shares = LocalShares()
        super().__init__(self.shares, random.Random(1))
        profile = WorkspaceProfile("w", (), rate_per_s=RATE, burst=RATE)
        self.configure(RoutingConfiguration(1, workspaces=(profile,)))
        self.set_instances(10)

    def answer(self, sent_ms, granted=0, **fields):
        """Apply a reply of the ledger."""
        grant = ShareGrant("w", granted, **fields)
        self.shares.apply_grants([grant], sent_ms, LEASE_MS)


def scarce(backlog, **fields):
    """Return the fields of a reply that names a backlog."""
    return {
        "scarce": True,
        "backlog_tokens": backlog,
        "rate_per_s": RATE,
        **fields,
    }


def test_request_is_refused_at_once_if_the_ledger_has_nothing_left():
    """Guards against requests that wait for a grant that cannot come."""
    quota = Enforced()
    quota.answer(0, **scarce(RATE))
    decision = quota.admit("r1", "w", 100, 10)
    assert (decision.admitted, decision.reason) == (False, RefusalReason.SCARCE)
    assert decision.retry_after_ms >= 990


def test_request_waits_if_other_instances_return_enough():
    """Guards against refusals while other instances return what they do not need."""
    quota = Enforced()
    quota.answer(0, **scarce(RATE, reclaiming=True, reclaimable_tokens=2 * RATE))
    assert quota.admit("r1", "w", 100, 10) is None


def test_request_is_refused_when_its_own_report_was_answered():
    """Guards against requests held after the ledger has said no."""
    quota = Enforced()
    quota.answer(0)
    assert quota.admit("r1", "w", 100, 10) is None
    quota.answer(20, **scarce(RATE))
    quota.answer(40, **scarce(RATE))
    (decision,) = quota.poll(60)
    assert decision.reason is RefusalReason.ANSWERED


def test_request_waits_until_its_claim_is_met():
    """Guards against refusals shortly before the tokens come."""
    quota = Enforced()
    quota.answer(0)
    assert quota.admit("r1", "w", 1_000, 10) is None
    quota.answer(20, **scarce(1_000))
    assert quota.poll(40) == []
    quota.answer(110, granted=1_000)
    assert quota.poll(140)[0].admitted


def test_later_request_does_not_take_the_tokens_of_a_waiting_one():
    """Guards against large requests that smaller newcomers starve."""
    quota = Enforced()
    quota.answer(0, granted=500)
    assert quota.admit("large", "w", 1_000, 10) is None
    assert quota.admit("small", "w", 400, 20) is None


def test_reply_of_an_old_leader_lets_requests_wait():
    """Guards against refusals by a backlog that an older build does not tell."""
    quota = Enforced()
    quota.answer(0, scarce=True)
    assert quota.admit("r1", "w", 100, 10) is None
    quota.answer(20, scarce=True)
    assert quota.poll(100) == []
    assert not quota.poll(260)[0].admitted


def test_request_larger_than_the_burst_is_refused_at_once():
    """Guards against requests that wait for tokens that no bucket can hold."""
    quota = Enforced()
    quota.answer(0)
    decision = quota.admit("r1", "w", RATE + 1, 10)
    assert decision.reason is RefusalReason.OVER_BURST


def test_refused_requests_get_times_of_their_own():
    """Guards against refused callers that come back together."""
    schedule = RefusalSchedule(random.Random(1))
    times = [schedule.retry_after_ms("w", 100, 50, 1_000, 0) for _ in range(20)]
    assert len(set(times)) == len(times)
    assert max(times) - min(times) >= 1_800


def test_retry_times_are_bounded_and_honest_after_a_long_overload():
    """Guards against a schedule that outlasts the overload."""
    schedule = RefusalSchedule(random.Random(1))
    times = [schedule.retry_after_ms("w", 100, 0, 100, 0) for _ in range(5_000)]
    assert max(times) <= MAX_RETRY_AFTER_MS * (1 + RETRY_SPREAD)
    assert len(set(times[1_000:])) > 1_000
    later_ms = MAX_RETRY_AFTER_MS + 1_000
    assert schedule.retry_after_ms("w", 100, 0, 100, later_ms) < 1_000


def test_admission_during_an_overload_does_not_shorten_the_retry_times():
    """Guards against refused callers that come back together after one admission."""
    quota = Enforced()
    quota.answer(0, granted=100, **scarce(RATE))
    early = [quota.admit(f"r{n}", "w", 200, 10).retry_after_ms for n in range(5)]
    assert quota.admit("small", "w", 100, 20).admitted
    assert quota.admit("r9", "w", 200, 30).retry_after_ms > min(early) + 200
    quota.answer(40, granted=200)
    assert quota.admit("next", "w", 100, 50).admitted
    quota.answer(60, **scarce(RATE))
    assert quota.admit("last", "w", 200, 70).retry_after_ms < 2_000
