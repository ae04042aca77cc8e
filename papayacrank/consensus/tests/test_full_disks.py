"""Tests of disks that refuse all writes for some seconds, one after another."""

from random import Random

import pytest

from papayacrank.consensus.tests._core_simulation import build_core, check_tolerance
from papayacrank.consensus.tests._simulation import Cluster

# Time within which a change has to be acknowledged once the last disk has room.
ACK_LIMIT_MS = 4_000


def fill_in_series(cluster: Cluster, random: Random, rounds: int = 1) -> None:
    """Fill the disk of each member for some seconds, never two at once."""
    for _ in range(rounds):
        hosts = list(cluster.hosts.values())
        random.shuffle(hosts)
        for host in hosts:
            duration_ms = random.uniform(1_000, 6_000)
            cluster.fill_disk(host, duration_ms)
            cluster.run_clients(duration_ms, every_ms=random.choice((20, 400)))
            cluster.run_clients(random.choice((1, 50, 1_000)))


@pytest.mark.parametrize(("size", "losses"), [(3, 1), (4, 1), (5, 2), (6, 2), (8, 2)])
@pytest.mark.parametrize("seed", range(6))
def test_changes_are_acknowledged_after_each_disk_was_full(size, losses, seed):
    """Guards against a group that is stuck after its disks had no room in turn."""
    random = Random(f"{seed} {size}")
    cluster = build_core(seed, size, losses)
    fill_in_series(cluster, random, rounds=2)
    cluster.write_and_wait(ACK_LIMIT_MS)
    cluster.run(4_000)
    check_tolerance(cluster)
    cluster.finish()


@pytest.mark.parametrize("seed", range(10))
def test_full_disk_of_the_leader_beside_an_election(seed):
    """Guards against a group without a leader while one disk has no room."""
    random = Random(seed)
    cluster = build_core(seed, 3, 1)
    for _ in range(4):
        leader = cluster.lease_holder()
        cluster.fill_disk(leader, random.uniform(500, 5_000))
        cluster.run_clients(random.uniform(0, 300))
        other = random.choice([h for h in cluster.hosts.values() if h is not leader])
        cluster.restart(other, random.uniform(10, 600))
        cluster.run_clients(7_000)
    cluster.write_and_wait(ACK_LIMIT_MS)
    cluster.finish()
