"""Rollouts under load, on 9, 70 and 200 instances; see `simulation`."""

import pytest

from papayacrank.messages import COMPLETED, ROLLED_BACK
from papayacrank.rollouts import ExposureLimits

from .simulation import OTHER_SERVICE, SERVICE, Plan, RolloutPlay

LIMITS = ExposureLimits()
SEEDS = range(3)
SIZES = {9: 90.0, 70: 265.0, 200: 200.0}
BAD = {
    "at once": lambda part, route, running: "fail",
    "at once slow": lambda part, route, running: "slow",
    "later": lambda part, route, running: "fail" if part > 0.4 else "",
    "later slow": lambda part, route, running: "slow" if part > 0.4 else "",
    "one route": lambda part, route, running: "fail" if route == "b" else "",
    "one route slow": lambda part, route, running: "slow" if route == "b" else "",
    "under load": lambda part, route, running: "fail" if running >= 2 else "",
}


def plan_bad(size: int, bad: str) -> Plan:
    """Return a rollout of a bad release."""
    plan = Plan(size, SIZES[size], find_fault=BAD[bad])
    if bad == "under load":
        # At the end, each target has about two requests at a time.
        plan.work_ms, plan.targets = 100.0, max(4, int(SIZES[size] / 20))
    return plan


def check_stopped(outcome, plan: Plan) -> None:
    """Check that a bad release was stopped within the allowance."""
    assert outcome.state == ROLLED_BACK, outcome
    assert outcome.ended_ms < plan.duration_ms
    assert outcome.exposed <= LIMITS.share * outcome.requests + LIMITS.slack, outcome
    if outcome.fiftieth_bad_ms is not None:
        late_ms = outcome.last_exposed_ms - outcome.fiftieth_bad_ms
        assert late_ms < LIMITS.rollback_ms / 2


def check_completed(outcome, plan: Plan) -> None:
    """Check that a good release got all requests in time, and none was broken off."""
    assert outcome.state == COMPLETED, outcome
    assert outcome.ended_ms < plan.duration_ms - 200, outcome
    assert outcome.open_at_old == 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("bad", BAD)
def test_bad_release_is_stopped_within_the_allowance(bad, size, seed):
    plan = plan_bad(size, bad)
    check_stopped(RolloutPlay(plan, seed).run().outcome, plan)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("duration_ms", [5_000, 12_000, 40_000])
@pytest.mark.parametrize("size", SIZES)
def test_good_release_completes_in_time(size, duration_ms, seed):
    plan = Plan(size, SIZES[size], duration_ms)
    check_completed(RolloutPlay(plan, seed).run().outcome, plan)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [9, 200])
def test_release_completes_with_few_requests(size, seed):
    """A rollout that waits for many observations would miss the deadline."""
    plan = Plan(size, 1.0)
    check_completed(RolloutPlay(plan, seed).run().outcome, plan)


@pytest.mark.parametrize("seed", SEEDS)
def test_failures_of_both_releases_do_not_stop_a_rollout(seed):
    plan = Plan(70, 265.0, failing_old=0.05)
    check_completed(RolloutPlay(plan, seed).run().outcome, plan)


@pytest.mark.parametrize("gone_ms", [(2_000, 3_500), (5_000, 6_200), (8_000, 9_000)])
@pytest.mark.parametrize("bad", ["", "later", "at once slow"])
def test_rollout_survives_a_change_of_leader(bad, gone_ms):
    """A new leader that forgot the counts would expose the service twice."""
    plan = plan_bad(70, bad) if bad else Plan(70, 265.0)
    plan.leader_gone_ms = gone_ms
    outcome = RolloutPlay(plan, 1).run().outcome
    (check_stopped if bad else check_completed)(outcome, plan)


@pytest.mark.parametrize("cut_ms", [(1_500, 6_000), (8_000, 14_000)])
@pytest.mark.parametrize("bad", ["", "later"])
def test_instance_without_contact_does_not_hold_up_the_verdict(bad, cut_ms):
    plan = plan_bad(9, bad) if bad else Plan(9, 90.0)
    plan.cut_instance_ms = cut_ms
    outcome = RolloutPlay(plan, 1).run().outcome
    (check_stopped if bad else check_completed)(outcome, plan)


def test_services_are_judged_independently():
    """A shared verdict would stop the good release with the bad one."""
    plan = Plan(9, 90.0, services=(SERVICE, OTHER_SERVICE))
    play = RolloutPlay(plan, 1)
    plan.find_fault = lambda part, route, running: "fail"
    plan.bad_services = (OTHER_SERVICE,)
    outcomes = play.run().outcomes
    check_completed(outcomes[SERVICE], plan)
    check_stopped(outcomes[OTHER_SERVICE], plan)
