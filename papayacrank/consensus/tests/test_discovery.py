"""Tests that a process with an empty folder finds the group of its instance."""

from dataclasses import replace

import pytest

from papayacrank.consensus.tests._simulation import Cluster, Host, ViolationError

DURABLE = ("n0", "n1", "n2")
VOLATILE = ("n3", "n4", "n5")
JOIN_LIMIT_MS = 4_000


def build_cluster(seed: int) -> Cluster:
    """Return three voters with a disk and three processes without one."""
    cluster = Cluster(seed, size=6, voters=3)
    for name in VOLATILE:
        host = cluster.hosts[name]
        host.settings = replace(host.settings, volatile=True)
    cluster.start()
    cluster.run(2_000)
    return cluster


def find_follower(cluster: Cluster) -> Host:
    """Return a voter that does not lead."""
    leader = cluster.lease_holder()
    return next(
        h for h in cluster.hosts.values() if h.name in DURABLE and h is not leader
    )


def set_peers(host: Host, *names: str) -> None:
    """Change the settings with which the process starts the next time."""
    host.settings = replace(host.settings, peers=names, initial_voters=())


def check_vote(cluster: Cluster, host: Host) -> None:
    """Check that the new folder of the host gets a vote in time."""

    def has_vote():
        leader = cluster.lease_holder()
        voters = [m.identity for m in leader.node.members if m.voter] if leader else []
        return host.node is not None and host.node.identity in voters

    cluster.run_until(has_vote, JOIN_LIMIT_MS)


def check_one_group(cluster: Cluster) -> None:
    groups = {host.store.load().hard_state.group for host in cluster.hosts.values()}
    assert len(groups - {""}) == 1


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("is_leader", [False, True])
def test_empty_member_finds_the_group_through_processes_outside_it(seed, is_leader):
    """Guards against an empty folder that never rejoins after new seeds."""
    cluster = build_cluster(seed)
    lost = [h for h in cluster.hosts.values() if h.name in DURABLE]
    lost.sort(key=lambda h: (h is cluster.lease_holder()) != is_leader)
    for host in lost[:2]:
        set_peers(host, *VOLATILE)
        cluster.lose_disk(host)
        check_vote(cluster, host)
        cluster.run_clients(500)
    cluster.finish()
    check_one_group(cluster)


def test_empty_member_finds_the_group_through_messages_to_its_old_folder():
    """Guards against an empty folder that never rejoins if no seed is left."""
    cluster = build_cluster(1)
    host = find_follower(cluster)
    set_peers(host, "n8", "n9")
    cluster.lose_disk(host)
    check_vote(cluster, host)
    cluster.finish()


def test_member_follows_new_peers_while_it_runs():
    """Guards against a restart that is needed before new seeds are used."""
    cluster = build_cluster(2)
    host = find_follower(cluster)
    set_peers(host, "n8", "n9")
    leader = cluster.lease_holder().name
    cluster.blocked = {(leader, host.name), (host.name, leader)}
    cluster.lose_disk(host)
    with pytest.raises(ViolationError):
        check_vote(cluster, host)
    host.call("add_peers", VOLATILE)
    cluster.heal()
    check_vote(cluster, host)
    cluster.finish()


@pytest.mark.parametrize("seed", range(6))
def test_empty_processes_that_only_know_each_other_found_no_group(seed):
    """Guards against a second group while the members are only unreachable."""
    cluster = Cluster(seed, size=5, voters=5).start()
    cluster.write_and_wait()
    empty = [cluster.hosts[name] for name in ("n0", "n1")]
    cluster.partition({host.name for host in empty})
    for host in empty:
        set_peers(host, *(other.name for other in empty if other is not host))
        cluster.lose_disk(host)
    cluster.run_clients(4_000)
    assert not any(host.node.leader for host in empty)
    cluster.heal()
    for host in empty:
        check_vote(cluster, host)
    cluster.finish()
    check_one_group(cluster)


@pytest.mark.parametrize("seed", range(6))
def test_seeds_that_moved_to_another_use_do_not_delay_the_vote(seed):
    """Guards against an empty folder that waits for processes that are gone."""
    cluster = build_cluster(seed)
    host = cluster.hosts["n1"]
    cluster.hosts["n3"].crash()
    cluster.hosts["n4"].crash()
    set_peers(host, "n3", "n4", "n5")
    cluster.lose_disk(host)
    check_vote(cluster, host)
    set_peers(host, "n4", "n3")
    cluster.lose_disk(host)
    check_vote(cluster, host)
    cluster.hosts["n3"].start()
    cluster.finish()


def test_removed_learner_does_not_ask_a_former_leader_to_join():
    """Guards against a removed learner that never rejoins after an election."""
    cluster = build_cluster(3)
    settings = replace(cluster.hosts["n0"].settings, name="n6", initial_voters=())
    learner = cluster.hosts["n6"] = Host(cluster, settings, 1.0)
    learner.start()
    cluster.run_until(lambda: is_member(cluster, learner), JOIN_LIMIT_MS)
    cluster.run(1_000)
    cluster.partition({learner.name})
    cluster.run_until(lambda: not is_member(cluster, learner), JOIN_LIMIT_MS)
    old_leader = cluster.lease_holder()
    cluster.restart(old_leader, 100)
    cluster.run_until(
        lambda: cluster.lease_holder() not in (None, old_leader), JOIN_LIMIT_MS
    )
    cluster.heal()
    cluster.run_until(lambda: is_member(cluster, learner), JOIN_LIMIT_MS)
    cluster.finish()


def is_member(cluster: Cluster, host: Host) -> bool:
    leader = cluster.lease_holder()
    return leader is not None and any(
        member.identity == host.node.identity for member in leader.node.members
    )
