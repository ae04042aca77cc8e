"""Tests of placement with learned costs in simulated fleets under load."""

from collections import Counter
from statistics import mean

import pytest

from papayacrank.costs import Work

from .builders import Fleet, errors, late_share, median, quantile

SEEDS = (1, 2, 3)
# Prompt tokens, output events and urgency, as large fleets have them.
MIX = ((900, 49, 0), (3_000, 9, 1), (9_000, 9, 1))
OBJECTIVE_MS = 600
TWO_TIMES_APART = [0.6, 0.8, 1.0, 1.2] * 2
ONE_SLOW = [1.0, 1.0, 1.0, 2.0]


def play(factors, seed, per_s, learns=True, warm_up_ms=8_000, duration_ms=40_000):
    """Return the fleet and its requests after a warm-up."""
    fleet = Fleet(factors, seed, learns)
    fleet.run(warm_up_ms, per_s, MIX, OBJECTIVE_MS)
    return fleet, fleet.run(duration_ms, per_s, MIX, OBJECTIVE_MS)


@pytest.mark.parametrize("seed", SEEDS)
def test_expected_first_event_is_close_after_twenty_requests_a_target(seed):
    """Guards against expectations by constants, 30% off in the same load."""
    _, runs = play(TWO_TIMES_APART, seed, 16, warm_up_ms=10_000)
    assert median(errors(runs[:160])) <= 0.2
    _, unlearned = play(TWO_TIMES_APART, seed, 16, learns=False)
    assert median(errors(unlearned)) > 0.25


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_target_gets_work_by_its_speed(seed):
    """Guards against a target of half the speed that gets a quarter of the requests."""
    _, runs = play(ONE_SLOW, seed, 16)
    counts = Counter(run.target for run in runs)
    fair = len(runs) * 0.5 / 3.5
    assert 0.5 * fair <= counts["e4"] <= 1.35 * fair


@pytest.mark.parametrize(
    ("factors", "per_s"), [(TWO_TIMES_APART, 30), (TWO_TIMES_APART, 38), (ONE_SLOW, 16)]
)
def test_fewer_requests_are_late_on_uneven_targets(factors, per_s):
    """Guards against learned costs that help no caller; compares with the priors."""
    late, p99 = {}, {}
    for learns in (False, True):
        plays = [play(factors, seed, per_s, learns)[1] for seed in SEEDS]
        late[learns] = mean(late_share(runs) for runs in plays)
        p99[learns] = mean(
            quantile([run.ttft_ms for run in runs], 0.99) for runs in plays
        )
    assert late[True] < late[False]
    assert p99[True] < p99[False]


@pytest.mark.parametrize("per_s", [30, 36])
def test_equal_targets_do_not_get_worse(per_s):
    """Guards against noise in factors that draws all instances to one target."""
    late = {
        learns: mean(
            late_share(play([1.0] * 8, seed, per_s, learns)[1]) for seed in SEEDS
        )
        for learns in (False, True)
    }
    assert late[True] <= late[False] * 1.05
    fleet, _ = play([1.0] * 8, 1, per_s)
    factors = [entry.costs.factors for entry in fleet.entries]
    assert all(each.widest_spread < 1.25 for each in factors)
    means = [mean(each.values[t.name] for each in factors) for t in fleet.targets]
    assert max(means) / min(means) < 1.1


def test_target_that_becomes_fast_gets_work_again():
    """Guards against a target that no request shows to have recovered."""
    fleet, _ = play([0.6] * 7 + [4.0], 1, 12)
    before = Counter(r.target for r in fleet.run(20_000, 12, MIX, OBJECTIVE_MS))
    fleet.engines["e8"].factor = 0.6
    fleet.run(60_000, 12, MIX, OBJECTIVE_MS)
    after = Counter(r.target for r in fleet.run(20_000, 12, MIX, OBJECTIVE_MS))
    assert after["e8"] > 4 * max(1, before["e8"])


def test_new_leader_learns_again():
    """Guards against estimates that are lost, or wrong, after an election."""
    fleet, _ = play(ONE_SLOW, 1, 10)
    fleet.elect()
    fleet.run(4_000, 10, MIX, OBJECTIVE_MS)
    costs, _ = fleet.ledger.updates_for("new")
    slow, fast = costs["e4"], costs["e1"]
    assert slow.factor > 1.3 * fast.factor
    runs = fleet.run(20_000, 10, MIX, OBJECTIVE_MS)
    assert median(errors(runs)) <= 0.2


def test_entry_process_that_is_new_learns_faster_from_the_fleet():
    """Guards against requests by priors at an instance that was restarted."""
    fleet, _ = play(ONE_SLOW, 1, 10)
    costs, services = fleet.ledger.updates_for("i-new")
    entry = type(fleet.entries[0])("i-new", 9)
    entry.costs.retain(fleet.targets)
    entry.costs.apply(costs, services)
    work = Work("llm", prefill_tokens=3_000)
    known = fleet.entries[0].costs.engine("llm").expect(work, 1.0).first_event_ms
    learned = entry.costs.engine("llm").expect(work, 1.0).first_event_ms
    assert learned == pytest.approx(known, rel=0.2)


@pytest.mark.parametrize("seed", SEEDS)
def test_fleet_without_a_leader_still_serves(seed):
    """Guards against decisions by sums of loads that are seconds old."""
    fleet, with_leader = play(TWO_TIMES_APART, seed, 20)
    fleet.has_leader = False
    runs = fleet.run(20_000, 20, MIX, OBJECTIVE_MS)
    assert len(runs) > 300
    assert late_share(runs) <= late_share(with_leader) + 0.1
