"""Random schedules of faults; each checks the history of the clients' operations."""

from dataclasses import replace

import pytest

from papayacrank.consensus import HardState, Remove, Replace, _replication
from papayacrank.consensus.tests._simulation import (
    Cluster,
    ViolationError,
    random_faults,
)

SCHEDULES_PER_TEST = 100


@pytest.fixture(autouse=True)
def small_chunks(monkeypatch):
    monkeypatch.setattr(_replication, "SNAPSHOT_CHUNK_BYTES", 150)


@pytest.mark.parametrize("block", range(5))
@pytest.mark.parametrize(("size", "voters"), [(3, 3), (5, 5), (5, 3), (4, 3)])
def test_no_schedule_breaks_a_promise(size, voters, block):
    """Loss, duplication, reordering, crashes, partitions, pauses, member changes.

    Guards against lost or changed committed entries, two members that serve reads at
    the same time, stale reads, and a group that does not recover.
    """
    first = block * SCHEDULES_PER_TEST
    for seed in range(first, first + SCHEDULES_PER_TEST):
        cluster = Cluster(seed, size, voters).start()
        try:
            random_faults(cluster, steps=8)
            cluster.finish()
        except Exception as error:
            error.add_note(f"seed {seed}, {size} members, {voters} voters")
            raise


@pytest.mark.parametrize("rolled_back", [False, True])
@pytest.mark.parametrize(("size", "voters"), [(5, 5), (4, 3)])
def test_lost_and_old_folders_lose_no_entry(rolled_back, size, voters):
    """Guards against votes and acknowledgements from a folder that forgot some.

    With 3 voters, orders to remove voters are left out: they could leave 2 voters,
    which do not survive the loss of one.
    """
    orders = voters > 3
    for seed in range(150):
        cluster = Cluster(seed, size, voters).start()
        host = cluster.random.choice(list(cluster.hosts.values()))
        cluster.clients(cluster.random.uniform(0, 500))
        copy = host.files.copy() if rolled_back else None
        random_faults(cluster, steps=2, orders=orders)
        cluster.heal()
        cluster.run(1_500)
        cluster.clients(cluster.random.uniform(100, 800))
        cluster.lose_disk(host, copy)
        cluster.clients(cluster.random.uniform(1_200, 2_000))
        random_faults(cluster, steps=3, orders=orders)
        try:
            cluster.finish()
        except Exception as error:
            error.add_note(f"seed {seed}, rolled back: {rolled_back}")
            raise


def test_two_disks_lost_at_once_lose_no_entry():
    """Guards against a group that forgets what only one remaining voter has."""
    for seed in range(100):
        cluster = Cluster(seed, size=5, voters=5).start()
        random_faults(cluster, steps=2, orders=False)
        cluster.heal()
        cluster.run(1_500)
        cluster.clients(cluster.random.uniform(100, 800))
        for host in cluster.random.sample(list(cluster.hosts.values()), 2):
            cluster.lose_disk(host)
        random_faults(cluster, steps=4, orders=False)
        try:
            cluster.finish()
        except Exception as error:
            error.add_note(f"seed {seed}")
            raise


def test_two_lost_disks_in_turn_are_repaired():
    """Guards against a group that stays short of voters after a repair."""
    cluster = Cluster(1, size=6, voters=5).start()
    for _ in range(2):
        cluster.lose_disk(cluster.leading())
        cluster.clients(8_000, every_ms=100)
        assert len(cluster.voters()) == 5
    cluster.finish()


def test_silent_voter_is_replaced_from_the_emptiest_domain():
    """Guards against voters that gather in one failure domain."""
    cluster = Cluster(2, size=6, voters=3).start()
    cluster.run_until(lambda: len(cluster.voters()) == 5, 5_000)
    victim = next(h for h in cluster.hosts.values() if h is not cluster.leading())
    victim.crash()
    cluster.run_until(lambda: victim.name not in cluster.voters(), 10_000)
    cluster.run_until(lambda: len(cluster.voters()) == 5, 10_000)
    domains = [cluster.hosts[name].settings.failure_domain for name in cluster.voters()]
    assert sorted(domains.count(d) for d in set(domains)) == [1, 2, 2]
    cluster.finish()


def test_group_survives_losses_in_turn_down_to_one_domain_each():
    """Guards against keeping dead voters in the quorum until it is lost."""
    cluster = Cluster(3, size=5, voters=5).start()
    for _ in range(3):
        cluster.leading().crash()
        cluster.run_until(cluster.leading, 5_000)
        cluster.clients(6_000, every_ms=200)
    cluster.write_and_wait()
    cluster.finish()


def test_replace_promotes_the_named_learner():
    """Guards against a replacement that picks another learner than ordered."""
    cluster = Cluster(4, size=7, voters=5).start()
    cluster.run(2_000)
    leader = cluster.leading()
    voters = set(cluster.voters())
    old = sorted(voters - {leader.name})[0]
    new = sorted(set(cluster.hosts) - voters)[-1]
    assert leader.node.change_member(Replace(old, new), leader.now_ms).is_ok()
    leader.call("flush")
    cluster.run_until(lambda: new in cluster.voters(), 5_000)
    assert old not in cluster.voters()


def test_no_second_group_while_a_member_knows_a_log():
    """Guards against an empty group that replaces a reachable or a hidden log."""
    cluster = Cluster(5, size=3, voters=3).start()
    cluster.write_and_wait()
    survivor = cluster.hosts["n2"]
    cluster.partition({survivor.name})
    for name in ("n0", "n1"):
        cluster.lose_disk(cluster.hosts[name])
    for _ in range(2):
        with pytest.raises(ViolationError):
            cluster.run_until(cluster.leading, 10_000)
        cluster.heal()


def test_restart_of_all_members_keeps_everything():
    """Guards against a group that needs a member that is not coming back."""
    cluster = Cluster(6, size=3, voters=3).start()
    cluster.clients(500)
    for host in cluster.hosts.values():
        host.crash()
    for name in ("n0", "n2"):
        cluster.hosts[name].start()
    cluster.write_and_wait(5_000)
    cluster.history.check_final(cluster.leading())


@pytest.mark.parametrize("lost_disks", [0, 1])
def test_group_that_starts_together_elects_at_once(lost_disks):
    """Guards against an outage of an election timeout after each power loss."""
    delays = []
    for seed in range(40):
        cluster = Cluster(seed, size=4, voters=3).start()
        cluster.clients(300)
        cluster.run(1_500)
        hosts = list(cluster.hosts.values())
        for host in hosts:
            host.crash()
        for host in hosts[:lost_disks]:
            host.lost_identity = host.store.identity
            host.files.restore({})
        cluster.run(1_000)
        for host in hosts:
            host.start()
        started_ms = cluster.now_ms
        cluster.run_until(cluster.leading, 3_000)
        delays.append(cluster.now_ms - started_ms)
        cluster.finish()
    assert sorted(delays)[len(delays) // 2] <= 240
    # After a failed first election, the usual timeout of at most 1,200 ms decides.
    assert max(delays) <= 1_400


def test_former_voter_leaves_the_first_election_to_the_voters():
    """Guards against a leader that steps down as soon as it has been elected.

    After a restart, no entry counts as committed, so a member whose removal is in the
    log still counts as a voter of the time before it.
    """
    delays = []
    for seed in range(30):
        cluster = Cluster(seed, size=4, voters=3).start()
        removed = next(h for h in cluster.hosts.values() if h.name in cluster.voters())
        removed.crash()
        cluster.run(8_000)
        assert removed.name not in cluster.voters()
        removed.start()
        cluster.run(3_000)
        hosts = list(cluster.hosts.values())
        for host in hosts:
            host.crash()
        cluster.run(1_000)
        for host in hosts:
            host.start()
            cluster.run(cluster.random.uniform(0, 100))
        started_ms = cluster.now_ms
        cluster.run_until(cluster.leading, 3_000)
        assert cluster.leading().name != removed.name
        delays.append(cluster.now_ms - started_ms)
        cluster.finish()
    assert sorted(delays)[len(delays) // 2] <= 240


def test_member_that_restarts_beside_a_leader_keeps_its_promise():
    """Guards against a second leader while the lease of the first one holds."""
    for seed in range(60):
        cluster = Cluster(seed, size=3, voters=3).start()
        cluster.clients(300)
        leader = cluster.leading()
        others = [h for h in cluster.hosts.values() if h is not leader]
        cluster.partition({leader.name})
        for host in others:
            host.crash()
            host.start()
        for _ in range(60):
            cluster.run(10)
            cluster.read()
        cluster.heal()
        cluster.finish()


def test_leader_that_logged_its_own_removal_is_electable():
    """Guards against a group in which nobody may lead.

    Only the leader has its removal in the log, so that the other member, the only
    voter by that entry, needs the leader's vote and has the shorter log.
    """
    cluster = Cluster(7, size=2, voters=2).start()
    leader = cluster.leading()
    cluster.partition({leader.name})
    assert leader.node.change_member(Remove(leader.name), leader.now_ms).is_ok()
    leader.call("flush")
    cluster.run(100)
    cluster.finish()


def test_slow_disks_cost_no_election():
    """Guards against a disk stall of all followers that looks like their loss."""
    cluster = Cluster(8, size=3, voters=3).start()
    leader, term = cluster.leading(), cluster.leading().node.term
    cluster.disk_ms = 3_000
    for _ in range(100):
        cluster.clients(50)
        assert leader.has_lease
    assert leader.node.term == term
    cluster.finish()


def test_rejoined_member_with_the_same_folder_keeps_its_identity():
    """Guards against replacing intact folders after a plain restart."""
    cluster = Cluster(9, size=5, voters=5).start()
    before = {name: host.store.identity for name, host in cluster.hosts.items()}
    for _ in range(3):
        for host in cluster.hosts.values():
            cluster.clients(300)
            cluster.restart(host, 50)
    cluster.finish()
    assert before == {n: host.store.identity for n, host in cluster.hosts.items()}


def test_term_floor_does_not_block_elections():
    """Guards against a group whose members all refuse the next term.

    One member has a higher term than the others, who learn so in their start check.
    """
    cluster = Cluster(10, size=5, voters=5).start()
    odd, *others = cluster.hosts.values()
    for host in cluster.hosts.values():
        host.crash()
    state = odd.store.load()
    odd.store.append([HardState(50, "", state.hard_state.group)])
    for host in others:
        host.start()
    odd.start()
    cluster.run(30)
    cluster.partition({odd.name})
    cluster.write_and_wait()


@pytest.mark.parametrize("target", [3, 5])
def test_votes_spread_over_the_failure_domains(target):
    """Guards against a majority of voters in one failure domain.

    Voters gather there when instances of the other domains are away for a while.
    """
    crowded = ("n0", "n3", "n6", "n1", "n4")[:target]
    cluster = Cluster(12, 9, initial_voters=crowded, target_voters=target).start()
    lowest = [len(cluster.voters())]

    def is_spread():
        voters = cluster.voters()
        lowest.append(len(voters) or lowest[-1])
        domains = [cluster.hosts[name].settings.failure_domain for name in voters]
        counts = [domains.count(d) for d in ("east", "west", "north")]
        return len(voters) == target and max(counts) - min(counts) <= 1

    cluster.run_until(is_spread, 10_000)
    assert min(lowest) == target
    settled = cluster.voters()
    cluster.run(3_000)
    assert cluster.voters() == settled
    cluster.finish()


def test_old_folder_that_is_noticed_late_is_discarded():
    """Guards against a member that is stuck, or whose state is applied twice."""
    cluster = Cluster(13).start()
    leader = cluster.leading()
    lagging, host = (h for h in cluster.hosts.values() if h is not leader)
    cluster.clients(200)
    copy, old = host.files.copy(), host.store.identity
    cluster.partition({lagging.name})
    cluster.write_and_wait()
    cluster.lose_disk(host, copy)
    cluster.partition({leader.name})
    cluster.run(430)
    assert host.store.identity == old
    cluster.heal()
    cluster.clients(2_000)
    assert host.node.identity != old
    cluster.finish()


@pytest.mark.parametrize("sync", range(1, 12))
def test_founder_that_crashes_while_founding(sync):
    """Guards against two groups, or none, after a crash at any sync of the start."""
    cluster = Cluster(sync)
    founder = cluster.hosts["n0"]
    founder.files.crash_at_sync = sync
    for host in cluster.hosts.values():
        host.start()
    cluster.run(50)
    founder.start()
    cluster.run_until(cluster.leading, 5_000)
    cluster.clients(500)
    cluster.finish()


def test_proposals_are_bounded():
    """Guards against memory that grows without limit while nothing is committed."""
    cluster = Cluster(14).start()
    leader = cluster.leading()
    cluster.partition({leader.name})
    results = [leader.node.propose(b"x", leader.now_ms) for _ in range(5_000)]
    codes = {result.error.code for result in results if result.is_error()}
    assert codes == {"overloaded"}
    assert leader.node.propose(bytes(2**21), leader.now_ms).error.code == "too_large"
    large = [leader.node.propose(bytes(2**20), leader.now_ms) for _ in range(60)]
    assert large[-1].error.code == "overloaded"


def test_order_that_would_cost_the_majority_is_refused():
    """Guards against an operator's removal that leaves too few live voters."""
    cluster = Cluster(15, size=5, voters=5).start()
    leader = cluster.leading()
    names = [name for name in cluster.hosts if name != leader.name]
    for name in names[:2]:
        cluster.hosts[name].crash()
    cluster.run(1_000)
    result = leader.node.change_member(Remove(names[2]), leader.now_ms)
    assert result.error.code == "too_few_voters"
    assert leader.node.change_member(Remove(names[0]), leader.now_ms).is_ok()


def test_voter_whose_folder_was_lost_is_replaced_by_its_successor():
    """Guards against a group that tolerates no loss until the silence limit ends."""
    cluster = Cluster(15, voter_silence_ms=60_000).start()
    leader = cluster.leading()
    host = next(h for h in cluster.hosts.values() if h is not leader)
    cluster.write_and_wait()
    old = host.store.identity
    cluster.lose_disk(host)

    def is_replaced():
        voters = {m.identity for m in leader.node.members if m.voter}
        return len(voters) == 3 and old not in voters

    cluster.run_until(is_replaced, 3_000)
    cluster.write_and_wait()
    cluster.finish()


def test_members_without_a_disk_leave_their_votes_to_others():
    """Guards against entries that only members have that forget them.

    Of the 3 initial voters, 2 have no disk. Once the group has settled, all members
    stop at once, and those without a disk come back empty.
    """
    for seed in range(30):
        cluster = Cluster(seed, size=6, voters=3)
        volatile = [cluster.hosts[name] for name in ("n0", "n2", "n5")]
        for host in volatile:
            host.settings = replace(host.settings, volatile=True)
        cluster.start()
        cluster.run(4_000)
        assert cluster.voters() == ["n1", "n3", "n4"]
        cluster.clients(500)
        for host in cluster.hosts.values():
            host.crash()
        for host in volatile:
            host.lost_identity = host.store.identity
            host.files.restore({})
        for host in cluster.hosts.values():
            host.start()
        cluster.write_and_wait(10_000)
        cluster.run(3_000)
        assert cluster.voters() == ["n1", "n3", "n4"]
        cluster.finish()


def test_processes_without_a_disk_stay_outside_a_group_that_has_disks():
    """Guards against logs that are copied to members which may never vote.

    At 200 instances, 12 such members took three quarters of the leader's bytes.
    """
    cluster = Cluster(1, size=6, voters=3)
    volatile = [cluster.hosts[name] for name in ("n0", "n4", "n5")]
    for host in volatile:
        host.settings = replace(host.settings, volatile=True)
    cluster.start()
    cluster.run(4_000)
    leader = cluster.leading()
    assert sorted(m.name for m in leader.node.members) == ["n1", "n2", "n3"]
    cluster.clients(300)
    # They still tell operators and entry processes who leads, also after a change.
    leader.crash()
    cluster.run(4_000)
    known = {host.node.leader for host in volatile}
    assert known == {cluster.leading().settings.name}
    leader.start()
    cluster.write_and_wait(10_000)
    cluster.finish()


def test_members_without_a_disk_vote_where_no_member_has_one():
    """Guards against a deployment without disks in which nobody may lead."""
    cluster = Cluster(1, size=4, voters=3)
    for host in cluster.hosts.values():
        host.settings = replace(host.settings, volatile=True)
    cluster.start()
    cluster.clients(300)
    host = cluster.leading()
    cluster.lose_disk(host)
    cluster.write_and_wait(10_000)
    cluster.run(3_000)
    assert len(cluster.voters()) == 3
    cluster.finish()
