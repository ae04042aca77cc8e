"""Seeded tests of the quarantine over many instances with faults."""

import pytest

from papayacrank.quarantine._names import is_request

from .fleet import Mix, SimulatedFleet

DURATION_MS = 20_000
FAULT_INTERVAL_MS = 1_500
# Requests with a deadly part that may reach targets after the free crashes.
MAX_LATE_REQUESTS = 3
TARGETS = {9: 12, 87: 40, 200: 90}
DEADLY_REQUEST = "request:deadly"
REQUESTS_PER_S = {9: 30, 87: 120, 200: 200}


def run_fleet(
    instances, mix, seed, targets=None, crash_one_ms=None, crash_domain_ms=None
):
    """Return a simulated fleet after its run with faults of instances and leader."""
    fleet = SimulatedFleet(
        instances,
        targets or TARGETS[instances],
        REQUESTS_PER_S[instances],
        mix,
        seed,
        loss=0.01,
    )
    for at_ms in range(FAULT_INTERVAL_MS, DURATION_MS, FAULT_INTERVAL_MS):
        fleet.at(at_ms, fleet.cause_fault)
    for interval_ms, action in (
        (crash_one_ms, fleet.crash_one),
        (crash_domain_ms, fleet.crash_domain),
    ):
        if interval_ms is not None:
            for at_ms in range(interval_ms, DURATION_MS, interval_ms):
                fleet.at(at_ms, action)
    fleet.run(DURATION_MS)
    return fleet


def assert_rules_hold(fleet):
    """Check the requests that reach targets too late, and the verdicts."""
    for name in fleet.crashes:
        assert fleet.late_arrivals(name) <= MAX_LATE_REQUESTS
    assert fleet.false_verdicts() == []


@pytest.mark.parametrize("instances", [9, 87, 200])
def test_deadly_part_is_refused_by_all_instances_after_few_crashes(instances):
    """Guards against crashes that go on, one after the other."""
    fleet = run_fleet(instances, Mix({"x": 0.05}), 1)
    assert_rules_hold(fleet)
    assert "x" in fleet.crashes_until_verdict


@pytest.mark.parametrize("position", ["first", "middle"])
@pytest.mark.parametrize("seed", range(2))
def test_position_and_companions_of_a_deadly_part_do_not_matter(position, seed):
    """Guards against blame of parts that stand beside the deadly one."""
    mix = Mix({"x": 0.05}, companions={"x": ["c1", "c2"]}, position=position)
    fleet = run_fleet(9, mix, seed)
    assert_rules_hold(fleet)
    assert "x" in fleet.crashes_until_verdict


@pytest.mark.parametrize("targets", [3, 12])
@pytest.mark.parametrize("seed", range(3))
def test_two_deadly_parts_and_few_targets_lead_to_no_false_verdict(targets, seed):
    """Guards against sound parts that share the targets of deadly ones."""
    assert_rules_hold(run_fleet(9, Mix({"x": 0.03, "y": 0.02}), seed, targets))


@pytest.mark.parametrize("deadly", [{}, {"x": 0.03}])
@pytest.mark.parametrize("seed", range(2))
def test_crashes_of_other_causes_lead_to_no_false_verdict(deadly, seed):
    """Guards against blame for single crashes and the loss of a failure domain."""
    fleet = run_fleet(9, Mix(deadly), seed, crash_one_ms=2_500, crash_domain_ms=7_000)
    assert_rules_hold(fleet)


@pytest.mark.parametrize("instances", [9, 87, 200])
@pytest.mark.parametrize("parts", [(), ("rules", "station-1"), ("rules", "own")])
def test_repeated_request_is_refused_by_all_instances_after_few_crashes(
    instances, parts
):
    """Guards against one request that crashes target after target."""
    mix = Mix(deadly_requests={DEADLY_REQUEST: 0.04}, deadly_request_parts=parts)
    fleet = run_fleet(instances, mix, 1)
    assert_rules_hold(fleet)
    assert DEADLY_REQUEST in fleet.crashes_until_verdict


@pytest.mark.parametrize("targets", [3, 12])
@pytest.mark.parametrize("seed", range(3))
def test_two_deadly_requests_lead_to_no_false_verdict(targets, seed):
    """Guards against parts and requests that share the targets of deadly requests."""
    shares = {DEADLY_REQUEST: 0.03, "request:other": 0.03}
    assert_rules_hold(run_fleet(9, Mix(deadly_requests=shares), seed, targets))


@pytest.mark.parametrize("seed", range(3))
def test_deadly_request_beside_a_deadly_part_is_found(seed):
    """Guards against a verdict that explains the crashes of another cause."""
    mix = Mix({"x": 0.03}, deadly_requests={DEADLY_REQUEST: 0.03})
    assert_rules_hold(run_fleet(9, mix, seed))


@pytest.mark.parametrize("deadly", [{}, {"x": 0.03}])
@pytest.mark.parametrize("seed", range(2))
def test_hot_request_is_not_blamed_for_crashes_of_other_causes(deadly, seed):
    """Guards against a health page that is refused since it is asked all the time."""
    mix = Mix(deadly, hot_requests=8)
    fleet = run_fleet(9, mix, seed, 5, crash_one_ms=2_500, crash_domain_ms=7_000)
    assert_rules_hold(fleet)


@pytest.mark.parametrize("seed", range(3))
def test_hot_request_is_not_blamed_while_half_of_the_targets_are_down(seed):
    """Guards against a request that has no response between crashes of other causes."""
    mix = Mix({"x": 0.03}, hot_requests=8, hot_ms=300)
    fleet = run_fleet(9, mix, seed, 5, crash_one_ms=1_100, crash_domain_ms=5_000)
    blamed = set().union(*fleet.false_verdicts())
    assert [name for name in blamed if is_request(name)] == []


def test_sound_requests_begin_at_the_first_attempt():
    """Guards against a quarantine that costs more than the crashes."""
    fleet = run_fleet(87, Mix({"x": 0.05}), 2)
    assert fleet.sound_share(DURATION_MS // 2) >= 0.98
