"""Seeded tests of take-ups over many instances with faults and releases."""

import pytest

from .fleet import SimulatedFleet

DURATION_MS = 90_000
FAULT_INTERVAL_MS = 1_500


def run_fleet(instances, seed, kill_all=True):
    """Return a simulated fleet after releases, faults and losses of all processes."""
    fleet = SimulatedFleet(instances, seed)
    chance = fleet.random
    faults = [
        lambda: fleet.kill(chance.randint(1, max(1, instances // 3))),
        lambda: fleet.cut(chance.randint(0, instances // 3)),
        fleet.elect,
    ]
    if kill_all:
        faults.append(fleet.kill_all)
    actions = {
        at_ms: chance.choice(faults)
        for at_ms in range(FAULT_INTERVAL_MS, DURATION_MS, FAULT_INTERVAL_MS)
    }
    for start_ms, release, count in ((5_000, "v2", 4), (20_000, "v3", 2)):
        for number in range(count):
            at_ms = start_ms + 400 * number + 1
            actions[at_ms] = lambda release=release: fleet.replace_target(release)
    # The last release is rolled back.
    for number in range(2):
        actions[27_001 + 400 * number] = lambda: fleet.replace_target("v2")
    fleet.run(DURATION_MS, actions)
    return fleet


@pytest.mark.parametrize("instances", [9, 87, 200])
@pytest.mark.parametrize("seed", range(2))
def test_no_take_up_gets_another_release(instances, seed):
    """Guards against streams that are joined from two releases."""
    fleet = run_fleet(instances, seed)
    assert fleet.mistakes == []
    assert fleet.share_known() >= 0.5


@pytest.mark.parametrize("seed", range(3))
def test_streams_go_on_while_instances_fail(seed):
    """Guards against take-ups that are refused although the leader heard of them."""
    fleet = run_fleet(9, seed, kill_all=False)
    assert fleet.mistakes == []
    assert fleet.share_known() >= 0.95


def test_service_with_one_release_refuses_no_take_up():
    """Guards against refusals where only one release ever served."""
    fleet = SimulatedFleet(9, 1)
    actions = dict.fromkeys(range(2000, 30000, FAULT_INTERVAL_MS), fleet.kill_all)
    fleet.run(30_000, actions)
    assert fleet.outcomes["unknown"] == 0
    assert fleet.mistakes == []
