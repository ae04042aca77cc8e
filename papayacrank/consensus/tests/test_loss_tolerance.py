"""Tests that the voters survive the losses of data folders that the settings name."""

from itertools import combinations
from random import Random

import pytest

from papayacrank.consensus.tests._core_simulation import build_core, check_recovery

# Number of members, and how many of their folders may be lost at the same time.
LOSSES_BY_SIZE = [(3, 1), (4, 1), (5, 2), (6, 2), (7, 3), (8, 2), (11, 3)]
MAX_DRAWN_LOSSES = 20


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
