"""Tests of the distribution of request rate limits by the leader."""

from papayacrank.control._permit_service import PermitService
from papayacrank.control._push_log import RESEND_DELAY_MS
from papayacrank.messages import (
    NotLeader,
    PermitReply,
    PermitRequest,
    RateObservation,
    RateReport,
    TargetRates,
)
from papayacrank.permits import PermitAllocator

from .test_node import NodeHarness, find_acks

OBSERVATION = RateObservation("t", 0, 2.0, is_fresh=True)
REPORT = RateReport("i1", [OBSERVATION])
REQUEST = PermitRequest("i1", 1, 7, 300, OBSERVATION)


def of_type(messages, kind):
    """Return receiver and message of the messages of a type."""
    return [(to, m) for to, m in messages if isinstance(m, kind)]


def test_limit_is_sent_to_all_entry_processes_at_once():
    """Guards against a limit that only the instance that read it obeys."""
    harness = NodeHarness()
    for name in ("i1", "i2", "i3"):
        harness.send_heartbeat(instance=name)
    pushed = of_type(harness.receive("entry/i1", REPORT), TargetRates)
    assert {to for to, _ in pushed} == {"entry/i1", "entry/i2", "entry/i3"}
    assert pushed[0][1].rates[0].per_s == 2.0


def test_started_process_gets_the_limits_before_its_first_acknowledgement():
    """Guards against a restarted instance that sends without permits."""
    harness = NodeHarness()
    harness.receive("entry/i1", REPORT)
    messages = harness.send_heartbeat(instance="i2")
    kinds = [type(m) for _, m in messages]
    assert kinds.index(TargetRates) < kinds.index(type(find_acks(messages)[0]))


def test_leader_without_a_lease_grants_no_permits():
    """Guards against permits of two leaders at the same time."""
    harness = NodeHarness()
    assert of_type(harness.receive("entry/i1", REQUEST), PermitReply)
    harness.raft.holds_lease = False
    assert of_type(harness.receive("entry/i1", REQUEST), PermitReply) == []


def test_former_leader_names_the_new_one():
    """Guards against permit requests that wait for a leader that has handed over."""
    harness = NodeHarness()
    harness.raft.is_leader, harness.raft.leader = False, "c2"
    messages = harness.receive("entry/i1", REQUEST)
    assert messages == [("entry/i1", NotLeader("", "c2"))]


def test_new_leader_starts_without_the_limits_of_the_last_one():
    """Guards against permits of a former term that are granted again."""
    harness = NodeHarness()
    harness.receive("entry/i1", REPORT)
    harness.change_leader()
    messages = harness.receive("entry/i1", REQUEST)
    _, reply = of_type(messages, PermitReply)[0]
    assert reply.term == 2
    assert not reply.granted


def test_lost_change_is_sent_again():
    """Guards against an instance that never learns a limit."""
    allocator = PermitAllocator()
    service = PermitService(allocator)
    service.reset(1)
    service.receive("entry/i1", REPORT, 0)
    service.push(lambda: ["entry/i1"], 0)
    assert service.resend("entry/i1", 1, 0, RESEND_DELAY_MS - 1) == []
    resent = service.resend("entry/i1", 1, 0, RESEND_DELAY_MS)
    assert resent[0].message == allocator.table()
    assert service.resend("entry/i1", 1, 1, RESEND_DELAY_MS) == []
    assert service.resend("entry/i2", 0, 0, 0)
