"""Tests of the routing configuration and of named weights in the replicated state."""

import json

import pytest

from papayacrank.messages import (
    ControlRequest,
    FeedSnapshot,
    FileRouting,
    Heartbeat,
    NameWeights,
    RoutingConfiguration,
    ShareReport,
    WorkspaceProfile,
)
from papayacrank.state import (
    CommandEntry,
    HeartbeatEntry,
    StateMachine,
    encode_entry,
)


class Machine:
    """State machine that is given commands."""

    def __init__(self):
        self.state = StateMachine()
        self.index = 0

    def run(self, command):
        """Apply a command under a new request id."""
        self.index += 1
        request = ControlRequest(f"q{self.index}", "op", 1, command)
        entry = CommandEntry(self.index, 0, request)
        return self.state.apply(self.index, encode_entry(entry))

    def file(self, version, source=None, **fields):
        """File a configuration."""
        configuration = RoutingConfiguration(version, **fields)
        return self.run(FileRouting(configuration, source or f"v{version}".encode()))


def test_highest_version_is_in_force_whatever_the_order():
    """Guards against a configuration that goes back."""
    machine = Machine()
    assert machine.file(3).result.version == 3
    assert machine.file(7).result.version == 7
    assert machine.file(5).result.version == 7
    view = json.loads(machine.state.read("routing").document)
    assert view == {"version": 7, "source": "v7"}


def test_other_content_under_the_same_version_changes_nothing():
    """Guards against content that is replaced under a version that was answered."""
    machine = Machine()
    machine.file(3, b"first")
    feed_version = machine.state.feed_version
    assert machine.file(3, b"second").failure is None
    assert machine.state.routing.source == b"first"
    assert machine.state.feed_version == feed_version


def test_weights_only_grow():
    """Guards against engines that are ordered back to older weights."""
    machine = Machine()
    for version in (2, 5, 3):
        assert machine.run(NameWeights("m", version)).failure is None
    assert machine.state.weights.versions == {"m": 5}


def test_snapshot_keeps_routing_and_weights():
    """Guards against state that is lost when the log is compacted."""
    machine = Machine()
    machine.file(4, b"kept")
    machine.run(NameWeights("m", 2))
    restored = StateMachine()
    restored.restore(machine.state.snapshot())
    assert restored.routing.source == b"kept"
    assert restored.weights.versions == {"m": 2}
    feed = restored.feed_since(0)
    assert isinstance(feed, FeedSnapshot)
    assert feed.routing.configuration.version == 4
    assert feed.weights.versions == {"m": 2}


def test_rates_of_workspaces_reach_the_ledger():
    """Guards against rates that are not in force, and limits where none is set."""
    machine = Machine()
    limited = WorkspaceProfile("w", (), rate_per_s=100, burst=50)
    machine.file(1, workspaces=(limited, WorkspaceProfile("free", ())))
    budgets = json.loads(machine.state.read("budgets").document)
    assert [(b["workspace"], b["burst_tokens"]) for b in budgets] == [("w", 50)]


@pytest.mark.parametrize("since", [1, 2])
def test_feed_passes_routing_and_weights_on(since):
    """Guards against entry processes that miss a change."""
    machine = Machine()
    for version in (1, 2, 3):
        machine.file(version)
    machine.run(NameWeights("m", 2))
    update = machine.state.feed_since(since)
    kinds = [type(change).__name__ for change in update.changes]
    assert sorted(kinds) == ["RoutingChange", "WeightsChange"]


def test_new_process_takes_the_place_of_the_one_at_its_address():
    """Guards against budgets that stay with a process which has ended.

    After a loss of power, all shares were locked for the time of a lease, and requests
    within their rate were refused.
    """
    machine = Machine()
    machine.file(1, workspaces=(WorkspaceProfile("w", (), rate_per_s=10, burst=50),))

    def beat(instance, boot, granted=0, held=0):
        share = ShareReport("w", held, 0, 0, 50, granted, 50)
        heartbeat = Heartbeat(
            instance, boot, 1, 0, 0, "east", "a:80", "serving", [share]
        )
        machine.index += 1
        entry = HeartbeatEntry(machine.index, 0, [heartbeat])
        machine.state.apply(machine.index, encode_entry(entry))
        return machine.state.grants(instance, boot)

    assert beat("i@1", 1)[0].granted_tokens == 50
    beat("i@2", 2)
    names = [row.instance for row in machine.state.instances.rows]
    assert names == ["i@2"]
    budget = json.loads(machine.state.read("budgets").document)[0]
    assert "i@1/1" not in budget["shares"]
