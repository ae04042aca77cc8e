"""Tests of the tasks of the leader, with a log that commits immediately."""

import msgspec
import pytest
from expression import Error, Ok

from papayacrank.config import ControlSettings
from papayacrank.consensus import ENTRY_TOO_LARGE, Committed, EmitEvent, Member
from papayacrank.control import _requests as requests_module
from papayacrank.control._node import ControlNode, NodeError
from papayacrank.kernel import Failure, Send, Verdict
from papayacrank.messages import (
    BeginAction,
    ControlReply,
    ControlRequest,
    Done,
    FeedSnapshot,
    FeedUpdate,
    FileRouting,
    GrantKey,
    Heartbeat,
    HeartbeatAck,
    NotLeader,
    ReadState,
    ReplaceMember,
    RoutingConfiguration,
    ShareReport,
)
from papayacrank.state import StateMachine, decode_entry

DIGEST = "ab" * 32
LEASE_MS = 3_000
DRIFT = 0.05
GRANT = GrantKey("key", "team-a", DIGEST, "ann")


class FakeRaft:
    """Raft log of a single member; `flush` commits the proposed entries."""

    def __init__(self):
        self.is_leader = True
        self.holds_lease = True
        self.term = 1
        self.leader = "c1"
        self.commit_index = 0
        self.members = (Member("c1", "x", "east", True), Member("c2", "y", "w", False))
        self.wants_snapshot = False
        self.stated_formats = {}
        self.rejects_proposals = False
        self.max_entry_bytes = 1_000_000
        self.entries = []
        self._buffer = []

    def has_lease(self, now_ms):
        return self.is_leader and self.holds_lease

    def start(self, now_ms):
        return []

    def learn_formats(self, recorded):
        self.stated_formats = dict(recorded) | self.stated_formats

    def list_not_reading(self, entry_format, now_ms):
        return []

    def propose(self, data, now_ms):
        if self.rejects_proposals or not self.is_leader:
            return Error(Failure("not_leader", Verdict.NOT_RUN, "no"))
        if len(data) > self.max_entry_bytes:
            return Error(Failure(ENTRY_TOO_LARGE, Verdict.NOT_RUN, "no", 413))
        self._buffer.append(data)
        return Ok(len(self.entries) + len(self._buffer))

    def resign(self, now_ms):
        self.is_leader = False
        return []

    def change_member(self, change, now_ms):
        promoted = msgspec.structs.replace(self.members[1], voter=True)
        self.members = (promoted,)
        return Ok(0)

    def flush(self, now_ms):
        effects = []
        for data in self._buffer:
            self.entries.append(decode_entry(data))
            effects.append(Committed(len(self.entries), self.term, data))
        self._buffer.clear()
        return effects


class NodeHarness:
    """Control node with a fake log and a simulated clock."""

    def __init__(self, fleet=None, **fields):
        settings = ControlSettings(
            instance="c1",
            failure_domain="east",
            link="127.0.0.1:1",
            data_folder="unused",
            initial_voters=["c1"],
            **fields,
        )
        self.raft = FakeRaft()
        self.machine = StateMachine()
        self.now_ms = 50_000
        self.node = ControlNode(settings, self.raft, self.machine, lambda: 0, fleet)
        self.node.start(self.now_ms)
        self.flush()

    def flush(self):
        return self.node.flush(self.now_ms)

    def sent_messages(self, effects):
        return [(e.to, e.message) for e in effects if isinstance(e, Send)]

    def receive(self, sender, message):
        """Handle a message, including the batch timer, and return the sent messages."""
        effects = self.node.receive(sender, message, self.now_ms) + self.flush()
        effects += self.node.tick("control.batch", self.now_ms) + self.flush()
        return self.sent_messages(effects)

    def advance(self, ms):
        """Advance the time, running the tasks of the leader every 100 ms."""
        messages = []
        for _ in range(0, ms, 100):
            self.now_ms += 100
            effects = self.node.tick("control.leader-tasks", self.now_ms) + self.flush()
            messages += self.sent_messages(effects)
        return messages

    def send_heartbeat(self, sequence=1, boot=1, instance="i1", **fields):
        heartbeat = Heartbeat(
            instance, boot, sequence, 7, 0, "east", "127.0.0.1:80", "serving"
        )
        heartbeat = msgspec.structs.replace(heartbeat, **fields)
        return self.receive(f"entry/{instance}", heartbeat)

    def change_leader(self):
        self.raft.is_leader = False
        self.node.tick("control.leader-tasks", self.now_ms)
        self.raft.is_leader, self.raft.term = True, self.raft.term + 1
        self.node.tick("control.leader-tasks", self.now_ms)
        self.flush()


@pytest.fixture
def harness():
    """Return a leader with a lease."""
    return NodeHarness()


def find_acks(messages):
    return [m for _, m in messages if isinstance(m, HeartbeatAck)]


def build_request(command, request_id="r1"):
    return ControlRequest(request_id, "admin", 1, command)


def test_only_a_leader_with_a_lease_serves_requests(harness):
    """Guards against acknowledgements and reads by a leader that was replaced."""
    assert find_acks(harness.send_heartbeat())
    harness.raft.holds_lease = False
    assert harness.send_heartbeat(2) == [("entry/i1", NotLeader("", ""))]
    assert harness.receive("a", build_request(ReadState("keys"))) == [
        ("a", NotLeader("r1"))
    ]
    assert harness.receive("a", build_request(GRANT)) == [("a", NotLeader("r1"))]
    assert harness.machine.keys.live == []


def test_unchanged_heartbeats_add_no_entries_but_are_acknowledged(harness):
    """Guards against log growth without changes."""
    harness.send_heartbeat()
    entry_count = len(harness.raft.entries)
    for sequence in range(2, 6):
        assert find_acks(harness.send_heartbeat(sequence))[0].sequence == sequence
    assert len(harness.raft.entries) == entry_count


def test_heartbeats_are_batched_into_entries(harness):
    """Guards against a log entry for every heartbeat of a large fleet."""
    previous_count = len(harness.raft.entries)
    for number in range(120):
        heartbeat = Heartbeat(f"i{number}", 1, 1, 7, 0, "east", "1.1.1.1:1", "serving")
        harness.node.receive(f"entry/i{number}", heartbeat, harness.now_ms)
    effects = harness.node.tick("control.batch", harness.now_ms) + harness.flush()
    assert len(find_acks(harness.sent_messages(effects))) == 120
    assert len(harness.raft.entries) == previous_count + 3


def test_lease_of_the_leader_expires_after_that_of_the_holder(harness):
    """Guards against an expiry while the holder still uses its lease."""
    harness.send_heartbeat()
    harness.receive("x", build_request(BeginAction("w", "k", "f", "s", "i1", 1)))
    harness.advance(LEASE_MS)
    assert harness.machine.instances.current("i1")
    harness.advance(300)
    assert harness.machine.instances.current("i1") is None
    assert harness.machine.actions.rows[0].state == "unknown"
    assert find_acks(harness.send_heartbeat(2))
    assert harness.machine.instances.current("i1")


def test_heartbeat_during_a_proposed_expiry_is_not_acknowledged(harness):
    """Guards against renewing shares that the ledger will count as spent."""
    harness.send_heartbeat()
    harness.now_ms += 2 * LEASE_MS
    harness.node.tick("control.leader-tasks", harness.now_ms)
    late_heartbeat = Heartbeat("i1", 1, 2, 7, 0, "east", "127.0.0.1:80", "serving")
    effects = harness.node.receive("entry/i1", late_heartbeat, harness.now_ms)
    assert find_acks(harness.sent_messages(effects)) == []
    harness.flush()
    assert harness.machine.instances.current("i1") is None


def test_expiry_that_the_log_rejects_does_not_silence_the_leader(harness):
    """Guards against a process that is never acknowledged again in a term."""
    harness.send_heartbeat()
    harness.raft.rejects_proposals = True
    harness.advance(2 * LEASE_MS)
    harness.raft.rejects_proposals = False
    assert find_acks(harness.send_heartbeat(2))


def test_outdated_and_duplicate_heartbeats_do_not_renew_the_lease(harness):
    """Guards against a lease that is renewed by delayed duplicates."""
    harness.send_heartbeat(5)
    for _ in range(35):
        harness.advance(100)
        assert harness.send_heartbeat(5) == []
        assert harness.send_heartbeat(4) == []
    assert harness.machine.instances.current("i1") is None


def test_new_leader_restarts_leases_and_continues_group_time(harness):
    """Guards against the expiry of all processes and jumps of the group time."""
    harness.send_heartbeat()
    harness.advance(2_900)
    previous_ms = harness.machine.now_ms
    harness.now_ms += 7 * 24 * 3_600_000
    harness.change_leader()
    assert harness.machine.now_ms - previous_ms < 3_000
    harness.advance(2_900)
    assert harness.machine.instances.current("i1")
    harness.advance(400)
    assert harness.machine.instances.current("i1") is None


def test_change_is_pushed_at_commit_and_resent_if_lost(harness):
    """Guards against a subscriber that receives a change late or never."""
    harness.send_heartbeat()
    version = harness.machine.feed_version
    harness.send_heartbeat(2, feed_version=version)
    pushed_messages = [m for _, m in harness.receive("a", build_request(GRANT))]
    assert any(isinstance(m, FeedUpdate) for m in pushed_messages)
    harness.now_ms += 100
    assert all(
        not isinstance(m, FeedUpdate)
        for _, m in harness.send_heartbeat(3, feed_version=version)
    )
    harness.now_ms += 500
    resent_messages = [m for _, m in harness.send_heartbeat(4, feed_version=version)]
    assert any(isinstance(m, FeedUpdate) for m in resent_messages)
    initial_messages = [m for _, m in harness.send_heartbeat(1, instance="i2")]
    assert any(isinstance(m, FeedSnapshot) for m in initial_messages)


def test_repeated_configuration_is_answered_without_a_log_entry(harness):
    """Guards against a large entry for each repetition by an operator."""
    command = FileRouting(RoutingConfiguration(3), b"{}")
    harness.receive("a", ControlRequest("first", "a", 1, command))
    count = len(harness.raft.entries)
    again = harness.receive("a", ControlRequest("again", "a", 1, command))
    older = FileRouting(RoutingConfiguration(2), b"{}")
    late = harness.receive("a", ControlRequest("late", "a", 1, older))
    assert len(harness.raft.entries) == count
    assert [m.result.version for _, m in again + late] == [3, 3]


def test_requested_shares_are_granted_through_the_log(harness):
    """Guards against grants that are unknown to a new leader."""
    report = ShareReport("nobody", 0, 0, 0, 10, 0)
    previous_count = len(harness.raft.entries)
    harness.send_heartbeat(1, shares=[report])
    harness.send_heartbeat(2, shares=[report])
    assert len(harness.raft.entries) == previous_count + 2


def test_resends_share_an_entry_and_all_senders_receive_a_reply(harness):
    """Guards against two entries for one request id, and a resend without a reply."""
    harness.node.receive("a", build_request(GRANT), harness.now_ms)
    harness.node.receive("b", build_request(GRANT), harness.now_ms)
    replies = harness.sent_messages(harness.flush())
    assert [to for to, m in replies if isinstance(m, ControlReply)] == ["a", "b"]
    previous_count = len(harness.raft.entries)
    assert harness.receive("c", build_request(GRANT))[0][1] == replies[0][1]
    assert len(harness.raft.entries) == previous_count


def test_changes_of_operators_are_logged_without_the_digest(harness):
    """Guards against key changes that are not logged, and logged digests."""
    effects = (
        harness.node.receive("a", build_request(GRANT), harness.now_ms)
        + harness.flush()
    )
    notices = [e for e in effects if isinstance(e, EmitEvent)]
    assert [n.event.name for n in notices] == ["key_changed"]
    assert notices[0].fields["operator"] == "ann"
    assert DIGEST not in str(notices[0].fields)


def test_pending_requests_are_redirected_when_leadership_is_lost(harness):
    """Guards against requests that are pending until their timeout."""
    harness.node.receive("a", build_request(GRANT), harness.now_ms)
    harness.raft.is_leader, harness.raft.leader = False, "c2"
    effects = harness.node.tick("control.leader-tasks", harness.now_ms)
    assert harness.sent_messages(effects) == [("a", NotLeader("r1", "c2"))]


def test_rejected_proposals_and_full_tables_do_not_report_not_run(harness, monkeypatch):
    """Guards against the verdict "not run" if another member has the request."""
    harness.raft.rejects_proposals = True
    assert harness.receive("a", build_request(GRANT)) == [("a", NotLeader("r1", "c1"))]
    harness.raft.rejects_proposals = False
    monkeypatch.setattr(requests_module, "MAX_PENDING_REQUESTS", 0)
    reply = harness.receive("a", build_request(GRANT))[0][1]
    assert (reply.failure.code, reply.failure.verdict) == (
        "control_overloaded",
        "may-have-run",
    )


def test_replacement_is_confirmed_after_the_membership_change(harness):
    """Guards against a confirmation before the new member is a voter."""
    command = ReplaceMember("c1", "c2", "ann")
    assert harness.receive("a", build_request(command)) == []
    assert harness.advance(100) == [("a", ControlReply("r1", Done()))]
    repeated_messages = harness.receive("a", build_request(command, "r2"))
    assert repeated_messages == [("a", ControlReply("r2", Done()))]


def test_stopping_leader_redirects_requests(harness):
    """Guards against accepting requests during a planned stop."""
    harness.node.stop()
    assert harness.receive("a", build_request(GRANT)) == [("a", NotLeader("r1"))]


def test_undecodable_entry_stops_the_process(harness):
    """Guards against divergence of a member that skips an entry.

    An older release cannot decode the entries of a newer one.
    """
    with pytest.raises(NodeError):
        harness.node._advance(lambda now_ms: [Committed(99, 1, b"?")], now_ms=0)


def test_change_that_is_too_large_for_the_log_is_refused_at_once(harness):
    """Guards against a configuration that is neither acknowledged nor refused."""
    harness.raft.max_entry_bytes = 10
    [(sender, reply)] = harness.receive("a", build_request(GRANT))
    assert (sender, reply.failure.code, reply.failure.status) == ("a", "too_large", 413)
    assert reply.failure.verdict == Verdict.NOT_RUN.value
    harness.raft.max_entry_bytes = 1_000_000
    [(_, reply)] = harness.receive("a", build_request(GRANT))
    assert reply.failure is None
