"""Tests of the costs that a leader merges."""

import math

import pytest

from papayacrank.control._costs import (
    FRESH_MS,
    HALF_LIFE_MS,
    INTERVAL_MS,
    MAX_TARGETS,
    CostLedger,
)
from papayacrank.messages import EntryLoad, ServiceCost, TargetCost


def build_report(costs=None, services=()):
    """Return a load report with costs."""
    return EntryLoad("i1", 1, {}, costs=costs or {}, service_costs=list(services))


def updates(ledger, receiver, now_ms):
    """Begin a round and return what a receiver gets."""
    ledger.begin_round(["i1", "i2"], now_ms)
    return ledger.updates_for(receiver)


def test_reports_are_merged_by_their_samples():
    """Guards against one observation that outweighs many."""
    ledger = CostLedger()
    ledger.observe(build_report({"e1": TargetCost(1.0, 30)}), 0)
    ledger.observe(build_report({"e1": TargetCost(4.0, 2)}), 0)
    merged = updates(ledger, "i1", 0)[0]["e1"]
    assert merged.factor == pytest.approx(4 ** (2 / 32), rel=0.01)
    assert merged.samples == 32


def test_changes_are_sent_once_at_a_limited_rate():
    """Guards against factors in each load message."""
    ledger = CostLedger()
    ledger.observe(build_report({"e1": TargetCost(1.5, 20)}), 0)
    assert updates(ledger, "i1", 0)[0]
    assert not any(updates(ledger, "i1", 10))
    ledger.observe(build_report({"e1": TargetCost(3.0, 20)}), 20)
    assert not any(updates(ledger, "i1", 30))
    assert updates(ledger, "i1", INTERVAL_MS)[0]["e1"].factor > 1.6
    for round_number in range(2, 8):
        assert not any(updates(ledger, "i1", round_number * INTERVAL_MS))


def test_new_receiver_gets_everything():
    """Guards against a restarted instance that never hears of known targets."""
    ledger = CostLedger()
    service = ServiceCost("llm", 9, {"f0": 12.0})
    ledger.observe(build_report({"e1": TargetCost(1.5, 20)}, [service]), 0)
    updates(ledger, "i1", 0)
    costs, services = updates(ledger, "i2", 100)
    assert costs["e1"].samples == 20
    assert services == [service]


def test_lost_update_is_repeated():
    """Guards against instances that miss a factor for good."""
    ledger = CostLedger()
    reported = {f"e{n}": TargetCost(1.5, 20) for n in range(20)}
    ledger.observe(build_report(reported), 0)
    updates(ledger, "i1", 0)
    seen = set()
    for number in range(1, 9):
        ledger.observe(build_report({"e0": TargetCost(1.5, 1)}), number)
        seen |= updates(ledger, "i1", number * INTERVAL_MS)[0].keys()
    assert len(seen) == 20


def test_unobserved_estimate_fades():
    """Guards against a slow target that is never tried again."""
    ledger = CostLedger()
    ledger.observe(build_report({"e1": TargetCost(4.0, 32)}), 0)
    cost = updates(ledger, "i1", FRESH_MS + HALF_LIFE_MS)[0]["e1"]
    assert (cost.factor, cost.samples) == (2.0, 16)


def test_service_models_are_merged_by_their_samples():
    """Guards against coefficients of the last report only."""
    ledger = CostLedger()
    ledger.observe(build_report(services=[ServiceCost("llm", 30, {"f0": 10.0})]), 0)
    ledger.observe(build_report(services=[ServiceCost("llm", 10, {"f0": 30.0})]), 0)
    _, services = updates(ledger, "i1", 0)
    assert services[0].coefficients == {"f0": 15.0}


def test_unusable_and_excess_reports_are_ignored():
    """Guards against a faulty process that spoils the costs of the fleet."""
    ledger = CostLedger()
    bad = {"e1": TargetCost(math.nan, 5), "e2": TargetCost(-1.0, 5)}
    bad |= {"e3": TargetCost(1.0, 0), "e4": TargetCost(math.inf, 9)}
    service = ServiceCost("llm", 9, {"f0": math.nan, "f1": -1.0})
    ledger.observe(build_report(bad, [service]), 0)
    many = {f"t{n}": TargetCost(1.0, 1) for n in range(MAX_TARGETS + 10)}
    ledger.observe(build_report(many), 0)
    costs, services = updates(ledger, "i1", 0)
    assert len(costs) == MAX_TARGETS
    assert not bad.keys() & costs.keys()
    assert all(not cost.coefficients for cost in services)


def test_costs_are_forgotten_with_the_target():
    """Guards against the speed of a target that has left, and an election."""
    ledger = CostLedger()
    ledger.observe(build_report({"e1": TargetCost(4.0, 32)}), 0)
    ledger.retain(["e2"])
    assert not updates(ledger, "i1", 0)[0]
    ledger.observe(build_report({"e1": TargetCost(4.0, 32)}), 0)
    ledger.distrust("e1")
    assert updates(ledger, "i2", INTERVAL_MS)[0]["e1"].samples == 2
    ledger.reset()
    assert not any(updates(ledger, "i1", 0))
