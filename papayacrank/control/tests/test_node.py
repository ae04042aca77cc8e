"""Tests of the leader's duties with a log that commits at once."""

import msgspec
import pytest
from expression import Error, Ok

from papayacrank.config import ControlSettings
from papayacrank.consensus import Committed, Member, Notice
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
    GrantKey,
    Heartbeat,
    HeartbeatAck,
    NotLeader,
    ReadState,
    ReplaceMember,
    ShareReport,
)
from papayacrank.state import StateMachine, decode_entry

DIGEST = "ab" * 32
LEASE_MS = 3_000
DRIFT = 0.05
GRANT = GrantKey("key", "team-a", DIGEST, "ann")


class Log:
    """Log of one member; entries are committed by `flush` while it leads."""

    def __init__(self):
        self.is_leader = True
        self.lease = True
        self.term = 1
        self.leader = "c1"
        self.commit_index = 0
        self.members = (Member("c1", "x", "east", True), Member("c2", "y", "w", False))
        self.wants_snapshot = False
        self.refuses = False
        self.entries = []
        self._buffer = []

    def has_lease(self, now_ms):
        return self.is_leader and self.lease

    def start(self, now_ms):
        return []

    def propose(self, data, now_ms):
        if self.refuses or not self.is_leader:
            return Error(Failure("not_leader", Verdict.NOT_RUN, "no"))
        self._buffer.append(data)
        return Ok(len(self.entries) + len(self._buffer))

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


class Bench:
    """Control node with a log and a clock."""

    def __init__(self):
        settings = ControlSettings(
            instance="c1",
            failure_domain="east",
            link="127.0.0.1:1",
            data_folder="unused",
            initial_voters=["c1"],
        )
        self.log = Log()
        self.machine = StateMachine()
        self.now_ms = 50_000
        self.node = ControlNode(settings, self.log, self.machine, lambda: 0)
        self.node.start(self.now_ms)
        self.flush()

    def flush(self):
        return self.node.flush(self.now_ms)

    def messages(self, effects):
        return [(e.to, e.message) for e in effects if isinstance(e, Send)]

    def receive(self, sender, message):
        """Handle a message and everything that follows at once."""
        effects = self.node.receive(sender, message, self.now_ms) + self.flush()
        effects += self.node.tick("control.batch", self.now_ms) + self.flush()
        return self.messages(effects)

    def advance(self, ms):
        """Let time pass, with the leader's duties every 100 ms."""
        messages = []
        for _ in range(0, ms, 100):
            self.now_ms += 100
            effects = self.node.tick("control.leader-tasks", self.now_ms) + self.flush()
            messages += self.messages(effects)
        return messages

    def beat(self, sequence=1, boot=1, instance="i1", **fields):
        heartbeat = Heartbeat(
            instance, boot, sequence, 7, 0, "east", "127.0.0.1:80", "serving"
        )
        heartbeat = msgspec.structs.replace(heartbeat, **fields)
        return self.receive(f"entry/{instance}", heartbeat)

    def change_leader(self):
        self.log.is_leader = False
        self.node.tick("control.leader-tasks", self.now_ms)
        self.log.is_leader, self.log.term = True, self.log.term + 1
        self.node.tick("control.leader-tasks", self.now_ms)
        self.flush()


@pytest.fixture
def bench():
    """Leader with a lease."""
    return Bench()


def acks(messages):
    return [m for _, m in messages if isinstance(m, HeartbeatAck)]


def request(command, request_id="r1"):
    return ControlRequest(request_id, "admin", 1, command)


def test_only_a_leader_with_a_lease_answers(bench):
    """Guards against contact and reads through a leader that was replaced."""
    assert acks(bench.beat())
    bench.log.lease = False
    assert bench.beat(2) == [("entry/i1", NotLeader("", ""))]
    assert bench.receive("a", request(ReadState("keys"))) == [("a", NotLeader("r1"))]
    assert bench.receive("a", request(GRANT)) == [("a", NotLeader("r1"))]
    assert bench.machine.keys.live == []


def test_unchanged_heartbeats_add_no_entries_but_are_acknowledged(bench):
    """Guards against a log that grows while nothing changes."""
    bench.beat()
    entries = len(bench.log.entries)
    for sequence in range(2, 6):
        assert acks(bench.beat(sequence))[0].sequence == sequence
    assert len(bench.log.entries) == entries


def test_many_heartbeats_share_an_entry(bench):
    """Guards against a log entry for every heartbeat of a large fleet."""
    before = len(bench.log.entries)
    for number in range(120):
        heartbeat = Heartbeat(f"i{number}", 1, 1, 7, 0, "east", "1.1.1.1:1", "serving")
        bench.node.receive(f"entry/i{number}", heartbeat, bench.now_ms)
    effects = bench.node.tick("control.batch", bench.now_ms) + bench.flush()
    assert len(acks(bench.messages(effects))) == 120
    assert len(bench.log.entries) == before + 3


def test_lease_outlasts_the_holder_and_then_expires(bench):
    """Guards against an expiry while the holder still counts on its lease."""
    bench.beat()
    bench.receive("x", request(BeginAction("w", "k", "f", "s", "i1", 1)))
    bench.advance(LEASE_MS)
    assert bench.machine.instances.current("i1")
    bench.advance(300)
    assert bench.machine.instances.current("i1") is None
    assert bench.machine.actions.rows[0].state == "unknown"
    assert acks(bench.beat(2))
    assert bench.machine.instances.current("i1")


def test_heartbeat_during_a_proposed_expiry_is_not_acknowledged(bench):
    """Guards against a holder whose share the ledger is about to count as spent."""
    bench.beat()
    bench.now_ms += 2 * LEASE_MS
    bench.node.tick("control.leader-tasks", bench.now_ms)
    late = Heartbeat("i1", 1, 2, 7, 0, "east", "127.0.0.1:80", "serving")
    effects = bench.node.receive("entry/i1", late, bench.now_ms)
    assert acks(bench.messages(effects)) == []
    bench.flush()
    assert bench.machine.instances.current("i1") is None


def test_old_and_doubled_heartbeats_do_not_extend_the_lease(bench):
    """Guards against a lease that delayed copies keep alive."""
    bench.beat(5)
    for _ in range(35):
        bench.advance(100)
        assert bench.beat(5) == []
        assert bench.beat(4) == []
    assert bench.machine.instances.current("i1") is None


def test_new_leader_counts_leases_from_its_election_and_time_goes_on(bench):
    """Guards against expiry of all processes, and against group time that jumps."""
    bench.beat()
    bench.advance(2_900)
    before = bench.machine.now_ms
    bench.now_ms += 7 * 24 * 3_600_000
    bench.change_leader()
    assert bench.machine.now_ms - before < 3_000
    bench.advance(2_900)
    assert bench.machine.instances.current("i1")
    bench.advance(400)
    assert bench.machine.instances.current("i1") is None


def test_change_is_pushed_at_commit_and_again_if_the_push_was_lost(bench):
    """Guards against a subscriber that waits for its next heartbeat, or for ever."""
    bench.beat()
    version = bench.machine.feed_version
    bench.beat(2, feed_version=version)
    pushed = [m for _, m in bench.receive("a", request(GRANT))]
    assert any(isinstance(m, FeedUpdate) for m in pushed)
    bench.now_ms += 100
    assert all(
        not isinstance(m, FeedUpdate) for _, m in bench.beat(3, feed_version=version)
    )
    bench.now_ms += 500
    again = [m for _, m in bench.beat(4, feed_version=version)]
    assert any(isinstance(m, FeedUpdate) for m in again)
    first = [m for _, m in bench.beat(1, instance="i2")]
    assert any(isinstance(m, FeedSnapshot) for m in first)


def test_wanted_shares_are_granted_through_the_log(bench):
    """Guards against grants that a new leader does not know."""
    report = ShareReport("nobody", 0, 0, 0, 10, 0)
    before = len(bench.log.entries)
    bench.beat(1, shares=[report])
    bench.beat(2, shares=[report])
    assert len(bench.log.entries) == before + 2


def test_resends_wait_for_the_same_entry_and_all_senders_are_answered(bench):
    """Guards against two entries for one request id, and an unanswered resend."""
    bench.node.receive("a", request(GRANT), bench.now_ms)
    bench.node.receive("b", request(GRANT), bench.now_ms)
    replies = bench.messages(bench.flush())
    assert [to for to, m in replies if isinstance(m, ControlReply)] == ["a", "b"]
    before = len(bench.log.entries)
    assert bench.receive("c", request(GRANT))[0][1] == replies[0][1]
    assert len(bench.log.entries) == before


def test_changes_of_operators_are_logged_without_the_digest(bench):
    """Guards against a change of keys that leaves no trace, or traces its digest."""
    effects = bench.node.receive("a", request(GRANT), bench.now_ms) + bench.flush()
    notices = [e for e in effects if isinstance(e, Notice)]
    assert [n.event.name for n in notices] == ["key_changed"]
    assert notices[0].fields["operator"] == "ann"
    assert DIGEST not in str(notices[0].fields)


def test_waiting_requests_are_redirected_when_leadership_is_lost(bench):
    """Guards against a request that waits for its timeout after an election."""
    bench.node.receive("a", request(GRANT), bench.now_ms)
    bench.log.is_leader, bench.log.leader = False, "c2"
    effects = bench.node.tick("control.leader-tasks", bench.now_ms)
    assert bench.messages(effects) == [("a", NotLeader("r1", "c2"))]


def test_refused_proposals_and_full_tables_do_not_claim_not_run(bench, monkeypatch):
    """Guards against "not run" for a request of which another member has a copy."""
    bench.log.refuses = True
    assert bench.receive("a", request(GRANT)) == [("a", NotLeader("r1", "c1"))]
    bench.log.refuses = False
    monkeypatch.setattr(requests_module, "MAX_PENDING_REQUESTS", 0)
    reply = bench.receive("a", request(GRANT))[0][1]
    assert (reply.failure.code, reply.failure.verdict) == (
        "control_overloaded",
        "may-have-run",
    )


def test_replacement_is_answered_once_the_membership_shows_it(bench):
    """Guards against "done" before the new voter counts."""
    command = ReplaceMember("c1", "c2", "ann")
    assert bench.receive("a", request(command)) == []
    assert bench.advance(100) == [("a", ControlReply("r1", Done()))]
    again = bench.receive("a", request(command, "r2"))
    assert again == [("a", ControlReply("r2", Done()))]


def test_stopping_leader_sends_requests_away(bench):
    """Guards against work that is accepted during a planned stop."""
    bench.node.stop()
    assert bench.receive("a", request(GRANT)) == [("a", NotLeader("r1"))]


def test_entry_that_cannot_be_read_stops_the_process(bench):
    """Guards against a member of an older release that skips an entry and diverges."""
    with pytest.raises(NodeError):
        bench.node._advance(lambda now_ms: [Committed(99, 1, b"?")], now_ms=0)
