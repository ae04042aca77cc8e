"""Tests of the replicated rollouts."""

import json

import pytest

from papayacrank.messages import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    ChangeReleases,
    ConcludeRollout,
    ControlRequest,
    Done,
    FailureRecord,
    FileRouting,
    RoutingConfiguration,
    ServiceProfile,
    StartRollout,
)
from papayacrank.state import CommandEntry, StateMachine, check_command, encode_entry
from papayacrank.state import _rollouts as rollouts_module
from papayacrank.state._rollouts import (
    MAX_ROLLOUTS_PER_SERVICE,
    MIN_REPEAT_MS,
    RolloutTable,
)

DURATION_MS = 30_000
ORDER = StartRollout("llm", "v2", DURATION_MS)
SERVICES = {"llm", "app"}


class Group:
    """State machine that applies commands at a time set by the test."""

    def __init__(self):
        self.machine = StateMachine()
        self.now_ms = 1_000
        services = (ServiceProfile("llm"), ServiceProfile("app"))
        self.run(FileRouting(RoutingConfiguration(1, (), services), b""))
        self.run(ChangeReleases("llm", added=["v1"]))

    def run(self, command):
        """Apply a command and return its result or failure."""
        index = self.machine.applied_index + 1
        request = ControlRequest(f"r{index}", "x", 1, command)
        data = encode_entry(CommandEntry(self.now_ms, 0, request))
        reply = self.machine.apply(index, data)
        return reply.failure or reply.result

    def conclude(self, state, service="llm"):
        """End the running rollout of a service."""
        number = self.machine.rollouts.find(service).number
        assert self.run(ConcludeRollout(number, state, "why")) == Done()


@pytest.fixture
def group():
    """Return a group with two services, one with a release."""
    return Group()


def test_repeats_of_an_accepted_order_are_acknowledged(group):
    """Guards against refusing an accepted order, or starting it a second time."""
    assert group.run(ORDER) == group.run(ORDER) == Done()
    [rollout] = group.machine.rollouts.running
    assert (rollout.number, rollout.release, rollout.state) == (1, "v2", RUNNING)
    assert (rollout.bases, rollout.started_ms) == (["v1"], 1_000)
    group.conclude(ROLLED_BACK)
    group.now_ms += DURATION_MS
    assert group.run(ORDER) == Done()
    assert group.run(StartRollout("llm", "v3", 5_000)) == Done()
    assert group.run(ORDER) == Done()
    assert [r.release for r in group.machine.rollouts.running] == ["v3"]


def test_order_after_its_duration_is_a_new_rollout(group):
    """Guards against a release that can never be tried again after a roll-back."""
    short = StartRollout("llm", "v2", 1_000)
    group.run(short)
    group.now_ms += 10 * MIN_REPEAT_MS
    assert group.run(short) == Done()
    assert group.machine.rollouts.find("llm").number == 1
    group.conclude(ROLLED_BACK)
    assert group.run(short) == Done()
    rollout = group.machine.rollouts.find("llm")
    assert (rollout.number, rollout.state) == (2, RUNNING)


def test_racing_orders_of_a_service_are_refused(group):
    """Guards against two rollouts that move the same traffic."""
    group.run(ORDER)
    for other in (StartRollout("llm", "v3", DURATION_MS), StartRollout("llm", "v2", 1)):
        refused = group.run(other)
        assert (refused.code, refused.status) == ("rollout_running", 409)
    assert group.run(StartRollout("app", "v3", DURATION_MS)) == Done()
    assert [r.service for r in group.machine.rollouts.running] == ["llm", "app"]
    assert group.run(StartRollout("no", "v2", 1)).status == 404


def test_verdict_is_final(group):
    """Guards against a completed rollout that is rolled back, and the reverse."""
    group.run(ORDER)
    assert group.run(ConcludeRollout(7, COMPLETED)).status == 404
    group.conclude(COMPLETED)
    group.conclude(COMPLETED)
    assert group.run(ConcludeRollout(1, ROLLED_BACK)).status == 409
    rollout = group.machine.rollouts.find("llm")
    assert (rollout.state, rollout.reason) == (COMPLETED, "why")
    assert group.machine.rollouts.running == []


def test_bases_are_the_releases_in_service(group):
    """Guards against traffic for a release that was rolled back or replaced."""
    group.run(ChangeReleases("llm", added=["v2"]))
    group.run(ORDER)
    group.conclude(ROLLED_BACK)
    group.run(StartRollout("llm", "v3", 1))
    assert group.machine.rollouts.find("llm").bases == ["v1"]
    group.run(ChangeReleases("llm", added=["v3"]))
    group.conclude(COMPLETED)
    group.run(StartRollout("llm", "v4", 1))
    assert group.machine.rollouts.find("llm").bases == ["v3"]
    group.run(StartRollout("app", "v2", 1))
    assert group.machine.rollouts.find("app").bases == []


def test_snapshot_keeps_rollouts(group):
    """Guards against acknowledged rollouts that are lost with the log."""
    group.run(ORDER)
    group.conclude(ROLLED_BACK)
    group.run(StartRollout("app", "v2", DURATION_MS))
    restored = StateMachine()
    restored.restore(group.machine.snapshot())
    assert restored.rollouts.list() == group.machine.rollouts.list()
    view = json.loads(restored.read("rollouts").document)
    assert [(r["service"], r["state"]) for r in view] == [
        ("llm", ROLLED_BACK),
        ("app", RUNNING),
    ]
    group.machine = restored
    assert group.run(StartRollout("llm", "v3", 1)) == Done()
    assert restored.rollouts.find("llm").number == 3


def test_table_is_bounded(monkeypatch):
    """Guards against a snapshot that grows with each rollout."""
    monkeypatch.setattr(rollouts_module, "MAX_SERVICES", 2)
    table = RolloutTable()
    for number in range(2 * MAX_ROLLOUTS_PER_SERVICE):
        order = StartRollout("llm", f"v{number}", 1)
        assert table.start(order, [], SERVICES, number) == Done()
        table.conclude(ConcludeRollout(number + 1, COMPLETED))
    assert len(table) == MAX_ROLLOUTS_PER_SERVICE
    for service in ("app", "search"):
        assert table.start(StartRollout(service, "v1", 1), ["v0"], (), 0) == Done()
    assert [r.service for r in table.list()] == ["app", "search"]
    assert table.start(ORDER, ["v0"], (), 0).status == 503


@pytest.mark.parametrize(
    "command",
    [
        StartRollout("", "v2", 1),
        StartRollout("llm", "", 1),
        StartRollout("llm", "v" * 257, 1),
        StartRollout("llm", "v2", 0),
        StartRollout("llm", "v2", 10**9),
        ConcludeRollout(1, RUNNING),
    ],
)
def test_invalid_command_is_refused(command):
    """Guards against orders in the log that no leader can carry out."""
    refused = check_command(command)
    assert isinstance(refused, FailureRecord)
    assert refused.status == 400
