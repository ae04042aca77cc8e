"""Tests of groups with members of this build and of the build before the formats."""

from dataclasses import replace

import msgspec
import pytest

from papayacrank.consensus._formats import MAX_STATED_FORMATS, EntryFormats
from papayacrank.consensus._messages import (
    _WIRE_NAMES,
    AppendReply,
    JoinRequest,
)
from papayacrank.consensus.tests._simulation import Cluster

NEW = 1
# Below the 3,000 ms after which a silent voter is removed.
LOST_LIMIT_MS = 2_000


class OldMessage(
    msgspec.Struct, frozen=True, rename=_WIRE_NAMES.get, omit_defaults=True
):
    """Base class of the messages as the build before has declared them."""


class OldAppendReply(OldMessage, frozen=True, tag="rb"):
    """`AppendReply` of the build before."""

    group: str
    term: int
    identity: str
    match_index: int
    sent_ms: int
    accepted: bool = True
    snapshot_offset: int = -1


class OldJoinRequest(OldMessage, frozen=True, tag="rj"):
    """`JoinRequest` of the build before."""

    group: str
    identity: str
    failure_domain: str
    volatile: bool = False


OLD_TYPES = {
    AppendReply: OldAppendReply,
    JoinRequest: OldJoinRequest,
}


def pass_through_old_build(message):
    """Return a message as it is after an old build has decoded or encoded it."""
    old_type = OLD_TYPES.get(type(message))
    if old_type is None:
        return message
    old = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=old_type)
    return msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=type(message))


class MixedCluster(Cluster):
    """Group of three voters and a learner, some of them of the build before."""

    def __init__(self, seed, old=(), **overrides):
        super().__init__(seed, 4, 3, target_voters=3, entry_format=NEW, **overrides)
        self.old = set()
        for name in old:
            self.change_build(name, 0)

    def change_build(self, name, entry_format):
        """Set the build of a host for its next start."""
        host = self.hosts[name]
        host.settings = replace(host.settings, entry_format=entry_format)
        (self.old.discard if entry_format else self.old.add)(name)

    def send(self, sender, to, message):
        """Send a message through the codec of the build before if a side has it."""
        if self.old & {sender, to}:
            message = pass_through_old_build(message)
        super().send(sender, to, message)

    def restart_as(self, name, entry_format):
        """Restart a host with another build."""
        self.hosts[name].crash()
        self.change_build(name, entry_format)
        self.after(100, self.hosts[name].start)

    def missing(self):
        """Return the members that the leader does not know to read the format."""
        leader = self.lease_holder()
        if leader is None:
            return None
        return sorted(leader.node.list_not_reading(NEW, leader.now_ms))

    def settle(self):
        """Run until the group has all members and the leader knows their formats."""
        self.run_until(lambda: len(self.members()) == len(self.hosts), 10_000)
        self.write_and_wait()
        self.run(2_000)

    def members(self):
        """Return the members as the leader has them."""
        leader = self.lease_holder()
        return leader.node.members if leader else ()


@pytest.mark.parametrize("old", ["n3", "n1", "n0 n1", "n0 n1 n2 n3"])
@pytest.mark.parametrize("seed", range(3))
def test_new_format_waits_for_the_last_member(seed, old):
    """Guards against entries that stop members of the build before.

    Members are upgraded one after another, the leader last, and may be learners.
    """
    cluster = MixedCluster(seed, old.split()).start()
    cluster.settle()
    leader = cluster.lease_holder().name
    for name in sorted(old.split(), key=lambda name: name == leader):
        assert set(cluster.missing()) >= cluster.old - {leader}
        cluster.restart_as(name, NEW)
        cluster.run(1_000)
        cluster.settle()
    assert cluster.missing() == []
    cluster.finish()


@pytest.mark.parametrize("name", ["n0", "n1", "n2", "n3"])
def test_member_that_falls_back_is_known(name):
    """Guards against entries that a member of the build before gets after all."""
    cluster = MixedCluster(5).start()
    cluster.settle()
    assert cluster.missing() == []
    cluster.restart_as(name, 0)
    cluster.run(1_000)
    cluster.settle()
    assert cluster.missing() == [name]


@pytest.mark.parametrize("seed", range(3))
def test_recorded_format_of_a_lost_member_counts(seed):
    """Guards against orders that are refused as long as a lost member is in the group.

    A new leader cannot ask it, and does not remove it before `voter_silence_ms`.
    """
    cluster = MixedCluster(seed).start()
    cluster.settle()
    lost = cluster.lease_holder()
    recorded = lost.node.stated_formats
    assert set(recorded.values()) == {NEW}
    lost.crash()
    cluster.run_until(lambda: cluster.missing() == [lost.name], LOST_LIMIT_MS)
    cluster.run(cluster.lease_holder().settings.election_timeout_ms)
    assert cluster.missing() == [lost.name]
    cluster.lease_holder().node.learn_formats(recorded)
    assert cluster.missing() == []
    assert len(cluster.members()) == len(cluster.hosts)


@pytest.mark.parametrize("seed", range(5))
def test_recorded_format_does_not_hide_a_fall_back(seed):
    """Guards against an entry that a learner gets which restarts during an election."""
    cluster = MixedCluster(seed).start()
    cluster.settle()
    leader = cluster.lease_holder()
    recorded = leader.node.stated_formats
    leader.crash()
    cluster.restart_as("n3", 0)
    end_ms = cluster.now_ms + LOST_LIMIT_MS
    while cluster.now_ms < end_ms:
        cluster.run(20)
        for host in cluster.hosts.values():
            if host.node is not None:
                host.node.learn_formats(recorded)
        missing = cluster.missing()
        assert missing is None or "n3" in missing
    assert cluster.lease_holder() is not None


def test_leader_forgets_statements_of_earlier_terms():
    """Guards against a format that a member has since stated anew to another leader."""
    cluster = MixedCluster(2, voter_silence_ms=60_000).start()
    cluster.settle()
    first = cluster.lease_holder()
    cluster.hosts["n3"].crash()
    identity = next(m.identity for m in cluster.members() if m.name == "n3")
    term = first.node.term
    while cluster.lease_holder() is not first or first.node.term == term:
        if cluster.lease_holder():
            cluster.lease_holder().call("resign")
        cluster.run(500)
        assert first.node.term < term + 50
    assert identity not in first.node.stated_formats
    first.node.learn_formats({identity: 0})
    assert first.node.stated_formats[identity] == 0


def test_old_build_does_not_join_once_a_new_format_is_used():
    """Guards against a new member that stops on the log that it receives."""
    cluster = MixedCluster(1, old=["n3"]).start()
    cluster.settle()
    cluster.hosts["n3"].crash()
    cluster.run_until(lambda: len(cluster.members()) == 3, 10_000)
    for name in ("n0", "n1", "n2"):
        cluster.hosts[name].node.require_format(NEW)
    cluster.hosts["n3"].start()
    cluster.run(8_000)
    assert len(cluster.members()) == 3
    cluster.restart_as("n3", NEW)
    cluster.run_until(lambda: len(cluster.members()) == 4, 10_000)


def test_statements_are_bounded_and_replaced():
    """Guards against formats of processes that are gone for good."""
    formats = EntryFormats("own", 1)
    formats.state("a", 1)
    assert (formats.find("own"), formats.find("a"), formats.find("b")) == (1, 1, -1)
    formats.state("a", 0)
    formats.learn({"a": 1, "own": 0, "c": 1})
    assert [formats.find(name) for name in ("a", "own", "c")] == [0, 1, 1]
    for number in range(MAX_STATED_FORMATS):
        formats.state(f"m{number}", 1)
    assert formats.find("a") == -1
