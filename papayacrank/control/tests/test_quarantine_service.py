"""Tests of the distribution of suspected and quarantined parts by the leader."""

from papayacrank.control._push_log import RESEND_DELAY_MS
from papayacrank.control._quarantine_service import QuarantineService
from papayacrank.messages import (
    CrashReport,
    NotLeader,
    PartsCleared,
    QuarantineKnowledge,
    QuarantineTable,
    SuspectRequest,
    TrialEnded,
    TrialReply,
    TrialRequest,
)
from papayacrank.quarantine import QuarantineRegistry

from .test_node import NodeHarness, find_acks
from .test_permit_service import of_type

INSTANCES = ("i1", "i2", "i3")
# A new leader grants no trials while it learns what entry processes know, and decides
# on a crash once the reports of all instances have arrived.
LEARNING_MS = 1_100
DECISION_MS = 1_000
# Crashes at the same time may have a common cause.
DISTINCT_MS = 600


def build_report(target="e1", instance="i1", parts=("a",)):
    """Return a report of a crash with one suspect."""
    suspects = [SuspectRequest("w1", list(parts))]
    return CrashReport(instance, target, 1, 0, suspects)


def build_request(number=1, instance="i1", parts=("a",)):
    """Return a trial request."""
    return TrialRequest(instance, number, 7, "w1", list(parts))


def put_on_trial(harness):
    """Report two crashes, so that requests with the part need a trial."""
    harness.advance(LEARNING_MS)
    harness.receive("entry/i1", build_report("e1"))
    harness.advance(DISTINCT_MS)
    harness.receive("entry/i2", build_report("e2", "i2"))
    harness.advance(DISTINCT_MS)


def test_suspicion_is_sent_to_all_entry_processes_at_once():
    """Guards against a suspected part that only one instance knows."""
    harness = NodeHarness()
    for name in INSTANCES:
        harness.send_heartbeat(instance=name)
    messages = harness.receive("entry/i1", build_report())
    pushed = of_type(messages, QuarantineTable)
    assert {to for to, _ in pushed} == {f"entry/{name}" for name in INSTANCES}
    assert pushed[0][1].suspicions[0].name == "a"


def test_report_that_arrives_without_the_lease_is_kept():
    """Guards against a crash that no instance learns of after a pause of the leader."""
    harness = NodeHarness()
    harness.send_heartbeat(instance="i1")
    harness.raft.holds_lease = False
    refusals = harness.receive("entry/i1", build_report())
    assert [type(message) for _, message in refusals] == [NotLeader]
    harness.raft.holds_lease = True
    pushed = of_type(harness.advance(100), QuarantineTable)
    assert pushed[0][1].suspicions[0].name == "a"


def test_cleared_part_is_sent_to_all_entry_processes():
    """Guards against instances that keep sound parts on trial."""
    harness = NodeHarness()
    harness.send_heartbeat(instance="i1")
    harness.send_heartbeat(instance="i2")
    harness.receive("entry/i1", build_report())
    harness.now_ms += 100
    messages = harness.receive("entry/i2", PartsCleared("i2", ["a"]))
    messages += harness.advance(100)
    changes = [m for _, m in of_type(messages, QuarantineTable)]
    assert any(s.name == "a" and s.crashes == 0 for c in changes for s in c.suspicions)


def test_started_process_gets_the_table_before_its_first_acknowledgement():
    """Guards against a restarted instance that sends quarantined requests."""
    harness = NodeHarness()
    harness.receive("entry/i1", build_report())
    messages = harness.send_heartbeat(instance="i2")
    kinds = [type(m) for _, m in messages]
    assert kinds.index(QuarantineTable) < kinds.index(type(find_acks(messages)[0]))


def test_process_that_has_the_table_gets_it_once():
    """Guards against tables that are sent with each heartbeat."""
    harness = NodeHarness()
    harness.receive("entry/i1", build_report())
    (_, table) = of_type(harness.send_heartbeat(instance="i2"), QuarantineTable)[0]
    position = {
        "quarantine_term": table.term,
        "quarantine_revision": table.revision,
    }
    messages = harness.send_heartbeat(2, instance="i2", **position)
    assert of_type(messages, QuarantineTable) == []


def test_one_trial_is_granted_at_a_time_in_the_fleet():
    """Guards against requests on trial at several instances at the same time."""
    harness = NodeHarness()
    put_on_trial(harness)
    first = of_type(harness.receive("entry/i1", build_request()), TrialReply)
    second = of_type(harness.receive("entry/i2", build_request(1, "i2")), TrialReply)
    assert (first[0][1].granted, second[0][1].granted) == (True, False)
    harness.receive("entry/i1", TrialEnded("i1", 1))
    third = of_type(harness.receive("entry/i2", build_request(2, "i2")), TrialReply)
    assert third[0][1].granted


def test_failed_trial_puts_its_parts_into_quarantine():
    """Guards against a deadly part that is tried again and again."""
    harness = NodeHarness()
    harness.send_heartbeat(instance="i2")
    put_on_trial(harness)
    harness.receive("entry/i1", build_request())
    harness.now_ms += 50
    report = CrashReport("i1", "e3", 1, 0, [SuspectRequest("w1", ["a"], 1)])
    messages = harness.receive("entry/i1", report) + harness.advance(DECISION_MS)
    changes = [m for _, m in of_type(messages, QuarantineTable)]
    assert [v.parts for c in changes for v in c.verdicts] == [["a"]]


def test_leader_without_a_lease_grants_no_trials():
    """Guards against trials of two leaders at the same time."""
    harness = NodeHarness()
    put_on_trial(harness)
    harness.raft.holds_lease = False
    messages = harness.receive("entry/i1", build_request())
    assert of_type(messages, TrialReply) == []


def test_former_leader_names_the_new_one():
    """Guards against evidence that is lost after a hand-over."""
    harness = NodeHarness()
    harness.raft.is_leader, harness.raft.leader = False, "c2"
    messages = harness.receive("entry/i1", build_report())
    assert messages == [("entry/i1", NotLeader("", "c2"))]


def test_new_leader_learns_what_entry_processes_know():
    """Guards against verdicts that end with an election."""
    harness = NodeHarness()
    put_on_trial(harness)
    (_, table) = of_type(harness.send_heartbeat(instance="i2"), QuarantineTable)[0]
    harness.change_leader()
    harness.send_heartbeat(2, instance="i3")
    knowledge = QuarantineKnowledge(
        "i2", table.term, table.revision, table.suspicions, table.verdicts
    )
    messages = harness.receive("entry/i2", knowledge)
    changes = [m for _, m in of_type(messages, QuarantineTable)]
    assert [s.name for c in changes for s in c.suspicions] == ["a"]
    assert {c.term for c in changes} == {2}


def test_lost_change_is_sent_again():
    """Guards against an instance that never learns a verdict."""
    registry = QuarantineRegistry()
    service = QuarantineService(registry)
    service.reset(1)
    service.receive("entry/i1", build_report(), 0)
    service.push(lambda: ["entry/i1"], 0)
    term, revision = registry.position
    assert service.resend("entry/i1", 1, 0, RESEND_DELAY_MS - 1) == []
    resent = service.resend("entry/i1", 1, 0, RESEND_DELAY_MS)
    assert resent[0].message == registry.table(RESEND_DELAY_MS)
    assert service.resend("entry/i1", term, revision, RESEND_DELAY_MS) == []
