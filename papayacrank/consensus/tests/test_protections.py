"""Tests that disabling any safety mechanism violates a guarantee of the log."""

import pytest

from papayacrank.consensus import LossTolerance, Protections, Remove
from papayacrank.consensus.tests._simulation import Cluster, Host, ViolationError

SEED = 11


def followers_of(cluster: Cluster, leader: Host) -> list[Host]:
    return [host for host in cluster.hosts.values() if host is not leader]


def rejoin_after_isolation(cluster: Cluster) -> None:
    """Reconnect a follower after a long isolation; writes must not be interrupted."""
    follower = followers_of(cluster, cluster.lease_holder())[0]
    cluster.partition({follower.name})
    cluster.run_clients(5_000)
    cluster.heal()
    for _ in range(20):
        cluster.write_and_wait(limit_ms=400)
        cluster.run(100)


def stall_leader(cluster: Cluster) -> None:
    """Stall the leader process while the others elect a new leader."""
    cluster.pause(cluster.lease_holder(), 5_000)
    cluster.run_clients(6_000)


def block_replies_to_leader(cluster: Cluster) -> None:
    """Block the replies to a leader, but not its own messages."""
    leader = cluster.lease_holder()
    cluster.blocked = {(h.name, leader.name) for h in followers_of(cluster, leader)}
    cluster.write_and_wait(limit_ms=5_000)


def lose_leader_after_acknowledgement(cluster: Cluster) -> None:
    """Crash a leader before the followers learn that a write is committed."""
    cluster.write_and_wait()
    cluster.lease_holder().crash()
    cluster.run_until(cluster.lease_holder, 10_000)
    cluster.read()


def remove_voters_in_a_partition(cluster: Cluster) -> None:
    """Request the removal of all other voters from an isolated leader."""
    leader = cluster.lease_holder()
    cluster.partition({leader.name})
    for host in followers_of(cluster, leader):
        leader.node.change_member(Remove(host.name), leader.now_ms)
    leader.call("flush")
    cluster.run_clients(3_000)


def power_failure(cluster: Cluster) -> None:
    """Power off all members right after a write was acknowledged."""
    cluster.disk_ms = 300
    for _ in range(5):
        cluster.write_and_wait()
        for host in cluster.hosts.values():
            host.crash()
            cluster.after(100, host.start)
        cluster.run_until(cluster.lease_holder, 10_000)


def lose_folder(cluster: Cluster) -> None:
    """Lose the folder of a voter, then isolate the only other copy of an entry."""
    leader = cluster.lease_holder()
    lagging, reset_host = followers_of(cluster, leader)
    cluster.partition({lagging.name})
    cluster.write_and_wait()
    cluster.lose_disk(reset_host)
    cluster.partition({leader.name})
    cluster.run_clients(2_500)


def restore_old_folder(cluster: Cluster) -> None:
    """Restore an old copy of a voter's folder, then isolate the only other copy.

    The leader still replies to the status query at startup.
    """
    leader = cluster.lease_holder()
    lagging, reset_host = followers_of(cluster, leader)
    copy = reset_host.files.copy()
    cluster.partition({lagging.name})
    cluster.write_and_wait()
    cluster.lose_disk(reset_host, copy)
    cluster.run(120)
    cluster.partition({leader.name})
    cluster.run_clients(2_500)


NO_PROGRESS = "not within"
TWO_LEADERS = "hold the lease at the same time"
STALE_OR_LOST = "was visible|lost entry|applied .* not"

SCENARIOS = [
    ("pre_vote", rejoin_after_isolation, NO_PROGRESS),
    ("lease", stall_leader, TWO_LEADERS),
    ("check_quorum", block_replies_to_leader, NO_PROGRESS),
    ("no_op", lose_leader_after_acknowledgement, STALE_OR_LOST),
    ("one_change", remove_voters_in_a_partition, TWO_LEADERS),
    ("sync_before_reply", power_failure, STALE_OR_LOST),
    ("identity", lose_folder, STALE_OR_LOST),
    ("identity", restore_old_folder, STALE_OR_LOST),
]


@pytest.mark.parametrize(("protection", "scenario", "violation"), SCENARIOS)
def test_protection_is_needed(protection, scenario, violation):
    """Guards against a scenario or a safety mechanism that has become ineffective."""
    run(scenario, Protections())
    with pytest.raises(ViolationError, match=violation):
        run(scenario, Protections(**{protection: False}))


def run(scenario, protections: Protections) -> None:
    tolerance = LossTolerance(instances=0)
    cluster = Cluster(SEED, protections=protections, loss_tolerance=tolerance).start()
    cluster.run_clients(200)
    cluster.run(200)
    scenario(cluster)
    cluster.finish()


def isolate_leader_with_slow_clock(seed: int, **settings) -> None:
    """Isolate a leader with a slow clock from followers with fast clocks."""
    cluster = Cluster(seed, leader_lease_ms=600, **settings).start()
    cluster.disk_ms = cluster.delay_ms = 0.5
    leader = cluster.lease_holder()
    for host in cluster.hosts.values():
        host.set_rate(0.95 if host is leader else 1.05)
    cluster.run(500)
    cluster.partition({leader.name})
    cluster.run_clients(1_000, every_ms=4)


def test_lease_needs_the_drift_bound():
    """Guards against a lease that ends after fast followers may vote again."""
    seeds = range(60)
    for seed in seeds:
        isolate_leader_with_slow_clock(seed)
    with pytest.raises(ViolationError, match=TWO_LEADERS):
        for seed in seeds:
            isolate_leader_with_slow_clock(seed, clock_drift=0.0)
