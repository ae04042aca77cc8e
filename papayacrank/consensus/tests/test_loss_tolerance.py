"""Tests that the voters survive the losses of data folders that the settings name."""

from itertools import combinations
from random import Random

import pytest

from papayacrank.consensus.tests._core_simulation import (
    RECOVERY_MS,
    CoreSimulation,
    build_core,
    check_recovery,
    check_tolerance,
)
from papayacrank.consensus.tests._simulation import Cluster

# Number of members, and how many of their folders may be lost at the same time.
LOSSES_BY_SIZE = [(3, 1), (4, 1), (5, 2), (6, 2), (7, 3), (8, 2), (11, 3)]
MAX_DRAWN_LOSSES = 20
SIMULATED_STEPS = 8


def draw_losses(size: int, losses: int) -> list[tuple[int, ...]]:
    """Return all sets of lost members, or a random sample of them."""
    sets = list(combinations(range(size), losses))
    return Random(size).sample(sets, min(len(sets), MAX_DRAWN_LOSSES))


@pytest.mark.parametrize(("size", "losses"), LOSSES_BY_SIZE)
def test_no_tolerated_loss_of_disks_ends_the_group(size, losses):
    """Guards against fewer voters than the tolerated losses require."""
    for lost in draw_losses(size, losses):
        cluster = build_core(size, size, losses)
        cluster.write_and_wait()
        hosts = list(cluster.hosts.values())
        for index in lost:
            cluster.lose_disk(hosts[index])
        check_recovery(cluster)


def split(cluster: Cluster, random: Random) -> set[str]:
    """Split the members into two halves and return the one that can elect a leader."""
    names = sorted(cluster.hosts)
    half = set(random.sample(names, len(names) // 2))
    cluster.partition(half)
    cluster.write_and_wait(RECOVERY_MS)
    return half if cluster.lease_holder().name in half else set(names) - half


@pytest.mark.parametrize(("size", "losses"), LOSSES_BY_SIZE)
@pytest.mark.parametrize("seed", range(8))
def test_split_does_not_reduce_the_votes_below_the_tolerance(size, losses, seed):
    """Guards against the removal of voters that are only cut off for some seconds."""
    random = Random(f"{seed} {size}")
    cluster = build_core(seed, size, losses)
    half = split(cluster, random)
    end_ms = cluster.now_ms + random.uniform(500, 6_000)
    while cluster.now_ms < end_ms:
        cluster.run_clients(100)
        check_tolerance(cluster)
    cluster.write_and_wait()
    for name in random.sample(sorted(half), min(losses, len(half))):
        cluster.lose_disk(cluster.hosts[name])
    cluster.run(random.uniform(0, 2_000))
    cluster.heal()
    check_recovery(cluster)


@pytest.mark.parametrize(("size", "losses"), LOSSES_BY_SIZE)
@pytest.mark.parametrize("seed", range(6))
def test_membership_changes_in_series_keep_the_tolerance(size, losses, seed):
    """Guards against a series of membership changes that makes a loss fatal."""
    simulation = CoreSimulation(seed, size, losses)
    for _ in range(SIMULATED_STEPS):
        simulation.step()
    simulation.finish()
