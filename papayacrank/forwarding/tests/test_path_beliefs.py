"""Beliefs of many instances about their paths, in seeded simulations."""

import pytest

from papayacrank.forwarding.tests.path_simulation import PathSimulation

# Time within which an instance has to act on a cut, as the users state it for their
# smaller deployments.
CONTACT_MS = 3_000
CUT_MS, HEALED_MS, END_MS = 2_000, 8_000, 10_000
SIZES = ((9, 13), (87, 34), (200, 65))


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("share", [0.12, 0.34, 0.6, 1.0])
@pytest.mark.parametrize(("instances", "targets"), SIZES)
def test_exactly_the_cut_instances_believe_to_be_isolated(
    instances, targets, share, seed
):
    fleet = PathSimulation(instances, targets, seed, requests_per_s=5.0)
    fleet.run(CUT_MS)
    assert not fleet.isolated
    fleet.cut = set(range(max(1, int(share * instances))))
    fleet.run(CUT_MS + CONTACT_MS)
    assert fleet.isolated == fleet.cut
    assert fleet.silent_reports == []
    fleet.run(HEALED_MS)
    fleet.cut = set()
    fleet.run(END_MS)
    assert not fleet.isolated
    assert fleet.silent_reports == []
    assert fleet.false_isolations == 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("dark", ["one", "domain", "service"])
@pytest.mark.parametrize(("instances", "targets"), SIZES)
def test_targets_that_are_down_isolate_nobody_and_are_reported(
    instances, targets, dark, seed
):
    fleet = PathSimulation(instances, targets, seed)
    first = fleet.targets[0]
    fleet.dark = {
        target.name
        for target in fleet.targets
        if target is first
        or (dark == "domain" and target.failure_domain == first.failure_domain)
        or (dark == "service" and target.service == first.service)
    }
    fleet.run(END_MS)
    assert fleet.isolated == set()
    assert fleet.false_isolations == 0
    assert {name for _, name in fleet.silent_reports} == fleet.dark
