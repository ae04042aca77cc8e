"""Tests of the leader's decisions on releases of targets."""

import pytest

from papayacrank.control._releases import (
    BATCH_INTERVAL_MS,
    PROPOSAL_TIMEOUT_MS,
    TAKE_UP_MARGIN_MS,
    ReleaseMonitor,
)
from papayacrank.control._target_protocol import ListedTarget
from papayacrank.messages import (
    BegunStream,
    ChangeReleases,
    FindRelease,
    RecordStreams,
    RequestKind,
    Route,
    RoutingConfiguration,
    StreamsBegun,
)
from papayacrank.state import ReleaseTable

TIMEOUT_MS = 10_000
TAKE_UP_MS = 2 * TIMEOUT_MS + TAKE_UP_MARGIN_MS
CONFIGURATION = RoutingConfiguration(
    1, (Route("r", "h", "/", RequestKind.STREAM, (), TIMEOUT_MS, 500),)
)


class Leader:
    """Monitor whose commands are committed when the test says so."""

    def __init__(self):
        self.now_ms = 1_000_000
        self.table = ReleaseTable()
        self.monitor = ReleaseMonitor(self.table)
        self.monitor.reset(1)

    def show(self, *releases):
        """Apply a list with one target of each release."""
        self.monitor.observe([build_target(r) for r in releases], self.now_ms)

    def poll(self, after_ms=0):
        """Return the commands that are due after a time."""
        self.now_ms += after_ms
        return self.monitor.poll(CONFIGURATION, self.now_ms)

    def commit(self, commands):
        """Apply commands."""
        for command in commands:
            if isinstance(command, ChangeReleases):
                self.table.change(command)
            else:
                self.table.record(command, self.now_ms)

    def begin(self, stream, release):
        """Report a stream."""
        begun = [BegunStream(stream, "llm", release)]
        assert self.monitor.receive("i", StreamsBegun("i", begun)) == []

    def find(self, stream):
        """Return the release that the leader replies."""
        [send] = self.monitor.receive("i", FindRelease("i", 7, "llm", stream))
        assert (send.message.term, send.message.number) == (1, 7)
        return send.message.release


def build_target(release):
    """Return a target of a release."""
    return ListedTarget(f"t-{release}", "a", "llm", "d", release=release)


@pytest.fixture
def leader():
    """Return a leader with one committed release."""
    leader = Leader()
    leader.show("v1")
    leader.commit(leader.poll())
    return leader


def test_release_is_used_once_it_is_in_the_log(leader):
    """Guards against streams of a release that the next leader does not know."""
    leader.show("v1", "v2")
    assert not leader.monitor.is_usable(build_target("v2"))
    commands = leader.poll()
    assert commands == [ChangeReleases("llm", added=["v2"])]
    assert leader.monitor.mixed == []
    assert not leader.monitor.is_usable(build_target("v2"))
    leader.commit(commands)
    assert leader.monitor.is_usable(build_target("v2"))
    assert leader.monitor.mixed == ["llm"]


def test_lost_proposal_is_repeated(leader):
    """Guards against targets that are never used since a proposal was lost."""
    leader.show("v1", "v2")
    leader.poll()
    assert leader.poll(PROPOSAL_TIMEOUT_MS - 1) == []
    assert leader.poll(1) == [ChangeReleases("llm", added=["v2"])]


def test_release_ends_once_its_streams_cannot_be_taken_up(leader):
    """Guards against streams of an ended release that go on at the next one."""
    leader.show("v1", "v2")
    leader.commit(leader.poll())
    leader.show("v2")
    assert leader.poll(TAKE_UP_MS - 1) == []
    leader.show("v2")
    assert leader.poll(1) == [ChangeReleases("llm", ended=["v1"])]


def test_release_that_is_rolled_back_does_not_end(leader):
    """Guards against a release that ends while its targets serve again."""
    leader.show("v1", "v2")
    leader.commit(leader.poll())
    leader.show("v2")
    leader.now_ms += TAKE_UP_MS // 2
    leader.show("v1", "v2")
    leader.now_ms += TAKE_UP_MS // 2
    leader.show("v2")
    assert leader.poll(TAKE_UP_MS // 2) == []


def test_new_leader_waits_before_it_ends_a_release(leader):
    """Guards against an absence that is counted from before an election."""
    leader.show("v1", "v2")
    leader.commit(leader.poll())
    leader.show("v2")
    leader.now_ms += TAKE_UP_MS
    leader.monitor.reset(2)
    assert leader.poll() == []
    leader.show("v2")
    assert leader.poll(TAKE_UP_MS - 1) == []


def test_release_does_not_end_without_a_list(leader):
    """Guards against releases that end while the platform's list cannot be read."""
    leader.show("v1", "v2")
    leader.commit(leader.poll())
    assert leader.poll(10 * TAKE_UP_MS) == []


def test_streams_are_recorded_in_batches(leader):
    """Guards against an entry of the log for each stream."""
    leader.show("v1", "v2")
    leader.commit(leader.poll())
    for number in range(5):
        leader.begin(f"s{number}", "v1")
    (command,) = leader.poll()
    assert isinstance(command, RecordStreams)
    assert (len(command.streams), command.kept_ms) == (5, TAKE_UP_MS)
    leader.begin("s5", "v2")
    assert leader.poll(BATCH_INTERVAL_MS - 1) == []
    leader.commit([command, *leader.poll(1)])
    assert (leader.find("s0"), leader.find("s5")) == ("v1", "v2")


def test_stream_is_known_before_it_is_recorded(leader):
    """Guards against take-ups that are refused right after a kill."""
    leader.show("v1", "v2")
    leader.commit(leader.poll())
    leader.begin("s", "v2")
    assert leader.find("s") == "v2"
    assert leader.find("t") == ""


def test_contradicting_reports_in_one_batch_make_a_stream_unknown(leader):
    """Guards against a request id that a caller uses for two streams."""
    leader.show("v1", "v2")
    leader.commit(leader.poll())
    leader.begin("s", "v2")
    leader.begin("s", "v1")
    assert leader.find("s") == ""
    leader.commit(leader.poll())
    assert leader.find("s") == ""
