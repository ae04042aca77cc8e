"""Tests of the questions and reports of an entry process."""

import pytest

from papayacrank.kernel import ManualClock
from papayacrank.messages import (
    BegunStream,
    FindRelease,
    FleetTarget,
    ReleaseFound,
    StreamsBegun,
)
from papayacrank.releases import ReleaseOutcome, ReleasePort, name_stream
from papayacrank.releases._begun import BEGUN_KEPT_MS, MAX_BEGUN


class Bench:
    """Port with timers that the test fires."""

    def __init__(self, has_leader=True):
        self.clock = ManualClock(1_000_000)
        self.timers = {}
        self.sent = []
        self.decisions = []
        self.has_leader = has_leader
        self.port = ReleasePort("i1@1", self._send, self.clock, self)

    def set(self, name, at_ms, callback):
        """Set a timer."""
        self.timers[name] = (at_ms, callback)

    def cancel(self, name):
        """Remove a timer."""
        self.timers.pop(name, None)

    def _send(self, message):
        self.sent.append(message)
        return self.has_leader

    def advance(self, ms):
        """Advance the clock and fire the timers that are due."""
        self.clock.advance(ms)
        for name, (at_ms, callback) in list(self.timers.items()):
            if at_ms <= self.clock.now_ms():
                self.timers.pop(name, None)
                callback()

    def find(self, request_id="1", stream="s"):
        """Ask for a release; return the question."""
        self.port.find(request_id, "llm", stream, self.decisions.append)
        return self.sent[-1]

    def reported(self):
        """Return the names of all reported streams."""
        reports = [m for m in self.sent if isinstance(m, StreamsBegun)]
        return [begun.stream for report in reports for begun in report.streams]


def test_stream_of_the_only_release_is_not_reported():
    """Guards against messages for each stream on a calm day."""
    bench = Bench()
    bench.port.on_begun("s1", "llm", "v1")
    bench.advance(100)
    assert bench.sent == []


def test_streams_of_several_releases_are_reported_together():
    """Guards against streams that the leader does not hear of."""
    bench = Bench()
    bench.port.set_mixed(["llm"])
    bench.port.on_begun("s1", "llm", "v1")
    bench.port.on_begun("s2", "llm", "v2")
    bench.port.on_begun("s3", "other", "v2")
    bench.advance(10)
    streams = [BegunStream("s1", "llm", "v1"), BegunStream("s2", "llm", "v2")]
    assert bench.sent == [StreamsBegun("i1@1", streams)]


def test_streams_from_before_a_second_release_are_reported():
    """Guards against refused take-ups of streams that a release interrupts."""
    bench = Bench()
    bench.port.on_begun("s1", "llm", "v1")
    bench.port.set_mixed(["llm"])
    bench.advance(10)
    assert bench.reported() == ["s1"]


def test_streams_are_reported_again_to_a_new_leader():
    """Guards against reports that are lost with a leader."""
    bench = Bench()
    bench.port.set_mixed(["llm"])
    bench.port.on_begun("s1", "llm", "v1")
    bench.advance(10)
    for _ in range(2):
        bench.port.poll(2)
        bench.advance(10)
    assert bench.reported() == ["s1", "s1"]


def test_recent_streams_are_bounded():
    """Guards against a table that grows with the number of streams."""
    bench = Bench()
    for number in range(MAX_BEGUN + 1):
        bench.port.on_begun(f"s{number}", "llm", "v1")
    bench.advance(BEGUN_KEPT_MS + 1)
    bench.port.on_begun("last", "llm", "v1")
    bench.port.set_mixed(["llm"])
    bench.advance(10)
    assert bench.reported() == ["last"]


@pytest.mark.parametrize(
    ("release", "outcome"),
    [("v1", ReleaseOutcome.KNOWN), ("", ReleaseOutcome.UNKNOWN)],
)
def test_reply_decides_its_request_only(release, outcome):
    """Guards against a reply that is taken for that of another request."""
    bench = Bench()
    question = bench.find("1")
    other = bench.find("2")
    assert question == FindRelease("i1@1", question.number, "llm", "s")
    bench.port.receive(ReleaseFound(1, question.number, release))
    (decision,) = bench.decisions
    assert (decision.outcome, decision.release) == (outcome, release)
    assert question.number != other.number
    bench.port.receive(ReleaseFound(1, question.number, release))
    assert len(bench.decisions) == 1


def test_question_is_repeated_once_and_then_given_up():
    """Guards against requests that wait for a lost reply until their deadline."""
    bench = Bench()
    bench.find()
    bench.advance(150)
    bench.advance(150)
    assert len(bench.sent) == 2
    (decision,) = bench.decisions
    assert decision.outcome is ReleaseOutcome.NO_REPLY
    assert decision.retry_after_ms > 0


def test_question_without_a_leader_is_given_up_at_once():
    """Guards against callers that wait although no leader is known."""
    bench = Bench(has_leader=False)
    bench.find()
    assert bench.decisions == []
    bench.advance(0)
    bench.advance(0)
    assert bench.decisions[0].outcome is ReleaseOutcome.NO_REPLY


def test_reply_of_an_earlier_leader_is_ignored():
    """Guards against a deposed leader that does not know a new release."""
    bench = Bench()
    bench.port.poll(3)
    question = bench.find()
    bench.port.receive(ReleaseFound(2, question.number, "v1"))
    assert bench.decisions == []


def test_cancelled_request_gets_no_decision():
    """Guards against a request that goes on after its caller has left."""
    bench = Bench()
    question = bench.find()
    bench.port.cancel("1")
    bench.port.receive(ReleaseFound(1, question.number, "v1"))
    bench.advance(1_000)
    assert bench.decisions == []


def test_streams_of_workspaces_have_different_names():
    """Guards against a workspace that names the stream of another one."""
    names = {name_stream("a", "bc"), name_stream("ab", "c"), name_stream("", "abc")}
    assert len(names) == 3


def build_view(release, born_ms):
    """Return the targets of a view with one target."""
    return [
        FleetTarget("t1", "a:1", "llm", "east", release=release, born_ms=born_ms),
    ]


@pytest.mark.parametrize(
    ("release", "born_ms", "is_certain"),
    [("v2", 2, False), ("v1", 2, True), ("v1", 1, True)],
)
def test_stream_of_a_target_that_restarted_with_another_release_is_uncertain(
    release, born_ms, is_certain
):
    """Guards against a stream that is reported with the release of an old view."""
    bench = Bench()
    bench.port.set_mixed(["llm"])
    bench.port.poll(1, bench.clock.now_ms())
    bench.port.on_begun("s1", "llm", "v1", ("t1", 1))
    bench.advance(100)
    bench.port.observe_targets(build_view(release, born_ms))
    bench.advance(100)
    streams = [stream for message in bench.sent for stream in message.streams]
    reports = [BegunStream("s1", "llm", "v1"), BegunStream("s1", "llm", "")]
    assert streams == (reports[:1] if is_certain else reports)


def test_stream_that_began_well_before_a_restart_stays_certain():
    """Guards against refused take-ups of streams that the restart has ended."""
    bench = Bench()
    bench.port.set_mixed(["llm"])
    bench.port.poll(1)
    bench.port.on_begun("s1", "llm", "v1", ("t1", 1))
    for _ in range(10):
        bench.advance(500)
        bench.port.poll(1, bench.clock.now_ms())
    bench.port.observe_targets(build_view("v2", 2))
    bench.advance(100)
    streams = [stream for message in bench.sent for stream in message.streams]
    assert streams == [BegunStream("s1", "llm", "v1")]
