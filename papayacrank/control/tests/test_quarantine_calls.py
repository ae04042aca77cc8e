"""Tests of the operators' commands on the quarantine of prompt parts."""

import json

import pytest

from papayacrank.messages import (
    ControlReply,
    CrashReport,
    Done,
    LiftVerdict,
    NotLeader,
    QuarantineTable,
    ReadState,
    SuspectRequest,
    TrialReply,
    TrialRequest,
)

from .test_node import NodeHarness, build_request

INSTANCES = ("i1", "i2", "i3")


class Bench(NodeHarness):
    """Leader with three entry processes."""

    def __init__(self):
        super().__init__()
        self.beats = 0
        self.beat()

    def beat(self):
        """Renew the leases of all entry processes."""
        self.beats += 1
        for name in INSTANCES:
            self.send_heartbeat(self.beats, instance=name)

    def crash(self, times, parts=("deadly",)):
        """Report crashes of different targets, one second apart."""
        for number in range(times):
            suspect = SuspectRequest("team-a", [*parts, f"own-{number}"])
            report = CrashReport("i1@1", f"t{number}", 1, 0, [suspect])
            self.receive("entry/i1", report)
            self.advance(1_000)
            self.beat()

    def ask(self, command, request_id="r1"):
        """Send a command of an operator; return messages and the reply to it."""
        messages = self.receive("admin", build_request(command, request_id))
        replies = [m for to, m in messages if to == "admin"]
        return messages, replies[0]

    def list(self):
        """Return the list that operators get."""
        _, reply = self.ask(ReadState("quarantine"))
        return json.loads(reply.result.document)


@pytest.fixture
def bench():
    """Leader with entry processes."""
    return Bench()


def test_list_is_empty_without_a_verdict(bench):
    """Guards against a command that works only once something is quarantined."""
    assert bench.list() == {"verdicts": [], "suspicions": []}


def test_suspicions_are_listed_before_the_verdict(bench):
    """Guards against operators who cannot see what is on trial."""
    bench.crash(2)
    listed = bench.list()
    assert listed["verdicts"] == []
    first = listed["suspicions"][0]
    assert (first["part"], first["crashes"], first["on_trial"]) == ("deadly", 2, True)


def test_verdict_is_listed_and_lifted_everywhere_before_the_reply(bench):
    """Guards against instances that go on refusing after the operator's lift."""
    bench.crash(5)
    [verdict] = bench.list()["verdicts"]
    assert (verdict["parts"], verdict["workspaces"]) == (["deadly"], ["team-a"])
    assert verdict["next_trial_in_s"] > 500
    number = verdict["number"]
    messages, reply = bench.ask(LiftVerdict(number, "ann"), "r2")
    assert reply == ControlReply("r2", Done())
    pushed = [(to, m) for to, m in messages if isinstance(m, QuarantineTable)]
    assert {to for to, _ in pushed} == {f"entry/{name}" for name in INSTANCES}
    assert [v.parts for v in pushed[0][1].verdicts] == [[]]
    assert messages.index(("admin", reply)) == len(messages) - 1
    assert bench.list() == {"verdicts": [], "suspicions": []}


def test_parts_of_a_lifted_verdict_need_no_trial(bench):
    """Guards against evidence that outlives the lift."""
    bench.crash(5)
    [verdict] = bench.list()["verdicts"]
    bench.ask(LiftVerdict(verdict["number"], "ann"), "r2")
    bench.crash(1)
    assert bench.list()["verdicts"] == []
    request = TrialRequest("i2@1", 1, 0, "team-a", ["deadly"])
    messages = bench.receive("entry/i2", request)
    assert [m.granted for _, m in messages if isinstance(m, TrialReply)] == [True]
    suspicion = next(s for s in bench.list()["suspicions"] if s["part"] == "deadly")
    assert (suspicion["crashes"], suspicion["on_trial"]) == (1, False)


def test_lift_is_logged_with_the_operator(bench, capsys):
    """Guards against a lift that nobody can be asked about."""
    bench.crash(5)
    [verdict] = bench.list()["verdicts"]
    bench.ask(LiftVerdict(verdict["number"], "ann"), "r2")
    lines = [line for line in capsys.readouterr().out.splitlines() if "lifted" in line]
    assert len(lines) == 1 and "ann" in lines[0]


def test_resent_lift_gets_the_first_outcome(bench):
    """Guards against a lost reply after which the operator is told of a failure."""
    bench.crash(5)
    [verdict] = bench.list()["verdicts"]
    command = LiftVerdict(verdict["number"], "ann")
    assert bench.ask(command, "r2")[1].result == Done()
    assert bench.ask(command, "r2")[1].result == Done()
    assert bench.ask(command, "r3")[1].failure.code == "unknown_verdict"


@pytest.mark.parametrize("number", [0, -1, 7, 2**63 - 1])
def test_unknown_number_is_refused(bench, number):
    """Guards against an operator who believes that a verdict was lifted."""
    failure = bench.ask(LiftVerdict(number, "ann"))[1].failure
    assert (failure.code, failure.verdict) == ("unknown_verdict", "not-run")
    assert str(number) in failure.message


def test_long_operator_name_is_refused(bench):
    """Guards against log lines of any length."""
    failure = bench.ask(LiftVerdict(1, "a" * 10_000))[1].failure
    assert failure.code == "invalid_command"


def test_only_the_leader_lists_and_lifts(bench):
    """Guards against the table of a former leader."""
    bench.raft.is_leader, bench.raft.leader = False, "c2"
    for command in (ReadState("quarantine"), LiftVerdict(1, "ann")):
        messages = bench.receive("admin", build_request(command))
        assert messages == [("admin", NotLeader("r1", "c2"))]


def test_listed_names_are_bounded(bench):
    """Guards against texts of callers that fill the operator's screen."""
    names = [f"{number}-{'x' * 5_000}" for number in range(30)]
    bench.crash(5, names)
    document = bench.list()
    assert len(document["suspicions"]) <= 100
    for verdict in document["verdicts"]:
        assert len(verdict["parts"]) <= 8
    assert len(json.dumps(document)) < 40_000
