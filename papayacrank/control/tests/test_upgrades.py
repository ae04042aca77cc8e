"""Tests of commands that members of an older build do not read."""

import pytest

from papayacrank.messages import (
    ROLLED_BACK,
    ChangeReleases,
    ConcludeRollout,
    ControlRequest,
    Done,
    StartRollout,
)
from papayacrank.state import StateMachine, find_format

from .test_node import FakeRaft, NodeHarness

ORDER = StartRollout("llm", "v2", 30_000)


class MixedRaft(FakeRaft):
    """Log of a group in which some members may read format 0 only."""

    def __init__(self):
        super().__init__()
        self.old_members = []
        self.required_format = 0

    def list_not_reading(self, entry_format, now_ms):
        return list(self.old_members)

    def require_format(self, entry_format):
        self.required_format = entry_format


@pytest.fixture
def harness(monkeypatch):
    """Return a leader whose state has a service, with a member of an older build."""
    monkeypatch.setattr("papayacrank.control.tests.test_node.FakeRaft", MixedRaft)
    harness = NodeHarness()
    send(harness, "r0", ChangeReleases("llm", added=["v1"]))
    harness.raft.old_members = ["c2"]
    return harness


def send(harness, request_id, command):
    """Return the reply to a command."""
    request = ControlRequest(request_id, "admin", 1, command)
    [(_, reply)] = harness.receive("admin", request)
    return reply


def test_new_command_waits_for_members_of_an_older_build(harness):
    """Guards against an entry that stops a member, and against a final refusal."""
    count = len(harness.raft.entries)
    failure = send(harness, "r1", ORDER).failure
    assert (failure.code, failure.status) == ("format_not_read", 503)
    assert (failure.verdict, "c2" in failure.message) == ("may-have-run", True)
    assert failure.retry_after_ms > 0
    assert len(harness.raft.entries) == count
    assert send(harness, "r2", ChangeReleases("llm", added=["v3"])).result == Done()
    harness.raft.old_members = []
    assert send(harness, "r1", ORDER).result == Done()
    assert harness.raft.required_format == 1
    assert len(harness.machine.rollouts.running) == 1


def test_statements_are_recorded_in_an_entry_of_an_old_type(harness):
    """Guards against a new leader that does not know the format of a lost member."""
    count = len(harness.raft.entries)
    harness.raft.stated_formats = {"x": 1}
    harness.advance(1_000)
    assert len(harness.raft.entries) == count + 1
    assert find_format(harness.raft.entries[-1]) == 0
    harness.raft.stated_formats = {"x": 1, "y": 0}
    harness.advance(1_000)
    restored = StateMachine()
    restored.restore(harness.machine.snapshot())
    assert restored.member_formats == {"x": 1, "y": 0}
    harness.raft.stated_formats = {}
    harness.change_leader()
    assert harness.raft.stated_formats == {"x": 1, "y": 0}


def test_repeats_and_refusals_stay_out_of_the_log(harness):
    """Guards against a refused order that makes a fall back impossible."""
    count = len(harness.raft.entries)
    unknown = StartRollout("other", "v2", 1)
    assert send(harness, "r1", unknown).failure.status == 404
    assert (len(harness.raft.entries), harness.machine.used_format) == (count, 0)
    harness.raft.old_members = []
    send(harness, "r2", ORDER)
    assert send(harness, "r3", ORDER).result == Done()
    assert send(harness, "r4", StartRollout("llm", "v3", 1)).failure.status == 409
    assert len(harness.raft.entries) == count + 1


def test_used_format_needs_no_further_statement(harness):
    """Guards against a verdict that waits for a member that cannot start."""
    harness.raft.old_members = []
    send(harness, "r1", ORDER)
    harness.raft.old_members = ["c2"]
    harness.raft.required_format = 0
    harness.change_leader()
    assert harness.raft.required_format == 1
    assert send(harness, "r2", ConcludeRollout(1, ROLLED_BACK)).result == Done()
    assert harness.machine.rollouts.running == []
