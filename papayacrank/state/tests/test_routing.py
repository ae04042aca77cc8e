"""Tests of the replicated routing configuration and weight versions."""

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
from papayacrank.state._shared_cache import MAX_REMOVED, SharedCacheEpochs


class MachineHarness:
    """State machine with a log index."""

    def __init__(self):
        self.state = StateMachine()
        self.index = 0

    def run(self, command):
        """Apply a command under a new request id and return the reply."""
        self.index += 1
        request = ControlRequest(f"q{self.index}", "op", 1, command)
        entry = CommandEntry(self.index, 0, request)
        return self.state.apply(self.index, encode_entry(entry))

    def replace_routing(self, version, source=None, **fields):
        """Apply a routing configuration."""
        configuration = RoutingConfiguration(version, **fields)
        return self.run(FileRouting(configuration, source or f"v{version}".encode()))


def test_highest_version_is_active_in_any_order():
    """Guards against returning to an older configuration."""
    harness = MachineHarness()
    assert harness.replace_routing(3).result.version == 3
    assert harness.replace_routing(7).result.version == 7
    assert harness.replace_routing(5).result.version == 7
    view = json.loads(harness.state.read("routing").document)
    assert view == {"version": 7, "source": "v7"}


def test_other_content_under_the_same_version_is_ignored():
    """Guards against replacing the content of a version that was acknowledged."""
    harness = MachineHarness()
    harness.replace_routing(3, b"first")
    feed_version = harness.state.feed_version
    assert harness.replace_routing(3, b"second").failure is None
    assert harness.state.routing.source == b"first"
    assert harness.state.feed_version == feed_version


def isolate(harness, version, **workspaces):
    """Apply a configuration whose workspaces are isolated or not; return the epoch."""
    profiles = [
        WorkspaceProfile(n, (), isolated=value) for n, value in workspaces.items()
    ]
    harness.replace_routing(version, workspaces=tuple(profiles))
    return harness.state.routing.configuration.cache_epoch


def test_cache_epoch_begins_when_a_workspace_becomes_isolated():
    """Guards against parts that a workspace made for all before it was isolated."""
    harness = MachineHarness()
    assert isolate(harness, 1, a=False, b=True) == 0
    assert isolate(harness, 2, a=False, b=True, c=False) == 0
    assert isolate(harness, 3, a=True, b=True, c=False) == 3
    assert isolate(harness, 4, a=True, b=True, c=False, d=True) == 3
    assert isolate(harness, 5, a=False, b=True, c=False) == 3
    assert isolate(harness, 6, a=True, b=True, c=False) == 6


def test_cache_epoch_begins_when_a_removed_workspace_returns_as_isolated():
    """Guards against parts of a workspace that was removed in between."""
    harness = MachineHarness()
    isolate(harness, 1, a=False, b=False)
    assert isolate(harness, 2, b=False) == 0
    assert isolate(harness, 3, a=True, b=False) == 3


def test_cache_epoch_survives_a_snapshot():
    """Guards against shared parts of a former epoch after a restart."""
    harness = MachineHarness()
    isolate(harness, 1, a=False, b=False)
    isolate(harness, 2, a=True, b=False)
    restored = MachineHarness()
    restored.state.restore(harness.state.snapshot())
    restored.index = harness.index
    assert restored.state.routing.configuration.cache_epoch == 2
    assert isolate(restored, 3, a=True, b=True) == 3


def test_removed_workspaces_are_remembered_within_a_bound():
    """Guards against a table that grows with each workspace ever configured."""
    epochs = SharedCacheEpochs()
    for version in range(1, MAX_REMOVED + 3):
        workspaces = (WorkspaceProfile(f"w{version}", ()),)
        epochs.apply(RoutingConfiguration(version, workspaces=workspaces))
    assert epochs.epoch == MAX_REMOVED + 2
    assert len(epochs.members) == 1


def test_weight_versions_never_decrease():
    """Guards against ordering engines to load older weights."""
    harness = MachineHarness()
    for version in (2, 5, 3):
        assert harness.run(NameWeights("m", version)).failure is None
    assert harness.state.weights.versions == {"m": 5}


def test_snapshot_keeps_routing_and_weights():
    """Guards against state that is lost when the log is compacted."""
    harness = MachineHarness()
    harness.replace_routing(4, b"kept")
    harness.run(NameWeights("m", 2))
    restored = StateMachine()
    restored.restore(harness.state.snapshot())
    assert restored.routing.source == b"kept"
    assert restored.weights.versions == {"m": 2}
    feed = restored.feed_since(0)
    assert isinstance(feed, FeedSnapshot)
    assert feed.routing.configuration.version == 4
    assert feed.weights.versions == {"m": 2}


def test_rates_of_workspaces_reach_the_ledger():
    """Guards against rates that are not applied, and limits where none is set."""
    harness = MachineHarness()
    limited = WorkspaceProfile("w", (), rate_per_s=100, burst=50)
    harness.replace_routing(1, workspaces=(limited, WorkspaceProfile("free", ())))
    budgets = json.loads(harness.state.read("budgets").document)
    assert [(b["workspace"], b["burst_tokens"]) for b in budgets] == [("w", 50)]


@pytest.mark.parametrize("since", [1, 2])
def test_feed_contains_routing_and_weights(since):
    """Guards against entry processes that miss a change."""
    harness = MachineHarness()
    for version in (1, 2, 3):
        harness.replace_routing(version)
    harness.run(NameWeights("m", 2))
    update = harness.state.feed_since(since)
    kinds = [type(change).__name__ for change in update.changes]
    assert sorted(kinds) == ["RoutingChange", "WeightsChange"]


def test_new_process_replaces_the_older_one_at_its_address():
    """Guards against budget shares that a stopped process keeps until its lease ends.

    After a power loss, all shares stayed locked for one lease, and requests within
    their rate were refused.
    """
    harness = MachineHarness()
    harness.replace_routing(
        1, workspaces=(WorkspaceProfile("w", (), rate_per_s=10, burst=50),)
    )

    def heartbeat(instance, boot, granted=0, held=0):
        share = ShareReport("w", held, 0, 0, 50, granted, 50)
        message = Heartbeat(instance, boot, 1, 0, 0, "east", "a:80", "serving", [share])
        harness.index += 1
        entry = HeartbeatEntry(harness.index, 0, [message])
        harness.state.apply(harness.index, encode_entry(entry))
        return harness.state.grants(instance, boot)

    assert heartbeat("i@1", 1)[0].granted_tokens == 50
    heartbeat("i@2", 2)
    names = [row.instance for row in harness.state.instances.rows]
    assert names == ["i@2"]
    budget = json.loads(harness.state.read("budgets").document)[0]
    assert "i@1/1" not in budget["shares"]
