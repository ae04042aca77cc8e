"""Each protection is needed: without it, its scenario breaks a promise."""

import pytest

from papayacrank.consensus import Protections, Remove
from papayacrank.consensus.tests._simulation import Cluster, Host, ViolationError

SEED = 11


def followers_of(cluster: Cluster, leader: Host) -> list[Host]:
    return [host for host in cluster.hosts.values() if host is not leader]


def returning_member(cluster: Cluster) -> None:
    """A follower returns after a long isolation; service must go on meanwhile."""
    follower = followers_of(cluster, cluster.leading())[0]
    cluster.partition({follower.name})
    cluster.clients(5_000)
    cluster.heal()
    for _ in range(20):
        cluster.write_and_wait(limit_ms=400)
        cluster.run(100)


def stalled_leader(cluster: Cluster) -> None:
    """A leader process is stalled while the others elect a new leader."""
    cluster.pause(cluster.leading(), 5_000)
    cluster.clients(6_000)


def deaf_leader(cluster: Cluster) -> None:
    """A leader's messages arrive, but no answer reaches it."""
    leader = cluster.leading()
    cluster.blocked = {(h.name, leader.name) for h in followers_of(cluster, leader)}
    cluster.write_and_wait(limit_ms=5_000)


def leader_lost_after_acknowledgement(cluster: Cluster) -> None:
    """A leader is lost before the others hear that a write is committed."""
    cluster.write_and_wait()
    cluster.leading().crash()
    cluster.run_until(cluster.leading, 10_000)
    cluster.read()


def removals_in_a_partition(cluster: Cluster) -> None:
    """An isolated leader is asked to remove the other voters."""
    leader = cluster.leading()
    cluster.partition({leader.name})
    for host in followers_of(cluster, leader):
        leader.node.change_member(Remove(host.name), leader.now_ms)
    leader.call("flush")
    cluster.clients(3_000)


def power_failure(cluster: Cluster) -> None:
    """All members lose power right after a write was acknowledged."""
    cluster.disk_ms = 300
    for _ in range(5):
        cluster.write_and_wait()
        for host in cluster.hosts.values():
            host.crash()
            cluster.after(100, host.start)
        cluster.run_until(cluster.leading, 10_000)


def lost_folder(cluster: Cluster) -> None:
    """A voter loses the entries it acknowledged; the only other copy is cut off."""
    leader = cluster.leading()
    lagging, forgetful = followers_of(cluster, leader)
    cluster.partition({lagging.name})
    cluster.write_and_wait()
    cluster.lose_disk(forgetful)
    cluster.partition({leader.name})
    cluster.clients(2_500)


def old_folder(cluster: Cluster) -> None:
    """As before, but with an old copy, and the leader still answers the start check."""
    leader = cluster.leading()
    lagging, forgetful = followers_of(cluster, leader)
    copy = forgetful.files.copy()
    cluster.partition({lagging.name})
    cluster.write_and_wait()
    cluster.lose_disk(forgetful, copy)
    cluster.run(120)
    cluster.partition({leader.name})
    cluster.clients(2_500)


NO_PROGRESS = "not within"
TWO_LEADERS = "hold the lease at the same time"
STALE_OR_LOST = "was visible|lost entry|applied .* not"

SCENARIOS = [
    ("pre_vote", returning_member, NO_PROGRESS),
    ("lease", stalled_leader, TWO_LEADERS),
    ("check_quorum", deaf_leader, NO_PROGRESS),
    ("no_op", leader_lost_after_acknowledgement, STALE_OR_LOST),
    ("one_change", removals_in_a_partition, TWO_LEADERS),
    ("sync_before_reply", power_failure, STALE_OR_LOST),
    ("identity", lost_folder, STALE_OR_LOST),
    ("identity", old_folder, STALE_OR_LOST),
]


@pytest.mark.parametrize(("protection", "scenario", "violation"), SCENARIOS)
def test_protection_is_needed(protection, scenario, violation):
    """Guards against a scenario, or a protection, that has become ineffective."""
    run(scenario, Protections())
    with pytest.raises(ViolationError, match=violation):
        run(scenario, Protections(**{protection: False}))


def run(scenario, protections: Protections) -> None:
    cluster = Cluster(SEED, protections=protections).start()
    cluster.clients(200)
    cluster.run(200)
    scenario(cluster)
    cluster.finish()


def isolated_leader(seed: int, **settings) -> None:
    """A leader with a slow clock is cut off from followers with fast ones."""
    cluster = Cluster(seed, leader_lease_ms=600, **settings).start()
    cluster.disk_ms = cluster.delay_ms = 0.5
    leader = cluster.leading()
    for host in cluster.hosts.values():
        host.set_rate(0.95 if host is leader else 1.05)
    cluster.run(500)
    cluster.partition({leader.name})
    cluster.clients(1_000, every_ms=4)


def test_lease_needs_the_drift_bound():
    """Guards against a lease that outlasts the promises of fast followers."""
    seeds = range(60)
    for seed in seeds:
        isolated_leader(seed)
    with pytest.raises(ViolationError, match=TWO_LEADERS):
        for seed in seeds:
            isolated_leader(seed, clock_drift=0.0)
