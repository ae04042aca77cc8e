"""Seeded tests of request rate limits that hold over many instances with faults."""

import pytest

from papayacrank.permits._allocator import PERMIT_LIFETIME_MS
from papayacrank.permits._bucket import RateBucket

from .fleet import SimulatedFleet

WINDOW_MS = 4_000
SETTLING_MS = 3_000
DURATION_MS = 60_000
TRANSIT_MS = 2


def bound(per_s):
    """Return the number of requests that may arrive in a window.

    A permit is used at most `PERMIT_LIFETIME_MS` after its time.
    """
    capacity = RateBucket(per_s, 0.0, 0).capacity
    span_s = (WINDOW_MS + PERMIT_LIFETIME_MS + TRANSIT_MS) / 1_000
    return capacity + per_s * span_s


@pytest.mark.parametrize("instances", [9, 87, 200])
@pytest.mark.parametrize("seed", range(3))
def test_sum_of_all_instances_stays_within_the_limit_during_faults(instances, seed):
    """Guards against shares that add up to more than the limit after a fault."""
    fleet = SimulatedFleet(instances, 4, 3.0 * instances, seed, loss=0.01)
    limited = fleet.targets[0]
    limited.per_s = 1.2
    fleet.run(SETTLING_MS)
    for at_ms in range(SETTLING_MS, DURATION_MS, 1_500):
        fleet.at(at_ms, fleet.cause_fault)
    fleet.run(DURATION_MS)
    assert limited.max_in_a_window(WINDOW_MS, SETTLING_MS) <= bound(1.2)


@pytest.mark.parametrize("instances", [9, 87, 200])
@pytest.mark.parametrize("per_s", [0.4, 1.2, 20.0])
def test_what_a_target_offers_is_used(instances, per_s):
    """Guards against requests that are refused while a limit is not used up."""
    fleet = SimulatedFleet(instances, 3, 100.0, 1)
    for target in fleet.targets:
        target.per_s = per_s
    fleet.run(DURATION_MS)
    offered = per_s * (DURATION_MS - SETTLING_MS) / 1_000
    for target in fleet.targets:
        assert target.count_between(SETTLING_MS, DURATION_MS) >= 0.9 * offered


@pytest.mark.parametrize("instances", [9, 200])
def test_end_of_a_limit_is_learned_in_spite_of_overtaking_responses(instances):
    """Guards against a limit that outlives its end, or ends by an older response."""
    fleet = SimulatedFleet(instances, 4, 100.0, 2)
    limited = fleet.targets[0]
    limited.per_s = 1.2
    fleet.run(20_000)
    assert limited.max_in_a_window(WINDOW_MS, SETTLING_MS) <= bound(1.2)
    limited.per_s = None
    fleet.run(30_000)
    assert limited.count_between(25_000, 30_000) > 50
